//! A daemon's life: its node, what its tasks hold, its start and its end.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_configuration::ChangeProposal;
use dahlia_node::request::{Request, RequestId, Response};
use dahlia_node::{Event as NodeEvent, Node};
use dahlia_types::{AttemptId, CallId, DaemonId, Duration, Incarnation, ReplicaId, Timestamp};
use rand::Rng;

use super::World;
use super::agenda::{Delivery, Target};
use super::answers::{BoardText, Source};
use super::attempt::AttemptTask;
use super::calls::OpenRpc;
use super::gateway::Connection;
use super::observe::Observation;
use super::settings::{ORIGIN, node_settings, zone_index};
use crate::switches::Switch;

/// How often each engine's load is read.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How often a planned stop looks whether everything has ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Longest time that a planned stop takes.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);
/// Daemons start within this time of each other.
const START_SPREAD_MICROS: u64 = 100_000;

/// Who waits for a response of the node.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Waiter {
    /// A caller's or operator's connection.
    Connection(u64),
    /// A reader of an answer here.
    Source(u64),
}

/// One daemon over all its lives.
pub(crate) struct VirtualDaemon {
    pub(crate) zone: usize,
    pub(crate) life: u32,
    pub(crate) incarnation: Incarnation,
    /// None while the process is down.
    pub(crate) node: Option<Box<Node>>,
    pub(crate) is_frozen: bool,
    pub(crate) backlog: Vec<Delivery>,
    pub(crate) open_rpcs: BTreeMap<u64, OpenRpc>,
    pub(crate) tasks: BTreeMap<u64, AttemptTask>,
    pub(crate) by_attempt: BTreeMap<AttemptId, u64>,
    pub(crate) board: BTreeMap<CallId, BoardText>,
    pub(crate) sources: BTreeMap<u64, Source>,
    pub(crate) connections: BTreeMap<u64, Connection>,
    pub(crate) waiting: BTreeMap<RequestId, Waiter>,
    /// Engines that the configuration in force names.
    pub(crate) uses: BTreeSet<u32>,
    /// Whether it watches the configuration's key.
    pub(crate) watches: bool,
    next_request: u64,
    pub(crate) draining_since: Option<Timestamp>,
    /// How long it is away after a planned stop; zero for good.
    pub(crate) away: Duration,
}

impl VirtualDaemon {
    fn new(zone: usize) -> Self {
        Self {
            zone,
            life: 0,
            incarnation: Incarnation(0),
            node: None,
            is_frozen: false,
            backlog: Vec::new(),
            open_rpcs: BTreeMap::new(),
            tasks: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
            board: BTreeMap::new(),
            sources: BTreeMap::new(),
            connections: BTreeMap::new(),
            waiting: BTreeMap::new(),
            uses: BTreeSet::new(),
            watches: false,
            next_request: 0,
            draining_since: None,
            away: Duration::ZERO,
        }
    }

    /// Whether the process runs, frozen or not.
    pub(crate) fn is_up(&self) -> bool {
        self.node.is_some()
    }

    /// Whether it takes new connections of callers.
    pub(crate) fn takes_callers(&self) -> bool {
        self.is_up() && self.draining_since.is_none()
    }

    fn replica(&self, daemon: DaemonId) -> ReplicaId {
        ReplicaId { daemon, incarnation: self.incarnation }
    }
}

impl World {
    pub(crate) fn start_daemons(&mut self) {
        for number in 1..=self.trace.deployment.daemons {
            let daemon = DaemonId(number);
            let zone = zone_index(&self.trace.deployment, number);
            self.daemons.insert(daemon, VirtualDaemon::new(zone));
            self.start_daemon(daemon);
        }
    }

    /// Starts a daemon with nothing in memory.
    pub(crate) fn start_daemon(&mut self, daemon: DaemonId) {
        let now = self.now;
        let incarnation = Incarnation(now.0 / 1_000);
        let seed = self.random.random();
        let deployment = &self.trace.deployment;
        let settings = node_settings(deployment, &self.switches, daemon, incarnation, seed);
        let Some(held) = self.daemons.get_mut(&daemon) else { return };
        if held.is_up() {
            return;
        }
        let (zone, life) = (held.zone, held.life + 1);
        *held = VirtualDaemon::new(zone);
        held.life = life;
        held.incarnation = incarnation;
        // Names of requests must not repeat those of an earlier life.
        held.next_request = incarnation.0 << 20;
        self.seen.note(now, Observation::DaemonStarted { daemon });
        held.node = Some(Box::new(Node::new(settings, now)));
        let spread = if now == ORIGIN { START_SPREAD_MICROS } else { 1 };
        let first = now + Duration(self.random.random_range(0..spread));
        let target = Target::Daemon(daemon, life);
        self.agenda.push(first, target, Delivery::Tick);
        let reports = first + Duration(self.random.random_range(0..REPORT_INTERVAL.0));
        self.agenda.push(reports, target, Delivery::ReadLoads);
    }

    pub(crate) fn deliver_to_daemon(&mut self, id: DaemonId, life: u32, delivery: Delivery) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        if daemon.life != life || !daemon.is_up() {
            self.refuse_connection(id, delivery);
            return;
        }
        if daemon.is_frozen {
            // A timer that fell due while the process stood still fires once when it wakes.
            let is_second_tick = matches!(delivery, Delivery::Tick)
                && daemon.backlog.iter().any(|waiting| matches!(waiting, Delivery::Tick));
            if !is_second_tick {
                daemon.backlog.push(delivery);
            }
            return;
        }
        match delivery {
            Delivery::Tick => {
                self.agenda.push(
                    self.now + Node::TICK_INTERVAL,
                    Target::Daemon(id, life),
                    Delivery::Tick,
                );
                self.node_event(id, NodeEvent::Tick);
            }
            Delivery::Actions(actions) => self.perform_all(id, actions),
            Delivery::Node(event) => self.node_event(id, *event),
            Delivery::Rpc { rpc, result } => self.rpc_done(id, rpc, *result),
            Delivery::Line { stream, line } => self.attempt_line(id, stream, line),
            Delivery::AttemptPause { task, step } => self.attempt_pause_over(id, task, step),
            Delivery::ReadLoads => self.read_loads(id),
            Delivery::Gateway { connection, caller, request } => {
                self.gateway_request(id, connection, caller, *request);
            }
            Delivery::CallerGone { connection } => self.connection_gone(id, connection),
            Delivery::OpenAnswer { source, gateway, read } => {
                self.open_answer(id, source, gateway, read);
            }
            Delivery::CloseAnswer { source } => self.close_answer(id, source),
            Delivery::Frame { source, frame } => self.frame_arrived(id, source, *frame),
            Delivery::SourceLost { source } => self.source_lost(id, source),
            Delivery::FollowTimer { connection, step } => self.follow_timer(id, connection, step),
            Delivery::AnswerBeat { source } => self.answer_beat(id, source),
            Delivery::DrainPoll => self.drain_poll(id),
            other => unreachable!("not for a daemon: {other:?}"),
        }
    }

    /// A connection that arrives when the process has ended is refused by its machine.
    fn refuse_connection(&mut self, id: DaemonId, delivery: Delivery) {
        match delivery {
            Delivery::Gateway { connection, caller, .. } => {
                let zone = self.daemons[&id].zone;
                self.connection_broken(zone, connection, caller);
            }
            Delivery::OpenAnswer { source, gateway, .. } => {
                self.tell_source_lost(id, source, gateway);
            }
            _ => {}
        }
    }

    /// Puts an event to a daemon's node and carries out what it asks for.
    pub(crate) fn node_event(&mut self, id: DaemonId, event: NodeEvent) {
        let now = self.now;
        let Some(node) = self.daemons.get_mut(&id).and_then(|held| held.node.as_mut()) else {
            return;
        };
        let actions = node.handle(event, now);
        self.perform_all(id, actions);
    }

    /// A daemon that was stopped takes the event in when it wakes; a dead one does not.
    pub(crate) fn node_event_later(&mut self, id: DaemonId, event: NodeEvent) {
        if let Some(daemon) = self.daemons.get_mut(&id)
            && daemon.is_frozen
        {
            daemon.backlog.push(Delivery::Node(Box::new(event)));
        }
    }

    /// Puts a request to a daemon's node.
    pub(crate) fn node_request(&mut self, id: DaemonId, request: Request, waiter: Waiter) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        daemon.next_request += 1;
        let name = RequestId(daemon.next_request);
        daemon.waiting.insert(name, waiter);
        self.node_event(id, NodeEvent::Request { id: name, request });
    }

    /// Puts an operator's change to a daemon's node.
    pub(crate) fn propose_change(
        &mut self,
        id: DaemonId,
        connection: u64,
        proposal: ChangeProposal,
    ) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        daemon.next_request += 1;
        let name = RequestId(daemon.next_request);
        daemon.waiting.insert(name, Waiter::Connection(connection));
        self.node_event(id, NodeEvent::ProposeChange { id: name, proposal });
    }

    /// The node answered a request.
    pub(crate) fn node_responded(&mut self, id: DaemonId, request: RequestId, response: Response) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        match daemon.waiting.remove(&request) {
            Some(Waiter::Connection(connection)) => {
                self.connection_answered(id, connection, response);
            }
            Some(Waiter::Source(source)) => self.source_ended(id, source, response),
            None => {}
        }
    }

    /// Kills a daemon's process; with a length, it starts again after it.
    pub(crate) fn kill_daemon(&mut self, id: DaemonId, down: Duration) {
        let Some(daemon) = self.daemons.get(&id) else { return };
        if !daemon.is_up() {
            return;
        }
        let owned = self.owned_groups(id);
        self.seen.note(self.now, Observation::Killed { daemon: id, owned });
        self.end_process(id);
        if down > Duration::ZERO {
            self.start_again_after(id, down);
        }
    }

    fn owned_groups(&self, id: DaemonId) -> Vec<u32> {
        let Some(node) = self.daemons.get(&id).and_then(|held| held.node.as_ref()) else {
            return Vec::new();
        };
        let owned = node.group_ids().into_iter().filter(|group| node.owns(*group));
        owned.map(|group| group.0).collect()
    }

    /// The process is gone: its connections break at the other side.
    fn end_process(&mut self, id: DaemonId) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let replica = daemon.replica(id);
        daemon.node = None;
        daemon.is_frozen = false;
        daemon.backlog.clear();
        let zone = daemon.zone;
        let connections = std::mem::take(&mut daemon.connections);
        let sources = std::mem::take(&mut daemon.sources);
        daemon.tasks.clear();
        daemon.open_rpcs.clear();
        for (name, connection) in connections {
            self.connection_broken(zone, name, connection.caller);
        }
        for (source, held) in sources {
            self.tell_source_lost(id, source, held.gateway);
        }
        self.tell_peers_lost(id, replica);
    }

    fn tell_peers_lost(&mut self, id: DaemonId, replica: ReplicaId) {
        let zone = self.daemons[&id].zone;
        let others: Vec<(DaemonId, u32, usize)> = self
            .daemons
            .iter()
            .filter(|(other, held)| **other != id && held.is_up())
            .map(|(other, held)| (*other, held.life, held.zone))
            .collect();
        for (other, life, other_zone) in others {
            let (from, to) = (Some(zone), Some(other_zone));
            if self.network.is_cut(from, to, self.now) {
                continue;
            }
            let latency = self.network.latency(from, to, self.now, &mut self.random);
            let event = Box::new(NodeEvent::ConnectionLost(replica));
            let target = Target::Daemon(other, life);
            self.agenda.push(self.now + latency, target, Delivery::Node(event));
        }
    }

    /// Stops a daemon's process without ending it.
    pub(crate) fn freeze_daemon(&mut self, id: DaemonId) {
        if let Some(daemon) = self.daemons.get_mut(&id) {
            daemon.is_frozen = daemon.is_up();
        }
    }

    /// A stopped daemon goes on, with everything that came meanwhile.
    pub(crate) fn thaw_daemon(&mut self, id: DaemonId) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        if !daemon.is_frozen {
            return;
        }
        daemon.is_frozen = false;
        let life = daemon.life;
        let mut backlog = std::mem::take(&mut daemon.backlog);
        // Timers and sockets are looked at in either order.
        if self.random.random_bool(0.5) {
            // What it was in the middle of still comes first.
            let rank = |delivery: &Delivery| match delivery {
                Delivery::Actions(_) => 0,
                Delivery::Tick => 1,
                _ => 2,
            };
            backlog.sort_by_key(rank);
        }
        for delivery in backlog {
            self.deliver_to_daemon(id, life, delivery);
        }
    }

    /// Begins a planned stop.
    pub(crate) fn drain_daemon(&mut self, id: DaemonId, away: Duration) {
        let now = self.now;
        let Some(daemon) = self.daemons.get_mut(&id).filter(|held| held.takes_callers()) else {
            return;
        };
        daemon.draining_since = Some(now);
        daemon.away = away;
        let life = daemon.life;
        self.node_event(id, NodeEvent::Drain);
        self.agenda.push(now + DRAIN_POLL, Target::Daemon(id, life), Delivery::DrainPoll);
    }

    fn drain_poll(&mut self, id: DaemonId) {
        let now = self.now;
        let Some(daemon) = self.daemons.get(&id) else { return };
        let (Some(since), Some(node)) = (daemon.draining_since, daemon.node.as_ref()) else {
            return;
        };
        let status = node.status(now);
        let answered = daemon.connections.is_empty() && daemon.sources.is_empty();
        let waits = self.switches.is_on(Switch::DrainWait) && !answered;
        let idle = status.attempts == 0 && status.requests == 0 && status.groups_led == 0;
        if (!idle || waits) && now.since(since) <= DRAIN_LIMIT {
            let target = Target::Daemon(id, daemon.life);
            self.agenda.push(now + DRAIN_POLL, target, Delivery::DrainPoll);
            return;
        }
        let (cut, away) = (daemon.connections.len() as u32, daemon.away);
        let stopped = Observation::Stopped { daemon: id, cut, took: now.since(since) };
        self.seen.note(now, stopped);
        self.end_process(id);
        if away > Duration::ZERO {
            self.start_again_after(id, away);
        }
    }
}
