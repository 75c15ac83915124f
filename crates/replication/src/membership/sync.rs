//! Comparison with a random member: hashes by bucket, then what differs.
//!
//! In agreement a comparison costs two lists of hashes; it repairs what gossip lost, brings a new
//! daemon up to date, and finds the dead who were only cut off.

use std::net::SocketAddr;

use dahlia_types::DaemonId;
use rand::Rng;
use rand::seq::SliceRandom;

use super::buckets::{BUCKETS, differing, fact_bucket, has_bit, member_bucket};
use super::state::Membership;
use super::{Fact, FactKey, Health, MemberMessage, MemberRecord, SyncChunk, SyncDigest};

/// Daemons that compare with a new member of their own accord, on average. The chance that none
/// does is about `exp(-4)`, 2 in 100; then its own comparisons with others that began are left.
const GREETERS: f64 = 4.0;

/// How often a dead member is tried instead of a present one.
const DEAD_SHARE: f64 = 0.25;

/// Members of the own zone from which on comparisons mostly stay there.
const FEWEST_OF_ZONE: usize = 8;

/// Stands behind the hashes of facts when kept documents are among them.
const WITH_KEPT: u32 = 1;

/// How often a daemon with groups compares with another such one, instead of with any member.
const HOLDER_SHARE: f64 = 0.5;

/// Bytes of an answer beyond the budget: a message of a dozen records, of which those that hold groups
/// are first. Whoever asks knows whom else to ask then.
const LEAST_ANSWER: usize = 1_000;

/// News in one answer from which on the next comparison is not put off: there is more to learn.
pub(super) const MANY_NEWS: usize = 8;

impl Membership {
    /// Starts a comparison with a random member, a dead one, or a seed.
    pub(super) fn start_sync(&mut self) {
        let dead = self.members.choose_dead(&mut self.random);
        let dead = dead.filter(|_| self.random.random_bool(DEAD_SHARE));
        let present = self.choose_compared(1).first().copied();
        if let Some(daemon) = dead.or(present) {
            self.compare_with(daemon);
            return;
        }
        // Nobody is known yet: every seed is asked, and again soon.
        for seed in self.seeds.clone() {
            if seed != self.own.info.address {
                self.compare_at(seed, Vec::new());
            }
        }
        self.next_sync = self.now + self.settings.gossip_interval();
    }

    /// Members to compare with, mostly of the own zone where it has enough of them: tables are what
    /// daemons send each other most of, and bytes between zones cost.
    pub(super) fn choose_compared(&mut self, count: usize) -> Vec<DaemonId> {
        let keeps = self.own.info.holds_groups && self.random.random_bool(HOLDER_SHARE);
        if keeps {
            let holders = self.choose_holders(count);
            if !holders.is_empty() {
                return holders;
            }
        }
        let own = &self.own.info;
        let stays = !self.random.random_bool(self.settings.cross_zone_share);
        if stays && self.members.count_of(&own.zone) >= FEWEST_OF_ZONE {
            return self.members.choose_of(&own.zone, count, &mut self.random);
        }
        let share = self.settings.cross_region_share;
        self.members.choose(count, &own.region, share, &mut self.random)
    }

    /// Compares with one member.
    pub(super) fn compare_with(&mut self, daemon: DaemonId) {
        let Some(member) = self.members.get(daemon) else { return };
        let to = member.record.info.address;
        // Tells a member that it is held for dead, so that it objects.
        let is_doubted = member.record.health != Health::Alive;
        let doubt = is_doubted.then(|| member.record.clone());
        let with_kept = self.own.info.holds_groups && member.record.info.holds_groups;
        self.ask_to_compare(to, doubt.into_iter().collect(), with_kept);
    }

    /// Compares with whoever listens at an address, which learns of this daemon thereby.
    pub(super) fn compare_at(&mut self, to: SocketAddr, records: Vec<MemberRecord>) {
        self.ask_to_compare(to, records, false);
    }

    fn ask_to_compare(&mut self, to: SocketAddr, mut records: Vec<MemberRecord>, with_kept: bool) {
        records.insert(0, self.own.clone());
        let digest = self.digest(with_kept);
        self.send_to_address(to, MemberMessage::SyncRequest(digest), records, Vec::new());
    }

    fn digest(&self, with_kept: bool) -> SyncDigest {
        let mut members = self.members.hashes().clone();
        members.toggle_member(&self.own);
        let mut facts = self.facts.hashes(with_kept).to_vec();
        if with_kept {
            facts.push(WITH_KEPT);
        }
        SyncDigest { members: members.to_vec(), facts }
    }

    /// Some daemons compare with one that is new. It asks its seeds itself, but when these began
    /// at the same moment they know only each other, and believe that they are all.
    pub(super) fn greet(&mut self, newcomer: DaemonId) {
        let others = self.members.present_count().max(1) as f64;
        if self.random.random_bool((GREETERS / others).min(1.0)) {
            self.compare_with(newcomer);
        }
    }

    pub(super) fn answer_sync(&mut self, from: DaemonId, other: &SyncDigest) {
        let with_kept = self.own.info.holds_groups && other.facts.len() > BUCKETS;
        let own = self.digest(with_kept);
        let wanted = Wanted {
            members: differing(&own.members, &other.members),
            facts: differing(&own.facts, &other.facts),
            documents: self.lacking_documents(&own, other, with_kept),
            with_kept,
        };
        if wanted.members != 0 || wanted.facts != 0 {
            self.send_buckets(from, wanted, true);
        }
    }

    pub(super) fn take_sync_chunk(&mut self, from: DaemonId, chunk: SyncChunk) {
        let SyncChunk { wanted_members, wanted_facts } = chunk;
        if wanted_members != 0 || wanted_facts != 0 {
            let asker = self.members.get(from);
            let asker_keeps = asker.is_some_and(|asker| asker.record.info.holds_groups);
            let wanted = Wanted {
                members: wanted_members,
                facts: wanted_facts,
                documents: wanted_facts,
                with_kept: wanted_facts == u64::MAX || asker_keeps,
            };
            self.send_buckets(from, wanted, false);
        }
    }

    /// Buckets whose documents the other one has in no version: what it has there is nothing, or what is
    /// here but for the documents. Where it may have an older or a newer one, hashes do not tell, and it is
    /// asked for its own first: documents are long, and as a rule whoever asks has news.
    fn lacking_documents(&self, own: &SyncDigest, other: &SyncDigest, with_kept: bool) -> u64 {
        let mut without = self.facts.hashes(with_kept);
        let documents: Vec<&Fact> =
            self.facts.lasting(with_kept).filter(|fact| is_document(fact)).collect();
        documents.iter().for_each(|document| without.toggle_fact(document));
        let without = without.to_vec();
        let differing = differing(&own.facts, &other.facts);
        let lacks = |bucket: usize| {
            let there = other.facts.get(bucket).copied().unwrap_or_default();
            has_bit(differing, bucket) && (there == 0 || there == without[bucket])
        };
        let buckets = documents.iter().map(|document| fact_bucket(&document.key));
        buckets.filter(|bucket| lacks(*bucket)).fold(0, |bits, bucket| bits | 1 << bucket)
    }

    /// Sends what is in some buckets, in messages of bounded size, as far as the budget goes: where
    /// all daemons start at once, hundreds ask the same few for all that these know. An answer that is
    /// not whole says enough for the next comparison, with another member.
    fn send_buckets(&mut self, to: DaemonId, wanted: Wanted, wants_return: bool) {
        let Some(asker) = self.members.get(to).map(|member| member.record.info.clone()) else {
            return;
        };
        let budget = self.sync_budget.room(self.now);
        let room = budget.max(LEAST_ANSWER);
        let mut chunks = Chunks::new(self.settings.sync_chunk_bytes);
        // Whoever asked a seed knows its address only.
        chunks.with_room(self.own.wire_bytes()).0.push(self.own.clone());
        for fact in self.facts.lasting(false).filter(|fact| !is_document(fact)) {
            if has_bit(wanted.facts, fact_bucket(&fact.key)) {
                chunks.with_room(fact.wire_bytes()).1.push(fact.clone());
            }
        }
        let mut records = self.records_in(wanted.members);
        records.shuffle(&mut self.random);
        // Who holds groups is needed first, then who is near.
        records.sort_by_key(|record| (!record.info.holds_groups, record.info.zone != asker.zone));
        for record in records {
            if chunks.sent + record.wire_bytes() > room {
                break;
            }
            chunks.with_room(record.wire_bytes()).0.push(record);
        }
        for fact in self.facts.lasting(false).filter(|fact| is_document(fact)) {
            // One that is longer than all of the budget goes when anything is left of it.
            if has_bit(wanted.documents, fact_bucket(&fact.key)) && chunks.sent < budget {
                chunks.with_room(fact.wire_bytes()).1.push(fact.clone());
            }
        }
        self.sync_budget.spend(chunks.sent);
        // Few ask for these, and who holds groups has the link for them.
        for fact in
            self.facts.lasting(wanted.with_kept).filter(|fact| fact.key.is_holder_document())
        {
            if has_bit(wanted.documents, fact_bucket(&fact.key)) {
                chunks.with_room(fact.wire_bytes()).1.push(fact.clone());
            }
        }
        for (position, (records, facts)) in chunks.finish().into_iter().enumerate() {
            let is_asking = wants_return && position == 0;
            let chunk = SyncChunk {
                wanted_members: if is_asking { wanted.members } else { 0 },
                wanted_facts: if is_asking { wanted.facts } else { 0 },
            };
            self.send_to_address(asker.address, MemberMessage::SyncChunk(chunk), records, facts);
        }
    }

    fn records_in(&self, buckets: u64) -> Vec<MemberRecord> {
        let others = self.members.iter().map(|member| &member.record);
        others
            .filter(|record| has_bit(buckets, member_bucket(record.info.daemon)))
            .cloned()
            .collect()
    }
}

fn is_document(fact: &Fact) -> bool {
    matches!(fact.key, FactKey::Document(_))
}

/// Buckets of which somebody is to get something, by bit.
#[derive(Debug, Clone, Copy)]
struct Wanted {
    members: u64,
    facts: u64,
    /// Of the facts' buckets those whose documents are sent too.
    documents: u64,
    /// Whether also those that only daemons with groups keep.
    with_kept: bool,
}

/// Records and facts of one message.
type Chunk = (Vec<MemberRecord>, Vec<Fact>);

/// Fills messages up to a limit of bytes.
struct Chunks {
    limit: usize,
    /// Bytes of the last message.
    used: usize,
    /// Bytes of all.
    sent: usize,
    full: Vec<Chunk>,
    last: Chunk,
}

impl Chunks {
    fn new(limit: usize) -> Self {
        Self { limit, used: 0, sent: 0, full: Vec::new(), last: Chunk::default() }
    }

    /// The message that takes the next `bytes`.
    fn with_room(&mut self, bytes: usize) -> &mut Chunk {
        if self.used + bytes > self.limit && self.used > 0 {
            self.full.push(std::mem::take(&mut self.last));
            self.used = 0;
        }
        self.used += bytes;
        self.sent += bytes;
        &mut self.last
    }

    fn finish(mut self) -> Vec<Chunk> {
        self.full.push(self.last);
        self.full
    }
}
