//! The daemons of a zone and a source in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_node::feed::{
    Feed, FeedAction, FeedMembers, FeedMessage, FeedOrder, FeedSettings, SourceReading,
    SourceReport,
};
use dahlia_types::{DaemonId, Duration, Timestamp};

pub const START: Timestamp = Timestamp(60_000_000);
pub const STEP: Duration = Duration::from_millis(20);
/// One-way delay between two daemons of a zone.
pub const LINK_DELAY: Duration = Duration::from_millis(1);
/// How long a call of a daemon that reads for others waits at the source for changes.
pub const SHORT_WAIT: Duration = Duration::from_millis(600);
/// How long a call of a daemon that reads for itself waits at the source for changes: half of the time until a
/// change must be known, so that a lost answer is noticed in time.
pub const LONG_WAIT: Duration = Duration::from_millis(2_000);
/// Time until others consider a daemon dead.
pub const DEATH_DETECTION_TIME: Duration = Duration::from_secs(8);
/// Maximum time until a change must be known. The users' large deployments require it.
pub const MAX_CHANGE_DELAY: Duration = Duration::from_millis(4_000);
/// Microseconds per revision of the source: it counts 5,000 changes a second that it does not report.
pub const REVISION_MICROS: u64 = 200;
pub const SETTLING_TIME: Duration = Duration::from_secs(8);

pub fn settings() -> FeedSettings {
    FeedSettings {
        freshness_ms: 2_000,
        own_read_ms: LONG_WAIT.as_millis(),
        ..FeedSettings::default()
    }
}

pub fn address(daemon: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon >> 8) as u8, daemon as u8], 9))
}

/// A fault of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
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
pub struct Call {
    pub started_at: Timestamp,
    pub wait: Duration,
}

pub struct Daemon {
    pub feed: Feed,
    pub fault: Fault,
    pub reading: SourceReading,
    pub known: u64,
    pub is_behind: bool,
    pub call: Option<Call>,
    /// Messages that arrived while it was frozen.
    pub frozen_inbox: Vec<(u32, FeedMessage)>,
    pub held_back: Vec<(SocketAddr, FeedMessage)>,
}

/// The daemons of a zone, and a source whose revision increases all the time.
pub struct Zone {
    pub now: Timestamp,
    /// When each reported change happened.
    pub changes: Vec<Timestamp>,
    pub calls: u64,
    pub daemons: BTreeMap<u32, Daemon>,
    /// Daemons that others consider dead.
    pub dead: Vec<u32>,
    pub in_transit: Vec<(Timestamp, u32, SocketAddr, FeedMessage)>,
    pub link_delay: Duration,
    /// Whether changes must be known in time to daemons with a fault, too.
    pub struck_counts: bool,
    /// Maximum time that a change stayed unknown to a healthy daemon.
    pub max_change_delay: Duration,
    /// Total time that daemons read for themselves.
    pub own_reading_time: Duration,
    /// The receivers of the reports of each daemon.
    pub report_receivers: BTreeMap<u32, BTreeSet<SocketAddr>>,
}

impl Zone {
    pub fn new(daemons: u32) -> Self {
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
    pub fn revision(&self, at: Timestamp) -> u64 {
        at.0 / REVISION_MICROS
    }

    /// Number of reported changes after a revision.
    pub fn changes_after(&self, known: u64) -> usize {
        self.changes.iter().filter(|at| self.revision(**at) > known).count()
    }

    /// Lets time pass, with a change of the source every `interval`.
    pub fn pass(&mut self, length: Duration, interval: Option<Duration>) {
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

    pub fn inject_fault(&mut self, number: u32, fault: Fault) {
        self.daemon(number).fault = fault;
        if fault == Fault::Dead {
            self.daemon(number).call = None;
        }
    }

    pub fn clear_fault(&mut self, number: u32) {
        let daemon = self.daemon(number);
        daemon.fault = Fault::None;
        let held_back = std::mem::take(&mut daemon.held_back);
        held_back.into_iter().for_each(|(to, message)| self.send(number, to, message));
        let frozen_inbox = std::mem::take(&mut self.daemon(number).frozen_inbox);
        frozen_inbox.into_iter().for_each(|(from, message)| self.receive(number, from, message));
    }

    pub fn daemon(&mut self, number: u32) -> &mut Daemon {
        self.daemons.get_mut(&number).expect("it exists")
    }

    /// The daemon that reads for others.
    pub fn reader(&self) -> Option<u32> {
        let mut daemons = self.daemons.iter();
        let reader = daemons.find(|(_, daemon)| daemon.reading == SourceReading::ForOthers);
        reader.map(|(number, _)| *number)
    }

    /// All daemons that read for others and have no fault.
    pub fn healthy_readers(&self) -> impl Iterator<Item = u32> {
        let healthy = self.daemons.iter().filter(|(_, daemon)| daemon.fault == Fault::None);
        let readers = healthy.filter(|(_, daemon)| daemon.reading == SourceReading::ForOthers);
        readers.map(|(number, _)| *number)
    }

    pub fn live_members(&self) -> FeedMembers {
        let live = self.daemons.keys().filter(|number| !self.dead.contains(number));
        let zone: Vec<_> = live.map(|number| (DaemonId(*number), address(*number))).collect();
        FeedMembers { region: zone.clone(), zone }
    }

    pub fn step(&mut self, number: u32) {
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
    pub fn call_source(&mut self, number: u32) {
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

    pub fn run_actions(&mut self, number: u32) {
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

    pub fn send(&mut self, from: u32, to: SocketAddr, message: FeedMessage) {
        if matches!(message, FeedMessage::Report { .. }) {
            self.report_receivers.entry(from).or_default().insert(to);
        }
        self.in_transit.push((self.now + self.link_delay, from, to, message));
    }

    pub fn deliver(&mut self) {
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

    pub fn receive(&mut self, number: u32, from: u32, message: FeedMessage) {
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

    pub fn update_measurements(&mut self) {
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
