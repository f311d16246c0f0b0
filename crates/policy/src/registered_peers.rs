//! The addresses of peers, from a registry that may be restored from an older copy.
//!
//! The copy may lack processes that have registered since. They register again, so that the
//! addresses known before stay valid until all of them have had the time to.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use lynxmount_core::LogEra;

use crate::MEMBERSHIP_CONVERGENCE_TIME;

/// The peers that are registered, or were before the registry was restored.
#[derive(Debug, Default)]
pub struct RegisteredPeers {
    era: LogEra,
    listed: BTreeSet<SocketAddr>,
    former: BTreeSet<SocketAddr>,
    former_valid_until: Duration,
}

impl RegisteredPeers {
    /// Applies all addresses that were just read from the registry in an era. Ignores those of an
    /// earlier era than known.
    pub fn update(&mut self, era: LogEra, addresses: Vec<SocketAddr>, now: Duration) {
        if era < self.era {
            return;
        }
        if era > self.era {
            self.former = self.addresses();
            self.former_valid_until = now + MEMBERSHIP_CONVERGENCE_TIME;
            self.era = era;
        }
        if now >= self.former_valid_until {
            self.former.clear();
        }
        self.listed = addresses.into_iter().collect();
    }

    /// All addresses.
    pub fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.listed.union(&self.former).copied().collect()
    }
}
