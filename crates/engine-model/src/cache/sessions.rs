//! Which programs use which nodes, and the holds on them.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{ProgramId, Timestamp};

use super::NodeId;
use crate::{AfterHold, CacheChange};

#[derive(Debug, Default)]
struct Session {
    nodes: BTreeSet<NodeId>,
    tokens: u64,
    held: bool,
    hold: Option<(Timestamp, AfterHold)>,
}

/// The programs with something cached.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    programs: BTreeMap<ProgramId, Session>,
    holds: BTreeSet<(Timestamp, ProgramId)>,
    changes: BTreeMap<ProgramId, CacheChange>,
}

impl Sessions {
    /// Tokens cached for `program`.
    pub(crate) fn tokens(&self, program: ProgramId) -> u64 {
        self.programs.get(&program).map_or(0, |session| session.tokens)
    }

    /// Every program with its tokens and the end of its hold.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ProgramId, u64, Option<Timestamp>)> {
        self.programs.iter().map(|(program, session)| {
            (*program, session.tokens, session.hold.map(|(until, _)| until))
        })
    }

    /// Notes a change to be told as a cache event.
    pub(crate) fn changed(&mut self, program: ProgramId, change: CacheChange) {
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
        let Some(session) = self.programs.get_mut(&program) else { return false };
        session.hold = Some((until, after));
        self.holds.insert((until, program));
        true
    }

    /// Forgets the end of a program's hold.
    pub(crate) fn clear_hold(&mut self, program: ProgramId) {
        let Some(session) = self.programs.get_mut(&program) else { return };
        if let Some((until, _)) = session.hold.take() {
            self.holds.remove(&(until, program));
        }
    }

    /// When the next hold lapses.
    pub(crate) fn next_lapse(&self) -> Option<Timestamp> {
        self.holds.first().map(|(until, _)| *until)
    }

    /// Takes the next hold that has lapsed by `now`.
    pub(crate) fn take_lapsed(&mut self, now: Timestamp) -> Option<(ProgramId, AfterHold)> {
        let (until, program) = self.holds.first().copied()?;
        if until > now {
            return None;
        }
        self.holds.pop_first();
        let hold = self.programs.get_mut(&program).and_then(|session| session.hold.take());
        hold.map(|(_, after)| (program, after))
    }

    /// Switches the held mark; gives the nodes whose count changes.
    pub(super) fn set_held(&mut self, program: ProgramId, held: bool) -> Vec<NodeId> {
        match self.programs.get_mut(&program) {
            Some(session) if session.held != held => {
                session.held = held;
                session.nodes.iter().copied().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Adds a node to a program; tells whether the program is held.
    pub(super) fn add_node(&mut self, program: ProgramId, node: NodeId, computed: u64) -> bool {
        let session = self.programs.entry(program).or_default();
        session.nodes.insert(node);
        session.tokens += computed;
        session.held
    }

    /// Takes a node from a program; a program without nodes is forgotten.
    pub(super) fn remove_node(&mut self, program: ProgramId, node: NodeId) {
        let Some(session) = self.programs.get_mut(&program) else { return };
        session.nodes.remove(&node);
        if session.nodes.is_empty() {
            self.clear_hold(program);
            self.programs.remove(&program);
        }
    }

    /// Forgets a program; gives its nodes and whether it was held.
    pub(super) fn remove(&mut self, program: ProgramId) -> Option<(BTreeSet<NodeId>, bool)> {
        self.clear_hold(program);
        let session = self.programs.remove(&program)?;
        self.changes.insert(program, CacheChange::Removed);
        Some((session.nodes, session.held))
    }

    pub(super) fn add_tokens(&mut self, users: &BTreeSet<ProgramId>, tokens: u64) {
        for program in users {
            if let Some(session) = self.programs.get_mut(program) {
                session.tokens += tokens;
            }
        }
    }

    pub(super) fn remove_tokens(&mut self, users: &BTreeSet<ProgramId>, tokens: u64) {
        for program in users {
            if let Some(session) = self.programs.get_mut(program) {
                session.tokens -= tokens;
            }
        }
    }
}
