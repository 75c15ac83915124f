//! Comparison with a random member: hashes by bucket, then the buckets that differ.
//!
//! When both agree, a comparison costs two lists of hashes. Comparisons repair what gossip lost,
//! bring a new daemon up to date, and find members that were declared dead but were only cut off.

use std::net::SocketAddr;

use dahlia_types::DaemonId;
use rand::Rng;
use rand::seq::SliceRandom;

use super::buckets::{BUCKETS, differing_buckets, fact_bucket, has_bit, member_bucket};
use super::state::Membership;
use super::{Fact, FactKey, Health, MemberMessage, MemberRecord, SyncChunk, SyncDigest};

/// Average number of daemons that start a comparison with a new member. The probability that none
/// does is about `exp(-4)`, 2 in 100; then the new member relies on the comparisons that it starts.
const NEWCOMER_COMPARISONS: f64 = 4.0;

/// Share of comparisons that try a dead member instead of a present one.
const DEAD_COMPARISON_SHARE: f64 = 0.25;

/// With at least this many members in the own zone, most comparisons stay in it.
const MIN_MEMBERS_IN_ZONE: usize = 8;

/// The value after the hashes of facts that marks that they include holder documents.
const HOLDER_DOCUMENTS_MARKER: u32 = 1;

/// Share of comparisons by a holder that go to another holder instead of any member.
const HOLDER_COMPARISON_SHARE: f64 = 0.5;

/// Bytes of an answer that are allowed even without budget: a message of a dozen records, holders first.
/// The asker then knows other members to ask.
const MIN_ANSWER_BYTES: usize = 1_000;

/// With at least this many new records in one answer, the next comparison follows soon, because there
/// are probably more.
pub(super) const MANY_NEW_RECORDS: usize = 8;

impl Membership {
    /// Starts a comparison with a random member, a dead one, or a seed.
    pub(super) fn start_sync(&mut self) {
        let dead = self.members.choose_dead_member(&mut self.random);
        let dead = dead.filter(|_| self.random.random_bool(DEAD_COMPARISON_SHARE));
        let present = self.choose_sync_targets(1).first().copied();
        if let Some(daemon) = dead.or(present) {
            self.compare_with(daemon);
            return;
        }
        // No member is known yet: contact every seed, and try again soon.
        for seed in self.seeds.clone() {
            if seed != self.own.info.address {
                self.compare_with_address(seed, Vec::new());
            }
        }
        self.next_sync = self.now + self.settings.gossip_interval();
    }

    /// Chooses members to compare with, mostly of the own zone if it has enough of them: tables are most
    /// of the traffic between daemons, and traffic between zones is expensive.
    pub(super) fn choose_sync_targets(&mut self, count: usize) -> Vec<DaemonId> {
        let prefers_holders =
            self.own.info.holds_groups && self.random.random_bool(HOLDER_COMPARISON_SHARE);
        if prefers_holders {
            let holders = self.choose_holders(count);
            if !holders.is_empty() {
                return holders;
            }
        }
        let own = &self.own.info;
        let stays_in_zone = !self.random.random_bool(self.settings.cross_zone_share);
        if stays_in_zone && self.members.count_in_zone(&own.zone) >= MIN_MEMBERS_IN_ZONE {
            return self.members.choose_in_zone(&own.zone, count, &mut self.random);
        }
        let share = self.settings.cross_region_share;
        self.members.choose(count, &own.region, share, &mut self.random)
    }

    /// Starts a comparison with one member.
    pub(super) fn compare_with(&mut self, daemon: DaemonId) {
        let Some(member) = self.members.get(daemon) else { return };
        let to = member.record.info.address;
        // Includes the record of a member that is suspect or dead, so that it refutes it.
        let is_not_alive = member.record.health != Health::Alive;
        let record_to_refute = is_not_alive.then(|| member.record.clone());
        let with_holder_documents = self.own.info.holds_groups && member.record.info.holds_groups;
        self.send_sync_request(to, record_to_refute.into_iter().collect(), with_holder_documents);
    }

    /// Starts a comparison with the daemon at an address, which learns of this daemon by it.
    pub(super) fn compare_with_address(&mut self, to: SocketAddr, records: Vec<MemberRecord>) {
        self.send_sync_request(to, records, false);
    }

    fn send_sync_request(
        &mut self,
        to: SocketAddr,
        mut records: Vec<MemberRecord>,
        with_holder_documents: bool,
    ) {
        records.insert(0, self.own.clone());
        let digest = self.digest(with_holder_documents);
        self.send_to_address(to, MemberMessage::SyncRequest(digest), records, Vec::new());
    }

    fn digest(&self, with_holder_documents: bool) -> SyncDigest {
        let mut members = self.members.hashes().clone();
        members.toggle_member(&self.own);
        let mut facts = self.facts.hashes(with_holder_documents).to_vec();
        if with_holder_documents {
            facts.push(HOLDER_DOCUMENTS_MARKER);
        }
        SyncDigest { members: members.to_vec(), facts }
    }

    /// Compares with a new member, with a probability such that only a few daemons do so. The new member
    /// contacts its seeds itself, but seeds that started at the same moment know only each other.
    pub(super) fn compare_with_newcomer(&mut self, newcomer: DaemonId) {
        let others = self.members.present_count().max(1) as f64;
        if self.random.random_bool((NEWCOMER_COMPARISONS / others).min(1.0)) {
            self.compare_with(newcomer);
        }
    }

    pub(super) fn handle_sync_request(&mut self, from: DaemonId, other: &SyncDigest) {
        let with_holder_documents = self.own.info.holds_groups && other.facts.len() > BUCKETS;
        let own = self.digest(with_holder_documents);
        let selection = BucketSelection {
            members: differing_buckets(&own.members, &other.members),
            facts: differing_buckets(&own.facts, &other.facts),
            documents: self.buckets_without_documents(&own, other, with_holder_documents),
            with_holder_documents,
        };
        if selection.members != 0 || selection.facts != 0 {
            self.send_buckets(from, selection, true);
        }
    }

    pub(super) fn handle_sync_chunk(&mut self, from: DaemonId, chunk: SyncChunk) {
        let SyncChunk { wanted_members, wanted_facts } = chunk;
        if wanted_members != 0 || wanted_facts != 0 {
            let asker = self.members.get(from);
            let asker_holds_groups = asker.is_some_and(|asker| asker.record.info.holds_groups);
            let selection = BucketSelection {
                members: wanted_members,
                facts: wanted_facts,
                documents: wanted_facts,
                with_holder_documents: wanted_facts == u64::MAX || asker_holds_groups,
            };
            self.send_buckets(from, selection, false);
        }
    }

    /// The buckets of whose documents the other daemon has no version: its bucket is empty, or equals the
    /// own bucket without the documents. Where it may have an older or a newer version, which hashes
    /// cannot tell, its own documents are requested first: documents are long, and usually the asker has
    /// the newer one.
    fn buckets_without_documents(
        &self,
        own: &SyncDigest,
        other: &SyncDigest,
        with_holder_documents: bool,
    ) -> u64 {
        let mut without = self.facts.hashes(with_holder_documents);
        let documents: Vec<&Fact> =
            self.facts.compared(with_holder_documents).filter(|fact| is_document(fact)).collect();
        documents.iter().for_each(|document| without.toggle_fact(document));
        let without = without.to_vec();
        let differing = differing_buckets(&own.facts, &other.facts);
        let lacks = |bucket: usize| {
            let there = other.facts.get(bucket).copied().unwrap_or_default();
            has_bit(differing, bucket) && (there == 0 || there == without[bucket])
        };
        let buckets = documents.iter().map(|document| fact_bucket(&document.key));
        buckets.filter(|bucket| lacks(*bucket)).fold(0, |bits, bucket| bits | 1 << bucket)
    }

    /// Sends the content of some buckets, in messages of bounded size and within the budget: when all
    /// daemons start at once, hundreds request the whole table from the same few. An incomplete answer
    /// has enough records for the next comparison, with another member.
    fn send_buckets(&mut self, to: DaemonId, selection: BucketSelection, wants_return: bool) {
        let Some(asker) = self.members.get(to).map(|member| member.record.info.clone()) else {
            return;
        };
        let budget = self.sync_budget.room(self.now);
        let room = budget.max(MIN_ANSWER_BYTES);
        let mut chunks = ChunkBuilder::new(self.settings.sync_chunk_bytes);
        // A daemon that contacted a seed knows only its address.
        chunks.chunk_with_room(self.own.wire_bytes()).0.push(self.own.clone());
        for fact in self.facts.compared(false).filter(|fact| !is_document(fact)) {
            if has_bit(selection.facts, fact_bucket(&fact.key)) {
                chunks.chunk_with_room(fact.wire_bytes()).1.push(fact.clone());
            }
        }
        let mut records = self.member_records_in(selection.members);
        records.shuffle(&mut self.random);
        // Holders are needed first, then members of the asker's zone.
        records.sort_by_key(|record| (!record.info.holds_groups, record.info.zone != asker.zone));
        for record in records {
            if chunks.total_bytes + record.wire_bytes() > room {
                break;
            }
            chunks.chunk_with_room(record.wire_bytes()).0.push(record);
        }
        for fact in self.facts.compared(false).filter(|fact| is_document(fact)) {
            // A document that exceeds the whole budget is sent if any budget is left.
            if has_bit(selection.documents, fact_bucket(&fact.key)) && chunks.total_bytes < budget {
                chunks.chunk_with_room(fact.wire_bytes()).1.push(fact.clone());
            }
        }
        self.sync_budget.spend(chunks.total_bytes);
        // Few daemons request these, and holders have enough bandwidth for them.
        for fact in self
            .facts
            .compared(selection.with_holder_documents)
            .filter(|fact| fact.key.is_holder_document())
        {
            if has_bit(selection.documents, fact_bucket(&fact.key)) {
                chunks.chunk_with_room(fact.wire_bytes()).1.push(fact.clone());
            }
        }
        for (position, (records, facts)) in chunks.finish().into_iter().enumerate() {
            let is_asking = wants_return && position == 0;
            let chunk = SyncChunk {
                wanted_members: if is_asking { selection.members } else { 0 },
                wanted_facts: if is_asking { selection.facts } else { 0 },
            };
            self.send_to_address(asker.address, MemberMessage::SyncChunk(chunk), records, facts);
        }
    }

    fn member_records_in(&self, buckets: u64) -> Vec<MemberRecord> {
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

/// Buckets whose content is to be sent, by bit.
#[derive(Debug, Clone, Copy)]
struct BucketSelection {
    members: u64,
    facts: u64,
    /// The buckets of facts whose documents are sent too.
    documents: u64,
    /// Whether holder documents are sent too.
    with_holder_documents: bool,
}

/// The records and facts of one message.
type MessageContent = (Vec<MemberRecord>, Vec<Fact>);

/// Distributes records and facts over messages of at most `limit` bytes.
struct ChunkBuilder {
    limit: usize,
    /// Bytes of the last message.
    last_bytes: usize,
    /// Bytes of all messages.
    total_bytes: usize,
    full: Vec<MessageContent>,
    last: MessageContent,
}

impl ChunkBuilder {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            last_bytes: 0,
            total_bytes: 0,
            full: Vec::new(),
            last: MessageContent::default(),
        }
    }

    /// The message that has room for the next `bytes`.
    fn chunk_with_room(&mut self, bytes: usize) -> &mut MessageContent {
        if self.last_bytes + bytes > self.limit && self.last_bytes > 0 {
            self.full.push(std::mem::take(&mut self.last));
            self.last_bytes = 0;
        }
        self.last_bytes += bytes;
        self.total_bytes += bytes;
        &mut self.last
    }

    fn finish(mut self) -> Vec<MessageContent> {
        self.full.push(self.last);
        self.full
    }
}
