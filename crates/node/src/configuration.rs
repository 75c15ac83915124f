//! The operators' configuration on this node: which generation is in force, and the changes that
//! this node brings in for operators.
//!
//! A node that starts does not know whether it is current. It stays `Joining`, owns no group and
//! refuses requests until its follower allows it to serve.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use dahlia_configuration::{
    AcceptAction, AcceptEvent, Accepter, Anomaly, ChangeId, Digest, Follower, FollowerAction,
    FollowerEvent, Knowledge, Peer, PeerMessage as SpreadMessage, Proposal, Record, Verdict,
};
use dahlia_replication::membership::{Health, MemberState};
use dahlia_types::{DaemonId, Duration, Generation, Timestamp};

use crate::key_value::{ChangeStep, KeyValueEvent, KeyValueStep};
use crate::node::Node;
use crate::request::RequestId;
use crate::wire::PeerMessage;
use crate::{Action, NodeSettings};

/// A daemon whose seeds do not answer for so long goes on as if it were alone.
const SEED_PATIENCE: Duration = Duration::from_secs(5);
/// How often the list of peers is looked at.
const PEERS_INTERVAL: Duration = Duration::from_millis(200);
/// Daemons of one system offer the first document one after the other, this far apart.
const FIRST_DOCUMENT_STAGGER: Duration = Duration::from_millis(300);
/// Pause before the first document is offered again.
const FIRST_DOCUMENT_RETRY: Duration = Duration::from_secs(2);
/// Author of the first document.
const FIRST_AUTHOR: &str = "settings";

/// The configuration as this node knows it.
#[derive(Debug, Clone)]
pub struct ConfigurationView {
    /// Whether the node may serve by it.
    pub knowledge: Knowledge,
    /// The newest record; none before the first.
    pub current: Option<Arc<Record>>,
    /// Records that this node had in force before, newest first.
    pub earlier: Vec<Arc<Record>>,
}

/// State of the configuration on this node.
pub(crate) struct Configuration {
    follower: Follower,
    accepter: Accepter,
    started: Timestamp,
    has_seeds: bool,
    /// None until the follower was given the first list.
    peers: Option<Vec<Peer>>,
    next_peers: Timestamp,
    next_tick: Timestamp,
    /// The last step of the change under way.
    step: ChangeStep,
    /// Who waits for the verdict on a change.
    waiting: BTreeMap<ChangeId, BTreeSet<RequestId>>,
    /// The document that the settings make, while it may be needed.
    first_document: Option<String>,
    next_offer: Option<Timestamp>,
    /// Generations that other daemons told of.
    told: BTreeMap<DaemonId, Generation>,
    /// The follower allows this node to serve.
    is_followed: bool,
    /// The node serves.
    is_open: bool,
    /// The configuration says that this daemon drains.
    drains: bool,
}

impl Configuration {
    /// Knows no generation. `first_document` is offered when the system has none.
    pub(crate) fn new(settings: &NodeSettings, now: Timestamp) -> Self {
        let own = settings.own.daemon;
        let follower = Follower::new(
            own,
            settings.zone.clone(),
            settings.configuration.clone(),
            None,
            settings.seed,
            now,
        );
        #[cfg(feature = "test-switches")]
        let follower = {
            let mut follower = follower;
            let off = &settings.faults.configuration;
            off.iter().for_each(|mechanism| follower.disable(*mechanism));
            follower
        };
        let is_other = |seed: &SocketAddr| *seed != settings.address;
        Self {
            follower,
            accepter: new_accepter(settings),
            started: now,
            has_seeds: settings.seeds.iter().any(is_other),
            peers: None,
            next_peers: now,
            next_tick: now,
            step: ChangeStep::default(),
            waiting: BTreeMap::new(),
            first_document: settings.first_document.clone(),
            next_offer: None,
            told: BTreeMap::new(),
            is_followed: false,
            is_open: false,
            drains: false,
        }
    }

    /// Why the node does not serve yet.
    pub(crate) fn problem(&self) -> Option<&'static str> {
        if self.is_open {
            return None;
        }
        if self.is_followed {
            return Some("no generation of the configuration exists yet");
        }
        if self.has_seeds && self.peers.is_none() {
            return Some("no daemon of daemon.seeds has answered yet");
        }
        Some("it is not known yet which generation of the configuration is in force")
    }

    /// The generation held; 0 when none is.
    pub(crate) fn generation(&self) -> Generation {
        self.current().map_or(Generation(0), |record| record.generation())
    }

    /// The record held.
    pub(crate) fn current(&self) -> Option<&Arc<Record>> {
        self.follower.current()
    }

    fn note_told(&mut self, from: DaemonId, message: &SpreadMessage) {
        let stamp = match message {
            SpreadMessage::Compare(stamp) => *stamp,
            SpreadMessage::Tell { newest, .. } => *newest,
            SpreadMessage::Announce(stamp) => Some(*stamp),
            SpreadMessage::Fetch | SpreadMessage::Body(_) => return,
        };
        let generation = stamp.map_or(Generation(0), |stamp| stamp.generation);
        self.told.insert(from, generation);
    }
}

#[cfg(feature = "test-switches")]
fn new_accepter(settings: &NodeSettings) -> Accepter {
    let mut accepter = Accepter::new(settings.configuration.clone());
    let off = &settings.faults.configuration;
    off.iter().for_each(|mechanism| accepter.disable(*mechanism));
    accepter
}

#[cfg(not(feature = "test-switches"))]
fn new_accepter(settings: &NodeSettings) -> Accepter {
    Accepter::new(settings.configuration.clone())
}

impl Node {
    /// Hands over again and again while the configuration says that this daemon drains, and takes
    /// work again when it no longer does.
    pub(crate) fn drain_by_configuration(&mut self, drains: bool, now: Timestamp) {
        let part = &mut self.configuration;
        let was_drained = std::mem::replace(&mut part.drains, drains);
        if drains {
            self.drain(now);
        } else if was_drained {
            self.end_drain();
        }
    }

    /// The configuration as this node knows it.
    pub fn configuration_view(&self) -> ConfigurationView {
        let follower = &self.configuration.follower;
        ConfigurationView {
            knowledge: follower.knowledge(),
            current: follower.current().cloned(),
            earlier: follower.earlier().cloned().collect(),
        }
    }

    /// The generation that a daemon last told of; this node's own for itself.
    pub fn generation_of(&self, daemon: DaemonId) -> Option<Generation> {
        if daemon == self.settings.own.daemon {
            return Some(self.configuration.generation());
        }
        self.configuration.told.get(&daemon).copied()
    }

    /// Time has passed.
    pub(crate) fn configuration_tick(&mut self, now: Timestamp) {
        self.update_peers(now);
        if now >= self.configuration.next_tick {
            self.follow(FollowerEvent::Tick, now);
            self.configuration.next_tick = self.configuration.follower.next_tick(now);
        }
        if self.configuration.accepter.next_tick(now).is_some() {
            self.accept(AcceptEvent::Tick, now);
        }
        self.offer_first_document(now);
    }

    /// Gives the follower the other daemons that are believed to live, when they changed.
    fn update_peers(&mut self, now: Timestamp) {
        if now < self.configuration.next_peers {
            return;
        }
        self.configuration.next_peers = now + PEERS_INTERVAL;
        if self.configuration.drains {
            self.drain(now);
        }
        let own = self.settings.own.daemon;
        let members = self.membership.members();
        let others = members.into_iter().map(|member| member.record);
        let alive = others.filter(|it| it.info.daemon != own && it.health != Health::Dead);
        let peers: Vec<Peer> = alive
            .map(|record| Peer { daemon: record.info.daemon, zone: record.info.zone })
            .collect();
        let part = &mut self.configuration;
        let is_patient = part.has_seeds && now.since(part.started) < SEED_PATIENCE;
        if peers.is_empty() && part.peers.is_none() && is_patient {
            return;
        }
        if part.peers.as_ref() != Some(&peers) {
            part.peers = Some(peers.clone());
            self.follow(FollowerEvent::Peers(peers), now);
        }
    }

    /// A follower of another daemon says something.
    pub(crate) fn configuration_message(
        &mut self,
        from: DaemonId,
        message: SpreadMessage,
        now: Timestamp,
    ) {
        self.configuration.note_told(from, &message);
        self.follow(FollowerEvent::Message { from, message }, now);
    }

    /// The key-value service answered.
    pub(crate) fn key_value(&mut self, event: KeyValueEvent, now: Timestamp) {
        match event {
            KeyValueEvent::Read(result) => self.follow(FollowerEvent::Service(result), now),
            KeyValueEvent::Watched(value) => self.follow(FollowerEvent::Watched(value), now),
            KeyValueEvent::WatchEnded => self.follow(FollowerEvent::WatchEnded, now),
            // An answer to the step of a change that was given up must not pass for the answer to
            // the present one's.
            KeyValueEvent::ReadForChange { step, result } if step == self.configuration.step => {
                self.accept(AcceptEvent::Read(result), now);
            }
            KeyValueEvent::Swapped { step, result } if step == self.configuration.step => {
                self.accept(AcceptEvent::Swapped(result), now);
            }
            KeyValueEvent::ReadForChange { .. } | KeyValueEvent::Swapped { .. } => {}
        }
    }

    /// An operator asks for a change.
    pub(crate) fn propose_change(&mut self, id: RequestId, proposal: Proposal, now: Timestamp) {
        if !self.configuration.is_followed {
            // A daemon that does not know the newest generation cannot tell what follows it.
            let verdict = Verdict::Unavailable;
            self.actions.push(Action::Decided { id, verdict });
            return;
        }
        let change = proposal.change.clone();
        let decisions = self.configuration.accepter.handle(AcceptEvent::Proposed(proposal), now);
        if let [AcceptAction::Finished(_, verdict)] = decisions.as_slice() {
            // Refused at once: whoever waits for an earlier request of this change waits on.
            self.actions.push(Action::Decided { id, verdict: verdict.clone() });
            return;
        }
        self.configuration.waiting.entry(change).or_default().insert(id);
        self.carry_out_change(decisions, now);
    }

    fn accept(&mut self, event: AcceptEvent, now: Timestamp) {
        let decisions = self.configuration.accepter.handle(event, now);
        self.carry_out_change(decisions, now);
    }

    fn carry_out_change(&mut self, decisions: Vec<AcceptAction>, now: Timestamp) {
        for decision in decisions {
            match decision {
                AcceptAction::Read => {
                    let step = self.next_step();
                    self.actions.push(Action::KeyValue(KeyValueStep::ReadForChange(step)));
                }
                AcceptAction::Swap { expected, value } => {
                    let step = self.next_step();
                    let swap = KeyValueStep::Swap { step, expected, value };
                    self.actions.push(Action::KeyValue(swap));
                }
                AcceptAction::Finished(change, verdict) => self.decided(&change, &verdict, now),
            }
        }
    }

    fn next_step(&mut self) -> ChangeStep {
        self.configuration.step.0 += 1;
        self.configuration.step
    }

    fn decided(&mut self, change: &ChangeId, verdict: &Verdict, now: Timestamp) {
        log::info!(target: "configuration", "Change {change}: {}.", summary(verdict));
        if let Verdict::Accepted(record) = verdict {
            // Others get the record before the operator gets the answer: an acceptance that only
            // this daemon knew of could be lost with it while the service is down.
            self.follow(FollowerEvent::Accepted(record.clone()), now);
        }
        for id in self.configuration.waiting.remove(change).unwrap_or_default() {
            self.actions.push(Action::Decided { id, verdict: verdict.clone() });
        }
    }

    fn follow(&mut self, event: FollowerEvent, now: Timestamp) {
        for action in self.configuration.follower.handle(event, now) {
            match action {
                FollowerAction::ReadService => {
                    self.actions.push(Action::KeyValue(KeyValueStep::Read));
                }
                FollowerAction::OpenWatch => {
                    self.actions.push(Action::KeyValue(KeyValueStep::OpenWatch));
                }
                FollowerAction::CloseWatch => {
                    self.actions.push(Action::KeyValue(KeyValueStep::CloseWatch));
                }
                FollowerAction::Send { to, message } => self.tell(to, message),
                FollowerAction::Ready => {
                    self.configuration.is_followed = true;
                    self.open(now);
                }
                FollowerAction::InForce(record) => self.in_force(record, now),
                FollowerAction::Report(anomaly) => report(&anomaly),
            }
        }
        self.configuration.next_tick = self.configuration.follower.next_tick(now);
    }

    fn tell(&mut self, to: DaemonId, message: SpreadMessage) {
        let Some(address) = self.address(to) else {
            return;
        };
        let message = match message {
            // Before the groups are laid out nobody can have been served by any generation: a
            // system that starts for the first time need not wait for what may still spread.
            SpreadMessage::Tell { newest, serves } => {
                SpreadMessage::Tell { newest, serves: serves && self.is_laid_out() }
            }
            other => other,
        };
        let message = PeerMessage::Configuration(message);
        self.actions.push(Action::Send { to: address, message });
    }

    /// A generation is in force from now on.
    fn in_force(&mut self, record: Arc<Record>, now: Timestamp) {
        let generation = record.generation();
        let change = &record.change().change;
        log::info!(target: "configuration", "Generation {generation} is in force, by change {change}.");
        self.configuration.first_document = None;
        self.accept(AcceptEvent::InForce(record.clone()), now);
        self.use_document(record.document(), now);
        self.plan_in_force(record.clone(), now);
        self.actions.push(Action::ConfigurationInForce(record));
        self.open(now);
    }

    /// Begins to serve when the follower allows it and a generation exists or is not needed.
    fn open(&mut self, _now: Timestamp) {
        let part = &mut self.configuration;
        let has_generation = part.generation() > Generation(0);
        if part.is_open || !part.is_followed || !(has_generation || part.first_document.is_none()) {
            return;
        }
        part.is_open = true;
        if self.membership.own().state == MemberState::Joining {
            self.membership.set_state(MemberState::Live);
        }
    }

    /// Offers the document of the settings when the system has none. Each daemon with the same
    /// settings offers the same change, so that only one of them takes effect.
    fn offer_first_document(&mut self, now: Timestamp) {
        let part = &self.configuration;
        let Some(document) = part.first_document.clone().filter(|_| part.is_followed) else {
            return;
        };
        let Some(at) = part.next_offer else {
            let before = part.peers.iter().flatten().filter(|peer| peer.daemon < self.own_daemon());
            let wait = FIRST_DOCUMENT_STAGGER.times(before.count() as u64);
            self.configuration.next_offer = Some(now + wait);
            return;
        };
        if now < at || part.accepter.is_busy() {
            return;
        }
        self.configuration.next_offer = Some(now + FIRST_DOCUMENT_RETRY);
        let digest = Digest::of(document.as_bytes()).to_string();
        let proposal = Proposal {
            change: ChangeId(format!("first-{}", &digest[..16])),
            expected: Generation(0),
            author: FIRST_AUTHOR.to_owned(),
            document,
            repeated: true,
        };
        self.accept(AcceptEvent::Proposed(proposal), now);
    }

    fn own_daemon(&self) -> DaemonId {
        self.settings.own.daemon
    }
}

fn summary(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted(record) => format!("accepted as generation {}", record.generation()),
        Verdict::AcceptedEarlier(change) => {
            format!("accepted earlier as generation {}", change.generation)
        }
        Verdict::Conflict { newest, .. } => format!("refused, generation {newest} is the newest"),
        Verdict::Invalid(error) => format!("refused, {error}"),
        Verdict::IdentityReused(_) => "refused, its identity was used before".to_owned(),
        Verdict::Busy => "refused, another change is being decided".to_owned(),
        Verdict::Unavailable => "refused, the key-value service does not answer".to_owned(),
        Verdict::Unknown => "its outcome is unknown".to_owned(),
    }
}

fn report(anomaly: &Anomaly) {
    match anomaly {
        Anomaly::ServiceOlder { found, in_force } => log::warn!(
            target: "configuration",
            "The key-value service answered with generation {found}; {in_force} stays in force."
        ),
        Anomaly::Diverged { generation } => {
            log::error!(target: "configuration", "Two records of generation {generation} differ.");
        }
        Anomaly::Unreadable(error) => {
            log::error!(target: "configuration", "A record is not readable: {error}.");
        }
    }
}
