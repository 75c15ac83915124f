//! One program: its chains, its budget, and its release obligations.

use std::collections::BTreeMap;

use dahlia_types::{
    AttemptId, Bytes, CallId, ChainId, Duration, EngineId, IdempotencyKey, Incarnation, LogIndex,
    Message, ProgramId, Timestamp, Tokens, Usage,
};
use serde::{Deserialize, Serialize};

use crate::history::content_bytes;
use crate::key::KeyHash;
use crate::{
    Budget, Call, CallOutcome, Chain, CloseReason, EndedCall, HistoryPart, MissingChunks,
    NotRunReason, OpenAttempt, ProgramSpecification, RecordedOutcome, StoredAnswer, TurnText,
    UnknownAttempt,
};

/// Whether a program takes new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// It takes new calls.
    Open,
    /// It has ended and takes no new calls.
    Closed {
        /// Why.
        reason: CloseReason,
        /// When, by the owner's clock.
        at: Timestamp,
    },
}

/// The obligation to free what one incarnation of an engine holds for a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseObligation {
    /// The log index of the last intent for this incarnation of the engine. A confirmation that
    /// does not cover it leaves the obligation in place.
    pub last_intent: LogIndex,
}

/// One incarnation of an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineIncarnation {
    /// The engine.
    pub engine: EngineId,
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// A request to an engine to free what it holds for a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseRequest {
    /// The program.
    pub program: ProgramId,
    /// The engine incarnation that holds something for it.
    pub holder: EngineIncarnation,
    /// The last intent that the request covers, for [`crate::ConfirmRelease::covers`] when the
    /// engine confirms.
    pub covers: LogIndex,
    /// Attempts of unknown outcome. The engine must refuse them from then on, before it confirms.
    pub fence: Vec<AttemptId>,
}

/// One program of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    pub(crate) id: ProgramId,
    pub(crate) specification: ProgramSpecification,
    pub(crate) budget: Budget,
    pub(crate) chains: BTreeMap<ChainId, Chain>,
    pub(crate) obligations: BTreeMap<EngineIncarnation, ReleaseObligation>,
    pub(crate) unknown_attempts: BTreeMap<AttemptId, UnknownAttempt>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) last_activity: Timestamp,
    pub(crate) history_bytes: Bytes,
}

impl Program {
    /// The program's identifier.
    pub fn id(&self) -> ProgramId {
        self.id
    }

    /// The specification at creation. The budget's total may have been raised since.
    pub fn specification(&self) -> &ProgramSpecification {
        &self.specification
    }

    /// The program's budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// The chains in the order of their numbers.
    pub fn chains(&self) -> impl Iterator<Item = (ChainId, &Chain)> {
        self.chains.iter().map(|(id, chain)| (*id, chain))
    }

    /// One chain.
    pub fn chain(&self, chain: ChainId) -> Option<&Chain> {
        self.chains.get(&chain)
    }

    /// One call; none also if it belongs to another program.
    pub fn call(&self, call: CallId) -> Option<&Call> {
        if call.program != self.id {
            return None;
        }
        self.chains.get(&call.chain)?.call(call.number)
    }

    /// The call with the idempotency key `key`. It searches all calls: an index would cost each
    /// replica more memory than the few comparisons per call are worth.
    pub fn call_by_key(&self, key: &IdempotencyKey) -> Option<CallId> {
        let hash = Some(KeyHash::of(key));
        self.calls().find(|(_, call)| call.key == hash).map(|(id, _)| id)
    }

    /// All calls, chain by chain, in order.
    pub fn calls(&self) -> impl Iterator<Item = (CallId, &Call)> {
        self.chains.iter().flat_map(move |(chain, state)| {
            state.calls().map(move |(number, call)| (self.call_id(*chain, number), call))
        })
    }

    /// Calls that have not ended.
    pub fn open_calls(&self) -> impl Iterator<Item = (CallId, &Call)> {
        self.chains.iter().flat_map(move |(chain, state)| {
            let open = state.open_calls();
            open.map(move |(number, call)| (self.call_id(*chain, number), call))
        })
    }

    /// Attempts with a recorded intent and no outcome.
    pub fn open_attempts(&self) -> impl Iterator<Item = (AttemptId, &OpenAttempt)> {
        self.open_calls().filter_map(|(id, call)| {
            let open = call.open_attempt()?;
            Some((AttemptId { call: id, attempt: open.number }, open))
        })
    }

    /// Attempts of unknown outcome, with the reservations that they keep.
    pub fn unknown_attempts(&self) -> impl Iterator<Item = (AttemptId, &UnknownAttempt)> {
        self.unknown_attempts.iter().map(|(id, attempt)| (*id, attempt))
    }

    /// The engine incarnations that hold, or may hold, something for the program.
    pub fn obligations(&self) -> impl Iterator<Item = (&EngineIncarnation, &ReleaseObligation)> {
        self.obligations.iter()
    }

    /// The request to `holder` to free what it holds for the program. None if there is no
    /// obligation, or while an attempt is open there: its outcome must be known first.
    pub fn release_request(&self, holder: &EngineIncarnation) -> Option<ReleaseRequest> {
        let obligation = self.obligations.get(holder)?;
        if self.has_open_attempt_on(holder) {
            return None;
        }
        let was_sent_there = |attempt: &UnknownAttempt| {
            attempt.engine == holder.engine && attempt.incarnation == holder.incarnation
        };
        let fence = self
            .unknown_attempts
            .iter()
            .filter(|(_, attempt)| was_sent_there(attempt))
            .map(|(id, _)| *id);
        Some(ReleaseRequest {
            program: self.id,
            holder: holder.clone(),
            covers: obligation.last_intent,
            fence: fence.collect(),
        })
    }

    /// Whether the program takes new calls.
    pub fn is_open(&self) -> bool {
        self.lifecycle == Lifecycle::Open
    }

    /// Whether the program is open, or why it ended.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }

    /// The latest time in a command on the program's calls.
    pub fn last_activity(&self) -> Timestamp {
        self.last_activity
    }

    /// Bytes of the history over all chains, including messages of open calls.
    pub fn history_bytes(&self) -> Bytes {
        self.history_bytes
    }

    /// The history of `chain` in order: the parent's up to the branch point, then its own. Empty if
    /// the chain does not exist.
    pub fn history_parts(&self, chain: ChainId) -> Vec<HistoryPart<'_>> {
        let mut parts = Vec::new();
        let mut cursor = self.chains.get(&chain).map(|state| (state, state.turns.len()));
        while let Some((state, turns)) = cursor {
            parts.extend(state.turns[..turns].iter().rev().map(|turn| match &turn.text {
                TurnText::Inline(messages) => HistoryPart::Messages(messages),
                TurnText::Stored(chunk) => HistoryPart::Chunk(chunk),
            }));
            cursor = state.branch.and_then(|branch| {
                let parent = self.chains.get(&branch.chain)?;
                Some((parent, branch.turns as usize))
            });
        }
        parts.reverse();
        parts
    }

    /// The messages of the history of `chain`, including the parent's up to the branch point.
    ///
    /// # Errors
    /// [`MissingChunks`] if turns were moved to store daemons; [`Self::history_parts`] then gives
    /// the order of the fetched chunks.
    pub fn history(&self, chain: ChainId) -> Result<Vec<&Message>, MissingChunks> {
        let mut messages = Vec::new();
        let mut chunks = Vec::new();
        for part in self.history_parts(chain) {
            match part {
                HistoryPart::Messages(inline) => messages.extend(inline),
                HistoryPart::Chunk(chunk) => chunks.push(*chunk),
            }
        }
        if chunks.is_empty() { Ok(messages) } else { Err(MissingChunks { chain, chunks }) }
    }

    /// The prompt of `call`: its chain's history and its own messages. None if the call does not
    /// exist or has ended.
    ///
    /// # Errors
    /// [`MissingChunks`] as in [`Self::history`].
    pub fn prompt(&self, call: CallId) -> Option<Result<Vec<&Message>, MissingChunks>> {
        let own = self.call(call)?.messages()?;
        let history = self.history(call.chain);
        Some(history.map(|mut messages| {
            messages.extend(own);
            messages
        }))
    }

    /// Turns whose text is in the replicated state and may be moved to store daemons, with chain
    /// and position.
    pub fn inline_turns(&self) -> impl Iterator<Item = (ChainId, u32, &[Message])> {
        self.chains.iter().flat_map(|(chain, state)| {
            (0..).zip(&state.turns).filter_map(|(position, turn)| match &turn.text {
                TurnText::Inline(messages) => Some((*chain, position, messages.as_slice())),
                TurnText::Stored(_) => None,
            })
        })
    }

    /// How `call` ended; none while it is open.
    pub fn outcome(&self, call: CallId) -> Option<RecordedOutcome> {
        let outcome = match self.call(call)?.ended()? {
            EndedCall::NotRun { reason, retry_after } => {
                CallOutcome::NotRun { reason: *reason, retry_after: *retry_after }
            }
            EndedCall::Unknown => CallOutcome::Unknown,
            EndedCall::Answered { turn, usage } => {
                let turn = &self.chains[&call.chain].turns[*turn as usize];
                match &turn.text {
                    TurnText::Stored(chunk) => {
                        let stored = StoredAnswer { usage: *usage, chunk: *chunk };
                        return Some(RecordedOutcome::Stored(stored));
                    }
                    TurnText::Inline(messages) => {
                        let answer = messages.last()?.clone();
                        CallOutcome::Answered { answer, usage: *usage }
                    }
                }
            }
        };
        Some(RecordedOutcome::Inline(outcome))
    }

    /// Whether some attempt of `call` ran, or may have run, without giving its answer.
    pub fn may_have_run(&self, call: CallId) -> bool {
        let ran_without_answer = self.call(call).is_some_and(|call| call.ran_without_answer);
        let first = AttemptId { call, attempt: 0 };
        let last = AttemptId { call, attempt: u32::MAX };
        ran_without_answer || self.unknown_attempts.range(first..=last).next().is_some()
    }

    pub(crate) fn call_id(&self, chain: ChainId, number: u32) -> CallId {
        CallId { program: self.id, chain, number }
    }

    pub(crate) fn call_mut(&mut self, call: CallId) -> Option<&mut Call> {
        self.chains.get_mut(&call.chain)?.call_mut(call.number)
    }

    pub(crate) fn has_open_attempt_on(&self, holder: &EngineIncarnation) -> bool {
        self.open_attempts().any(|(_, attempt)| {
            attempt.engine == holder.engine && attempt.incarnation == holder.incarnation
        })
    }

    pub(crate) fn record_activity(&mut self, at: Timestamp) {
        // A new owner's clock may be behind. The time of the last activity must not decrease, or
        // the program could expire early.
        self.last_activity = self.last_activity.max(at);
    }

    /// Records the tokens of the history of the call's chain as its engine reported them.
    pub(crate) fn raise_chain_tokens(&mut self, call: CallId, tokens: Tokens) {
        if let Some(chain) = self.chains.get_mut(&call.chain) {
            chain.tokens = chain.tokens.max(tokens);
        }
    }

    /// Ends an open call with its final outcome and moves its messages into the history if it ran
    /// or may have run. Returns the chain's next call if that may run now.
    pub(crate) fn end_call(&mut self, call: CallId, ended: CallEnd) -> Option<CallId> {
        let chain = self.chains.get_mut(&call.chain)?;
        let turn = chain.turns.len() as u32;
        let recorded = match &ended {
            CallEnd::Answered { usage, .. } => EndedCall::Answered { turn, usage: *usage },
            CallEnd::NotRun { reason, retry_after } => {
                EndedCall::NotRun { reason: *reason, retry_after: *retry_after }
            }
            CallEnd::Unknown => EndedCall::Unknown,
        };
        let mut messages = chain.call_mut(call.number)?.end(recorded);
        match ended {
            CallEnd::Answered { answer, .. } => {
                let added = answer.content.len() as u64;
                self.history_bytes = self.history_bytes.saturating_add(Bytes(added));
                messages.push(answer);
                chain.push_turn(call.number, true, messages);
            }
            CallEnd::Unknown => {
                chain.push_turn(call.number, false, messages);
            }
            CallEnd::NotRun { .. } => {
                let removed = content_bytes(&messages);
                self.history_bytes = self.history_bytes.saturating_sub(removed);
            }
        }
        let old_head = chain.head;
        chain.advance_head();
        if chain.head == old_head {
            return None;
        }
        chain.first_open().map(|number| self.call_id(call.chain, number))
    }
}

/// The end of a call, before it is recorded.
pub(crate) enum CallEnd {
    Answered { answer: Message, usage: Usage },
    NotRun { reason: NotRunReason, retry_after: Option<Duration> },
    Unknown,
}
