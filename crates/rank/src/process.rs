//! Startup of the endpoint process and dispatch of its datagrams.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use lynxmount_core::{
    Clock, Mechanism, SiteSettings,
    adapter::{Engine, FleetSource},
    experts::{GroupEpoch, MapVersion},
};
use lynxmount_group::MapCache;
use lynxmount_link::{GROUP_PORT_OFFSET, TerminationSignals, bind, receive_datagrams, serve};
use lynxmount_telemetry::{Metrics, MetricsHandler, process_budget};
use parking_lot::Mutex;
use tokio::{
    net::UdpSocket,
    sync::{Notify, Semaphore},
};
use tokio_util::sync::CancellationToken;

use crate::{
    coordinator::Coordinator,
    demand::Demand,
    discovery::Discovery,
    leadership::Leadership,
    message::{Datagram, MapCopy},
    notifier::Notifier,
    order_client::OrderClient,
    order_handler::OrderHandler,
    rank_states::RankStates,
    registry::Registry,
    reporter::Reporter,
    transport::Transport,
};

/// The size of the receive buffer. No UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Datagrams that are answered at the same time: several for each rank of a large group.
const MAX_DATAGRAM_TASKS: usize = 2048;

/// How long a map switch may take to end when the process is told to terminate. A hold whose owner
/// exits keeps its group stalled until another process finds it abandoned.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs an endpoint process until it is told to terminate.
///
/// Fails if the settings have no engine address, or an address can't be bound.
pub fn run<E: Engine>(
    settings: SiteSettings,
    metrics_port: Option<u16>,
    source: impl FleetSource,
    make_engine: impl Fn(SocketAddr) -> E + Send + Sync + 'static,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the runtime can't be started")?;
    runtime.block_on(run_endpoint(settings, metrics_port, source, make_engine))
}

async fn run_endpoint<E: Engine>(
    settings: SiteSettings,
    metrics_port: Option<u16>,
    source: impl FleetSource,
    make_engine: impl Fn(SocketAddr) -> E + Send + Sync + 'static,
) -> anyhow::Result<()> {
    let mut signals = TerminationSignals::install()?;
    let own_engine = settings.engine_address.context("the settings name no engine")?;
    let port = settings.internal_ports.0;
    let address = SocketAddr::new(settings.ip, port);
    let metrics = Arc::new(Metrics::default());
    let clock = Clock::start();
    let own_service = settings.engine_service.clone();
    let registry = Arc::new(Registry::new(clock, settings.bounds.heartbeat, own_service));
    let demand = Demand::new(settings.mechanisms.has(Mechanism::ShiftDetection));
    let rank_states = Arc::new(Mutex::new(RankStates::new(own_engine, demand)));
    let maps: Arc<Mutex<MapCache>> = Arc::default();
    let link_bytes_per_s = settings.link_bytes_per_s();
    let engine = Arc::new(make_engine(own_engine));
    let make_engine = Arc::new(make_engine);
    let source = Arc::new(source);
    let socket = UdpSocket::bind(address).await.with_context(|| format!("bind {address}"))?;
    let socket = Arc::new(socket);
    let transport = Transport::new(Arc::clone(&socket), port);
    let discovery =
        Arc::new(Discovery::new(own_engine, clock, Arc::clone(&registry), transport.clone()));
    let reporter = Arc::new(Reporter {
        engine: Arc::clone(&engine),
        engine_address: own_engine,
        discovery: Arc::clone(&discovery),
        transport: transport.clone(),
        metrics: Arc::clone(&metrics),
        pending: Mutex::default(),
        link_bytes_per_s,
        maps: Arc::clone(&maps),
        wake: Notify::new(),
    });
    if let Some(port) = metrics_port {
        let handler = MetricsHandler(Arc::clone(&metrics));
        let listener = bind(SocketAddr::new(settings.ip, port)).await?;
        let budget = process_budget(&settings, &metrics);
        tokio::spawn(budget.clone().watch(|| None));
        tokio::spawn(serve(listener, Arc::new(handler), budget));
    }
    let order_client = Arc::new(OrderClient::new(transport.clone(), address, link_bytes_per_s));
    let order_handler = Arc::new(OrderHandler {
        reporter: Arc::clone(&reporter),
        make_engine: Arc::clone(&make_engine),
        transport: transport.clone(),
        maps: Arc::clone(&maps),
        in_progress: Mutex::default(),
    });
    let listener = DatagramListener {
        socket,
        rank_states: Arc::clone(&rank_states),
        discovery: Arc::clone(&discovery),
        transport: transport.clone(),
        order_handler,
        order_client: Arc::clone(&order_client),
        maps: Arc::clone(&maps),
        metrics: Arc::clone(&metrics),
        tasks: Arc::new(Semaphore::new(MAX_DATAGRAM_TASKS)),
    };
    let seeds = settings.seeds.clone();
    let group_discovery = Arc::clone(&discovery);
    tokio::spawn(
        Arc::clone(&registry)
            .run(Arc::clone(&source), seeds, own_engine, move || group_discovery.is_discovering()),
    );
    tokio::spawn(listener.run());
    tokio::spawn(reporter.run());
    let leadership = Arc::new(Leadership {
        own_engine,
        discovery: Arc::clone(&discovery),
        rank_states: Arc::clone(&rank_states),
    });
    let notice_address = SocketAddr::new(settings.ip, port + GROUP_PORT_OFFSET);
    let notifier = Arc::new(Notifier {
        metrics: Arc::clone(&metrics),
        socket: UdpSocket::bind(notice_address)
            .await
            .with_context(|| format!("bind {notice_address}"))?,
        leadership: Arc::clone(&leadership),
        discovery: Arc::clone(&discovery),
        rank_states: Arc::clone(&rank_states),
        clock,
        mechanisms: settings.mechanisms.clone(),
        subscribers: Mutex::default(),
    });
    tokio::spawn(Arc::clone(&notifier).listen());
    tokio::spawn(notifier.run());
    let terminating = CancellationToken::new();
    let coordinator = Coordinator {
        engine,
        make_engine,
        source,
        own_engine,
        transport,
        registry,
        discovery,
        leadership,
        rank_states,
        order_client,
        maps,
        metrics,
        clock,
        is_first_start: settings.is_first_start,
        mechanisms: settings.mechanisms.clone(),
        terminating: terminating.clone(),
    };
    let balancing = tokio::spawn(coordinator.run());
    log::info!(process = &*settings.process, engine:% = own_engine; "started");
    signals.wait_for_termination().await;
    terminating.cancel();
    if tokio::time::timeout(SETTLE_TIMEOUT, balancing).await.is_err() {
        log::warn!("map switch left unfinished");
    }
    log::info!("stopped");
    Ok(())
}

/// The receiver of datagrams from other endpoint processes.
struct DatagramListener<E, F> {
    socket: Arc<UdpSocket>,
    rank_states: Arc<Mutex<RankStates>>,
    discovery: Arc<Discovery>,
    transport: Transport,
    order_handler: Arc<OrderHandler<E, F>>,
    order_client: Arc<OrderClient>,
    maps: Arc<Mutex<MapCache>>,
    metrics: Arc<Metrics>,
    /// Permits of the tasks that answer datagrams.
    tasks: Arc<Semaphore>,
}

impl<E, F> DatagramListener<E, F>
where
    E: Engine,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// Receives datagrams until the task is dropped.
    async fn run(self) {
        receive_datagrams(&self.socket, MAX_DATAGRAM_BYTES, Datagram::decode, |peer, datagram| {
            match datagram {
                Ok(datagram) => self.dispatch(peer, datagram),
                Err(_) => self.metrics.count("datagrams.unreadable"),
            }
        })
        .await;
    }

    fn dispatch(&self, peer: SocketAddr, datagram: Datagram) {
        match datagram {
            Datagram::Announcement(announcement) => {
                let discovery = Arc::clone(&self.discovery);
                self.spawn(async move { discovery.on_announcement(peer, announcement).await });
            }
            Datagram::Answer(answer) => self.order_client.on_answer(peer, answer),
            Datagram::Delegated(order) => {
                self.spawn(Arc::clone(&self.order_handler).handle_delegated(peer, order));
            }
            Datagram::Demand(sample) => self.rank_states.lock().on_demand_sample(&sample),
            Datagram::Map(MapCopy { epoch, version, map }) => {
                self.maps.lock().insert(epoch, version, map);
            }
            Datagram::MapRequest { epoch, version } => self.send_map(peer, epoch, version),
            Datagram::Members(members) => self.discovery.on_members(members),
            Datagram::Order(order) => {
                self.spawn(Arc::clone(&self.order_handler).handle(peer, order));
            }
            Datagram::Row(row) => self.maps.lock().insert_row(row),
            Datagram::RowRequest { epoch, version } => {
                self.spawn(Arc::clone(&self.order_handler).send_row(peer, epoch, version));
            }
            Datagram::Relayed(order) => {
                self.spawn(Arc::clone(&self.order_handler).handle_relayed(order));
            }
            Datagram::Report(state) => {
                if let Some(membership) = &state.report.membership {
                    self.discovery.on_report(state.engine, membership);
                }
                if !self.rank_states.lock().on_report(*state) {
                    self.metrics.count("reports.ignored");
                    log::warn!(peer:% = peer; "report ignored");
                }
            }
        }
    }

    /// Runs a task for a datagram, unless too many run. Senders repeat what is not answered.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let Ok(permit) = Arc::clone(&self.tasks).try_acquire_owned() else {
            self.metrics.count("datagrams.dropped");
            log::warn!("datagram dropped");
            return;
        };
        tokio::spawn(async move {
            task.await;
            drop(permit);
        });
    }

    /// Sends a map to a process that lacks it, if this process has it.
    fn send_map(&self, peer: SocketAddr, epoch: GroupEpoch, version: MapVersion) {
        let Some(map) = self.maps.lock().get(epoch, version) else { return };
        let transport = self.transport.clone();
        self.spawn(async move {
            transport.send(peer, &Datagram::Map(MapCopy { epoch, version, map })).await;
        });
    }
}
