//! Frees program memory at engines. An obligation ends only when the engine confirms the release or
//! restarts with a new incarnation.

use dahlia_placement::Event as PlacementEvent;
use dahlia_program::{Command, ConfirmRelease, EngineIncarnation};
use dahlia_types::{
    Bytes, Duration, EngineId, GroupId, Incarnation, LogIndex, ProgramId, Timestamp,
};

use crate::group::{PendingRelease, ProposalPurpose};
use crate::node::Node;
use crate::request::ReleaseEnd;
use crate::{Action, ReleaseOrder};

/// Delay before the first retry of a release that was not confirmed. It doubles with each failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// A release without a response is requested again after this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

impl Node {
    /// Starts the release of a program at all engines that hold memory for it.
    pub(crate) fn release_program(&mut self, id: GroupId, program: ProgramId, now: Timestamp) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let Some(found) = group.state.program(program) else {
            return;
        };
        for (holder, _) in found.obligations() {
            let pending = PendingRelease { due: now, failures: 0, awaits_response: false };
            group.releases.entry((program, holder.clone())).or_insert(pending);
        }
        self.request_due_releases(id, now);
    }

    /// Starts the release of a program at one engine.
    pub(crate) fn release_engine(&mut self, program: ProgramId, engine: &EngineId, now: Timestamp) {
        let id = program.group;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let Some(found) = group.state.program(program) else {
            return;
        };
        for (holder, _) in found.obligations().filter(|(holder, _)| holder.engine == *engine) {
            let pending = PendingRelease { due: now, failures: 0, awaits_response: false };
            group.releases.entry((program, holder.clone())).or_insert(pending);
        }
        self.request_due_releases(id, now);
    }

    /// Sends all release requests that are due.
    pub(crate) fn retry_releases(&mut self, now: Timestamp) {
        let ids: Vec<GroupId> = self.groups.keys().copied().collect();
        for id in ids {
            self.request_due_releases(id, now);
        }
    }

    fn request_due_releases(&mut self, id: GroupId, now: Timestamp) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if !group.is_serving() {
            return;
        }
        let epoch = group.replica.term();
        let mut finished = Vec::new();
        for ((program, holder), pending) in &mut group.releases {
            if pending.due > now {
                continue;
            }
            let found = group.state.program(*program);
            let is_obligation = found.is_some_and(|found| {
                found.obligations().any(|(obligation, _)| obligation == holder)
            });
            if !is_obligation {
                finished.push((*program, holder.clone()));
                continue;
            }
            // There is no request while an attempt is open at the engine: its end has to be known
            // first.
            pending.due = now + INITIAL_RETRY_DELAY;
            if let Some(request) = found.and_then(|found| found.release_request(holder)) {
                pending.awaits_response = true;
                pending.due = now + RESPONSE_TIMEOUT;
                let ended = found.is_some_and(|found| !found.is_open());
                let order = ReleaseOrder { request, epoch, ended };
                self.actions.push(Action::Release(Box::new(order)));
            }
        }
        for key in finished {
            group.releases.remove(&key);
        }
    }

    /// Handles the result of a release request.
    pub(crate) fn release_ended(
        &mut self,
        program: ProgramId,
        holder: &EngineIncarnation,
        covers: LogIndex,
        end: ReleaseEnd,
        now: Timestamp,
    ) {
        match end {
            ReleaseEnd::Confirmed { incarnation, freed } => {
                let holder = EngineIncarnation { engine: holder.engine.clone(), incarnation };
                self.confirm_release(program, holder, covers, freed, now);
            }
            ReleaseEnd::Failed => {
                let group = self.groups.get_mut(&program.group);
                let key = (program, holder.clone());
                if let Some(pending) = group.and_then(|group| group.releases.get_mut(&key)) {
                    pending.awaits_response = false;
                    pending.failures += 1;
                    let delay = INITIAL_RETRY_DELAY.times(1 << pending.failures.min(6));
                    pending.due = now + delay.min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    fn confirm_release(
        &mut self,
        program: ProgramId,
        holder: EngineIncarnation,
        covers: LogIndex,
        freed: Bytes,
        now: Timestamp,
    ) {
        let id = program.group;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let command = ConfirmRelease {
            program,
            engine: holder.engine,
            incarnation: holder.incarnation,
            covers,
            freed,
        };
        let _ = group.propose(Command::ConfirmRelease(command), ProposalPurpose::Housekeeping, now);
        self.dirty.insert(id);
    }

    /// Handles a confirmation that is durable.
    pub(crate) fn release_confirmed(&mut self, command: &Command, now: Timestamp) {
        let Command::ConfirmRelease(confirmed) = command else {
            return;
        };
        let program = confirmed.program;
        if let Some(group) = self.groups.get_mut(&program.group) {
            group.releases.retain(|(released, holder), _| {
                *released != program
                    || holder.engine != confirmed.engine
                    || holder.incarnation > confirmed.incarnation
            });
        }
        let engine = confirmed.engine.clone();
        self.schedule(PlacementEvent::Released { program, engine }, now);
    }

    /// Handles a confirmation that was refused because a newer intent renewed the obligation.
    pub(crate) fn release_refused(&mut self, command: &Command, _now: Timestamp) {
        let Command::ConfirmRelease(confirmed) = command else {
            return;
        };
        let holder = EngineIncarnation {
            engine: confirmed.engine.clone(),
            incarnation: confirmed.incarnation,
        };
        if let Some(group) = self.groups.get_mut(&confirmed.program.group) {
            let open = group.state.program(confirmed.program).is_some_and(|found| found.is_open());
            if open {
                group.releases.remove(&(confirmed.program, holder));
            }
        }
    }

    /// Confirms the release of everything that previous incarnations of a restarted engine held.
    pub(crate) fn engine_restarted(
        &mut self,
        engine: &EngineId,
        incarnation: Incarnation,
        now: Timestamp,
    ) {
        let mut affected = Vec::new();
        for group in self.groups.values().filter(|group| group.is_serving()) {
            for program in group.state.programs() {
                let has_earlier = program.obligations().any(|(holder, _)| {
                    holder.engine == *engine && holder.incarnation < incarnation
                });
                if has_earlier {
                    affected.push(program.id());
                }
            }
        }
        for program in affected {
            let holder = EngineIncarnation { engine: engine.clone(), incarnation };
            self.confirm_release(program, holder, LogIndex(0), Bytes::ZERO, now);
        }
    }
}
