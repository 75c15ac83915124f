//! What a new owner has to take up: calls that an earlier owner left without an outcome.

use dahlia_types::{AttemptId, CallId, Repeatability};

use crate::{GroupState, OpenAttempt, Program, ReleaseRequest};

/// A call that has no outcome and is first in its chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnfinishedCall {
    /// No attempt is open: it may be dispatched as the attempt of this number.
    Ready(AttemptId),
    /// An intent is recorded and no outcome. Ask the engine about the attempt, with this owner's
    /// epoch as a fence, and act on its answer:
    ///
    /// - it still runs, or ran and keeps the answer: resume the stream from its start;
    /// - it never started and never will: record [`crate::AttemptOutcome::NotRun`];
    /// - it was cut: record [`crate::AttemptOutcome::Cut`];
    /// - the engine is gone or cannot say: record [`crate::AttemptOutcome::Unknown`].
    Interrupted {
        /// The attempt.
        attempt: AttemptId,
        /// Where it was sent, by whom.
        open: OpenAttempt,
        /// Whether the call may be tried again after an unknown outcome. The state refuses
        /// another intent otherwise; this is to tell the caller in time.
        repeatability: Repeatability,
    },
}

impl GroupState {
    /// What the owner of the group has to act on, in the order of programs and chains. Calls that
    /// wait for an earlier one of their chain are left out.
    pub fn unfinished_calls(&self) -> Vec<UnfinishedCall> {
        self.programs().flat_map(Program::unfinished_calls).collect()
    }

    /// What to ask of engines for programs that have ended, in the order of programs. Engines
    /// where an attempt is open are left out until its end is recorded.
    pub fn releases_due(&self) -> Vec<ReleaseRequest> {
        let ended = self.programs().filter(|program| !program.is_open());
        ended.flat_map(Program::release_requests).collect()
    }
}

impl Program {
    /// What to ask of each engine that holds, or may hold, something of the program.
    pub fn release_requests(&self) -> Vec<ReleaseRequest> {
        self.obligations().filter_map(|(life, _)| self.release_request(life)).collect()
    }

    /// The part of [`GroupState::unfinished_calls`] that concerns this program.
    pub fn unfinished_calls(&self) -> Vec<UnfinishedCall> {
        let heads = self.chains().filter_map(|(chain, state)| {
            let number = state.first_open()?;
            Some(CallId { program: self.id(), chain, number })
        });
        heads.filter_map(|call| self.unfinished(call)).collect()
    }

    fn unfinished(&self, id: CallId) -> Option<UnfinishedCall> {
        let call = self.call(id)?;
        let Some(open) = call.open_attempt() else {
            let attempt = AttemptId { call: id, attempt: call.attempts() + 1 };
            return Some(UnfinishedCall::Ready(attempt));
        };
        Some(UnfinishedCall::Interrupted {
            attempt: AttemptId { call: id, attempt: open.number },
            open: open.clone(),
            repeatability: call.repeatability(),
        })
    }
}
