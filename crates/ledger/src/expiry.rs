//! Forgetting turns and programs whose retention is over.

use dahlia_types::Timestamp;

use crate::close::ENDED_RETENTION;
use crate::turn::Phase;
use crate::{Ledger, TurnId};

impl Ledger {
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.give_up_open(now);
        self.forget_turns(now);
        self.programs.retain(|_, program| program.keep_until > now);
    }

    /// Ends turns that nobody settled. They may have run: their reservation is spent.
    fn give_up_open(&mut self, now: Timestamp) {
        let due = self.turns.iter().filter(|(_, turn)| turn.due <= now);
        let reserved = due.filter_map(|(id, turn)| match &turn.phase {
            Phase::Open(open) => Some((id.clone(), turn.program.clone(), open.reserved)),
            Phase::Kept(_) | Phase::Ended => None,
        });
        let given_up: Vec<_> = reserved.collect();
        for (id, name, reserved) in given_up {
            if let Some(program) = self.programs.get_mut(&name) {
                program.reserved = program.reserved.saturating_sub(reserved);
                program.spent = program.spent.saturating_add(reserved);
            }
            self.set_phase(&id, Phase::Ended, now + ENDED_RETENTION);
        }
    }

    /// Forgets turns that nothing goes on from, then those that only they went on from.
    fn forget_turns(&mut self, now: Timestamp) {
        let due = self.turns.iter().filter(|(_, turn)| turn.due <= now && turn.children == 0);
        let mut forgotten: Vec<TurnId> = due.map(|(id, _)| id.clone()).collect();
        while let Some(id) = forgotten.pop() {
            let Some(turn) = self.turns.remove(&id) else {
                continue;
            };
            self.text_bytes -= turn.text_bytes();
            let Some(previous) = turn.previous() else {
                continue;
            };
            self.release(Some(previous));
            let parent = self.turns.get(previous);
            if parent.is_some_and(|parent| parent.due <= now && parent.children == 0) {
                forgotten.push(previous.clone());
            }
        }
    }
}
