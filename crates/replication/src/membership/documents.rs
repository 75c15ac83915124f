//! Documents: facts that are too long for gossip. Most daemons usually read them from another source.
//!
//! A daemon with a new version compares with a few members at once. A daemon that lacks a document gets
//! it by a comparison. Holder documents are stored only by daemons that hold groups; other daemons
//! create them, send them to holders, and request them from holders.

use dahlia_types::{DaemonId, Duration};
use rand::Rng;
use rand::seq::SliceRandom;

use super::state::{Action, Membership};
use super::{Fact, FactKey, Member, MemberMessage, SyncChunk};

/// Interval between two rounds in which a daemon announces newer holder documents. Several readers of the
/// same source each create new versions, and each round announces only the newest of them.
const HOLDER_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(5);
/// Holders that receive a new holder document from the daemon that created it. They pass it on. The
/// second copy is for the case that the first holder dies with it.
const HOLDER_DOCUMENT_COPIES: usize = 2;

/// With at least this many holders in the own zone, these are preferred.
const MIN_HOLDERS_IN_ZONE: usize = 4;

impl Membership {
    /// Requests the holder documents as soon as a holder is known.
    pub fn request_holder_documents(&mut self) {
        self.wants_holder_documents = true;
    }

    /// Stores a document that other daemons get from the same source as this one. It is available for
    /// comparisons, but it is not announced.
    pub fn publish_without_spreading(&mut self, key: FactKey, version: u64, bytes: Vec<u8>) {
        let has_unannounced_documents = self.has_unannounced_documents;
        self.publish(key, version, bytes);
        self.has_unannounced_documents = has_unannounced_documents;
    }

    /// Compares with some members after a document has changed. Members that already have it, usually
    /// all of them, do not answer. The document itself is too large for gossip.
    pub(super) fn announce_documents(&mut self) {
        let fanout = self.settings.gossip_fanout;
        let mut targets = Vec::new();
        if std::mem::take(&mut self.has_unannounced_documents) {
            // Members of any zone: each of them announces it in turn.
            let region = self.own.info.region.clone();
            let share = self.settings.cross_region_share;
            targets = self.members.choose(fanout, &region, share, &mut self.random);
        }
        if self.has_unannounced_holder_documents && self.now >= self.next_holder_announcement {
            self.has_unannounced_holder_documents = false;
            self.next_holder_announcement = self.now + HOLDER_ANNOUNCEMENT_INTERVAL;
            targets.extend(self.choose_holders(fanout));
        }
        for daemon in targets {
            self.compare_with(daemon);
        }
    }

    pub(super) fn handle_fact(&mut self, from: DaemonId, fact: Fact) {
        let stored_version = self.facts.get(&fact.key).map(|stored| stored.version);
        if matches!(fact.key, FactKey::Document(_)) && stored_version > Some(fact.version) {
            // A daemon that creates holder documents reads them from its own source, and will soon
            // have the newer version.
            let is_holder = |member: &Member| member.record.info.holds_groups;
            if !fact.key.is_holder_document() || self.members.get(from).is_some_and(is_holder) {
                self.send_newer_document(from, &fact.key);
            }
        } else if self.merge_fact(fact.clone()) {
            self.actions.push(Action::FactChanged(fact));
        }
    }

    /// Requests the holder documents from a holder, preferably of the own zone. Returns whether a
    /// holder is known.
    pub(super) fn ask_for_holder_documents(&mut self) -> bool {
        let Some(holder) = self.choose_holders(1).first().copied() else { return false };
        let chunk = SyncChunk { wanted_members: 0, wanted_facts: u64::MAX };
        self.send_chunk(holder, chunk, Vec::new());
        true
    }

    /// Sends new holder documents that this daemon created to some holders, which pass them on.
    pub(super) fn send_new_holder_documents(&mut self) {
        let numbers = std::mem::take(&mut self.unsent_holder_documents);
        let facts: Vec<Fact> = numbers
            .iter()
            .filter_map(|number| self.facts.get(&FactKey::Document(*number)))
            .cloned()
            .collect();
        if facts.is_empty() {
            return;
        }
        let holders = self.choose_holders(HOLDER_DOCUMENT_COPIES);
        if holders.is_empty() {
            self.unsent_holder_documents = numbers;
        }
        for holder in holders {
            let chunk = SyncChunk { wanted_members: 0, wanted_facts: 0 };
            self.send_chunk(holder, chunk, facts.clone());
        }
    }

    fn send_chunk(&mut self, to: DaemonId, chunk: SyncChunk, facts: Vec<Fact>) {
        let Some(address) = self.members.get(to).map(|member| member.record.info.address) else {
            return;
        };
        let records = vec![self.own.clone()];
        self.send_to_address(address, MemberMessage::SyncChunk(chunk), records, facts);
    }

    /// Present members that hold groups. Usually those of the own zone come first, if it has enough.
    pub(super) fn choose_holders(&mut self, count: usize) -> Vec<DaemonId> {
        let zone = self.own.info.zone.clone();
        let holders = self.members.present().filter(|member| member.record.info.holds_groups);
        let mut holders: Vec<(bool, DaemonId)> = holders
            .map(|member| &member.record.info)
            .map(|info| (info.zone != zone, info.daemon))
            .collect();
        holders.shuffle(&mut self.random);
        let near = holders.iter().filter(|(is_far, _)| !is_far).count();
        let crosses_zones = self.random.random_bool(self.settings.cross_zone_share);
        if near >= MIN_HOLDERS_IN_ZONE && !crosses_zones {
            holders.sort_by_key(|(is_far, _)| *is_far);
        }
        holders.into_iter().take(count).map(|(_, daemon)| daemon).collect()
    }

    /// Sends a newer document to a daemon that sent an older version.
    pub(super) fn send_newer_document(&mut self, to: DaemonId, key: &FactKey) {
        let Some(fact) = self.facts.get(key).cloned() else { return };
        let Some(address) = self.members.get(to).map(|member| member.record.info.address) else {
            return;
        };
        self.sync_budget.spend(fact.wire_bytes());
        let chunk = SyncChunk { wanted_members: 0, wanted_facts: 0 };
        self.send_to_address(address, MemberMessage::SyncChunk(chunk), Vec::new(), vec![fact]);
    }
}
