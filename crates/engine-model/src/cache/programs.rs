//! Which programs use which nodes, and the holds on them.

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

/// The programs with something cached.
#[derive(Debug, Default)]
pub(crate) struct CachedPrograms {
    programs: BTreeMap<ProgramId, CachedProgram>,
    holds: BTreeSet<(Timestamp, ProgramId)>,
    changes: BTreeMap<ProgramId, CacheChange>,
}

impl CachedPrograms {
    /// Tokens cached for `program`.
    pub(crate) fn tokens(&self, program: ProgramId) -> u64 {
        self.programs.get(&program).map_or(0, |entry| entry.tokens)
    }

    /// Every program with its tokens and the end of its hold.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ProgramId, u64, Option<Timestamp>)> {
        self.programs
            .iter()
            .map(|(program, entry)| (*program, entry.tokens, entry.hold.map(|(until, _)| until)))
    }

    /// Notes a change to be told as a cache event.
    pub(crate) fn record_change(&mut self, program: ProgramId, change: CacheChange) {
        self.changes.insert(program, change);
    }

    /// Takes the changes since the last time.
    pub(crate) fn take_changes(&mut self) -> BTreeMap<ProgramId, CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Sets the end of a program's hold. False when nothing is cached for it.
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

    /// Forgets the end of a program's hold.
    pub(crate) fn clear_hold(&mut self, program: ProgramId) {
        let Some(entry) = self.programs.get_mut(&program) else { return };
        if let Some((until, _)) = entry.hold.take() {
            self.holds.remove(&(until, program));
        }
    }

    /// When the next hold lapses.
    pub(crate) fn next_hold_end(&self) -> Option<Timestamp> {
        self.holds.first().map(|(until, _)| *until)
    }

    /// Takes the next hold that has lapsed by `now`.
    pub(crate) fn take_lapsed_hold(&mut self, now: Timestamp) -> Option<(ProgramId, AfterHold)> {
        let (until, program) = self.holds.first().copied()?;
        if until > now {
            return None;
        }
        self.holds.pop_first();
        let hold = self.programs.get_mut(&program).and_then(|entry| entry.hold.take());
        hold.map(|(_, after)| (program, after))
    }

    /// Switches the held mark; gives the nodes whose count changes.
    pub(super) fn set_held(&mut self, program: ProgramId, held: bool) -> Vec<NodeId> {
        match self.programs.get_mut(&program) {
            Some(entry) if entry.held != held => {
                entry.held = held;
                entry.nodes.iter().copied().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Adds a node to a program; tells whether the program is held.
    pub(super) fn add_node(&mut self, program: ProgramId, node: NodeId, computed: u64) -> bool {
        let entry = self.programs.entry(program).or_default();
        entry.nodes.insert(node);
        entry.tokens += computed;
        entry.held
    }

    /// Takes a node from a program; a program without nodes is forgotten.
    pub(super) fn remove_node(&mut self, program: ProgramId, node: NodeId) {
        let Some(entry) = self.programs.get_mut(&program) else { return };
        entry.nodes.remove(&node);
        if entry.nodes.is_empty() {
            self.clear_hold(program);
            self.programs.remove(&program);
        }
    }

    /// Forgets a program; gives its nodes and whether it was held.
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
