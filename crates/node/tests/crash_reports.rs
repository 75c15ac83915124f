//! Servers that ended under requests, told between gateways in virtual time: who knows of them after lost datagrams, cuts,
//! restarts and beside builds that do not know the messages, and what it costs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use dahlia_node::crash_reports::{
    AnswerReach, ConsultationResult, CrashAction, CrashMessage, CrashRecord, CrashReport,
    CrashReports, GatewayMember, RequestKey,
};
use dahlia_node::request::RequestId;
use dahlia_types::{DaemonId, Duration, Incarnation, ReplicaId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LATENCY: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(20);
/// The longest that a question may take: the time-out and a tick.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(170);
const COMPARISON_INTERVAL: Duration = Duration::from_secs(1);
const REQUEST: RequestKey = RequestKey { digest: 77, body_bytes: 5 };

fn record(server: u64) -> CrashRecord {
    let lifetime = Duration::from_secs(600);
    CrashRecord { request: REQUEST, server, is_void: false, lifetime }
}

struct Gateway {
    reports: CrashReports,
    address: SocketAddr,
    is_near: bool,
    is_alive: bool,
    /// An earlier build drops the datagrams.
    is_earlier_build: bool,
    /// Gateways on different sides do not reach each other.
    side: u8,
    /// The ended servers that its driver knows.
    known: BTreeSet<u64>,
    in_flight: u32,
}

struct Datagram {
    at: Timestamp,
    from: u32,
    to: SocketAddr,
    message: CrashMessage,
}

struct Network {
    now: Timestamp,
    gateways: BTreeMap<u32, Gateway>,
    /// Gateways that membership takes for dead.
    known_dead: BTreeSet<u32>,
    datagrams: VecDeque<Datagram>,
    loss: f64,
    random: ChaCha8Rng,
    results: BTreeMap<RequestId, (ConsultationResult, Timestamp)>,
    questions: u64,
    sent: usize,
}

impl Network {
    fn new(near: u32, distant: u32) -> Self {
        let mut network = Self {
            now: Timestamp(1_000_000),
            gateways: BTreeMap::new(),
            known_dead: BTreeSet::new(),
            datagrams: VecDeque::new(),
            loss: 0.0,
            random: ChaCha8Rng::seed_from_u64(1),
            results: BTreeMap::new(),
            questions: 0,
            sent: 0,
        };
        for number in 0..near + distant {
            network.start(number, number < near);
        }
        network.pass(TICK);
        network
    }

    fn start(&mut self, number: u32, is_near: bool) {
        let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7101));
        let own = ReplicaId { daemon: DaemonId(number), incarnation: Incarnation(self.now.0) };
        let gateway = Gateway {
            reports: CrashReports::new(own, address),
            address,
            is_near,
            is_alive: true,
            is_earlier_build: false,
            side: 0,
            known: BTreeSet::new(),
            in_flight: 0,
        };
        self.gateways.insert(number, gateway);
    }

    fn gateway(&mut self, number: u32) -> &mut Gateway {
        self.gateways.get_mut(&number).expect("a gateway")
    }

    fn members(&self) -> Vec<GatewayMember> {
        let member = |(number, gateway): (&u32, &Gateway)| GatewayMember {
            daemon: DaemonId(*number),
            address: gateway.address,
            is_live: !self.known_dead.contains(number),
            is_near: gateway.is_near,
        };
        self.gateways.iter().map(member).collect()
    }

    /// A server ends under the request at a gateway, which learns what the others know.
    fn end_server(&mut self, number: u32, server: u64) -> ConsultationResult {
        self.gateway(number).known.insert(server);
        self.consult(number)
    }

    fn consult(&mut self, number: u32) -> ConsultationResult {
        let asked_at = self.now;
        let id = self.ask(number);
        self.pass(MAX_ANSWER_TIME);
        let (result, at) = self.results.get(&id).cloned().expect("an answer in time");
        assert!(at.since(asked_at) <= MAX_ANSWER_TIME, "after {:?}", at.since(asked_at));
        result
    }

    fn ask(&mut self, number: u32) -> RequestId {
        self.questions += 1;
        let id = RequestId(self.questions);
        let (now, members) = (self.now, self.members());
        let gateway = self.gateway(number);
        let records = gateway.known.iter().copied().map(record).collect();
        gateway.reports.set_members(members, true, now);
        gateway.reports.consult(id, records, now);
        self.collect(number);
        id
    }

    /// Each gateway compares what it knows with another one.
    fn compare_all(&mut self) {
        let numbers: Vec<u32> = self.gateways.keys().copied().collect();
        for number in numbers {
            let gateway = self.gateway(number);
            let digest = digest(&gateway.known);
            if gateway.is_alive && !gateway.is_earlier_build {
                gateway.reports.compare(digest);
                self.collect(number);
            }
        }
        self.pass(COMPARISON_INTERVAL);
    }

    fn collect(&mut self, number: u32) {
        let now = self.now;
        while let actions = self.gateway(number).reports.take_actions()
            && !actions.is_empty()
        {
            for action in actions {
                match action {
                    CrashAction::Send { to, message } => self.send(number, to, message),
                    CrashAction::Consulted { id, result } => {
                        let known = result.records.iter().map(|record| record.server);
                        self.gateway(number).known.extend(known);
                        let is_new = self.results.insert(id, (result, now)).is_none();
                        assert!(is_new, "answered twice");
                    }
                    CrashAction::Received(report) => self.gateway(number).handle(report),
                }
            }
        }
    }

    fn send(&mut self, from: u32, to: SocketAddr, message: CrashMessage) {
        let bytes = bincode::serde::encode_to_vec(&message, bincode::config::standard());
        assert!(bytes.expect("it can be encoded").len() < 1_300, "fits into a datagram");
        self.sent += 1;
        if !self.random.random_bool(self.loss) {
            self.datagrams.push_back(Datagram { at: self.now + LATENCY, from, to, message });
        }
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        let mut next_tick = self.now + TICK;
        while self.now < until {
            let next = self.datagrams.front().map_or(until, |datagram| datagram.at);
            self.now = next.min(next_tick).min(until);
            while self.datagrams.front().is_some_and(|datagram| datagram.at <= self.now) {
                let datagram = self.datagrams.pop_front().expect("a datagram");
                self.deliver(datagram);
            }
            if self.now >= next_tick {
                next_tick = self.now + TICK;
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        let (now, members) = (self.now, self.members());
        let numbers: Vec<u32> = self.gateways.keys().copied().collect();
        for number in numbers {
            let members = members.clone();
            let gateway = self.gateway(number);
            gateway.reports.set_members(members, true, now);
            gateway.reports.tick(now);
            self.collect(number);
        }
    }

    fn deliver(&mut self, datagram: Datagram) {
        let Datagram { from, to, message, .. } = datagram;
        let side = self.gateways[&from].side;
        let found = self.gateways.iter_mut().find(|(_, gateway)| gateway.address == to);
        let Some((&number, gateway)) = found else { return };
        if !gateway.is_alive || gateway.is_earlier_build || gateway.side != side {
            return;
        }
        let from = ReplicaId { daemon: DaemonId(from), incarnation: Incarnation(1) };
        gateway.reports.receive(from, message);
        self.collect(number);
    }

    fn knowing(&self) -> usize {
        self.gateways.values().filter(|gateway| !gateway.known.is_empty()).count()
    }
}

impl Gateway {
    /// Does what a driver does.
    fn handle(&mut self, report: CrashReport) {
        match report {
            CrashReport::Records { records, question } => {
                self.known.extend(records.iter().map(|record| record.server));
                if let Some(question) = question {
                    let known = self.known.iter().copied().map(record).collect();
                    self.reports.answer(question, known, self.in_flight);
                }
            }
            CrashReport::Digest { digest: other, reply_to } => {
                if other != digest(&self.known) {
                    let known: Vec<CrashRecord> = self.known.iter().copied().map(record).collect();
                    self.reports.send_records(reply_to, &known);
                }
            }
        }
    }
}

fn digest(known: &BTreeSet<u64>) -> u64 {
    known.iter().fold(0, |digest, server| digest ^ (server + 1))
}

/// Guards against a caller whose next try reaches a gateway that has not learnt of the servers that ended.
#[test]
fn all_gateways_know_an_ended_server_when_the_question_is_answered() {
    let mut network = Network::new(8, 4);
    let result = network.end_server(3, 1);
    assert_eq!(result.reach, AnswerReach::All);
    assert_eq!(network.knowing(), 12, "those of other regions too");
    let result = network.end_server(5, 2);
    let servers: BTreeSet<u64> = result.records.iter().map(|record| record.server).collect();
    assert_eq!(servers, BTreeSet::from([1, 2]));
}

/// Guards against gateways that go on at the same moment because none of them sees the others' sends.
#[test]
fn a_question_adds_up_the_sends_of_all_other_gateways() {
    let mut network = Network::new(5, 0);
    network.gateway(1).in_flight = 2;
    network.gateway(4).in_flight = 1;
    assert_eq!(network.consult(0).in_flight, 3);
}

/// Guards against records that stay unknown because datagrams were lost, or because a gateway has started again.
#[test]
fn gateways_that_lack_records_get_them_by_comparisons() {
    for seed in 0..20 {
        let mut network = Network::new(10, 0);
        network.random = ChaCha8Rng::seed_from_u64(seed);
        network.loss = 0.4;
        network.end_server(0, 1);
        network.start(7, true);
        let mut rounds = 0;
        while network.knowing() < 10 {
            network.compare_all();
            rounds += 1;
            assert!(rounds < 30, "seed {seed}: {} know after {rounds} rounds", network.knowing());
        }
    }
}

/// Guards against both sides of a cut using up the whole bound: neither reaches all others, and only one reaches most.
#[test]
fn at_most_one_side_of_a_cut_reaches_the_majority() {
    let mut network = Network::new(7, 0);
    (0..3).for_each(|number| network.gateway(number).side = 1);
    assert_eq!(network.end_server(0, 1).reach, AnswerReach::Minority);
    assert_eq!(network.end_server(5, 2).reach, AnswerReach::Majority);
    // The same once membership has noticed the cut.
    network.known_dead = BTreeSet::from([0, 1, 2]);
    assert_eq!(network.consult(5).reach, AnswerReach::Majority);
    network.known_dead = BTreeSet::from([3, 4, 5, 6]);
    assert_eq!(network.consult(0).reach, AnswerReach::Minority);
    // After the cut has healed each side knows both servers.
    network.known_dead.clear();
    (0..3).for_each(|number| network.gateway(number).side = 0);
    network.pass(TICK);
    let result = network.consult(0);
    assert_eq!(result.reach, AnswerReach::All);
    assert!(network.gateways[&0].known.is_superset(&BTreeSet::from([1, 2])));
}

/// A gateway that is gone for good does not count for ever.
#[test]
fn a_gateway_that_is_gone_does_not_count_after_a_minute() {
    let mut network = Network::new(3, 0);
    network.gateway(2).is_alive = false;
    network.known_dead.insert(2);
    assert_eq!(network.end_server(0, 1).reach, AnswerReach::Majority);
    network.pass(Duration::from_secs(61));
    assert_eq!(network.consult(0).reach, AnswerReach::All);
}

/// Guards against an upgrade during which each question waits for gateways that never answer, or lets no request go on.
#[test]
fn gateways_of_an_earlier_build_are_not_waited_for() {
    let mut network = Network::new(6, 0);
    (1..6).for_each(|number| network.gateway(number).is_earlier_build = true);
    assert_eq!(network.consult(0).reach, AnswerReach::Minority);
    network.pass(Duration::from_secs(5));
    let asked_at = network.now;
    let id = network.ask(0);
    let (result, at) = network.results.get(&id).cloned().expect("answered at once");
    assert_eq!((result.reach, at), (AnswerReach::All, asked_at));
    // One that is upgraded counts as soon as something is heard of it.
    network.gateway(1).is_earlier_build = false;
    network.gateway(1).known.insert(9);
    network.compare_all();
    assert_eq!(network.consult(0).records.len(), network.gateways[&1].known.len());
}

/// A crash of a server with 64 requests, each at another one of 185 gateways of a region.
#[test]
fn the_cost_of_a_crash_is_bounded() {
    let mut network = Network::new(185, 0);
    let before = network.sent;
    for number in 0..64 {
        network.gateway(number).known.insert(1);
        network.ask(number);
    }
    network.pass(MAX_ANSWER_TIME);
    let datagrams = network.sent - before;
    assert_eq!(datagrams, 64 * 184 * 2, "a question and an answer for each other gateway");
}
