//! Engines that join, report, leave and die; their cache events and inventories.

use dahlia_types::{AttemptId, EngineId, Timestamp};

use super::Scheduler;
use crate::view::{Availability, EngineSlot, ReportEffect};
use crate::{Action, CacheNotice, EngineDescription, EngineInventory, EngineReport};

impl Scheduler {
    pub(super) fn engine_joined(
        &mut self,
        joined: EngineDescription,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let (slot, restarted) = self.engines.join(joined, now);
        if restarted {
            self.forget_cache(slot);
        }
        self.drain_all(now, actions);
    }

    pub(super) fn engine_report(
        &mut self,
        report: &EngineReport,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some((slot, effect)) = self.engines.report(report) else { return };
        match effect {
            ReportEffect::None => {}
            ReportEffect::Restarted => self.forget_cache(slot),
            ReportEffect::BeganDraining => self.recall_from(slot, actions),
        }
        self.drain_all(now, actions);
    }

    pub(super) fn engine_leaving(&mut self, engine: &EngineId, actions: &mut Vec<Action>) {
        if let Some(slot) = self.engines.withdraw(engine, Availability::Leaving) {
            self.recall_from(slot, actions);
        }
    }

    pub(super) fn engine_gone(&mut self, engine: &EngineId) {
        if let Some(slot) = self.engines.withdraw(engine, Availability::Gone) {
            self.forget_cache(slot);
        }
    }

    pub(super) fn cache_notice(
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
        let last = entry.cache_sequence;
        if last.is_some_and(|last| notice.sequence <= last) {
            return;
        }
        entry.cache_sequence = Some(notice.sequence);
        if let Some(program) = self.programs.get_mut(notice.program) {
            program.told(slot, notice.resident.0);
        }
        if last.is_some_and(|last| notice.sequence > last + 1) {
            self.stats.cache_event_gaps += 1;
            self.ask_inventory(slot, now, actions);
        }
    }

    /// Asks for the inventory that mends a gap; not again before the last answer can be here.
    fn ask_inventory(&mut self, slot: EngineSlot, now: Timestamp, actions: &mut Vec<Action>) {
        let interval = self.settings.retention.inventory_interval;
        let entry = self.engines.entry_mut(slot);
        let due = entry.inventory_asked.is_none_or(|asked| now.since(asked) >= interval);
        if due {
            entry.inventory_asked = Some(now);
            actions.push(Action::FetchInventory(entry.id.clone()));
        }
    }

    pub(super) fn inventory(
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
        entry.cache_sequence = entry.cache_sequence.max(Some(inventory.sequence));
        for (program, tokens) in &inventory.programs {
            if let Some(program) = self.programs.get_mut(*program) {
                program.told(slot, tokens.0);
            }
            // A release was lost on the way. Programs that are not known here are another
            // scheduler's: releasing them could free what a daemon beyond a cut still serves.
            if self.programs.is_releasing(*program, slot) {
                self.ask_release(*program, slot, now, actions);
            }
        }
    }

    /// Recalls what has not begun to answer; what has may finish.
    fn recall_from(&mut self, slot: EngineSlot, actions: &mut Vec<Action>) {
        let silent = self.open.iter().filter(|(_, open)| open.slot == slot && !open.answering);
        let attempts: Vec<AttemptId> = silent.map(|(attempt, _)| *attempt).collect();
        let engine = self.engines.entry(slot).id.clone();
        for attempt in attempts {
            self.stats.recalled += 1;
            actions.push(Action::Recall { attempt, engine: engine.clone() });
        }
    }

    fn forget_cache(&mut self, slot: EngineSlot) {
        self.programs.forget_engine(slot);
        self.shared.forget_engine(slot);
    }
}
