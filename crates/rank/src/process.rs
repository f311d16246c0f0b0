//! Setting the process up.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use anyhow::Context;
use lynxmount_core::{
    SiteSettings,
    edge::{Engine, FleetSource},
};
use lynxmount_link::{bind, serve};
use lynxmount_telemetry::{Metrics, MetricsPort};
use parking_lot::Mutex;
use tokio::{
    net::UdpSocket,
    signal::unix::{SignalKind, signal},
    sync::Notify,
};

use crate::{
    beliefs::Beliefs,
    coordinator::Coordinator,
    message::RankState,
    orders::{OrderPort, Peers},
    reporter::Reporter,
    roster::Roster,
};

/// The largest report, in bytes: that of a datagram.
const MAX_REPORT_BYTES: usize = 65_536;

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
    let roster = Arc::new(Roster::default());
    let beliefs = Arc::new(Mutex::new(Beliefs::default()));
    let engine = Arc::new(make_engine(own));
    let source = Arc::new(source);
    let socket = UdpSocket::bind(address).await.with_context(|| format!("bind {address}"))?;
    let socket = Arc::new(socket);
    let reporter = Arc::new(Reporter {
        engine: Arc::clone(&engine),
        address: own,
        roster: Arc::clone(&roster),
        socket: Arc::clone(&socket),
        port,
        metrics: Arc::clone(&metrics),
        copying: Mutex::default(),
        wake: Notify::new(),
    });
    if let Some(port) = metrics_port {
        let shown = MetricsPort(Arc::clone(&metrics));
        tokio::spawn(serve(bind(SocketAddr::new(settings.ip, port)).await?, Arc::new(shown)));
    }
    let order_port = OrderPort { reporter: Arc::clone(&reporter) };
    tokio::spawn(serve(bind(address).await?, Arc::new(order_port)));
    tokio::spawn(Arc::clone(&roster).follow(Arc::clone(&source), own));
    tokio::spawn(listen(socket, Arc::clone(&beliefs), Arc::clone(&metrics)));
    tokio::spawn(reporter.run());
    let coordinator = Coordinator {
        engine,
        make_engine,
        source,
        own,
        port,
        roster,
        beliefs,
        peers: Peers::default(),
        metrics,
        started: Instant::now(),
    };
    tokio::spawn(coordinator.run());
    log::info!(process = &*settings.process, engine:% = own; "started");
    wait_for_end().await?;
    log::info!("stopped");
    Ok(())
}

/// Takes reports until the task is dropped.
async fn listen(socket: Arc<UdpSocket>, beliefs: Arc<Mutex<Beliefs>>, metrics: Arc<Metrics>) {
    let mut datagram = vec![0; MAX_REPORT_BYTES];
    loop {
        let (length, peer) = match socket.recv_from(&mut datagram).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram may have come back as undeliverable.
                log::debug!("no report received: {error}");
                continue;
            }
        };
        match RankState::decode(peer, &datagram[..length]) {
            Ok(state) => beliefs.lock().hear(state),
            Err(error) => {
                metrics.count("reports.unreadable");
                log::warn!(error:% = error; "a report can't be read");
            }
        }
    }
}

async fn wait_for_end() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM can't be watched")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT can't be watched")?;
    let mut hangup = signal(SignalKind::hangup()).context("SIGHUP can't be watched")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("settings are read at the next start"),
        }
    }
}
