//! What is asked of a ledger, and its answers.

use std::fmt;

use dahlia_types::{Duration, Timestamp, Tokens};
use serde::{Deserialize, Serialize};

/// A caller's name for a program; unique in the system, at most 128 bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProgramName(pub String);

impl fmt::Display for ProgramName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A caller's name for one try of one turn; unique in the system, at most 128 bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TurnId(pub String);

impl fmt::Display for TurnId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The input of a turn whose text is kept, so that later turns bring only what is new.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnInput {
    /// The turn that this one goes on from; none at the start of a line.
    pub previous: Option<TurnId>,
    /// The bytes that are new in this turn.
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
    Whole {
        /// Tokens that were handed on to the caller.
        generated: Tokens,
        /// The answer in the form that it has in later prompts; empty when nothing is kept.
        output: Vec<u8>,
        /// The back end that served it, whose memory may still hold its prompt.
        served_by: String,
    },
    /// No back end ran it or ever will: it costs nothing.
    NotRun,
    /// It may have run and was not answered whole: it costs the most it could have generated.
    Broken,
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

/// What is asked of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Reserve a turn's budget and read what it goes on from.
    Open(OpenTurn),
    /// Settle a turn.
    Close(CloseTurn),
    /// Forget turns and programs whose retention is over.
    Expire {
        /// The owner's time.
        now: Timestamp,
    },
}

impl LedgerCommand {
    /// The program that the command concerns; none for a command on the whole ledger.
    pub fn program(&self) -> Option<&ProgramName> {
        match self {
            Self::Open(open) => Some(&open.program),
            Self::Close(close) => Some(&close.program),
            Self::Expire { .. } => None,
        }
    }
}

/// A turn that may be sent to a back end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenedTurn {
    /// Inputs and outputs of the turns before it, oldest first, as the back end is to get them.
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
    /// Turns and programs were forgotten.
    Expired,
}
