//! The map that a group has in use, and how a process learns it that was not there when
//! it came into use.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    edge::{Engine, FleetSource},
    experts::{GroupEpoch, GroupMap, MapVersion},
};
use rand::seq::IndexedRandom;

use super::Coordinator;
use crate::{beliefs::Group, engine_calls::read_row, memory::Memory, message::Datagram};

/// How often a map that this process lacks is asked for.
const ASK_MAP_PERIOD: Duration = Duration::from_millis(200);

impl<E, S, F> Coordinator<E, S, F>
where
    E: Engine,
    S: FleetSource,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// The map that all ranks have in use. One that this process was not given, as it
    /// was not there then, it asks one of them for, and after that all of them for what
    /// their engines hold.
    pub(super) async fn current_map(
        &self,
        memory: &mut Memory,
        group: &Group,
    ) -> Option<Arc<GroupMap>> {
        let version = group.map_version()?;
        let known = self.maps.lock().get(group.epoch, version);
        if known.is_some() {
            memory.map_asked = None;
            return known;
        }
        match memory.map_asked.filter(|(asked, _)| *asked == version) {
            Some((_, at)) if at.elapsed() < ASK_MAP_PERIOD => return None,
            Some(_) => self.ask_rows(group, version).await,
            None => self.ask_map(group, version).await,
        }
        memory.map_asked = Some((version, Instant::now()));
        None
    }

    async fn ask_map(&self, group: &Group, version: MapVersion) {
        let others: Vec<SocketAddr> =
            group.engines.iter().copied().filter(|engine| *engine != self.own).collect();
        let asked = others.choose(&mut rand::rng()).copied();
        if let Some(asked) = asked {
            let asking = Datagram::MapRequest { epoch: group.epoch, version };
            self.mailbox.send(self.mailbox.peer(asked), &asking).await;
        }
    }

    /// Asks all ranks what they hold: 60 bytes each for ten sets of three places. What an
    /// engine holds whose process is silent is read from it.
    async fn ask_rows(&self, group: &Group, version: MapVersion) {
        log::info!(version; "nobody knows the map in use; ranks are asked what they hold");
        for engine in &group.engines {
            match self.is_silent(*engine) {
                true => self.read_row(*engine, group.epoch, version),
                false => {
                    let asking = Datagram::RowRequest { epoch: group.epoch, version };
                    self.mailbox.send(self.mailbox.peer(*engine), &asking).await;
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
