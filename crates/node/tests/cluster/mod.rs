//! A few nodes in virtual time, with links that can be cut and messages that can be lost.
#![allow(dead_code)] // Each test file uses its own part.

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
use plain_settings::{address, daemon_at, plain_settings};

/// A gateway that no node has heard of.
const STRANGER: u32 = 9;
/// The gateway, which holds no group.
pub const GATEWAY: u32 = 4;
/// Gateways that know each other and the stores, beside the first.
pub const OTHER_GATEWAYS: [u32; 2] = [5, 6];
/// The daemons that hold the group.
pub const STORES: [u32; 3] = [1, 2, 3];
/// The only group.
pub const GROUP: GroupId = GroupId(0);
/// One way between any two daemons.
pub const LINK: Duration = Duration::from_millis(1);

const START: Timestamp = Timestamp(3_600_000_000);

enum Delivery {
    Tick,
    Message { from: u32, message: PeerMessage },
    Layout,
}

/// The nodes and what is under way between them.
pub struct Cluster {
    pub now: Timestamp,
    nodes: BTreeMap<u32, Node>,
    agenda: BTreeMap<(Timestamp, u64), (u32, Delivery)>,
    cut: BTreeSet<(u32, u32)>,
    /// By how much longer messages of these daemons take.
    slow: BTreeMap<u32, Duration>,
    reach: BTreeMap<u32, Reachability>,
    has_zones: bool,
    lost_responses: u32,
    answers_to_stranger: u32,
    answers: BTreeMap<RequestId, (Timestamp, Response)>,
    sequence: u64,
    /// Messages between daemons by kind: appends and their answers, requests, responses.
    pub messages: Messages,
}

/// Messages that were sent for requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Messages {
    pub groups: u32,
    pub requests: u32,
    pub responses: u32,
    /// Requests by way of another daemon.
    pub passed_on: u32,
}

impl Cluster {
    /// Nodes that know of no group and of each other only by their seeds.
    pub fn starting(group: GroupSettings) -> Self {
        let mut cluster = Self {
            now: START,
            nodes: BTreeMap::new(),
            agenda: BTreeMap::new(),
            cut: BTreeSet::new(),
            slow: BTreeMap::new(),
            reach: BTreeMap::new(),
            has_zones: false,
            lost_responses: 0,
            answers_to_stranger: 0,
            answers: BTreeMap::new(),
            sequence: 0,
            messages: Messages::default(),
        };
        for daemon in STORES.into_iter().chain([GATEWAY]) {
            cluster.add(daemon, &group);
        }
        cluster
    }

    /// Nodes that all know each other in three zones, each with a store and a gateway, which tell
    /// cut-off zones from silent daemons.
    pub fn started_in_zones(group: GroupSettings) -> Self {
        let mut cluster = Self::starting(group.clone());
        cluster.nodes.clear();
        cluster.agenda.clear();
        cluster.has_zones = true;
        let gateways = OTHER_GATEWAYS.into_iter().chain([GATEWAY]);
        STORES.into_iter().chain(gateways).for_each(|daemon| cluster.add(daemon, &group));
        cluster.run_until(Duration::from_secs(30), |cluster| {
            cluster.owner().is_some() && cluster.knows_all()
        });
        cluster
    }

    /// Cuts the daemons of a store's zone off from all others, both ways.
    pub fn cut_zone_of(&mut self, store: u32) {
        let inside = [store, gateway_beside(store)];
        let outside: Vec<u32> =
            self.nodes.keys().copied().filter(|daemon| !inside.contains(daemon)).collect();
        for (one, other) in inside.iter().flat_map(|one| outside.iter().map(|it| (*one, *it))) {
            self.cut.extend([(one, other), (other, one)]);
        }
    }

    /// Cuts a daemon off from all others, both ways.
    pub fn cut_from_all(&mut self, daemon: u32) {
        for other in self.nodes.keys().filter(|other| **other != daemon) {
            self.cut.extend([(daemon, *other), (*other, daemon)]);
        }
    }

    /// Makes messages of a daemon take longer.
    pub fn slow_down(&mut self, daemon: u32, by: Duration) {
        self.slow.insert(daemon, by);
    }

    /// Whom a daemon reaches, as it said last.
    pub fn reach(&self, daemon: u32) -> Reachability {
        self.reach.get(&daemon).cloned().unwrap_or_default()
    }

    /// Nodes with further gateways that all know each other.
    pub fn started_with_other_gateways(group: GroupSettings) -> Self {
        let mut cluster = Self::starting(group.clone());
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

    /// Nodes that have their layout, an owner of the group, and each other.
    pub fn started(group: GroupSettings) -> Self {
        let mut cluster = Self::starting(group);
        cluster.run_until(Duration::from_secs(30), |cluster| {
            cluster.owner().is_some() && cluster.knows_all()
        });
        cluster
    }

    /// Waits until the group has an owner and all nodes know each other. The gateway need not
    /// know of the group yet.
    pub fn wait_for_owner_and_members(&mut self) {
        self.run_until(Duration::from_secs(30), |cluster| {
            let members = cluster.nodes.len();
            let knows_all = cluster.nodes.values().all(|node| node.daemons().len() == members);
            cluster.owner().is_some() && knows_all
        });
    }

    /// Puts a command to `owner` for a daemon that no node has heard of, and waits for the answer
    /// to arrive there.
    pub fn insist_as_stranger(&mut self, owner: u32, command: LedgerCommand) {
        let request = Request::Ledger { group: GROUP, command };
        let reply_to = address(STRANGER);
        let message = PeerMessage::Request { id: RequestId(1), request, reply_to };
        self.push(self.now + LINK, owner, Delivery::Message { from: STRANGER, message });
        self.run_until(Duration::from_secs(1), |cluster| cluster.answers_to_stranger > 0);
    }

    /// Whether the gateway has news of the group.
    pub fn gateway_knows_the_group(&self) -> bool {
        !self.nodes[&GATEWAY].group_ids().is_empty()
    }

    /// Waits until the gateway knows of the group.
    pub fn wait_for_news_at_gateway(&mut self) {
        self.run_until(Duration::from_secs(30), |cluster| {
            !cluster.nodes[&GATEWAY].group_ids().is_empty()
        });
    }

    /// The daemon that owns the group.
    pub fn owner(&self) -> Option<u32> {
        let mut owners = self.nodes.iter().filter(|(_, node)| node.owns(GROUP));
        owners.next().map(|(daemon, _)| *daemon)
    }

    /// The daemon that owns the group among those that are not `besides`.
    pub fn other_owner(&self, besides: u32) -> Option<u32> {
        let mut owners = self.nodes.iter().filter(|(_, node)| node.owns(GROUP));
        owners.find(|(daemon, _)| **daemon != besides).map(|(daemon, _)| *daemon)
    }

    /// Ends a daemon's process.
    pub fn kill(&mut self, daemon: u32) {
        self.nodes.remove(&daemon);
    }

    /// Cuts a daemon off from the other stores, both ways.
    pub fn cut_from_stores(&mut self, daemon: u32) {
        for other in STORES.into_iter().filter(|other| *other != daemon) {
            self.cut.extend([(daemon, other), (other, daemon)]);
        }
    }

    /// Cuts the way from one daemon to another.
    pub fn cut_one_way(&mut self, from: u32, to: u32) {
        self.cut.insert((from, to));
    }

    /// Mends all cuts.
    pub fn mend(&mut self) {
        self.cut.clear();
    }

    /// Loses the next answers to requests.
    pub fn lose_responses(&mut self, count: u32) {
        self.lost_responses = count;
    }

    /// Puts a command to the ledger at the gateway.
    pub fn ask(&mut self, command: LedgerCommand) -> RequestId {
        self.request(Request::Ledger { group: GROUP, command })
    }

    /// Puts any request to the gateway.
    pub fn request(&mut self, request: Request) -> RequestId {
        self.sequence += 1;
        let id = RequestId(self.sequence);
        self.handle(GATEWAY, Event::Request { id, request });
        id
    }

    /// Waits for the answer to a request, and gives how long it took from now.
    pub fn answer(&mut self, id: RequestId) -> (Response, Duration) {
        let asked = self.now;
        let limit = Duration::from_secs(10);
        self.run_until(limit, |cluster| cluster.answers.contains_key(&id));
        let (at, response) = self.answers.remove(&id).expect("just seen");
        (response, at.since(asked))
    }

    /// Puts a command to the ledger, again after every answer that it is unavailable.
    pub fn insist(&mut self, command: &LedgerCommand) -> LedgerReply {
        loop {
            let id = self.ask(command.clone());
            if let Response::Ledger(reply) = self.answer(id).0 {
                return reply;
            }
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(length, |cluster| cluster.next_at() > end);
    }

    /// The ledger at a daemon.
    pub fn ledger(&self, daemon: u32) -> &dahlia_ledger::Ledger {
        self.nodes[&daemon].group_state(GROUP).expect("it holds the group").ledger()
    }

    fn next_at(&self) -> Timestamp {
        self.agenda.first_key_value().expect("nodes tick for ever").0.0
    }

    pub fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) {
        let deadline = self.now + limit;
        while !is_done(self) {
            assert!(self.now <= deadline, "not within {limit:?}");
            let ((at, _), (daemon, delivery)) = self.agenda.pop_first().expect("nodes tick");
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
                    self.answers.insert(id, (now, response));
                }
                Action::Layout(_) => self.push(now + LINK, daemon, Delivery::Layout),
                Action::ReachChanged(reach) => {
                    self.reach.insert(daemon, reach);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: u32, to: SocketAddr, message: PeerMessage) {
        let Some(to) = daemon_at(to) else { return };
        match &message {
            PeerMessage::Groups(_) => self.messages.groups += 1,
            PeerMessage::Request { .. } => self.messages.requests += 1,
            PeerMessage::Response { .. } => self.messages.responses += 1,
            PeerMessage::Forward { .. } => self.messages.passed_on += 1,
            _ => {}
        }
        if to == STRANGER && matches!(message, PeerMessage::Response { .. }) {
            self.answers_to_stranger += 1;
        }
        if matches!(message, PeerMessage::Response { .. }) && self.lost_responses > 0 {
            self.lost_responses -= 1;
            return;
        }
        if !self.cut.contains(&(from, to)) {
            let longer = self.slow.get(&from).copied().unwrap_or_default();
            self.push(self.now + LINK + longer, to, Delivery::Message { from, message });
        }
    }

    fn push(&mut self, at: Timestamp, daemon: u32, delivery: Delivery) {
        self.sequence += 1;
        self.agenda.insert((at, self.sequence), (daemon, delivery));
    }
}

/// The gateway in a store's zone.
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
