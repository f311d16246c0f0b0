//! The members that divide a whole, as far as one of them knows.
//!
//! A process that lists lack can't be seen by the others, and so can't see those in its own state.
//! The members of the last list that named it count until lists name it again.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::MembershipEvidence;

/// Tracks the members of the last list that named this process.
#[derive(Clone, Debug, Default)]
pub struct SharingMembers {
    listed: BTreeSet<SocketAddr>,
}

impl SharingMembers {
    /// The members that divide a whole while `known` are those of the last list.
    pub fn update(
        &mut self,
        evidence: MembershipEvidence,
        known: BTreeSet<SocketAddr>,
    ) -> BTreeSet<SocketAddr> {
        match evidence {
            MembershipEvidence::Current { .. } => {
                self.listed.clone_from(&known);
                known
            }
            MembershipEvidence::Stale { .. } => self.listed.union(&known).copied().collect(),
            MembershipEvidence::None | MembershipEvidence::Unconfirmed => known,
        }
    }
}
