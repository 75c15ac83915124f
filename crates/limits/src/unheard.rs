//! What gateways may let pass that the keeper does not hear of.
//!
//! A gateway out of reach goes on with what passed there in the window before, and with its part of what
//! was free when the keeper last spoke to it. Until it has reported, or is known to be within reach, the
//! keeper gives that to nobody else.

use dahlia_types::{Duration, Timestamp};

use crate::own::FIRST_NEED;

/// The time after which it is noticed that a gateway is out of reach.
const NOTICED_AFTER: Duration = Duration::from_millis(1_000);
/// The time in which gateways that are within reach hear that permits are scarce, or are asked for a sign.
const TOLD_WITHIN: Duration = Duration::from_millis(1_300);

/// Gateways of one tenant that may go by older news than the keeper's.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Unheard {
    /// The share of gateways that are out of reach, and since when that is known.
    lost: Option<(f64, Timestamp)>,
    /// The share that has not reported since permits became scarce. Zero while there is enough for all until
    /// they have.
    untold: f64,
    /// Permits that each gateway was left beyond those in use there.
    free_each: f64,
    /// Since when permits are scarce. Zero if this keeper never told anybody else.
    scarce_since: Option<Timestamp>,
    /// Whether gateways were ever told that permits are not scarce.
    was_free: bool,
}

impl Unheard {
    /// So large a share of gateways is out of reach since a moment.
    pub(crate) fn set_lost(&mut self, lost: Option<(f64, Timestamp)>) {
        self.lost = lost;
    }

    /// Permits are scarce, or no more.
    pub(crate) fn note_scarcity(&mut self, is_scarce: bool, now: Timestamp) {
        self.was_free |= !is_scarce;
        let since = if self.was_free { now } else { Timestamp::ZERO };
        self.scarce_since = is_scarce.then(|| self.scarce_since.unwrap_or(since));
        if !is_scarce {
            self.untold = 0.0;
        }
    }

    /// Since when permits are scarce, and when all gateways within reach have heard so, if that is to come.
    pub(crate) fn scarce_of_late(&self, now: Timestamp) -> Option<(Timestamp, Timestamp)> {
        let since = self.scarce_since?;
        let told_at = since + TOLD_WITHIN;
        (now < told_at).then_some((since, told_at))
    }

    /// The share of gateways that has not reported since permits became scarce, where these may be used up
    /// before all have. They are set aside from then on, so that they are less used, until all have.
    pub(crate) fn set_untold(&mut self, untold: f64, may_run_out: bool) {
        if may_run_out || self.untold > 0.0 {
            self.untold = untold;
        }
    }

    /// Each gateway was left so many permits beyond those in use there.
    pub(crate) fn set_free_each(&mut self, free_each: f64) {
        self.free_each = free_each;
    }

    /// Permits that gateways may use unheard, of `allowance` in a window. `counted_until` tells how many
    /// requests of the window passed until a moment: these are in the count already.
    pub(crate) fn permits(
        &self,
        allowance: f64,
        window: Duration,
        counted_until: impl Fn(Timestamp) -> f64,
        now: Timestamp,
    ) -> f64 {
        // No program begins in less.
        let is_usable = self.free_each >= FIRST_NEED;
        let left_of = |share: f64, heard_at| match is_usable {
            true => share * (allowance - counted_until(heard_at)).max(0.0),
            false => 0.0,
        };
        let untold = self.scarce_of_late(now).filter(|_| self.untold > 0.0);
        let untold = untold.map_or(0.0, |(since, _)| left_of(self.untold, since));
        let Some((share, noticed_at)) = self.lost else { return untold };
        let lost_at = Timestamp(noticed_at.0.saturating_sub(NOTICED_AFTER.as_micros()));
        // What passed there before leaves the window, and as much passes there again.
        let part = now.since(lost_at).as_secs_f64() / window.as_secs_f64();
        let in_use = share * part.min(1.0) * allowance;
        let was_told = self.scarce_since.is_some_and(|since| since + TOLD_WITHIN <= lost_at);
        let lost = if was_told { in_use } else { in_use.max(left_of(share, lost_at)) };
        untold.max(lost)
    }
}
