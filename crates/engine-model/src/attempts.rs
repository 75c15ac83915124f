//! Attempts that are under way, and short records of those that ended.

use std::collections::{BTreeMap, VecDeque};

use dahlia_types::{AttemptId, CallId, ChainId, Duration, ProgramId, Timestamp, Tokens, Usage};

use crate::cache::{ChainLink, NodeId};
use crate::{AttemptStatus, Priority, Submit, chain_hashes};

/// Order among attempts: urgency, then arrival.
pub(crate) type QueueKey = (Priority, u64, AttemptId);

/// How far the prompt's prefill has come.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillCursor {
    /// Node of the path that is being computed.
    pub node: usize,
    /// Tokens of that node that are done.
    pub offset: u64,
}

/// What an attempt does now.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Waits for a place and holds no memory.
    Waiting,
    /// Its prompt is being computed, then what it generated before a preemption.
    Prefilling { cursor: PrefillCursor, recomputed: u64 },
    /// It generates: `base` tokens were there when the decode clock stood at `joined`.
    Decoding { start_clock: u64, base: u64, finish: u64 },
}

/// An attempt that has not ended.
#[derive(Debug)]
pub(crate) struct LiveAttempt {
    pub submit: Submit,
    pub sequence: u64,
    pub links: Vec<ChainLink>,
    pub prompt_tokens: u64,
    /// Tokens generated before the current place in the batch.
    pub generated_before: u64,
    /// Tokens of the prompt that were cached at the first start; none before it.
    pub cached: Option<u64>,
    /// Tokens to prefill as estimated when it began to wait.
    pub estimated_prefill: u64,
    pub path: Vec<NodeId>,
    pub admitted_at: Timestamp,
    pub phase: Phase,
}

impl LiveAttempt {
    pub(crate) fn new(submit: Submit, sequence: u64) -> Self {
        let hashes = chain_hashes(&submit.tenant, &submit.model, &submit.prompt);
        let lengths = submit.prompt.iter().map(|segment| segment.tokens.0);
        let links: Vec<ChainLink> = hashes
            .into_iter()
            .zip(lengths)
            .filter(|(_, tokens)| *tokens > 0)
            .map(|(hash, tokens)| ChainLink { hash, tokens })
            .collect();
        let prompt_tokens = links.iter().map(|link| link.tokens).sum();
        Self {
            submit,
            sequence,
            links,
            prompt_tokens,
            generated_before: 0,
            cached: None,
            estimated_prefill: prompt_tokens,
            path: Vec::new(),
            admitted_at: Timestamp::ZERO,
            phase: Phase::Waiting,
        }
    }

    pub(crate) fn id(&self) -> AttemptId {
        self.submit.attempt
    }

    pub(crate) fn queue_key(&self) -> QueueKey {
        (self.submit.priority, self.sequence, self.submit.attempt)
    }

    /// Tokens that it generates in all; at least one.
    pub(crate) fn target(&self) -> u64 {
        self.submit.generate.0.max(1)
    }

    /// Tokens generated when the decode clock stands at `clock`.
    pub(crate) fn generated(&self, clock: u64) -> u64 {
        match self.phase {
            Phase::Decoding { start_clock, base, .. } => base + (clock - start_clock),
            _ => self.generated_before,
        }
    }

    pub(crate) fn usage(&self, clock: u64) -> Usage {
        Usage {
            prompt: Tokens(self.prompt_tokens),
            cached: Tokens(self.cached.unwrap_or(0)),
            generated: Tokens(self.generated(clock)),
        }
    }

    pub(crate) fn status(&self, clock: u64) -> AttemptStatus {
        if self.cached.is_none() {
            return AttemptStatus::Waiting;
        }
        AttemptStatus::Running { generated: Tokens(self.generated(clock)) }
    }
}

/// All live attempts and the records of ended ones.
#[derive(Debug)]
pub(crate) struct Attempts {
    retention: Duration,
    live: BTreeMap<AttemptId, LiveAttempt>,
    ended: BTreeMap<AttemptId, AttemptStatus>,
    by_age: VecDeque<(Timestamp, AttemptId)>,
}

impl Attempts {
    pub(crate) fn new(retention: Duration) -> Self {
        Self { retention, live: BTreeMap::new(), ended: BTreeMap::new(), by_age: VecDeque::new() }
    }

    pub(crate) fn insert(&mut self, attempt: LiveAttempt) {
        self.live.insert(attempt.id(), attempt);
    }

    pub(crate) fn get(&self, id: AttemptId) -> Option<&LiveAttempt> {
        self.live.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: AttemptId) -> Option<&mut LiveAttempt> {
        self.live.get_mut(&id)
    }

    /// Takes a live attempt out, to be changed and inserted again.
    pub(crate) fn take(&mut self, id: AttemptId) -> Option<LiveAttempt> {
        self.live.remove(&id)
    }

    /// Moves an attempt to the records.
    pub(crate) fn end(
        &mut self,
        id: AttemptId,
        status: AttemptStatus,
        now: Timestamp,
    ) -> Option<LiveAttempt> {
        if self.ended.insert(id, status).is_none() {
            self.by_age.push_back((now, id));
        }
        self.live.remove(&id)
    }

    pub(crate) fn status(&self, id: AttemptId, clock: u64) -> AttemptStatus {
        if let Some(attempt) = self.live.get(&id) {
            return attempt.status(clock);
        }
        self.ended.get(&id).copied().unwrap_or(AttemptStatus::Unknown)
    }

    /// The live attempts of a program.
    pub(crate) fn of_program(&self, program: ProgramId) -> Vec<AttemptId> {
        let call = CallId { program, chain: ChainId(0), number: 0 };
        let first = AttemptId { call, attempt: 0 };
        let ids = self.live.range(first..).map(|(id, _)| *id);
        ids.take_while(|id| id.call.program == program).collect()
    }

    /// Forgets records older than the retention time.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while let Some((at, id)) = self.by_age.front().copied() {
            if now.since(at) <= self.retention {
                return;
            }
            self.by_age.pop_front();
            self.ended.remove(&id);
        }
    }
}
