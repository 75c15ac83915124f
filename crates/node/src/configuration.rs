//! The operators' configuration on this node: which generation is in force, and the changes that
//! this node brings in for operators.
//!
//! A node that starts does not know whether it is current. It stays `Joining`, owns no group and
//! refuses requests until its follower allows it to serve.

mod changes;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use dahlia_configuration::{
    Anomaly, ChangeId, ChangeWriter, ChangeWriterEvent, ConfigurationFollower, ConfigurationRecord,
    FollowerAction, FollowerEvent, Peer, PeerMessage as SpreadMessage, ServingGeneration,
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

/// The configuration as this node knows it.
#[derive(Debug, Clone)]
pub struct ConfigurationView {
    /// Whether the node may serve by it.
    pub serving_generation: ServingGeneration,
    /// The newest record; none before the first.
    pub current: Option<Arc<ConfigurationRecord>>,
    /// Records that this node had in force before, newest first.
    pub earlier: Vec<Arc<ConfigurationRecord>>,
}

/// State of the configuration on this node.
pub(crate) struct Configuration {
    follower: ConfigurationFollower,
    change_writer: ChangeWriter,
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
    /// Whether the operators' configuration is kept by the daemons at all.
    is_kept: bool,
}

impl Configuration {
    /// Knows no generation. `first_document` is offered when the system has none.
    pub(crate) fn new(settings: &NodeSettings, now: Timestamp) -> Self {
        let own = settings.own.daemon;
        let follower = ConfigurationFollower::new(
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
            change_writer: new_change_writer(settings),
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
            is_open: !settings.follows_configuration,
            drains: false,
            is_kept: settings.follows_configuration,
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
    pub(crate) fn current(&self) -> Option<&Arc<ConfigurationRecord>> {
        self.follower.current()
    }

    fn note_told(&mut self, from: DaemonId, message: &SpreadMessage) {
        let id = match message {
            SpreadMessage::Compare(id) => *id,
            SpreadMessage::CompareReply { newest, .. } => *newest,
            SpreadMessage::Announce(id) => Some(*id),
            SpreadMessage::Fetch | SpreadMessage::Record(_) => return,
        };
        let generation = id.map_or(Generation(0), |id| id.generation);
        self.told.insert(from, generation);
    }
}

#[cfg(feature = "test-switches")]
fn new_change_writer(settings: &NodeSettings) -> ChangeWriter {
    let mut change_writer = ChangeWriter::new(settings.configuration.clone());
    let off = &settings.faults.configuration;
    off.iter().for_each(|mechanism| change_writer.disable(*mechanism));
    change_writer
}

#[cfg(not(feature = "test-switches"))]
fn new_change_writer(settings: &NodeSettings) -> ChangeWriter {
    ChangeWriter::new(settings.configuration.clone())
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
            serving_generation: follower.serving_generation(),
            current: follower.current().cloned(),
            earlier: follower.previous_records().cloned().collect(),
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
        if !self.configuration.is_kept {
            return;
        }
        self.update_peers(now);
        if now >= self.configuration.next_tick {
            self.follow(FollowerEvent::Tick, now);
            self.configuration.next_tick = self.configuration.follower.next_tick(now);
        }
        if self.configuration.change_writer.next_tick(now).is_some() {
            self.accept(ChangeWriterEvent::Tick, now);
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
        if !self.configuration.is_kept {
            return;
        }
        self.configuration.note_told(from, &message);
        self.follow(FollowerEvent::Message { from, message }, now);
    }

    /// The key-value service answered.
    pub(crate) fn key_value(&mut self, event: KeyValueEvent, now: Timestamp) {
        match event {
            KeyValueEvent::Read(result) => self.follow(FollowerEvent::ServiceRead(result), now),
            KeyValueEvent::Watched(value) => self.follow(FollowerEvent::Watched(value), now),
            KeyValueEvent::WatchEnded => self.follow(FollowerEvent::WatchEnded, now),
            // An answer to the step of a change that was given up must not pass for the answer to
            // the present one's.
            KeyValueEvent::ReadForChange { step, result } if step == self.configuration.step => {
                self.accept(ChangeWriterEvent::Read(result), now);
            }
            KeyValueEvent::Swapped { step, result } if step == self.configuration.step => {
                self.accept(ChangeWriterEvent::Swapped(result), now);
            }
            KeyValueEvent::ReadForChange { .. } | KeyValueEvent::Swapped { .. } => {}
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
                FollowerAction::Activate(record) => self.in_force(record, now),
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
            SpreadMessage::CompareReply { newest, is_serving } => {
                SpreadMessage::CompareReply { newest, is_serving: is_serving && self.is_laid_out() }
            }
            other => other,
        };
        let message = PeerMessage::Configuration(message);
        self.actions.push(Action::Send { to: address, message });
    }

    /// A generation is in force from now on.
    fn in_force(&mut self, record: Arc<ConfigurationRecord>, now: Timestamp) {
        let generation = record.generation();
        let change = &record.change().change;
        log::info!(target: "configuration", "Generation {generation} is in force, by change {change}.");
        self.configuration.first_document = None;
        self.accept(ChangeWriterEvent::Activated(record.clone()), now);
        self.apply_document(record.document(), now);
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
}

fn report(anomaly: &Anomaly) {
    match anomaly {
        Anomaly::StaleRead { found, in_force } => log::warn!(
            target: "configuration",
            "The key-value service answered with generation {found}; {in_force} stays in force."
        ),
        Anomaly::RecordsDiffer { generation } => {
            log::error!(target: "configuration", "Two records of generation {generation} differ.");
        }
        Anomaly::UnreadableRecord(error) => {
            log::error!(target: "configuration", "A record is not readable: {error}.");
        }
    }
}
