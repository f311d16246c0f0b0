//! The signals of the platform.

use lynxmount_core::{Result, Step, invalid};
use tokio::signal::unix::{SignalKind, signal};

/// Waits for the signal to leave. Settings that change meanwhile hold from the
/// next start on.
///
/// Fails if the signals can't be watched.
pub async fn wait_for_termination_signal() -> Result<()> {
    let fail = |e: std::io::Error| invalid(Step::Start, "signals", e);
    let mut terminate = signal(SignalKind::terminate()).map_err(fail)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(fail)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(fail)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("settings are read at the next start"),
        }
    }
}
