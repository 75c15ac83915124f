//! Moves old turns from the replicas' memory to store daemons, at the owner.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_program::{ChunkReference, Command, MoveTurnToStore, Program, encode_chunk};
use dahlia_types::{
    ChainId, ChunkKey, DaemonId, Duration, GroupId, Message, ProgramId, Timestamp, Tokens,
};

use super::holders::holders;
use super::message::ChunkMessage;
use crate::group::ProposalPurpose;
use crate::node::Node;

/// How often programs are scanned for too much history in memory.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of turns that are moved at the same time.
const MAX_PENDING_MOVES: usize = 16;
/// A move that is not fully confirmed within this time is retried later.
const MOVE_TIMEOUT: Duration = Duration::from_secs(5);

/// A turn that is being moved to store daemons.
#[derive(Debug)]
struct PendingMove {
    command: MoveTurnToStore,
    bytes: Vec<u8>,
    unconfirmed_holders: BTreeSet<DaemonId>,
    /// Store daemons that refused the chunk.
    refused_by: BTreeSet<DaemonId>,
    /// All store daemons that were asked to store the chunk.
    asked: BTreeSet<DaemonId>,
    deadline: Timestamp,
}

/// The turns that are being moved to store daemons.
#[derive(Debug, Default)]
pub(crate) struct PendingMoves {
    turns: BTreeMap<ChunkKey, PendingMove>,
    next_scan: Timestamp,
}

/// A turn that may be moved.
struct MoveCandidate {
    program: ProgramId,
    chain: ChainId,
    turn: u32,
    messages: Vec<Message>,
}

impl Node {
    /// Starts to move old turns of programs with too much history in memory.
    pub(crate) fn move_history(&mut self, now: Timestamp) {
        if now < self.history.pending_moves.next_scan {
            return;
        }
        self.history.pending_moves.next_scan = now + SCAN_INTERVAL;
        self.history.pending_moves.turns.retain(|_, pending_move| pending_move.deadline > now);
        let stores = self.store_daemons();
        if stores.len() < self.settings.history.copies {
            return;
        }
        let free_slots = MAX_PENDING_MOVES.saturating_sub(self.history.pending_moves.turns.len());
        for candidate in self.movable_turns(free_slots) {
            let bytes = encode_chunk(&candidate.messages);
            let chunk = ChunkReference::of(&candidate.messages, Tokens::ZERO);
            let key = ChunkKey { program: candidate.program, digest: chunk.digest };
            let targets = holders(&key, &stores, self.settings.history.copies);
            let MoveCandidate { program, chain, turn, .. } = candidate;
            let asked: BTreeSet<DaemonId> = targets.iter().copied().collect();
            let pending_move = PendingMove {
                command: MoveTurnToStore { program, chain, turn, chunk },
                bytes: bytes.clone(),
                unconfirmed_holders: asked.clone(),
                refused_by: BTreeSet::new(),
                asked,
                deadline: now + MOVE_TIMEOUT,
            };
            self.history.pending_moves.turns.insert(key, pending_move);
            for target in targets {
                self.send_chunk(target, ChunkMessage::Put { key, bytes: bytes.clone() });
            }
        }
    }

    fn movable_turns(&self, max_turns: usize) -> Vec<MoveCandidate> {
        let limit = self.settings.history.inline_bytes;
        let serving = self.groups.values().filter(|group| group.is_serving());
        let programs = serving.flat_map(|group| group.state.programs());
        let candidates = programs.flat_map(|program| movable_turns(program, limit));
        let is_new = |candidate: &MoveCandidate| {
            !self.history.pending_moves.turns.values().any(|pending_move| {
                let command = &pending_move.command;
                (command.program, command.chain, command.turn)
                    == (candidate.program, candidate.chain, candidate.turn)
            })
        };
        candidates.filter(is_new).take(max_turns).collect()
    }

    /// Handles a store daemon's refusal to store a chunk: the next one by rank is asked. If none is left, the
    /// turn stays in memory and the move is retried after its deadline.
    pub(super) fn move_to_next_store(&mut self, refused_by: DaemonId, key: ChunkKey) {
        let copies = self.settings.history.copies;
        let mut stores = self.store_daemons();
        let Some(pending_move) = self.history.pending_moves.turns.get_mut(&key) else {
            return;
        };
        if !pending_move.unconfirmed_holders.contains(&refused_by) {
            return;
        }
        pending_move.refused_by.insert(refused_by);
        stores.retain(|store| !pending_move.refused_by.contains(&store.daemon));
        let targets = holders(&key, &stores, copies);
        let Some(next) = targets.into_iter().find(|target| !pending_move.asked.contains(target))
        else {
            return;
        };
        pending_move.unconfirmed_holders.remove(&refused_by);
        pending_move.unconfirmed_holders.insert(next);
        pending_move.asked.insert(next);
        let bytes = pending_move.bytes.clone();
        self.send_chunk(next, ChunkMessage::Put { key, bytes });
    }

    /// Handles a store daemon's confirmation that a chunk is durable.
    pub(super) fn chunk_stored(&mut self, from: DaemonId, key: ChunkKey, now: Timestamp) {
        let Some(pending_move) = self.history.pending_moves.turns.get_mut(&key) else {
            return;
        };
        pending_move.unconfirmed_holders.remove(&from);
        if !pending_move.unconfirmed_holders.is_empty() {
            return;
        }
        // Every copy is durable before the replicas drop theirs.
        let Some(finished) = self.history.pending_moves.turns.remove(&key) else {
            return;
        };
        let id: GroupId = key.program.group;
        if let Some(group) = self.groups.get_mut(&id) {
            let command = Command::MoveTurnToStore(finished.command);
            // A lost leadership is no problem: the next owner moves the turn.
            let _ = group.propose(command, ProposalPurpose::Housekeeping, now);
            self.dirty.insert(id);
        }
    }
}

/// Returns old turns of a program, oldest first, until the rest is within the limit. The newest turn
/// of each chain stays, because a late reader of the last answer needs it.
fn movable_turns(program: &Program, limit: u64) -> Vec<MoveCandidate> {
    let inline: Vec<(ChainId, u32, &[Message])> = program.inline_turns().collect();
    let size = |messages: &[Message]| -> u64 {
        messages.iter().map(|message| message.content.len() as u64).sum()
    };
    let mut total: u64 = inline.iter().map(|(_, _, messages)| size(messages)).sum();
    let mut movable = Vec::new();
    for (chain, turn, messages) in inline {
        if total <= limit {
            break;
        }
        let turns = program.chain(chain).map_or(0, |found| found.turns().len() as u32);
        if turn + 1 < turns {
            total -= size(messages);
            let messages = messages.to_vec();
            movable.push(MoveCandidate { program: program.id(), chain, turn, messages });
        }
    }
    movable
}
