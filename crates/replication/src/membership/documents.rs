//! Documents: longer than gossip carries, and read elsewhere by most daemons as a rule.
//!
//! Whoever has news of one compares with a few members at once; whoever lacks it gets it by a comparison.
//! Kept documents go to daemons that hold groups only; others make them, hand them in, and ask for them.

use dahlia_types::{DaemonId, Duration};
use rand::Rng;
use rand::seq::SliceRandom;

use super::state::{Action, Membership};
use super::{Fact, FactKey, Member, MemberMessage, SyncChunk};

/// Time between two rounds in which a daemon tells others that it has newer kept documents: some readers of
/// the same source each make them anew, and each round hands on the newest of them.
const KEPT_SPREAD_INTERVAL: Duration = Duration::from_secs(5);
/// Daemons with groups that are handed a kept document by whoever made it. They pass it on; a second one
/// is for the case that the first dies with it.
const KEPT_COPIES: usize = 2;

/// Daemons with groups of the own zone from which on these go before others.
const FEWEST_NEAR_HOLDERS: usize = 4;

impl Membership {
    /// Asks for the documents that only daemons with groups keep, as soon as one of these is known.
    pub fn request_holder_documents(&mut self) {
        self.wants_kept = true;
    }

    /// Takes in a document that others get by the same way as this daemon: it is there for comparisons,
    /// and nobody is told at once.
    pub fn publish_without_spreading(&mut self, key: FactKey, version: u64, bytes: Vec<u8>) {
        let has_document_news = self.has_document_news;
        self.publish(key, version, bytes);
        self.has_document_news = has_document_news;
    }

    /// Compares with some members after a document has changed. Those that know it already, as a
    /// rule everybody, say nothing; a document itself is too large for gossip.
    pub(super) fn spread_documents(&mut self) {
        let fanout = self.settings.gossip_fanout;
        let mut told = Vec::new();
        if std::mem::take(&mut self.has_document_news) {
            // Of any zone: whoever is told tells on.
            let region = self.own.info.region.clone();
            let share = self.settings.cross_region_share;
            told = self.members.choose(fanout, &region, share, &mut self.random);
        }
        if self.has_kept_news && self.now >= self.next_kept_spread {
            self.has_kept_news = false;
            self.next_kept_spread = self.now + KEPT_SPREAD_INTERVAL;
            told.extend(self.choose_holders(fanout));
        }
        for daemon in told {
            self.compare_with(daemon);
        }
    }

    pub(super) fn take_fact(&mut self, from: DaemonId, fact: Fact) {
        let held = self.facts.get(&fact.key).map(|held| held.version);
        if matches!(fact.key, FactKey::Document(_)) && held > Some(fact.version) {
            // Who makes kept documents reads them elsewhere, and will be as far in a moment.
            let keeps = |member: &Member| member.record.info.holds_groups;
            if !fact.key.is_holder_document() || self.members.get(from).is_some_and(keeps) {
                self.answer_old_document(from, &fact.key);
            }
        } else if self.merge_fact(fact.clone()) {
            self.actions.push(Action::FactChanged(fact));
        }
    }

    /// Asks a daemon that holds groups, a near one if there is one, for the documents that only these
    /// keep. Returns whether one is known.
    pub(super) fn ask_for_kept(&mut self) -> bool {
        let Some(holder) = self.choose_holders(1).first().copied() else { return false };
        let chunk = SyncChunk { wanted_members: 0, wanted_facts: u64::MAX };
        self.send_chunk(holder, chunk, Vec::new());
        true
    }

    /// Gives kept documents that are new here to some daemons that hold groups, which pass them on.
    pub(super) fn hand_in_kept(&mut self) {
        let news = std::mem::take(&mut self.kept_news);
        let facts: Vec<Fact> = news
            .iter()
            .filter_map(|number| self.facts.get(&FactKey::Document(*number)))
            .cloned()
            .collect();
        if facts.is_empty() {
            return;
        }
        let holders = self.choose_holders(KEPT_COPIES);
        if holders.is_empty() {
            self.kept_news = news;
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

    /// Present members that hold groups, mostly those of the own zone first, where it has some.
    pub(super) fn choose_holders(&mut self, count: usize) -> Vec<DaemonId> {
        let zone = self.own.info.zone.clone();
        let holders = self.members.present().filter(|member| member.record.info.holds_groups);
        let mut holders: Vec<(bool, DaemonId)> = holders
            .map(|member| &member.record.info)
            .map(|info| (info.zone != zone, info.daemon))
            .collect();
        holders.shuffle(&mut self.random);
        let near = holders.iter().filter(|(is_far, _)| !is_far).count();
        let leaves = self.random.random_bool(self.settings.cross_zone_share);
        if near >= FEWEST_NEAR_HOLDERS && !leaves {
            holders.sort_by_key(|(is_far, _)| *is_far);
        }
        holders.into_iter().take(count).map(|(_, daemon)| daemon).collect()
    }

    /// Gives a newer document to whoever sent an older one.
    pub(super) fn answer_old_document(&mut self, to: DaemonId, key: &FactKey) {
        let Some(fact) = self.facts.get(key).cloned() else { return };
        let Some(address) = self.members.get(to).map(|member| member.record.info.address) else {
            return;
        };
        self.sync_budget.spend(fact.wire_bytes());
        let chunk = SyncChunk { wanted_members: 0, wanted_facts: 0 };
        self.send_to_address(address, MemberMessage::SyncChunk(chunk), Vec::new(), vec![fact]);
    }
}
