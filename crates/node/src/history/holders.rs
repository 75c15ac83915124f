//! Chooses the store daemons that hold a chunk by rendezvous hashing (Thaler and Ravishankar 1998)
//! over the live ones. A change of one daemon moves only its own chunks, and no table is needed.

use std::hash::{DefaultHasher, Hash, Hasher};

use dahlia_replication::membership::{FactKey, Member};
use dahlia_types::{ChunkKey, DaemonId, Zone};

use crate::node::Node;

/// The contents of the fact that announces a daemon's store.
const STORE_FACT: &[u8] = b"store";

/// A live store daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoreDaemon {
    pub(super) daemon: DaemonId,
    zone: Zone,
}

impl Node {
    /// Announces to all daemons that this one has a store.
    pub(crate) fn publish_store(&mut self) {
        let own = self.settings.own;
        let key = FactKey::Other(own.daemon.0);
        self.membership.publish(key, own.incarnation.0, STORE_FACT.to_vec());
    }

    /// Returns the live store daemons, ordered by daemon id.
    pub(super) fn store_daemons(&self) -> Vec<StoreDaemon> {
        let has_store = |member: &Member| {
            let key = FactKey::Other(member.record.info.daemon.0);
            let incarnation = member.record.info.incarnation.0;
            let fact = self.membership.fact(&key);
            fact.is_some_and(|fact| fact.version == incarnation && fact.bytes == STORE_FACT)
        };
        let members = self.membership.members().into_iter();
        members
            .filter(|member| member.takes_work() && has_store(member))
            .map(|member| StoreDaemon {
                daemon: member.record.info.daemon,
                zone: member.record.info.zone,
            })
            .collect()
    }
}

/// Returns the daemons that should hold a chunk, by descending rank, in different zones as far as
/// possible.
pub(super) fn holders(key: &ChunkKey, stores: &[StoreDaemon], copies: usize) -> Vec<DaemonId> {
    let ranked = ranked(key, stores);
    let mut chosen: Vec<&StoreDaemon> = Vec::new();
    for is_spread in [true, false] {
        for store in &ranked {
            let shares_zone = chosen.iter().any(|other| other.zone == store.zone);
            let is_chosen = chosen.iter().any(|other| other.daemon == store.daemon);
            if chosen.len() < copies && !is_chosen && !(is_spread && shares_zone) {
                chosen.push(store);
            }
        }
    }
    chosen.into_iter().map(|store| store.daemon).collect()
}

/// Returns all store daemons, the most likely holders first.
pub(super) fn ranked<'a>(key: &ChunkKey, stores: &'a [StoreDaemon]) -> Vec<&'a StoreDaemon> {
    let mut ranked: Vec<&StoreDaemon> = stores.iter().collect();
    ranked.sort_by_key(|store| std::cmp::Reverse((rank(key, store.daemon), store.daemon)));
    ranked
}

/// Returns the rank of a daemon for a chunk. `DefaultHasher::new` has fixed keys. Daemons of different
/// builds may disagree during an upgrade; repair then copies a few more chunks, and readers ask all
/// store daemons.
fn rank(key: &ChunkKey, daemon: DaemonId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, daemon).hash(&mut hasher);
    hasher.finish()
}
