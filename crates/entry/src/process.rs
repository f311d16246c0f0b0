//! Sets up an entry process and runs it until it has drained.

use std::sync::Arc;

use lynxmount_config::EntrySettings;
use lynxmount_core::Result;
use lynxmount_node::{
    DrainState, Node, NodeHandle, ProcessKind, drain_on_signals, traffic_runtime,
};
use lynxmount_platform::PlatformClient;
use lynxmount_policy::PeerTimeouts;
use lynxmount_quarantine::SharedQuarantine;

use crate::{
    callers_port::CallersPort, claim_log::ClaimLog, crash_report_log::CrashReportLog,
    endpoint_clients::EndpointClients, handler::Handler, service_pool::ServicePools,
};

/// Multiple of the idle timeout after which a connection whose caller does not read is closed.
const BLOCKED_TIMEOUT_FACTOR: u32 = 4;

/// Runs an entry process until it has drained.
///
/// Fails if the process cannot be set up, for example if an address is in use.
pub fn run(settings: EntrySettings) -> Result<()> {
    let node = Node::start(settings.process.clone(), ProcessKind::Entry)?;
    let runtime = traffic_runtime(&settings.process)?;
    runtime.block_on(serve(settings, node))
}

async fn serve(settings: EntrySettings, node: NodeHandle) -> Result<()> {
    drain_on_signals(&node)?;
    let pools = Arc::new(ServicePools::new(node.clone()));
    let claims = Arc::new(ClaimLog::new(
        node.clone(),
        PlatformClient::new(settings.process.platform_address),
    ));
    let quarantine = Arc::new(SharedQuarantine::new(true, ""));
    let clients = EndpointClients::new(node.clone(), Arc::clone(&pools), Arc::clone(&quarantine));
    tokio::spawn(clients.run());
    tokio::spawn(Arc::clone(&claims).follow());
    let platform = PlatformClient::new(settings.process.platform_address);
    let crash_report_log = Arc::new(CrashReportLog::new(platform, Arc::clone(&quarantine)));
    tokio::spawn(Arc::clone(&crash_report_log).follow());
    tokio::spawn(crash_report_log.publish());
    let handler = Arc::new(Handler::new(node.clone(), pools, claims, quarantine, &settings));
    let timeouts = PeerTimeouts {
        head: settings.header_timeout_ms,
        blocked: settings.idle_timeout_ms * BLOCKED_TIMEOUT_FACTOR,
    };
    tokio::spawn(node.budget().clone().watch(move || Some(timeouts)));
    let port = CallersPort::bind(&settings, handler).await?;
    let drained = node.wait_for(|view| view.drain == DrainState::Finished);
    port.serve_until(drained).await;
    Ok(())
}
