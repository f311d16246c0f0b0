//! Startup and shutdown of the entry process.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicUsize},
};

use anyhow::Context;
use lynxmount_core::{
    Clock, Mechanism, ProcessId, SiteSettings,
    adapter::{Dialect, FleetSource},
};
use lynxmount_link::{TerminationSignals, bind, serve};
use lynxmount_policy::{Membership, WindowBudgetOptions};
use lynxmount_quarantine::SharedQuarantine;
use lynxmount_telemetry::{Metrics, MetricsHandler, process_budget};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    crash_detector::CrashDetector,
    crash_gossip::CrashGossip,
    drain::Drain,
    endpoint_set::EndpointSet,
    fleet::Fleet,
    group_listener::GroupListener,
    handler::Handler,
    limit_gossip::LimitGossip,
    listener::{self, peer_timeouts},
    misdirections::Misdirections,
    peers::{PeerHandler, Peers},
    readiness::ReadinessHandler,
    service::ServiceContext,
    watch::{FleetWatch, endpoints_period, registration_lease},
};

/// Runs an entry process until it has drained.
///
/// The runtime has a single thread: a machine has a fraction of a core, where a second thread costs
/// more in context switches than it gains.
///
/// Fails if the settings lack the callers' address, or an address can't be bound.
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
    let mut signals = TerminationSignals::install()?;
    let callers = settings.callers_address.context("the settings name no address for callers")?;
    let default_peer_address = SocketAddr::new(settings.ip, settings.internal_ports.0);
    let peer_address = settings.control_address.unwrap_or(default_peer_address);
    let clock = Clock::start();
    let mechanisms = Arc::new(settings.mechanisms.clone());
    let dialect = Arc::new(dialect);
    let fleet = Arc::new(Fleet::default());
    let drain = Arc::new(Drain::default());
    let metrics = Arc::new(Metrics::default());
    let budget = process_budget(&settings, &metrics);
    let is_enforced = mechanisms.has(Mechanism::Quarantine);
    let quarantine = Arc::new(SharedQuarantine::new(is_enforced, &settings.process));
    let crash_detector = CrashDetector::new(
        Arc::clone(&metrics),
        Arc::clone(&quarantine),
        Arc::clone(&dialect) as _,
    );
    let limit_gossip = Arc::new(LimitGossip::default());
    let misdirections = Arc::new(Misdirections::default());
    let retry_budget = WindowBudgetOptions {
        ratio: settings.bounds.retry_ratio,
        slack: settings.bounds.retry_slack,
        window: settings.bounds.retry_window,
    };
    let service_context = ServiceContext {
        clock,
        group_stall: settings.bounds.group_stall,
        mechanisms: Arc::clone(&mechanisms),
        crash_detector: Arc::new(crash_detector),
        metrics: Arc::clone(&metrics),
        limit_gossip: Arc::clone(&limit_gossip),
        misdirections: Arc::clone(&misdirections),
    };
    let endpoint_set = Arc::new(EndpointSet::new(service_context, retry_budget));
    let peers = Arc::new(Peers::new(peer_address, settings.seeds.clone()));
    tokio::spawn(limit_gossip.publish(Arc::clone(&peers)));
    let last_read_at = Arc::new(Mutex::default());
    let group_listener =
        GroupListener::bind(settings.ip, settings.internal_ports.0, Arc::clone(&endpoint_set))
            .await;
    let group_listener =
        Arc::new(group_listener.context("the port for notices of groups can't be bound")?);
    tokio::spawn(Arc::clone(&group_listener).subscribe());
    tokio::spawn(group_listener.listen());

    let peer_handler = PeerHandler {
        endpoint_set: Arc::clone(&endpoint_set),
        fleet: Arc::clone(&fleet),
        quarantine: Arc::clone(&quarantine),
        last_read_at: Arc::clone(&last_read_at),
        clock,
    };
    tokio::spawn(serve(bind(peer_address).await?, Arc::new(peer_handler), budget.clone()));
    if let Some(port) = metrics_port {
        let address = SocketAddr::new(settings.ip, port);
        let metrics_handler = MetricsHandler(Arc::clone(&metrics));
        tokio::spawn(serve(bind(address).await?, Arc::new(metrics_handler), budget.clone()));
    }
    if let Some(address) = settings.readiness_address {
        let readiness = ReadinessHandler {
            dialect: Arc::clone(&dialect),
            clock,
            fleet: Arc::clone(&fleet),
            peers: Arc::clone(&peers),
            drain: Arc::clone(&drain),
        };
        tokio::spawn(serve(bind(address).await?, Arc::new(readiness), budget.clone()));
    }
    let source = Arc::new(source);
    let poll_loss_suspected = Arc::new(Notify::new());
    let crash_gossip = Arc::new(CrashGossip {
        process: ProcessId::clone(&settings.process),
        source: Arc::clone(&source),
        quarantine: Arc::clone(&quarantine),
        peers: Arc::clone(&peers),
        poll_loss_suspected: Arc::clone(&poll_loss_suspected),
        published: Mutex::default(),
    });
    tokio::spawn(Arc::clone(&crash_gossip).subscribe());
    tokio::spawn(Arc::clone(&crash_gossip).publish());
    tokio::spawn(crash_gossip.delete_expired());
    let watch = Arc::new(FleetWatch {
        source,
        fleet: Arc::clone(&fleet),
        endpoint_set: Arc::clone(&endpoint_set),
        quarantine: Arc::clone(&quarantine),
        peers,
        metrics: Arc::clone(&metrics),
        clock,
        bounds: settings.bounds,
        last_read_at,
        membership: Mutex::new(Membership::new(
            mechanisms.has(Mechanism::LaterLives),
            endpoints_period(&settings.bounds),
            registration_lease(&settings.bounds),
        )),
        store_regained: Notify::new(),
        pull_requested: Notify::new(),
        poll_loss_suspected,
        era: Mutex::default(),
        peers_read_requested: Notify::new(),
        entry_count: AtomicUsize::new(0),
        evidence: Mutex::default(),
    });
    tokio::spawn(Arc::clone(&watch).watch_config());
    tokio::spawn(Arc::clone(&watch).watch_endpoints());
    tokio::spawn(Arc::clone(&watch).serve_pull_requests());
    tokio::spawn(Arc::clone(&watch).apply_misdirections(misdirections));
    tokio::spawn(watch.watch_peers(settings.process.to_string(), peer_address));
    let (watched_budget, limiting_fleet) = (budget.clone(), Arc::clone(&fleet));
    tokio::spawn(watched_budget.watch(move || {
        let config = limiting_fleet.config();
        peer_timeouts(config.map(|view| view.config.limits))
    }));
    let handler_drain = Arc::clone(&drain);
    let handler = Handler {
        dialect,
        fleet,
        endpoint_set,
        quarantine,
        metrics,
        drain: handler_drain,
        clock,
        mechanisms,
    };
    let listening =
        tokio::spawn(listener::serve(bind(callers).await?, Arc::new(handler), budget.clone()));
    log::info!(process = &*settings.process, callers:% = callers, peers:% = peer_address;
        "started");
    signals.wait_for_termination().await;
    drain.run(settings.bounds.grace, listening).await;
    Ok(())
}
