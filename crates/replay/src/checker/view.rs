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
            Observation::Told { call, outcome, gateway } => {
                self.call(*call).told.push((at, outcome, *gateway));
            }
            Observation::Refused { call, kind } => self.call(*call).refused.push(*kind),
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
            Observation::Killed { owned, .. } => self.kills.push((at, owned)),
            Observation::Stopped { daemon, cut, took } => self.stops.push((*daemon, *cut, *took)),
            Observation::Unfinished { what } => self.unfinished.push(what),
        }
    }
}
