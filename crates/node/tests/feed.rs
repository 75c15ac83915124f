//! The feed in virtual time: the calls that it costs at the source, and how long changes stay unknown to a
//! daemon when a daemon in each role fails at the worst moment.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_node::feed::{
    Feed, FeedAction, FeedMembers, FeedMessage, FeedOrder, FeedSettings, SourceReading,
    SourceReport, SubscriptionEcho,
};
use dahlia_types::{DaemonId, Duration, Timestamp};

const START: Timestamp = Timestamp(60_000_000);
const STEP: Duration = Duration::from_millis(20);
/// One-way delay between two daemons of a zone.
const LINK_DELAY: Duration = Duration::from_millis(1);
/// How long a call of a daemon that reads for others waits at the source for changes.
const SHORT_WAIT: Duration = Duration::from_millis(600);
/// How long a call of a daemon that reads for itself waits at the source for changes: half of the time until a
/// change must be known, so that a lost answer is noticed in time.
const LONG_WAIT: Duration = Duration::from_millis(2_000);
/// Time until others consider a daemon dead.
const DEATH_DETECTION_TIME: Duration = Duration::from_secs(8);
/// Maximum time until a change must be known. The users' large deployments require it.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(4_000);
/// Microseconds per revision of the source: it counts 5,000 changes a second that it does not report.
const REVISION_MICROS: u64 = 200;
const SETTLING_TIME: Duration = Duration::from_secs(8);

fn settings() -> FeedSettings {
    FeedSettings {
        freshness_ms: 2_000,
        own_read_ms: LONG_WAIT.as_millis(),
        ..FeedSettings::default()
    }
}

fn address(daemon: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon >> 8) as u8, daemon as u8], 9))
}

/// A fault of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Its process has ended.
    Dead,
    /// It runs and is reachable, but its calls to the source are never answered.
    CutFromSource,
    /// It does nothing, and handles the messages that arrived meanwhile once it runs again.
    Frozen,
    /// Its messages to other daemons are held back until the fault ends.
    HeldBack,
}

/// A call to the source that has not returned.
struct Call {
    started_at: Timestamp,
    wait: Duration,
}

struct Daemon {
    feed: Feed,
    fault: Fault,
    reading: SourceReading,
    known: u64,
    is_behind: bool,
    call: Option<Call>,
    /// Messages that arrived while it was frozen.
    frozen_inbox: Vec<(u32, FeedMessage)>,
    held_back: Vec<(SocketAddr, FeedMessage)>,
}

/// The daemons of a zone, and a source whose revision increases all the time.
struct Zone {
    now: Timestamp,
    /// When each reported change happened.
    changes: Vec<Timestamp>,
    calls: u64,
    daemons: BTreeMap<u32, Daemon>,
    /// Daemons that others consider dead.
    dead: Vec<u32>,
    in_transit: Vec<(Timestamp, u32, SocketAddr, FeedMessage)>,
    link_delay: Duration,
    /// Whether changes must be known in time to daemons with a fault, too.
    struck_counts: bool,
    /// Maximum time that a change stayed unknown to a healthy daemon.
    max_change_delay: Duration,
    /// Total time that daemons read for themselves.
    own_reading_time: Duration,
    /// The receivers of the reports of each daemon.
    report_receivers: BTreeMap<u32, BTreeSet<SocketAddr>>,
}

impl Zone {
    fn new(daemons: u32) -> Self {
        let daemon = |number: u32| Daemon {
            feed: Feed::new(settings(), DaemonId(number), address(number)),
            fault: Fault::None,
            reading: SourceReading::ForItself,
            known: 0,
            is_behind: false,
            call: None,
            frozen_inbox: Vec::new(),
            held_back: Vec::new(),
        };
        let mut zone = Self {
            now: START,
            changes: vec![START],
            calls: 0,
            daemons: (1..=daemons).map(|number| (number, daemon(number))).collect(),
            dead: Vec::new(),
            in_transit: Vec::new(),
            link_delay: LINK_DELAY,
            struck_counts: false,
            max_change_delay: Duration::ZERO,
            own_reading_time: Duration::ZERO,
            report_receivers: BTreeMap::new(),
        };
        zone.pass(SETTLING_TIME, None);
        zone.calls = 0;
        zone.max_change_delay = Duration::ZERO;
        zone.own_reading_time = Duration::ZERO;
        zone
    }

    /// The source's revision. It increases all the time, by changes that the source does not report.
    fn revision(&self, at: Timestamp) -> u64 {
        at.0 / REVISION_MICROS
    }

    /// Number of reported changes after a revision.
    fn changes_after(&self, known: u64) -> usize {
        self.changes.iter().filter(|at| self.revision(**at) > known).count()
    }

    /// Lets time pass, with a change of the source every `interval`.
    fn pass(&mut self, length: Duration, interval: Option<Duration>) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            let since = self.changes.last().map(|last| self.now.since(*last));
            if interval.is_some_and(|interval| since >= Some(interval)) {
                self.changes.push(self.now);
            }
            self.deliver();
            let numbers: Vec<u32> = self.daemons.keys().copied().collect();
            numbers.into_iter().for_each(|number| self.step(number));
            self.update_measurements();
        }
    }

    fn inject_fault(&mut self, number: u32, fault: Fault) {
        self.daemon(number).fault = fault;
        if fault == Fault::Dead {
            self.daemon(number).call = None;
        }
    }

    fn clear_fault(&mut self, number: u32) {
        let daemon = self.daemon(number);
        daemon.fault = Fault::None;
        let held_back = std::mem::take(&mut daemon.held_back);
        held_back.into_iter().for_each(|(to, message)| self.send(number, to, message));
        let frozen_inbox = std::mem::take(&mut self.daemon(number).frozen_inbox);
        frozen_inbox.into_iter().for_each(|(from, message)| self.receive(number, from, message));
    }

    fn daemon(&mut self, number: u32) -> &mut Daemon {
        self.daemons.get_mut(&number).expect("it exists")
    }

    /// The daemon that reads for others.
    fn reader(&self) -> Option<u32> {
        let mut daemons = self.daemons.iter();
        let reader = daemons.find(|(_, daemon)| daemon.reading == SourceReading::ForOthers);
        reader.map(|(number, _)| *number)
    }

    /// All daemons that read for others and have no fault.
    fn healthy_readers(&self) -> impl Iterator<Item = u32> {
        let healthy = self.daemons.iter().filter(|(_, daemon)| daemon.fault == Fault::None);
        let readers = healthy.filter(|(_, daemon)| daemon.reading == SourceReading::ForOthers);
        readers.map(|(number, _)| *number)
    }

    fn live_members(&self) -> FeedMembers {
        let live = self.daemons.keys().filter(|number| !self.dead.contains(number));
        let zone: Vec<_> = live.map(|number| (DaemonId(*number), address(*number))).collect();
        FeedMembers { region: zone.clone(), zone }
    }

    fn step(&mut self, number: u32) {
        let (now, members) = (self.now, self.live_members());
        let daemon = self.daemon(number);
        if matches!(daemon.fault, Fault::Dead | Fault::Frozen) {
            return;
        }
        if daemon.feed.is_review_due(now) {
            daemon.feed.review(&members, now);
        }
        daemon.feed.tick(now);
        self.run_actions(number);
        self.call_source(number);
    }

    /// Calls the source, or handles the answer to the call under way.
    fn call_source(&mut self, number: u32) {
        let (now, revision) = (self.now, self.revision(self.now));
        let changes = self.changes_after(self.daemons[&number].known);
        let daemon = self.daemon(number);
        if let Some(call) = &daemon.call {
            let is_over = changes > 0 || now.since(call.started_at) >= call.wait;
            if daemon.fault == Fault::CutFromSource || !is_over {
                return;
            }
            let (after, age) = (daemon.known, now.since(call.started_at));
            daemon.call = None;
            daemon.known = revision;
            let contents = vec![0; changes];
            daemon.feed.record_read(SourceReport { after, at: revision, age, contents }, now);
            return self.run_actions(number);
        }
        let wait = match daemon.reading {
            _ if std::mem::take(&mut daemon.is_behind) => Duration::ZERO,
            SourceReading::Paused => return,
            SourceReading::ForItself => LONG_WAIT,
            SourceReading::ForOthers => SHORT_WAIT,
        };
        daemon.call = Some(Call { started_at: now, wait });
        self.calls += 1;
    }

    fn run_actions(&mut self, number: u32) {
        for action in self.daemon(number).feed.take_actions() {
            let daemon = self.daemon(number);
            match action {
                FeedAction::Order(FeedOrder::Read(reading)) => {
                    daemon.reading = reading;
                    // A long call is aborted to read for others.
                    daemon.call.take_if(|_| reading == SourceReading::ForOthers);
                }
                FeedAction::Order(FeedOrder::Apply { report, .. }) => {
                    assert!(report.after <= daemon.known, "daemon {number} would miss changes");
                    daemon.known = daemon.known.max(report.at);
                }
                FeedAction::Order(FeedOrder::SourceAnswered { .. }) => {}
                FeedAction::Order(FeedOrder::CatchUp) => {
                    daemon.is_behind = true;
                    daemon.call = None;
                }
                FeedAction::Send { to, message } if daemon.fault == Fault::HeldBack => {
                    daemon.held_back.push((to, message));
                }
                FeedAction::Send { to, message } => self.send(number, to, message),
            }
        }
    }

    fn send(&mut self, from: u32, to: SocketAddr, message: FeedMessage) {
        if matches!(message, FeedMessage::Report { .. }) {
            self.report_receivers.entry(from).or_default().insert(to);
        }
        self.in_transit.push((self.now + self.link_delay, from, to, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(at, ..)| *at <= now);
        self.in_transit = later;
        let due: Vec<(Timestamp, u32, SocketAddr, FeedMessage)> = due;
        for (_, from, to, message) in due {
            let number = self.daemons.keys().copied().find(|number| address(*number) == to);
            self.receive(number.expect("it exists"), from, message);
        }
    }

    fn receive(&mut self, number: u32, from: u32, message: FeedMessage) {
        let now = self.now;
        let daemon = self.daemon(number);
        match daemon.fault {
            Fault::Dead => return,
            Fault::Frozen => return daemon.frozen_inbox.push((from, message)),
            Fault::None | Fault::CutFromSource | Fault::HeldBack => {}
        }
        match message {
            FeedMessage::Subscribe { known, reply_to, sent_at } => {
                daemon.feed.receive_subscription(DaemonId(from), known, reply_to, sent_at, now);
            }
            FeedMessage::Report { report, echo } => daemon.feed.receive_report(report, echo, now),
        }
        daemon.feed.tick(now);
        self.run_actions(number);
    }

    fn update_measurements(&mut self) {
        let reads_for_itself = |daemon: &&Daemon| {
            daemon.fault == Fault::None && daemon.reading == SourceReading::ForItself
        };
        let readers = self.daemons.values().filter(reads_for_itself).count() as u64;
        self.own_reading_time = Duration(self.own_reading_time.0 + STEP.times(readers).0);
        let is_counted = |daemon: &&Daemon| self.struck_counts || daemon.fault == Fault::None;
        let healthy = self.daemons.values().filter(is_counted);
        let first_unknown = |known: u64| self.changes.iter().find(|at| self.revision(**at) > known);
        let oldest = healthy.filter_map(|daemon| first_unknown(daemon.known)).min();
        let age = oldest.map_or(Duration::ZERO, |oldest| self.now.since(*oldest));
        self.max_change_delay = self.max_change_delay.max(age);
    }
}

#[test]
fn calls_to_the_source_do_not_grow_with_the_daemons_that_share_a_reader() {
    let length = Duration::from_secs(30);
    let mut rates = BTreeMap::new();
    for daemons in [2, 12, 43, 166] {
        let mut zone = Zone::new(daemons);
        zone.pass(length, None);
        let rate = zone.calls as f64 / length.as_secs_f64();
        println!("{daemons} daemons: {rate:.1} calls a second");
        rates.insert(daemons, rate);
    }
    // Two daemons read for themselves, 0.5 calls a second each.
    assert!(rates[&2] <= 1.25, "{rates:?}");
    // Larger zones have one reader for each fifty daemons, which calls every 0.6 s.
    for daemons in [12, 43, 166] {
        let readers = f64::from(u32::div_ceil(daemons, 50));
        assert!(rates[&daemons] <= 2.0 * readers, "{rates:?}");
    }
}

/// A gateway's link carries 3.75 MB a second. The release of a third of 10,000 servers causes about 230
/// changes a second of 300 bytes each. A single reader would have to send 10 MB a second to 150 other daemons
/// of its zone.
#[test]
fn a_reader_has_no_more_subscribers_than_its_link_carries() {
    for daemons in [43, 166, 332] {
        let mut zone = Zone::new(daemons);
        zone.report_receivers.clear();
        zone.pass(Duration::from_secs(10), Some(Duration::from_millis(500)));
        let subscribers: BTreeMap<u32, usize> =
            zone.report_receivers.iter().map(|(reader, to)| (*reader, to.len())).collect();
        println!("{daemons} daemons: {subscribers:?}");
        let most = subscribers.values().max().copied().unwrap_or_default();
        // One and a half times an even share, since readers are assigned pseudo-randomly.
        assert!(most <= 75, "{daemons} daemons: {most} subscribers of one reader");
    }
}

#[test]
fn changes_are_known_in_time_despite_any_fault_of_the_reader() {
    struct Case {
        name: &'static str,
        fault: Fault,
        /// Duration of the fault; none if it is permanent and others come to consider the reader dead.
        length: Option<Duration>,
    }
    let cases = [
        Case { name: "ends", fault: Fault::Dead, length: None },
        Case { name: "is cut off", fault: Fault::CutFromSource, length: None },
        Case { name: "freezes", fault: Fault::Frozen, length: Some(Duration::from_millis(3_200)) },
        Case {
            name: "is held back",
            fault: Fault::HeldBack,
            length: Some(Duration::from_millis(5_500)),
        },
    ];
    for Case { name, fault, length } in cases {
        // Covers all phases of the reader's calls and of the changes.
        for phase in 0..20 {
            let mut zone = Zone::new(43);
            let interval = Some(Duration::from_millis(700));
            zone.pass(Duration::from_millis(2_000 + phase * 67), interval);
            let reader = zone.reader().expect("43 daemons share a reader");
            zone.inject_fault(reader, fault);
            zone.pass(length.unwrap_or(DEATH_DETECTION_TIME), interval);
            match length {
                Some(_) => zone.clear_fault(reader),
                None => zone.dead.push(reader),
            }
            zone.pass(Duration::from_secs(12), interval);
            let delay = zone.max_change_delay;
            assert!(delay <= MAX_CHANGE_DELAY, "the reader {name}, phase {phase}: {delay:?}");
        }
    }
}

/// Guards against daemons that go by reports which are ever older, because the way between them takes longer and
/// longer: a queue that fills, or a daemon that is short of processor time.
#[test]
fn changes_are_known_in_time_although_reports_take_longer_and_longer() {
    let growth = Duration::from_millis(500);
    let interval = Some(Duration::from_millis(700));
    for most in [Duration::from_secs(3), Duration::from_secs(6)] {
        let mut zone = Zone::new(43);
        while zone.link_delay < most {
            // Half a second more for each second that passes.
            for _ in 0..50 {
                zone.link_delay = Duration(zone.link_delay.0 + growth.0 / 50);
                zone.pass(STEP, interval);
            }
        }
        zone.pass(Duration::from_secs(12), interval);
        let delay = zone.max_change_delay;
        assert!(delay <= MAX_CHANGE_DELAY, "up to {most:?}: {delay:?}");
    }
}

/// Readers end one after the other. Their followers must switch to the next reader without reading for
/// themselves for long. A source that counts changes that it does not report makes this harder: the reports
/// of a new reader begin after the revision that its followers know.
#[test]
fn followers_switch_to_the_next_reader_at_the_cost_of_a_call_or_two() {
    const DAEMONS: u32 = 166;
    const READERS: f64 = 4.0;
    let mut zone = Zone::new(DAEMONS);
    let mut ended = 0;
    for _ in 0..6 {
        // The last one in their order is among those that end: its successor has read for nobody before.
        let readers: Vec<u32> = zone.healthy_readers().collect();
        let reader = readers[ended as usize % readers.len()];
        zone.inject_fault(reader, Fault::Dead);
        ended += 1;
        zone.pass(DEATH_DETECTION_TIME, None);
        zone.dead.push(reader);
        zone.pass(Duration::from_secs(4), None);
    }
    // A reader that ends has a fourth of them.
    let followers = f64::from(DAEMONS) / READERS;
    let own_reading = zone.own_reading_time.as_secs_f64() / f64::from(ended) / followers;
    println!("each follower reads for itself for {own_reading:.2} s for each reader that ended");
    // On average half of the interval of 0.6 s between reports of the next reader.
    assert!(own_reading <= 0.3, "{own_reading:.2} s");
    let paused = zone.daemons.values().filter(|daemon| daemon.reading == SourceReading::Paused);
    assert!(paused.count() as f64 >= f64::from(DAEMONS - ended) - 2.0 * READERS);
}

/// With two views of membership, a daemon may be the reader of some daemons and a follower of another. It
/// does not forward the reports that it receives. If it applied them, its followers would miss their changes
/// and find a gap before each of its own reports.
#[test]
fn a_reader_that_receives_reports_leaves_no_gap_for_its_followers() {
    let now = START;
    let report = |after, at| SourceReport { after, at, age: Duration::ZERO, contents: vec![1] };
    let mut reader = Feed::new(settings(), DaemonId(1), address(1));
    reader.record_read(report(90, 100), now);
    reader.receive_subscription(DaemonId(2), 100, address(2), None, now);
    reader.take_actions();
    reader.receive_report(report(100, 150), None, now);
    let is_apply =
        |action: &FeedAction| matches!(action, FeedAction::Order(FeedOrder::Apply { .. }));
    assert!(!reader.take_actions().iter().any(is_apply), "its own next read begins at 100");
    reader.record_read(report(100, 160), now);
    let sent = reader.take_actions();
    let to_follower = FeedAction::Send {
        to: address(2),
        message: FeedMessage::Report { report: report(100, 160), echo: None },
    };
    assert_eq!(sent, [to_follower]);
}

/// What a follower makes of a report that arrives one second after its subscription.
struct TrustCase {
    name: &'static str,
    echo: fn(subscribed_at: Timestamp) -> Option<SubscriptionEcho>,
    is_trusted: bool,
}

/// Guards against reports that count as new because of the age that their reader names, though they were held back on
/// their way, came from a reader that stood still, or answer a subscription of an earlier life.
#[test]
fn a_report_is_trusted_by_the_time_of_the_subscription_that_it_answers() {
    fn began(sent_at: Timestamp, call_began_after: i64) -> Option<SubscriptionEcho> {
        Some(SubscriptionEcho { sent_at, call_began_after })
    }
    let cases = [
        TrustCase { name: "new", echo: |at| began(at, 900_000), is_trusted: true },
        TrustCase { name: "held back", echo: |at| began(at, -1_500_000), is_trusted: false },
        TrustCase {
            name: "of an earlier life",
            echo: |at| began(at + Duration::from_secs(2), 0),
            is_trusted: false,
        },
        TrustCase { name: "of a build that does not tell", echo: |_| None, is_trusted: true },
    ];
    let zone = (1..=12).map(|number| (DaemonId(number), address(number))).collect();
    let members = FeedMembers { zone, region: Vec::new() };
    for TrustCase { name, echo, is_trusted } in cases {
        let mut follower = Feed::new(settings(), DaemonId(1), address(1));
        follower.review(&members, START);
        follower.tick(START);
        let subscribes = |action: &FeedAction| {
            matches!(action, FeedAction::Send { message: FeedMessage::Subscribe { .. }, .. })
        };
        assert!(follower.take_actions().iter().any(subscribes), "{name}: not a reader itself");
        let now = START + Duration::from_secs(1);
        let report = SourceReport { after: 0, at: 9, age: Duration::ZERO, contents: vec![1] };
        follower.receive_report(report, echo(START), now);
        follower.tick(now);
        let actions = follower.take_actions();
        let applies = |action: &FeedAction| matches!(action, FeedAction::Order(FeedOrder::Apply { report, .. }) if report.at == 9);
        assert!(actions.iter().any(applies), "{name}: changes count whatever their age");
        let pauses = FeedAction::Order(FeedOrder::Read(SourceReading::Paused));
        assert_eq!(actions.contains(&pauses), is_trusted, "{name}");
    }
}

/// Guards against a gateway that learns nothing while the source turns it alone away: in a zone with few daemons it
/// reads for itself.
#[test]
fn a_daemon_that_the_source_turns_away_gets_reports_of_another() {
    for daemons in [2, 4, 43] {
        for phase in 0..10 {
            let mut zone = Zone::new(daemons);
            let interval = Some(Duration::from_millis(700));
            zone.pass(Duration::from_millis(2_000 + phase * 67), interval);
            let struck = zone.reader().unwrap_or(1);
            zone.inject_fault(struck, Fault::CutFromSource);
            zone.struck_counts = true;
            zone.pass(Duration::from_secs(12), interval);
            zone.clear_fault(struck);
            zone.pass(Duration::from_secs(12), interval);
            let delay = zone.max_change_delay;
            assert!(delay <= MAX_CHANGE_DELAY, "{daemons} daemons, phase {phase}: {delay:?}");
            let calls = zone.calls;
            zone.pass(Duration::from_secs(10), None);
            // It reads for itself again, and nobody reads for it.
            let rate = (zone.calls - calls) as f64 / 10.0;
            assert!(rate <= 2.0, "{daemons} daemons: {rate} calls a second");
        }
    }
}

#[test]
fn a_daemon_that_was_frozen_catches_up_in_time() {
    let mut zone = Zone::new(43);
    let reader = zone.reader().expect("43 daemons share a reader");
    let frozen =
        zone.daemons.keys().copied().find(|number| *number != reader).expect("there are others");
    zone.inject_fault(frozen, Fault::Frozen);
    zone.pass(Duration::from_secs(3), Some(Duration::from_millis(700)));
    zone.clear_fault(frozen);
    zone.max_change_delay = Duration::ZERO;
    zone.pass(Duration::from_secs(10), Some(Duration::from_millis(700)));
    assert!(zone.max_change_delay <= MAX_CHANGE_DELAY, "{:?}", zone.max_change_delay);
}

#[test]
fn settings_out_of_bounds_are_named() {
    let wrong = FeedSettings { fewest_sharing: 1, ..FeedSettings::default() };
    let error = wrong.check().expect_err("one daemon shares with nobody");
    assert!(error.to_string().contains("feed.fewest_sharing"), "{error}");
    assert_eq!(FeedSettings::default().check(), Ok(()));
}
