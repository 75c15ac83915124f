//! Where the other daemons listen, as a document that is kept under the data folder.
//!
//! Seeds may be stale or away. A daemon that remembers the others finds them at its next start,
//! and makes itself known to those that keep nothing.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dahlia_node::{Event, SharedDocument};
use tokio::time::{Instant, sleep_until};

use crate::core_handle::CoreHandle;
use crate::logging::part;

/// The document's number among those that are kept. It is never shared: each daemon has its own.
pub(crate) const NUMBER: u32 = u32::MAX;
/// How often the list is compared with what is kept. Machines come and go a few times a minute at
/// most; one that came in the last moments before an end is found by its seeds.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);
/// How long addresses of the earlier life stay in the list although nobody was heard there: this
/// life may end before all others are back. Longer than a restart of all machines.
const KEEP_RECALLED: Duration = Duration::from_secs(60);
/// The most addresses in the list: three times the daemons of the largest deployment planned for.
const MOST_ADDRESSES: usize = 1_024;

/// Follows the addresses of the daemons that are known.
pub(crate) struct KnownPeers {
    core: CoreHandle,
    recalled: BTreeSet<SocketAddr>,
    recalled_until: Instant,
    held: BTreeSet<SocketAddr>,
    version: u64,
    next_look: Instant,
}

impl KnownPeers {
    /// Begins with no list.
    pub(crate) fn new(core: CoreHandle) -> Self {
        let now = Instant::now();
        Self {
            core,
            recalled: BTreeSet::new(),
            recalled_until: now + KEEP_RECALLED,
            held: BTreeSet::new(),
            version: 0,
            next_look: now + LOOK_INTERVAL,
        }
    }

    /// Makes this daemon known at the addresses that an earlier life kept.
    pub(crate) async fn recall(&mut self, document: &SharedDocument) {
        self.version = document.version;
        let Some(addresses) = decode(&document.bytes) else {
            log::warn!(target: part::STORE, "The kept addresses are passed over: malformed.");
            return;
        };
        log::info!(
            target: part::STORE,
            addresses = addresses.len(), version = document.version;
            "Daemons that an earlier life knew are greeted."
        );
        self.core.send_event(Event::PreviousPeers(addresses.clone())).await;
        self.recalled = addresses.into_iter().collect();
        self.held = self.recalled.clone();
    }

    /// Waits until the list differs from the last one, and gives it. May be dropped at any time.
    pub(crate) async fn changed(&mut self) -> SharedDocument {
        loop {
            sleep_until(self.next_look).await;
            self.next_look = Instant::now() + LOOK_INTERVAL;
            let addresses = self.addresses().await;
            if !addresses.is_empty() && addresses != self.held {
                self.version += 1;
                let bytes = encode(&addresses);
                self.held = addresses;
                return SharedDocument { number: NUMBER, version: self.version, bytes };
            }
        }
    }

    async fn addresses(&self) -> BTreeSet<SocketAddr> {
        let own = self.core.replica_id().daemon;
        let members = self.core.daemons().await;
        let others = members.iter().filter(|member| member.record.info.daemon != own);
        let known = others.map(|member| member.record.info.address);
        let is_recent = Instant::now() < self.recalled_until;
        let recalled = self.recalled.iter().filter(|_| is_recent).copied();
        known.chain(recalled).take(MOST_ADDRESSES).collect()
    }
}

fn encode(addresses: &BTreeSet<SocketAddr>) -> Vec<u8> {
    let encoded = bincode::serde::encode_to_vec(addresses, bincode::config::standard());
    encoded.expect("addresses are plain")
}

fn decode(bytes: &[u8]) -> Option<Vec<SocketAddr>> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    let (addresses, _): (Vec<SocketAddr>, usize) = decoded.ok()?;
    (addresses.len() <= MOST_ADDRESSES).then_some(addresses)
}
