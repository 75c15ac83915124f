//! A small cluster of nodes in virtual time, with links that can be cut and messages that can be lost.
#![allow(dead_code)] // Each test file uses only some of the helpers.

#[path = "../plain_settings/mod.rs"]
mod plain_settings;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_ledger::{LedgerCommand, LedgerReply};
use dahlia_node::request::{Request, RequestId, Response};
use dahlia_node::wire::PeerMessage;
use dahlia_node::{
    Action, Event, LayoutStep, Node, NodeSettings, Reachability, ZoneLivenessSettings,
};
use dahlia_replication::directory::GroupDescription;
use dahlia_replication::group::GroupSettings;
use dahlia_types::{
    DaemonId, Duration, GroupId, Incarnation, LogIndex, ReplicaId, Term, Timestamp, Zone,
};
use plain_settings::{address, daemon_by_address, plain_settings};

/// A gateway that no node knows.
const UNKNOWN_GATEWAY: u32 = 9;
/// The gateway, which holds no group.
pub const GATEWAY: u32 = 4;
/// Further gateways.
pub const OTHER_GATEWAYS: [u32; 2] = [5, 6];
/// The daemons that hold the group.
pub const STORES: [u32; 3] = [1, 2, 3];
/// The only group.
pub const GROUP: GroupId = GroupId(0);
/// One-way delay between any two daemons.
pub const LINK_DELAY: Duration = Duration::from_millis(1);

const START: Timestamp = Timestamp(3_600_000_000);

enum Delivery {
    Tick,
    Message { from: u32, message: PeerMessage },
    Layout,
}

/// The nodes and the events in flight between them.
pub struct Cluster {
    pub now: Timestamp,
    nodes: BTreeMap<u32, Node>,
    queue: BTreeMap<(Timestamp, u64), (u32, Delivery)>,
    cut_links: BTreeSet<(u32, u32)>,
    /// Additional delay of messages from a daemon.
    extra_delays: BTreeMap<u32, Duration>,
    reach: BTreeMap<u32, Reachability>,
    has_zones: bool,
    responses_to_lose: u32,
    responses_to_unknown_gateway: u32,
    responses: BTreeMap<RequestId, (Timestamp, Response)>,
    sequence: u64,
    /// Counts of messages between daemons, by kind.
    pub message_counts: MessageCounts,
}

/// Counts of sent messages. `groups` counts the messages of replica groups.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MessageCounts {
    pub groups: u32,
    pub requests: u32,
    pub responses: u32,
    /// Requests forwarded through another daemon.
    pub forwarded: u32,
}

impl Cluster {
    /// Starts nodes that know no group, and only their seeds of each other.
    pub fn start_nodes(group: GroupSettings) -> Self {
        let mut cluster = Self {
            now: START,
            nodes: BTreeMap::new(),
            queue: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            extra_delays: BTreeMap::new(),
            reach: BTreeMap::new(),
            has_zones: false,
            responses_to_lose: 0,
            responses_to_unknown_gateway: 0,
            responses: BTreeMap::new(),
            sequence: 0,
            message_counts: MessageCounts::default(),
        };
        for daemon in STORES.into_iter().chain([GATEWAY]) {
            cluster.add(daemon, &group);
        }
        cluster
    }

    /// Starts nodes in three zones, each with a store and a gateway, with zone liveness enabled. Returns
    /// when all know each other.
    pub fn start_in_zones(group: GroupSettings) -> Self {
        let mut cluster = Self::start_nodes(group.clone());
        cluster.nodes.clear();
        cluster.queue.clear();
        cluster.has_zones = true;
        let gateways = OTHER_GATEWAYS.into_iter().chain([GATEWAY]);
        STORES.into_iter().chain(gateways).for_each(|daemon| cluster.add(daemon, &group));
        cluster.run_until(Duration::from_secs(30), |cluster| {
            cluster.owner().is_some() && cluster.knows_all()
        });
        cluster
    }

    /// Cuts all links between a store's zone and the other zones, in both directions.
    pub fn cut_zone_of(&mut self, store: u32) {
        let inside = [store, gateway_beside(store)];
        let outside: Vec<u32> =
            self.nodes.keys().copied().filter(|daemon| !inside.contains(daemon)).collect();
        for (one, other) in inside.iter().flat_map(|one| outside.iter().map(|it| (*one, *it))) {
            self.cut_links.extend([(one, other), (other, one)]);
        }
    }

    /// Cuts all links of a daemon, in both directions.
    pub fn cut_from_all(&mut self, daemon: u32) {
        for other in self.nodes.keys().filter(|other| **other != daemon) {
            self.cut_links.extend([(daemon, *other), (*other, daemon)]);
        }
    }

    /// Delays messages from a daemon.
    pub fn slow_down(&mut self, daemon: u32, by: Duration) {
        self.extra_delays.insert(daemon, by);
    }

    /// Returns the reach that a daemon last reported.
    pub fn reach(&self, daemon: u32) -> Reachability {
        self.reach.get(&daemon).cloned().unwrap_or_default()
    }

    /// Starts nodes with further gateways. Returns when all know each other.
    pub fn start_with_other_gateways(group: GroupSettings) -> Self {
        let mut cluster = Self::start_nodes(group.clone());
        OTHER_GATEWAYS.into_iter().for_each(|daemon| cluster.add(daemon, &group));
        cluster.run_until(Duration::from_secs(30), |cluster| {
            cluster.owner().is_some() && cluster.knows_all()
        });
        cluster
    }

    fn add(&mut self, daemon: u32, group: &GroupSettings) {
        let mut settings = settings(daemon, group);
        if self.has_zones {
            let store = STORES.into_iter().find(|store| gateway_beside(*store) == daemon);
            settings.zone = Zone::new(format!("zone-{}", store.unwrap_or(daemon)));
            settings.zone_liveness = Some(ZoneLivenessSettings::default());
        }
        self.nodes.insert(daemon, Node::new(settings, START));
        self.push(START + Duration(u64::from(daemon) * 3_700), daemon, Delivery::Tick);
    }

    fn knows_all(&self) -> bool {
        let members = self.nodes.len();
        let mut nodes = self.nodes.values();
        nodes.all(|node| node.daemons().len() == members && !node.group_ids().is_empty())
    }

    /// Starts nodes. Returns when the group has an owner and all nodes know it and each other.
    pub fn start_and_wait(group: GroupSettings) -> Self {
        let mut cluster = Self::start_nodes(group);
        cluster.run_until(Duration::from_secs(30), |cluster| {
            cluster.owner().is_some() && cluster.knows_all()
        });
        cluster
    }

    /// Waits until the group has an owner and all nodes know each other. The gateway need not know the
    /// group yet.
    pub fn wait_for_owner_and_members(&mut self) {
        self.run_until(Duration::from_secs(30), |cluster| {
            let members = cluster.nodes.len();
            let knows_all = cluster.nodes.values().all(|node| node.daemons().len() == members);
            cluster.owner().is_some() && knows_all
        });
    }

    /// Sends a command to `owner` from a daemon that no node knows, and waits for the response there.
    pub fn send_from_unknown_gateway(&mut self, owner: u32, command: LedgerCommand) {
        let request = Request::Ledger { group: GROUP, command };
        let reply_to = address(UNKNOWN_GATEWAY);
        let message = PeerMessage::Request { id: RequestId(1), request, reply_to };
        self.push(
            self.now + LINK_DELAY,
            owner,
            Delivery::Message { from: UNKNOWN_GATEWAY, message },
        );
        self.run_until(Duration::from_secs(1), |cluster| cluster.responses_to_unknown_gateway > 0);
    }

    /// Whether the gateway knows the group.
    pub fn gateway_knows_group(&self) -> bool {
        !self.nodes[&GATEWAY].group_ids().is_empty()
    }

    /// Waits until the gateway knows the group.
    pub fn wait_until_gateway_knows_group(&mut self) {
        self.run_until(Duration::from_secs(30), |cluster| {
            !cluster.nodes[&GATEWAY].group_ids().is_empty()
        });
    }

    /// Returns the daemon that owns the group.
    pub fn owner(&self) -> Option<u32> {
        let mut owners = self.nodes.iter().filter(|(_, node)| node.owns(GROUP));
        owners.next().map(|(daemon, _)| *daemon)
    }

    /// Returns the daemon that owns the group, other than `excluded`.
    pub fn other_owner(&self, excluded: u32) -> Option<u32> {
        let mut owners = self.nodes.iter().filter(|(_, node)| node.owns(GROUP));
        owners.find(|(daemon, _)| **daemon != excluded).map(|(daemon, _)| *daemon)
    }

    /// Ends a daemon's process.
    pub fn kill(&mut self, daemon: u32) {
        self.nodes.remove(&daemon);
    }

    /// Cuts the links between a daemon and the other stores, in both directions.
    pub fn cut_from_stores(&mut self, daemon: u32) {
        for other in STORES.into_iter().filter(|other| *other != daemon) {
            self.cut_links.extend([(daemon, other), (other, daemon)]);
        }
    }

    /// Cuts the link from one daemon to another, in this direction only.
    pub fn cut_one_way(&mut self, from: u32, to: u32) {
        self.cut_links.insert((from, to));
    }

    /// Restores all links.
    pub fn heal_links(&mut self) {
        self.cut_links.clear();
    }

    /// Drops the next `count` responses to requests.
    pub fn lose_responses(&mut self, count: u32) {
        self.responses_to_lose = count;
    }

    /// Sends a ledger command from the gateway.
    pub fn send_command(&mut self, command: LedgerCommand) -> RequestId {
        self.request(Request::Ledger { group: GROUP, command })
    }

    /// Sends a request from the gateway.
    pub fn request(&mut self, request: Request) -> RequestId {
        self.sequence += 1;
        let id = RequestId(self.sequence);
        self.handle(GATEWAY, Event::Request { id, request });
        id
    }

    /// Waits for the response to a request, and returns it with the time waited.
    pub fn wait_for_response(&mut self, id: RequestId) -> (Response, Duration) {
        let waiting_since = self.now;
        let limit = Duration::from_secs(10);
        self.run_until(limit, |cluster| cluster.responses.contains_key(&id));
        let (at, response) = self.responses.remove(&id).expect("the response has arrived");
        (response, at.since(waiting_since))
    }

    /// Sends a ledger command until the ledger replies.
    pub fn send_until_answered(&mut self, command: &LedgerCommand) -> LedgerReply {
        loop {
            let id = self.send_command(command.clone());
            if let Response::Ledger(reply) = self.wait_for_response(id).0 {
                return reply;
            }
        }
    }

    /// Runs the cluster for a while.
    pub fn advance(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(length, |cluster| cluster.next_event_at() > end);
    }

    /// Returns a daemon's replica of the ledger.
    pub fn ledger(&self, daemon: u32) -> &dahlia_ledger::Ledger {
        self.nodes[&daemon].group_state(GROUP).expect("it holds the group").ledger()
    }

    fn next_event_at(&self) -> Timestamp {
        self.queue.first_key_value().expect("nodes tick for ever").0.0
    }

    pub fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) {
        let deadline = self.now + limit;
        while !is_done(self) {
            assert!(self.now <= deadline, "not within {limit:?}");
            let ((at, _), (daemon, delivery)) = self.queue.pop_first().expect("nodes tick");
            self.now = at;
            self.deliver(daemon, delivery);
        }
    }

    fn deliver(&mut self, daemon: u32, delivery: Delivery) {
        if !self.nodes.contains_key(&daemon) {
            return;
        }
        let event = match delivery {
            Delivery::Tick => {
                self.push(self.now + Node::TICK_INTERVAL, daemon, Delivery::Tick);
                Event::Tick
            }
            Delivery::Message { from, message } => Event::Message { from: replica(from), message },
            Delivery::Layout => Event::Layout(LayoutStep::Value(layout())),
        };
        self.handle(daemon, event);
    }

    fn handle(&mut self, daemon: u32, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&daemon) else {
            return;
        };
        for action in node.handle(event, now) {
            match action {
                Action::Send { to, message } => self.send(daemon, to, message),
                Action::Respond { id, response } => {
                    self.responses.insert(id, (now, response));
                }
                Action::Layout(_) => self.push(now + LINK_DELAY, daemon, Delivery::Layout),
                Action::ReachChanged(reach) => {
                    self.reach.insert(daemon, reach);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: u32, to: SocketAddr, message: PeerMessage) {
        let Some(to) = daemon_by_address(to) else { return };
        match &message {
            PeerMessage::Groups(_) => self.message_counts.groups += 1,
            PeerMessage::Request { .. } => self.message_counts.requests += 1,
            PeerMessage::Response { .. } => self.message_counts.responses += 1,
            PeerMessage::Forward { .. } => self.message_counts.forwarded += 1,
            _ => {}
        }
        if to == UNKNOWN_GATEWAY && matches!(message, PeerMessage::Response { .. }) {
            self.responses_to_unknown_gateway += 1;
        }
        if matches!(message, PeerMessage::Response { .. }) && self.responses_to_lose > 0 {
            self.responses_to_lose -= 1;
            return;
        }
        if !self.cut_links.contains(&(from, to)) {
            let extra_delay = self.extra_delays.get(&from).copied().unwrap_or_default();
            self.push(self.now + LINK_DELAY + extra_delay, to, Delivery::Message { from, message });
        }
    }

    fn push(&mut self, at: Timestamp, daemon: u32, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (daemon, delivery));
    }
}

/// Returns the gateway in a store's zone.
pub fn gateway_beside(store: u32) -> u32 {
    match store {
        1 => OTHER_GATEWAYS[0],
        2 => OTHER_GATEWAYS[1],
        _ => GATEWAY,
    }
}

pub fn replica(daemon: u32) -> ReplicaId {
    ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(1) }
}

fn layout() -> Vec<u8> {
    let description = GroupDescription {
        group: GROUP,
        members: STORES.into_iter().map(replica).collect(),
        leader: Some(replica(STORES[0])),
        term: Term(0),
        index: LogIndex(0),
    };
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(vec![description], config).expect("plain fields")
}

pub fn settings(daemon: u32, group: &GroupSettings) -> NodeSettings {
    NodeSettings {
        zone: Zone::new(format!("zone-{daemon}")),
        seeds: vec![address(1), address(2)],
        bootstrap_daemons: Some(STORES.len() as u32),
        holds_groups: STORES.contains(&daemon),
        group: group.clone(),
        ..plain_settings(replica(daemon))
    }
}
