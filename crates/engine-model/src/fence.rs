//! Epochs of programs. Commands of an earlier owner, or for an ended program, are refused.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Duration, ProgramId, Term, Timestamp};

use crate::EngineRefusal;

#[derive(Debug, Clone, Copy)]
struct ProgramFence {
    epoch: Term,
    ended: bool,
    last_used: Timestamp,
}

/// The newest epoch seen for each program.
#[derive(Debug)]
pub(crate) struct Fences {
    retention: Duration,
    programs: BTreeMap<ProgramId, ProgramFence>,
    by_age: BTreeSet<(Timestamp, ProgramId)>,
}

impl Fences {
    pub(crate) fn new(retention: Duration) -> Self {
        Self { retention, programs: BTreeMap::new(), by_age: BTreeSet::new() }
    }

    /// Records an owner's epoch, or refuses it if a newer one was seen.
    pub(crate) fn observe(
        &mut self,
        program: ProgramId,
        epoch: Term,
        now: Timestamp,
    ) -> Result<(), EngineRefusal> {
        let known = self.programs.get(&program).copied();
        if let Some(fence) = known
            && fence.epoch > epoch
        {
            return Err(EngineRefusal::StaleEpoch { program, epoch, seen: fence.epoch });
        }
        let ended = known.is_some_and(|fence| fence.ended);
        self.store(program, ProgramFence { epoch, ended, last_used: now });
        Ok(())
    }

    /// Like [`Self::observe`], but also refuses new work for an ended program.
    pub(crate) fn admit(
        &mut self,
        program: ProgramId,
        epoch: Term,
        now: Timestamp,
    ) -> Result<(), EngineRefusal> {
        self.observe(program, epoch, now)?;
        if self.programs[&program].ended {
            return Err(EngineRefusal::ProgramEnded { program });
        }
        Ok(())
    }

    /// Returns whether the program has ended on this engine.
    pub(crate) fn is_ended(&self, program: ProgramId) -> bool {
        self.programs.get(&program).is_some_and(|fence| fence.ended)
    }

    /// Marks the program as ended.
    pub(crate) fn mark_ended(&mut self, program: ProgramId, epoch: Term, now: Timestamp) {
        self.store(program, ProgramFence { epoch, ended: true, last_used: now });
    }

    /// Removes programs without commands for the retention time, except those for which `in_use`
    /// returns true.
    pub(crate) fn expire(&mut self, now: Timestamp, in_use: impl Fn(ProgramId) -> bool) {
        while let Some((last_used, program)) = self.by_age.first().copied() {
            if now.since(last_used) <= self.retention {
                return;
            }
            self.by_age.pop_first();
            if in_use(program) {
                let fence = self.programs[&program];
                self.programs.insert(program, ProgramFence { last_used: now, ..fence });
                self.by_age.insert((now, program));
            } else {
                self.programs.remove(&program);
            }
        }
    }

    fn store(&mut self, program: ProgramId, fence: ProgramFence) {
        if let Some(old) = self.programs.insert(program, fence) {
            self.by_age.remove(&(old.last_used, program));
        }
        self.by_age.insert((fence.last_used, program));
    }
}
