//! Settling a turn.

use bytes::{Bytes, BytesMut};
use dahlia_types::{Duration, Timestamp, Tokens};

use crate::turn::{KeptTurn, OpenInput, Phase, Turn};
use crate::{CloseTurn, Ledger, TurnEnd, TurnId};

/// How long the name of an ended turn is kept, so that a late retry does not open it again. Longer
/// than requests are retried and than a message can be in flight.
pub(crate) const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a turn is kept beyond its retention: the clocks of callers and owners disagree,
/// and the caller counts from when it receives the answer.
pub(crate) const RETENTION_MARGIN: Duration = Duration::from_secs(30);

impl Ledger {
    pub(crate) fn close(&mut self, command: &CloseTurn, now: Timestamp) {
        let Some(turn) = self.turns.get(&command.turn) else {
            self.close_unopened(command, now);
            return;
        };
        // The first close counts.
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
        let ended_until = now + ENDED_RETENTION;
        let (phase, expires_at) = match (input, &command.end) {
            (Some(input), TurnEnd::Completed { output, served_by, .. }) => {
                let expires_at = ended_until.max(now + input.retention + RETENTION_MARGIN);
                (Phase::Kept(self.kept_turn_from(input, output, served_by)), expires_at)
            }
            _ => (Phase::Ended, ended_until),
        };
        self.set_phase(&command.turn, phase, expires_at);
        self.extend_retention(
            &command.program,
            expires_at.max(now + self.limits.program_retention),
        );
    }

    /// A close command may overtake the command that opens its turn. The latter must then not
    /// reserve tokens, which would never be settled. Closing a turn that was removed changes no
    /// charge.
    fn close_unopened(&mut self, command: &CloseTurn, now: Timestamp) {
        if self.turns.len() as u64 >= self.limits.turns {
            return;
        }
        let program = command.program.clone();
        let expires_at = now + ENDED_RETENTION;
        let turn = Turn { program, phase: Phase::Ended, expires_at, children: 0 };
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

    fn kept_turn_from(&self, input: OpenInput, output: &[u8], served_by: &str) -> KeptTurn {
        let mut text = BytesMut::with_capacity(input.text.len() + output.len());
        text.extend_from_slice(&input.text);
        text.extend_from_slice(output);
        self.kept_turn_after(input.previous, text.freeze(), served_by)
    }

    pub(crate) fn kept_turn_after(
        &self,
        previous: Option<TurnId>,
        text: Bytes,
        served_by: &str,
    ) -> KeptTurn {
        let parent = previous.as_ref().and_then(|previous| self.kept_turn(previous));
        let chain_bytes = parent.map_or(0, |kept| kept.chain_bytes) + text.len() as u64;
        let chain_turns = parent.map_or(0, |kept| kept.chain_turns) + 1;
        let served_by = served_by.to_owned();
        KeptTurn { previous, text, chain_bytes, chain_turns, served_by }
    }
}
