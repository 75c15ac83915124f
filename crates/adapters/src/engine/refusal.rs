//! Reasons for which an engine refuses a request.

use dahlia_types::{
    AttemptId, Duration, Generation, Incarnation, ModelId, ProgramId, Term, Tokens,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::AttemptState;
use crate::Certainty;

/// An engine's typed refusal: the request changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum EngineRefusal {
    /// A newer owner of the program was seen.
    #[snafu(display("epoch {epoch} of {program} is older than {seen}"))]
    StaleEpoch {
        /// The program.
        program: ProgramId,
        /// The epoch refused.
        epoch: Term,
        /// The newest epoch seen.
        seen: Term,
    },
    /// The request was meant for another incarnation of the engine.
    #[snafu(display("this is life {actual} of the engine, not {expected}"))]
    OtherIncarnation {
        /// The incarnation in the request.
        expected: Incarnation,
        /// The engine's own incarnation.
        actual: Incarnation,
    },
    /// The program was released as ended.
    #[snafu(display("program {program} has ended here"))]
    ProgramEnded {
        /// The program.
        program: ProgramId,
    },
    /// The attempt was cancelled before it started, so it never starts.
    #[snafu(display("attempt {attempt} was cancelled before it arrived"))]
    NeverStarts {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt was accepted before. It is not run twice; the caller can resume it.
    #[snafu(display("attempt {attempt} is known already"))]
    AttemptExists {
        /// The attempt.
        attempt: AttemptId,
        /// Its state.
        state: AttemptState,
    },
    /// The attempt to resume is not known to this incarnation.
    #[snafu(display("attempt {attempt} is not known here"))]
    NoSuchAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The answer is shorter than the offset asked for.
    #[snafu(display("the answer has {length} bytes, fewer than the offset {offset}"))]
    OffsetBeyondAnswer {
        /// The offset asked for.
        offset: u64,
        /// Bytes generated so far.
        length: u64,
    },
    /// The model is not loaded.
    #[snafu(display("model {model} is not loaded"))]
    ModelNotLoaded {
        /// The model.
        model: ModelId,
    },
    /// The prompt is longer than the reservation, or than the memory allows.
    #[snafu(display("the prompt has {counted} and at most {limit} are allowed"))]
    PromptTooLong {
        /// Length of the prompt as counted by the engine.
        counted: Tokens,
        /// The limit it exceeds.
        limit: Tokens,
    },
    /// Too many attempts wait in the queue.
    #[snafu(display("{queued} attempts wait and no more are taken"))]
    Overloaded {
        /// Number of waiting attempts.
        queued: u32,
        /// Minimum delay before a retry.
        retry_after: Duration,
    },
    /// The engine takes no new work: it is shutting down or draining.
    #[snafu(display("the engine takes no new work"))]
    Leaving,
    /// Attempts of the program are in progress, so its memory cannot be freed.
    #[snafu(display("attempts of {program} are under way"))]
    InUse {
        /// The program.
        program: ProgramId,
    },
    /// A newer order for the same subject was seen.
    #[snafu(display("generation {generation} is older than {seen}"))]
    StaleGeneration {
        /// The generation refused.
        generation: Generation,
        /// The newest generation seen.
        seen: Generation,
    },
    /// Nothing of the prefix is cached, or the source of an image no longer has it.
    #[snafu(display("nothing of the prefix of {program} is cached"))]
    NothingCached {
        /// The program.
        program: ProgramId,
    },
    /// The request is malformed or exceeds a limit.
    #[snafu(display("`{field}` is not acceptable: {detail}"))]
    Invalid {
        /// The field.
        field: String,
        /// What is wrong, with the limit if there is one.
        detail: String,
    },
}

impl EngineRefusal {
    /// Whether the attempt of a `generate` request may have run in spite of the refusal.
    pub fn certainty(&self) -> Certainty {
        match self {
            // This request did nothing, but an earlier one with the same attempt did.
            Self::AttemptExists { .. } => Certainty::Unknown,
            _ => Certainty::NotRun,
        }
    }
}
