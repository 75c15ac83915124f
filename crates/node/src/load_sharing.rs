//! Sharing of load reports between daemons. Each daemon reports its own loads to an aggregator of its zone,
//! which sends back the sum of the loads of all other daemons.
//!
//! One daemon for each fifty of a zone is an aggregator. They are the first in an order that all daemons
//! agree on, so nobody has to appoint them: a daemon that receives reports aggregates for their senders, even
//! if it would not choose itself. Two views of membership therefore cost only a second sum. Aggregators
//! exchange their sums across all zones of the region. An aggregator that stays silent is passed over.
//!
//! All figures are absolute and counted by their sender. The next message corrects what was lost, delayed,
//! duplicated or reordered, and figures that are not renewed expire.

mod aggregation;
mod byte_budget;
mod message;
mod reported;
mod reporting;
mod settings;
mod token_times;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, ReplicaId, Timestamp};
use serde::Serialize;

pub use message::{ItemLoad, LoadMessage, LoadPart, ReporterState};
pub use settings::LoadSharingSettings;

use crate::line_limit::LogLineLimit;
use crate::zone_choice::{Candidate, ZoneRole, choose, choose_for};
use aggregation::Aggregation;
use byte_budget::ByteBudget;
use reported::{PartFreshness, PartSequence};
use reporting::Reporting;

/// Interval between reviews of the members.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// How long a silent aggregator is passed over.
const PASS_OVER_TIME: Duration = Duration::from_secs(30);

/// Loads that all other daemons put on the items of a range. An item that is not listed has no load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoads {
    /// The first item of the range.
    pub first: u64,
    /// The last item of the range.
    pub last: u64,
    /// Age of the oldest figures.
    pub age: Duration,
    /// Sorted by item, each item once.
    pub loads: Vec<ItemLoad>,
}

/// Daemons that share loads and that membership considers live.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharingMembers {
    /// Daemons of the own zone, including this one.
    pub zone: Vec<(DaemonId, SocketAddr)>,
    /// Daemons of each other zone of the region.
    pub others: Vec<Vec<(DaemonId, SocketAddr)>>,
    /// Whether this daemon reaches owners of replica groups.
    pub reaches_groups: bool,
}

/// What load sharing asks the node to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadAction {
    /// Apply the loads of other daemons.
    Apply(PeerLoads),
    /// Send a message; it may be lost.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The message.
        message: LoadMessage,
    },
}

/// Status of load sharing, as shown to operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LoadSharingStatus {
    /// Aggregator of this daemon; none if it aggregates for itself.
    pub aggregator: Option<DaemonId>,
    /// Daemons that this one aggregates for, without itself.
    pub followers: usize,
    /// Age of the last view of other daemons' loads; none before the first view.
    pub view_age: Option<Duration>,
    /// How many times a silent aggregator was passed over.
    pub passed_over: u64,
    /// A few daemons of the zone that report that they reach owners of replica groups.
    pub reaching: Vec<DaemonId>,
}

/// The aggregator of this daemon.
#[derive(Debug, Clone)]
struct Aggregator {
    candidate: Candidate,
    /// When it was last heard from; its silence is measured from here.
    last_heard_at: Timestamp,
    sequence: PartSequence,
}

/// When the last view arrived, and how old it was then.
#[derive(Debug, Clone, Copy)]
struct LastView {
    received_at: Timestamp,
    age: Duration,
}

/// This daemon's state of load sharing. Idle until it is given own loads.
pub struct LoadSharing {
    settings: LoadSharingSettings,
    own: ReplicaId,
    own_address: SocketAddr,
    members: SharingMembers,
    next_review: Timestamp,
    /// None while this daemon aggregates for itself.
    aggregator: Option<Aggregator>,
    passed_over: BTreeMap<DaemonId, Timestamp>,
    pass_over_count: u64,
    reporting: Reporting,
    aggregation: Aggregation,
    budget: ByteBudget,
    /// Number of parts sent by this incarnation.
    parts_sent: u64,
    last_step_at: Timestamp,
    last_view: Option<LastView>,
    reaching: Vec<DaemonId>,
    log_lines: LogLineLimit,
    actions: Vec<LoadAction>,
}

impl LoadSharing {
    /// Creates the state of a daemon that has neither sent nor received loads.
    pub fn new(settings: LoadSharingSettings, own: ReplicaId, own_address: SocketAddr) -> Self {
        Self {
            budget: ByteBudget::new(settings.most_bytes_per_second),
            reporting: Reporting::new(own_address),
            aggregation: Aggregation::new(own.daemon, own_address),
            settings,
            own,
            own_address,
            members: SharingMembers::default(),
            next_review: Timestamp::ZERO,
            aggregator: None,
            passed_over: BTreeMap::new(),
            pass_over_count: 0,
            parts_sent: 0,
            last_step_at: Timestamp::ZERO,
            last_view: None,
            reaching: Vec::new(),
            log_lines: LogLineLimit::default(),
            actions: Vec::new(),
        }
    }

    /// Whether [`Self::review`] is due.
    pub fn is_review_due(&self, now: Timestamp) -> bool {
        now >= self.next_review
    }

    /// Updates the members and chooses the aggregators.
    pub fn review(&mut self, members: SharingMembers, now: Timestamp) {
        self.next_review = now + REVIEW_INTERVAL;
        self.passed_over.retain(|_, until| now < *until);
        self.members = members;
        let of_zone = |zone: &Vec<Candidate>| choose(zone, ZoneRole::LoadAggregator, |_| false);
        let near = of_zone(&self.members.zone);
        let far = self.members.others.iter().flat_map(of_zone).collect::<Vec<_>>();
        self.aggregation.set_peers(&near, &far, now);
        self.choose_aggregator(now);
    }

    /// Updates this daemon's own loads, each item once, with the token times since the previous call, and does
    /// all that is due. Called every [`LoadSharingSettings::report_interval`].
    pub fn update_own_loads(&mut self, loads: &[ItemLoad], now: Timestamp) {
        self.handle_own_pause(now);
        self.budget.refill(now);
        self.reporting.update(loads, self.members.reaches_groups, now);
        self.aggregation.expire(&self.settings, now);
        self.pass_over_silent_aggregator(now);
        match &self.aggregator {
            Some(aggregator) => {
                let to = aggregator.candidate.1;
                self.aggregation.remove_own_loads();
                self.report(to, now);
            }
            None => {
                let times = self.reporting.take_times();
                self.aggregation.set_own_loads(loads, &times, self.members.reaches_groups, now);
            }
        }
        self.send_sums(now);
        if self.aggregator.is_none() {
            self.apply_own_sum(now);
        }
    }

    /// Stops sharing loads. Tells the aggregator that this daemon leaves, and drops all loads of others.
    pub fn stop(&mut self) {
        if let Some(aggregator) = self.aggregator.take() {
            let leave_message = self.reporting.leave_message();
            self.send(aggregator.candidate.1, leave_message);
        }
        self.reporting = Reporting::new(self.own_address);
        self.aggregation = Aggregation::new(self.own.daemon, self.own_address);
        self.members = SharingMembers::default();
        self.next_review = Timestamp::ZERO;
        self.last_step_at = Timestamp::ZERO;
        self.passed_over.clear();
        self.last_view = None;
        self.reaching.clear();
    }

    /// Handles a message of another daemon. Ignores it if own loads have not been updated for the expiry time:
    /// then nothing would renew or expire its figures.
    pub fn receive(&mut self, from: ReplicaId, message: LoadMessage, now: Timestamp) {
        let is_idle = now.since(self.last_step_at) >= self.settings.expiry();
        if from.daemon == self.own.daemon || is_idle {
            return;
        }
        if !message.part().is_valid() {
            if let Some(passed_over) = self.log_lines.allow(now) {
                log::warn!(
                    target: "loads",
                    daemon:% = from, lines_passed_over = passed_over;
                    "A load message is out of order or exceeds its range: it is dropped."
                );
            }
            return;
        }
        match message {
            LoadMessage::Report { part, state, reply_to } => {
                self.aggregation.receive_report(from, &part, state, reply_to, &self.settings, now);
            }
            LoadMessage::Sum { part, reply_to } => {
                let is_near = self.members.zone.iter().any(|(daemon, _)| *daemon == from.daemon);
                self.aggregation.receive_sum(from, &part, reply_to, is_near, &self.settings, now);
            }
            LoadMessage::View { part, reaching } => self.receive_view(from, part, reaching, now),
        }
    }

    /// Takes the actions that are due since the last call.
    pub fn take_actions(&mut self) -> Vec<LoadAction> {
        std::mem::take(&mut self.actions)
    }

    /// Status of load sharing.
    pub fn status(&self, now: Timestamp) -> LoadSharingStatus {
        let age = |view: LastView| now.since(view.received_at - view.age);
        LoadSharingStatus {
            aggregator: self.aggregator.as_ref().map(|aggregator| aggregator.candidate.0),
            followers: self.aggregation.followers(now),
            view_age: self.last_view.map(age),
            passed_over: self.pass_over_count,
            reaching: self.reaching.clone(),
        }
    }

    /// After a pause of this process, messages that arrived in the meantime are still unread, so the
    /// silence of the aggregator is measured from now.
    fn handle_own_pause(&mut self, now: Timestamp) {
        let paused = now.since(self.last_step_at) >= self.settings.expiry();
        self.last_step_at = now;
        if let Some(aggregator) = self.aggregator.as_mut().filter(|_| paused) {
            aggregator.last_heard_at = now;
        }
    }

    /// Applies a view sent by the current aggregator. Views of a previous aggregator are ignored: they would
    /// alternate with those of the current one.
    fn receive_view(
        &mut self,
        from: ReplicaId,
        part: LoadPart,
        reaching: Vec<DaemonId>,
        now: Timestamp,
    ) {
        let Some(aggregator) = self.aggregator.as_mut().filter(|it| it.candidate.0 == from.daemon)
        else {
            return;
        };
        if aggregator.sequence.accept(from.incarnation, part.number) == PartFreshness::Stale {
            return;
        }
        aggregator.last_heard_at = now;
        self.reaching = reaching;
        self.apply_view(part, now);
    }

    fn apply_view(&mut self, part: LoadPart, now: Timestamp) {
        let LoadPart { first, last, age, loads, .. } = part;
        self.last_view = Some(LastView { received_at: now, age });
        self.actions.push(LoadAction::Apply(PeerLoads { first, last, age, loads }));
    }

    fn choose_aggregator(&mut self, now: Timestamp) {
        let is_passed_over = |daemon| self.passed_over.contains_key(&daemon);
        let aggregators = choose(&self.members.zone, ZoneRole::LoadAggregator, is_passed_over);
        let next = choose_for(self.own.daemon, &aggregators, ZoneRole::LoadAggregator);
        let before = self.aggregator.as_ref().map(|aggregator| aggregator.candidate);
        if next == before {
            return;
        }
        if let Some((_, address)) = before {
            let leave_message = self.reporting.leave_message();
            self.send(address, leave_message);
        }
        let sequence = PartSequence::default();
        self.aggregator =
            next.map(|candidate| Aggregator { candidate, last_heard_at: now, sequence });
        self.reporting.reset_schedule();
        let name = |chosen: Option<Candidate>| chosen.map_or(self.own.daemon, |(daemon, _)| daemon);
        let (before, next) = (name(before), name(next));
        if let Some(passed_over) = self.log_lines.allow(now) {
            log::info!(
                target: "loads",
                daemon:% = next, before:% = before, lines_passed_over = passed_over;
                "The aggregator of loads has changed."
            );
        }
    }

    /// Passes over an aggregator that has been silent for the expiry time.
    fn pass_over_silent_aggregator(&mut self, now: Timestamp) {
        let Some(aggregator) = &self.aggregator else { return };
        let (daemon, last_heard_at) = (aggregator.candidate.0, aggregator.last_heard_at);
        let (silent_since, timeout) = match self.reporting.loaded_since() {
            Some(loaded_since) => (last_heard_at.max(loaded_since), self.settings.expiry()),
            None => (last_heard_at, self.settings.idle_expiry()),
        };
        if now.since(silent_since) <= timeout {
            return;
        }
        if let Some(passed_over) = self.log_lines.allow(now) {
            log::warn!(
                target: "loads",
                daemon:% = daemon,
                silent_ms = now.since(last_heard_at).as_millis(),
                lines_passed_over = passed_over;
                "The aggregator of loads is silent: it is passed over."
            );
        }
        self.pass_over_count += 1;
        self.passed_over.insert(daemon, now + PASS_OVER_TIME);
        self.choose_aggregator(now);
    }

    fn report(&mut self, to: SocketAddr, now: Timestamp) {
        if self.budget.has_room() && self.reporting.is_due(&self.settings, now) {
            let messages = self.reporting.messages(now);
            self.send_all(to, messages);
        }
    }

    fn send_sums(&mut self, now: Timestamp) {
        while self.budget.has_room() {
            let Some((to, message)) = self.aggregation.next_message(&self.settings, now) else {
                return;
            };
            self.send(to, message);
        }
    }

    fn apply_own_sum(&mut self, now: Timestamp) {
        if let Some(part) = self.aggregation.own_view(&self.settings, now) {
            self.reaching = self.aggregation.reaching(self.own.daemon);
            self.apply_view(part, now);
        }
    }

    fn send_all(&mut self, to: SocketAddr, messages: Vec<LoadMessage>) {
        messages.into_iter().for_each(|message| self.send(to, message));
    }

    fn send(&mut self, to: SocketAddr, mut message: LoadMessage) {
        self.parts_sent += 1;
        message.part_mut().number = self.parts_sent;
        self.budget.spend(message.bytes());
        self.actions.push(LoadAction::Send { to, message });
    }
}
