//! Where streams began: the version of the server that made a stream's first event, known to a few daemons besides
//! the one that serves the stream, for as long as its caller may come back.
//!
//! A caller whose stream broke off may take it up at any gateway, most often because its own one died. So the
//! gateway that serves the stream tells a few others, which all daemons compute alike from the stream's key, and the
//! gateway to which the caller comes back asks them. Nothing is agreed on and nothing is kept on a disk. What nobody
//! knows is never guessed: a stream of unknown origin goes on only if most of those asked answer, and all of them have
//! known servers of one and the same origin alone.
//!
//! The node does not know what an origin is: its driver translates versions into numbers.

mod message;
mod records;
mod witnesses;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, ReplicaId, Timestamp};

pub use message::{OriginAnswer, OriginMessage, StreamRecord};
pub use witnesses::WitnessCandidate;

use crate::line_limit::LogLineLimit;
use crate::request::RequestId;
use records::Records;
use witnesses::{witnesses_to_ask, witnesses_to_tell};

/// Interval between updates of the members.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// How long a question waits for answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// How long after a question it is sent again to those that have not answered, since datagrams get lost.
const REPEAT_DELAY: Duration = Duration::from_millis(60);
/// The most records in one datagram. Each has at most 28 bytes.
const MAX_RECORDS_PER_MESSAGE: usize = 32;
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

/// The daemons that serve streams, as membership knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginMembers {
    /// Those that may be told and asked, and this daemon.
    pub live: Vec<WitnessCandidate>,
    /// Their number with those that are taken for dead. These may also be cut off, and know other servers.
    pub known: usize,
}

impl OriginMembers {
    /// Whether this daemon is on the side of most of them, so that their lists are not all outdated. A daemon that knows
    /// nobody yet, itself included, is on no side.
    fn are_mostly_live(&self) -> bool {
        self.live.len() * 2 > self.known
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
    /// Answer a question of this daemon's gateway.
    Found {
        /// The question.
        id: RequestId,
        /// Where the stream began; none if nobody can tell.
        origin: Option<Origin>,
    },
}

/// A question of this daemon's gateway.
#[derive(Debug)]
struct Question {
    stream: StreamKey,
    service: OriginService,
    /// Daemons that have not answered.
    unanswered: Vec<WitnessCandidate>,
    /// How many daemons were asked.
    asked: usize,
    /// The views of the daemons that know nothing of the stream.
    views: Vec<OriginView>,
    repeat_at: Option<Timestamp>,
    give_up_at: Timestamp,
}

/// This daemon's part in tracking where streams began.
pub struct StreamOrigins {
    own: ReplicaId,
    own_address: SocketAddr,
    records: Records,
    members: OriginMembers,
    next_review: Timestamp,
    views: BTreeMap<OriginService, OriginView>,
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
            questions: BTreeMap::new(),
            log_lines: LogLineLimit::default(),
            actions: Vec::new(),
        }
    }

    /// Whether questions wait for answers.
    pub fn has_questions(&self) -> bool {
        !self.questions.is_empty()
    }

    /// Whether the members are due to be set, which copies all of them.
    pub fn is_review_due(&self, now: Timestamp) -> bool {
        now >= self.next_review
    }

    /// Sets the daemons that may be told and asked.
    pub fn set_members(&mut self, members: OriginMembers, now: Timestamp) {
        self.members = members;
        self.next_review = now + REVIEW_INTERVAL;
    }

    /// Sets the views of services' servers.
    pub fn set_views(&mut self, views: impl IntoIterator<Item = (OriginService, OriginView)>) {
        self.views.extend(views);
    }

    /// Records streams that this daemon serves, and tells the daemons that are to know of them.
    pub fn record(&mut self, streams: Vec<StreamRecord>, now: Timestamp) {
        let mut by_witness: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        for record in streams {
            self.keep(record, now);
            for witness in witnesses_to_tell(record.stream, &self.members.live, self.own.daemon) {
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
        let unanswered = witnesses_to_ask(stream, &self.members.live, self.own.daemon);
        let question = Question {
            stream,
            service,
            asked: unanswered.len(),
            unanswered,
            views: vec![self.view(service)],
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
                    None => OriginAnswer::Unknown(self.view(service)),
                };
                let message = OriginMessage::Answer { id, stream, answer };
                self.actions.push(OriginAction::Send { to: reply_to, message });
            }
            OriginMessage::Answer { id, stream, answer } => {
                self.receive_answer(from.daemon, id, stream, answer);
            }
        }
    }

    /// Asks again, concludes questions that most daemons have answered, and gives up those whose time is over.
    pub fn tick(&mut self, now: Timestamp) {
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

    fn view(&self, service: OriginService) -> OriginView {
        self.views.get(&service).copied().unwrap_or(OriginView::Nothing)
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
                question.views.push(view);
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
            asked = question.asked,
            live = self.members.live.len(),
            known = self.members.known;
            "Nobody was told where a stream began."
        );
        self.actions.push(OriginAction::Found { id, origin });
    }

    /// Returns the origin by the views so far. Some of them may be outdated, on one side of a cut, so most daemons must
    /// have answered.
    fn origin_by_views(&self, question: &Question) -> Option<Origin> {
        let has_majority = question.views.len() * 2 > question.asked + 1;
        let is_decided = has_majority && self.members.are_mostly_live();
        common_origin(&question.views).filter(|_| is_decided)
    }
}

/// Returns the only origin that any of the views allows.
fn common_origin(views: &[OriginView]) -> Option<Origin> {
    let mut common = None;
    for view in views {
        match view {
            OriginView::Nothing => {}
            OriginView::Several => return None,
            OriginView::Only(origin) if common.is_none_or(|common| common == *origin) => {
                common = Some(*origin);
            }
            OriginView::Only(_) => return None,
        }
    }
    common
}
