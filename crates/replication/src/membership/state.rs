//! Membership of one daemon: its state and public interface.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use dahlia_types::{DaemonId, Duration, Incarnation, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::detector::Probe;
use super::facts::Facts;
use super::gossip::{Budget, Known, Limits, News, Queue, Subject};
use super::members::Members;
use super::previous_peers::PreviousPeers;
use super::sync::MANY_NEWS;
use super::{
    Envelope, Fact, FactKey, Health, Member, MemberInfo, MemberMessage, MemberRecord, MemberState,
    MembershipSettings,
};

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed. Wanted at [`Membership::next_deadline`], or every 50 to 100 milliseconds.
    Tick,
    /// A message came.
    Received(Envelope),
    /// A connection to a daemon broke: probe it at once.
    ConnectionLost(DaemonId),
    /// Ask a daemon for a sign of life. Nothing is made of its silence.
    PingRequested(DaemonId),
}

/// What the driver must do or may want to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message. May be lost, doubled and reordered.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Envelope,
    },
    /// A member is new or changed.
    MemberChanged(MemberRecord),
    /// A fact is new or has a newer version, published elsewhere.
    FactChanged(Fact),
    /// Another life of this daemon with a later incarnation is known: this one must stop, or,
    /// when its clock went back, start again with a later incarnation.
    Superseded {
        /// The later incarnation.
        by: Incarnation,
    },
}

/// Low bits of a version that count changes within one life of a process; the life is above.
const LIFE_BITS: u32 = 16;
/// A daemon started more often than this waits for an objection, as after a suspicion.
const MOST_LIVES: u32 = (1 << (u32::BITS - LIFE_BITS)) - 1;
/// Rounds of gossip after a start in which unknown seeds are asked: two seconds, in which machines that
/// lost power together are back.
const SEED_ROUNDS: u32 = 10;
/// Bytes of an envelope without news, at most.
const ENVELOPE_BYTES: usize = 64;

/// The membership state of one daemon.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(super) own: MemberRecord,
    pub(super) seeds: Vec<SocketAddr>,
    /// Rounds of gossip in which seeds that are not known yet are still asked.
    seed_rounds: u32,
    pub(super) settings: MembershipSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Timestamp,
    pub(super) members: Members,
    pub(super) facts: Facts,
    pub(super) queue: Queue,
    pub(super) budget: Budget,
    /// Of answers to comparisons.
    pub(super) sync_budget: Budget,
    pub(super) probe: Option<Probe>,
    pub(super) previous_peers: PreviousPeers,
    pub(super) next_sequence: u32,
    pub(super) next_probe: Timestamp,
    pub(super) next_gossip: Timestamp,
    pub(super) next_sync: Timestamp,
    /// A document has changed, and nobody was told of it.
    pub(super) has_document_news: bool,
    /// The same of a kept one, at a daemon that holds groups.
    pub(super) has_kept_news: bool,
    /// From then on others may be told of it.
    pub(super) next_kept_spread: Timestamp,
    /// Numbers of kept documents that this daemon made, and that it handed to nobody yet.
    pub(super) kept_news: BTreeSet<u32>,
    /// The kept documents are wanted here, and nobody was asked for them yet.
    pub(super) wants_kept: bool,
    /// Time to the sync after the next one; grows from a gossip interval to the full interval.
    sync_pause: Duration,
    pub(super) actions: Vec<Action>,
}

impl Membership {
    /// A daemon that knows only itself and some addresses to start from.
    pub fn new(
        own: MemberInfo,
        seeds: Vec<SocketAddr>,
        settings: MembershipSettings,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let budget = Budget::new(settings.gossip_bytes_per_second, now);
        let sync_budget = Budget::new(settings.sync_bytes_per_second, now);
        let seed = seed ^ (u64::from(own.daemon.0) << 32) ^ own.incarnation.0;
        let mut membership = Self {
            own: MemberRecord { info: own, version: 0, health: Health::Alive },
            seeds,
            seed_rounds: SEED_ROUNDS,
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            sync_pause: settings.gossip_interval(),
            members: Members::default(),
            facts: Facts::default(),
            queue: Queue::default(),
            budget,
            sync_budget,
            probe: None,
            previous_peers: PreviousPeers::default(),
            next_sequence: 0,
            next_probe: now,
            next_gossip: now,
            next_sync: now,
            has_document_news: false,
            has_kept_news: false,
            next_kept_spread: Timestamp::ZERO,
            kept_news: BTreeSet::new(),
            wants_kept: false,
            settings,
            actions: Vec::new(),
        };
        membership.queue.push(Subject::Member(membership.own.info.daemon));
        membership
    }

    /// Puts this daemon's statements above those of its earlier lives with the same incarnation,
    /// so that others take it for alive at once. `life` counts them from 1.
    ///
    /// A daemon that kept its disk kept its replicas, and so their incarnation. Its process
    /// begins anew; what others hold of the earlier one, a death included, must not stand.
    pub fn set_start_count(&mut self, life: u32) {
        self.own.version = life.min(MOST_LIVES) << LIFE_BITS;
    }

    /// Takes an event in and returns what to do, in order.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Received(envelope) => self.receive(envelope),
            Event::ConnectionLost(daemon) => self.connection_lost(daemon),
            Event::PingRequested(daemon) => self.ask_for_sign(daemon),
        }
        std::mem::take(&mut self.actions)
    }

    /// When the next tick has something to do, unless a message comes first.
    pub fn next_deadline(&self) -> Timestamp {
        let mut next = self.next_probe.min(self.next_sync);
        let indirect_at = self.probe.as_ref().and_then(|probe| probe.indirect_at);
        for at in indirect_at.into_iter().chain(self.previous_peers.next_round()) {
            next = next.min(at);
        }
        let has_kept_news = self.has_kept_news || self.wants_kept || !self.kept_news.is_empty();
        let has_news = self.has_document_news || has_kept_news || !self.queue.is_empty();
        let has_news = has_news || self.seed_rounds > 0;
        if has_news { next.min(self.next_gossip) } else { next }
    }

    /// The own description.
    pub fn own(&self) -> &MemberInfo {
        &self.own.info
    }

    /// All daemons known: the own one, the present and the dead of late.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.members.iter().cloned().collect();
        members.push(Member { record: self.own.clone(), health_since: Timestamp::ZERO });
        members.sort_by_key(|member| member.record.info.daemon);
        members
    }

    /// One daemon.
    pub fn member(&self, daemon: DaemonId) -> Option<&Member> {
        self.members.get(daemon)
    }

    /// Changes what this daemon says of itself.
    pub fn set_state(&mut self, state: MemberState) {
        if self.own.info.state != state {
            self.own.info.state = state;
            self.own.version += 1;
            self.queue.push(Subject::Member(self.own.info.daemon));
        }
    }

    /// Says whether replicas of groups may be placed on this daemon.
    pub fn set_holds_groups(&mut self, holds_groups: bool) {
        if self.own.info.holds_groups != holds_groups {
            self.own.info.holds_groups = holds_groups;
            self.own.version += 1;
            self.queue.push(Subject::Member(self.own.info.daemon));
        }
    }

    /// Further addresses to ask while no other daemon is known.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
        self.seed_rounds = SEED_ROUNDS;
        self.next_sync = self.now;
    }

    /// Makes a fact known to all. Returns whether it is newer than what is known, and small
    /// enough; otherwise nothing happens.
    pub fn publish(&mut self, key: FactKey, version: u64, bytes: Vec<u8>) -> bool {
        let fact = Fact { key: key.clone(), version, bytes: Bytes::from(bytes) };
        let is_news = self.merge_fact(fact);
        if let FactKey::Document(number) = key
            && is_news
            && key.is_holder_document()
            && !self.own.info.holds_groups
        {
            self.kept_news.insert(number);
        }
        is_news
    }

    /// The newest known version of a fact.
    pub fn fact(&self, key: &FactKey) -> Option<&Fact> {
        self.facts.get(key)
    }

    /// All facts known.
    pub fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.facts.iter()
    }

    fn tick(&mut self) {
        if self.now >= self.next_probe {
            self.end_probe_interval();
        }
        self.probe_indirectly();
        self.contact_due_previous_peers();
        if self.now >= self.next_gossip {
            self.next_gossip = self.now + self.settings.gossip_interval();
            self.gossip();
            self.ask_unknown_seeds();
            self.spread_documents();
            self.hand_in_kept();
            self.wants_kept &= !(self.wants_kept && self.ask_for_kept());
        }
        if self.now >= self.next_sync {
            self.next_sync = self.now + self.sync_pause;
            self.sync_pause = self.sync_pause.times(2).min(self.settings.sync_interval());
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
            let news = self.news();
            if news.bytes > 0 {
                self.send_news(daemon, MemberMessage::Gossip, news);
            }
        }
    }

    /// Asks the seeds that are not known yet, also when others are: where all begin at the same moment, the
    /// first one heard of may know as little as this daemon, and the seeds hear of everybody.
    fn ask_unknown_seeds(&mut self) {
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
            self.compare_at(seed, Vec::new());
        }
    }

    /// News for one message, within the budget.
    fn news(&mut self) -> News {
        let room = self.budget.room(self.now).saturating_sub(ENVELOPE_BYTES);
        let room = room.min(self.settings.max_message_bytes - ENVELOPE_BYTES);
        let others = self.settings.transmissions(self.members.present_count() + 1);
        let limits = Limits { loads: self.settings.load_transmissions, others };
        let known = Known { own: &self.own, members: &self.members, facts: &self.facts };
        let news = self.queue.take(room, limits, &known);
        if news.bytes > 0 {
            self.budget.spend(news.bytes + ENVELOPE_BYTES);
        }
        news
    }

    /// Sends to a member, with news as far as they fit.
    pub(super) fn send(&mut self, daemon: DaemonId, body: MemberMessage) {
        let mut news = self.news();
        // A suspect must hear of it to object in time.
        if let Some(member) = self.members.get(daemon)
            && member.record.health != Health::Alive
            && !news.members.contains(&member.record)
        {
            news.members.push(member.record.clone());
        }
        self.send_news(daemon, body, news);
    }

    pub(super) fn send_news(&mut self, daemon: DaemonId, body: MemberMessage, news: News) {
        let Some(member) = self.members.get(daemon) else { return };
        let to = member.record.info.address;
        self.send_to_address(to, body, news.members, news.facts);
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
        self.previous_peers.heard_from(&address);
        // A table of others is known to others: only what changes an entry spreads on.
        let is_table = matches!(body, MemberMessage::SyncChunk(_));
        let known_before = self.members.len();
        for record in members {
            if is_table && self.members.get(record.info.daemon).is_none() {
                self.learn_record(record);
            } else {
                self.merge_record(record);
            }
        }
        if is_table && self.members.len() >= known_before + MANY_NEWS {
            // What one member can tell in one answer is bounded: there is more to learn.
            self.next_sync = self.next_sync.min(self.now + self.settings.gossip_interval());
        }
        for fact in facts {
            self.take_fact(from.daemon, fact);
        }
        // It knows an earlier life of this daemon, which knew it. Where all seeds began anew at the
        // same moment, nobody else can tell of the daemons that went on.
        // An answer to a comparison is no sign of that, and comes in many messages.
        let is_unknown =
            from.daemon != self.own.info.daemon && self.members.get(from.daemon).is_none();
        if is_unknown && !is_table {
            self.compare_at(address, Vec::new());
        }
        match body {
            MemberMessage::Ping { sequence, to, on_behalf_of } => {
                self.answer_ping(from.daemon, sequence, to, on_behalf_of);
            }
            MemberMessage::Ack { sequence, answering, on_behalf_of } => {
                self.take_ack(sequence, answering, on_behalf_of);
            }
            MemberMessage::PingRequest { sequence, target } => {
                self.ping_for(from.daemon, sequence, target);
            }
            MemberMessage::Gossip => {}
            MemberMessage::SyncRequest(digest) => self.answer_sync(from.daemon, &digest),
            MemberMessage::SyncChunk(chunk) => self.take_sync_chunk(from.daemon, chunk),
        }
    }

    pub(super) fn merge_fact(&mut self, fact: Fact) -> bool {
        let key = fact.key.clone();
        let (is_gossiped, is_kept) = (key.is_gossiped(), key.is_holder_document());
        let settings = &self.settings;
        let limit = if is_gossiped { settings.max_fact_bytes } else { settings.max_document_bytes };
        if fact.bytes.len() > limit {
            return false;
        }
        let is_news = self.facts.merge(fact, self.settings.max_facts, self.now);
        if is_news && is_gossiped {
            self.queue.push(Subject::Fact(key));
        }
        self.has_document_news |= is_news && !is_gossiped && !is_kept;
        self.has_kept_news |= is_news && is_kept && self.own.info.holds_groups;
        is_news
    }

    /// Takes in a statement on a member and spreads it when it is news.
    pub(super) fn merge_record(&mut self, record: MemberRecord) {
        if record.info.daemon == self.own.info.daemon {
            self.merge_own(&record);
            return;
        }
        let is_new_life = self.begins_a_life(&record);
        if self.members.merge(&record, self.now) {
            self.queue.push(Subject::Member(record.info.daemon));
            if is_new_life {
                self.greet(record.info.daemon);
            }
            self.actions.push(Action::MemberChanged(record));
        }
    }

    /// Whether a statement is the first one on a member's present life.
    fn begins_a_life(&self, record: &MemberRecord) -> bool {
        let held = self.members.get(record.info.daemon).map(|member| member.record.info.replica());
        let is_later = held.is_none_or(|held| held.incarnation < record.info.incarnation);
        is_later && record.health == Health::Alive
    }

    /// Takes in a statement on an unknown member without spreading it.
    fn learn_record(&mut self, record: MemberRecord) {
        if record.info.daemon == self.own.info.daemon {
            self.merge_own(&record);
        } else if self.members.merge(&record, self.now) {
            self.actions.push(Action::MemberChanged(record));
        }
    }

    /// Objects to a suspicion, or learns of a later life.
    fn merge_own(&mut self, record: &MemberRecord) {
        let own = self.own.info.incarnation;
        if record.info.incarnation > own {
            self.actions.push(Action::Superseded { by: record.info.incarnation });
            return;
        }
        let is_present_life = record.info.incarnation == own;
        if is_present_life && record.health != Health::Alive && record.version >= self.own.version {
            self.own.version = record.version.saturating_add(1);
            self.queue.push(Subject::Member(self.own.info.daemon));
        }
    }

    /// The time a suspect has.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        self.settings.suspicion_timeout(self.members.present_count() + 1)
    }
}
