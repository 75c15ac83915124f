//! How daemons learn the load that others make: each tells its own to one daemon of its zone, which adds up
//! and tells each of them what all others make.
//!
//! One daemon for each fifty of a zone adds up, the first in an order that all agree on. It needs no word to
//! do so: whoever is told loads adds up for those who tell, whatever it thinks itself. So two views of
//! membership cost a second sum, and those who add up tell each other their sums, over all zones of the
//! region. A daemon that adds up and says nothing is passed over.
//!
//! All figures are absolute and counted by their sender: what is lost, late, doubled or reordered is made
//! good by the next message, and what is not renewed expires.

mod aggregation;
mod byte_budget;
mod message;
mod reporting;
mod settings;
mod token_times;
mod told;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, ReplicaId, Timestamp};
use serde::Serialize;

pub use message::{ItemLoad, LoadMessage, LoadPart, ReporterState};
pub use settings::LoadSharingSettings;

use crate::line_limit::LogLineLimit;
use crate::zone_choice::{Candidate, Purpose, chosen, serving};
use aggregation::Aggregation;
use byte_budget::ByteBudget;
use reporting::Reporting;
use told::{PartNews, PartOrder};

/// How often the members are looked at.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// How long a daemon that added up and said nothing is passed over.
const PASSED_OVER: Duration = Duration::from_secs(30);

/// The loads that all other daemons make of the items in a range. One that is not named has none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerLoads {
    /// The first item of the range.
    pub first: u64,
    /// The last one.
    pub last: u64,
    /// How long ago the oldest of the figures were true.
    pub age: Duration,
    /// In the order of their items, each once.
    pub loads: Vec<ItemLoad>,
}

/// Daemons that share loads, as far as membership holds them for live.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharingMembers {
    /// Those of the own zone, this one included.
    pub zone: Vec<(DaemonId, SocketAddr)>,
    /// Those of each other zone of the region.
    pub others: Vec<Vec<(DaemonId, SocketAddr)>>,
    /// Whether this daemon reaches owners of replica groups.
    pub reaches_groups: bool,
}

/// What sharing loads asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadAction {
    /// Take in what others make.
    PeerLoads(PeerLoads),
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: LoadMessage,
    },
}

/// How the sharing of loads goes, as an operator sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LoadSharingStatus {
    /// Who adds up for this daemon; none when it does so itself.
    pub aggregator: Option<DaemonId>,
    /// Daemons that this one adds up for, itself not counted.
    pub followers: usize,
    /// How old what this daemon knows of others is; none before it heard anything.
    pub view_age: Option<Duration>,
    /// Daemons that added up and said nothing, so far.
    pub passed_over: u64,
    /// Daemons of the zone that say they reach owners of replica groups: a few.
    pub reaching: Vec<DaemonId>,
}

/// Who adds up for this daemon.
#[derive(Debug, Clone)]
struct Aggregator {
    candidate: Candidate,
    /// Its silence counts from then on.
    heard_at: Timestamp,
    order: PartOrder,
}

/// What was heard last.
#[derive(Debug, Clone, Copy)]
struct LastView {
    at: Timestamp,
    age: Duration,
}

/// This daemon's part in sharing loads. Idle until it is given own loads, or told those of others.
pub struct LoadSharing {
    settings: LoadSharingSettings,
    own: ReplicaId,
    own_address: SocketAddr,
    members: SharingMembers,
    next_review: Timestamp,
    /// None while this daemon adds up for itself.
    aggregator: Option<Aggregator>,
    passed_over: BTreeMap<DaemonId, Timestamp>,
    passed_over_count: u64,
    reporting: Reporting,
    aggregation: Aggregation,
    budget: ByteBudget,
    /// Parts that this life has sent.
    sent: u64,
    stepped_at: Timestamp,
    last_view: Option<LastView>,
    reaching: Vec<DaemonId>,
    lines: LogLineLimit,
    actions: Vec<LoadAction>,
}

impl LoadSharing {
    /// A daemon that has told and heard nothing.
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
            passed_over_count: 0,
            sent: 0,
            stepped_at: Timestamp::ZERO,
            last_view: None,
            reaching: Vec::new(),
            lines: LogLineLimit::default(),
            actions: Vec::new(),
        }
    }

    /// Whether [`Self::review`] is due.
    pub fn is_review_due(&self, now: Timestamp) -> bool {
        now >= self.next_review
    }

    /// Takes in which daemons there are, and chooses who adds up.
    pub fn review(&mut self, members: SharingMembers, now: Timestamp) {
        self.next_review = now + REVIEW_INTERVAL;
        self.passed_over.retain(|_, until| now < *until);
        self.members = members;
        let of_zone = |zone: &Vec<Candidate>| chosen(zone, Purpose::AddLoads, |_| false);
        let near = of_zone(&self.members.zone);
        let far = self.members.others.iter().flat_map(of_zone).collect::<Vec<_>>();
        self.aggregation.set_peers(&near, &far, now);
        self.choose_aggregator(now);
    }

    /// Takes in this daemon's own loads, each item once, with the times of the tokens since the call before,
    /// and does all that is due. Called every [`LoadSharingSettings::report_interval`].
    pub fn own_loads(&mut self, loads: &[ItemLoad], now: Timestamp) {
        self.note_own_pause(now);
        self.budget.refill(now);
        self.reporting.take(loads, self.members.reaches_groups, now);
        self.aggregation.expire(&self.settings, now);
        self.pass_over_silent(now);
        match &self.aggregator {
            Some(aggregator) => {
                let to = aggregator.candidate.1;
                self.aggregation.forget_own();
                self.tell(to, now);
            }
            None => {
                let times = self.reporting.take_times();
                self.aggregation.take_own(loads, &times, self.members.reaches_groups, now);
            }
        }
        self.send_sums(now);
        if self.aggregator.is_none() {
            self.take_own_sum(now);
        }
    }

    /// Own loads are told no more: the daemon that adds them up is told so, and all is dropped that was
    /// heard.
    pub fn stop(&mut self) {
        if let Some(aggregator) = self.aggregator.take() {
            let leave_message = self.reporting.leave_message();
            self.send(aggregator.candidate.1, leave_message);
        }
        self.reporting = Reporting::new(self.own_address);
        self.aggregation = Aggregation::new(self.own.daemon, self.own_address);
        self.members = SharingMembers::default();
        self.next_review = Timestamp::ZERO;
        self.stepped_at = Timestamp::ZERO;
        self.passed_over.clear();
        self.last_view = None;
        self.reaching.clear();
    }

    /// Takes in a message of another daemon, unless own loads have not been told for long: nobody would
    /// renew or expire what it says.
    pub fn heard(&mut self, from: ReplicaId, message: LoadMessage, now: Timestamp) {
        let is_idle = now.since(self.stepped_at) >= self.settings.expiry();
        if from.daemon == self.own.daemon || is_idle {
            return;
        }
        if !message.part().is_sound() {
            if let Some(passed_over) = self.lines.allow(now) {
                log::warn!(
                    target: "loads",
                    daemon:% = from, lines_passed_over = passed_over;
                    "What a daemon told of loads has no order or leaves its range: it is dropped."
                );
            }
            return;
        }
        match message {
            LoadMessage::Report { part, state, reply_to } => {
                self.aggregation.told(from, &part, state, reply_to, &self.settings, now);
            }
            LoadMessage::Sum { part, reply_to } => {
                let is_near = self.members.zone.iter().any(|(daemon, _)| *daemon == from.daemon);
                self.aggregation.sum_told(from, &part, reply_to, is_near, &self.settings, now);
            }
            LoadMessage::View { part, reaching } => self.view_told(from, part, reaching, now),
        }
    }

    /// What to do since the last call.
    pub fn take_actions(&mut self) -> Vec<LoadAction> {
        std::mem::take(&mut self.actions)
    }

    /// How the sharing goes.
    pub fn status(&self, now: Timestamp) -> LoadSharingStatus {
        let age = |view: LastView| now.since(view.at - view.age);
        LoadSharingStatus {
            aggregator: self.aggregator.as_ref().map(|aggregator| aggregator.candidate.0),
            followers: self.aggregation.followers(now),
            view_age: self.last_view.map(age),
            passed_over: self.passed_over_count,
            reaching: self.reaching.clone(),
        }
    }

    /// After a pause of this process what others sent meanwhile is still to be read.
    fn note_own_pause(&mut self, now: Timestamp) {
        let paused = now.since(self.stepped_at) >= self.settings.expiry();
        self.stepped_at = now;
        if let Some(aggregator) = self.aggregator.as_mut().filter(|_| paused) {
            aggregator.heard_at = now;
        }
    }

    /// A sum of another daemon. That of an earlier choice is not listened to: it would alternate with the
    /// present one's.
    fn view_told(
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
        if aggregator.order.take(from.incarnation, part.number) == PartNews::None {
            return;
        }
        aggregator.heard_at = now;
        self.reaching = reaching;
        self.take_view(part, now);
    }

    fn take_view(&mut self, part: LoadPart, now: Timestamp) {
        let LoadPart { first, last, age, loads, .. } = part;
        self.last_view = Some(LastView { at: now, age });
        self.actions.push(LoadAction::PeerLoads(PeerLoads { first, last, age, loads }));
    }

    fn choose_aggregator(&mut self, now: Timestamp) {
        let is_passed_over = |daemon| self.passed_over.contains_key(&daemon);
        let aggregators = chosen(&self.members.zone, Purpose::AddLoads, is_passed_over);
        let next = serving(self.own.daemon, &aggregators, Purpose::AddLoads);
        let before = self.aggregator.as_ref().map(|aggregator| aggregator.candidate);
        if next == before {
            return;
        }
        if let Some((_, address)) = before {
            let leave_message = self.reporting.leave_message();
            self.send(address, leave_message);
        }
        let order = PartOrder::default();
        self.aggregator = next.map(|candidate| Aggregator { candidate, heard_at: now, order });
        self.reporting.reset();
        let name = |chosen: Option<Candidate>| chosen.map_or(self.own.daemon, |(daemon, _)| daemon);
        let (before, next) = (name(before), name(next));
        if let Some(passed_over) = self.lines.allow(now) {
            log::info!(
                target: "loads",
                daemon:% = next, before:% = before, lines_passed_over = passed_over;
                "Another daemon adds up loads."
            );
        }
    }

    /// A daemon that adds up and has said nothing for long is passed over for a while.
    fn pass_over_silent(&mut self, now: Timestamp) {
        let Some(aggregator) = &self.aggregator else { return };
        let (daemon, heard_at) = (aggregator.candidate.0, aggregator.heard_at);
        let (since, patience) = match self.reporting.loaded_since() {
            Some(loaded_since) => (heard_at.max(loaded_since), self.settings.expiry()),
            None => (heard_at, self.settings.idle_expiry()),
        };
        if now.since(since) <= patience {
            return;
        }
        if let Some(passed_over) = self.lines.allow(now) {
            log::warn!(
                target: "loads",
                daemon:% = daemon,
                silent_ms = now.since(heard_at).as_millis(),
                lines_passed_over = passed_over;
                "The daemon that adds up loads says nothing: it is passed over."
            );
        }
        self.passed_over_count += 1;
        self.passed_over.insert(daemon, now + PASSED_OVER);
        self.choose_aggregator(now);
    }

    fn tell(&mut self, to: SocketAddr, now: Timestamp) {
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

    fn take_own_sum(&mut self, now: Timestamp) {
        if let Some(part) = self.aggregation.own_view(&self.settings, now) {
            self.reaching = self.aggregation.reaching(self.own.daemon);
            self.take_view(part, now);
        }
    }

    fn send_all(&mut self, to: SocketAddr, messages: Vec<LoadMessage>) {
        messages.into_iter().for_each(|message| self.send(to, message));
    }

    fn send(&mut self, to: SocketAddr, mut message: LoadMessage) {
        self.sent += 1;
        message.part_mut().number = self.sent;
        self.budget.spend(message.bytes());
        self.actions.push(LoadAction::Send { to, message });
    }
}
