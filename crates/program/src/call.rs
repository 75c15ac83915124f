//! The record of a call: its key and digest, its attempts, and how it ended.

use dahlia_types::{
    CallKind, Duration, EngineId, IdempotencyKey, Incarnation, LogIndex, Message, Repeatability,
    Term, Timestamp, Tokens, Usage,
};
use serde::{Deserialize, Serialize};

use crate::NotRunReason;

use crate::key::KeyHash;

/// An attempt with a recorded intent and no outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenAttempt {
    /// The number of the attempt, from 1.
    pub number: u32,
    /// The engine or tool service.
    pub engine: EngineId,
    /// The engine incarnation that the attempt is addressed to.
    pub incarnation: Incarnation,
    /// The epoch of the owner that recorded the intent.
    pub epoch: Term,
    /// The log index of the intent.
    pub intent: LogIndex,
    /// Tokens reserved for it.
    pub reserved: Tokens,
    /// Most tokens it may generate.
    pub generated_cap: Tokens,
    /// When the intent was recorded, by its owner's clock.
    pub at: Timestamp,
}

/// An attempt of unknown outcome. Its reservation stays until it is settled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownAttempt {
    /// The engine or tool service.
    pub engine: EngineId,
    /// The engine incarnation that the attempt was addressed to.
    pub incarnation: Incarnation,
    /// Tokens still reserved for it.
    pub reserved: Tokens,
    /// When it was recorded as unknown, by its owner's clock.
    pub at: Timestamp,
    /// Whether the engine confirmed a release that covers it, so that it can no longer run.
    pub fenced: bool,
}

/// How a call ended, without the answer's text, which is in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndedCall {
    /// It was answered; the answer is the last message of this turn.
    Answered {
        /// Position of the turn in the chain's own turns.
        turn: u32,
        /// Tokens used by the attempt that answered.
        usage: Usage,
    },
    /// No attempt of it ran.
    NotRun {
        /// Why, for the caller.
        reason: NotRunReason,
        /// Delay after which the caller may retry.
        retry_after: Option<Duration>,
    },
    /// It may have run; it will not run again.
    Unknown,
}

/// The part of a call's record that is kept only until the call ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// The messages that it adds to the history when it ends.
    pub messages: Vec<Message>,
    /// The open attempt, if any.
    pub attempt: Option<OpenAttempt>,
}

/// Whether a call is open or has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// The call has no final outcome. Boxed, because most calls of a long program have ended.
    Open(Box<OpenCall>),
    /// The call has its final outcome.
    Ended(EndedCall),
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    pub(crate) key: Option<KeyHash>,
    pub(crate) digest: u64,
    /// None for the most common kind, [`CallKind::Generate`], to save memory: a long program keeps
    /// many calls.
    pub(crate) non_generate_kind: Option<Box<CallKind>>,
    pub(crate) repeatability: Repeatability,
    pub(crate) max_generated: Tokens,
    pub(crate) attempts: u32,
    /// Whether an attempt used tokens without giving the call's answer.
    pub(crate) ran_without_answer: bool,
    pub(crate) state: CallState,
}

impl Call {
    /// Whether the call has the idempotency key `key`.
    pub fn has_key(&self, key: &IdempotencyKey) -> bool {
        self.key == Some(KeyHash::of(key))
    }

    /// Hash of the request.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What serves the call.
    pub fn kind(&self) -> &CallKind {
        self.non_generate_kind.as_deref().unwrap_or(&CallKind::Generate)
    }

    /// Whether the call may run again.
    pub fn repeatability(&self) -> Repeatability {
        self.repeatability
    }

    /// Most tokens to generate.
    pub fn max_generated(&self) -> Tokens {
        self.max_generated
    }

    /// Number of attempts so far, including the open one.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the call is open or has ended, with the details.
    pub fn state(&self) -> &CallState {
        &self.state
    }

    /// Whether the call has no final outcome.
    pub fn is_open(&self) -> bool {
        self.open().is_some()
    }

    /// The messages that the call adds to the history; none once it has ended.
    pub fn messages(&self) -> Option<&[Message]> {
        Some(&self.open()?.messages)
    }

    /// The open attempt, if any.
    pub fn open_attempt(&self) -> Option<&OpenAttempt> {
        self.open()?.attempt.as_ref()
    }

    /// How the call ended, if it has.
    pub fn ended(&self) -> Option<&EndedCall> {
        match &self.state {
            CallState::Open(_) => None,
            CallState::Ended(ended) => Some(ended),
        }
    }

    fn open(&self) -> Option<&OpenCall> {
        match &self.state {
            CallState::Open(open) => Some(open),
            CallState::Ended(_) => None,
        }
    }

    /// Replaces the open attempt and returns the old one.
    pub(crate) fn replace_attempt(&mut self, new: Option<OpenAttempt>) -> Option<OpenAttempt> {
        match &mut self.state {
            CallState::Open(open) => std::mem::replace(&mut open.attempt, new),
            CallState::Ended(_) => None,
        }
    }

    /// Reopens a call that did not run. The numbers of attempts continue, so that a late outcome of
    /// an earlier attempt cannot be taken for that of a new one.
    pub(crate) fn reopen(&mut self, messages: Vec<Message>) {
        self.state = CallState::Open(Box::new(OpenCall { messages, attempt: None }));
    }

    /// Ends the call and returns its messages.
    pub(crate) fn end(&mut self, ended: EndedCall) -> Vec<Message> {
        match std::mem::replace(&mut self.state, CallState::Ended(ended)) {
            CallState::Open(open) => open.messages,
            CallState::Ended(_) => Vec::new(),
        }
    }
}
