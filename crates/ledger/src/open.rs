//! Opening a turn: its budget is reserved and its history read in one step.

use bytes::Bytes;
use dahlia_types::{Duration, Timestamp};

use crate::ledger::Program;
use crate::limits::Limit;
use crate::turn::{OpenInput, OpenTurnState, Phase, Turn};
use crate::{Ledger, OpenTurn, OpenedTurn, TurnId, TurnInput, TurnRefusal};

/// Most bytes of a program's or a turn's name, its tenant's apart.
const NAME_BYTES: usize = 128;
/// A turn that nobody settles in this time counts as broken. Longer than any request lives.
const OPEN_LIMIT: Duration = Duration::from_secs(300);

impl Ledger {
    pub(crate) fn open(
        &mut self,
        command: &OpenTurn,
        now: Timestamp,
    ) -> Result<OpenedTurn, TurnRefusal> {
        if let Some(turn) = self.turns.get(&command.turn) {
            return self.open_again(command, turn);
        }
        self.check_budget(command)?;
        let previous = command.input.as_ref().and_then(|input| input.previous.as_ref());
        let opened = self.describe(command, previous)?;
        self.check_limits(command)?;
        self.record(command, now);
        Ok(opened)
    }

    /// The answer to a repeat, whose first answer was lost: it must not be charged twice.
    fn open_again(&self, command: &OpenTurn, turn: &Turn) -> Result<OpenedTurn, TurnRefusal> {
        if turn.program != command.program || !matches!(turn.phase, Phase::Open(_)) {
            return Err(TurnRefusal::AlreadyEnded);
        }
        self.describe(command, turn.previous())
    }

    fn describe(
        &self,
        command: &OpenTurn,
        previous: Option<&TurnId>,
    ) -> Result<OpenedTurn, TurnRefusal> {
        let Some(previous) = previous else {
            let program = self.programs.get(&command.program);
            let last_served_by = program.and_then(|program| program.last_served_by.clone());
            return Ok(OpenedTurn { history: Vec::new(), last_served_by });
        };
        let kept = self.kept(previous).ok_or_else(|| self.not_kept(previous))?;
        let history = self.chain_text(previous)?;
        Ok(OpenedTurn { history, last_served_by: Some(kept.served_by.clone()) })
    }

    fn check_budget(&self, command: &OpenTurn) -> Result<(), TurnRefusal> {
        let program = self.programs.get(&command.program);
        let Some(budget) = program.and_then(|program| program.budget).or(command.budget) else {
            return Ok(());
        };
        let used = program.map(Program::used).unwrap_or_default();
        if used.saturating_add(command.max_generated) > budget {
            return Err(TurnRefusal::BudgetSpent { budget, used });
        }
        Ok(())
    }

    fn check_limits(&self, command: &OpenTurn) -> Result<(), TurnRefusal> {
        let longest = command.program.name().len().max(command.turn.name().len());
        check(Limit::NameBytes, longest as u64, NAME_BYTES as u64)?;
        let is_new = !self.programs.contains_key(&command.program);
        let programs = self.programs.len() as u64 + u64::from(is_new);
        check(Limit::Programs, programs, self.limits.programs)?;
        check(Limit::Turns, self.turns.len() as u64 + 1, self.limits.turns)?;
        command.input.as_ref().map_or(Ok(()), |input| self.check_text(input))
    }

    fn check_text(&self, input: &TurnInput) -> Result<(), TurnRefusal> {
        let added = input.new_input.len() as u64;
        let previous = input.previous.as_ref().and_then(|previous| self.kept(previous));
        let chain_bytes = previous.map_or(0, |kept| kept.chain_bytes) + added;
        let chain_turns = previous.map_or(0, |kept| kept.chain_turns) + 1;
        check(Limit::ChainTurns, chain_turns, self.limits.chain_turns)?;
        check(Limit::ChainBytes, chain_bytes, self.limits.chain_bytes.0)?;
        check(Limit::TextBytes, self.text_bytes + added, self.limits.text_bytes.0)
    }

    fn record(&mut self, command: &OpenTurn, now: Timestamp) {
        let program = self.programs.entry(command.program.clone()).or_default();
        // The header is the same in all requests of a program; the first that states it counts.
        program.budget = program.budget.or(command.budget);
        program.reserved = program.reserved.saturating_add(command.max_generated);
        let input = command.input.as_ref().map(|input| OpenInput {
            previous: input.previous.clone(),
            text: Bytes::copy_from_slice(&input.new_input),
            retention: input.retention,
        });
        let open = OpenTurnState { reserved: command.max_generated, input };
        let due = now + OPEN_LIMIT;
        let program = command.program.clone();
        let turn = Turn { program, phase: Phase::Open(open), due, children: 0 };
        self.text_bytes += turn.text_bytes();
        self.hold(turn.previous());
        self.turns.insert(command.turn.clone(), turn);
        self.touch(&command.program, due + self.limits.program_retention);
    }
}

/// Refuses what would come to more than `most`.
pub(crate) fn check(limit: Limit, wanted: u64, most: u64) -> Result<(), TurnRefusal> {
    if wanted > most {
        return Err(TurnRefusal::LimitReached { limit: limit.to_string() });
    }
    Ok(())
}
