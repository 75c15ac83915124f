//! Handling of engines: joining, load reports, leaving and loss; their cache events and
//! inventories.

use dahlia_types::{AttemptId, EngineId, Timestamp};

use super::Scheduler;
use crate::engine_table::{Availability, EngineSlot, ReportEffect};
use crate::{Action, CacheNotice, EngineDescription, EngineInventory, EngineReport};

impl Scheduler {
    pub(super) fn on_engine_joined(
        &mut self,
        joined: EngineDescription,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let (slot, restarted) = self.engines.add_or_update(joined, now);
        if restarted {
            self.clear_cache(slot);
        }
        self.dispatch_all_waiting(now, actions);
    }

    pub(super) fn on_engine_report(
        &mut self,
        report: &EngineReport,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some((slot, effect)) = self.engines.apply_report(report) else { return };
        match effect {
            ReportEffect::None => {}
            ReportEffect::Restarted => self.clear_cache(slot),
            ReportEffect::BeganDraining => self.recall_unanswered(slot, actions),
        }
        self.dispatch_all_waiting(now, actions);
    }

    pub(super) fn on_engine_leaving(&mut self, engine: &EngineId, actions: &mut Vec<Action>) {
        if let Some(slot) = self.engines.take_out_of_service(engine, Availability::Leaving) {
            self.recall_unanswered(slot, actions);
        }
    }

    pub(super) fn on_engine_gone(&mut self, engine: &EngineId) {
        if let Some(slot) = self.engines.take_out_of_service(engine, Availability::Gone) {
            self.clear_cache(slot);
        }
    }

    pub(super) fn on_cache_notice(
        &mut self,
        notice: &CacheNotice,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.engines.slot(&notice.engine) else { return };
        let entry = self.engines.entry_mut(slot);
        if entry.incarnation != notice.incarnation {
            return;
        }
        let last = entry.last_cache_sequence;
        if last.is_some_and(|last| notice.sequence <= last) {
            return;
        }
        entry.last_cache_sequence = Some(notice.sequence);
        if let Some(program) = self.programs.get_mut(notice.program) {
            program.set_reported_tokens(slot, notice.resident.0);
        }
        if last.is_some_and(|last| notice.sequence > last + 1) {
            self.stats.cache_event_gaps += 1;
            self.request_inventory(slot, now, actions);
        }
    }

    /// Requests an inventory to make up for lost cache events, at most once per configured interval
    /// so that the last answer has time to arrive.
    fn request_inventory(&mut self, slot: EngineSlot, now: Timestamp, actions: &mut Vec<Action>) {
        let interval = self.settings.retention.inventory_interval;
        let entry = self.engines.entry_mut(slot);
        let due = entry.inventory_requested_at.is_none_or(|asked| now.since(asked) >= interval);
        if due {
            entry.inventory_requested_at = Some(now);
            actions.push(Action::FetchInventory(entry.id.clone()));
        }
    }

    pub(super) fn on_inventory(
        &mut self,
        inventory: &EngineInventory,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.engines.slot(&inventory.engine) else { return };
        let entry = self.engines.entry_mut(slot);
        if entry.incarnation != inventory.incarnation {
            return;
        }
        entry.last_cache_sequence = entry.last_cache_sequence.max(Some(inventory.sequence));
        for (program, tokens) in &inventory.programs {
            if let Some(program) = self.programs.get_mut(*program) {
                program.set_reported_tokens(slot, tokens.0);
            }
            // The release was lost on the way. Unknown programs belong to other schedulers:
            // releasing them could free cache that a daemon on the other side of a network
            // partition still uses.
            if self.programs.is_releasing(*program, slot) {
                self.request_release(*program, slot, now, actions);
            }
        }
    }

    /// Recalls the attempts that have not begun to answer. The others may finish.
    fn recall_unanswered(&mut self, slot: EngineSlot, actions: &mut Vec<Action>) {
        let unanswered =
            self.open_attempts.iter().filter(|(_, open)| open.slot == slot && !open.is_answering);
        let attempts: Vec<AttemptId> = unanswered.map(|(attempt, _)| *attempt).collect();
        let engine = self.engines.entry(slot).id.clone();
        for attempt in attempts {
            self.stats.recalled += 1;
            actions.push(Action::Recall { attempt, engine: engine.clone() });
        }
    }

    fn clear_cache(&mut self, slot: EngineSlot) {
        self.programs.clear_engine_cache(slot);
        self.shared_prefixes.remove_engine(slot);
    }
}
