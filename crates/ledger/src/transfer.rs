//! Taking a chain over from another group's ledger: a program may go on from a turn of another
//! program, whose group holds it, or on the other side of a region's border, where the program is kept
//! in another group.

use bytes::Bytes;
use dahlia_types::{Duration, Timestamp};

use crate::close::RETENTION_MARGIN;
use crate::limits::Limit;
use crate::open::check;
use crate::turn::{Phase, Turn};
use crate::{
    ChargedChain, ImportCharged, ImportTurn, KeptChain, Ledger, ProgramName, TurnId, TurnRefusal,
};

impl Ledger {
    pub(crate) fn read(&self, turn: &TurnId, now: Timestamp) -> Result<KeptChain, TurnRefusal> {
        let kept = self.kept(turn).ok_or_else(|| self.not_kept(turn))?;
        let due = self.turns.get(turn).map(|turn| turn.due).unwrap_or_default();
        Ok(KeptChain {
            text: self.chain_text(turn)?,
            served_by: kept.served_by.clone(),
            retention: due.since(now).max(RETENTION_MARGIN),
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

    /// Holds the chain, and counts the program's charge as used here as far as less is. A program that
    /// moves to and fro brings the sum each time: adding it to what is here would count it twice.
    pub(crate) fn import_charged(
        &mut self,
        command: &ImportCharged,
        now: Timestamp,
    ) -> Result<(), TurnRefusal> {
        let ImportCharged { import, charge } = command;
        let is_new = !self.programs.contains_key(&import.program);
        let programs = self.programs.len() as u64 + u64::from(is_new);
        check(Limit::Programs, programs, self.limits.programs)?;
        self.import(import, now)?;
        let program = self.programs.entry(import.program.clone()).or_default();
        program.budget = program.budget.or(charge.budget);
        let missing = charge.used().saturating_sub(program.used());
        program.spent = program.spent.saturating_add(missing);
        program.last_served_by = Some(import.chain.served_by.clone());
        let kept = import.chain.retention.max(self.limits.program_retention);
        self.touch(&import.program, now + kept);
        Ok(())
    }

    /// Holds another ledger's chain as one turn. Repeating it is harmless.
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
        check(Limit::Turns, self.turns.len() as u64 + 1, self.limits.turns)?;
        check(Limit::ChainBytes, added, self.limits.chain_bytes.0)?;
        check(Limit::TextBytes, self.text_bytes + added, self.limits.text_bytes.0)?;
        let text = Bytes::copy_from_slice(&command.chain.text);
        let kept = self.kept_after(None, text, &command.chain.served_by);
        let retention: Duration = command.chain.retention;
        let turn = Turn {
            program: command.program.clone(),
            phase: Phase::Kept(kept),
            due: now + retention,
            children: 0,
        };
        self.text_bytes += added;
        self.turns.insert(command.turn.clone(), turn);
        Ok(())
    }
}
