//! Commands to the engine, its immediate replies and its refusals.

use dahlia_types::{
    AttemptId, Generation, Incarnation, ModelId, ProgramId, TenantId, Term, Timestamp, Tokens,
    Usage,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{AttemptStatus, KvImage, Priority, Segment};

/// Asks the engine to run an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// The attempt. If the engine knows it already, it is not run again.
    pub attempt: AttemptId,
    /// The owner's epoch. It is refused if a newer one was seen for the program.
    pub epoch: Term,
    /// The incarnation of the engine that is meant; `None` accepts any.
    pub incarnation: Option<Incarnation>,
    /// The tenant that owns the program; salts the prefix cache.
    pub tenant: TenantId,
    /// Model, adapter and version.
    pub model: ModelId,
    /// The prompt.
    pub prompt: Vec<Segment>,
    /// Upper bound that the owner reserved for the prompt; a longer prompt is refused.
    pub prompt_bound: Tokens,
    /// Tokens that the model will generate, decided by the driver; at least one is generated.
    pub generate: Tokens,
    /// Hash of the answer's segment. The next prompt refers to the answer by it.
    pub answer_hash: u64,
    /// Urgency at this engine.
    pub priority: Priority,
}

/// Ends an attempt. An attempt that is unknown or still waiting is fenced and never starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The attempt.
    pub attempt: AttemptId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Ends the attempt only if it has not started. Used to recall work that another engine can
    /// do as well.
    pub only_waiting: bool,
}

/// Raises a program's epoch. Commands with an older epoch are refused from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The program.
    pub program: ProgramId,
    /// The new owner's epoch.
    pub epoch: Term,
}

/// What happens to a program's cache when its hold lapses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AfterHold {
    /// It is freed at once, unless another program uses it.
    Free,
    /// It stays until the memory is needed, least recently used first.
    Cache,
}

/// Holds a program's cache, so that it is evicted only after everything that is not held.
///
/// The engine itself ends the hold, so that memory is freed even if every daemon is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// When the hold lapses.
    pub until: Timestamp,
    /// What happens to the cache then.
    pub after: AfterHold,
}

/// Frees the cache that the engine keeps for this program only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Whether the program has ended. If so, its attempts are cut and later ones refused.
    pub closing: bool,
}

/// Copies the cached part of a prefix out of the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// The tenant that owns the program.
    pub tenant: TenantId,
    /// The model that computed it.
    pub model: ModelId,
    /// The prefix to export.
    pub segments: Vec<Segment>,
}

/// Copies an exported prefix into the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// The owner's epoch.
    pub epoch: Term,
    /// The image to import.
    pub image: KvImage,
}

/// Whether an engine accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum EngineRole {
    /// Accepts new attempts.
    #[default]
    Serving,
    /// Finishes its current attempts and refuses new ones.
    Draining,
}

/// What an order changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Loads a model, adapter and version whose weights have arrived.
    Load(ModelId),
    /// Unloads it. Waiting attempts end without having run, running ones finish, and the cache is
    /// evicted as it ages.
    Unload(ModelId),
    /// Changes the role.
    SetRole(EngineRole),
}

/// An order of the operators' configuration, fenced by its generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The configuration generation that the order comes from. It is refused if a newer one was
    /// seen for the same subject (the model, or the role).
    pub generation: Generation,
    /// The change to make.
    pub kind: OrderKind,
}

/// A command to the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum EngineCommand {
    Submit(Submit),
    Cancel(Cancel),
    Fence(Fence),
    Hold(Hold),
    Release(Release),
    Export(Export),
    Import(Import),
    Order(EngineOrder),
}

/// The immediate answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineReply {
    /// The command is done, or has begun and an event will report its end.
    Accepted,
    /// The attempt is known already and has this status.
    Known(AttemptStatus),
    /// The attempt did not start and never will.
    NeverStarted,
    /// The attempt was cut while running; this is its usage.
    Cut(Usage),
    /// The engine holds nothing for the program any more.
    Released {
        /// Tokens of KV that became free.
        freed: Tokens,
    },
    /// The command was refused and changed nothing.
    Refused(EngineRefusal),
}

/// Why a command changed nothing.
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
    /// The command was meant for another incarnation of the engine.
    #[snafu(display("this is life {actual} of the engine, not {expected}"))]
    OtherIncarnation {
        /// The incarnation that was meant.
        expected: Incarnation,
        /// The current incarnation.
        actual: Incarnation,
    },
    /// The program was released as ended.
    #[snafu(display("program {program} has ended here"))]
    ProgramEnded {
        /// The program.
        program: ProgramId,
    },
    /// The model is not loaded.
    #[snafu(display("model {model} is not loaded"))]
    ModelNotLoaded {
        /// The model.
        model: ModelId,
    },
    /// The prompt is longer than the reservation or than the memory allows.
    #[snafu(display("the prompt has {tokens} and at most {limit} are allowed"))]
    PromptTooLong {
        /// Length of the prompt. When the memory is the limit, it includes the tokens to generate
        /// and the rounding to blocks.
        tokens: Tokens,
        /// The limit that it exceeds.
        limit: Tokens,
    },
    /// Too many attempts are waiting.
    #[snafu(display("{waiting} attempts wait and no more are taken"))]
    Overloaded {
        /// Number of waiting attempts.
        waiting: u32,
    },
    /// The engine accepts no new work.
    #[snafu(display("the engine is draining"))]
    Draining,
    /// A newer order for the same subject was seen.
    #[snafu(display("generation {generation} is older than {seen}"))]
    StaleGeneration {
        /// The generation refused.
        generation: Generation,
        /// The newest generation seen.
        seen: Generation,
    },
    /// Nothing of the prefix is cached.
    #[snafu(display("nothing of the prefix of {program} is cached"))]
    NothingCached {
        /// The program.
        program: ProgramId,
    },
}
