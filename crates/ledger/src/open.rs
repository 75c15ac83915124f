//! Opening a turn reserves its tokens and reads its history in one step.

use bytes::Bytes;
use dahlia_types::{Duration, Timestamp};

use crate::ledger::Program;
use crate::limits::Limit;
use crate::turn::{OpenInput, OpenTurnState, Phase, Turn};
use crate::{Ledger, OpenTurn, OpenedTurn, TurnId, TurnInput, TurnRefusal};

/// Longest name of a program or a turn in bytes, without its tenant.
const MAX_NAME_BYTES: usize = 128;
/// A turn that is not settled within this time counts as incomplete. Longer than any request takes.
const OPEN_TURN_TIMEOUT: Duration = Duration::from_secs(300);

impl Ledger {
    pub(crate) fn open(
        &mut self,
        command: &OpenTurn,
        now: Timestamp,
    ) -> Result<OpenedTurn, TurnRefusal> {
        if let Some(turn) = self.turns.get(&command.turn) {
            return self.reply_to_retry(command, turn);
        }
        self.check_budget(command)?;
        let previous = command.input.as_ref().and_then(|input| input.previous.as_ref());
        let opened = self.opened_turn(command, previous)?;
        self.check_limits(command)?;
        self.record_open_turn(command, now);
        Ok(opened)
    }

    /// The reply to a retried command whose first reply was lost: it must not be charged twice.
    fn reply_to_retry(&self, command: &OpenTurn, turn: &Turn) -> Result<OpenedTurn, TurnRefusal> {
        if turn.program != command.program || !matches!(turn.phase, Phase::Open(_)) {
            return Err(TurnRefusal::AlreadyEnded);
        }
        self.opened_turn(command, turn.previous())
    }

    fn opened_turn(
        &self,
        command: &OpenTurn,
        previous: Option<&TurnId>,
    ) -> Result<OpenedTurn, TurnRefusal> {
        let Some(previous) = previous else {
            let program = self.programs.get(&command.program);
            let last_served_by = program.and_then(|program| program.last_served_by.clone());
            return Ok(OpenedTurn { history: Vec::new(), last_served_by });
        };
        let kept = self.kept_turn(previous).ok_or_else(|| self.refusal_to_continue(previous))?;
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
        check_limit(Limit::NameBytes, longest as u64, MAX_NAME_BYTES as u64)?;
        let is_new = !self.programs.contains_key(&command.program);
        let programs = self.programs.len() as u64 + u64::from(is_new);
        check_limit(Limit::Programs, programs, self.limits.programs)?;
        check_limit(Limit::Turns, self.turns.len() as u64 + 1, self.limits.turns)?;
        command.input.as_ref().map_or(Ok(()), |input| self.check_text(input))
    }

    fn check_text(&self, input: &TurnInput) -> Result<(), TurnRefusal> {
        let added = input.new_input.len() as u64;
        let previous = input.previous.as_ref().and_then(|previous| self.kept_turn(previous));
        let chain_bytes = previous.map_or(0, |kept| kept.chain_bytes) + added;
        let chain_turns = previous.map_or(0, |kept| kept.chain_turns) + 1;
        check_limit(Limit::ChainTurns, chain_turns, self.limits.chain_turns)?;
        check_limit(Limit::ChainBytes, chain_bytes, self.limits.chain_bytes.0)?;
        check_limit(Limit::TextBytes, self.text_bytes + added, self.limits.text_bytes.0)
    }

    fn record_open_turn(&mut self, command: &OpenTurn, now: Timestamp) {
        let program = self.programs.entry(command.program.clone()).or_default();
        // The budget header is the same in all requests of a program; the first one counts.
        program.budget = program.budget.or(command.budget);
        program.reserved = program.reserved.saturating_add(command.max_generated);
        let input = command.input.as_ref().map(|input| OpenInput {
            previous: input.previous.clone(),
            text: Bytes::copy_from_slice(&input.new_input),
            retention: input.retention,
        });
        let open = OpenTurnState { reserved: command.max_generated, input };
        let expires_at = now + OPEN_TURN_TIMEOUT;
        let program = command.program.clone();
        let turn = Turn { program, phase: Phase::Open(open), expires_at, children: 0 };
        self.text_bytes += turn.text_bytes();
        self.add_child(turn.previous());
        self.turns.insert(command.turn.clone(), turn);
        self.extend_retention(&command.program, expires_at + self.limits.program_retention);
    }
}

/// Refuses an amount above `max`.
pub(crate) fn check_limit(limit: Limit, amount: u64, max: u64) -> Result<(), TurnRefusal> {
    if amount > max {
        return Err(TurnRefusal::LimitReached { limit: limit.to_string() });
    }
    Ok(())
}
