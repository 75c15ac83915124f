//! What a node does when it becomes the owner of a group, and when it ceases to be.

use dahlia_placement::Event as PlacementEvent;
use dahlia_program::{NotRunReason, OpenAttempt, UnfinishedCall};
use dahlia_types::{AttemptId, CallId, GroupId, ProgramId, Timestamp};

use crate::Action;
use crate::group::{IntentPurpose, LiveAttempt, Purpose};
use crate::node::Node;
use crate::request::{AttemptEnd, NotRunCause, Response};

/// Priority of a resumed attempt at its engine: it only reads, so any will do.
const RESUMED_PRIORITY: u64 = 0;

impl Node {
    /// Takes up the duties of an owner. Everything that earlier owners committed is applied.
    pub(crate) fn take_up(&mut self, id: GroupId, now: Timestamp) {
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
                UnfinishedCall::Ready(attempt) => self.take_up_ready(attempt.call, now),
                UnfinishedCall::Interrupted { attempt, open, .. } => {
                    self.resume(id, attempt, &open, now);
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

    fn take_up_ready(&mut self, call: CallId, now: Timestamp) {
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

    /// Finds out about an attempt of an earlier owner: whether it ran is for the engine to say.
    fn resume(&mut self, id: GroupId, attempt: AttemptId, open: &OpenAttempt, now: Timestamp) {
        let limit = self.settings.attempt_limit;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let epoch = group.replica.term();
        let live = LiveAttempt { epoch, cancel_at: now + limit };
        group.live.insert(attempt, live);
        group.taken_over.insert(attempt);
        if self.settings.faults.no_enquiry {
            let reason = "a test's fault: nobody asked the engine".to_owned();
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

    /// Ceases to act as owner. Attempts run on at their engines; the new owner resumes them.
    pub(crate) fn step_down(&mut self, id: GroupId, now: Timestamp) {
        let hint = self.owner_hint(id);
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        log::info!(target: "groups", group:% = id; "This daemon owns a group no longer.");
        group.serving = None;
        self.recalled.retain(|attempt| attempt.call.program.group != id);
        self.refusals.retain(|attempt, _| attempt.call.program.group != id);
        let attempts = std::mem::take(&mut group.live);
        let pending = std::mem::take(&mut group.pending);
        let deferred = std::mem::take(&mut group.deferred);
        let waiters = std::mem::take(&mut group.waiters);
        group.releases.clear();
        group.taken_over.clear();
        let programs: Vec<ProgramId> = group.state.programs().map(|program| program.id()).collect();
        self.drop_reads(&programs);
        for attempt in attempts.into_keys() {
            self.actions.push(Action::LeaveAttempt { attempt });
            // Whoever resumes the attempt reads its text from the start. If that is this daemon
            // again, the text must not stand behind what was read before.
            self.actions.push(Action::ForgetAnswer { call: attempt.call });
        }
        let purposes = pending.into_values().map(|(_, purpose)| purpose);
        for purpose in purposes.chain(deferred.into_iter().map(|(_, purpose)| purpose)) {
            if let Purpose::Request(to) = purpose {
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
