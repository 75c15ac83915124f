//! One program: its chains, its budget, and what engines hold for it.

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
    /// It has ended.
    Closed {
        /// Why.
        reason: CloseReason,
        /// When, by the owner's time.
        at: Timestamp,
    },
}

/// The duty to free what one life of an engine holds for a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseObligation {
    /// The log index of the last intent on this life of the engine. A confirmation that does not
    /// cover it leaves the obligation.
    pub last_intent: LogIndex,
}

/// The life of an engine that holds something.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineIncarnation {
    /// The engine.
    pub engine: EngineId,
    /// Which life of it.
    pub incarnation: Incarnation,
}

/// What to ask an engine before a release may be confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseRequest {
    /// The program to free.
    pub program: ProgramId,
    /// The engine's life that holds it.
    pub holder: EngineIncarnation,
    /// Goes into [`crate::ConfirmRelease::covers`] when the engine confirms.
    pub covers: LogIndex,
    /// Attempts of unknown outcome that the engine has to refuse from now on, before it confirms.
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
    pub(crate) unknown: BTreeMap<AttemptId, UnknownAttempt>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) last_activity: Timestamp,
    pub(crate) history_bytes: Bytes,
}

impl Program {
    /// Its identifier.
    pub fn id(&self) -> ProgramId {
        self.id
    }

    /// What the operator stated. The budget's total may have been raised since.
    pub fn specification(&self) -> &ProgramSpecification {
        &self.specification
    }

    /// Its budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Its chains in the order of their numbers.
    pub fn chains(&self) -> impl Iterator<Item = (ChainId, &Chain)> {
        self.chains.iter().map(|(id, chain)| (*id, chain))
    }

    /// One chain.
    pub fn chain(&self, chain: ChainId) -> Option<&Chain> {
        self.chains.get(&chain)
    }

    /// One call; none also when the call is another program's.
    pub fn call(&self, call: CallId) -> Option<&Call> {
        if call.program != self.id {
            return None;
        }
        self.chains.get(&call.chain)?.call(call.number)
    }

    /// The call that the caller named by `key`. Looks through all calls: an index would cost each
    /// replica more memory than the few comparisons of a call cost time.
    pub fn call_of_key(&self, key: &IdempotencyKey) -> Option<CallId> {
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

    /// Attempts with an intent and no outcome.
    pub fn open_attempts(&self) -> impl Iterator<Item = (AttemptId, &OpenAttempt)> {
        self.open_calls().filter_map(|(id, call)| {
            let open = call.open_attempt()?;
            Some((AttemptId { call: id, attempt: open.number }, open))
        })
    }

    /// Attempts of unknown outcome, with the reservations that they keep.
    pub fn unknown_attempts(&self) -> impl Iterator<Item = (AttemptId, &UnknownAttempt)> {
        self.unknown.iter().map(|(id, attempt)| (*id, attempt))
    }

    /// What engines hold, or may hold, for it.
    pub fn obligations(&self) -> impl Iterator<Item = (&EngineIncarnation, &ReleaseObligation)> {
        self.obligations.iter()
    }

    /// What to ask of the engine's life `holder` to free the program there. None when it owes
    /// nothing, or while an attempt is open there: its end has to be known first.
    pub fn release_request(&self, holder: &EngineIncarnation) -> Option<ReleaseRequest> {
        let obligation = self.obligations.get(holder)?;
        if self.has_open_attempt_on(holder) {
            return None;
        }
        let here = |attempt: &UnknownAttempt| {
            attempt.engine == holder.engine && attempt.incarnation == holder.incarnation
        };
        let fence = self.unknown.iter().filter(|(_, attempt)| here(attempt)).map(|(id, _)| *id);
        Some(ReleaseRequest {
            program: self.id,
            holder: holder.clone(),
            covers: obligation.last_intent,
            fence: fence.collect(),
        })
    }

    /// Whether it takes new calls.
    pub fn is_open(&self) -> bool {
        self.lifecycle == Lifecycle::Open
    }

    /// Whether and why it ended.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }

    /// The latest time that a command on its calls stated.
    pub fn last_activity(&self) -> Timestamp {
        self.last_activity
    }

    /// Bytes of its history over all chains, messages of open calls included.
    pub fn history_bytes(&self) -> Bytes {
        self.history_bytes
    }

    /// The history of `chain` in order: the parent's up to the branch point, then its own. Empty
    /// for a chain that does not exist.
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

    /// The messages of `chain`'s history, the parent's up to the branch point included.
    ///
    /// # Errors
    /// [`MissingChunks`] when turns were moved to store daemons; [`Self::history_parts`] then
    /// gives the order in which to put the fetched chunks.
    pub fn history(&self, chain: ChainId) -> Result<Vec<&Message>, MissingChunks> {
        let mut messages = Vec::new();
        let mut chunks = Vec::new();
        for part in self.history_parts(chain) {
            match part {
                HistoryPart::Messages(held) => messages.extend(held),
                HistoryPart::Chunk(chunk) => chunks.push(*chunk),
            }
        }
        if chunks.is_empty() { Ok(messages) } else { Err(MissingChunks { chain, chunks }) }
    }

    /// What `call` is to be answered from: its chain's history and its own messages. None when
    /// the call does not exist or has ended.
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

    /// Turns whose text is held here, with chain and position: what may be moved to store daemons.
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

    /// Whether some attempt of `call` ran, or may have run, to something else than an answer.
    pub fn may_have_run(&self, call: CallId) -> bool {
        let ran_unanswered = self.call(call).is_some_and(|call| call.ran_unanswered);
        let first = AttemptId { call, attempt: 0 };
        let last = AttemptId { call, attempt: u32::MAX };
        ran_unanswered || self.unknown.range(first..=last).next().is_some()
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

    pub(crate) fn touch(&mut self, at: Timestamp) {
        // A new owner's clock may be behind: activity must not move back and expire a program.
        self.last_activity = self.last_activity.max(at);
    }

    /// Notes how long the history of the call's chain is by its engine's word.
    pub(crate) fn note_tokens(&mut self, call: CallId, tokens: Tokens) {
        if let Some(chain) = self.chains.get_mut(&call.chain) {
            chain.tokens = chain.tokens.max(tokens);
        }
    }

    /// Ends an open call with its one final outcome, moves its messages into the history when it
    /// ran or may have run, and gives the chain's next call that may run now.
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
                let dropped = content_bytes(&messages);
                self.history_bytes = self.history_bytes.saturating_sub(dropped);
            }
        }
        let before = chain.head;
        chain.advance();
        if chain.head == before {
            return None;
        }
        chain.first_open().map(|number| self.call_id(call.chain, number))
    }
}

/// How a call is to end.
pub(crate) enum CallEnd {
    Answered { answer: Message, usage: Usage },
    NotRun { reason: NotRunReason, retry_after: Option<Duration> },
    Unknown,
}
