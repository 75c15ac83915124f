//! The operators' configuration on this node: the generation in force, and changes proposed through
//! this node.
//!
//! A node that starts does not know whether its configuration is current. It stays `Joining`, owns no
//! group and refuses requests until its follower allows it to serve.

mod changes;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use dahlia_configuration::{
    Anomaly, ChangeId, ChangeWriter, ChangeWriterEvent, ConfigurationFollower, ConfigurationRecord,
    FollowerAction, FollowerEvent, Peer, PeerMessage as FollowerMessage, ServingGeneration,
};
use dahlia_replication::membership::{Health, MemberState};
use dahlia_types::{DaemonId, Duration, Generation, Timestamp};

use crate::key_value::{ChangeStep, KeyValueEvent, KeyValueOperation};
use crate::node::Node;
use crate::request::RequestId;
use crate::wire::PeerMessage;
use crate::{Action, NodeSettings};

/// A daemon whose seeds do not answer within this time proceeds as if it were alone.
const SEED_TIMEOUT: Duration = Duration::from_secs(5);
/// How often the list of peers is updated.
const PEER_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// The configuration as this node knows it.
#[derive(Debug, Clone)]
pub struct ConfigurationView {
    /// Whether the node may serve with this configuration.
    pub serving_generation: ServingGeneration,
    /// The newest record; none before the first one.
    pub current: Option<Arc<ConfigurationRecord>>,
    /// Records that were previously in force on this node, newest first.
    pub previous: Vec<Arc<ConfigurationRecord>>,
}

/// The configuration state of this node.
pub(crate) struct Configuration {
    follower: ConfigurationFollower,
    change_writer: ChangeWriter,
    started_at: Timestamp,
    has_seeds: bool,
    /// The last list passed to the follower; none before the first.
    peers: Option<Vec<Peer>>,
    next_peer_update: Timestamp,
    next_tick: Timestamp,
    /// The last step of the change in progress.
    current_step: ChangeStep,
    /// Requests that wait for the outcome of a change.
    change_waiters: BTreeMap<ChangeId, BTreeSet<RequestId>>,
    /// The document from the settings, while it may be needed.
    first_document: Option<String>,
    next_first_document_offer: Option<Timestamp>,
    /// The generations that other daemons last reported.
    reported_generations: BTreeMap<DaemonId, Generation>,
    /// Whether the follower allows this node to serve.
    is_follower_ready: bool,
    /// Whether the node serves.
    is_serving: bool,
    /// Whether the configuration requests that this daemon drains.
    drains: bool,
    /// Whether the daemons keep the operators' configuration at all.
    is_enabled: bool,
}

impl Configuration {
    /// Creates a state without a generation. `first_document` is proposed if the system has none.
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
            let disabled = &settings.faults.configuration;
            disabled.iter().for_each(|mechanism| follower.disable(*mechanism));
            follower
        };
        let is_other = |seed: &SocketAddr| *seed != settings.address;
        Self {
            follower,
            change_writer: new_change_writer(settings),
            started_at: now,
            has_seeds: settings.seeds.iter().any(is_other),
            peers: None,
            next_peer_update: now,
            next_tick: now,
            current_step: ChangeStep::default(),
            change_waiters: BTreeMap::new(),
            first_document: settings.first_document.clone(),
            next_first_document_offer: None,
            reported_generations: BTreeMap::new(),
            is_follower_ready: false,
            is_serving: !settings.follows_configuration,
            drains: false,
            is_enabled: settings.follows_configuration,
        }
    }

    /// Returns why the node does not serve yet; none if it serves.
    pub(crate) fn problem(&self) -> Option<&'static str> {
        if self.is_serving {
            return None;
        }
        if self.is_follower_ready {
            return Some("no generation of the configuration exists yet");
        }
        if self.has_seeds && self.peers.is_none() {
            return Some("no daemon of daemon.seeds has answered yet");
        }
        Some("it is not known yet which generation of the configuration is in force")
    }

    /// Returns the current generation; 0 if there is none.
    pub(crate) fn generation(&self) -> Generation {
        self.current().map_or(Generation(0), |record| record.generation())
    }

    /// Returns the current record.
    pub(crate) fn current(&self) -> Option<&Arc<ConfigurationRecord>> {
        self.follower.current()
    }

    fn record_reported_generation(&mut self, from: DaemonId, message: &FollowerMessage) {
        let id = match message {
            FollowerMessage::Compare(id) => *id,
            FollowerMessage::CompareReply { newest, .. } => *newest,
            FollowerMessage::Announce(id) => Some(*id),
            FollowerMessage::Fetch | FollowerMessage::Record(_) => return,
        };
        let generation = id.map_or(Generation(0), |id| id.generation);
        self.reported_generations.insert(from, generation);
    }
}

#[cfg(feature = "test-switches")]
fn new_change_writer(settings: &NodeSettings) -> ChangeWriter {
    let mut change_writer = ChangeWriter::new(settings.configuration.clone());
    let disabled = &settings.faults.configuration;
    disabled.iter().for_each(|mechanism| change_writer.disable(*mechanism));
    change_writer
}

#[cfg(not(feature = "test-switches"))]
fn new_change_writer(settings: &NodeSettings) -> ChangeWriter {
    ChangeWriter::new(settings.configuration.clone())
}

impl Node {
    /// Drains this daemon while the configuration requests it, and accepts work again afterwards.
    pub(crate) fn drain_by_configuration(&mut self, drains: bool, now: Timestamp) {
        let configuration = &mut self.configuration;
        let was_drained = std::mem::replace(&mut configuration.drains, drains);
        if drains {
            self.drain(now);
        } else if was_drained {
            self.end_drain();
        }
    }

    /// Returns the configuration as this node knows it.
    pub fn configuration_view(&self) -> ConfigurationView {
        let follower = &self.configuration.follower;
        ConfigurationView {
            serving_generation: follower.serving_generation(),
            current: follower.current().cloned(),
            previous: follower.previous_records().cloned().collect(),
        }
    }

    /// Returns the generation that a daemon last reported, or this node's own generation.
    pub fn generation_of(&self, daemon: DaemonId) -> Option<Generation> {
        if daemon == self.settings.own.daemon {
            return Some(self.configuration.generation());
        }
        self.configuration.reported_generations.get(&daemon).copied()
    }

    /// Handles the passage of time.
    pub(crate) fn configuration_tick(&mut self, now: Timestamp) {
        if !self.configuration.is_enabled {
            return;
        }
        self.update_peers(now);
        if now >= self.configuration.next_tick {
            self.run_follower(FollowerEvent::Tick, now);
            self.configuration.next_tick = self.configuration.follower.next_tick(now);
        }
        if self.configuration.change_writer.next_tick(now).is_some() {
            self.run_change_writer(ChangeWriterEvent::Tick, now);
        }
        self.offer_first_document(now);
    }

    /// Passes the list of other daemons that are not known to be dead to the follower, if it changed.
    fn update_peers(&mut self, now: Timestamp) {
        if now < self.configuration.next_peer_update {
            return;
        }
        self.configuration.next_peer_update = now + PEER_UPDATE_INTERVAL;
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
        let configuration = &mut self.configuration;
        let waits_for_seeds =
            configuration.has_seeds && now.since(configuration.started_at) < SEED_TIMEOUT;
        if peers.is_empty() && configuration.peers.is_none() && waits_for_seeds {
            return;
        }
        if configuration.peers.as_ref() != Some(&peers) {
            configuration.peers = Some(peers.clone());
            self.run_follower(FollowerEvent::Peers(peers), now);
        }
    }

    /// Handles a message from another daemon's follower.
    pub(crate) fn handle_configuration_message(
        &mut self,
        from: DaemonId,
        message: FollowerMessage,
        now: Timestamp,
    ) {
        if !self.configuration.is_enabled {
            return;
        }
        self.configuration.record_reported_generation(from, &message);
        self.run_follower(FollowerEvent::Message { from, message }, now);
    }

    /// Handles an answer from the key-value service.
    pub(crate) fn handle_key_value_event(&mut self, event: KeyValueEvent, now: Timestamp) {
        match event {
            KeyValueEvent::Read(result) => {
                self.run_follower(FollowerEvent::ServiceRead(result), now)
            }
            KeyValueEvent::Watched(value) => self.run_follower(FollowerEvent::Watched(value), now),
            KeyValueEvent::WatchEnded => self.run_follower(FollowerEvent::WatchEnded, now),
            // The answer to a step of an abandoned change must not be mistaken for the answer to the
            // current change.
            KeyValueEvent::ReadForChange { step, result }
                if step == self.configuration.current_step =>
            {
                self.run_change_writer(ChangeWriterEvent::Read(result), now);
            }
            KeyValueEvent::Swapped { step, result } if step == self.configuration.current_step => {
                self.run_change_writer(ChangeWriterEvent::Swapped(result), now);
            }
            KeyValueEvent::ReadForChange { .. } | KeyValueEvent::Swapped { .. } => {}
        }
    }

    fn run_follower(&mut self, event: FollowerEvent, now: Timestamp) {
        for action in self.configuration.follower.handle(event, now) {
            match action {
                FollowerAction::ReadService => {
                    self.actions.push(Action::KeyValue(KeyValueOperation::Read));
                }
                FollowerAction::OpenWatch => {
                    self.actions.push(Action::KeyValue(KeyValueOperation::OpenWatch));
                }
                FollowerAction::CloseWatch => {
                    self.actions.push(Action::KeyValue(KeyValueOperation::CloseWatch));
                }
                FollowerAction::Send { to, message } => {
                    self.send_configuration_message(to, message)
                }
                FollowerAction::Ready => {
                    self.configuration.is_follower_ready = true;
                    self.start_serving(now);
                }
                FollowerAction::Activate(record) => self.activate_generation(record, now),
                FollowerAction::Report(anomaly) => log_anomaly(&anomaly),
            }
        }
        self.configuration.next_tick = self.configuration.follower.next_tick(now);
    }

    fn send_configuration_message(&mut self, to: DaemonId, message: FollowerMessage) {
        let Some(address) = self.address(to) else {
            return;
        };
        let message = match message {
            // Before the groups are laid out, no generation can have served any caller. A system that
            // starts for the first time need not wait for generations that may still spread.
            FollowerMessage::CompareReply { newest, is_serving } => FollowerMessage::CompareReply {
                newest,
                is_serving: is_serving && self.is_laid_out(),
            },
            other => other,
        };
        let message = PeerMessage::Configuration(message);
        self.actions.push(Action::Send { to: address, message });
    }

    /// Puts a generation in force on this node.
    fn activate_generation(&mut self, record: Arc<ConfigurationRecord>, now: Timestamp) {
        let generation = record.generation();
        let change = &record.change().change;
        log::info!(target: "configuration", "Generation {generation} is in force, by change {change}.");
        self.configuration.first_document = None;
        self.run_change_writer(ChangeWriterEvent::Activated(record.clone()), now);
        self.apply_document(record.document(), now);
        self.plan_for_generation(record.clone(), now);
        self.actions.push(Action::ConfigurationInForce(record));
        self.start_serving(now);
    }

    /// Starts to serve once the follower allows it and a generation exists or is not needed.
    fn start_serving(&mut self, _now: Timestamp) {
        let configuration = &mut self.configuration;
        let has_generation = configuration.generation() > Generation(0);
        if configuration.is_serving
            || !configuration.is_follower_ready
            || !(has_generation || configuration.first_document.is_none())
        {
            return;
        }
        configuration.is_serving = true;
        if self.membership.own().state == MemberState::Joining {
            self.membership.set_state(MemberState::Live);
        }
    }
}

fn log_anomaly(anomaly: &Anomaly) {
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
