//! Sharing what few daemons read of an outside source, in virtual time: what it costs at the source,
//! and how old what a daemon goes by may get, with a death in each role at the worst moment.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_node::feed::{
    Feed, FeedAction, FeedMessage, FeedOrder, FeedSettings, SourceReading, SourceReport,
};
use dahlia_types::{DaemonId, Duration, Timestamp};

const START: Timestamp = Timestamp(60_000_000);
const STEP: Duration = Duration::from_millis(20);
/// One way between two daemons of a zone.
const LINK: Duration = Duration::from_millis(1);
/// What a daemon that reads for others waits at the source, and what one that reads for itself does.
const SHORT_WAIT: Duration = Duration::from_millis(600);
const LONG_WAIT: Duration = Duration::from_millis(5_000);
/// Until others hold a daemon for dead.
const DETECTION: Duration = Duration::from_secs(8);
/// Within which a change must be known, as the large deployments of the users demand.
const DEMANDED: Duration = Duration::from_millis(4_000);
/// The source counts 5,000 changes a second that nobody is told of.
const REVISION_MICROS: u64 = 200;
const SETTLED: Duration = Duration::from_secs(8);

fn settings() -> FeedSettings {
    FeedSettings { freshness_ms: 2_000, ..FeedSettings::default() }
}

fn address(daemon: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon >> 8) as u8, daemon as u8], 9))
}

/// What strikes a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Its process has ended.
    Dead,
    /// It runs and is reached, and its calls to the source are never answered.
    CutFromSource,
    /// It does nothing, and takes in later what came meanwhile.
    Frozen,
    /// What it sends to other daemons does not leave, until it is well again.
    HeldUp,
}

struct Call {
    began: Timestamp,
    wait: Duration,
}

struct Daemon {
    feed: Feed,
    fault: Fault,
    reading: SourceReading,
    known: u64,
    is_behind: bool,
    call: Option<Call>,
    /// Messages that came while it was frozen, or were held up.
    waiting: Vec<(u32, FeedMessage)>,
    held_up: Vec<(SocketAddr, FeedMessage)>,
}

/// A zone of daemons before one source whose revision rises.
struct Zone {
    now: Timestamp,
    /// When each revision came, from the first on.
    changes: Vec<Timestamp>,
    calls: u64,
    daemons: BTreeMap<u32, Daemon>,
    /// Daemons that others hold for dead.
    dead: Vec<u32>,
    under_way: Vec<(Timestamp, u32, SocketAddr, FeedMessage)>,
    /// The longest that a sound daemon did not know of a change.
    longest: Duration,
    /// Time that daemons read for themselves, in all.
    alone: Duration,
    /// To whom each daemon has reported.
    reported_to: BTreeMap<u32, BTreeSet<SocketAddr>>,
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
            waiting: Vec::new(),
            held_up: Vec::new(),
        };
        let mut zone = Self {
            now: START,
            changes: vec![START],
            calls: 0,
            daemons: (1..=daemons).map(|number| (number, daemon(number))).collect(),
            dead: Vec::new(),
            under_way: Vec::new(),
            longest: Duration::ZERO,
            alone: Duration::ZERO,
            reported_to: BTreeMap::new(),
        };
        zone.pass(SETTLED, None);
        zone.calls = 0;
        zone.longest = Duration::ZERO;
        zone.alone = Duration::ZERO;
        zone
    }

    /// The source's revision: it rises all the time, by changes that nobody is told of.
    fn revision(&self, at: Timestamp) -> u64 {
        at.0 / REVISION_MICROS
    }

    /// Changes later than a revision, by their moments.
    fn changes_after(&self, known: u64) -> usize {
        self.changes.iter().filter(|at| self.revision(**at) > known).count()
    }

    /// Lets time pass; the source changes every `interval`.
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
            self.measure();
        }
    }

    fn strike(&mut self, number: u32, fault: Fault) {
        self.daemon(number).fault = fault;
        if fault == Fault::Dead {
            self.daemon(number).call = None;
        }
    }

    fn heal(&mut self, number: u32) {
        let daemon = self.daemon(number);
        daemon.fault = Fault::None;
        let held_up = std::mem::take(&mut daemon.held_up);
        held_up.into_iter().for_each(|(to, message)| self.send(number, to, message));
        let waiting = std::mem::take(&mut self.daemon(number).waiting);
        waiting.into_iter().for_each(|(from, message)| self.take(number, from, message));
    }

    fn daemon(&mut self, number: u32) -> &mut Daemon {
        self.daemons.get_mut(&number).expect("it exists")
    }

    /// The daemon that reads for others.
    fn reader(&self) -> Option<u32> {
        let mut daemons = self.daemons.iter();
        let reads = daemons.find(|(_, daemon)| daemon.reading == SourceReading::ForOthers);
        reads.map(|(number, _)| *number)
    }

    /// All daemons that read for others and run.
    fn sound_readers(&self) -> impl Iterator<Item = u32> {
        let sound = self.daemons.iter().filter(|(_, daemon)| daemon.fault == Fault::None);
        let readers = sound.filter(|(_, daemon)| daemon.reading == SourceReading::ForOthers);
        readers.map(|(number, _)| *number)
    }

    fn sharing(&self) -> Vec<(DaemonId, SocketAddr)> {
        let known = self.daemons.keys().filter(|number| !self.dead.contains(number));
        known.map(|number| (DaemonId(*number), address(*number))).collect()
    }

    fn step(&mut self, number: u32) {
        let (now, sharing) = (self.now, self.sharing());
        let daemon = self.daemon(number);
        if matches!(daemon.fault, Fault::Dead | Fault::Frozen) {
            return;
        }
        if daemon.feed.is_review_due(now) {
            daemon.feed.review(&sharing, now);
        }
        daemon.feed.tick(now);
        self.carry_out(number);
        self.read(number);
    }

    /// Calls the source, and takes in its answer.
    fn read(&mut self, number: u32) {
        let (now, revision) = (self.now, self.revision(self.now));
        let news = self.changes_after(self.daemons[&number].known);
        let daemon = self.daemon(number);
        if let Some(call) = &daemon.call {
            let is_over = news > 0 || now.since(call.began) >= call.wait;
            if daemon.fault == Fault::CutFromSource || !is_over {
                return;
            }
            let (after, age) = (daemon.known, now.since(call.began));
            daemon.call = None;
            daemon.known = revision;
            let contents = vec![0; news];
            daemon.feed.record_read(SourceReport { after, at: revision, age, contents }, now);
            return self.carry_out(number);
        }
        let wait = match daemon.reading {
            _ if std::mem::take(&mut daemon.is_behind) => Duration::ZERO,
            SourceReading::Paused => return,
            SourceReading::ForItself => LONG_WAIT,
            SourceReading::ForOthers => SHORT_WAIT,
        };
        daemon.call = Some(Call { began: now, wait });
        self.calls += 1;
    }

    fn carry_out(&mut self, number: u32) {
        for action in self.daemon(number).feed.take_actions() {
            let daemon = self.daemon(number);
            match action {
                FeedAction::Order(FeedOrder::Read(reading)) => {
                    daemon.reading = reading;
                    // A long watch is given up for others.
                    daemon.call.take_if(|_| reading == SourceReading::ForOthers);
                }
                FeedAction::Order(FeedOrder::Apply(report)) => {
                    assert!(report.after <= daemon.known, "daemon {number} would miss changes");
                    daemon.known = daemon.known.max(report.at);
                }
                FeedAction::Order(FeedOrder::CatchUp) => {
                    daemon.is_behind = true;
                    daemon.call = None;
                }
                FeedAction::Send { to, message } if daemon.fault == Fault::HeldUp => {
                    daemon.held_up.push((to, message));
                }
                FeedAction::Send { to, message } => self.send(number, to, message),
            }
        }
    }

    fn send(&mut self, from: u32, to: SocketAddr, message: FeedMessage) {
        if matches!(message, FeedMessage::Report(_)) {
            self.reported_to.entry(from).or_default().insert(to);
        }
        self.under_way.push((self.now + LINK, from, to, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.under_way).into_iter().partition(|(at, ..)| *at <= now);
        self.under_way = later;
        let due: Vec<(Timestamp, u32, SocketAddr, FeedMessage)> = due;
        for (_, from, to, message) in due {
            let number = self.daemons.keys().copied().find(|number| address(*number) == to);
            self.take(number.expect("it exists"), from, message);
        }
    }

    fn take(&mut self, number: u32, from: u32, message: FeedMessage) {
        let now = self.now;
        let daemon = self.daemon(number);
        match daemon.fault {
            Fault::Dead => return,
            Fault::Frozen => return daemon.waiting.push((from, message)),
            Fault::None | Fault::CutFromSource | Fault::HeldUp => {}
        }
        match message {
            FeedMessage::Subscribe { known, reply_to } => {
                daemon.feed.receive_subscription(DaemonId(from), known, reply_to, now);
            }
            FeedMessage::Report(report) => daemon.feed.receive_report(report, now),
        }
        daemon.feed.tick(now);
        self.carry_out(number);
    }

    fn measure(&mut self) {
        let reads_alone = |daemon: &&Daemon| {
            daemon.fault == Fault::None && daemon.reading == SourceReading::ForItself
        };
        let alone = self.daemons.values().filter(reads_alone).count() as u64;
        self.alone = Duration(self.alone.0 + STEP.times(alone).0);
        let sound = self.daemons.values().filter(|daemon| daemon.fault == Fault::None);
        let first_unknown = |known: u64| self.changes.iter().find(|at| self.revision(**at) > known);
        let oldest = sound.filter_map(|daemon| first_unknown(daemon.known)).min();
        let age = oldest.map_or(Duration::ZERO, |oldest| self.now.since(*oldest));
        self.longest = self.longest.max(age);
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
    // Two daemons read for themselves, 0.2 calls a second each.
    assert!(rates[&2] <= 0.5, "{rates:?}");
    // The others have one reader for each fifty, which asks every 0.6 s.
    for daemons in [12, 43, 166] {
        let readers = f64::from(u32::div_ceil(daemons, 50));
        assert!(rates[&daemons] <= 2.0 * readers, "{rates:?}");
    }
}

/// A gateway's link carries 3.75 MB a second. A release of a third of 10,000 servers is some 230 changes a
/// second of 300 bytes each: to 150 others of the zone that is 10 MB a second.
#[test]
fn no_reader_reports_to_more_than_its_link_carries() {
    for daemons in [43, 166, 332] {
        let mut zone = Zone::new(daemons);
        zone.reported_to.clear();
        zone.pass(Duration::from_secs(10), Some(Duration::from_millis(500)));
        let to_whom: BTreeMap<u32, usize> =
            zone.reported_to.iter().map(|(reader, to)| (*reader, to.len())).collect();
        println!("{daemons} daemons: {to_whom:?}");
        let most = to_whom.values().max().copied().unwrap_or_default();
        // Half as many again as an even share: who reports to whom is drawn.
        assert!(most <= 75, "{daemons} daemons: {most} subscribers of one reader");
    }
}

#[test]
fn changes_are_known_in_time_whatever_happens_to_the_reader() {
    struct Case {
        name: &'static str,
        fault: Fault,
        /// After that it is well again; none when it stays so and is held for dead in time.
        length: Option<Duration>,
    }
    let cases = [
        Case { name: "ends", fault: Fault::Dead, length: None },
        Case { name: "is cut off", fault: Fault::CutFromSource, length: None },
        Case { name: "freezes", fault: Fault::Frozen, length: Some(Duration::from_millis(3_200)) },
        Case {
            name: "is held up",
            fault: Fault::HeldUp,
            length: Some(Duration::from_millis(5_500)),
        },
    ];
    for Case { name, fault, length } in cases {
        // At each phase of the reader's calls and of the changes.
        for phase in 0..20 {
            let mut zone = Zone::new(43);
            let interval = Some(Duration::from_millis(700));
            zone.pass(Duration::from_millis(2_000 + phase * 67), interval);
            let reader = zone.reader().expect("43 daemons share a reader");
            zone.strike(reader, fault);
            zone.pass(length.unwrap_or(DETECTION), interval);
            match length {
                Some(_) => zone.heal(reader),
                None => zone.dead.push(reader),
            }
            zone.pass(Duration::from_secs(12), interval);
            let longest = zone.longest;
            assert!(longest <= DEMANDED, "the reader {name}, phase {phase}: {longest:?}");
        }
    }
}

/// Readers end one after the other, and nothing else happens: their followers must find the next one
/// without reading by themselves for long. In a source that counts changes which nobody is told of, what a
/// new reader reports begins later than what its followers know ends.
#[test]
fn followers_go_over_to_the_next_reader_at_the_cost_of_a_call_or_two() {
    const DAEMONS: u32 = 166;
    const READERS: f64 = 4.0;
    let mut zone = Zone::new(DAEMONS);
    let mut ended = 0;
    for _ in 0..6 {
        // The last one of their order among them: who takes its place has read for nobody before.
        let readers: Vec<u32> = zone.sound_readers().collect();
        let reader = readers[ended as usize % readers.len()];
        zone.strike(reader, Fault::Dead);
        ended += 1;
        zone.pass(DETECTION, None);
        zone.dead.push(reader);
        zone.pass(Duration::from_secs(4), None);
    }
    // A reader that ends has a fourth of them.
    let followers = f64::from(DAEMONS) / READERS;
    let alone = zone.alone.as_secs_f64() / f64::from(ended) / followers;
    println!("each follower reads for itself for {alone:.2} s for each reader that ended");
    // Until the next report of a reader that asks every 0.6 s: half of that.
    assert!(alone <= 0.3, "{alone:.2} s");
    let paused = zone.daemons.values().filter(|daemon| daemon.reading == SourceReading::Paused);
    assert!(paused.count() as f64 >= f64::from(DAEMONS - ended) - 2.0 * READERS);
}

/// Two views of who is there make a daemon a reader of some and a follower of another. What it is told it
/// does not report on: its followers would miss it, and find a gap before each of its own reports.
#[test]
fn a_reader_that_is_reported_to_leaves_its_followers_no_gap() {
    let now = START;
    let report = |after, at| SourceReport { after, at, age: Duration::ZERO, contents: vec![1] };
    let mut reader = Feed::new(settings(), DaemonId(1), address(1));
    reader.record_read(report(90, 100), now);
    reader.receive_subscription(DaemonId(2), 100, address(2), now);
    reader.take_actions();
    reader.receive_report(report(100, 150), now);
    let takes = |action: &FeedAction| matches!(action, FeedAction::Order(FeedOrder::Apply(_)));
    assert!(!reader.take_actions().iter().any(takes), "its own next read begins at 100");
    reader.record_read(report(100, 160), now);
    let sent = reader.take_actions();
    let to_follower =
        FeedAction::Send { to: address(2), message: FeedMessage::Report(report(100, 160)) };
    assert_eq!(sent, [to_follower]);
}

#[test]
fn a_daemon_that_was_frozen_catches_up_in_time() {
    let mut zone = Zone::new(43);
    let reader = zone.reader().expect("43 daemons share a reader");
    let frozen = zone.daemons.keys().copied().find(|number| *number != reader).expect("another");
    zone.strike(frozen, Fault::Frozen);
    zone.pass(Duration::from_secs(3), Some(Duration::from_millis(700)));
    zone.heal(frozen);
    zone.longest = Duration::ZERO;
    zone.pass(Duration::from_secs(10), Some(Duration::from_millis(700)));
    assert!(zone.longest <= DEMANDED, "{:?}", zone.longest);
}

#[test]
fn settings_out_of_bounds_are_named() {
    let wrong = FeedSettings { fewest_sharing: 1, ..FeedSettings::default() };
    let error = wrong.check().expect_err("one daemon shares with nobody");
    assert!(error.to_string().contains("feed.fewest_sharing"), "{error}");
    assert_eq!(FeedSettings::default().check(), Ok(()));
}
