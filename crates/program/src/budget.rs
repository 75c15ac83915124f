//! A program's budget: what is spent, what is reserved for attempts, what is left.

use dahlia_types::{Tokens, Usage};
use serde::{Deserialize, Serialize};

use crate::Mechanism;
use crate::switches::Switches;

/// Tokens of one program, prompt and generated together, over all its chains.
///
/// `spent + reserved <= total` holds after every command, whatever engines report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Budget {
    /// What the operator allows.
    pub total: Tokens,
    /// Charged for attempts that ran.
    pub spent: Tokens,
    /// Set aside for attempts that are open or of unknown outcome.
    pub reserved: Tokens,
    /// Attempts whose engine reported more than was reserved for them.
    pub overreports: u64,
    /// Tokens that such engines reported beyond the reservation. They are not charged.
    pub overreported: Tokens,
}

impl Budget {
    /// A budget of `total` tokens of which nothing is used.
    pub fn new(total: Tokens) -> Self {
        Self { total, ..Self::default() }
    }

    /// Neither spent nor reserved.
    pub fn left(&self) -> Tokens {
        self.total.saturating_sub(self.spent).saturating_sub(self.reserved)
    }

    /// Sets `amount` aside. The caller has checked that it is left.
    pub(crate) fn reserve(&mut self, amount: Tokens) {
        self.reserved = self.reserved.saturating_add(amount);
    }

    /// Gives back a reservation of which nothing was used.
    pub(crate) fn free(&mut self, reservation: Tokens) {
        self.reserved = self.reserved.saturating_sub(reservation);
    }

    /// Turns a reservation into a charge of what was used.
    ///
    /// The charge is limited to the reservation: the engine was told both the prompt's bound and
    /// the cap, so a larger report is the engine's fault and must not break the total.
    pub(crate) fn settle(&mut self, reservation: Tokens, usage: Usage, switches: &Switches) {
        self.free(reservation);
        let used = usage.total();
        let limited = switches.is_on(Mechanism::ChargeLimit);
        let charge = if limited { used.min(reservation) } else { used };
        self.spent = self.spent.saturating_add(charge);
        if used > reservation {
            self.overreports += 1;
            let excess = used.saturating_sub(reservation);
            self.overreported = self.overreported.saturating_add(excess);
        }
    }
}
