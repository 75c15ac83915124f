//! The owner reads turns back from store daemons.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_program::{
    CallOutcome, ChunkReference, HistoryPart, Program, RecordedOutcome, decode_chunk,
};
use dahlia_types::{CallId, ChainId, ChunkKey, DaemonId, Duration, Message, ProgramId, Timestamp};

use super::holders::ranked;
use super::message::ChunkMessage;
use crate::node::Node;
use crate::request::Request;
use crate::routing::ReplyTo;

/// A store daemon that did not answer in this time is passed over.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A chunk that was asked for.
#[derive(Debug)]
struct PendingRead {
    reference: ChunkReference,
    attempts: usize,
    next_attempt: Timestamp,
}

/// Chunks that were asked for, and what waits for them.
#[derive(Debug, Default)]
pub(crate) struct PendingReads {
    chunks: BTreeMap<ChunkKey, PendingRead>,
    calls: BTreeSet<CallId>,
    answers: BTreeSet<CallId>,
    requests: BTreeMap<ProgramId, Vec<(ReplyTo, Request)>>,
}

impl Node {
    /// The whole prompt of a call. Chunks that are not at hand are asked for.
    pub(crate) fn compose_prompt(&mut self, call: CallId, now: Timestamp) -> Option<Vec<Message>> {
        let group = self.groups.get(&call.program.group)?;
        let program = group.state.program(call.program)?;
        let own = program.call(call)?.messages()?.to_vec();
        let mut messages = self.compose_history(call.program, call.chain, now)?;
        messages.extend(own);
        Some(messages)
    }

    /// A chain's whole history. None when chunks are not at hand; they are then asked for.
    pub(crate) fn compose_history(
        &mut self,
        program: ProgramId,
        chain: ChainId,
        now: Timestamp,
    ) -> Option<Vec<Message>> {
        let found = self.groups.get(&program.group)?.state.program(program)?;
        let mut messages = Vec::new();
        let mut used = Vec::new();
        let mut missing = Vec::new();
        for part in found.history_parts(chain) {
            match part {
                HistoryPart::Messages(held) => messages.extend_from_slice(held),
                HistoryPart::Chunk(reference) => {
                    let key = ChunkKey { program, digest: reference.digest };
                    match self.history.cache.get(&key) {
                        Some(held) => {
                            messages.extend_from_slice(held);
                            used.push(key);
                        }
                        None => missing.push(*reference),
                    }
                }
            }
        }
        for key in used {
            self.history.cache.touch(&key, now);
        }
        for reference in &missing {
            self.request_chunk(program, *reference, now);
        }
        missing.is_empty().then_some(messages)
    }

    /// Hands the call in again when its chunks are here.
    pub(crate) fn defer_call(&mut self, call: CallId) {
        self.history.pending_reads.calls.insert(call);
    }

    /// Serves the request again when the program's chunks are here.
    pub(crate) fn defer_request(&mut self, program: ProgramId, to: ReplyTo, request: Request) {
        self.history.pending_reads.requests.entry(program).or_default().push((to, request));
    }

    /// Answers those who wait for a call's outcome when its chunk is here.
    pub(crate) fn read_stored_outcome(&mut self, call: CallId, now: Timestamp) {
        let group = self.groups.get(&call.program.group);
        let outcome = group
            .and_then(|group| group.state.program(call.program))
            .and_then(|program| program.outcome(call));
        if let Some(RecordedOutcome::Stored(stored)) = outcome {
            self.history.pending_reads.answers.insert(call);
            self.request_chunk(call.program, stored.chunk, now);
            self.retry_waiting(now);
        }
    }

    /// Forgets what waits: this node does not own the programs any more.
    pub(crate) fn drop_pending_reads(&mut self, programs: &[ProgramId]) {
        let gone = |program: &ProgramId| programs.contains(program);
        let reads = &mut self.history.pending_reads;
        reads.chunks.retain(|key, _| !gone(&key.program));
        reads.calls.retain(|call| !gone(&call.program));
        reads.answers.retain(|call| !gone(&call.program));
        reads.requests.retain(|program, _| !gone(program));
    }

    fn request_chunk(&mut self, program: ProgramId, reference: ChunkReference, now: Timestamp) {
        let key = ChunkKey { program, digest: reference.digest };
        if self.history.cache.get(&key).is_some() {
            return;
        }
        let read = PendingRead { reference, attempts: 0, next_attempt: now };
        self.history.pending_reads.chunks.entry(key).or_insert(read);
        self.request_due_chunks(now);
    }

    /// Asks the next store daemon for each chunk whose answer is due.
    pub(crate) fn request_due_chunks(&mut self, now: Timestamp) {
        if self.history.pending_reads.chunks.values().all(|read| read.next_attempt > now) {
            return;
        }
        let stores = self.store_daemons();
        let mut asked: Vec<(DaemonId, ChunkKey)> = Vec::new();
        for (key, read) in &mut self.history.pending_reads.chunks {
            if read.next_attempt > now {
                continue;
            }
            read.next_attempt = now + RESPONSE_TIMEOUT;
            let ranked = ranked(key, &stores);
            if !ranked.is_empty() {
                asked.push((ranked[read.attempts % ranked.len()].daemon, *key));
            }
            read.attempts += 1;
        }
        for (daemon, key) in asked {
            self.send_chunk(daemon, ChunkMessage::Get { key });
        }
    }

    /// A store daemon does not have a chunk: the next one is asked at once.
    pub(super) fn chunk_missing(&mut self, key: ChunkKey, now: Timestamp) {
        let stores = self.store_daemons().len().max(1);
        if let Some(read) = self.history.pending_reads.chunks.get_mut(&key) {
            // After a whole round of refusals the pause stands: nobody has it at the moment.
            if !read.attempts.is_multiple_of(stores) {
                read.next_attempt = now;
            }
        }
        self.request_due_chunks(now);
    }

    /// A store daemon sent a chunk. Bytes that do not match their digest are as good as missing.
    pub(super) fn chunk_found(&mut self, key: ChunkKey, bytes: &[u8], now: Timestamp) {
        let Some(read) = self.history.pending_reads.chunks.get(&key) else {
            return;
        };
        let Ok(messages) = decode_chunk(&read.reference, bytes) else {
            self.chunk_missing(key, now);
            return;
        };
        self.history.pending_reads.chunks.remove(&key);
        let limit = self.settings.history.cache_bytes;
        self.history.cache.insert(key, messages, limit, now);
        self.retry_waiting(now);
    }

    fn retry_waiting(&mut self, now: Timestamp) {
        for call in std::mem::take(&mut self.history.pending_reads.calls) {
            // A call whose chunks are still missing waits again by itself.
            self.call_ready(call, now);
        }
        for call in std::mem::take(&mut self.history.pending_reads.answers) {
            match self.stored_outcome(call) {
                Some(outcome) => self.answer_waiters(call, &outcome),
                None => drop(self.history.pending_reads.answers.insert(call)),
            }
        }
        for (_, requests) in std::mem::take(&mut self.history.pending_reads.requests) {
            for (to, request) in requests {
                self.serve(to, request, now);
            }
        }
    }

    fn stored_outcome(&self, call: CallId) -> Option<CallOutcome> {
        let program: &Program =
            self.groups.get(&call.program.group)?.state.program(call.program)?;
        match program.outcome(call)? {
            RecordedOutcome::Inline(outcome) => Some(outcome),
            RecordedOutcome::Stored(stored) => {
                let key = ChunkKey { program: call.program, digest: stored.chunk.digest };
                let answer = self.history.cache.get(&key)?.last()?.clone();
                Some(CallOutcome::Answered { answer, usage: stored.usage })
            }
        }
    }
}
