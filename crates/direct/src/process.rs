//! Setting the process up, and taking it down.

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context;
use lynxmount_core::{
    Clock, Mechanism, ProcessId, SiteSettings,
    edge::{Dialect, FleetSource},
};
use lynxmount_link::{bind, serve, wait_for_end};
use lynxmount_policy::Membership;
use lynxmount_suspects::SharedQuarantine;
use lynxmount_telemetry::{Metrics, MetricsPort};
use parking_lot::Mutex;

use crate::{
    callers_port,
    crash_detector::CrashDetector,
    crash_gossip::CrashGossip,
    drain::Drain,
    endpoint_set::EndpointSet,
    fleet::Fleet,
    groups::GroupListener,
    handler::Handler,
    limit_gossip::LimitGossip,
    peers::{PeerPort, Peers},
    readiness::ReadinessPort,
    watch::{Watch, endpoints_period},
};

/// Runs an entry process until it has drained.
///
/// One thread serves everything: a machine has a fraction of a core, and a
/// second thread costs more in switches than it gains.
///
/// Fails if the settings lack an address, or one can't be bound.
pub fn run(
    settings: SiteSettings,
    metrics_port: Option<u16>,
    dialect: impl Dialect,
    source: impl FleetSource,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the runtime can't be started")?;
    runtime.block_on(run_entry(settings, metrics_port, dialect, source))
}

async fn run_entry(
    settings: SiteSettings,
    metrics_port: Option<u16>,
    dialect: impl Dialect,
    source: impl FleetSource,
) -> anyhow::Result<()> {
    let callers = settings.callers_address.context("the settings name no address for callers")?;
    let internal = SocketAddr::new(settings.ip, settings.internal_ports.0);
    let peer_address = settings.control_address.unwrap_or(internal);
    let clock = Clock::start();
    let mechanisms = Arc::new(settings.mechanisms.clone());
    let dialect = Arc::new(dialect);
    let fleet = Arc::new(Fleet::default());
    let drain = Arc::new(Drain::default());
    let metrics = Arc::new(Metrics::default());
    let suspects = Arc::new(SharedQuarantine::new(mechanisms.has(Mechanism::Quarantine)));
    let crashes =
        CrashDetector::new(Arc::clone(&metrics), Arc::clone(&suspects), Arc::clone(&dialect) as _);
    let limit_gossip = Arc::new(LimitGossip::default());
    let endpoint_set = Arc::new(EndpointSet::new(
        clock,
        settings.bounds,
        Arc::clone(&mechanisms),
        Arc::new(crashes),
        Arc::clone(&metrics),
        Arc::clone(&limit_gossip),
    ));
    let peers = Arc::new(Peers::new(peer_address, settings.seeds.clone()));
    tokio::spawn(limit_gossip.publish(Arc::clone(&peers)));
    let last_read = Arc::new(Mutex::default());
    let groups =
        GroupListener::bind(settings.ip, settings.internal_ports.0, Arc::clone(&endpoint_set))
            .await;
    let groups = Arc::new(groups.context("the port for notices of groups can't be bound")?);
    tokio::spawn(Arc::clone(&groups).ask());
    tokio::spawn(groups.listen());

    let peer_port = PeerPort {
        endpoint_set: Arc::clone(&endpoint_set),
        fleet: Arc::clone(&fleet),
        suspects: Arc::clone(&suspects),
        last_read: Arc::clone(&last_read),
    };
    tokio::spawn(serve(bind(peer_address).await?, Arc::new(peer_port)));
    if let Some(port) = metrics_port {
        let address = SocketAddr::new(settings.ip, port);
        let shown = MetricsPort(Arc::clone(&metrics));
        tokio::spawn(serve(bind(address).await?, Arc::new(shown)));
    }
    if let Some(address) = settings.readiness_address {
        let readiness = ReadinessPort {
            dialect: Arc::clone(&dialect),
            fleet: Arc::clone(&fleet),
            drain: Arc::clone(&drain),
        };
        tokio::spawn(serve(bind(address).await?, Arc::new(readiness)));
    }
    let source = Arc::new(source);
    let telling = Arc::new(CrashGossip {
        process: ProcessId::clone(&settings.process),
        source: Arc::clone(&source),
        suspects: Arc::clone(&suspects),
        peers: Arc::clone(&peers),
    });
    tokio::spawn(Arc::clone(&telling).subscribe());
    tokio::spawn(Arc::clone(&telling).publish());
    tokio::spawn(telling.lapse());
    let watch = Arc::new(Watch {
        source,
        fleet: Arc::clone(&fleet),
        endpoint_set: Arc::clone(&endpoint_set),
        suspects: Arc::clone(&suspects),
        peers,
        metrics: Arc::clone(&metrics),
        clock,
        bounds: settings.bounds,
        last_read,
        membership: Mutex::new(Membership::new(
            mechanisms.has(Mechanism::LaterLives),
            endpoints_period(&settings.bounds),
        )),
    });
    tokio::spawn(Arc::clone(&watch).follow_config());
    tokio::spawn(Arc::clone(&watch).follow_endpoints());
    tokio::spawn(watch.follow_peers(settings.process.to_string(), peer_address));
    let drain_of_handler = Arc::clone(&drain);
    let handler = Handler {
        dialect,
        fleet,
        endpoint_set,
        suspects,
        metrics,
        drain: drain_of_handler,
        clock,
        mechanisms,
    };
    tokio::spawn(callers_port::serve(bind(callers).await?, Arc::new(handler)));
    log::info!(process = &*settings.process, callers:% = callers, peers:% = peer_address; "started");
    wait_for_end().await?;
    drain.run(settings.bounds.grace).await;
    Ok(())
}
