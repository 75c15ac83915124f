//! What is known of the model servers of a service, and how large a request for them is.

use dahlia_types::Tokens;

/// Tokens that a request counts for at most. Callers state any number, and the sum of all attempts
/// must stay exact: a sum cut short would lose others' tokens when one ends.
const MOST_TURN_TOKENS: u64 = u32::MAX as u64;

/// What each model server of a service has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Memory for prompts and answers.
    pub memory: Tokens,
}

/// The size of a request for a model server, as far as the request says it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TurnSize {
    /// Tokens of its prompt.
    pub prompt: Tokens,
    /// Tokens that its answer is expected to have.
    pub generated: Tokens,
}

impl TurnSize {
    /// Tokens of memory that it needs at its end, within bounds.
    pub fn total(self) -> u64 {
        let Self { prompt: Tokens(prompt), generated: Tokens(generated) } = self;
        prompt.saturating_add(generated).min(MOST_TURN_TOKENS)
    }
}
