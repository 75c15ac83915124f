//! What a ledger holds of one turn.

use bytes::Bytes;
use dahlia_types::{Duration, Timestamp, Tokens};
use serde::{Deserialize, Serialize};

use crate::{ProgramName, TurnId};

/// One turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Turn {
    pub(crate) program: ProgramName,
    pub(crate) phase: Phase,
    /// When it goes on to its next phase by itself, or is forgotten.
    pub(crate) due: Timestamp,
    /// Open and kept turns that go on from it. While there are some it is not forgotten: a chain
    /// lives as long as its newest turn.
    pub(crate) children: u32,
}

/// Where a turn stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Phase {
    /// Its most is reserved.
    Open(OpenTurnState),
    /// It was answered whole and its text is kept.
    Kept(KeptText),
    /// It has ended, and only its name is kept, so that a late repeat does not open it again.
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

/// A turn that later turns may go on from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptText {
    pub(crate) previous: Option<TurnId>,
    /// Input and output of this turn alone.
    pub(crate) text: Bytes,
    /// Bytes of the whole chain up to and with this turn.
    pub(crate) chain_bytes: u64,
    /// Turns of the chain up to and with this one.
    pub(crate) chain_turns: u64,
    pub(crate) served_by: String,
}

impl Turn {
    /// The turn that this one goes on from, while that has to stay.
    pub(crate) fn previous(&self) -> Option<&TurnId> {
        match &self.phase {
            Phase::Open(open) => open.input.as_ref()?.previous.as_ref(),
            Phase::Kept(kept) => kept.previous.as_ref(),
            Phase::Ended => None,
        }
    }

    /// Bytes of text held for it.
    pub(crate) fn text_bytes(&self) -> u64 {
        match &self.phase {
            Phase::Open(open) => open.input.as_ref().map_or(0, |input| input.text.len() as u64),
            Phase::Kept(kept) => kept.text.len() as u64,
            Phase::Ended => 0,
        }
    }
}
