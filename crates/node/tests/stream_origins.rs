//! Where streams began, in virtual time: who knows it after deaths, cuts, lost datagrams and restarts, what nobody
//! knows, and what it costs in messages and bytes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use dahlia_node::request::RequestId;
use dahlia_node::stream_origins::{
    Origin, OriginAction, OriginAnswer, OriginMembers, OriginMessage, OriginService, OriginView,
    StreamKey, StreamOrigins, StreamRecord, WitnessCandidate,
};
use dahlia_types::{DaemonId, Duration, Incarnation, ReplicaId, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LATENCY: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(20);
/// The longest that a question may take: the time-out and a tick.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(270);
/// Longer than a test takes to ask for all of its streams.
const LIFETIME: Duration = Duration::from_secs(60);
const SERVICE: OriginService = OriginService(9);
const OLD: Origin = Origin(1);
const NEW: Origin = Origin(2);

struct Gateway {
    origins: StreamOrigins,
    address: SocketAddr,
    zone: Zone,
    is_alive: bool,
    /// An earlier build drops the datagrams.
    is_earlier_build: bool,
    /// Gateways on different sides do not reach each other.
    side: u8,
}

struct Message {
    at: Timestamp,
    from: u32,
    to: SocketAddr,
    message: OriginMessage,
}

/// Gateways with a membership that knows all of them, and datagrams that may be lost.
struct Network {
    now: Timestamp,
    gateways: BTreeMap<u32, Gateway>,
    /// Daemons that hold groups, by region. Their numbers are not among those of the gateways.
    keepers: Vec<Vec<u32>>,
    /// What each daemon has saved.
    saved: BTreeMap<u32, (u64, Vec<u8>)>,
    /// Gateways that membership takes for dead.
    known_dead: BTreeSet<u32>,
    messages: VecDeque<Message>,
    loss: f64,
    random: ChaCha8Rng,
    found: BTreeMap<RequestId, (Option<Origin>, Timestamp)>,
    questions: u64,
    sent: usize,
}

impl Network {
    fn new(zones: u32, gateways_per_zone: u32, seed: u64) -> Self {
        let mut network = Self {
            now: Timestamp(1_000_000),
            gateways: BTreeMap::new(),
            keepers: Vec::new(),
            saved: BTreeMap::new(),
            known_dead: BTreeSet::new(),
            messages: VecDeque::new(),
            loss: 0.0,
            random: ChaCha8Rng::seed_from_u64(seed),
            found: BTreeMap::new(),
            questions: 0,
            sent: 0,
        };
        for number in 0..zones * gateways_per_zone {
            network.start(number, Zone::new(format!("zone-{}", number % zones)));
        }
        network
    }

    fn start(&mut self, number: u32, zone: Zone) {
        let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7101));
        let own = ReplicaId { daemon: DaemonId(number), incarnation: Incarnation(self.now.0) };
        let origins = StreamOrigins::new(own, address);
        let gateway =
            Gateway { origins, address, zone, is_alive: true, is_earlier_build: false, side: 0 };
        self.gateways.insert(number, gateway);
        self.set_view(number, OriginView::Several);
    }

    fn restart(&mut self, number: u32) {
        let zone = self.gateways[&number].zone.clone();
        self.start(number, zone);
    }

    /// Kills daemons and starts them again, with what they have saved if they have disks.
    fn restart_all(&mut self, numbers: &[u32], have_disks: bool) {
        let now = self.now;
        for number in numbers {
            let zone = self.gateways[number].zone.clone();
            self.start(*number, zone);
            let Gateway { address, origins, .. } = self.gateway(*number);
            let own = ReplicaId { daemon: DaemonId(*number), incarnation: Incarnation(now.0) };
            *origins = StreamOrigins::new(own, *address).with_unknown_past(now);
            if let Some((version, bytes)) = self.saved.get(number).cloned().filter(|_| have_disks) {
                self.gateway(*number).origins.restore_views(version, &bytes, now);
            }
        }
    }

    /// Gateways see a view of the service, and tell it.
    fn see(&mut self, gateways: &[u32], view: OriginView) {
        for number in gateways {
            let (members, now) = (self.members(), self.now);
            self.gateway(*number).origins.set_members(members, now);
            self.set_view(*number, view);
        }
        self.pass(Duration::from_millis(200));
    }

    fn set_view(&mut self, number: u32, view: OriginView) {
        let now = self.now;
        self.gateway(number).origins.set_views([(SERVICE, view)], now);
        self.collect(number);
    }

    fn set_views(&mut self, view: OriginView) {
        let numbers: Vec<u32> = self.gateways.keys().copied().collect();
        numbers.into_iter().for_each(|number| self.set_view(number, view));
    }

    fn gateway(&mut self, number: u32) -> &mut Gateway {
        self.gateways.get_mut(&number).expect("a gateway")
    }

    fn kill(&mut self, number: u32) {
        self.gateway(number).is_alive = false;
    }

    fn members(&self) -> OriginMembers {
        let is_keeper = |number: &u32| self.keepers.iter().flatten().any(|keeper| keeper == number);
        let serving: Vec<u32> =
            self.gateways.keys().copied().filter(|number| !is_keeper(number)).collect();
        let candidate = |number: &u32| WitnessCandidate {
            daemon: DaemonId(*number),
            address: self.gateways[number].address,
            zone: self.gateways[number].zone.clone(),
        };
        let live = serving.iter().filter(|number| !self.known_dead.contains(number));
        let keepers = self.keepers.iter().map(|keepers| keepers.iter().map(candidate).collect());
        OriginMembers {
            live: live.map(candidate).collect(),
            known: serving.len(),
            keepers: keepers.collect(),
        }
    }

    /// A stream begins at a gateway.
    fn begin(&mut self, number: u32, stream: u64, origin: Origin) {
        let record = StreamRecord { stream: StreamKey(stream), origin, lifetime: LIFETIME };
        let (members, now) = (self.members(), self.now);
        self.gateway(number).origins.set_members(members, now);
        self.gateway(number).origins.record(vec![record], now);
        self.collect(number);
    }

    /// A caller takes a stream up at a gateway.
    fn take_up(&mut self, number: u32, stream: u64) -> RequestId {
        self.questions += 1;
        let id = RequestId(self.questions);
        let (members, now) = (self.members(), self.now);
        self.gateway(number).origins.set_members(members, now);
        self.gateway(number).origins.find(id, StreamKey(stream), SERVICE, now);
        self.collect(number);
        id
    }

    /// A caller takes a stream up, and learns where it began within the time that a question may take.
    fn origin_of(&mut self, number: u32, stream: u64) -> Option<Origin> {
        let asked_at = self.now;
        let id = self.take_up(number, stream);
        self.pass(MAX_ANSWER_TIME);
        let (origin, at) = self.found.get(&id).copied().expect("an answer in time");
        assert!(at.since(asked_at) <= MAX_ANSWER_TIME, "after {:?}", at.since(asked_at));
        origin
    }

    fn collect(&mut self, number: u32) {
        let (now, is_alive) = (self.now, self.gateways[&number].is_alive);
        for action in self.gateway(number).origins.take_actions() {
            match action {
                OriginAction::Send { to, message } if is_alive => {
                    self.sent += 1;
                    if !self.random.random_bool(self.loss) {
                        let at = now + LATENCY;
                        self.messages.push_back(Message { at, from: number, to, message });
                    }
                }
                OriginAction::Send { .. } => {}
                OriginAction::SaveViews { version, bytes } => {
                    self.saved.insert(number, (version, bytes));
                }
                OriginAction::Found { id, origin } => {
                    assert!(self.found.insert(id, (origin, now)).is_none(), "answered twice");
                }
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        let mut next_tick = self.now + TICK;
        while self.now < until {
            let next_message = self.messages.front().map_or(until, |message| message.at);
            self.now = next_message.min(next_tick).min(until);
            while self.messages.front().is_some_and(|message| message.at <= self.now) {
                let message = self.messages.pop_front().expect("a message");
                self.deliver(message);
            }
            if self.now >= next_tick {
                next_tick = self.now + TICK;
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let numbers: Vec<u32> = self.gateways.keys().copied().collect();
        for number in numbers {
            if self.gateways[&number].is_alive {
                self.gateway(number).origins.tick(now);
                self.collect(number);
            }
        }
    }

    fn deliver(&mut self, Message { from, to, message, .. }: Message) {
        let receiver = self.gateways.iter().find(|(_, gateway)| gateway.address == to);
        let Some((&number, receiver)) = receiver else { return };
        let is_reached = self.gateways[&from].side == receiver.side;
        if !receiver.is_alive || receiver.is_earlier_build || !is_reached {
            return;
        }
        let now = self.now;
        let sender = ReplicaId { daemon: DaemonId(from), incarnation: Incarnation(1) };
        self.gateway(number).origins.receive(sender, message, now);
        self.collect(number);
    }
}

/// The share of streams that go on at the right origin. Any wrong one fails the test.
fn share_found(network: &mut Network, streams: std::ops::Range<u64>, gateway: u32) -> f64 {
    let count = (streams.end - streams.start) as f64;
    let mut found = 0;
    for stream in streams {
        if let Some(origin) = network.origin_of(gateway, stream) {
            assert_eq!(origin, origin_for(stream), "stream {stream}");
            found += 1;
        }
    }
    f64::from(found) / count
}

fn origin_for(stream: u64) -> Origin {
    if stream.is_multiple_of(2) { OLD } else { NEW }
}

fn with_streams(zones: u32, gateways_per_zone: u32, loss: f64) -> Network {
    let mut network = Network::new(zones, gateways_per_zone, 7);
    network.loss = loss;
    for stream in 0..100 {
        network.begin(0, stream, origin_for(stream));
    }
    network.pass(Duration::from_millis(100));
    network
}

struct LossCase {
    name: &'static str,
    zones: u32,
    gateways_per_zone: u32,
    loss: f64,
    /// Gateways that die with the one that served.
    others_dead: &'static [u32],
    is_death_known: bool,
    /// The least share of streams whose origin is found.
    least: f64,
}

/// Guards against streams that cannot go on, or go on elsewhere, because those who knew their origin are gone. The
/// users' bound is half of the streams that are taken up.
#[test]
fn a_stream_is_found_after_its_gateway_died() {
    let case = LossCase {
        name: "the gateway alone",
        zones: 4,
        gateways_per_zone: 2,
        loss: 0.0,
        others_dead: &[],
        is_death_known: false,
        least: 1.0,
    };
    let cases = [
        LossCase { name: "known to membership", is_death_known: true, ..case },
        LossCase { name: "one zone", zones: 1, gateways_per_zone: 4, ..case },
        LossCase { name: "two gateways", zones: 2, gateways_per_zone: 1, ..case },
        LossCase { name: "many gateways", zones: 7, gateways_per_zone: 53, ..case },
        LossCase { name: "one in a hundred datagrams lost", loss: 0.01, least: 0.98, ..case },
        LossCase { name: "a fifth of datagrams lost", loss: 0.2, least: 0.9, ..case },
        LossCase { name: "with two others", others_dead: &[2, 5], least: 0.9, ..case },
        LossCase {
            name: "with two others, known",
            others_dead: &[2, 5],
            is_death_known: true,
            least: 0.9,
            ..case
        },
        LossCase { name: "with half of all", others_dead: &[2, 4, 6], least: 0.5, ..case },
        case,
    ];
    for case in cases {
        let mut network = with_streams(case.zones, case.gateways_per_zone, case.loss);
        for number in [0].iter().chain(case.others_dead) {
            network.kill(*number);
            if case.is_death_known {
                network.known_dead.insert(*number);
            }
        }
        let share = share_found(&mut network, 0..100, 1);
        assert!(share >= case.least, "{}: {share}", case.name);
    }
}

/// Guards against a zone whose loss takes along all that know a stream.
#[test]
fn a_stream_is_found_after_its_zone_is_lost() {
    let mut network = with_streams(4, 8, 0.0);
    for number in (0..32).filter(|number| number % 4 == 0) {
        network.kill(number);
    }
    assert_eq!(share_found(&mut network, 0..100, 1), 1.0);
}

/// Guards against a guess behind a cut: what nobody there knows stays unknown, whatever the own list says.
#[test]
fn behind_a_cut_a_stream_is_found_or_unknown_and_never_guessed() {
    let mut network = with_streams(4, 2, 0.0);
    for number in [1, 5] {
        network.gateway(number).side = 1;
    }
    network.kill(0);
    let share = share_found(&mut network, 0..100, 1);
    assert!((0.1..0.9).contains(&share), "one zone of four knows some: {share}");
    let mut network = with_streams(4, 2, 0.0);
    network.gateway(1).side = 1;
    network.set_view(1, OriginView::Only(OLD));
    network.kill(0);
    for stream in (0..100).filter(|stream| origin_for(*stream) == NEW) {
        assert_ne!(network.origin_of(1, stream), Some(OLD), "by an outdated list");
    }
}

/// Guards against streams that are refused although all servers have one version.
#[test]
fn an_unknown_stream_goes_on_where_all_views_have_one_origin() {
    struct Case {
        name: &'static str,
        own: OriginView,
        others: OriginView,
        expected: Option<Origin>,
    }
    let only = OriginView::Only;
    let cases = [
        Case { name: "one", own: only(OLD), others: only(OLD), expected: Some(OLD) },
        Case { name: "outdated", own: only(OLD), others: only(NEW), expected: None },
        Case { name: "several", own: OriginView::Several, others: only(OLD), expected: None },
        Case {
            name: "others know of another",
            own: only(OLD),
            others: OriginView::Several,
            expected: None,
        },
        Case {
            name: "just started",
            own: OriginView::Nothing,
            others: only(OLD),
            expected: Some(OLD),
        },
        Case {
            name: "all just started",
            own: OriginView::Nothing,
            others: OriginView::Nothing,
            expected: None,
        },
    ];
    for Case { name, own, others, expected } in cases {
        let mut network = Network::new(4, 2, 1);
        network.set_views(others);
        network.set_view(1, own);
        assert_eq!(network.origin_of(1, 5), expected, "{name}");
    }
}

/// Guards against a decision by one outdated list: other gateways exist, and none answers.
#[test]
fn the_own_view_alone_decides_only_without_other_gateways() {
    let mut network = Network::new(4, 2, 1);
    network.set_views(OriginView::Only(OLD));
    (0..8).filter(|number| *number != 1).for_each(|number| network.kill(number));
    assert_eq!(network.origin_of(1, 5), None);
    network.known_dead = (0..8).filter(|number| *number != 1).collect();
    assert_eq!(network.origin_of(1, 5), None, "they may be cut off");
    let mut network = Network::new(1, 1, 1);
    network.set_views(OriginView::Only(OLD));
    assert_eq!(network.origin_of(0, 5), Some(OLD), "a deployment of one gateway");
}

/// An earlier build tells and answers nothing.
#[test]
fn gateways_of_an_earlier_build_are_passed_over() {
    let mut network = Network::new(4, 2, 1);
    for number in [2, 4, 7] {
        network.gateway(number).is_earlier_build = true;
    }
    for stream in 0..100 {
        network.begin(0, stream, origin_for(stream));
    }
    network.pass(Duration::from_millis(100));
    network.kill(0);
    let share = share_found(&mut network, 0..100, 1);
    assert!(share >= 0.5, "{share}");
}

/// Guards against a third try that nobody knows: the gateway that went on with the stream tells of it again.
#[test]
fn a_stream_is_found_again_after_its_second_gateway_died_too() {
    let mut network = with_streams(4, 2, 0.0);
    network.kill(0);
    for stream in 0..100 {
        let origin = network.origin_of(1, stream).expect("the first gateway told of it");
        network.begin(1, stream, origin);
    }
    network.pass(Duration::from_millis(100));
    network.kill(1);
    network.restart(0);
    assert_eq!(share_found(&mut network, 0..30, 3), 1.0);
}

#[test]
fn a_stream_is_forgotten_after_its_callers_deadline() {
    let mut network = with_streams(4, 2, 0.0);
    network.pass(LIFETIME);
    assert_eq!(network.origin_of(1, 5), None);
    network.begin(1, 1_000, OLD);
    let known = network.gateway(1).origins.known_streams();
    assert_eq!(known, 1, "records that expired go with the next one");
}

/// Guards against memory that grows with the streams.
#[test]
fn the_number_of_known_streams_is_bounded() {
    const MAX_STREAMS: usize = 16_384;
    let mut network = Network::new(1, 2, 1);
    for stream in 0..MAX_STREAMS as u64 + 100 {
        network.begin(0, stream, OLD);
    }
    assert_eq!(network.gateway(0).origins.known_streams(), MAX_STREAMS);
}

/// A stream costs two datagrams while it runs, and one that is taken up at most six questions, sent twice, and their
/// answers.
#[test]
fn costs_are_bounded() {
    let mut network = with_streams(7, 53, 0.0);
    assert_eq!(network.sent, 200);
    network.kill(0);
    let before = network.sent;
    share_found(&mut network, 0..100, 1);
    assert!(network.sent - before <= 100 * 6 * 3, "{}", network.sent - before);
}

/// Answers that come late, twice, or to another question change nothing.
#[test]
fn stray_answers_are_ignored() {
    let mut network = with_streams(4, 2, 0.0);
    network.kill(0);
    let id = network.take_up(1, 4);
    let stray =
        OriginMessage::Answer { id, stream: StreamKey(5), answer: OriginAnswer::Began(NEW) };
    let now = network.now;
    let sender = ReplicaId { daemon: DaemonId(2), incarnation: Incarnation(1) };
    network.gateway(1).origins.receive(sender, stray, now);
    network.collect(1);
    network.pass(MAX_ANSWER_TIME);
    assert_eq!(network.found[&id].0, Some(OLD));
}

/// Guards against a guess behind a cut: two gateways there have the same outdated list, and none of those who were
/// told answers.
#[test]
fn two_outdated_lists_behind_a_cut_do_not_decide() {
    let mut network = with_streams(4, 2, 0.0);
    network.set_views(OriginView::Several);
    for number in [1, 5] {
        network.gateway(number).side = 1;
        network.set_view(number, OriginView::Only(OLD));
    }
    network.kill(0);
    let wrong = (0..100).filter(|stream| origin_for(*stream) == NEW);
    let wrong = wrong.filter(|stream| network.origin_of(1, *stream) == Some(OLD)).count();
    assert_eq!(wrong, 0, "of 50 streams that began at the new origin");
}

/// Guards against a stream that goes on at another origin because its caller's deadline is longer than records live.
#[test]
fn a_stream_with_a_long_deadline_goes_on_at_no_other_origin() {
    let mut network = Network::new(4, 2, 7);
    let lifetime = Duration::from_secs(300);
    let record = StreamRecord { stream: StreamKey(5), origin: OLD, lifetime };
    let (members, now) = (network.members(), network.now);
    network.gateway(0).origins.set_members(members, now);
    network.gateway(0).origins.record(vec![record], now);
    network.collect(0);
    network.pass(Duration::from_secs(125));
    network.set_views(OriginView::Only(NEW));
    network.kill(0);
    assert_ne!(network.origin_of(1, 5), Some(NEW), "it began at the old one, 125 s of 300 s ago");
}

/// Guards against streams that begin late: where most lists agree, a question waits for the one that died no longer
/// than for a second answer.
#[test]
fn an_unknown_stream_waits_for_no_dead_gateway() {
    let mut network = Network::new(4, 2, 7);
    network.set_views(OriginView::Only(OLD));
    network.kill(0);
    for stream in 0..100 {
        let (asked_at, id) = (network.now, network.take_up(1, stream));
        network.pass(MAX_ANSWER_TIME);
        let (origin, at) = network.found[&id];
        assert_eq!(origin, Some(OLD));
        assert!(at.since(asked_at) <= Duration::from_millis(80), "{:?}", at.since(asked_at));
    }
}

/// Guards against a guess by a gateway that has just started and knows no member yet: its list has no history.
#[test]
fn a_gateway_that_knows_no_member_yet_does_not_decide_by_its_own_list() {
    let mut network = with_streams(4, 2, 0.0);
    network.restart(1);
    network.set_view(1, OriginView::Only(NEW));
    network.known_dead = (0..8).collect();
    assert_ne!(network.origin_of(1, 0), Some(NEW), "it began at the old one");
}

/// The same once membership has taken those beyond the cut for dead, also for one gateway alone: they still exist.
#[test]
fn outdated_lists_do_not_decide_once_those_beyond_a_cut_are_taken_for_dead() {
    for cut_off in [&[1, 5][..], &[1]] {
        let mut network = with_streams(4, 2, 0.0);
        for number in cut_off {
            network.gateway(*number).side = 1;
            network.set_view(*number, OriginView::Only(OLD));
        }
        network.known_dead = (0..8).filter(|it| !cut_off.contains(it)).collect();
        let wrong = (0..100).filter(|stream| origin_for(*stream) == NEW);
        let wrong = wrong.filter(|stream| network.origin_of(1, *stream) == Some(OLD)).count();
        assert_eq!(wrong, 0, "of 50 streams that began at the new origin, {cut_off:?} cut off");
    }
}

/// Guards against callers with long deadlines whose streams crowd out those of all others: the newest record goes first.
#[test]
fn streams_with_long_deadlines_do_not_crowd_out_a_new_one() {
    let mut network = Network::new(4, 2, 7);
    let (members, now) = (network.members(), network.now);
    let record =
        |stream, lifetime| StreamRecord { stream: StreamKey(stream), origin: OLD, lifetime };
    let long = (0..70_000).map(|stream| record(stream, Duration::from_secs(3_600))).collect();
    network.gateway(0).origins.set_members(members, now);
    network.gateway(0).origins.record(long, now);
    network.collect(0);
    network.pass(Duration::from_millis(100));
    let now = network.now;
    let short = vec![record(99_999, Duration::from_secs(4))];
    network.gateway(0).origins.record(short, now);
    network.collect(0);
    assert_eq!(network.origin_of(0, 99_999), Some(OLD));
}

const KEEPERS: [u32; 4] = [100, 101, 102, 103];
const SERVING: [u32; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

/// Eight gateways before keepers of one region.
fn with_keepers(keepers: &[u32]) -> Network {
    let mut network = Network::new(4, 2, 7);
    for number in keepers {
        network.start(*number, Zone::new(format!("zone-{}", number % 4)));
        network.set_view(*number, OriginView::Nothing);
    }
    network.keepers = vec![keepers.to_vec()];
    network
}

/// Guards against streams that nobody knows after all gateways were killed at once, though servers of their version serve.
#[test]
fn streams_are_found_after_all_gateways_restarted() {
    let mut network = with_keepers(&KEEPERS);
    network.see(&SERVING, OriginView::Several);
    for stream in 0..100 {
        network.begin(0, stream, origin_for(stream));
    }
    network.pass(Duration::from_millis(100));
    network.restart_all(&SERVING, false);
    network.see(&SERVING, OriginView::Several);
    assert_eq!(share_found(&mut network, 0..100, 1), 1.0);
    network.kill(KEEPERS[0]);
    assert_eq!(share_found(&mut network, 0..100, 2), 1.0, "one keeper is lost as well");
}

/// Guards against streams that go on nowhere after all gateways of their region were killed: keepers of the next region know
/// them.
#[test]
fn streams_are_found_in_the_next_region() {
    let mut network = with_keepers(&KEEPERS);
    network.keepers = vec![KEEPERS[..2].to_vec(), KEEPERS[2..].to_vec()];
    for stream in 0..100 {
        network.begin(0, stream, origin_for(stream));
    }
    network.pass(Duration::from_millis(100));
    for number in SERVING.iter().filter(|number| **number != 1).chain(&KEEPERS[..2]) {
        network.kill(*number);
    }
    assert_eq!(share_found(&mut network, 0..100, 1), 1.0);
}

struct RestartCase {
    name: &'static str,
    /// What gateways told of the service before they were killed, in this order.
    before: &'static [OriginView],
    /// The keepers that start again as well.
    restarted: &'static [u32],
    have_disks: bool,
    /// What gateways see after their start.
    after: OriginView,
    expected: Option<Origin>,
}

/// Guards against a stream that goes on at the only version which gateways know, because all have just started; and against
/// streams of one version that are refused then.
#[test]
fn after_a_restart_of_all_gateways_only_those_who_know_the_past_decide() {
    const ONLY_OLD: &[OriginView] = &[OriginView::Only(OLD)];
    const REPLACED: &[OriginView] = &[OriginView::Only(OLD), OriginView::Several];
    let case = RestartCase {
        name: "one version throughout",
        before: ONLY_OLD,
        restarted: &[],
        have_disks: true,
        after: OriginView::Only(OLD),
        expected: Some(OLD),
    };
    let new = RestartCase { after: OriginView::Only(NEW), expected: None, ..case };
    let refused = RestartCase { expected: None, ..case };
    let cases = [
        RestartCase { name: "replaced before", before: REPLACED, ..new },
        RestartCase { name: "replaced in the seconds of the restart", ..new },
        RestartCase { name: "another version came", after: OriginView::Several, ..refused },
        RestartCase { name: "nobody was told", before: &[], ..refused },
        RestartCase { name: "keepers restarted too", restarted: &KEEPERS, ..case },
        RestartCase {
            name: "replaced, all restarted",
            restarted: &KEEPERS,
            before: REPLACED,
            ..new
        },
        RestartCase { name: "no disks", restarted: &KEEPERS, have_disks: false, ..refused },
        RestartCase { name: "one disk lost", restarted: &KEEPERS[..1], have_disks: false, ..case },
        case,
    ];
    for case in cases {
        let mut network = with_keepers(&KEEPERS);
        for view in case.before {
            network.see(&SERVING, *view);
        }
        network.restart_all(&SERVING, false);
        network.restart_all(case.restarted, case.have_disks);
        network.see(&SERVING, case.after);
        assert_eq!(network.origin_of(1, 5), case.expected, "{}", case.name);
    }
}

/// Guards against a minority of keepers that decides: one that was cut off does not know of a second version.
#[test]
fn one_keeper_does_not_decide_alone() {
    let mut network = with_keepers(&KEEPERS[..3]);
    network.see(&SERVING, OriginView::Only(OLD));
    KEEPERS[1..3].iter().for_each(|keeper| network.kill(*keeper));
    network.restart_all(&SERVING, false);
    network.see(&SERVING, OriginView::Only(OLD));
    assert_eq!(network.origin_of(1, 5), None);
}

/// Guards against versions that are remembered for ever: after the time for which streams may go on, one is enough again.
#[test]
fn a_version_that_was_replaced_long_ago_is_forgotten() {
    let mut network = with_keepers(&KEEPERS);
    network.see(&SERVING, OriginView::Only(OLD));
    network.see(&SERVING, OriginView::Only(NEW));
    network.restart_all(&SERVING, false);
    network.see(&SERVING, OriginView::Only(NEW));
    assert_eq!(network.origin_of(1, 5), None);
    network.pass(Duration::from_secs(601));
    assert_eq!(network.origin_of(1, 5), Some(NEW));
}

/// Guards against a fleet whose gateways tell all of its stores whenever one of them comes or goes: 865 gateways and 120 stores
/// would send 100,000 datagrams each time.
#[test]
fn views_are_told_to_few_keepers_however_many_there_are() {
    let keepers: Vec<u32> = (100..220).collect();
    let mut network = with_keepers(&keepers);
    network.pass(Duration::from_secs(1));
    network.sent = 0;
    network.see(&SERVING, OriginView::Only(OLD));
    // Three keepers each, and once more, since datagrams get lost.
    assert!(network.sent <= SERVING.len() * 3 * 2, "{} datagrams", network.sent);
    network.sent = 0;
    for gone in 0..40 {
        network.keepers = vec![keepers[gone..].to_vec()];
        let (members, now) = (network.members(), network.now);
        for number in SERVING {
            network.gateway(number).origins.set_members(members.clone(), now);
        }
        network.pass(Duration::from_millis(500));
    }
    // A third of the keepers goes, so about one of the three does.
    assert!(network.sent <= SERVING.len() * 3 * 5, "{} datagrams", network.sent);
}
