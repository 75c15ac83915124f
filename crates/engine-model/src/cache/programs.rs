//! The nodes that each program uses, and the holds on them.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{ProgramId, Timestamp};

use super::NodeId;
use crate::{AfterHold, CacheChange};

#[derive(Debug, Default)]
struct CachedProgram {
    nodes: BTreeSet<NodeId>,
    tokens: u64,
    held: bool,
    hold: Option<(Timestamp, AfterHold)>,
}

/// All programs that have something cached.
#[derive(Debug, Default)]
pub(crate) struct CachedPrograms {
    programs: BTreeMap<ProgramId, CachedProgram>,
    holds: BTreeSet<(Timestamp, ProgramId)>,
    changes: BTreeMap<ProgramId, CacheChange>,
}

impl CachedPrograms {
    /// Returns the tokens cached for `program`.
    pub(crate) fn tokens(&self, program: ProgramId) -> u64 {
        self.programs.get(&program).map_or(0, |entry| entry.tokens)
    }

    /// Iterates over all programs with their tokens and the end of their hold.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ProgramId, u64, Option<Timestamp>)> {
        self.programs
            .iter()
            .map(|(program, entry)| (*program, entry.tokens, entry.hold.map(|(until, _)| until)))
    }

    /// Records a change, to be reported as a cache event.
    pub(crate) fn record_change(&mut self, program: ProgramId, change: CacheChange) {
        self.changes.insert(program, change);
    }

    /// Takes the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> BTreeMap<ProgramId, CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Sets the end of a program's hold. Returns false if nothing is cached for it.
    pub(crate) fn set_hold(
        &mut self,
        program: ProgramId,
        until: Timestamp,
        after: AfterHold,
    ) -> bool {
        self.clear_hold(program);
        let Some(entry) = self.programs.get_mut(&program) else { return false };
        entry.hold = Some((until, after));
        self.holds.insert((until, program));
        true
    }

    /// Clears the end of a program's hold.
    pub(crate) fn clear_hold(&mut self, program: ProgramId) {
        let Some(entry) = self.programs.get_mut(&program) else { return };
        if let Some((until, _)) = entry.hold.take() {
            self.holds.remove(&(until, program));
        }
    }

    /// Returns when the next hold lapses.
    pub(crate) fn next_hold_end(&self) -> Option<Timestamp> {
        self.holds.first().map(|(until, _)| *until)
    }

    /// Removes and returns the next hold that has lapsed by `now`.
    pub(crate) fn take_lapsed_hold(&mut self, now: Timestamp) -> Option<(ProgramId, AfterHold)> {
        let (until, program) = self.holds.first().copied()?;
        if until > now {
            return None;
        }
        self.holds.pop_first();
        let hold = self.programs.get_mut(&program).and_then(|entry| entry.hold.take());
        hold.map(|(_, after)| (program, after))
    }

    /// Marks a program as held or not held. Returns the nodes whose hold count changes.
    pub(super) fn set_held(&mut self, program: ProgramId, held: bool) -> Vec<NodeId> {
        match self.programs.get_mut(&program) {
            Some(entry) if entry.held != held => {
                entry.held = held;
                entry.nodes.iter().copied().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Adds a node to a program. Returns whether the program is held.
    pub(super) fn add_node(&mut self, program: ProgramId, node: NodeId, computed: u64) -> bool {
        let entry = self.programs.entry(program).or_default();
        entry.nodes.insert(node);
        entry.tokens += computed;
        entry.held
    }

    /// Removes a node from a program. A program without nodes is removed.
    pub(super) fn remove_node(&mut self, program: ProgramId, node: NodeId) {
        let Some(entry) = self.programs.get_mut(&program) else { return };
        entry.nodes.remove(&node);
        if entry.nodes.is_empty() {
            self.clear_hold(program);
            self.programs.remove(&program);
        }
    }

    /// Removes a program. Returns its nodes and whether it was held.
    pub(super) fn remove(&mut self, program: ProgramId) -> Option<(BTreeSet<NodeId>, bool)> {
        self.clear_hold(program);
        let entry = self.programs.remove(&program)?;
        self.changes.insert(program, CacheChange::Removed);
        Some((entry.nodes, entry.held))
    }

    pub(super) fn add_tokens(&mut self, users: &BTreeSet<ProgramId>, tokens: u64) {
        for program in users {
            if let Some(entry) = self.programs.get_mut(program) {
                entry.tokens += tokens;
            }
        }
    }

    pub(super) fn remove_tokens(&mut self, users: &BTreeSet<ProgramId>, tokens: u64) {
        for program in users {
            if let Some(entry) = self.programs.get_mut(program) {
                entry.tokens -= tokens;
            }
        }
    }
}
