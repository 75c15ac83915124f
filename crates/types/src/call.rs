//! The contents of a call: its messages, its kind and its token usage.

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Incarnation, Term, Tokens};

/// Who speaks in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Instructions of the agent's author.
    System,
    /// The person or the calling program.
    User,
    /// The model.
    Assistant,
    /// The result of a tool.
    Tool,
}

/// One message of a program's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: Role,
    /// Text, UTF-8.
    pub content: String,
}

/// Whether a call may be run again after an attempt of unknown outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub enum Repeatability {
    /// Running twice does no harm except for its cost.
    #[default]
    Repeatable,
    /// Runs at most once; an unknown outcome is answered as unknown.
    AtMostOnce,
}

/// What serves a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub enum CallKind {
    /// A model engine generates the answer.
    #[default]
    Generate,
    /// A tool or application service of this name runs the call's last message.
    Tool(String),
}

/// Tokens that an attempt used, as reported by its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// The part of the prompt that was found in the engine's prefix cache.
    pub cached: Tokens,
    /// Tokens generated.
    pub generated: Tokens,
}

impl Usage {
    /// Tokens that the budget is charged: prompt and generated.
    pub fn total(self) -> Tokens {
        self.prompt.saturating_add(self.generated)
    }
}

/// An attempt with the epoch of the owner that dispatches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The attempt.
    pub id: AttemptId,
    /// The owner's epoch. Receivers refuse it if they have seen a newer one for the program.
    pub epoch: Term,
    /// The engine incarnation that the attempt is addressed to; any other one refuses it.
    pub engine_incarnation: Incarnation,
}
