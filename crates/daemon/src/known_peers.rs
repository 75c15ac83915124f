//! Addresses of the other daemons, saved as a document in the data folder.
//!
//! Seeds may be stale or down. With the saved addresses a restarted daemon finds the others, and
//! announces itself to those that save nothing.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dahlia_node::{Event, SharedDocument};
use tokio::time::{Instant, sleep_until};

use crate::core_handle::CoreHandle;
use crate::logging::part;

/// The number of this document. It is never shared, since each daemon has its own list.
pub(crate) const DOCUMENT_NUMBER: u32 = u32::MAX;
/// Time between comparisons of the list with the saved one. Machines come and go a few times a minute at
/// most. One that came just before a stop finds the others by its seeds.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long addresses from before the restart stay in the list although no daemon has answered there:
/// this process may end before all others are back. Longer than a restart of all machines.
const RESTORED_ADDRESS_LIFETIME: Duration = Duration::from_secs(60);
/// Most addresses in the list: three times the daemons of the largest planned deployment.
const MAX_ADDRESSES: usize = 1_024;

/// Tracks the addresses of the known daemons.
pub(crate) struct KnownPeers {
    core: CoreHandle,
    restored: BTreeSet<SocketAddr>,
    restored_until: Instant,
    saved: BTreeSet<SocketAddr>,
    version: u64,
    next_check: Instant,
}

impl KnownPeers {
    /// Starts with an empty list.
    pub(crate) fn new(core: CoreHandle) -> Self {
        let now = Instant::now();
        Self {
            core,
            restored: BTreeSet::new(),
            restored_until: now + RESTORED_ADDRESS_LIFETIME,
            saved: BTreeSet::new(),
            version: 0,
            next_check: now + CHECK_INTERVAL,
        }
    }

    /// Announces this daemon at the addresses that were saved before the restart.
    pub(crate) async fn restore(&mut self, document: &SharedDocument) {
        self.version = document.version;
        let Some(addresses) = decode(&document.bytes) else {
            log::warn!(target: part::STORE, "The kept addresses are passed over: malformed.");
            return;
        };
        log::info!(
            target: part::STORE,
            addresses = addresses.len(), version = document.version;
            "Contacting the peers that were known before the restart."
        );
        self.core.send_event(Event::PreviousPeers(addresses.clone())).await;
        self.restored = addresses.into_iter().collect();
        self.saved = self.restored.clone();
    }

    /// Waits until the list differs from the last one, and returns it. Safe to cancel at any time.
    pub(crate) async fn changed(&mut self) -> SharedDocument {
        loop {
            sleep_until(self.next_check).await;
            self.next_check = Instant::now() + CHECK_INTERVAL;
            let addresses = self.addresses().await;
            if !addresses.is_empty() && addresses != self.saved {
                self.version += 1;
                let bytes = encode(&addresses);
                self.saved = addresses;
                return SharedDocument { number: DOCUMENT_NUMBER, version: self.version, bytes };
            }
        }
    }

    async fn addresses(&self) -> BTreeSet<SocketAddr> {
        let own = self.core.replica_id().daemon;
        let members = self.core.daemons().await;
        let others = members.iter().filter(|member| member.record.info.daemon != own);
        let known = others.map(|member| member.record.info.address);
        let is_recent = Instant::now() < self.restored_until;
        let restored = self.restored.iter().filter(|_| is_recent).copied();
        known.chain(restored).take(MAX_ADDRESSES).collect()
    }
}

fn encode(addresses: &BTreeSet<SocketAddr>) -> Vec<u8> {
    let encoded = bincode::serde::encode_to_vec(addresses, bincode::config::standard());
    encoded.expect("addresses are plain")
}

fn decode(bytes: &[u8]) -> Option<Vec<SocketAddr>> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    let (addresses, _): (Vec<SocketAddr>, usize) = decoded.ok()?;
    (addresses.len() <= MAX_ADDRESSES).then_some(addresses)
}
