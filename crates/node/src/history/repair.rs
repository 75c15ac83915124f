//! The owner looks after the number of copies: it asks the store daemons that should hold its
//! programs' chunks, a few at a time, and copies what they lack.

use std::collections::BTreeMap;

use dahlia_program::{Program, TurnText};
use dahlia_types::{ChunkKey, DaemonId, Duration, ProgramId, Timestamp};

use super::holders::{holders, ranked};
use super::message::ChunkMessage;
use crate::node::Node;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A copy that did not come about in this time is begun again by a later check.
const COPY_LIMIT: Duration = Duration::from_secs(10);
/// Copies under way at a time.
const MOST_COPIES: usize = 16;

/// A chunk on its way from one store daemon to another, by way of the owner.
#[derive(Debug, Clone, Copy)]
struct Copy {
    to: DaemonId,
    deadline: Timestamp,
}

/// Progress of the checks.
#[derive(Debug, Default)]
pub(crate) struct Repair {
    next_check: Timestamp,
    cursor: Option<ProgramId>,
    copies: BTreeMap<ChunkKey, Copy>,
}

impl Node {
    /// Asks about the next few chunks.
    pub(crate) fn check_copies(&mut self, now: Timestamp) {
        let most = self.settings.history.checks_per_second;
        if now < self.history.repair.next_check || most == 0 {
            return;
        }
        self.history.repair.next_check = now + CHECK_INTERVAL;
        self.history.repair.copies.retain(|_, copy| copy.deadline > now);
        let keys = self.next_chunks(most);
        if keys.is_empty() {
            return;
        }
        let stores = self.store_daemons();
        let mut asked: BTreeMap<DaemonId, Vec<ChunkKey>> = BTreeMap::new();
        for key in keys {
            for holder in holders(&key, &stores, self.settings.history.copies) {
                asked.entry(holder).or_default().push(key);
            }
        }
        for (holder, keys) in asked {
            self.send_chunk(holder, ChunkMessage::Check { keys });
        }
    }

    /// Chunks of the programs behind the cursor, whole programs at a time.
    fn next_chunks(&mut self, most: usize) -> Vec<ChunkKey> {
        let serving = self.groups.values().filter(|group| group.is_serving());
        let cursor = self.history.repair.cursor;
        let programs = serving.flat_map(|group| group.state.programs());
        let behind = programs.filter(|program| cursor.is_none_or(|cursor| program.id() > cursor));
        let mut keys = Vec::new();
        let mut last = None;
        for program in behind {
            if keys.len() >= most {
                break;
            }
            keys.extend(stored_chunks(program));
            last = Some(program.id());
        }
        // At the end the next round starts from the front.
        self.history.repair.cursor = if keys.len() >= most { last } else { None };
        keys
    }

    /// A store daemon lacks chunks that it should hold: fetch them from those that have them.
    pub(super) fn chunks_lacking(&mut self, to: DaemonId, keys: Vec<ChunkKey>, now: Timestamp) {
        let stores = self.store_daemons();
        for key in keys {
            let is_owned = self.owns(key.program.group);
            if !is_owned || self.history.repair.copies.len() >= MOST_COPIES {
                continue;
            }
            let copy = Copy { to, deadline: now + COPY_LIMIT };
            if self.history.repair.copies.insert(key, copy).is_some() {
                continue;
            }
            for store in ranked(&key, &stores).into_iter().filter(|store| store.daemon != to) {
                self.send_chunk(store.daemon, ChunkMessage::Get { key });
            }
        }
    }

    /// Passes a chunk on to the store daemon that lacks it.
    pub(super) fn pass_on(&mut self, key: ChunkKey, bytes: &[u8]) {
        if let Some(copy) = self.history.repair.copies.remove(&key) {
            let bytes = bytes.to_vec();
            self.send_chunk(copy.to, ChunkMessage::Put { key, bytes });
        }
    }
}

fn stored_chunks(program: &Program) -> Vec<ChunkKey> {
    let turns = program.chains().flat_map(|(_, chain)| chain.turns());
    let stored = turns.filter_map(|turn| match &turn.text {
        TurnText::Stored(reference) => Some(reference.digest),
        TurnText::Inline(_) => None,
    });
    stored.map(|digest| ChunkKey { program: program.id(), digest }).collect()
}
