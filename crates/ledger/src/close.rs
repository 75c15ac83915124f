//! Settling a turn.

use bytes::{Bytes, BytesMut};
use dahlia_types::{Duration, Timestamp, Tokens};

use crate::turn::{KeptText, OpenInput, Phase, Turn};
use crate::{CloseTurn, Ledger, TurnEnd, TurnId};

/// How long the name of an ended turn is kept, so that a late repeat does not open it again.
/// Longer than a request is repeated and than a message may be under way.
pub(crate) const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// How much longer than asked a turn is kept: the clocks of callers and owners disagree, and the
/// caller counts from when it has the answer.
pub(crate) const RETENTION_MARGIN: Duration = Duration::from_secs(30);

impl Ledger {
    pub(crate) fn close(&mut self, command: &CloseTurn, now: Timestamp) {
        let Some(turn) = self.turns.get(&command.turn) else {
            self.close_unopened(command, now);
            return;
        };
        // The first end stands.
        let Phase::Open(open) = &turn.phase else {
            return;
        };
        if turn.program != command.program {
            return;
        }
        let reserved = open.reserved;
        let input = open.input.clone();
        let charge = match &command.end {
            TurnEnd::Completed { generated, .. } => *generated,
            TurnEnd::NotRun => Tokens(0),
            TurnEnd::Incomplete => reserved,
        };
        self.settle(command, reserved, charge);
        let ended = now + ENDED_RETENTION;
        let (phase, due) = match (input, &command.end) {
            (Some(input), TurnEnd::Completed { output, served_by, .. }) => {
                let due = ended.max(now + input.retention + RETENTION_MARGIN);
                (Phase::Kept(self.keep(input, output, served_by)), due)
            }
            _ => (Phase::Ended, ended),
        };
        self.set_phase(&command.turn, phase, due);
        self.touch(&command.program, due.max(now + self.limits.program_retention));
    }

    /// An end may overtake its turn's opening: then the opening, when it comes, must not reserve
    /// what nobody would settle. An end whose turn was forgotten changes no charge.
    fn close_unopened(&mut self, command: &CloseTurn, now: Timestamp) {
        if self.turns.len() as u64 >= self.limits.turns {
            return;
        }
        let program = command.program.clone();
        let due = now + ENDED_RETENTION;
        let turn = Turn { program, phase: Phase::Ended, due, children: 0 };
        self.turns.insert(command.turn.clone(), turn);
    }

    fn settle(&mut self, command: &CloseTurn, reserved: Tokens, charge: Tokens) {
        let Some(program) = self.programs.get_mut(&command.program) else {
            return;
        };
        program.reserved = program.reserved.saturating_sub(reserved);
        program.spent = program.spent.saturating_add(charge);
        if let TurnEnd::Completed { served_by, .. } = &command.end {
            program.last_served_by = Some(served_by.clone());
        }
    }

    fn keep(&self, input: OpenInput, output: &[u8], served_by: &str) -> KeptText {
        let mut text = BytesMut::with_capacity(input.text.len() + output.len());
        text.extend_from_slice(&input.text);
        text.extend_from_slice(output);
        self.kept_after(input.previous, text.freeze(), served_by)
    }

    pub(crate) fn kept_after(
        &self,
        previous: Option<TurnId>,
        text: Bytes,
        served_by: &str,
    ) -> KeptText {
        let before = previous.as_ref().and_then(|previous| self.kept(previous));
        let chain_bytes = before.map_or(0, |kept| kept.chain_bytes) + text.len() as u64;
        let chain_turns = before.map_or(0, |kept| kept.chain_turns) + 1;
        let served_by = served_by.to_owned();
        KeptText { previous, text, chain_bytes, chain_turns, served_by }
    }
}
