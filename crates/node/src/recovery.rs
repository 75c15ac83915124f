//! Gains and gives up ownership of a group.

use dahlia_placement::Event as PlacementEvent;
use dahlia_program::{NotRunReason, OpenAttempt, UnfinishedCall};
use dahlia_types::{AttemptId, CallId, GroupId, ProgramId, Timestamp};

use crate::Action;
use crate::group::{IntentPurpose, LiveAttempt, ProposalPurpose};
use crate::node::Node;
use crate::request::{AttemptEnd, NotRunCause, Response};

/// Engine priority of a resumed attempt. It only reads, so any value works.
const RESUMED_PRIORITY: u64 = 0;

impl Node {
    /// Assumes ownership of a group, after all commands that previous owners committed are applied.
    pub(crate) fn assume_ownership(&mut self, id: GroupId, now: Timestamp) {
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        log::info!(
            target: "groups",
            group:% = id,
            epoch = group.replica.term().0,
            programs = group.state.programs().count();
            "This daemon owns a group."
        );
        let ended: Vec<ProgramId> = group
            .state
            .programs()
            .filter(|program| !program.is_open())
            .map(|program| program.id())
            .collect();
        for unfinished in group.state.unfinished_calls() {
            match unfinished {
                UnfinishedCall::Ready(attempt) => self.restart_ready_call(attempt.call, now),
                UnfinishedCall::Interrupted { attempt, open, .. } => {
                    self.resume_attempt(id, attempt, &open, now);
                }
            }
        }
        for program in ended {
            self.cancel_attempts_of(id, program, now);
            self.release_program(id, program, now);
        }
        let restarted = self.engines.incarnations();
        for (engine, incarnation) in restarted {
            self.engine_restarted(&engine, incarnation, now);
        }
    }

    fn restart_ready_call(&mut self, call: CallId, now: Timestamp) {
        let group = self.groups.get(&call.program.group);
        let open = group
            .and_then(|group| group.state.program(call.program))
            .is_some_and(|program| program.is_open());
        if open {
            self.call_ready(call, now);
        } else {
            self.abandon(call, NotRunReason::ProgramClosed, None, now);
        }
    }

    /// Resumes an attempt of a previous owner. Only the engine knows whether it ran.
    fn resume_attempt(
        &mut self,
        id: GroupId,
        attempt: AttemptId,
        open: &OpenAttempt,
        now: Timestamp,
    ) {
        let limit = self.settings.attempt_limit;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let epoch = group.replica.term();
        let live = LiveAttempt { epoch, cancel_at: now + limit };
        group.live_attempts.insert(attempt, live);
        group.resumed_attempts.insert(attempt);
        if self.settings.faults.no_enquiry {
            let reason = "a test disabled the query to the engine".to_owned();
            let cause = NotRunCause::Engine;
            let end = AttemptEnd::NotRun { cause, reason, retry_after: None };
            self.attempt_ended(attempt, epoch, end, now);
            return;
        }
        let intent = IntentPurpose {
            attempt,
            holder: dahlia_program::EngineIncarnation {
                engine: open.engine.clone(),
                incarnation: open.incarnation,
            },
            prompt_bound: open.reserved.saturating_sub(open.generated_cap),
            priority: RESUMED_PRIORITY,
        };
        if let Some(start) = self.describe_start(&intent, epoch, open.generated_cap) {
            self.actions.push(Action::ResumeAttempt(Box::new(start)));
        }
    }

    /// Gives up ownership. Attempts continue at their engines, and the new owner resumes them.
    pub(crate) fn give_up_ownership(&mut self, id: GroupId, now: Timestamp) {
        let hint = self.owner_hint(id);
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        log::info!(target: "groups", group:% = id; "This daemon no longer owns a group.");
        group.serving_term = None;
        self.recalled_attempts.retain(|attempt| attempt.call.program.group != id);
        self.not_run_causes.retain(|attempt, _| attempt.call.program.group != id);
        let attempts = std::mem::take(&mut group.live_attempts);
        let pending = std::mem::take(&mut group.pending_proposals);
        let deferred = std::mem::take(&mut group.deferred_commands);
        let waiters = std::mem::take(&mut group.waiters);
        group.releases.clear();
        group.resumed_attempts.clear();
        let programs: Vec<ProgramId> = group.state.programs().map(|program| program.id()).collect();
        self.drop_pending_reads(&programs);
        for attempt in attempts.into_keys() {
            self.actions.push(Action::DetachAttempt { attempt });
            // The daemon that resumes the attempt reads its text from the beginning. If that is this
            // daemon again, the text must not be appended to what was read before.
            self.actions.push(Action::ForgetAnswer { call: attempt.call });
        }
        let purposes = pending.into_values().map(|(_, purpose)| purpose);
        for purpose in purposes.chain(deferred.into_iter().map(|(_, purpose)| purpose)) {
            if let ProposalPurpose::Request(to) = purpose {
                self.reply(to, Response::NotOwner { hint });
            }
        }
        for (call, waiting) in waiters {
            self.actions.push(Action::ForgetAnswer { call });
            for to in waiting {
                self.reply(to, Response::NotOwner { hint });
            }
        }
        for program in programs {
            self.schedule(PlacementEvent::ProgramWithdrawn(program), now);
        }
    }
}
