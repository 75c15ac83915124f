//! A call's record: what identifies it, its attempts, and how it ended.

use dahlia_types::{
    CallKind, Duration, EngineId, IdempotencyKey, Incarnation, LogIndex, Message, Repeatability,
    Term, Timestamp, Tokens, Usage,
};
use serde::{Deserialize, Serialize};

use crate::NotRunReason;

use crate::key::KeyHash;

/// An attempt with a recorded intent and no outcome yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenAttempt {
    /// Which try, from 1.
    pub number: u32,
    /// The engine or tool service.
    pub engine: EngineId,
    /// The life of the engine that the attempt is meant for.
    pub incarnation: Incarnation,
    /// The epoch of the owner that recorded the intent.
    pub epoch: Term,
    /// The log index of the intent.
    pub intent: LogIndex,
    /// Tokens set aside for it.
    pub reserved: Tokens,
    /// Most tokens it may generate.
    pub generated_cap: Tokens,
    /// When the intent was recorded, by its owner's time.
    pub at: Timestamp,
}

/// An attempt of unknown outcome. Its reservation stays until somebody tells what it used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownAttempt {
    /// The engine or tool service.
    pub engine: EngineId,
    /// The life of the engine that the attempt was meant for.
    pub incarnation: Incarnation,
    /// Tokens still set aside for it.
    pub reserved: Tokens,
    /// When it was recorded as unknown, by its owner's time.
    pub at: Timestamp,
    /// The engine confirmed a release that covers it, so it can no longer run.
    pub fenced: bool,
}

/// How a call ended, without the answer's text, which is in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndedCall {
    /// Answered; the answer is the last message of this turn.
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
        /// When the caller may come back.
        retry_after: Option<Duration>,
    },
    /// It may have run; it will not run again.
    Unknown,
}

/// What is kept of a call only until it ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// What it adds to the history when it ends.
    pub messages: Vec<Message>,
    /// Its attempt under way.
    pub attempt: Option<OpenAttempt>,
}

/// Where a call stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// It has no final outcome. Boxed, because most calls of a long program have ended.
    Open(Box<OpenCall>),
    /// It has its one final outcome.
    Ended(EndedCall),
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    pub(crate) key: Option<KeyHash>,
    pub(crate) digest: u64,
    /// None for the usual kind, [`CallKind::Generate`]: a long program keeps many calls.
    pub(crate) other_kind: Option<Box<CallKind>>,
    pub(crate) repeatability: Repeatability,
    pub(crate) max_generated: Tokens,
    pub(crate) attempts: u32,
    /// An attempt used tokens and gave no answer that counts.
    pub(crate) ran_unanswered: bool,
    pub(crate) state: CallState,
}

impl Call {
    /// Whether the caller named it by `key`.
    pub fn has_key(&self, key: &IdempotencyKey) -> bool {
        self.key == Some(KeyHash::of(key))
    }

    /// Hash of the request.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What serves it.
    pub fn kind(&self) -> &CallKind {
        self.other_kind.as_deref().unwrap_or(&CallKind::Generate)
    }

    /// Whether it may run again.
    pub fn repeatability(&self) -> Repeatability {
        self.repeatability
    }

    /// Most tokens the caller wants generated.
    pub fn max_generated(&self) -> Tokens {
        self.max_generated
    }

    /// Attempts so far, the open one included.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Where it stands.
    pub fn state(&self) -> &CallState {
        &self.state
    }

    /// Whether it has no final outcome.
    pub fn is_open(&self) -> bool {
        self.open().is_some()
    }

    /// What it adds to the history; none once it has ended.
    pub fn messages(&self) -> Option<&[Message]> {
        Some(&self.open()?.messages)
    }

    /// Its attempt under way.
    pub fn open_attempt(&self) -> Option<&OpenAttempt> {
        self.open()?.attempt.as_ref()
    }

    /// How it ended, if it has.
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

    pub(crate) fn set_attempt(&mut self, new: Option<OpenAttempt>) -> Option<OpenAttempt> {
        match &mut self.state {
            CallState::Open(open) => std::mem::replace(&mut open.attempt, new),
            CallState::Ended(_) => None,
        }
    }

    /// Opens a call that did not run once more. Attempts go on counting, so that a late word on an
    /// earlier one cannot be taken for a new one's.
    pub(crate) fn reopen(&mut self, messages: Vec<Message>) {
        self.state = CallState::Open(Box::new(OpenCall { messages, attempt: None }));
    }

    /// Ends the call and gives back its messages.
    pub(crate) fn end(&mut self, ended: EndedCall) -> Vec<Message> {
        match std::mem::replace(&mut self.state, CallState::Ended(ended)) {
            CallState::Open(open) => open.messages,
            CallState::Ended(_) => Vec::new(),
        }
    }
}
