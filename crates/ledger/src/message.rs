//! Commands to a ledger and its replies.

use dahlia_types::{Duration, Timestamp, Tokens};
use serde::{Deserialize, Serialize};

use crate::{ProgramCharge, ProgramName, TurnId};

/// The input of a turn whose text is kept, so that later turns send only new input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnInput {
    /// The turn that this one continues; none for the first turn of a chain.
    pub previous: Option<TurnId>,
    /// The input that this turn adds.
    #[serde(with = "crate::text")]
    pub new_input: Vec<u8>,
    /// How long the turn is kept after its end.
    pub retention: Duration,
}

/// Reserves tokens for a turn, before anything is sent to a backend. Idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenTurn {
    /// The program.
    pub program: ProgramName,
    /// The turn.
    pub turn: TurnId,
    /// Tokens that all turns of the program may generate; none when it has no budget.
    pub budget: Option<Tokens>,
    /// Most tokens that this turn may generate.
    pub max_generated: Tokens,
    /// The input to keep; none if the caller sends complete prompts.
    pub input: Option<TurnInput>,
    /// When the owner proposed the command, by the owner's clock.
    pub at: Timestamp,
}

/// How a turn ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnEnd {
    /// It was answered completely. Later turns may continue it.
    Completed {
        /// Tokens that were sent to the caller.
        generated: Tokens,
        /// The answer in the form that it has in later prompts; empty if nothing is kept.
        #[serde(with = "crate::text")]
        output: Vec<u8>,
        /// The backend that served it, whose cache may still hold its prompt.
        served_by: String,
    },
    /// No backend ran it or ever will. It is not charged.
    NotRun,
    /// It may have run and was not answered completely. It is charged the most that it could have
    /// generated.
    Incomplete,
}

/// Settles a turn. Idempotent: the first end that is recorded for a turn counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseTurn {
    /// The program.
    pub program: ProgramName,
    /// The turn.
    pub turn: TurnId,
    /// How it ended.
    pub end: TurnEnd,
    /// When the owner proposed the command, by the owner's clock.
    pub at: Timestamp,
}

/// A chain of kept turns as one text, to be transferred from one ledger to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptChain {
    /// Inputs and outputs of its turns, oldest first.
    #[serde(with = "crate::text")]
    pub text: Vec<u8>,
    /// The backend that served its newest turn.
    pub served_by: String,
    /// How long its newest turn remains kept.
    pub retention: Duration,
}

/// Imports a chain from another group's ledger under the name of its newest turn. Idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportTurn {
    /// The program that continues it.
    pub program: ProgramName,
    /// The chain's newest turn.
    pub turn: TurnId,
    /// The chain.
    pub chain: KeptChain,
    /// When the owner proposed the command, by the owner's clock.
    pub at: Timestamp,
}

/// A chain, and what one program has used of its budget in the ledger that holds the chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargedChain {
    /// The chain.
    pub chain: KeptChain,
    /// The program's charge there; none if that ledger does not know the program.
    pub charge: Option<ProgramCharge>,
}

/// Imports a chain from another group's ledger, and counts what its program has used of its budget
/// there as used here. Idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportCharged {
    /// The chain.
    pub import: ImportTurn,
    /// The program's charge in the ledger that the chain comes from.
    pub charge: ProgramCharge,
}

/// A command to a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Reserve tokens for a turn and read the chain that it continues.
    Open(OpenTurn),
    /// Settle a turn.
    Close(CloseTurn),
    /// Read a chain that a program of another group continues. It is a command, so that only the
    /// current owner can reply that there is no such turn.
    Read {
        /// The chain's newest turn.
        turn: TurnId,
        /// When the owner proposed the command, by the owner's clock.
        at: Timestamp,
    },
    /// Import a chain from another ledger.
    Import(ImportTurn),
    /// Remove turns and programs whose retention is over.
    Expire {
        /// The time by the owner's clock.
        now: Timestamp,
    },
    /// Read a chain and the charge of a program that may have turns in that group too. Logs encode
    /// commands by their position in this enum, so new ones are added at the end.
    ReadCharged {
        /// The chain's newest turn.
        turn: TurnId,
        /// The program that continues it.
        program: ProgramName,
        /// When the owner proposed the command, by the owner's clock.
        at: Timestamp,
    },
    /// Import a chain and its program's charge.
    ImportCharged(Box<ImportCharged>),
}

impl LedgerCommand {
    /// The program that the command concerns; none for a command on the whole ledger.
    pub fn program(&self) -> Option<&ProgramName> {
        match self {
            Self::Open(open) => Some(&open.program),
            Self::Close(close) => Some(&close.program),
            Self::Import(import) => Some(&import.program),
            Self::ReadCharged { program, .. } => Some(program),
            Self::ImportCharged(charged) => Some(&charged.import.program),
            Self::Read { .. } | Self::Expire { .. } => None,
        }
    }

    /// The turn that the command concerns, for logs; none if it concerns no single turn.
    pub fn turn(&self) -> Option<&TurnId> {
        match self {
            Self::Open(open) => Some(&open.turn),
            Self::Close(close) => Some(&close.turn),
            Self::Import(import) => Some(&import.turn),
            Self::ImportCharged(charged) => Some(&charged.import.turn),
            Self::Read { turn, .. } | Self::ReadCharged { turn, .. } => Some(turn),
            Self::Expire { .. } => None,
        }
    }

    /// The name of the command in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Open(_) => "open",
            Self::Close(_) => "close",
            Self::Read { .. } => "read",
            Self::Import(_) => "import",
            Self::Expire { .. } => "expire",
            Self::ReadCharged { .. } => "read-for",
            Self::ImportCharged(_) => "import-charged",
        }
    }

    /// Bytes of text in the command.
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Open(open) => open.input.as_ref().map_or(0, |input| input.new_input.len()),
            Self::Close(close) => match &close.end {
                TurnEnd::Completed { output, .. } => output.len(),
                TurnEnd::NotRun | TurnEnd::Incomplete => 0,
            },
            Self::Import(import) => import.chain.text.len(),
            Self::ImportCharged(charged) => charged.import.chain.text.len(),
            Self::Read { .. } | Self::ReadCharged { .. } | Self::Expire { .. } => 0,
        }
    }

    /// When the owner proposed the command, by the owner's clock.
    pub fn timestamp(&self) -> Timestamp {
        match self {
            Self::Open(open) => open.at,
            Self::Close(close) => close.at,
            Self::Import(import) => import.at,
            Self::ImportCharged(charged) => charged.import.at,
            Self::Read { at, .. } | Self::ReadCharged { at, .. } => *at,
            Self::Expire { now } => *now,
        }
    }

    /// The same command with the time of the owner that proposes it.
    pub fn with_timestamp(mut self, timestamp: Timestamp) -> Self {
        match &mut self {
            Self::Open(open) => open.at = timestamp,
            Self::Close(close) => close.at = timestamp,
            Self::Import(import) => import.at = timestamp,
            Self::ImportCharged(charged) => charged.import.at = timestamp,
            Self::Read { at, .. } | Self::ReadCharged { at, .. } => *at = timestamp,
            Self::Expire { now } => *now = timestamp,
        }
        self
    }
}

/// A turn that may be sent to a backend.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenedTurn {
    /// Inputs and outputs of the turns before it, oldest first, in the form for the backend.
    #[serde(with = "crate::text")]
    pub history: Vec<u8>,
    /// The backend that served the turn before it.
    pub last_served_by: Option<String>,
}

/// Why a turn was not opened. It has not run and will not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnRefusal {
    /// The tokens left in the budget are fewer than the turn may generate.
    BudgetSpent {
        /// The program's budget.
        budget: Tokens,
        /// Tokens spent and reserved so far.
        used: Tokens,
    },
    /// There is no turn of that name that was answered completely and is still kept.
    NoSuchTurn {
        /// The missing turn.
        previous: TurnId,
    },
    /// The turn that this one continues is open, as far as the ledger knows. Its caller may have
    /// the complete answer while the close command is still in flight, so the ledger cannot yet say
    /// that there is no such turn.
    NotEnded {
        /// The open turn.
        previous: TurnId,
    },
    /// The turn has been settled before.
    AlreadyEnded,
    /// A limit of the ledger is reached.
    LimitReached {
        /// What is limited.
        limit: String,
    },
}

/// A ledger's reply to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The turn's reservation is durable.
    Opened(OpenedTurn),
    /// The turn was not opened.
    Refused(TurnRefusal),
    /// The turn's end is durable.
    Closed,
    /// A chain for another ledger.
    Chain(KeptChain),
    /// The chain of another ledger is kept here.
    Imported,
    /// Expired turns and programs were removed.
    Expired,
    /// A chain for another ledger, with its program's charge.
    ChargedChain(ChargedChain),
}

impl LedgerReply {
    /// The name of the reply in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Opened(_) => "opened",
            Self::Refused(TurnRefusal::BudgetSpent { .. }) => "budget-spent",
            Self::Refused(TurnRefusal::NoSuchTurn { .. }) => "no-such-turn",
            Self::Refused(TurnRefusal::NotEnded { .. }) => "not-ended",
            Self::Refused(TurnRefusal::AlreadyEnded) => "already-ended",
            Self::Refused(TurnRefusal::LimitReached { .. }) => "limit-reached",
            Self::Closed => "closed",
            Self::Chain(_) => "chain",
            Self::Imported => "imported",
            Self::Expired => "expired",
            Self::ChargedChain(_) => "charged-chain",
        }
    }
}
