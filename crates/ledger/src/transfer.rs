//! Importing a chain from another group's ledger. A program may continue a turn of another program,
//! which another group holds, or continue in another region, where another group keeps the program.

use bytes::Bytes;
use dahlia_types::{Duration, Timestamp};

use crate::close::RETENTION_MARGIN;
use crate::limits::Limit;
use crate::open::check_limit;
use crate::turn::{Phase, Turn};
use crate::{
    ChargedChain, ImportCharged, ImportTurn, KeptChain, Ledger, ProgramName, TurnId, TurnRefusal,
};

impl Ledger {
    pub(crate) fn read(&self, turn: &TurnId, now: Timestamp) -> Result<KeptChain, TurnRefusal> {
        let kept = self.kept_turn(turn).ok_or_else(|| self.refusal_to_continue(turn))?;
        let expires_at = self.turns.get(turn).map(|turn| turn.expires_at).unwrap_or_default();
        Ok(KeptChain {
            text: self.chain_text(turn)?,
            served_by: kept.served_by.clone(),
            retention: expires_at.since(now).max(RETENTION_MARGIN),
        })
    }

    pub(crate) fn read_charged(
        &self,
        turn: &TurnId,
        program: &ProgramName,
        now: Timestamp,
    ) -> Result<ChargedChain, TurnRefusal> {
        let chain = self.read(turn, now)?;
        Ok(ChargedChain { chain, charge: self.charge(program) })
    }

    /// Imports the chain and raises what the program has used here to its charge there, if that is
    /// more. A program that moves back and forth brings its total each time: adding it to what is
    /// recorded here would count it twice.
    pub(crate) fn import_charged(
        &mut self,
        command: &ImportCharged,
        now: Timestamp,
    ) -> Result<(), TurnRefusal> {
        let ImportCharged { import, charge } = command;
        let is_new = !self.programs.contains_key(&import.program);
        let programs = self.programs.len() as u64 + u64::from(is_new);
        check_limit(Limit::Programs, programs, self.limits.programs)?;
        self.import(import, now)?;
        let program = self.programs.entry(import.program.clone()).or_default();
        program.budget = program.budget.or(charge.budget);
        let missing = charge.used().saturating_sub(program.used());
        program.spent = program.spent.saturating_add(missing);
        program.last_served_by = Some(import.chain.served_by.clone());
        let retention = import.chain.retention.max(self.limits.program_retention);
        self.extend_retention(&import.program, now + retention);
        Ok(())
    }

    /// Keeps another ledger's chain as a single turn. Idempotent.
    pub(crate) fn import(
        &mut self,
        command: &ImportTurn,
        now: Timestamp,
    ) -> Result<(), TurnRefusal> {
        if let Some(turn) = self.turns.get(&command.turn) {
            let is_kept = matches!(turn.phase, Phase::Kept(_));
            return if is_kept { Ok(()) } else { Err(TurnRefusal::AlreadyEnded) };
        }
        let added = command.chain.text.len() as u64;
        check_limit(Limit::Turns, self.turns.len() as u64 + 1, self.limits.turns)?;
        check_limit(Limit::ChainBytes, added, self.limits.chain_bytes.0)?;
        check_limit(Limit::TextBytes, self.text_bytes + added, self.limits.text_bytes.0)?;
        let text = Bytes::copy_from_slice(&command.chain.text);
        let kept = self.kept_turn_after(None, text, &command.chain.served_by);
        let retention: Duration = command.chain.retention;
        let turn = Turn {
            program: command.program.clone(),
            phase: Phase::Kept(kept),
            expires_at: now + retention,
            children: 0,
        };
        self.text_bytes += added;
        self.turns.insert(command.turn.clone(), turn);
        Ok(())
    }
}
