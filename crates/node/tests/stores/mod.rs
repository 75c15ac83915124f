//! Daemons that hold groups, a place that keeps the layout, and links, all in virtual time.
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
use plain_settings::{address, daemon_at, plain_settings};

/// Groups of the system.
pub const GROUPS: u32 = 8;

/// One way between any two daemons.
const LINK: Duration = Duration::from_millis(1);
/// From the question about the layout to its answer.
const LAYOUT_ANSWER: Duration = Duration::from_millis(4);
const START: Timestamp = Timestamp(3_600_000_000);
/// Daemons that all others ask at the first start.
const FIRST_SEEDS: [u32; 3] = [1, 2, 3];
/// How long the groups have to be laid out and led.
const FIRST_LAYOUT_LIMIT: Duration = Duration::from_secs(15);

enum Delivery {
    Tick,
    Message { from: ReplicaId, message: PeerMessage },
    Layout(LayoutStep),
}

/// The daemons and what is under way between them.
pub struct Stores {
    /// Virtual time.
    pub now: Timestamp,
    nodes: BTreeMap<u32, Node>,
    lives: BTreeMap<u32, u64>,
    agenda: BTreeMap<(Timestamp, u64), (ReplicaId, Delivery)>,
    layout: Option<Vec<u8>>,
    tolerance: LossTolerance,
    sequence: u64,
    seed: u64,
    /// Failures of back ends that each daemon heard of.
    pub heard: BTreeMap<u32, Vec<BackendFailure>>,
}

impl Stores {
    /// Daemons that start at the same time.
    pub fn started(daemons: &[u32], tolerance: LossTolerance) -> Self {
        Self::started_with(daemons, tolerance, 0)
    }

    /// The same with a seed of all random draws.
    pub fn started_with(daemons: &[u32], tolerance: LossTolerance, seed: u64) -> Self {
        let mut stores = Self {
            now: START,
            nodes: BTreeMap::new(),
            lives: BTreeMap::new(),
            agenda: BTreeMap::new(),
            layout: None,
            tolerance,
            sequence: 0,
            seed,
            heard: BTreeMap::new(),
        };
        daemons.iter().for_each(|daemon| stores.start(*daemon));
        stores.run_until(FIRST_LAYOUT_LIMIT, |stores| stores.layout.is_some());
        stores
    }

    /// Starts a daemon with an empty memory.
    pub fn start(&mut self, daemon: u32) {
        let life = self.lives.entry(daemon).or_insert(0);
        *life += 1;
        let own = replica(daemon, *life);
        let settings = settings(own, self.tolerance, self.seed, self.seeds());
        self.nodes.insert(daemon, Node::new(settings, self.now));
        self.push(self.now + Duration(u64::from(daemon) * 3_700), own, Delivery::Tick);
    }

    /// Where a daemon that starts now asks for the others: at the first three that run, as the
    /// platform tells of machines that are there; at the first start at those that come first.
    fn seeds(&self) -> Vec<SocketAddr> {
        if self.layout.is_none() {
            return FIRST_SEEDS.map(address).to_vec();
        }
        self.nodes.keys().take(FIRST_SEEDS.len()).copied().map(address).collect()
    }

    /// Ends a daemon, and all that it kept.
    pub fn lose_disk(&mut self, daemon: u32) {
        self.nodes.remove(&daemon);
    }

    /// Puts an event to every daemon.
    pub fn tell_all(&mut self, event: impl Fn() -> Event) {
        let daemons: Vec<u32> = self.nodes.keys().copied().collect();
        daemons.into_iter().for_each(|daemon| self.handle(daemon, event()));
    }

    /// Puts an event to one daemon.
    pub fn tell(&mut self, daemon: u32, event: Event) {
        self.handle(daemon, event);
    }

    /// Voters of each group in the first layout.
    pub fn voters_at_first(&self) -> Vec<usize> {
        let bytes = self.layout.as_ref().expect("the groups are laid out");
        let config = bincode::config::standard();
        let (layout, _): (Vec<GroupDescription>, usize) =
            bincode::serde::decode_from_slice(bytes, config).expect("the layout is well formed");
        layout.iter().map(|description| description.members.len()).collect()
    }

    /// Replicas on each daemon.
    pub fn groups_held(&self) -> Vec<usize> {
        self.nodes.values().map(|node| node.status(self.now).groups_held).collect()
    }

    /// Waits until each group has an owner and all its voters.
    pub fn wait_until_whole(&mut self, limit: Duration) {
        self.run_until(limit, |stores| {
            let statuses: Vec<_> =
                stores.nodes.values().map(|node| node.status(stores.now)).collect();
            let led: usize = statuses.iter().map(|status| status.groups_led).sum();
            let short: usize = statuses.iter().map(|status| status.groups_short).sum();
            led == GROUPS as usize && short == 0
        });
    }

    /// Waits until all daemons together hold so many replicas, in groups that are whole.
    pub fn wait_until_held(&mut self, replicas: usize, limit: Duration) {
        self.run_until(limit, |stores| stores.groups_held().iter().sum::<usize>() == replicas);
        self.wait_until_whole(limit);
    }

    /// Lets time pass.
    pub fn pass(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(length, |stores| stores.next_at() > end);
    }

    fn next_at(&self) -> Timestamp {
        self.agenda.first_key_value().expect("nodes tick for ever").0.0
    }

    fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) {
        let deadline = self.now + limit;
        while !is_done(self) {
            assert!(self.now <= deadline, "not within {limit:?}; seed {}", self.seed);
            let ((at, _), (to, delivery)) = self.agenda.pop_first().expect("nodes tick");
            self.now = at;
            if self.is_current(to) {
                self.deliver(to, delivery);
            }
        }
    }

    fn is_current(&self, replica: ReplicaId) -> bool {
        let daemon = replica.daemon.0;
        self.nodes.contains_key(&daemon) && self.lives[&daemon] == replica.incarnation.0
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
        let own = replica(daemon, self.lives[&daemon]);
        let Some(node) = self.nodes.get_mut(&daemon) else { return };
        for action in node.handle(event, now) {
            match action {
                Action::Send { to, message } | Action::SendUnsynced { to, message } => {
                    self.send(own, to, message);
                }
                Action::Layout(step) => {
                    let answer = self.keep_layout(step);
                    self.push(now + LAYOUT_ANSWER, own, Delivery::Layout(answer));
                }
                Action::BackendFailureReported(failure) => {
                    self.heard.entry(daemon).or_default().push(failure);
                }
                _ => {}
            }
        }
    }

    /// Reads the layout, or creates it where it is missing.
    fn keep_layout(&mut self, step: LayoutStep) -> LayoutStep {
        if let LayoutStep::Value(value) = step {
            self.layout.get_or_insert(value);
        }
        self.layout.clone().map_or(LayoutStep::Read, LayoutStep::Value)
    }

    fn send(&mut self, from: ReplicaId, to: SocketAddr, message: PeerMessage) {
        let Some(daemon) = daemon_at(to) else { return };
        let Some(life) = self.lives.get(&daemon).copied() else { return };
        self.push(self.now + LINK, replica(daemon, life), Delivery::Message { from, message });
    }

    fn push(&mut self, at: Timestamp, to: ReplicaId, delivery: Delivery) {
        self.sequence += 1;
        self.agenda.insert((at, self.sequence), (to, delivery));
    }
}

fn replica(daemon: u32, life: u64) -> ReplicaId {
    ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(life) }
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
        group_count: GROUPS,
        tolerance,
        seed: seed * 1_000 + u64::from(own.daemon.0),
        ..plain_settings(own)
    }
}
