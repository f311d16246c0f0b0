//! Setting an entry process up and running it to its end.

use std::sync::Arc;

use lynxmount_config::EntrySettings;
use lynxmount_core::Result;
use lynxmount_node::{
    DrainState, Node, NodeHandle, ProcessKind, drain_on_signals, traffic_runtime,
};
use lynxmount_platform::PlatformClient;
use lynxmount_suspects::SharedQuarantine;

use crate::{
    callers_port::CallersPort, claims::Claims, crash_report_log::CrashReportLog, gate::Gates,
    handler::Handler, links::Links,
};

/// Runs an entry process until it has drained.
///
/// Fails if it can't be set up, for example if an address is in use.
pub fn run(settings: EntrySettings) -> Result<()> {
    let node = Node::start(settings.process.clone(), ProcessKind::Entry)?;
    let runtime = traffic_runtime(&settings.process)?;
    runtime.block_on(serve(settings, node))
}

async fn serve(settings: EntrySettings, node: NodeHandle) -> Result<()> {
    drain_on_signals(&node)?;
    let gates = Arc::new(Gates::new(node.clone()));
    let claims =
        Arc::new(Claims::new(node.clone(), PlatformClient::new(settings.process.platform_address)));
    let suspects = Arc::new(SharedQuarantine::new(true));
    let links = Links::new(node.clone(), Arc::clone(&gates), Arc::clone(&suspects));
    tokio::spawn(links.run());
    tokio::spawn(Arc::clone(&claims).follow());
    let platform = PlatformClient::new(settings.process.platform_address);
    let crash_report_log = Arc::new(CrashReportLog::new(platform, Arc::clone(&suspects)));
    tokio::spawn(Arc::clone(&crash_report_log).follow());
    tokio::spawn(crash_report_log.tell());
    let handler = Arc::new(Handler::new(node.clone(), gates, claims, suspects, &settings));
    let port = CallersPort::bind(&settings, handler).await?;
    let is_finished = node.wait_for(|view| view.drain == DrainState::Finished);
    port.serve_until(is_finished).await;
    Ok(())
}
