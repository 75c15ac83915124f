//! Maintains the number of copies of chunks, at the owner: queries the store daemons that should hold
//! its programs' chunks, a few at a time, and copies what is missing.

use std::collections::BTreeMap;

use dahlia_program::{Program, TurnText};
use dahlia_types::{ChunkKey, DaemonId, Duration, ProgramId, Timestamp};

use super::holders::{holders, ranked};
use super::message::ChunkMessage;
use crate::node::Node;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A copy that is not complete within this time is retried by a later check.
const COPY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of copies in progress.
const MAX_PENDING_COPIES: usize = 16;

/// A chunk that is being copied from one store daemon to another through the owner.
#[derive(Debug, Clone, Copy)]
struct PendingCopy {
    to: DaemonId,
    deadline: Timestamp,
}

/// The progress of copy checks.
#[derive(Debug, Default)]
pub(crate) struct CopyChecks {
    next_check: Timestamp,
    cursor: Option<ProgramId>,
    copies: BTreeMap<ChunkKey, PendingCopy>,
}

impl Node {
    /// Checks the copies of the next few chunks.
    pub(crate) fn check_copies(&mut self, now: Timestamp) {
        let max_chunks = self.settings.history.checks_per_second;
        if now < self.history.copy_checks.next_check || max_chunks == 0 {
            return;
        }
        self.history.copy_checks.next_check = now + CHECK_INTERVAL;
        self.history.copy_checks.copies.retain(|_, copy| copy.deadline > now);
        let keys = self.next_chunks(max_chunks);
        if keys.is_empty() {
            return;
        }
        let stores = self.store_daemons();
        let mut keys_by_holder: BTreeMap<DaemonId, Vec<ChunkKey>> = BTreeMap::new();
        for key in keys {
            for holder in holders(&key, &stores, self.settings.history.copies) {
                keys_by_holder.entry(holder).or_default().push(key);
            }
        }
        for (holder, keys) in keys_by_holder {
            self.send_chunk(holder, ChunkMessage::Check { keys });
        }
    }

    /// Returns the chunks of the programs after the cursor, all chunks of a program at a time.
    fn next_chunks(&mut self, max_chunks: usize) -> Vec<ChunkKey> {
        let serving = self.groups.values().filter(|group| group.is_serving());
        let cursor = self.history.copy_checks.cursor;
        let programs = serving.flat_map(|group| group.state.programs());
        let remaining =
            programs.filter(|program| cursor.is_none_or(|cursor| program.id() > cursor));
        let mut keys = Vec::new();
        let mut last = None;
        for program in remaining {
            if keys.len() >= max_chunks {
                break;
            }
            keys.extend(stored_chunks(program));
            last = Some(program.id());
        }
        // After the last program the next round starts from the first.
        self.history.copy_checks.cursor = if keys.len() >= max_chunks { last } else { None };
        keys
    }

    /// Copies chunks to a store daemon that should hold them, from the daemons that have them.
    pub(super) fn copy_missing_chunks(
        &mut self,
        to: DaemonId,
        keys: Vec<ChunkKey>,
        now: Timestamp,
    ) {
        let stores = self.store_daemons();
        for key in keys {
            let is_owned = self.owns(key.program.group);
            if !is_owned || self.history.copy_checks.copies.len() >= MAX_PENDING_COPIES {
                continue;
            }
            let copy = PendingCopy { to, deadline: now + COPY_TIMEOUT };
            if self.history.copy_checks.copies.insert(key, copy).is_some() {
                continue;
            }
            for store in ranked(&key, &stores).into_iter().filter(|store| store.daemon != to) {
                self.send_chunk(store.daemon, ChunkMessage::Get { key });
            }
        }
    }

    /// Forwards a chunk to the store daemon that lacks it.
    pub(super) fn forward_chunk(&mut self, key: ChunkKey, bytes: &[u8]) {
        if let Some(copy) = self.history.copy_checks.copies.remove(&key) {
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
