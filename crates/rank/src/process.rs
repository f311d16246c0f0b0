//! Setting the process up.

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context;
use lynxmount_core::{
    Clock, Mechanism, SiteSettings,
    edge::{Engine, FleetSource},
    experts::{GroupEpoch, MapVersion},
};
use lynxmount_group::MapCache;
use lynxmount_link::{GROUP_PORT_OFFSET, bind, receive, serve, wait_for_end};
use lynxmount_telemetry::{Metrics, MetricsPort};
use parking_lot::Mutex;
use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    beliefs::Beliefs,
    coordinator::Coordinator,
    demand::Demand,
    duty::Duty,
    inbox::Inbox,
    mailbox::Mailbox,
    members::Members,
    message::{Datagram, MapCopy},
    notifier::Notifier,
    outbox::Outbox,
    reporter::Reporter,
    roster::Roster,
};

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Runs an endpoint process until it is told to leave.
///
/// Fails if the settings name no engine, or an address can't be bound.
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
    let own = settings.engine_address.context("the settings name no engine")?;
    let port = settings.internal_ports.0;
    let address = SocketAddr::new(settings.ip, port);
    let metrics = Arc::new(Metrics::default());
    let clock = Clock::start();
    let roster = Arc::new(Roster::default());
    let demand = Demand::new(settings.mechanisms.has(Mechanism::ShiftDetection));
    let beliefs = Arc::new(Mutex::new(Beliefs::new(own, demand)));
    let maps: Arc<Mutex<MapCache>> = Arc::default();
    let link_bytes_per_s = settings.link_bytes_per_s();
    let engine = Arc::new(make_engine(own));
    let source = Arc::new(source);
    let socket = UdpSocket::bind(address).await.with_context(|| format!("bind {address}"))?;
    let socket = Arc::new(socket);
    let mailbox = Mailbox::new(Arc::clone(&socket), port);
    let members = Arc::new(Members::new(own, clock, Arc::clone(&roster), mailbox.clone()));
    let reporter = Arc::new(Reporter {
        engine: Arc::clone(&engine),
        address: own,
        members: Arc::clone(&members),
        mailbox: mailbox.clone(),
        metrics: Arc::clone(&metrics),
        awaited: Mutex::default(),
        link_bytes_per_s,
        maps: Arc::clone(&maps),
        wake: Notify::new(),
    });
    if let Some(port) = metrics_port {
        let shown = MetricsPort(Arc::clone(&metrics));
        tokio::spawn(serve(bind(SocketAddr::new(settings.ip, port)).await?, Arc::new(shown)));
    }
    let outbox = Arc::new(Outbox::new(mailbox.clone(), address, link_bytes_per_s));
    let inbox = Arc::new(Inbox {
        reporter: Arc::clone(&reporter),
        mailbox: mailbox.clone(),
        maps: Arc::clone(&maps),
        under_way: Mutex::default(),
    });
    let port_state = Port {
        socket,
        beliefs: Arc::clone(&beliefs),
        members: Arc::clone(&members),
        mailbox: mailbox.clone(),
        inbox,
        outbox: Arc::clone(&outbox),
        maps: Arc::clone(&maps),
        metrics: Arc::clone(&metrics),
    };
    let seeds = settings.seeds.clone();
    let searching = Arc::clone(&members);
    tokio::spawn(
        Arc::clone(&roster)
            .follow(Arc::clone(&source), seeds, own, move || searching.is_searching()),
    );
    tokio::spawn(port_state.listen());
    tokio::spawn(reporter.run());
    let duty = Arc::new(Duty { own, members: Arc::clone(&members), beliefs: Arc::clone(&beliefs) });
    let notices = SocketAddr::new(settings.ip, port + GROUP_PORT_OFFSET);
    let notifier = Arc::new(Notifier {
        socket: UdpSocket::bind(notices).await.with_context(|| format!("bind {notices}"))?,
        duty: Arc::clone(&duty),
        members: Arc::clone(&members),
        beliefs: Arc::clone(&beliefs),
        clock,
        asked: Mutex::default(),
    });
    tokio::spawn(Arc::clone(&notifier).listen());
    tokio::spawn(notifier.run());
    let coordinator = Coordinator {
        engine,
        make_engine,
        source,
        own,
        mailbox,
        roster,
        members,
        duty,
        beliefs,
        outbox,
        maps,
        metrics,
        clock,
        mechanisms: settings.mechanisms.clone(),
    };
    tokio::spawn(coordinator.run());
    log::info!(process = &*settings.process, engine:% = own; "started");
    wait_for_end().await?;
    log::info!("stopped");
    Ok(())
}

/// The port on which processes talk.
struct Port<E> {
    socket: Arc<UdpSocket>,
    beliefs: Arc<Mutex<Beliefs>>,
    members: Arc<Members>,
    mailbox: Mailbox,
    inbox: Arc<Inbox<E>>,
    outbox: Arc<Outbox>,
    maps: Arc<Mutex<MapCache>>,
    metrics: Arc<Metrics>,
}

impl<E: Engine> Port<E> {
    /// Takes datagrams until the task is dropped.
    async fn listen(self) {
        receive(
            &self.socket,
            MAX_DATAGRAM_BYTES,
            Datagram::decode,
            |peer, datagram| match datagram {
                Ok(datagram) => self.take(peer, datagram),
                Err(_) => self.metrics.count("datagrams.unreadable"),
            },
        )
        .await;
    }

    fn take(&self, peer: SocketAddr, datagram: Datagram) {
        match datagram {
            Datagram::Announcement(announcement) => {
                let members = Arc::clone(&self.members);
                tokio::spawn(async move { members.announced(peer, announcement).await });
            }
            Datagram::Answer(answer) => self.outbox.answered(peer, answer),
            Datagram::Demand(sample) => self.beliefs.lock().hear_demand(&sample),
            Datagram::Map(MapCopy { epoch, version, map }) => {
                self.maps.lock().insert(epoch, version, map);
            }
            Datagram::MapRequest { epoch, version } => self.send_map(peer, epoch, version),
            Datagram::Members(members) => self.members.told(members),
            Datagram::Order(order) => {
                tokio::spawn(Arc::clone(&self.inbox).take(peer, order));
            }
            Datagram::Row(row) => self.maps.lock().insert_row(row),
            Datagram::RowRequest { epoch, version } => {
                tokio::spawn(Arc::clone(&self.inbox).tell_row(peer, epoch, version));
            }
            Datagram::Relayed(order) => {
                tokio::spawn(Arc::clone(&self.inbox).take_relayed(order));
            }
            Datagram::Report(state) => {
                if let Some(membership) = &state.report.membership {
                    self.members.heard(state.engine, membership);
                }
                self.beliefs.lock().hear(*state);
            }
        }
    }

    /// Sends a map to a process that lacks it, if it is known here.
    fn send_map(&self, peer: SocketAddr, epoch: GroupEpoch, version: MapVersion) {
        let Some(map) = self.maps.lock().get(epoch, version) else { return };
        let mailbox = self.mailbox.clone();
        tokio::spawn(async move {
            mailbox.send(peer, &Datagram::Map(MapCopy { epoch, version, map })).await;
        });
    }
}
