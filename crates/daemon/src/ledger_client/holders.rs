//! What a gateway knows of the groups that hold programs' budgets.

use std::collections::HashMap;

use dahlia_ledger::{ProgramName, REGISTER_RETENTION, RENEW_REGISTER_BELOW, TurnId};
use dahlia_types::{Duration, GroupId, Timestamp};

/// Programs of each of the two generations of [`KnownHolders`]. Some 200 bytes each.
const PROGRAMS_PER_GENERATION: usize = 4_096;
/// The knowledge of a holder ends this long before its register may: clocks of ledgers and gateways
/// differ.
const EXPIRY_MARGIN: Duration = Duration::from_secs(20);
/// How long a renewal of a register may take before the next turn starts another one.
const RENEWAL_PAUSE: Duration = Duration::from_secs(10);

/// A program's holder, as its register has it.
#[derive(Debug, Clone, Copy)]
struct KnownHolder {
    group: GroupId,
    /// From when on the register must be renewed.
    renew_at: Timestamp,
    /// When the register may be gone.
    expires_at: Timestamp,
}

/// A known holder, for one turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) group: GroupId,
    /// Whether this turn must renew the register.
    pub(super) renews: bool,
}

/// Where a turn is charged whose text is not in its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChargedElsewhere {
    pub(super) holder: GroupId,
    /// Whether the turn is open in the group for its text too.
    pub(super) has_text: bool,
}

/// The holders of the programs with the most recent turns, and the turns under way that are charged
/// in another group than the one that has their text.
#[derive(Debug, Default)]
pub(super) struct KnownHolders {
    newer: HashMap<ProgramName, KnownHolder>,
    older: HashMap<ProgramName, KnownHolder>,
    charged_elsewhere: HashMap<TurnId, ChargedElsewhere>,
}

impl KnownHolders {
    /// Returns the holder of a program whose turn is opened now.
    pub(super) fn use_holder(&mut self, program: &ProgramName, now: Timestamp) -> Option<Holder> {
        let known = self.newer.get(program).or_else(|| self.older.get(program)).copied()?;
        if known.expires_at <= now {
            return None;
        }
        let renews = known.renew_at <= now;
        let renew_at = if renews { now + RENEWAL_PAUSE } else { known.renew_at };
        self.insert(program, KnownHolder { renew_at, ..known });
        Some(Holder { group: known.group, renews })
    }

    /// Records the holder in a register that is kept for another `retention`.
    pub(super) fn record(
        &mut self,
        program: &ProgramName,
        group: GroupId,
        retention: Duration,
        now: Timestamp,
    ) {
        let renew_at = now + retention.saturating_sub(RENEW_REGISTER_BELOW);
        let expires_at = now + retention.saturating_sub(EXPIRY_MARGIN);
        self.insert(program, KnownHolder { group, renew_at, expires_at });
    }

    /// Records that a register was recorded or renewed just now.
    pub(super) fn record_renewed(&mut self, program: &ProgramName, group: GroupId, now: Timestamp) {
        self.record(program, group, REGISTER_RETENTION, now);
    }

    /// Records the group that a turn is charged in.
    pub(super) fn charge_elsewhere(&mut self, turn: &TurnId, charged: ChargedElsewhere) {
        self.charged_elsewhere.insert(turn.clone(), charged);
    }

    /// Takes the other group that a turn is charged in.
    pub(super) fn take_charged_elsewhere(&mut self, turn: &TurnId) -> Option<ChargedElsewhere> {
        self.charged_elsewhere.remove(turn)
    }

    fn insert(&mut self, program: &ProgramName, holder: KnownHolder) {
        if self.newer.len() >= PROGRAMS_PER_GENERATION && !self.newer.contains_key(program) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(program.clone(), holder);
    }
}
