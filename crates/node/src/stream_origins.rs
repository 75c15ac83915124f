//! Where streams began: the version of the server that made a stream's first event, known to a few daemons besides
//! the one that serves the stream, for as long as its caller may come back.
//!
//! A caller whose stream broke off may take it up at any gateway, most often because its own one died. So the
//! gateway that serves the stream tells a few others, which all daemons compute alike from the stream's key, and the
//! gateway to which the caller comes back asks them. Gateways may all be killed at once, so some of those told are keepers:
//! daemons that hold groups, of each region. Nothing is agreed on. Which origins services had is kept on keepers' disks, where
//! single streams began is not.
//!
//! What nobody knows is never guessed: a stream of unknown origin goes on only if most of those asked answer, all of
//! them have known servers of one and the same origin alone, and some of them for as long as the stream may go on already. A
//! process that has started again does not know what was before; a few keepers of each service know what gateways told them.
//!
//! The node does not know what an origin is: its driver translates versions into numbers.

mod history;
mod members;
mod message;
mod question;
mod records;
mod witnesses;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, ReplicaId, Timestamp};

pub use members::OriginMembers;
pub use message::{OriginAnswer, OriginMessage, StreamRecord};
pub use witnesses::WitnessCandidate;

use crate::line_limit::LogLineLimit;
use crate::request::RequestId;
use history::{ToldViews, ViewChange};
use question::Question;
use records::Records;
use witnesses::{
    keepers_to_ask, keepers_to_tell, service_keepers, witnesses_to_ask, witnesses_to_tell,
};

/// Interval between updates of the members.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// How long a question waits for answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// How long after a question it is sent again to those that have not answered, since datagrams get lost.
const REPEAT_DELAY: Duration = Duration::from_millis(60);
/// The most records in one datagram. Each has at most 28 bytes.
const MAX_RECORDS_PER_MESSAGE: usize = 32;
/// The most views in one datagram. Each has at most 19 bytes.
const MAX_VIEWS_PER_MESSAGE: usize = 48;
/// The number of the document in which a daemon with a disk saves what gateways told it of services. It is never shared,
/// since each keeper has its own.
pub const VIEWS_DOCUMENT: u32 = u32::MAX - 1;
/// How often keepers are told the views that have not changed, since they may have started again.
const VIEWS_INTERVAL: Duration = Duration::from_secs(30);
/// The longest time for which a record is kept, whatever its sender asks for. Views say as long that there were other
/// servers.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// A stream, by a hash of its service, its tenant and the caller's first attempt.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct StreamKey(pub u64);

/// Where a stream began, or may only have begun.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Origin(pub u64);

/// A service, by a hash of its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct OriginService(pub u64);

/// The origins that streams of a service can have had of late, as one daemon sees its servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum OriginView {
    /// The daemon knows no server.
    Nothing,
    /// This one only.
    Only(Origin),
    /// Several, or unknown ones.
    Several,
}

impl OriginView {
    /// The origins of both views together.
    fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Nothing, view) | (view, Self::Nothing) => view,
            (Self::Only(origin), Self::Only(other)) if origin == other => self,
            _ => Self::Several,
        }
    }
}

/// What origin tracking asks the node to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginAction {
    /// Send a message; it may be lost.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The message.
        message: OriginMessage,
    },
    /// Save what gateways told of services, for [`StreamOrigins::restore_views`].
    SaveViews {
        /// Later ones have higher versions.
        version: u64,
        /// The encoded views.
        bytes: Vec<u8>,
    },
    /// Answer a question of this daemon's gateway.
    Found {
        /// The question.
        id: RequestId,
        /// Where the stream began; none if nobody can tell.
        origin: Option<Origin>,
    },
}

/// This daemon's part in tracking where streams began.
pub struct StreamOrigins {
    own: ReplicaId,
    own_address: SocketAddr,
    records: Records,
    members: OriginMembers,
    next_review: Timestamp,
    /// What this daemon saw of services since its start.
    views: BTreeMap<OriginService, OriginView>,
    /// What gateways told this daemon of services.
    told_views: ToldViews,
    /// From when on the views cover the time of all streams that may go on.
    knows_past_from: Timestamp,
    /// When keepers are next told the views.
    next_tell_views: Timestamp,
    /// The keepers that were told the views last.
    told_keepers: BTreeSet<DaemonId>,
    questions: BTreeMap<RequestId, Question>,
    log_lines: LogLineLimit,
    actions: Vec<OriginAction>,
}

impl StreamOrigins {
    /// Creates the state of a daemon that knows no stream.
    pub fn new(own: ReplicaId, own_address: SocketAddr) -> Self {
        Self {
            own,
            own_address,
            records: Records::default(),
            members: OriginMembers::default(),
            next_review: Timestamp::ZERO,
            views: BTreeMap::new(),
            told_views: ToldViews::default(),
            knows_past_from: Timestamp::ZERO,
            next_tell_views: Timestamp::ZERO,
            told_keepers: BTreeSet::new(),
            questions: BTreeMap::new(),
            log_lines: LogLineLimit::default(),
            actions: Vec::new(),
        }
    }

    /// The daemon has started again: it does not know what other processes did before.
    pub fn with_unknown_past(mut self, started_at: Timestamp) -> Self {
        self.knows_past_from = started_at + MAX_LIFETIME;
        self
    }

    /// Whether questions wait for answers.
    pub fn has_questions(&self) -> bool {
        !self.questions.is_empty()
    }

    /// Whether the members are due to be set, which copies all of them. A daemon that has just joined knows few.
    pub fn is_review_due(&self, now: Timestamp) -> bool {
        now >= self.next_review || self.members.live.len() < 2 || self.members.keepers.is_empty()
    }

    /// Sets the daemons that may be told and asked.
    pub fn set_members(&mut self, members: OriginMembers, now: Timestamp) {
        self.members = members;
        if !self.view_keepers().is_subset(&self.told_keepers) {
            self.next_tell_views = now;
        }
        self.next_review = now + REVIEW_INTERVAL;
    }

    /// Sets the views of services' servers, and tells them to keepers.
    pub fn set_views(
        &mut self,
        views: impl IntoIterator<Item = (OriginService, OriginView)>,
        now: Timestamp,
    ) {
        self.views.extend(views);
        self.tell_views(now);
        // Datagrams get lost.
        self.next_tell_views = now + REPEAT_DELAY;
    }

    /// Takes in what was saved before the daemon started again.
    pub fn restore_views(&mut self, version: u64, bytes: &[u8], now: Timestamp) {
        if !self.told_views.restore(version, bytes, now) {
            log::warn!(target: "streams", "The saved origins of services are passed over: malformed.");
        }
    }

    /// Whether this daemon has views to tell.
    pub fn has_views(&self) -> bool {
        !self.views.is_empty()
    }

    /// Records streams that this daemon serves, and tells the daemons that are to know of them.
    pub fn record(&mut self, streams: Vec<StreamRecord>, now: Timestamp) {
        let mut by_witness: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        for record in streams {
            self.keep(record, now);
            let witnesses = witnesses_to_tell(record.stream, &self.members.live, self.own.daemon);
            let keepers = keepers_to_tell(record.stream, &self.members.keepers, self.own.daemon);
            for witness in witnesses.into_iter().chain(keepers) {
                by_witness.entry(witness.address).or_default().push(record);
            }
        }
        for (to, records) in by_witness {
            for records in records.chunks(MAX_RECORDS_PER_MESSAGE) {
                let message = OriginMessage::Tell { records: records.to_vec() };
                self.actions.push(OriginAction::Send { to, message });
            }
        }
    }

    /// Finds out where a stream began. [`OriginAction::Found`] follows.
    pub fn find(
        &mut self,
        id: RequestId,
        stream: StreamKey,
        service: OriginService,
        now: Timestamp,
    ) {
        if let Some(origin) = self.records.get(stream, now) {
            self.actions.push(OriginAction::Found { id, origin: Some(origin) });
            return;
        }
        let mut unanswered = witnesses_to_ask(stream, &self.members.live, self.own.daemon);
        let serving = unanswered.iter().map(|witness| witness.daemon).collect();
        let view_keepers = service_keepers(service, &self.members.keepers, self.own.daemon);
        let keepers = view_keepers.iter().map(|keeper| keeper.daemon).collect();
        unanswered.extend(keepers_to_ask(stream, &self.members.keepers, self.own.daemon));
        unanswered.extend(view_keepers.into_iter().cloned());
        let mut daemons = BTreeSet::new();
        unanswered.retain(|asked| daemons.insert(asked.daemon));
        let question = Question {
            stream,
            service,
            serving,
            unanswered,
            views: vec![self.known_view(service, now)],
            keepers,
            keeper_views: Vec::new(),
            repeat_at: Some(now + REPEAT_DELAY),
            give_up_at: now + ANSWER_TIMEOUT,
        };
        self.ask(id, &question);
        self.questions.insert(id, question);
        self.conclude_answered(id);
    }

    /// Handles a message of another daemon.
    pub fn receive(&mut self, from: ReplicaId, message: OriginMessage, now: Timestamp) {
        match message {
            OriginMessage::Tell { records } => {
                records.into_iter().for_each(|record| self.keep(record, now));
            }
            OriginMessage::Ask { id, stream, service, reply_to } => {
                let answer = match self.records.get(stream, now) {
                    Some(origin) => OriginAnswer::Began(origin),
                    None => OriginAnswer::Unknown(self.known_view(service, now)),
                };
                let message = OriginMessage::Answer { id, stream, answer };
                self.actions.push(OriginAction::Send { to: reply_to, message });
            }
            OriginMessage::Answer { id, stream, answer } => {
                self.receive_answer(from.daemon, id, stream, answer);
            }
            OriginMessage::TellViews { views, knows_past } => {
                self.keep_views(views, knows_past, now);
            }
        }
    }

    /// Does what is due: tells keepers the views, asks again, concludes questions that most daemons have answered, and gives
    /// up those whose time is over.
    pub fn tick(&mut self, now: Timestamp) {
        if now >= self.next_tell_views {
            self.tell_views(now);
            self.next_tell_views = now + VIEWS_INTERVAL;
        }
        let is_due = |question: &Question| question.repeat_at.is_some_and(|at| at <= now);
        for id in self.questions_where(is_due) {
            self.repeat(id);
        }
        let is_over = |question: &Question| question.give_up_at <= now;
        // A daemon that was told of the stream has had the time to say so.
        let is_decided = |question: &Question| {
            question.repeat_at.is_none() && self.origin_by_views(question).is_some()
        };
        for id in self.questions_where(|question| is_over(question) || is_decided(question)) {
            self.conclude(id);
        }
    }

    fn questions_where(&self, filter: impl Fn(&Question) -> bool) -> Vec<RequestId> {
        let found = self.questions.iter().filter(|(_, question)| filter(question));
        found.map(|(id, _)| *id).collect()
    }

    fn repeat(&mut self, id: RequestId) {
        let Some(mut question) = self.questions.remove(&id) else { return };
        question.repeat_at = None;
        self.ask(id, &question);
        self.questions.insert(id, question);
    }

    /// Takes the actions that are due since the last call.
    pub fn take_actions(&mut self) -> Vec<OriginAction> {
        std::mem::take(&mut self.actions)
    }

    /// The number of streams whose origin is known here.
    pub fn known_streams(&self) -> usize {
        self.records.len()
    }

    fn keep(&mut self, record: StreamRecord, now: Timestamp) {
        let lifetime = record.lifetime.min(MAX_LIFETIME);
        let dropped = self.records.put(record.stream, record.origin, now + lifetime, now);
        if dropped > 0
            && let Some(passed_over) = self.log_lines.allow(now)
        {
            log::warn!(
                target: "streams", dropped = dropped, lines_passed_over = passed_over;
                "Origins of streams are dropped before their callers' deadlines: there are too many."
            );
        }
    }

    fn keep_views(
        &mut self,
        views: Vec<(OriginService, OriginView)>,
        knows_past: bool,
        now: Timestamp,
    ) {
        let record = |(service, view)| self.told_views.record(service, view, knows_past, now);
        let changes: Vec<ViewChange> = views.into_iter().map(record).collect();
        if changes.contains(&ViewChange::Added) {
            let (version, bytes) = self.told_views.encode(now);
            self.actions.push(OriginAction::SaveViews { version, bytes });
        }
        let dropped = changes.iter().filter(|change| **change == ViewChange::Dropped).count();
        if dropped > 0
            && let Some(passed_over) = self.log_lines.allow(now)
        {
            log::warn!(
                target: "streams", dropped = dropped, lines_passed_over = passed_over;
                "Origins of services are not kept: there are too many services."
            );
        }
    }

    fn tell_views(&mut self, now: Timestamp) {
        let knows_past = now >= self.knows_past_from;
        let mut by_keeper: BTreeMap<SocketAddr, Vec<(OriginService, OriginView)>> = BTreeMap::new();
        for (service, view) in &self.views {
            for keeper in service_keepers(*service, &self.members.keepers, self.own.daemon) {
                by_keeper.entry(keeper.address).or_default().push((*service, *view));
            }
        }
        for (to, views) in by_keeper {
            for views in views.chunks(MAX_VIEWS_PER_MESSAGE) {
                let message = OriginMessage::TellViews { views: views.to_vec(), knows_past };
                self.actions.push(OriginAction::Send { to, message });
            }
        }
        self.told_keepers = self.view_keepers();
    }

    /// The keepers of the views of all services.
    fn view_keepers(&self) -> BTreeSet<DaemonId> {
        let keepers = self
            .views
            .keys()
            .flat_map(|service| service_keepers(*service, &self.members.keepers, self.own.daemon));
        keepers.map(|keeper| keeper.daemon).collect()
    }

    /// What this daemon saw of a service since its start.
    fn view(&self, service: OriginService) -> OriginView {
        self.views.get(&service).copied().unwrap_or(OriginView::Nothing)
    }

    /// What this daemon knows of a service, for the time of all streams that may go on.
    fn known_view(&self, service: OriginService, now: Timestamp) -> OriginView {
        let own = self.view(service);
        let saw_all = own != OriginView::Nothing && now >= self.knows_past_from;
        match own.and(self.told_views.view(service, now)) {
            OriginView::Only(_) if !saw_all && !self.told_views.covers_past(service) => {
                OriginView::Nothing
            }
            view => view,
        }
    }

    fn ask(&mut self, id: RequestId, question: &Question) {
        let Question { stream, service, .. } = *question;
        for witness in &question.unanswered {
            let message = OriginMessage::Ask { id, stream, service, reply_to: self.own_address };
            self.actions.push(OriginAction::Send { to: witness.address, message });
        }
    }

    fn receive_answer(
        &mut self,
        from: DaemonId,
        id: RequestId,
        stream: StreamKey,
        answer: OriginAnswer,
    ) {
        let question = self.questions.get_mut(&id).filter(|question| question.stream == stream);
        let Some(question) = question else { return };
        let asked = question.unanswered.len();
        question.unanswered.retain(|witness| witness.daemon != from);
        if question.unanswered.len() == asked {
            return;
        }
        match answer {
            OriginAnswer::Began(origin) => {
                self.questions.remove(&id);
                self.actions.push(OriginAction::Found { id, origin: Some(origin) });
            }
            OriginAnswer::Unknown(view) => {
                if question.keepers.contains(&from) {
                    question.keeper_views.push(view);
                } else if question.serving.contains(&from) {
                    question.views.push(view);
                }
                self.conclude_answered(id);
            }
        }
    }

    /// Concludes a question that all daemons have answered.
    fn conclude_answered(&mut self, id: RequestId) {
        if self.questions.get(&id).is_some_and(|question| question.unanswered.is_empty()) {
            self.conclude(id);
        }
    }

    /// Answers a question by the views of those that know nothing of the stream.
    fn conclude(&mut self, id: RequestId) {
        let Some(question) = self.questions.remove(&id) else { return };
        let origin = self.origin_by_views(&question);
        log::info!(
            target: "streams",
            stream = question.stream.0,
            origin:? = origin.map(|origin| origin.0),
            own_view:? = self.view(question.service),
            views:? = question.views,
            keeper_views:? = question.keeper_views,
            asked = question.serving.len(),
            live = self.members.live.len(),
            known = self.members.known;
            "Nobody was told where a stream began."
        );
        self.actions.push(OriginAction::Found { id, origin });
    }

    /// Returns the origin by the views so far. Some of them may be outdated, on one side of a cut, so most daemons must
    /// have answered. A gateway that knows the past decides, or most of the keepers that were asked.
    fn origin_by_views(&self, question: &Question) -> Option<Origin> {
        let has_majority = question.views.len() * 2 > question.serving.len() + 1;
        if !has_majority || !self.members.are_mostly_live() {
            return None;
        }
        let knowing = |views: &[OriginView]| {
            views.iter().filter(|view| matches!(view, OriginView::Only(_))).count()
        };
        let is_known = knowing(&question.views) > 0
            || knowing(&question.keeper_views) * 2 > question.keepers.len();
        // What this daemon saw since its start can only contradict.
        let own = self.view(question.service);
        let views = question.views.iter().chain(&question.keeper_views).copied();
        match views.fold(own, OriginView::and) {
            OriginView::Only(origin) if is_known => Some(origin),
            _ => None,
        }
    }
}
