//! Lets many daemons follow an outside source whose calls are expensive. One daemon of a zone, or a few of a
//! large zone, reads the source and reports what it read to the others of its zone.
//!
//! Each report carries the time as of which it holds, so that no daemon relies on an outdated one. A report
//! says that nothing else has changed up to a revision, and when the call that found this began. Its receiver
//! counts that time by its own clock, from its own subscription, so the time that a report spent in queues and
//! on links is part of its age. A daemon without a fresh enough report reads the source by itself until it has
//! one again. A reader that died, hangs, was cut off or gets old answers therefore delays the others by no more
//! than the freshness bound. A daemon sends on only what it has read itself, so that no report circulates. It
//! keeps reports of others for daemons that subscribe when it becomes a reader.
//!
//! Reports are ordered by revision, never by arrival. A report that begins after the last revision known here
//! leaves a gap; then the source is read.

mod messages;
mod settings;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, Timestamp};

pub use self::messages::{FeedMessage, FeedOrder, SourceReading, SourceReport, SubscriptionEcho};
pub use self::settings::FeedSettings;

use crate::zone_choice::{ZoneRole, choose, choose_for};

/// Maximum size of a report in bytes. A longer one is sent without its contents, so that each daemon reads for
/// itself. At 30 Mbit/s, sending a report of this size to all subscribers of a reader takes 1.3 s.
const MAX_REPORT_BYTES: usize = 96 * 1024;
/// Bytes of earlier reports kept for daemons that missed one or are new: about seven seconds of 230 changes
/// a second, the rate when a third of 10,000 servers is released.
const MAX_KEPT_BYTES: usize = 512 * 1024;
/// Number of renewal intervals after which a subscription expires, unless it is renewed.
const MISSED_RENEWALS: u64 = 3;
/// Number of own subscriptions whose times are remembered. A report that answers an older one came too late.
const MAX_KEPT_SUBSCRIPTIONS: usize = 8;
/// How long a reader without fresh reports is passed over, and this daemon when the source does not answer it.
const PASS_OVER_TIME: Duration = Duration::from_secs(10);

/// An action that the node carries out for the feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedAction {
    /// Give the driver an order.
    Order(FeedOrder),
    /// Send a message; it may be lost.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The message.
        message: FeedMessage,
    },
}

struct Subscriber {
    address: SocketAddr,
    expires_at: Timestamp,
    received_at: Timestamp,
    /// When the subscription was sent, by the subscriber's clock.
    sent_at: Option<Timestamp>,
}

impl Subscriber {
    /// The echo for a report of a call that began at `began_at`, by the clock of this daemon.
    fn echo(&self, began_at: Timestamp) -> Option<SubscriptionEcho> {
        let after = began_at.0 as i64 - self.received_at.0 as i64;
        self.sent_at.map(|sent_at| SubscriptionEcho { sent_at, call_began_after: after })
    }
}

/// The daemon that this one subscribes to.
struct Reader {
    daemon: DaemonId,
    chosen_at: Timestamp,
    /// Whether it only stands in until the source answers this daemon, which goes on asking.
    is_substitute: bool,
}

/// The daemons among which a reader is chosen.
#[derive(Debug, Clone, Default)]
pub struct FeedMembers {
    /// Those of the zone that follow the source, including this one.
    pub zone: Vec<(DaemonId, SocketAddr)>,
    /// Those of the region.
    pub region: Vec<(DaemonId, SocketAddr)>,
}

/// A report kept for subscribers, and when it was stored.
struct KeptReport {
    report: SourceReport,
    stored_at: Timestamp,
}

impl KeptReport {
    /// Returns the report with its current age.
    fn aged_report(&self, now: Timestamp) -> SourceReport {
        let age = self.report.age.as_micros() + now.since(self.stored_at).as_micros();
        SourceReport { age: Duration::from_micros(age), ..self.report.clone() }
    }
}

/// The state of this daemon in the feed.
pub struct Feed {
    settings: FeedSettings,
    own: DaemonId,
    own_address: SocketAddr,
    /// All changes up to this revision are known.
    known_revision: u64,
    /// When the source last answered this daemon.
    last_read_at: Option<Timestamp>,
    /// Since when this daemon reads the source; none while it need not.
    reading_since: Option<Timestamp>,
    /// Time as of which reports of others are complete.
    reported_as_of: Option<Timestamp>,
    reader: Option<Reader>,
    /// When the last subscriptions were sent, the newest last.
    sent_subscriptions: VecDeque<Timestamp>,
    passed_over: BTreeMap<DaemonId, Timestamp>,
    subscribers: BTreeMap<DaemonId, Subscriber>,
    /// Recent reports, its own and those of others, the newest last.
    kept: VecDeque<KeptReport>,
    /// The last order to the driver.
    ordered_reading: SourceReading,
    /// The driver is not ordered to catch up again before then.
    next_catch_up: Timestamp,
    next_review: Timestamp,
    actions: Vec<FeedAction>,
}

impl Feed {
    /// Creates the state of a daemon that knows nothing yet and reads for itself.
    pub fn new(settings: FeedSettings, own: DaemonId, own_address: SocketAddr) -> Self {
        Self {
            settings,
            own,
            own_address,
            known_revision: 0,
            last_read_at: None,
            reading_since: None,
            reported_as_of: None,
            reader: None,
            sent_subscriptions: VecDeque::new(),
            passed_over: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            kept: VecDeque::new(),
            ordered_reading: SourceReading::ForItself,
            next_catch_up: Timestamp::ZERO,
            next_review: Timestamp::ZERO,
            actions: Vec::new(),
        }
    }

    /// Whether [`Self::review`] is due.
    pub fn is_review_due(&self, now: Timestamp) -> bool {
        now >= self.next_review
    }

    /// Chooses a reader, if one is needed, and renews the subscription.
    pub fn review(&mut self, members: &FeedMembers, now: Timestamp) {
        self.next_review = now + self.settings.renewal();
        self.subscribers.retain(|_, subscriber| now < subscriber.expires_at);
        self.passed_over.retain(|_, until| now < *until);
        let is_reading_for_others = self.is_reading_for_others(now);
        let Some((daemon, address)) =
            self.choose_reader(members).filter(|_| !is_reading_for_others)
        else {
            self.reader = None;
            return;
        };
        let known = self.reader.as_ref().filter(|reader| reader.daemon == daemon);
        let chosen_at = known.map_or(now, |reader| reader.chosen_at);
        let is_substitute = !self.shares_reader(members);
        self.reader = Some(Reader { daemon, chosen_at, is_substitute });
        self.sent_subscriptions.push_back(now);
        if self.sent_subscriptions.len() > MAX_KEPT_SUBSCRIPTIONS {
            self.sent_subscriptions.pop_front();
        }
        let message = FeedMessage::Subscribe {
            known: self.known_revision,
            reply_to: self.own_address,
            sent_at: Some(now),
        };
        self.actions.push(FeedAction::Send { to: address, message });
    }

    /// Chooses the reader of this daemon among the readers of the zone, or of the region if too few daemons of the
    /// zone share and the source does not answer this one. None if this daemon is a reader, or reads for itself.
    fn choose_reader(&self, members: &FeedMembers) -> Option<(DaemonId, SocketAddr)> {
        let is_passed_over = |daemon| self.passed_over.contains_key(&daemon);
        let candidates = match self.shares_reader(members) {
            true => &members.zone,
            false if is_passed_over(self.own) => &members.region,
            false => return None,
        };
        let readers = choose(candidates, ZoneRole::SourceReader, is_passed_over);
        choose_for(self.own, &readers, ZoneRole::SourceReader)
    }

    /// Whether so many daemons of the zone follow the source that they share a reader.
    fn shares_reader(&self, members: &FeedMembers) -> bool {
        members.zone.len() >= self.settings.fewest_sharing
    }

    /// Updates whether this daemon should read the source.
    pub fn tick(&mut self, now: Timestamp) {
        self.pass_over_stale_reader(now);
        self.pass_over_itself_if_unanswered(now);
        let reading = self.required_reading(now);
        match reading {
            SourceReading::Paused => self.reading_since = None,
            _ => drop(self.reading_since.get_or_insert(now)),
        }
        if reading != self.ordered_reading {
            self.ordered_reading = reading;
            self.actions.push(FeedAction::Order(FeedOrder::Read(reading)));
        }
    }

    /// Handles a subscription of another daemon.
    pub fn receive_subscription(
        &mut self,
        subscriber: DaemonId,
        known: u64,
        address: SocketAddr,
        sent_at: Option<Timestamp>,
        now: Timestamp,
    ) {
        let lifetime = Duration::from_millis(self.settings.renewal_ms * MISSED_RENEWALS);
        let expires_at = now + lifetime;
        let current = Subscriber { address, expires_at, received_at: now, sent_at };
        let previous = self.subscribers.insert(subscriber, current);
        let is_new = previous.is_none_or(|previous| previous.expires_at <= now);
        let newest = self.kept.back().map_or(0, |kept| kept.report.at);
        if !is_new && known >= newest {
            return;
        }
        // The newest report is sent even if it adds no changes: it carries the time as of which that holds.
        let is_missing = |kept: &&KeptReport| kept.report.at > known || kept.report.at == newest;
        let missing: Vec<SourceReport> =
            self.kept.iter().filter(is_missing).map(|kept| kept.aged_report(now)).collect();
        for report in missing {
            self.send(subscriber, report, now);
        }
    }

    /// Handles a report of another daemon.
    pub fn receive_report(
        &mut self,
        report: SourceReport,
        echo: Option<SubscriptionEcho>,
        now: Timestamp,
    ) {
        // An older report says nothing about later changes. While others rely on what this daemon reads, it
        // takes no reports.
        if report.at < self.known_revision || self.is_reading_for_others(now) {
            return;
        }
        let age = self.report_age(&report, echo, now);
        if report.after > self.known_revision {
            return self.receive_report_with_gap(age, now);
        }
        self.known_revision = report.at;
        let way = age.filter(|_| echo.is_some());
        let way = way.map(|age| Duration(age.0.saturating_sub(report.age.0)));
        let report = SourceReport { age: age.unwrap_or(report.age), ..report };
        self.reported_as_of = self.reported_as_of.max(age.map(|age| now - age));
        // Kept for daemons that subscribe here when this daemon becomes their reader.
        self.keep(report.clone(), now);
        self.actions.push(FeedAction::Order(FeedOrder::Apply { report, age, way }));
    }

    /// Handles a report that begins after the revision known here. Its changes cannot be applied, but it shows that the
    /// source answered.
    fn receive_report_with_gap(&mut self, age: Option<Duration>, now: Timestamp) {
        let is_substitute = self.reader.as_ref().is_some_and(|reader| reader.is_substitute);
        // A substitute is no reason to pause, and with the next answer of the source it is not needed any more.
        self.reported_as_of = age.map(|age| now - age).filter(|_| is_substitute);
        if let Some(age) = age {
            self.actions.push(FeedAction::Order(FeedOrder::SourceAnswered { age }));
        }
        self.order_catch_up(now);
    }

    /// Returns how long ago the call of a report began. By this daemon's clock, unless its reader is of a build that
    /// returns no time; none if it answers no subscription of this daemon's life.
    fn report_age(
        &self,
        report: &SourceReport,
        echo: Option<SubscriptionEcho>,
        now: Timestamp,
    ) -> Option<Duration> {
        match echo {
            Some(_) => self.age_by_own_clock(echo, now),
            None => Some(report.age),
        }
    }

    /// Returns how long ago the call of a report began at most, whatever queues and links held the report back.
    fn age_by_own_clock(&self, echo: Option<SubscriptionEcho>, now: Timestamp) -> Option<Duration> {
        let echo = echo.filter(|echo| self.sent_subscriptions.contains(&echo.sent_at))?;
        Some(now.since(echo.call_began_at()))
    }

    /// Orders the driver to read at once. A source may count changes that it does not report. Then a read that
    /// waits for changes takes long, and reports of others in the meantime never continue from the revision
    /// known here.
    fn order_catch_up(&mut self, now: Timestamp) {
        if now >= self.next_catch_up {
            self.next_catch_up = now + self.settings.freshness();
            self.actions.push(FeedAction::Order(FeedOrder::CatchUp));
        }
    }

    /// Records what this daemon has read, and reports it to subscribers.
    pub fn record_read(&mut self, mut report: SourceReport, now: Timestamp) {
        self.known_revision = self.known_revision.max(report.at);
        self.last_read_at = Some(now);
        self.passed_over.remove(&self.own);
        if report.contents.len() > MAX_REPORT_BYTES {
            report.contents.clear();
            report.after = report.at;
        }
        let subscribers: Vec<DaemonId> = self.current_subscribers(now).collect();
        for subscriber in subscribers {
            self.send(subscriber, report.clone(), now);
        }
        self.keep(report, now);
    }

    /// Takes the actions that are due since the last call.
    pub fn take_actions(&mut self) -> Vec<FeedAction> {
        std::mem::take(&mut self.actions)
    }

    fn keep(&mut self, report: SourceReport, now: Timestamp) {
        // Of reports without changes, only the newest is needed.
        let is_empty = |kept: &KeptReport| kept.report.after == kept.report.at;
        if self.kept.back().is_some_and(|last| is_empty(last) && last.report.at == report.after) {
            self.kept.pop_back();
        }
        self.kept.push_back(KeptReport { report, stored_at: now });
        let bytes = |kept: &VecDeque<KeptReport>| -> usize {
            kept.iter().map(|kept| kept.report.contents.len()).sum()
        };
        while self.kept.len() > 1 && bytes(&self.kept) > MAX_KEPT_BYTES {
            self.kept.pop_front();
        }
    }

    fn send(&mut self, subscriber: DaemonId, report: SourceReport, now: Timestamp) {
        let Some(subscriber) = self.subscribers.get(&subscriber) else { return };
        let echo = subscriber.echo(now - report.age);
        let message = FeedMessage::Report { report, echo };
        self.actions.push(FeedAction::Send { to: subscriber.address, message });
    }

    /// Whether others rely on what this daemon reads, and it does read. Changes that it then took from
    /// reports of others would be missing in its own reports.
    fn is_reading_for_others(&self, now: Timestamp) -> bool {
        let freshness = self.settings.freshness();
        let reads = self.last_read_at.is_some_and(|read_at| now.since(read_at) <= freshness);
        reads && self.current_subscribers(now).next().is_some()
    }

    fn current_subscribers(&self, now: Timestamp) -> impl Iterator<Item = DaemonId> {
        let current =
            self.subscribers.iter().filter(move |(_, subscriber)| now < subscriber.expires_at);
        current.map(|(daemon, _)| *daemon)
    }

    fn required_reading(&self, now: Timestamp) -> SourceReading {
        if self.current_subscribers(now).next().is_some() {
            return SourceReading::ForOthers;
        }
        let relies_on_reader = self.reader.as_ref().is_some_and(|reader| !reader.is_substitute);
        match relies_on_reader && self.is_fresh(now) {
            true => SourceReading::Paused,
            false => SourceReading::ForItself,
        }
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.reported_as_of.is_some_and(|as_of| now.since(as_of) <= self.settings.freshness())
    }

    /// Passes over a reader that has sent no fresh report for the freshness time.
    fn pass_over_stale_reader(&mut self, now: Timestamp) {
        let Some(reader) = &self.reader else { return };
        let is_new = now.since(reader.chosen_at) <= self.settings.freshness();
        if is_new || self.is_fresh(now) {
            return;
        }
        log::info!(target: "feed", reader:% = reader.daemon; "The reader sends no fresh reports.");
        self.passed_over.insert(reader.daemon, now + PASS_OVER_TIME);
        self.reader = None;
        self.next_review = now;
    }

    /// Looks for another reader while the source does not answer this daemon. It may answer others.
    fn pass_over_itself_if_unanswered(&mut self, now: Timestamp) {
        let Some(reading_since) = self.reading_since else { return };
        let answered_at = self.last_read_at.map_or(reading_since, |read| read.max(reading_since));
        let is_unanswered = now.since(answered_at) > self.settings.unanswered_limit();
        if is_unanswered && !self.passed_over.contains_key(&self.own) {
            log::info!(target: "feed", "The source does not answer; looking for another reader.");
            self.passed_over.insert(self.own, now + PASS_OVER_TIME);
            self.next_review = now;
        }
    }
}
