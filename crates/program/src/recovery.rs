//! Work that a new owner takes over: calls that an earlier owner left without an outcome, and
//! releases that are due.

use dahlia_types::{AttemptId, CallId, Repeatability};

use crate::{GroupState, OpenAttempt, Program, ReleaseRequest};

/// A call that has no outcome and is first in its chain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnfinishedCall {
    /// No attempt is open. The call may be dispatched as this attempt.
    Ready(AttemptId),
    /// An intent is recorded but no outcome. The owner asks the engine about the attempt, with its
    /// own epoch as a fence, and acts on the reply:
    ///
    /// - it still runs, or has run and the engine keeps the answer: resume the stream from its start;
    /// - it never started and never will: record [`crate::AttemptOutcome::NotRun`];
    /// - it was cut off: record [`crate::AttemptOutcome::Cut`];
    /// - the engine is gone or does not know: record [`crate::AttemptOutcome::Unknown`].
    Interrupted {
        /// The attempt.
        attempt: AttemptId,
        /// The record of the attempt.
        open: OpenAttempt,
        /// Whether the call may be attempted again after an unknown outcome. If not, the state
        /// refuses another intent; the owner uses this to answer the caller early.
        repeatability: Repeatability,
    },
}

impl GroupState {
    /// The calls that the owner of the group must act on, ordered by program and chain. Calls that
    /// wait for an earlier one of their chain are left out.
    pub fn unfinished_calls(&self) -> Vec<UnfinishedCall> {
        self.programs().flat_map(Program::unfinished_calls).collect()
    }

    /// The release requests of programs that have ended, in the order of programs. Engines where an
    /// attempt is open are left out until its outcome is recorded.
    pub fn releases_due(&self) -> Vec<ReleaseRequest> {
        let ended = self.programs().filter(|program| !program.is_open());
        ended.flat_map(Program::release_requests).collect()
    }
}

impl Program {
    /// The request to each engine that holds, or may hold, something for the program.
    pub fn release_requests(&self) -> Vec<ReleaseRequest> {
        self.obligations().filter_map(|(holder, _)| self.release_request(holder)).collect()
    }

    /// The part of [`GroupState::unfinished_calls`] that concerns this program.
    pub fn unfinished_calls(&self) -> Vec<UnfinishedCall> {
        let heads = self.chains().filter_map(|(chain, state)| {
            let number = state.first_open()?;
            Some(CallId { program: self.id(), chain, number })
        });
        heads.filter_map(|call| self.unfinished_call(call)).collect()
    }

    fn unfinished_call(&self, id: CallId) -> Option<UnfinishedCall> {
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
