//! The capacity of a service's model servers, and the size of a request for them.

use dahlia_types::Tokens;

/// The maximum number of tokens that a request counts for. Callers may state any number, and the
/// sum over all attempts must stay exact: if it saturated, the end of one attempt would also
/// subtract tokens of others.
const MAX_TURN_TOKENS: u64 = u32::MAX as u64;

/// The capacity of each model server of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Memory for prompts and answers.
    pub memory: Tokens,
}

/// The size of a request for a model server, as far as the request states it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TurnSize {
    /// The tokens of its prompt.
    pub prompt: Tokens,
    /// The expected number of tokens of its answer.
    pub generated: Tokens,
}

impl TurnSize {
    /// Returns the tokens of memory that the request needs when it ends, limited to a maximum.
    pub fn total(self) -> u64 {
        let Self { prompt: Tokens(prompt), generated: Tokens(generated) } = self;
        prompt.saturating_add(generated).min(MAX_TURN_TOKENS)
    }
}
