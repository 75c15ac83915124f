//! Reads turns back from store daemons, at the owner.

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

/// After this time without a response, the next store daemon is asked.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A chunk that was requested.
#[derive(Debug)]
struct PendingRead {
    reference: ChunkReference,
    attempts: usize,
    next_attempt: Timestamp,
}

/// The requested chunks, and the calls, answers and requests that wait for them.
#[derive(Debug, Default)]
pub(crate) struct PendingReads {
    chunks: BTreeMap<ChunkKey, PendingRead>,
    calls: BTreeSet<CallId>,
    answers: BTreeSet<CallId>,
    requests: BTreeMap<ProgramId, Vec<(ReplyTo, Request)>>,
}

impl Node {
    /// Returns the full prompt of a call. None if chunks are missing; they are then requested.
    pub(crate) fn compose_prompt(&mut self, call: CallId, now: Timestamp) -> Option<Vec<Message>> {
        let group = self.groups.get(&call.program.group)?;
        let program = group.state.program(call.program)?;
        let own = program.call(call)?.messages()?.to_vec();
        let mut messages = self.compose_history(call.program, call.chain, now)?;
        messages.extend(own);
        Some(messages)
    }

    /// Returns the full history of a chain. None if chunks are missing; they are then requested.
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
                HistoryPart::Messages(inline) => messages.extend_from_slice(inline),
                HistoryPart::Chunk(reference) => {
                    let key = ChunkKey { program, digest: reference.digest };
                    match self.history.cache.get(&key) {
                        Some(cached) => {
                            messages.extend_from_slice(cached);
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

    /// Defers a call until its chunks are read.
    pub(crate) fn defer_call(&mut self, call: CallId) {
        self.history.pending_reads.calls.insert(call);
    }

    /// Defers a request until the program's chunks are read.
    pub(crate) fn defer_request(&mut self, program: ProgramId, to: ReplyTo, request: Request) {
        self.history.pending_reads.requests.entry(program).or_default().push((to, request));
    }

    /// Reads a stored outcome of a call and answers its waiters when the chunk is read.
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

    /// Drops all reads and deferred work of programs that this node no longer owns.
    pub(crate) fn drop_pending_reads(&mut self, programs: &[ProgramId]) {
        let is_dropped = |program: &ProgramId| programs.contains(program);
        let reads = &mut self.history.pending_reads;
        reads.chunks.retain(|key, _| !is_dropped(&key.program));
        reads.calls.retain(|call| !is_dropped(&call.program));
        reads.answers.retain(|call| !is_dropped(&call.program));
        reads.requests.retain(|program, _| !is_dropped(program));
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

    /// Requests each chunk whose response is overdue from the next store daemon.
    pub(crate) fn request_due_chunks(&mut self, now: Timestamp) {
        if self.history.pending_reads.chunks.values().all(|read| read.next_attempt > now) {
            return;
        }
        let stores = self.store_daemons();
        let mut requests_to_send: Vec<(DaemonId, ChunkKey)> = Vec::new();
        for (key, read) in &mut self.history.pending_reads.chunks {
            if read.next_attempt > now {
                continue;
            }
            read.next_attempt = now + RESPONSE_TIMEOUT;
            let ranked = ranked(key, &stores);
            if !ranked.is_empty() {
                requests_to_send.push((ranked[read.attempts % ranked.len()].daemon, *key));
            }
            read.attempts += 1;
        }
        for (daemon, key) in requests_to_send {
            self.send_chunk(daemon, ChunkMessage::Get { key });
        }
    }

    /// Handles a store daemon's report that it lacks a chunk. The next daemon is asked at once.
    pub(super) fn chunk_missing(&mut self, key: ChunkKey, now: Timestamp) {
        let stores = self.store_daemons().len().max(1);
        if let Some(read) = self.history.pending_reads.chunks.get_mut(&key) {
            // After all store daemons have reported it missing, wait for the timeout, because none has
            // it at the moment.
            if !read.attempts.is_multiple_of(stores) {
                read.next_attempt = now;
            }
        }
        self.request_due_chunks(now);
    }

    /// Handles a chunk from a store daemon. Bytes that do not match their digest count as missing.
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
            // A call whose chunks are still missing is deferred again.
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
