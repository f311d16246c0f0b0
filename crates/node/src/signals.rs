//! Shutdown on Unix signals.

use lynxmount_audit::Actor;
use lynxmount_core::{Result, Step, invalid};
use tokio::signal::unix::{SignalKind, signal};

use crate::NodeHandle;

/// Starts a drain on the first SIGTERM or SIGINT.
///
/// Fails if the signal handlers can't be installed.
pub fn drain_on_signals(node: &NodeHandle) -> Result<()> {
    let fail = |e: std::io::Error| invalid(Step::Start, "signals", e);
    let mut terminate = signal(SignalKind::terminate()).map_err(fail)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(fail)?;
    let node = node.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        node.drain(Actor::Signal);
    });
    Ok(())
}
