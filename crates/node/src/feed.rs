//! How many daemons keep up with an outside source of which each call costs: one daemon of a zone, or a
//! few of a large one, reads it and reports what it read to the others of its zone.
//!
//! What makes that safe is the time as of which a report holds. A report says that nothing else has
//! changed up to a revision, and how long ago the call began that found so. A daemon without a
//! report that is fresh enough reads the source by itself until it has one again; so a reader that
//! died, hangs, was cut off or is fed old answers costs the others no more than that bound. Only
//! what a daemon has read itself is sent on as it comes, so that no report goes round; what it was
//! told it keeps, for those that come to it when it reads for others.
//!
//! Revisions decide what is news, never the order of arrival. A report that begins later than what
//! is known here leaves a gap: then the source is read.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, InvalidSetting, Timestamp, check_range};
use serde::{Deserialize, Serialize};

use crate::zone_choice::{Purpose, chosen, serving};

/// Bytes of one report; a longer one is sent without its contents, so that each daemon reads for
/// itself. At 30 Mbit/s copies of the longest for all subscribers of a reader take 1.3 s.
const LONGEST_REPORT: usize = 96 * 1024;
/// Bytes of earlier reports that are kept for daemons that missed one or come new: some seven seconds
/// of 230 changes a second, a release of a third of 10,000 servers.
const KEPT_BYTES: usize = 512 * 1024;
/// Renewals that a subscriber may miss.
const MISSED_RENEWALS: u64 = 3;
/// How long a reader is passed over that has reported nothing fresh.
const PASSED_OVER: Duration = Duration::from_secs(10);

/// Settings of sharing what is read of the source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FeedSettings {
    /// Milliseconds after which what was reported is too old to go by.
    pub freshness_ms: u64,
    /// Daemons of a zone from which on they share a reader. A reader asks some five times as often
    /// as a daemon that reads for itself.
    pub fewest_sharing: usize,
    /// Milliseconds between renewals of a subscription.
    pub renewal_ms: u64,
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self { freshness_ms: 1_000, fewest_sharing: 6, renewal_ms: 1_000 }
    }
}

impl FeedSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("feed.freshness_ms", self.freshness_ms, 100, 60_000)?;
        check_range("feed.fewest_sharing", self.fewest_sharing, 2, 10_000)?;
        check_range("feed.renewal_ms", self.renewal_ms, 100, 60_000)
    }

    fn freshness(&self) -> Duration {
        Duration::from_millis(self.freshness_ms)
    }

    fn renewal(&self) -> Duration {
        Duration::from_millis(self.renewal_ms)
    }
}

/// What was read of the source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceReport {
    /// The contents are all changes later than this revision.
    pub after: u64,
    /// And up to this one.
    pub at: u64,
    /// How long ago the call began that found so.
    pub age: Duration,
    /// The driver's encoding of the changes.
    pub contents: Vec<u8>,
}

/// What daemons say to each other of the source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// The sender wants reports, for a few renewals from now.
    Subscribe {
        /// The revision up to which it knows all.
        known: u64,
        /// Where reports go.
        reply_to: SocketAddr,
    },
    /// A report.
    Report(SourceReport),
}

/// Whether this daemon should read the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceReading {
    /// What others report is enough.
    Paused,
    /// It should, for itself.
    ForItself,
    /// It should, often enough that its reports stay fresh.
    ForOthers,
}

/// What the driver should do about the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedOrder {
    /// Read it, or not.
    Read(SourceReading),
    /// Take in what another daemon read. It follows on what is known here.
    Apply(SourceReport),
    /// Read what changed up to now, at once: what another daemon reports begins later than what is known
    /// here ends, and so will all that it reports.
    CatchUp,
}

/// What the node should do for the feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedAction {
    /// Give the driver an order.
    Order(FeedOrder),
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: FeedMessage,
    },
}

struct Subscriber {
    address: SocketAddr,
    until: Timestamp,
}

/// Who reports to this daemon.
struct Reader {
    daemon: DaemonId,
    since: Timestamp,
}

/// A report, and when it was made here.
struct Kept {
    report: SourceReport,
    at: Timestamp,
}

impl Kept {
    fn report(&self, now: Timestamp) -> SourceReport {
        let age = self.report.age.as_micros() + now.since(self.at).as_micros();
        SourceReport { age: Duration::from_micros(age), ..self.report.clone() }
    }
}

/// This daemon's part in the feed.
pub struct Feed {
    settings: FeedSettings,
    own: DaemonId,
    own_address: SocketAddr,
    /// All changes up to here are known.
    known: u64,
    /// When this daemon last had an answer of the source.
    read_at: Option<Timestamp>,
    /// As of then nothing later had happened, by what others reported.
    reported_as_of: Option<Timestamp>,
    reader: Option<Reader>,
    passed_over: BTreeMap<DaemonId, Timestamp>,
    subscribers: BTreeMap<DaemonId, Subscriber>,
    /// Reports of late, its own and others', the newest last.
    kept: VecDeque<Kept>,
    ordered: SourceReading,
    /// Until then the driver is not told again to catch up.
    next_catch_up: Timestamp,
    next_review: Timestamp,
    actions: Vec<FeedAction>,
}

impl Feed {
    /// A daemon that knows nothing yet and reads for itself.
    pub fn new(settings: FeedSettings, own: DaemonId, own_address: SocketAddr) -> Self {
        Self {
            settings,
            own,
            own_address,
            known: 0,
            read_at: None,
            reported_as_of: None,
            reader: None,
            passed_over: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            kept: VecDeque::new(),
            ordered: SourceReading::ForItself,
            next_catch_up: Timestamp::ZERO,
            next_review: Timestamp::ZERO,
            actions: Vec::new(),
        }
    }

    /// Whether [`Self::review`] is due.
    pub fn is_review_due(&self, now: Timestamp) -> bool {
        now >= self.next_review
    }

    /// Chooses a reader among the daemons of the zone that share one, this one included, and
    /// renews the subscription.
    pub fn review(&mut self, sharing: &[(DaemonId, SocketAddr)], now: Timestamp) {
        self.next_review = now + self.settings.renewal();
        self.subscribers.retain(|_, subscriber| now < subscriber.until);
        self.passed_over.retain(|_, until| now < *until);
        let is_serving = self.is_serving(now);
        let Some((daemon, address)) = self.choose_reader(sharing).filter(|_| !is_serving) else {
            self.reader = None;
            return;
        };
        if self.reader.as_ref().is_none_or(|reader| reader.daemon != daemon) {
            self.reader = Some(Reader { daemon, since: now });
        }
        let message = FeedMessage::Subscribe { known: self.known, reply_to: self.own_address };
        self.actions.push(FeedAction::Send { to: address, message });
    }

    /// Who is to report to this daemon: one of the first of its zone, in an order that all agree on, as
    /// many as the zone's size needs. None when this daemon is one of them, or when too few share.
    fn choose_reader(&self, sharing: &[(DaemonId, SocketAddr)]) -> Option<(DaemonId, SocketAddr)> {
        if sharing.len() < self.settings.fewest_sharing {
            return None;
        }
        let is_passed_over = |daemon| self.passed_over.contains_key(&daemon);
        let readers = chosen(sharing, Purpose::ReadSource, is_passed_over);
        serving(self.own, &readers, Purpose::ReadSource)
    }

    /// Decides anew whether to read.
    pub fn tick(&mut self, now: Timestamp) {
        self.pass_over_silent(now);
        let reading = self.reading(now);
        if reading != self.ordered {
            self.ordered = reading;
            self.actions.push(FeedAction::Order(FeedOrder::Read(reading)));
        }
    }

    /// Another daemon wants reports.
    pub fn subscribed(
        &mut self,
        subscriber: DaemonId,
        known: u64,
        address: SocketAddr,
        now: Timestamp,
    ) {
        let lifetime = Duration::from_millis(self.settings.renewal_ms * MISSED_RENEWALS);
        let until = now + lifetime;
        let earlier = self.subscribers.insert(subscriber, Subscriber { address, until });
        let is_new = earlier.is_none_or(|earlier| earlier.until <= now);
        let newest = self.kept.back().map_or(0, |kept| kept.report.at);
        if !is_new && known >= newest {
            return;
        }
        // The newest one also when it is no news: it says as of when that is so.
        let is_missing = |kept: &&Kept| kept.report.at > known || kept.report.at == newest;
        let missing: Vec<SourceReport> =
            self.kept.iter().filter(is_missing).map(|kept| kept.report(now)).collect();
        for report in missing {
            self.send(address, report);
        }
    }

    /// Another daemon reported.
    pub fn reported(&mut self, report: SourceReport, now: Timestamp) {
        // One that is behind says nothing of what came after; and others go by what this daemon reads.
        if report.at < self.known || self.is_serving(now) {
            return;
        }
        if report.after > self.known {
            self.reported_as_of = None;
            self.catch_up(now);
            return;
        }
        self.known = report.at;
        let as_of = now - report.age;
        self.reported_as_of = self.reported_as_of.max(Some(as_of));
        // For those that subscribe here next, when this daemon has become their reader.
        self.keep(report.clone(), now);
        self.actions.push(FeedAction::Order(FeedOrder::Apply(report)));
    }

    /// A source may count changes that nobody is told of. Then a read that waits for news lasts, and what
    /// others report meanwhile never follows on what is known here.
    fn catch_up(&mut self, now: Timestamp) {
        if now >= self.next_catch_up {
            self.next_catch_up = now + self.settings.freshness();
            self.actions.push(FeedAction::Order(FeedOrder::CatchUp));
        }
    }

    /// This daemon has read the source.
    pub fn read(&mut self, mut report: SourceReport, now: Timestamp) {
        self.known = self.known.max(report.at);
        self.read_at = Some(now);
        if report.contents.len() > LONGEST_REPORT {
            report.contents.clear();
            report.after = report.at;
        }
        let addresses: Vec<SocketAddr> = self.current_subscribers(now).collect();
        for address in addresses {
            self.send(address, report.clone());
        }
        self.keep(report, now);
    }

    /// What to do since the last call.
    pub fn take_actions(&mut self) -> Vec<FeedAction> {
        std::mem::take(&mut self.actions)
    }

    fn keep(&mut self, report: SourceReport, now: Timestamp) {
        // Of reports without news the newest says all.
        let is_repeat = |kept: &Kept| kept.report.after == kept.report.at;
        if self.kept.back().is_some_and(|last| is_repeat(last) && last.report.at == report.after) {
            self.kept.pop_back();
        }
        self.kept.push_back(Kept { report, at: now });
        let bytes = |kept: &VecDeque<Kept>| -> usize {
            kept.iter().map(|kept| kept.report.contents.len()).sum()
        };
        while self.kept.len() > 1 && bytes(&self.kept) > KEPT_BYTES {
            self.kept.pop_front();
        }
    }

    fn send(&mut self, to: SocketAddr, report: SourceReport) {
        self.actions.push(FeedAction::Send { to, message: FeedMessage::Report(report) });
    }

    /// Whether others go by what this daemon reads of the source, and it does read it. What it is told by
    /// others meanwhile would be missing in what it reports.
    fn is_serving(&self, now: Timestamp) -> bool {
        let freshness = self.settings.freshness();
        let reads = self.read_at.is_some_and(|read_at| now.since(read_at) <= freshness);
        reads && self.current_subscribers(now).next().is_some()
    }

    fn current_subscribers(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> {
        let current = self.subscribers.values().filter(move |subscriber| now < subscriber.until);
        current.map(|subscriber| subscriber.address)
    }

    fn reading(&self, now: Timestamp) -> SourceReading {
        if self.current_subscribers(now).next().is_some() {
            return SourceReading::ForOthers;
        }
        match self.reader.is_some() && self.is_fresh(now) {
            true => SourceReading::Paused,
            false => SourceReading::ForItself,
        }
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.reported_as_of.is_some_and(|as_of| now.since(as_of) <= self.settings.freshness())
    }

    /// A reader that has reported nothing fresh for long is passed over for a while.
    fn pass_over_silent(&mut self, now: Timestamp) {
        let Some(reader) = &self.reader else { return };
        let is_new = now.since(reader.since) <= self.settings.freshness();
        if is_new || self.is_fresh(now) {
            return;
        }
        log::info!(target: "feed", reader:% = reader.daemon; "Nothing fresh is reported.");
        self.passed_over.insert(reader.daemon, now + PASSED_OVER);
        self.reader = None;
        self.next_review = now;
    }
}
