//! Removing turns and programs whose retention is over.

use dahlia_types::Timestamp;

use crate::close::ENDED_RETENTION;
use crate::turn::Phase;
use crate::{Ledger, TurnId};

impl Ledger {
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.expire_open_turns(now);
        self.remove_expired_turns(now);
        self.programs.retain(|_, program| program.keep_until > now);
    }

    /// Ends turns that were never settled. They may have run, so their reservation is spent.
    fn expire_open_turns(&mut self, now: Timestamp) {
        let expired = self.turns.iter().filter(|(_, turn)| turn.expires_at <= now);
        let reserved = expired.filter_map(|(id, turn)| match &turn.phase {
            Phase::Open(open) => Some((id.clone(), turn.program.clone(), open.reserved)),
            Phase::Kept(_) | Phase::Ended => None,
        });
        let open_turns: Vec<_> = reserved.collect();
        for (id, name, reserved) in open_turns {
            if let Some(program) = self.programs.get_mut(&name) {
                program.reserved = program.reserved.saturating_sub(reserved);
                program.spent = program.spent.saturating_add(reserved);
            }
            self.set_phase(&id, Phase::Ended, now + ENDED_RETENTION);
        }
    }

    /// Removes expired turns without children, then expired ancestors that have no other child.
    fn remove_expired_turns(&mut self, now: Timestamp) {
        let expired =
            self.turns.iter().filter(|(_, turn)| turn.expires_at <= now && turn.children == 0);
        let mut removable: Vec<TurnId> = expired.map(|(id, _)| id.clone()).collect();
        while let Some(id) = removable.pop() {
            let Some(turn) = self.turns.remove(&id) else {
                continue;
            };
            self.text_bytes -= turn.text_bytes();
            let Some(previous) = turn.previous() else {
                continue;
            };
            self.remove_child(Some(previous));
            let parent = self.turns.get(previous);
            if parent.is_some_and(|parent| parent.expires_at <= now && parent.children == 0) {
                removable.push(previous.clone());
            }
        }
    }
}
