//! The record of one turn in a ledger.

use bytes::Bytes;
use dahlia_types::{Duration, Timestamp, Tokens};
use serde::{Deserialize, Serialize};

use crate::{ProgramName, TurnId};

/// One turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Turn {
    pub(crate) program: ProgramName,
    pub(crate) phase: Phase,
    /// When an open turn is given up, or an ended one is removed.
    pub(crate) expires_at: Timestamp,
    /// Number of open and kept turns that continue it. It is not removed while there are any: a
    /// chain is kept as long as its newest turn.
    pub(crate) children: u32,
}

/// The phase of a turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Phase {
    /// The most tokens that it may generate are reserved.
    Open(OpenTurnState),
    /// It was answered completely and its text is kept.
    Kept(KeptTurn),
    /// It has ended and only its name is kept, so that a late retry does not open it again.
    Ended,
}

/// An open turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OpenTurnState {
    pub(crate) reserved: Tokens,
    pub(crate) input: Option<OpenInput>,
}

/// The input of an open turn whose text is to be kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OpenInput {
    pub(crate) previous: Option<TurnId>,
    pub(crate) text: Bytes,
    pub(crate) retention: Duration,
}

/// A turn that later turns may continue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptTurn {
    pub(crate) previous: Option<TurnId>,
    /// Input and output of this turn alone.
    pub(crate) text: Bytes,
    /// Bytes of the chain up to and including this turn.
    pub(crate) chain_bytes: u64,
    /// Number of turns of the chain up to and including this one.
    pub(crate) chain_turns: u64,
    pub(crate) served_by: String,
}

impl Turn {
    /// The turn that this one continues, as long as that turn has to be kept.
    pub(crate) fn previous(&self) -> Option<&TurnId> {
        match &self.phase {
            Phase::Open(open) => open.input.as_ref()?.previous.as_ref(),
            Phase::Kept(kept) => kept.previous.as_ref(),
            Phase::Ended => None,
        }
    }

    /// Bytes of its text.
    pub(crate) fn text_bytes(&self) -> u64 {
        match &self.phase {
            Phase::Open(open) => open.input.as_ref().map_or(0, |input| input.text.len() as u64),
            Phase::Kept(kept) => kept.text.len() as u64,
            Phase::Ended => 0,
        }
    }
}
