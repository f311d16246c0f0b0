//! Logging to standard error. Only changes of state are logged.

use anyhow::Context;
use log::LevelFilter;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::pattern::PatternEncoder,
};

const APPENDER: &str = "stderr";

/// Initializes logging; each line contains the process's name. The pattern prints messages
/// without their key-value fields.
///
/// Fails if logging is already initialized.
pub fn init_logging(process: &str) -> anyhow::Result<()> {
    let pattern = format!("{{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)}} {{l}} {process} {{m}}{{n}}");
    let encoder = PatternEncoder::new(&pattern);
    let appender =
        ConsoleAppender::builder().target(Target::Stderr).encoder(Box::new(encoder)).build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .context("logging can't be set up")?;
    log4rs::init_config(config).context("logging was set up before")?;
    Ok(())
}
