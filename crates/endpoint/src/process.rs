//! Setting an endpoint process up and running it to its end.

use std::{sync::Arc, time::Duration};

use lynxmount_config::EndpointSettings;
use lynxmount_core::Result;
use lynxmount_node::{
    DrainState, Node, NodeHandle, ProcessKind, drain_on_signals, traffic_runtime,
};

use crate::{
    backend::Backend, backend_watch::BackendWatch, data_port::DataPort, keys::Keys, places::Places,
    reports::Reports, runner::Runner,
};

/// How long the last frames of finished answers may take to leave.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an endpoint process until it has drained.
///
/// Fails if it can't be set up, for example if an address is in use.
pub fn run(settings: EndpointSettings) -> Result<()> {
    let node = Node::start(settings.process.clone(), ProcessKind::Endpoint)?;
    let runtime = traffic_runtime(&settings.process)?;
    runtime.block_on(serve(settings, node))
}

async fn serve(settings: EndpointSettings, node: NodeHandle) -> Result<()> {
    drain_on_signals(&node)?;
    let places = Arc::new(Places::default());
    let backend = Backend::new(settings.backend_address);
    let watch = Arc::new(BackendWatch::new(node.clone(), backend.clone()));
    let reports = Reports::new(node.clone(), Arc::clone(&places), Arc::clone(&watch));
    let reports = Arc::new(reports);
    let runner = Arc::new(Runner {
        node: node.clone(),
        service: settings.service.clone(),
        keys: Keys::new(node.incarnation(), &settings),
        places,
        backend,
        watch: Arc::clone(&watch),
        reports: Arc::clone(&reports),
    });
    tokio::spawn(watch.run());
    tokio::spawn(Arc::clone(&reports).run());
    let port = DataPort::bind(settings.data_address, runner, reports).await?;
    let is_finished = node.wait_for(|view| view.drain == DrainState::Finished);
    port.serve_until(is_finished, FLUSH_TIMEOUT).await;
    Ok(())
}
