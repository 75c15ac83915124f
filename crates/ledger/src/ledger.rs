//! The state of a ledger and the application of commands to it.

use std::collections::BTreeMap;

use dahlia_types::{Bytes, Timestamp, Tokens};
use serde::{Deserialize, Serialize};

use crate::clock::LedgerClock;
use crate::turn::{KeptTurn, Phase, Turn};
use crate::{LedgerCommand, LedgerLimits, LedgerReply, ProgramName, TurnId, TurnRefusal};

/// The turns and budgets of the programs of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    pub(crate) limits: LedgerLimits,
    pub(crate) clock: LedgerClock,
    pub(crate) programs: BTreeMap<ProgramName, Program>,
    pub(crate) turns: BTreeMap<TurnId, Turn>,
    pub(crate) text_bytes: u64,
}

/// The record of one program. It outlives the program's turns.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Program {
    pub(crate) budget: Option<Tokens>,
    pub(crate) spent: Tokens,
    pub(crate) reserved: Tokens,
    pub(crate) last_served_by: Option<String>,
    pub(crate) keep_until: Timestamp,
}

impl Program {
    pub(crate) fn used(&self) -> Tokens {
        self.spent.saturating_add(self.reserved)
    }
}

/// What a program has used of its budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramCharge {
    /// Tokens that its turns may generate together; none when it has no budget.
    pub budget: Option<Tokens>,
    /// Tokens charged for turns that have ended.
    pub spent: Tokens,
    /// Tokens reserved for open turns.
    pub reserved: Tokens,
}

impl ProgramCharge {
    /// Tokens spent and reserved.
    pub fn used(&self) -> Tokens {
        self.spent.saturating_add(self.reserved)
    }
}

/// How much a ledger holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSize {
    /// Number of programs.
    pub programs: u64,
    /// Number of turns in any phase.
    pub turns: u64,
    /// Bytes of all texts.
    pub text_bytes: Bytes,
}

impl Ledger {
    /// Creates an empty ledger. Every replica must start with the same limits.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            clock: LedgerClock::default(),
            programs: BTreeMap::new(),
            turns: BTreeMap::new(),
            text_bytes: 0,
        }
    }

    /// Replaces the limits. Turns and programs already above them stay.
    pub fn set_limits(&mut self, limits: LedgerLimits) {
        self.limits = limits;
    }

    /// Whether the ledger holds nothing that could expire.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty() && self.turns.is_empty()
    }

    /// How much the ledger holds.
    pub fn size(&self) -> LedgerSize {
        LedgerSize {
            programs: self.programs.len() as u64,
            turns: self.turns.len() as u64,
            text_bytes: Bytes(self.text_bytes),
        }
    }

    /// What a program has used; none if the ledger does not know it or has removed it.
    pub fn charge(&self, program: &ProgramName) -> Option<ProgramCharge> {
        let found = self.programs.get(program)?;
        let Program { budget, spent, reserved, .. } = found;
        Some(ProgramCharge { budget: *budget, spent: *spent, reserved: *reserved })
    }

    /// Applies a committed command. Replicas that applied the same commands give the same reply.
    pub fn apply(&mut self, command: &LedgerCommand) -> LedgerReply {
        let now = self.clock.advance(command.timestamp());
        let reply = match command {
            LedgerCommand::Open(open) => self.open(open, now).map(LedgerReply::Opened),
            LedgerCommand::Close(close) => {
                self.close(close, now);
                Ok(LedgerReply::Closed)
            }
            LedgerCommand::Read { turn, .. } => self.read(turn, now).map(LedgerReply::Chain),
            LedgerCommand::Import(import) => {
                self.import(import, now).map(|()| LedgerReply::Imported)
            }
            LedgerCommand::ReadCharged { turn, program, .. } => {
                self.read_charged(turn, program, now).map(LedgerReply::ChargedChain)
            }
            LedgerCommand::ImportCharged(charged) => {
                self.import_charged(charged, now).map(|()| LedgerReply::Imported)
            }
            LedgerCommand::Expire { .. } => {
                self.expire(now);
                Ok(LedgerReply::Expired)
            }
        };
        reply.unwrap_or_else(LedgerReply::Refused)
    }

    /// The texts of a chain up to and including `newest`, oldest first.
    pub(crate) fn chain_text(&self, newest: &TurnId) -> Result<Vec<u8>, TurnRefusal> {
        let mut texts: Vec<&[u8]> = Vec::new();
        let mut next = Some(newest);
        while let Some(turn) = next {
            // An ancestor cannot be missing. If one were, a partial history would be worse than a
            // refusal.
            let kept = self.kept_turn(turn).ok_or_else(|| no_such_turn(newest))?;
            texts.push(&kept.text);
            next = kept.previous.as_ref();
        }
        texts.reverse();
        Ok(texts.concat())
    }

    pub(crate) fn kept_turn(&self, turn: &TurnId) -> Option<&KeptTurn> {
        match &self.turns.get(turn)?.phase {
            Phase::Kept(kept) => Some(kept),
            Phase::Open(_) | Phase::Ended => None,
        }
    }

    /// Why a turn that is not kept cannot be continued.
    pub(crate) fn refusal_to_continue(&self, turn: &TurnId) -> TurnRefusal {
        let found = self.turns.get(turn);
        if found.is_some_and(|found| matches!(found.phase, Phase::Open(_))) {
            // Its caller may have the complete answer while the close command is still in flight.
            return TurnRefusal::NotEnded { previous: turn.clone() };
        }
        no_such_turn(turn)
    }

    /// Puts a turn into another phase and updates the text size and the counts of children.
    pub(crate) fn set_phase(&mut self, id: &TurnId, phase: Phase, expires_at: Timestamp) {
        let Some(turn) = self.turns.get_mut(id) else {
            return;
        };
        let old_parent = turn.previous().cloned();
        self.text_bytes -= turn.text_bytes();
        turn.phase = phase;
        turn.expires_at = expires_at;
        self.text_bytes += turn.text_bytes();
        let new_parent = turn.previous().cloned();
        self.add_child(new_parent.as_ref());
        self.remove_child(old_parent.as_ref());
    }

    /// Counts one more turn that continues `previous`.
    pub(crate) fn add_child(&mut self, previous: Option<&TurnId>) {
        if let Some(parent) = previous.and_then(|previous| self.turns.get_mut(previous)) {
            parent.children += 1;
        }
    }

    /// Counts one turn less that continues `previous`.
    pub(crate) fn remove_child(&mut self, previous: Option<&TurnId>) {
        if let Some(parent) = previous.and_then(|previous| self.turns.get_mut(previous)) {
            parent.children = parent.children.saturating_sub(1);
        }
    }

    /// Keeps a program's charge until `until` at least: commands of its turns may still arrive.
    pub(crate) fn extend_retention(&mut self, program: &ProgramName, until: Timestamp) {
        if let Some(found) = self.programs.get_mut(program) {
            found.keep_until = found.keep_until.max(until);
        }
    }
}

pub(crate) fn no_such_turn(turn: &TurnId) -> TurnRefusal {
    TurnRefusal::NoSuchTurn { previous: turn.clone() }
}
