//! Servers that ended under requests, told between gateways.
//!
//! A request that ends each server which reads it comes back at any gateway. So the gateway at which a server ended tells all
//! others before the caller learns of it, and learns what they know. Datagrams get lost and gateways start again, so each one also
//! compares what it knows with one other a second. Nothing is agreed on and nothing is kept on a disk.
//!
//! The node only carries records. Its driver keeps them, and answers the questions of other gateways.

mod message;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, ReplicaId, Timestamp};

pub use message::{CrashMessage, CrashRecord, RequestKey};

use crate::request::RequestId;

/// Interval between updates of the members.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// How long a question waits for answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// How long after a question it is sent again to those that have not answered, since datagrams get lost.
const REPEAT_DELAY: Duration = Duration::from_millis(40);
/// How long a gateway that is not live any more counts as one that may be cut off, and not gone.
const CUT_OFF_MEMORY: Duration = Duration::from_secs(60);
/// How long a live gateway may leave questions unanswered before it counts as one of a build that does not know them.
/// Membership notices by then if it is cut off.
const IGNORED_QUESTION_LIMIT: Duration = Duration::from_secs(5);
/// The most records in one datagram. Each has at most 45 bytes.
pub const MAX_RECORDS_PER_MESSAGE: usize = 24;

/// A gateway as membership knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayMember {
    /// The daemon.
    pub daemon: DaemonId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is alive.
    pub is_live: bool,
    /// Whether it belongs to those whose answers count: the gateways of the own region, unless these are few.
    pub is_near: bool,
}

/// Which gateways have answered a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerReach {
    /// All that count.
    All,
    /// More than half of them, this one included.
    Majority,
    /// No more than half of them.
    Minority,
}

/// The outcome of a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConsultationResult {
    /// What others know of the request.
    pub records: Vec<CrashRecord>,
    /// How many servers have it through others.
    pub in_flight: u32,
    /// Who has answered.
    pub reach: AnswerReach,
}

/// What this daemon asks the node to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashAction {
    /// Send a message; it may be lost.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// The message.
        message: CrashMessage,
    },
    /// Answer a question of this daemon's gateway.
    Consulted {
        /// The question.
        id: RequestId,
        /// Its outcome.
        result: ConsultationResult,
    },
    /// Pass on a message of another gateway.
    Received(CrashReport),
}

/// What another gateway tells or asks this daemon's gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashReport {
    /// Records that it may lack. If there is a question, its answer is [`CrashReports::answer`].
    Records {
        /// The records.
        records: Vec<CrashRecord>,
        /// The question that they came with.
        question: Option<CrashQuestion>,
    },
    /// The hash of all records of another gateway. If the own ones have another hash, they are sent there.
    Digest {
        /// The hash.
        digest: u64,
        /// The address for the records.
        reply_to: SocketAddr,
    },
}

/// A question of another gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashQuestion {
    /// Its identifier there.
    pub id: RequestId,
    /// The address for the answer.
    pub reply_to: SocketAddr,
}

/// A question of this daemon's gateway.
#[derive(Debug)]
struct Consultation {
    records: Vec<CrashRecord>,
    /// Gateways whose answers are waited for.
    unanswered: Vec<GatewayMember>,
    /// How many were asked.
    asked: usize,
    /// How many others may be cut off.
    lost: usize,
    has_joined: bool,
    result: Vec<CrashRecord>,
    in_flight: u32,
    repeat_at: Option<Timestamp>,
    give_up_at: Timestamp,
}

/// This daemon's part in telling of servers that ended.
pub struct CrashReports {
    own: DaemonId,
    own_address: SocketAddr,
    members: Vec<GatewayMember>,
    /// When each near gateway was last live.
    last_live: BTreeMap<DaemonId, Timestamp>,
    /// Since when gateways have left questions unanswered.
    unanswered_since: BTreeMap<DaemonId, Timestamp>,
    /// Whether membership knows any other daemon.
    has_joined: bool,
    next_review: Timestamp,
    next_comparison: usize,
    consultations: BTreeMap<RequestId, Consultation>,
    actions: Vec<CrashAction>,
}

impl CrashReports {
    /// Creates the state of a daemon that knows no other.
    pub fn new(own: ReplicaId, own_address: SocketAddr) -> Self {
        Self {
            own: own.daemon,
            own_address,
            members: Vec::new(),
            last_live: BTreeMap::new(),
            unanswered_since: BTreeMap::new(),
            has_joined: false,
            next_review: Timestamp::ZERO,
            next_comparison: 0,
            consultations: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Whether questions wait for answers.
    pub fn has_questions(&self) -> bool {
        !self.consultations.is_empty()
    }

    /// Whether the members are due to be set, which copies all of them.
    pub fn is_review_due(&self, now: Timestamp) -> bool {
        now >= self.next_review
    }

    /// Sets the gateways that membership knows, dead ones and this one included. A daemon that is alone in its membership
    /// has not joined.
    pub fn set_members(&mut self, members: Vec<GatewayMember>, has_joined: bool, now: Timestamp) {
        let own = self.own;
        self.has_joined = has_joined;
        self.members = members.into_iter().filter(|member| member.daemon != own).collect();
        for member in self.members.iter().filter(|member| member.is_near) {
            let seen = self.last_live.entry(member.daemon).or_insert(now);
            if member.is_live {
                *seen = now;
            }
        }
        let known: BTreeMap<DaemonId, bool> =
            self.members.iter().map(|member| (member.daemon, member.is_live)).collect();
        self.last_live.retain(|daemon, _| known.contains_key(daemon));
        // One that is dead or cut off does not answer either, whatever its build.
        self.unanswered_since.retain(|daemon, _| known.get(daemon) == Some(&true));
        self.next_review = now + REVIEW_INTERVAL;
    }

    /// Tells all gateways the records of one request, and asks what they know. [`CrashAction::Consulted`] follows.
    pub fn consult(&mut self, id: RequestId, records: Vec<CrashRecord>, now: Timestamp) {
        let near = self.members.iter().filter(|member| member.is_near && member.is_live);
        let asked: Vec<GatewayMember> =
            near.filter(|member| !self.ignores_questions(member.daemon, now)).copied().collect();
        let consultation = Consultation {
            records,
            lost: self.lost_gateways(now),
            asked: asked.len(),
            unanswered: asked,
            result: Vec::new(),
            in_flight: 0,
            has_joined: self.has_joined,
            repeat_at: Some(now + REPEAT_DELAY),
            give_up_at: now + ANSWER_TIMEOUT,
        };
        self.inform_distant(&consultation.records);
        self.ask(id, &consultation);
        self.consultations.insert(id, consultation);
        self.conclude_answered(id);
    }

    /// Tells all gateways records.
    pub fn inform(&mut self, records: &[CrashRecord]) {
        let live = self.members.iter().filter(|member| member.is_live);
        let addresses: Vec<SocketAddr> = live.map(|member| member.address).collect();
        for to in addresses {
            self.send_records(to, records);
        }
    }

    /// Answers a question of another gateway.
    pub fn answer(&mut self, question: CrashQuestion, records: Vec<CrashRecord>, in_flight: u32) {
        let CrashQuestion { id, reply_to } = question;
        let message = CrashMessage::Answer { id, records, in_flight };
        self.actions.push(CrashAction::Send { to: reply_to, message });
    }

    /// Sends one gateway records that it may lack.
    pub fn send_records(&mut self, to: SocketAddr, records: &[CrashRecord]) {
        for records in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            let message = CrashMessage::Inform { records: records.to_vec() };
            self.actions.push(CrashAction::Send { to, message });
        }
    }

    /// Compares all records of this daemon's gateway with those of another one: one after the other, the near ones first.
    pub fn compare(&mut self, digest: u64) {
        let live = self.members.iter().filter(|member| member.is_live);
        let mut candidates: Vec<GatewayMember> = live.copied().collect();
        candidates.sort_by_key(|member| (!member.is_near, member.daemon));
        if candidates.is_empty() {
            return;
        }
        let own_place = candidates.iter().filter(|member| member.daemon < self.own).count();
        let place = (own_place + self.next_comparison) % candidates.len();
        self.next_comparison += 1;
        let message = CrashMessage::Compare { digest, reply_to: self.own_address };
        self.actions.push(CrashAction::Send { to: candidates[place].address, message });
    }

    /// Handles a message of another daemon.
    pub fn receive(&mut self, from: ReplicaId, message: CrashMessage) {
        self.unanswered_since.remove(&from.daemon);
        match message {
            CrashMessage::Consult { id, records, reply_to } => {
                let question = Some(CrashQuestion { id, reply_to });
                self.pass_on(CrashReport::Records { records, question });
            }
            CrashMessage::Inform { records } => {
                self.pass_on(CrashReport::Records { records, question: None });
            }
            CrashMessage::Compare { digest, reply_to } => {
                self.pass_on(CrashReport::Digest { digest, reply_to });
            }
            CrashMessage::Answer { id, records, in_flight } => {
                self.receive_answer(from.daemon, id, records, in_flight);
            }
        }
    }

    /// Asks again, and gives up questions whose time is over.
    pub fn tick(&mut self, now: Timestamp) {
        let due = |consultation: &Consultation| consultation.repeat_at.is_some_and(|at| at <= now);
        for id in self.consultations_where(due) {
            if let Some(mut consultation) = self.consultations.remove(&id) {
                consultation.repeat_at = None;
                self.ask(id, &consultation);
                self.consultations.insert(id, consultation);
            }
        }
        for id in self.consultations_where(|consultation| consultation.give_up_at <= now) {
            self.record_unanswered(id, now);
            self.conclude(id);
        }
    }

    /// Takes the actions that are due since the last call.
    pub fn take_actions(&mut self) -> Vec<CrashAction> {
        std::mem::take(&mut self.actions)
    }

    fn consultations_where(&self, filter: impl Fn(&Consultation) -> bool) -> Vec<RequestId> {
        let found = self.consultations.iter().filter(|(_, consultation)| filter(consultation));
        found.map(|(id, _)| *id).collect()
    }

    fn pass_on(&mut self, report: CrashReport) {
        self.actions.push(CrashAction::Received(report));
    }

    fn ask(&mut self, id: RequestId, consultation: &Consultation) {
        for member in &consultation.unanswered {
            let message = CrashMessage::Consult {
                id,
                records: consultation.records.clone(),
                reply_to: self.own_address,
            };
            self.actions.push(CrashAction::Send { to: member.address, message });
        }
    }

    /// Tells gateways whose answers are not waited for.
    fn inform_distant(&mut self, records: &[CrashRecord]) {
        let distant = self.members.iter().filter(|member| member.is_live && !member.is_near);
        let addresses: Vec<SocketAddr> = distant.map(|member| member.address).collect();
        for to in addresses {
            self.send_records(to, records);
        }
    }

    fn receive_answer(
        &mut self,
        from: DaemonId,
        id: RequestId,
        records: Vec<CrashRecord>,
        in_flight: u32,
    ) {
        let Some(consultation) = self.consultations.get_mut(&id) else { return };
        let waited_for = consultation.unanswered.len();
        consultation.unanswered.retain(|member| member.daemon != from);
        if consultation.unanswered.len() == waited_for {
            return;
        }
        consultation.result.extend(records);
        consultation.in_flight = consultation.in_flight.saturating_add(in_flight);
        self.conclude_answered(id);
    }

    fn conclude_answered(&mut self, id: RequestId) {
        if self.consultations.get(&id).is_some_and(|it| it.unanswered.is_empty()) {
            self.conclude(id);
        }
    }

    fn record_unanswered(&mut self, id: RequestId, now: Timestamp) {
        let Some(consultation) = self.consultations.get(&id) else { return };
        for member in &consultation.unanswered {
            self.unanswered_since.entry(member.daemon).or_insert(now);
        }
    }

    /// Whether a live gateway is of a build that does not know these messages.
    fn ignores_questions(&self, member: DaemonId, now: Timestamp) -> bool {
        let since = self.unanswered_since.get(&member);
        since.is_some_and(|since| now.since(*since) >= IGNORED_QUESTION_LIMIT)
    }

    /// The near gateways that were live a short time ago and may be cut off.
    fn lost_gateways(&self, now: Timestamp) -> usize {
        let dead = self.members.iter().filter(|member| member.is_near && !member.is_live);
        let lost = dead.filter_map(|member| self.last_live.get(&member.daemon));
        lost.filter(|seen| now.since(**seen) < CUT_OFF_MEMORY).count()
    }

    fn conclude(&mut self, id: RequestId) {
        let Some(consultation) = self.consultations.remove(&id) else { return };
        let reach = consultation.reach();
        let Consultation { result: records, in_flight, .. } = consultation;
        let result = ConsultationResult { records, in_flight, reach };
        self.actions.push(CrashAction::Consulted { id, result });
    }
}

impl Consultation {
    fn reach(&self) -> AnswerReach {
        let missing = self.unanswered.len() + self.lost;
        let reached = self.asked - self.unanswered.len() + 1;
        if !self.has_joined {
            AnswerReach::Minority
        } else if missing == 0 {
            AnswerReach::All
        } else if reached > missing {
            AnswerReach::Majority
        } else {
            AnswerReach::Minority
        }
    }
}
