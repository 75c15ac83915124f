//! Comparison with a random member: hashes by bucket, then what differs.
//!
//! In agreement a comparison costs two lists of hashes; it repairs what gossip lost, brings a new
//! daemon up to date, and finds the dead who were only cut off.

use std::net::SocketAddr;

use dahlia_types::DaemonId;
use rand::Rng;

use super::facts::Facts;
use super::members::Members;
use super::state::Membership;
use super::{Fact, FactKey, Health, MemberMessage, MemberRecord, SyncChunk, SyncDigest};

/// Buckets of members and of facts; one bit each in a [`SyncChunk`].
const BUCKETS: usize = 64;

/// Daemons that compare with a new member of their own accord, on average. The chance that none
/// does is about `exp(-4)`, 2 in 100; then its own comparisons with others that began are left.
const GREETERS: f64 = 4.0;

/// How often a dead member is tried instead of a present one.
const DEAD_SHARE: f64 = 0.25;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a over words, with a final mix so that all bits count.
fn hash(words: &[u64]) -> u64 {
    let mut state = FNV_OFFSET;
    for word in words {
        for byte in word.to_le_bytes() {
            state = (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    state ^ (state >> 32)
}

fn member_bucket(daemon: DaemonId) -> usize {
    daemon.0 as usize % BUCKETS
}

fn fact_words(key: &FactKey) -> [u64; 2] {
    match key {
        FactKey::Configuration => [0, 0],
        FactKey::Group(group) => [1, u64::from(group.0)],
        FactKey::DaemonLoad(daemon) => [2, u64::from(daemon.0)],
        FactKey::Other(number) => [3, u64::from(*number)],
        FactKey::Document(number) => [5, u64::from(*number)],
        FactKey::EngineLoad(engine) => [4, hash_of_text(engine.as_str())],
        FactKey::BackendFailure { backend, reporter } => {
            [6, hash_of_text(backend) ^ u64::from(reporter.0)]
        }
    }
}

fn hash_of_text(text: &str) -> u64 {
    hash(&text.bytes().map(u64::from).collect::<Vec<u64>>())
}

fn fact_bucket(key: &FactKey) -> usize {
    hash(&fact_words(key)) as usize % BUCKETS
}

fn digest(own: &MemberRecord, members: &Members, facts: &Facts) -> SyncDigest {
    let mut member_hashes = vec![0_u32; BUCKETS];
    let others = members.iter().map(|member| &member.record);
    for record in others.chain([own]) {
        // The dead are left out: some daemons have forgotten them and some have not.
        if record.health == Health::Dead {
            continue;
        }
        let info = &record.info;
        let health = record.health as u64;
        let words = [u64::from(info.daemon.0), info.incarnation.0, record.version.into(), health];
        // Exclusive or does not depend on order.
        member_hashes[member_bucket(info.daemon)] ^= hash(&words) as u32;
    }
    let mut fact_hashes = vec![0_u32; BUCKETS];
    for fact in facts.lasting() {
        let [kind, number] = fact_words(&fact.key);
        fact_hashes[fact_bucket(&fact.key)] ^= hash(&[kind, number, fact.version]) as u32;
    }
    SyncDigest { members: member_hashes, facts: fact_hashes }
}

fn differing(own: &[u32], other: &[u32]) -> u64 {
    let mut bits = 0;
    for bucket in 0..BUCKETS {
        if own.get(bucket) != other.get(bucket) {
            bits |= 1 << bucket;
        }
    }
    bits
}

fn has_bit(bits: u64, bucket: usize) -> bool {
    bits & (1 << bucket) != 0
}

impl Membership {
    /// Starts a comparison with a random member, a dead one, or a seed.
    pub(super) fn start_sync(&mut self) {
        let region = self.own.info.region.clone();
        let share = self.settings.cross_region_share;
        let dead = self.members.choose_dead(&mut self.random);
        let dead = dead.filter(|_| self.random.random_bool(DEAD_SHARE));
        let present = self.members.choose(1, &region, share, &mut self.random).first().copied();
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

    /// Compares with one member.
    pub(super) fn compare_with(&mut self, daemon: DaemonId) {
        let Some(member) = self.members.get(daemon) else { return };
        let to = member.record.info.address;
        // Tells a member that it is held for dead, so that it objects.
        let is_doubted = member.record.health != Health::Alive;
        let doubt = is_doubted.then(|| member.record.clone());
        self.compare_at(to, doubt.into_iter().collect());
    }

    /// Compares with whoever listens at an address, which learns of this daemon thereby.
    pub(super) fn compare_at(&mut self, to: SocketAddr, mut records: Vec<MemberRecord>) {
        records.insert(0, self.own.clone());
        let digest = digest(&self.own, &self.members, &self.facts);
        self.send_to_address(to, MemberMessage::SyncRequest(digest), records, Vec::new());
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
        let own = digest(&self.own, &self.members, &self.facts);
        let members = differing(&own.members, &other.members);
        let facts = differing(&own.facts, &other.facts);
        if members == 0 && facts == 0 {
            return;
        }
        self.send_buckets(from, members, facts, true);
    }

    pub(super) fn take_sync_chunk(&mut self, from: DaemonId, chunk: SyncChunk) {
        if chunk.wanted_members != 0 || chunk.wanted_facts != 0 {
            self.send_buckets(from, chunk.wanted_members, chunk.wanted_facts, false);
        }
    }

    /// Sends everything in some buckets, in messages of bounded size.
    fn send_buckets(&mut self, to: DaemonId, members: u64, facts: u64, wants_return: bool) {
        let Some(address) = self.members.get(to).map(|member| member.record.info.address) else {
            return;
        };
        let chunks = self.chunks(members, facts);
        for (position, (records, facts_sent)) in chunks.into_iter().enumerate() {
            let is_asking = wants_return && position == 0;
            let chunk = SyncChunk {
                wanted_members: if is_asking { members } else { 0 },
                wanted_facts: if is_asking { facts } else { 0 },
            };
            self.send_to_address(address, MemberMessage::SyncChunk(chunk), records, facts_sent);
        }
    }

    fn chunks(&self, members: u64, facts: u64) -> Vec<Chunk> {
        let mut chunks = Chunks::new(self.settings.sync_chunk_bytes);
        let others = self.members.iter().map(|member| &member.record);
        for record in others.chain([&self.own]) {
            if has_bit(members, member_bucket(record.info.daemon)) {
                chunks.with_room(record.wire_bytes()).0.push(record.clone());
            }
        }
        for fact in self.facts.lasting() {
            if has_bit(facts, fact_bucket(&fact.key)) {
                chunks.with_room(fact.wire_bytes()).1.push(fact.clone());
            }
        }
        chunks.full.push(chunks.last);
        chunks.full
    }
}

/// Records and facts of one message.
type Chunk = (Vec<MemberRecord>, Vec<Fact>);

/// Fills messages up to a limit of bytes.
struct Chunks {
    limit: usize,
    used: usize,
    full: Vec<Chunk>,
    last: Chunk,
}

impl Chunks {
    fn new(limit: usize) -> Self {
        Self { limit, used: 0, full: Vec::new(), last: Chunk::default() }
    }

    /// The message that takes the next `bytes`.
    fn with_room(&mut self, bytes: usize) -> &mut Chunk {
        if self.used + bytes > self.limit && self.used > 0 {
            self.full.push(std::mem::take(&mut self.last));
            self.used = 0;
        }
        self.used += bytes;
        &mut self.last
    }
}
