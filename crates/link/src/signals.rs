//! Unix signals.

use lynxmount_core::{Result, Step, invalid};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The installed handlers of the signals that end or reload a process. They stay installed, so
/// that later signals don't end the process while it shuts down.
pub struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl TerminationSignals {
    /// Installs the signal handlers. Until then the signals end the process.
    ///
    /// Fails if a handler can't be installed.
    pub fn install() -> Result<TerminationSignals> {
        let install = |kind| signal(kind).map_err(|e| invalid(Step::Start, "signals", e));
        Ok(TerminationSignals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT, received at any time since the handlers were installed. SIGHUP
    /// is ignored with a log event, as settings are read only at the start.
    pub async fn wait_for_termination(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    log::info!("SIGHUP ignored, settings are read at start only");
                }
            }
        }
    }
}
