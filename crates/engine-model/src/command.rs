//! What a driver may ask of the engine, and what it answers at once.

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
    /// The attempt. A known one is joined, not run again.
    pub attempt: AttemptId,
    /// The owner's epoch; an older one than was seen for the program is refused.
    pub epoch: Term,
    /// The engine's life that is meant; none accepts any.
    pub incarnation: Option<Incarnation>,
    /// Whose program it is; salts the prefix cache.
    pub tenant: TenantId,
    /// Model, adapter and version.
    pub model: ModelId,
    /// The prompt.
    pub prompt: Vec<Segment>,
    /// Upper bound that the owner reserved for the prompt; a longer prompt is refused unrun.
    pub prompt_bound: Tokens,
    /// Tokens that the model will generate, decided by the driver; at least one is generated.
    pub generate: Tokens,
    /// Hash of the answer's segment, under which the next prompt names it.
    pub answer_hash: u64,
    /// Urgency.
    pub priority: Priority,
}

/// Ends an attempt. One that was never seen or only waits is fenced and never starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The attempt.
    pub attempt: AttemptId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Leave it alone if it has started: a recall of work that another engine can do as well.
    pub only_waiting: bool,
}

/// Raises a program's epoch: effects with an older one are refused from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The program.
    pub program: ProgramId,
    /// The new owner's epoch.
    pub epoch: Term,
}

/// What becomes of a held program's cache when the hold lapses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AfterHold {
    /// It is freed at once, unless another program uses it.
    Free,
    /// It stays until the memory is needed, least recently used first.
    Cache,
}

/// Holds a program's cache: it is evicted only after everything that is not held.
///
/// The engine enforces the end, so that memory is freed even if every daemon is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// When the hold lapses.
    pub until: Timestamp,
    /// What then happens.
    pub after: AfterHold,
}

/// Frees what the engine holds for a program and for no other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// The program has ended: its attempts are cut and later ones refused.
    pub closing: bool,
}

/// Copies the cached part of a prefix out of the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Whose program it is.
    pub tenant: TenantId,
    /// The model that computed it.
    pub model: ModelId,
    /// The prefix wanted.
    pub segments: Vec<Segment>,
}

/// Copies an exported prefix into the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// The owner's epoch.
    pub epoch: Term,
    /// What to take in.
    pub image: KvImage,
}

/// What an engine does with new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum EngineRole {
    /// Takes new attempts.
    #[default]
    Serving,
    /// Finishes what it has and refuses new attempts.
    Draining,
}

/// What an order changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load a model, adapter and version whose weights have arrived.
    Load(ModelId),
    /// Unload it: its waiting attempts end unrun, running ones finish, its cache ages out.
    Unload(ModelId),
    /// Change the role.
    SetRole(EngineRole),
}

/// An order of the operators' configuration, fenced by its generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The generation that the order follows. An older one than was seen for the same subject
    /// (the model, or the role) is refused.
    pub generation: Generation,
    /// What to do.
    pub kind: OrderKind,
}

/// Any command.
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
    /// Done, or begun; its end comes as an event.
    Accepted,
    /// The attempt is known already; this is where it stands.
    Known(AttemptStatus),
    /// The attempt did not start and never will.
    NeverStarted,
    /// The attempt was cut after it had used this.
    Cut(Usage),
    /// Nothing is held for the program any more; this much was freed just now.
    Released {
        /// Tokens of KV that became free.
        freed: Tokens,
    },
    /// Nothing changed.
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
    /// The command was meant for another life of the engine.
    #[snafu(display("this is life {actual} of the engine, not {expected}"))]
    OtherIncarnation {
        /// The life that was meant.
        expected: Incarnation,
        /// This life.
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
        /// Length of the prompt with what is to be generated.
        tokens: Tokens,
        /// The limit it exceeds.
        limit: Tokens,
    },
    /// Too many attempts wait.
    #[snafu(display("{waiting} attempts wait and no more are taken"))]
    Overloaded {
        /// Attempts waiting.
        waiting: u32,
    },
    /// The engine takes no new work.
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
