//! Daemons that hold groups, a service that stores the layout, and links, all in virtual time.
#![allow(dead_code)]

#[path = "../plain_settings/mod.rs"]
mod plain_settings;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_node::wire::PeerMessage;
use dahlia_node::{Action, BackendFailure, Event, LayoutStep, Node, NodeSettings};
use dahlia_replication::directory::GroupDescription;
use dahlia_replication::tolerance::LossTolerance;
use dahlia_types::{DaemonId, Duration, Incarnation, ReplicaId, Timestamp, Zone};
use plain_settings::{address, daemon_by_address, plain_settings};

/// Number of groups in the system.
pub const GROUP_COUNT: u32 = 8;

/// One-way delay between any two daemons.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// Delay from a request about the layout to its response.
const LAYOUT_DELAY: Duration = Duration::from_millis(4);
const START: Timestamp = Timestamp(3_600_000_000);
/// Seeds of all daemons at the first start.
const FIRST_SEEDS: [u32; 3] = [1, 2, 3];
/// How long the first layout may take.
const FIRST_LAYOUT_TIMEOUT: Duration = Duration::from_secs(15);

enum Delivery {
    Tick,
    Message { from: ReplicaId, message: PeerMessage },
    Layout(LayoutStep),
}

/// The daemons and the events in flight between them.
pub struct Stores {
    /// Virtual time.
    pub now: Timestamp,
    nodes: BTreeMap<u32, Node>,
    incarnations: BTreeMap<u32, u64>,
    queue: BTreeMap<(Timestamp, u64), (ReplicaId, Delivery)>,
    layout: Option<Vec<u8>>,
    tolerance: LossTolerance,
    sequence: u64,
    seed: u64,
    /// The back-end failures reported to each daemon.
    pub reported_failures: BTreeMap<u32, Vec<BackendFailure>>,
}

impl Stores {
    /// Starts daemons at the same time and waits for the first layout.
    pub fn start_all(daemons: &[u32], tolerance: LossTolerance) -> Self {
        Self::start_all_with_seed(daemons, tolerance, 0)
    }

    /// Like [`Self::start_all`], with a seed for all random choices.
    pub fn start_all_with_seed(daemons: &[u32], tolerance: LossTolerance, seed: u64) -> Self {
        let mut stores = Self {
            now: START,
            nodes: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            queue: BTreeMap::new(),
            layout: None,
            tolerance,
            sequence: 0,
            seed,
            reported_failures: BTreeMap::new(),
        };
        daemons.iter().for_each(|daemon| stores.start(*daemon));
        stores.run_until(FIRST_LAYOUT_TIMEOUT, |stores| stores.layout.is_some());
        stores
    }

    /// Starts a daemon with an empty memory.
    pub fn start(&mut self, daemon: u32) {
        let incarnation = self.incarnations.entry(daemon).or_insert(0);
        *incarnation += 1;
        let own = replica(daemon, *incarnation);
        let settings = settings(own, self.tolerance, self.seed, self.seeds());
        self.nodes.insert(daemon, Node::new(settings, self.now));
        self.push(self.now + Duration(u64::from(daemon) * 3_700), own, Delivery::Tick);
    }

    /// Returns the seeds of a daemon that starts now: the first three running daemons, as a platform
    /// lists existing machines. Before the layout exists, the seeds are fixed.
    fn seeds(&self) -> Vec<SocketAddr> {
        if self.layout.is_none() {
            return FIRST_SEEDS.map(address).to_vec();
        }
        self.nodes.keys().take(FIRST_SEEDS.len()).copied().map(address).collect()
    }

    /// Ends a daemon and deletes its state.
    pub fn lose_disk(&mut self, daemon: u32) {
        self.nodes.remove(&daemon);
    }

    /// Sends an event to every daemon.
    pub fn send_event_to_all(&mut self, event: impl Fn() -> Event) {
        let daemons: Vec<u32> = self.nodes.keys().copied().collect();
        daemons.into_iter().for_each(|daemon| self.handle(daemon, event()));
    }

    /// Sends an event to one daemon.
    pub fn send_event(&mut self, daemon: u32, event: Event) {
        self.handle(daemon, event);
    }

    /// Returns the number of voters of each group in the first layout.
    pub fn initial_voter_counts(&self) -> Vec<usize> {
        let bytes = self.layout.as_ref().expect("the groups are laid out");
        let config = bincode::config::standard();
        let (layout, _): (Vec<GroupDescription>, usize) =
            bincode::serde::decode_from_slice(bytes, config).expect("the layout is well formed");
        layout.iter().map(|description| description.members.len()).collect()
    }

    /// Returns the number of replicas on each daemon.
    pub fn groups_held(&self) -> Vec<usize> {
        self.nodes.values().map(|node| node.status(self.now).groups_held).collect()
    }

    /// Waits until each group has an owner and all its voters.
    pub fn wait_until_complete(&mut self, limit: Duration) {
        self.run_until(limit, |stores| {
            let statuses: Vec<_> =
                stores.nodes.values().map(|node| node.status(stores.now)).collect();
            let led: usize = statuses.iter().map(|status| status.groups_led).sum();
            let short: usize = statuses.iter().map(|status| status.groups_short).sum();
            led == GROUP_COUNT as usize && short == 0
        });
    }

    /// Waits until all daemons together hold this number of replicas and all groups are complete.
    pub fn wait_until_replicas(&mut self, replicas: usize, limit: Duration) {
        self.run_until(limit, |stores| stores.groups_held().iter().sum::<usize>() == replicas);
        self.wait_until_complete(limit);
    }

    /// Runs the system for a while.
    pub fn advance(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(length, |stores| stores.next_event_at() > end);
    }

    fn next_event_at(&self) -> Timestamp {
        self.queue.first_key_value().expect("nodes tick for ever").0.0
    }

    fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) {
        let deadline = self.now + limit;
        while !is_done(self) {
            assert!(self.now <= deadline, "not within {limit:?}; seed {}", self.seed);
            let ((at, _), (to, delivery)) = self.queue.pop_first().expect("nodes tick");
            self.now = at;
            if self.is_current(to) {
                self.deliver(to, delivery);
            }
        }
    }

    fn is_current(&self, replica: ReplicaId) -> bool {
        let daemon = replica.daemon.0;
        self.nodes.contains_key(&daemon) && self.incarnations[&daemon] == replica.incarnation.0
    }

    fn deliver(&mut self, to: ReplicaId, delivery: Delivery) {
        let event = match delivery {
            Delivery::Tick => {
                self.push(self.now + Node::TICK_INTERVAL, to, Delivery::Tick);
                Event::Tick
            }
            Delivery::Message { from, message } => Event::Message { from, message },
            Delivery::Layout(step) => Event::Layout(step),
        };
        self.handle(to.daemon.0, event);
    }

    fn handle(&mut self, daemon: u32, event: Event) {
        let now = self.now;
        let own = replica(daemon, self.incarnations[&daemon]);
        let Some(node) = self.nodes.get_mut(&daemon) else { return };
        for action in node.handle(event, now) {
            match action {
                Action::Send { to, message } | Action::SendUnsynced { to, message } => {
                    self.send(own, to, message);
                }
                Action::Layout(step) => {
                    let answer = self.answer_layout_step(step);
                    self.push(now + LAYOUT_DELAY, own, Delivery::Layout(answer));
                }
                Action::BackendFailureReported(failure) => {
                    self.reported_failures.entry(daemon).or_default().push(failure);
                }
                _ => {}
            }
        }
    }

    /// Handles a layout request: reads the layout, or creates it if it is missing.
    fn answer_layout_step(&mut self, step: LayoutStep) -> LayoutStep {
        if let LayoutStep::Value(value) = step {
            self.layout.get_or_insert(value);
        }
        self.layout.clone().map_or(LayoutStep::Read, LayoutStep::Value)
    }

    fn send(&mut self, from: ReplicaId, to: SocketAddr, message: PeerMessage) {
        let Some(daemon) = daemon_by_address(to) else { return };
        let Some(incarnation) = self.incarnations.get(&daemon).copied() else { return };
        self.push(
            self.now + LINK_DELAY,
            replica(daemon, incarnation),
            Delivery::Message { from, message },
        );
    }

    fn push(&mut self, at: Timestamp, to: ReplicaId, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (to, delivery));
    }
}

fn replica(daemon: u32, incarnation: u64) -> ReplicaId {
    ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(incarnation) }
}

fn settings(
    own: ReplicaId,
    tolerance: LossTolerance,
    seed: u64,
    seeds: Vec<SocketAddr>,
) -> NodeSettings {
    NodeSettings {
        zone: Zone::new(format!("zone-{}", own.daemon.0 % 4)),
        seeds,
        group_count: GROUP_COUNT,
        tolerance,
        seed: seed * 1_000 + u64::from(own.daemon.0),
        ..plain_settings(own)
    }
}
