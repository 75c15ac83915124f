//! A program's token budget: tokens spent, reserved for attempts, and left.

use dahlia_types::{Tokens, Usage};
use serde::{Deserialize, Serialize};

use crate::Mechanism;
use crate::switches::Switches;

/// Tokens of one program, prompt and generated together, over all its chains.
///
/// `spent + reserved <= total` holds after every command, whatever engines report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Budget {
    /// Tokens that the operator allows.
    pub total: Tokens,
    /// Tokens charged for attempts that ran.
    pub spent: Tokens,
    /// Tokens reserved for attempts that are open or of unknown outcome.
    pub reserved: Tokens,
    /// Number of attempts whose engine reported more than was reserved for them.
    pub overreports: u64,
    /// Tokens reported above the reservations. They are not charged.
    pub overreported: Tokens,
}

impl Budget {
    /// A budget of `total` tokens of which nothing is used.
    pub fn new(total: Tokens) -> Self {
        Self { total, ..Self::default() }
    }

    /// Tokens neither spent nor reserved.
    pub fn left(&self) -> Tokens {
        self.total.saturating_sub(self.spent).saturating_sub(self.reserved)
    }

    /// Reserves `amount`. The caller has checked that it is left.
    pub(crate) fn reserve(&mut self, amount: Tokens) {
        self.reserved = self.reserved.saturating_add(amount);
    }

    /// Refunds a reservation of which nothing was used.
    pub(crate) fn refund(&mut self, reservation: Tokens) {
        self.reserved = self.reserved.saturating_sub(reservation);
    }

    /// Replaces a reservation by a charge for what was used.
    ///
    /// The charge is limited to the reservation: the engine knows both the bound of the prompt and
    /// the cap on generation, so a larger report is the engine's error and must not exceed the
    /// total.
    pub(crate) fn settle(&mut self, reservation: Tokens, usage: Usage, switches: &Switches) {
        self.refund(reservation);
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
