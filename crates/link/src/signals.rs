//! Unix signals.

use lynxmount_core::{Result, Step, invalid};
use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT. SIGHUP is ignored with a log event, as settings are read
/// only at the start.
///
/// Fails if the signal handlers can't be installed.
pub async fn wait_for_termination_signal() -> Result<()> {
    let fail = |e: std::io::Error| invalid(Step::Start, "signals", e);
    let mut terminate = signal(SignalKind::terminate()).map_err(fail)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(fail)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(fail)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("SIGHUP ignored, settings are read at start only"),
        }
    }
}
