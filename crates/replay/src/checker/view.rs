//! Observations by call and program.

use std::collections::BTreeMap;

use dahlia_api::ErrorKind;
use dahlia_types::{
    AttemptId, CallId, ChainId, DaemonId, Duration, Message, ProgramId, Timestamp, Usage,
};

use crate::world::{CallerOutcome, Observation, Observations};

/// An attempt that an engine took.
#[derive(Debug)]
pub(super) struct AcceptedAttempt<'seen> {
    pub(super) at: Timestamp,
    pub(super) attempt: AttemptId,
    pub(super) tenant: &'seen str,
    pub(super) messages: &'seen [Message],
}

/// A call as its caller and the engines saw it.
#[derive(Debug, Default)]
pub(super) struct CallView<'seen> {
    pub(super) sent: Option<(Timestamp, &'seen [Message], bool)>,
    pub(super) told: Vec<(Timestamp, &'seen CallerOutcome, DaemonId)>,
    pub(super) refused: Vec<ErrorKind>,
    /// Who asked when.
    pub(super) asked: Vec<(Timestamp, usize)>,
    /// Who was told how it ended, or refused, and when.
    pub(super) answered: Vec<(Timestamp, usize)>,
    /// Who was told when that it did not run, and why.
    pub(super) not_run: Vec<(Timestamp, usize, String)>,
    pub(super) accepted: Vec<AcceptedAttempt<'seen>>,
    /// Times and attempts.
    pub(super) started: Vec<(Timestamp, AttemptId)>,
    /// Whole texts, with the time at which each was complete.
    pub(super) texts: Vec<(Timestamp, &'seen str)>,
}

impl CallView<'_> {
    /// How the call ended, as its caller was told first.
    pub(super) fn outcome(&self) -> Option<&CallerOutcome> {
        self.told.first().map(|(_, outcome, _)| *outcome)
    }
}

/// A program as operators and engines saw it.
#[derive(Debug, Default)]
pub(super) struct ProgramView<'seen> {
    pub(super) tenant: &'seen str,
    /// Budgets with the time from which each counts.
    pub(super) budgets: Vec<(Timestamp, u64)>,
    /// Tokens that engines used, by time.
    pub(super) usage: Vec<(Timestamp, Usage)>,
    pub(super) closed: Option<Timestamp>,
}

/// An engine that received work.
#[derive(Debug)]
pub(super) struct Received {
    pub(super) engine: u32,
    pub(super) attempt: AttemptId,
    pub(super) leaving_for: Duration,
}

/// Everything, sorted.
pub(super) struct View<'seen> {
    pub(super) seen: &'seen Observations,
    pub(super) calls: BTreeMap<CallId, CallView<'seen>>,
    pub(super) programs: BTreeMap<ProgramId, ProgramView<'seen>>,
    pub(super) received_leaving: Vec<Received>,
    /// Generations accepted, with the time at which an operator was told.
    pub(super) accepted: Vec<(Timestamp, u64)>,
    /// Generations that came into force.
    pub(super) in_force: Vec<(Timestamp, DaemonId, u64)>,
    /// Starts of daemons.
    pub(super) started: Vec<(Timestamp, DaemonId)>,
    /// Ends of daemons' processes.
    pub(super) ended: Vec<(Timestamp, DaemonId)>,
    pub(super) replaced: Vec<CallId>,
    pub(super) out_of_place: Vec<(CallId, u64, u64)>,
    pub(super) stops: Vec<(DaemonId, u32, Duration)>,
    pub(super) kills: Vec<(Timestamp, &'seen [u32])>,
    pub(super) unfinished: Vec<&'seen str>,
}

impl<'seen> View<'seen> {
    pub(super) fn new(seen: &'seen Observations) -> Self {
        let mut view = Self {
            seen,
            calls: BTreeMap::new(),
            programs: BTreeMap::new(),
            received_leaving: Vec::new(),
            accepted: Vec::new(),
            in_force: Vec::new(),
            started: Vec::new(),
            ended: Vec::new(),
            replaced: Vec::new(),
            out_of_place: Vec::new(),
            stops: Vec::new(),
            kills: Vec::new(),
            unfinished: Vec::new(),
        };
        for found in &seen.seen {
            view.add(found.at, &found.what);
        }
        view
    }

    /// The calls of a chain, in order.
    pub(super) fn chain(
        &self,
        program: ProgramId,
        chain: ChainId,
    ) -> impl Iterator<Item = (&CallId, &CallView<'seen>)> {
        let first = CallId { program, chain, number: 0 };
        let last = CallId { program, chain, number: u32::MAX };
        self.calls.range(first..=last)
    }

    fn call(&mut self, call: CallId) -> &mut CallView<'seen> {
        self.calls.entry(call).or_default()
    }

    fn program(&mut self, program: ProgramId) -> &mut ProgramView<'seen> {
        self.programs.entry(program).or_default()
    }

    fn add(&mut self, at: Timestamp, what: &'seen Observation) {
        match what {
            Observation::Created { program, tenant, budget } => {
                let view = self.program(*program);
                view.tenant = tenant;
                view.budgets.push((at, *budget));
            }
            Observation::Raised { program, budget } => {
                self.program(*program).budgets.push((at, *budget));
            }
            Observation::Closed { program } => {
                self.program(*program).closed.get_or_insert(at);
            }
            Observation::Sent { call, messages, once } => {
                self.call(*call).sent = Some((at, messages, *once));
            }
            Observation::Asked { call, caller } => self.call(*call).asked.push((at, *caller)),
            Observation::Told { call, caller, outcome, gateway } => {
                let view = self.call(*call);
                view.told.push((at, outcome, *gateway));
                view.answered.push((at, *caller));
                if let CallerOutcome::NotRun(reason) = outcome {
                    view.not_run.push((at, *caller, reason.clone()));
                }
            }
            Observation::Refused { call, caller, kind } => {
                let view = self.call(*call);
                view.refused.push(*kind);
                view.answered.push((at, *caller));
                if says_not_run(*kind) {
                    view.not_run.push((at, *caller, kind.name().to_owned()));
                }
            }
            Observation::ChangeAccepted { generation, .. } => {
                self.accepted.push((at, *generation));
            }
            Observation::InForce { daemon, generation } => {
                self.in_force.push((at, *daemon, *generation));
            }
            Observation::DaemonStarted { daemon } => self.started.push((at, *daemon)),
            Observation::Replaced { call } => self.replaced.push(*call),
            Observation::OutOfPlace { call, had, offset } => {
                self.out_of_place.push((*call, *had, *offset));
            }
            Observation::Received { engine, attempt, leaving_for } => {
                if let Some(leaving_for) = *leaving_for {
                    let (engine, attempt) = (*engine, *attempt);
                    self.received_leaving.push(Received { engine, attempt, leaving_for });
                }
            }
            Observation::Accepted { attempt, tenant, messages, .. } => {
                let accepted = AcceptedAttempt { at, attempt: *attempt, tenant, messages };
                self.call(attempt.call).accepted.push(accepted);
            }
            Observation::Started { attempt, .. } => {
                self.call(attempt.call).started.push((at, *attempt));
            }
            Observation::Ended { attempt, usage, text, .. } => {
                self.program(attempt.call.program).usage.push((at, *usage));
                if let Some(text) = text {
                    self.call(attempt.call).texts.push((at, text));
                }
            }
            Observation::Killed { daemon, owned } => {
                self.kills.push((at, owned));
                self.ended.push((at, *daemon));
            }
            Observation::Stopped { daemon, cut, took } => {
                self.stops.push((*daemon, *cut, *took));
                self.ended.push((at, *daemon));
            }
            Observation::Unfinished { what } => self.unfinished.push(what),
        }
    }
}

/// Whether a refusal says that the call did not run.
fn says_not_run(kind: ErrorKind) -> bool {
    !matches!(
        kind,
        ErrorKind::Unknown
            | ErrorKind::Unavailable
            | ErrorKind::AnswerReplaced
            | ErrorKind::Internal
            | ErrorKind::NotFound
    )
}
