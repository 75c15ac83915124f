//! What is asked of a ledger, and its answers.

use dahlia_types::{Duration, Timestamp, Tokens};
use serde::{Deserialize, Serialize};

use crate::{ProgramCharge, ProgramName, TurnId};

/// The input of a turn whose text is kept, so that later turns bring only what is new.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnInput {
    /// The turn that this one goes on from; none at the start of a line.
    pub previous: Option<TurnId>,
    /// The bytes that are new in this turn.
    #[serde(with = "crate::text")]
    pub new_input: Vec<u8>,
    /// How long the turn is kept after its end.
    pub retention: Duration,
}

/// Reserves a turn's budget before anything leaves for a back end. Repeating it is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenTurn {
    /// The program.
    pub program: ProgramName,
    /// The turn.
    pub turn: TurnId,
    /// Tokens that all turns of the program may generate; none when it has no budget.
    pub budget: Option<Tokens>,
    /// The most that this turn generates.
    pub max_generated: Tokens,
    /// What is kept of it; none when the caller brings whole prompts.
    pub input: Option<TurnInput>,
    /// The owner's time.
    pub at: Timestamp,
}

/// How a turn ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnEnd {
    /// Its answer is whole. From here on it may be gone on from.
    Completed {
        /// Tokens that were handed on to the caller.
        generated: Tokens,
        /// The answer in the form that it has in later prompts; empty when nothing is kept.
        #[serde(with = "crate::text")]
        output: Vec<u8>,
        /// The back end that served it, whose memory may still hold its prompt.
        served_by: String,
    },
    /// No back end ran it or ever will: it costs nothing.
    NotRun,
    /// It may have run and was not answered whole: it costs the most it could have generated.
    Incomplete,
}

/// Settles a turn. The first end of a turn stands; repeating it is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseTurn {
    /// The program.
    pub program: ProgramName,
    /// The turn.
    pub turn: TurnId,
    /// How it ended.
    pub end: TurnEnd,
    /// The owner's time.
    pub at: Timestamp,
}

/// A chain of kept turns as one text, on its way from one ledger to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptChain {
    /// Inputs and outputs of its turns, oldest first.
    #[serde(with = "crate::text")]
    pub text: Vec<u8>,
    /// The back end that served its newest turn.
    pub served_by: String,
    /// How long its newest turn is still kept.
    pub retention: Duration,
}

/// Holds a chain of another group's ledger under the name of its newest turn. Repeating it is
/// harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportTurn {
    /// The program that goes on from it.
    pub program: ProgramName,
    /// The chain's newest turn.
    pub turn: TurnId,
    /// The chain.
    pub chain: KeptChain,
    /// The owner's time.
    pub at: Timestamp,
}

/// A chain, and what one program has used of its budget where the chain is held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargedChain {
    /// The chain.
    pub chain: KeptChain,
    /// The program's charge there; none when it is not known there.
    pub charge: Option<ProgramCharge>,
}

/// Holds a chain of another group's ledger, and counts what its program has used there of its budget
/// as used here. Repeating it is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportCharged {
    /// The chain.
    pub import: ImportTurn,
    /// The program's charge where the chain comes from.
    pub charge: ProgramCharge,
}

/// What is asked of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Reserve a turn's budget and read what it goes on from.
    Open(OpenTurn),
    /// Settle a turn.
    Close(CloseTurn),
    /// Read a chain that a program of another group goes on from. A command, so that only an
    /// owner of the present can answer that there is no such turn.
    Read {
        /// The chain's newest turn.
        turn: TurnId,
        /// The owner's time.
        at: Timestamp,
    },
    /// Take over a chain from another ledger.
    Import(ImportTurn),
    /// Forget turns and programs whose retention is over.
    Expire {
        /// The owner's time.
        now: Timestamp,
    },
    /// As `Read`, for a program that may have turns in that group too. After the others: logs hold
    /// commands by their place here.
    ReadCharged {
        /// The chain's newest turn.
        turn: TurnId,
        /// The program that goes on from it.
        program: ProgramName,
        /// The owner's time.
        at: Timestamp,
    },
    /// Take over a chain and its program's charge.
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

    /// The turn that it is about, for logs; none when it is about no single one.
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

    /// Its name in logs.
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

    /// Bytes of text that it carries.
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

    /// The owner's time that it carries.
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

/// A turn that may be sent to a back end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenedTurn {
    /// Inputs and outputs of the turns before it, oldest first, as the back end is to get them.
    #[serde(with = "crate::text")]
    pub history: Vec<u8>,
    /// The back end that served the turn before it.
    pub last_served_by: Option<String>,
}

/// Why a turn was not opened. It has not run and will not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnRefusal {
    /// What is spent and reserved leaves less than the most that the turn may generate.
    BudgetSpent {
        /// The program's budget.
        budget: Tokens,
        /// Spent and reserved so far.
        used: Tokens,
    },
    /// No turn of that name was answered whole within its retention.
    NoSuchTurn {
        /// The missing turn.
        previous: TurnId,
    },
    /// The turn that this one goes on from is open, as far as the ledger knows. Its caller may
    /// have its whole answer while its end is still on the way to the ledger, so nobody can say
    /// yet that there is no such turn.
    NotEnded {
        /// The open turn.
        previous: TurnId,
    },
    /// The turn was settled before: its try has ended.
    AlreadyEnded,
    /// A limit of the ledger is reached.
    LimitReached {
        /// What is limited.
        limit: String,
    },
}

/// A ledger's answer.
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
    /// The chain of another ledger is held here.
    Imported,
    /// Turns and programs were forgotten.
    Expired,
    /// A chain for another ledger, with its program's charge.
    ChargedChain(ChargedChain),
}

impl LedgerReply {
    /// Its name in logs.
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
