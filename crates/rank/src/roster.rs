//! Which endpoint processes there are.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_core::{EndpointList, Offset, Result, edge::FleetSource};
use lynxmount_link::ask_fleet;
use parking_lot::Mutex;

/// How often the registrations are read. Only a replaced machine changes who the
/// first ones are, so that this may lag.
const READ_PERIOD: Duration = Duration::from_secs(12);

/// How often they are read as long as the own engine is not among them.
const FIRST_READ_PERIOD: Duration = Duration::from_millis(700);

/// How many processes hear of each rank: one balances, the next ones take over.
const LISTENERS: usize = 3;

/// The engines of the own service, in the order of their addresses.
#[derive(Default)]
pub(crate) struct Roster {
    engines: Mutex<Vec<SocketAddr>>,
}

impl Roster {
    /// The engines beside which processes listen to reports, first ones first.
    pub(crate) fn listeners(&self) -> Vec<SocketAddr> {
        self.engines.lock().iter().take(LISTENERS).copied().collect()
    }

    /// All engines of the service.
    pub(crate) fn engines(&self) -> Vec<SocketAddr> {
        self.engines.lock().clone()
    }

    /// The place of an engine in the order.
    pub(crate) fn place(&self, engine: SocketAddr) -> Option<usize> {
        self.engines.lock().iter().position(|known| *known == engine)
    }

    /// Takes over registrations.
    fn take(&self, list: &EndpointList, own: SocketAddr) {
        let service = list.endpoints.iter().find(|e| e.address == own).map(|e| e.service.clone());
        let Some(service) = service else { return };
        let of_service = list.endpoints.iter().filter(|endpoint| endpoint.service == service);
        let mut engines: Vec<SocketAddr> = of_service.map(|endpoint| endpoint.address).collect();
        engines.sort();
        engines.dedup();
        *self.engines.lock() = engines;
    }

    /// Follows the registrations until the task is dropped.
    pub(crate) async fn follow(
        self: Arc<Roster>,
        source: Arc<impl FleetSource>,
        seeds: Vec<SocketAddr>,
        own: SocketAddr,
    ) {
        let mut list = EndpointList::default();
        loop {
            match read(&*source, &seeds, &list).await {
                Ok(read) => {
                    list = read;
                    self.take(&list, own);
                }
                Err(error) => log::warn!(error:% = error; "registrations can't be read"),
            }
            let is_listed = self.place(own).is_some();
            tokio::time::sleep(if is_listed { READ_PERIOD } else { FIRST_READ_PERIOD }).await;
        }
    }
}

/// Reads the registrations from an entry, which has read them for itself, or
/// from the platform if no entry answers.
async fn read(
    source: &impl FleetSource,
    seeds: &[SocketAddr],
    list: &EndpointList,
) -> Result<EndpointList> {
    for seed in seeds {
        match ask_fleet(*seed, Offset::MAX, list.read_to).await {
            Ok(known) => return Ok(known.endpoints.unwrap_or_else(|| list.clone())),
            Err(error) => log::debug!("{error}"),
        }
    }
    source.refresh_endpoints(list).await
}
