//! Sets up an endpoint process and runs it until it has drained.

use std::{sync::Arc, time::Duration};

use lynxmount_config::EndpointSettings;
use lynxmount_core::Result;
use lynxmount_node::{
    DrainState, Node, NodeHandle, ProcessKind, drain_on_signals, traffic_runtime,
};

use crate::{
    attempt_runner::AttemptRunner, backend::Backend, backend_monitor::BackendMonitor,
    concurrency::ConcurrencyLimiter, data_port::DataPort, idempotency_store::IdempotencyStore,
    load_reporter::LoadReporter, pause_watch::PauseWatch,
};

/// How long the last frames of completed answers may take to be flushed on shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an endpoint process until it has drained.
///
/// Fails if the process cannot be set up, for example if an address is in use.
pub fn run(settings: EndpointSettings) -> Result<()> {
    let node = Node::start(settings.process.clone(), ProcessKind::Endpoint)?;
    let runtime = traffic_runtime(&settings.process)?;
    runtime.block_on(serve(settings, node))
}

async fn serve(settings: EndpointSettings, node: NodeHandle) -> Result<()> {
    drain_on_signals(&node)?;
    let limiter = Arc::new(ConcurrencyLimiter::default());
    let backend = Backend::new(settings.backend_address);
    let monitor = Arc::new(BackendMonitor::new(node.clone(), backend.clone()));
    let reporter = LoadReporter::new(node.clone(), Arc::clone(&limiter), Arc::clone(&monitor));
    let reporter = Arc::new(reporter);
    let runner = Arc::new(AttemptRunner {
        node: node.clone(),
        service: settings.service.clone(),
        idempotency: IdempotencyStore::new(node.incarnation(), &settings),
        limiter,
        backend,
        monitor: Arc::clone(&monitor),
        reporter: Arc::clone(&reporter),
    });
    tokio::spawn(node.budget().clone().watch(|| None));
    tokio::spawn(monitor.run());
    tokio::spawn(Arc::clone(&reporter).run());
    let pauses = Arc::new(PauseWatch::new());
    tokio::spawn(Arc::clone(&pauses).run());
    let port = DataPort::bind(settings.data_address, runner, reporter, pauses).await?;
    let drained = node.wait_for(|view| view.drain == DrainState::Finished);
    port.serve_until(drained, FLUSH_TIMEOUT).await;
    Ok(())
}
