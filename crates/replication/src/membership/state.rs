//! The membership state of one daemon and its public interface.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use dahlia_types::{DaemonId, Duration, Incarnation, ReplicaId, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::detector::Probe;
use super::facts::Facts;
use super::gossip::{ByteBudget, LocalState, Subject, TransmissionLimits, UpdateQueue, Updates};
use super::members::Members;
use super::previous_peers::PreviousPeers;
use super::sync::MANY_NEW_RECORDS;
use super::{
    Envelope, Fact, FactKey, Health, Member, MemberInfo, MemberMessage, MemberRecord, MemberState,
    MembershipSettings,
};

/// An input of the membership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed. The driver sends this at [`Membership::next_deadline`], or every 50 to 100
    /// milliseconds.
    Tick,
    /// A message arrived.
    Received(Envelope),
    /// A connection to a daemon broke. The daemon is probed at once.
    ConnectionLost(DaemonId),
    /// Ping a daemon. A missing acknowledgement has no consequences.
    PingRequested(DaemonId),
}

/// An output of the membership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message. It may be lost, duplicated and reordered.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        message: Envelope,
    },
    /// A member is new or changed.
    MemberChanged(MemberRecord),
    /// A fact is new or has a newer version, published elsewhere.
    FactChanged(Fact),
    /// A later incarnation of this daemon exists. This one must stop or, if its clock went back,
    /// start again with a later incarnation.
    Superseded {
        /// The later incarnation.
        by: Incarnation,
        /// Whether it runs at another address. It is then a process of its own, and this one must not
        /// start again.
        is_elsewhere: bool,
    },
}

/// Low bits of a version, which count changes within one run of the process. The start count is in
/// the bits above.
const CHANGE_COUNT_BITS: u32 = 16;
/// The largest start count that a version can hold. A daemon that is started more often must first
/// refute the record of its earlier run, as after a suspicion.
const MAX_STARTS: u32 = (1 << (u32::BITS - CHANGE_COUNT_BITS)) - 1;
/// Gossip rounds after a start in which unknown seeds are contacted. They take two seconds, in which
/// machines that lost power together are back.
const SEED_ROUNDS: u32 = 10;
/// Most bytes of an envelope without updates.
const ENVELOPE_BYTES: usize = 64;

/// The membership state of one daemon.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(super) own: MemberRecord,
    pub(super) seeds: Vec<SocketAddr>,
    /// Remaining gossip rounds in which seeds that are not known yet are contacted.
    seed_rounds: u32,
    pub(super) settings: MembershipSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Timestamp,
    pub(super) members: Members,
    pub(super) facts: Facts,
    pub(super) queue: UpdateQueue,
    pub(super) budget: ByteBudget,
    /// The budget of answers to comparisons.
    pub(super) sync_budget: ByteBudget,
    pub(super) probe: Option<Probe>,
    pub(super) previous_peers: PreviousPeers,
    pub(super) next_sequence: u32,
    pub(super) next_probe: Timestamp,
    pub(super) next_gossip: Timestamp,
    pub(super) next_sync: Timestamp,
    /// A document has changed and was not announced yet.
    pub(super) has_unannounced_documents: bool,
    /// A holder document has changed and was not announced yet, on a daemon that holds groups.
    pub(super) has_unannounced_holder_documents: bool,
    /// When changed holder documents may be announced next.
    pub(super) next_holder_announcement: Timestamp,
    /// Numbers of holder documents that this daemon created and has not sent to a holder yet.
    pub(super) unsent_holder_documents: BTreeSet<u32>,
    /// The holder documents are needed here and were not requested yet.
    pub(super) wants_holder_documents: bool,
    /// Time between the next comparison and the one after it. It doubles from a gossip interval up to the
    /// full interval.
    next_sync_interval: Duration,
    pub(super) actions: Vec<Action>,
}

impl Membership {
    /// Creates the state of a daemon that knows only itself and the addresses of the seeds.
    pub fn new(
        own: MemberInfo,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let budget = ByteBudget::new(settings.gossip_bytes_per_second, now);
        let sync_budget = ByteBudget::new(settings.sync_bytes_per_second, now);
        let seed = seed ^ (u64::from(own.daemon.0) << 32) ^ own.incarnation.0;
        let mut membership = Self {
            own: MemberRecord { info: own, version: 0, health: Health::Alive },
            seeds,
            seed_rounds: SEED_ROUNDS,
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            next_sync_interval: settings.gossip_interval(),
            members: Members::default(),
            facts: Facts::default(),
            queue: UpdateQueue::default(),
            budget,
            sync_budget,
            probe: None,
            previous_peers: PreviousPeers::default(),
            next_sequence: 0,
            next_probe: now,
            next_gossip: now,
            next_sync: now,
            has_unannounced_documents: false,
            has_unannounced_holder_documents: false,
            next_holder_announcement: Timestamp::ZERO,
            unsent_holder_documents: BTreeSet::new(),
            wants_holder_documents: false,
            settings,
            actions: Vec::new(),
        };
        membership.queue.push(Subject::Member(membership.own.info.daemon));
        membership
    }

    /// Makes the own record override those of earlier runs of the process with the same incarnation,
    /// so that other daemons consider it alive at once. `start_count` counts the runs from 1.
    ///
    /// A daemon that kept its disk keeps its replicas, and so their incarnation. Its process is new,
    /// so the records of the earlier process, including one that declares it dead, must not persist.
    pub fn set_start_count(&mut self, start_count: u32) {
        self.own.version = start_count.min(MAX_STARTS) << CHANGE_COUNT_BITS;
    }

    /// Handles an event and returns the resulting actions, in order.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Received(envelope) => self.receive(envelope),
            Event::ConnectionLost(daemon) => self.connection_lost(daemon),
            Event::PingRequested(daemon) => self.send_ping(daemon),
        }
        std::mem::take(&mut self.actions)
    }

    /// When the next tick has work to do, unless a message arrives before.
    pub fn next_deadline(&self) -> Timestamp {
        let mut next = self.next_probe.min(self.next_sync);
        let indirect_at = self.probe.as_ref().and_then(|probe| probe.indirect_at);
        for at in indirect_at.into_iter().chain(self.previous_peers.next_round()) {
            next = next.min(at);
        }
        let has_holder_document_work = self.has_unannounced_holder_documents
            || self.wants_holder_documents
            || !self.unsent_holder_documents.is_empty();
        let has_updates =
            self.has_unannounced_documents || has_holder_document_work || !self.queue.is_empty();
        let has_updates = has_updates || self.seed_rounds > 0;
        if has_updates { next.min(self.next_gossip) } else { next }
    }

    /// This daemon's description of itself.
    pub fn own(&self) -> &MemberInfo {
        &self.own.info
    }

    /// All known daemons: this one, the present ones, and dead ones that are still remembered.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.members.iter().cloned().collect();
        members.push(Member { record: self.own.clone(), health_since: Timestamp::ZERO });
        members.sort_by_key(|member| member.record.info.daemon);
        members
    }

    /// The table entry of another daemon.
    pub fn member(&self, daemon: DaemonId) -> Option<&Member> {
        self.members.get(daemon)
    }

    /// Changes the state that this daemon reports.
    pub fn set_state(&mut self, state: MemberState) {
        if self.own.info.state != state {
            self.own.info.state = state;
            self.own.version += 1;
            self.queue.push(Subject::Member(self.own.info.daemon));
        }
    }

    /// Sets whether replicas of groups may be placed on this daemon.
    pub fn set_holds_groups(&mut self, holds_groups: bool) {
        if self.own.info.holds_groups != holds_groups {
            self.own.info.holds_groups = holds_groups;
            self.own.version += 1;
            self.queue.push(Subject::Member(self.own.info.daemon));
        }
    }

    /// Adds seed addresses. Unknown seeds are contacted at once.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
        self.seed_rounds = SEED_ROUNDS;
        self.next_sync = self.now;
    }

    /// Spreads a fact to all daemons. Returns whether it is newer than the stored one and small
    /// enough; otherwise it is ignored.
    pub fn publish(&mut self, key: FactKey, version: u64, bytes: Vec<u8>) -> bool {
        let fact = Fact { key: key.clone(), version, bytes: Bytes::from(bytes) };
        let is_newer = self.merge_fact(fact);
        if let FactKey::Document(number) = key
            && is_newer
            && key.is_holder_document()
            && !self.own.info.holds_groups
        {
            self.unsent_holder_documents.insert(number);
        }
        is_newer
    }

    /// The newest known version of a fact.
    pub fn fact(&self, key: &FactKey) -> Option<&Fact> {
        self.facts.get(key)
    }

    /// All known facts.
    pub fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.facts.iter()
    }

    fn tick(&mut self) {
        if self.now >= self.next_probe {
            self.end_probe_interval();
        }
        self.probe_indirectly();
        self.announce_to_previous_peers();
        if self.now >= self.next_gossip {
            self.next_gossip = self.now + self.settings.gossip_interval();
            self.gossip();
            self.contact_unknown_seeds();
            self.announce_documents();
            self.send_new_holder_documents();
            self.wants_holder_documents &=
                !(self.wants_holder_documents && self.ask_for_holder_documents());
        }
        if self.now >= self.next_sync {
            self.next_sync = self.now + self.next_sync_interval;
            self.next_sync_interval =
                self.next_sync_interval.times(2).min(self.settings.sync_interval());
            self.start_sync();
        }
    }

    fn gossip(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let fanout = self.settings.gossip_fanout;
        let share = self.settings.cross_region_share;
        let region = self.own.info.region.clone();
        for daemon in self.members.choose(fanout, &region, share, &mut self.random) {
            let updates = self.take_updates();
            if updates.bytes > 0 {
                self.send_with_updates(daemon, MemberMessage::Gossip, updates);
            }
        }
    }

    /// Contacts the seeds that are not known yet, even if other daemons are known. When all daemons start
    /// at the same moment, the first one found may know as few members as this one, while the seeds
    /// learn of every daemon.
    fn contact_unknown_seeds(&mut self) {
        if self.seed_rounds == 0 {
            return;
        }
        self.seed_rounds -= 1;
        let is_known = |seed: &SocketAddr| {
            let mut present = self.members.present();
            *seed == self.own.info.address
                || present.any(|member| member.record.info.address == *seed)
        };
        let unknown: Vec<SocketAddr> =
            self.seeds.iter().filter(|seed| !is_known(seed)).copied().collect();
        for seed in unknown {
            self.compare_with_address(seed, Vec::new());
        }
    }

    /// Takes updates for one message, within the budget.
    fn take_updates(&mut self) -> Updates {
        let room = self.budget.room(self.now).saturating_sub(ENVELOPE_BYTES);
        let room = room.min(self.settings.max_message_bytes - ENVELOPE_BYTES);
        let others = self.settings.transmissions(self.members.present_count() + 1);
        let limits = TransmissionLimits { loads: self.settings.load_transmissions, others };
        let local = LocalState { own: &self.own, members: &self.members, facts: &self.facts };
        let updates = self.queue.take(room, limits, &local);
        if updates.bytes > 0 {
            self.budget.spend(updates.bytes + ENVELOPE_BYTES);
        }
        updates
    }

    /// Sends a message to a member, with as many updates as fit.
    pub(super) fn send(&mut self, daemon: DaemonId, body: MemberMessage) {
        let mut updates = self.take_updates();
        // A suspect must learn of the suspicion to refute it in time.
        if let Some(member) = self.members.get(daemon)
            && member.record.health != Health::Alive
            && !updates.members.contains(&member.record)
        {
            updates.members.push(member.record.clone());
        }
        self.send_with_updates(daemon, body, updates);
    }

    pub(super) fn send_with_updates(
        &mut self,
        daemon: DaemonId,
        body: MemberMessage,
        updates: Updates,
    ) {
        let Some(member) = self.members.get(daemon) else { return };
        let to = member.record.info.address;
        self.send_to_address(to, body, updates.members, updates.facts);
    }

    pub(super) fn send_to_address(
        &mut self,
        to: SocketAddr,
        body: MemberMessage,
        members: Vec<MemberRecord>,
        facts: Vec<Fact>,
    ) {
        let (from, address) = (self.own.info.replica(), self.own.info.address);
        let message = Envelope { from, address, body, members, facts };
        self.actions.push(Action::Send { to, message });
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope { from, address, body, members, facts } = envelope;
        self.previous_peers.remove(&address);
        self.tell_superseded(from, address);
        // Records of unknown members in a sync answer are already known to others: only records that
        // change an entry are gossiped.
        let is_sync_answer = matches!(body, MemberMessage::SyncChunk(_));
        let known_before = self.members.len();
        for record in members {
            if is_sync_answer && self.members.get(record.info.daemon).is_none() {
                self.merge_record_without_spreading(record);
            } else {
                self.merge_record(record);
            }
        }
        if is_sync_answer && self.members.len() >= known_before + MANY_NEW_RECORDS {
            // The size of one answer is bounded, so there are probably more new records.
            self.next_sync = self.next_sync.min(self.now + self.settings.gossip_interval());
        }
        for fact in facts {
            self.handle_fact(from.daemon, fact);
        }
        // An unknown sender knows this daemon from before its restart. When all seeds restarted at the
        // same moment, nobody else can report the daemons that kept running.
        // A sync answer does not imply that, and it arrives in many messages.
        let is_unknown =
            from.daemon != self.own.info.daemon && self.members.get(from.daemon).is_none();
        if is_unknown && !is_sync_answer {
            self.compare_with_address(address, Vec::new());
        }
        match body {
            MemberMessage::Ping { sequence, to, on_behalf_of } => {
                self.handle_ping(from.daemon, sequence, to, on_behalf_of);
            }
            MemberMessage::Ack { sequence, answering, on_behalf_of } => {
                self.handle_ack(sequence, answering, on_behalf_of);
            }
            MemberMessage::PingRequest { sequence, target } => {
                self.ping_on_behalf_of(from.daemon, sequence, target);
            }
            MemberMessage::Gossip => {}
            MemberMessage::SyncRequest(digest) => self.handle_sync_request(from.daemon, &digest),
            MemberMessage::SyncChunk(chunk) => self.handle_sync_chunk(from.daemon, chunk),
        }
    }

    pub(super) fn merge_fact(&mut self, fact: Fact) -> bool {
        let key = fact.key.clone();
        let (is_gossiped, is_holder_document) = (key.is_gossiped(), key.is_holder_document());
        let settings = &self.settings;
        let limit = if is_gossiped { settings.max_fact_bytes } else { settings.max_document_bytes };
        if fact.bytes.len() > limit {
            return false;
        }
        let is_newer = self.facts.merge(fact, self.settings.max_facts, self.now);
        if is_newer && is_gossiped {
            self.queue.push(Subject::Fact(key));
        }
        self.has_unannounced_documents |= is_newer && !is_gossiped && !is_holder_document;
        self.has_unannounced_holder_documents |=
            is_newer && is_holder_document && self.own.info.holds_groups;
        is_newer
    }

    /// Stores a member's record, and gossips it if it is newer.
    pub(super) fn merge_record(&mut self, record: MemberRecord) {
        if record.info.daemon == self.own.info.daemon {
            self.merge_own_record(&record);
            return;
        }
        let is_new = self.is_new_incarnation(&record);
        if self.members.merge(&record, self.now) {
            self.queue.push(Subject::Member(record.info.daemon));
            if is_new {
                self.compare_with_newcomer(record.info.daemon);
            }
            self.actions.push(Action::MemberChanged(record));
        }
    }

    /// Whether a record is the first one of a member's new incarnation.
    fn is_new_incarnation(&self, record: &MemberRecord) -> bool {
        let known = self.members.get(record.info.daemon).map(|member| member.record.info.replica());
        let is_later = known.is_none_or(|known| known.incarnation < record.info.incarnation);
        is_later && record.health == Health::Alive
    }

    /// Stores a record of an unknown member without gossiping it.
    fn merge_record_without_spreading(&mut self, record: MemberRecord) {
        if record.info.daemon == self.own.info.daemon {
            self.merge_own_record(&record);
        } else if self.members.merge(&record, self.now) {
            self.actions.push(Action::MemberChanged(record));
        }
    }

    /// Refutes a suspicion of this daemon, or detects a later incarnation of it.
    fn merge_own_record(&mut self, record: &MemberRecord) {
        let own = self.own.info.incarnation;
        if record.info.incarnation > own {
            let is_elsewhere =
                record.info.address != self.own.info.address && record.health != Health::Dead;
            self.actions.push(Action::Superseded { by: record.info.incarnation, is_elsewhere });
            return;
        }
        let is_present_incarnation = record.info.incarnation == own;
        if is_present_incarnation
            && record.health != Health::Alive
            && record.version >= self.own.version
        {
            self.own.version = record.version.saturating_add(1);
            self.queue.push(Subject::Member(self.own.info.daemon));
        }
    }

    /// Sends the record of a later incarnation to an earlier one at another address. Answers go to the
    /// later one's address, so nothing else would tell it.
    fn tell_superseded(&mut self, sender: ReplicaId, address: SocketAddr) {
        let known = match self.members.get(sender.daemon) {
            Some(member) => &member.record,
            None if sender.daemon == self.own.info.daemon => &self.own,
            None => return,
        };
        if known.info.incarnation > sender.incarnation && known.info.address != address {
            let record = known.clone();
            self.send_to_address(address, MemberMessage::Gossip, vec![record], Vec::new());
        }
    }

    /// The time within which a suspect must refute a suspicion.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        self.settings.suspicion_timeout(self.members.present_count() + 1)
    }
}
