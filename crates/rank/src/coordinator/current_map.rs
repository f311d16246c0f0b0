//! Finding the expert map in use, also for a leader that started after the switch to it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    adapter::{Engine, FleetSource},
    experts::{GroupEpoch, GroupMap, MapVersion},
};
use rand::seq::IndexedRandom;

use super::Coordinator;
use crate::{
    engine_calls::read_row, leader_state::LeaderState, message::Datagram,
    rank_states::GroupSnapshot,
};

/// How often a missing map is requested.
const MAP_REQUEST_PERIOD: Duration = Duration::from_millis(200);

impl<E, S, F> Coordinator<E, S, F>
where
    E: Engine,
    S: FleetSource,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// The map that all ranks use; `None` while it is missing. A missing map is requested from
    /// one process first, and then rebuilt from the rows that the engines hold.
    pub(super) async fn current_map(
        &self,
        state: &mut LeaderState,
        group: &GroupSnapshot,
    ) -> Option<Arc<GroupMap>> {
        let version = group.map_version()?;
        let known = self.maps.lock().get(group.epoch, version);
        if known.is_some() {
            state.requested_map = None;
            return known;
        }
        match state.requested_map.filter(|(requested, _)| *requested == version) {
            Some((_, at)) if at.elapsed() < MAP_REQUEST_PERIOD => return None,
            Some(_) => self.request_rows(group, version).await,
            None => self.request_map(group, version).await,
        }
        state.requested_map = Some((version, Instant::now()));
        None
    }

    async fn request_map(&self, group: &GroupSnapshot, version: MapVersion) {
        let others: Vec<SocketAddr> =
            group.engines.iter().copied().filter(|engine| *engine != self.own_engine).collect();
        let engine = others.choose(&mut rand::rng()).copied();
        if let Some(engine) = engine {
            let request = Datagram::MapRequest { epoch: group.epoch, version };
            self.transport.send(self.transport.peer(engine), &request).await;
        }
    }

    /// Requests the row of every rank: 60 bytes each for ten sets of three slots. The engine of a
    /// silent process is read directly.
    async fn request_rows(&self, group: &GroupSnapshot, version: MapVersion) {
        log::info!(version; "expert map missing, rows requested");
        for engine in &group.engines {
            match self.is_silent(*engine) {
                true => self.read_row(*engine, group.epoch, version),
                false => {
                    let request = Datagram::RowRequest { epoch: group.epoch, version };
                    self.transport.send(self.transport.peer(*engine), &request).await;
                }
            }
        }
    }

    fn read_row(&self, engine: SocketAddr, epoch: GroupEpoch, version: MapVersion) {
        let (client, maps) = ((self.make_engine)(engine), Arc::clone(&self.maps));
        self.metrics.count("engines.read_directly");
        tokio::spawn(async move {
            match read_row(&client, epoch, version).await {
                Ok(row) => row.into_iter().for_each(|row| maps.lock().insert_row(row)),
                Err(error) => log::debug!("{error}"),
            }
        });
    }
}
