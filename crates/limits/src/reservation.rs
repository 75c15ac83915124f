//! Permits that the keeper reserves for gateways that may admit requests without its knowledge.
//!
//! An unreachable gateway goes on with as many requests as passed there in the window before, and with
//! its share of what was free when the keeper last answered it. The keeper gives these permits to nobody
//! else until the gateway has reported or is known to be reachable.

use dahlia_types::{Duration, Timestamp};

use crate::local_quota::DEFAULT_PROGRAM_REQUESTS;

/// The time after which an unreachable gateway is noticed.
const DETECTION_DELAY: Duration = Duration::from_millis(1_000);
/// The time in which reachable gateways learn that permits are scarce, or are probed.
const SCARCITY_NOTICE_TIME: Duration = Duration::from_millis(1_300);

/// What is known of gateways that may act on outdated answers of the keeper about one tenant.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Reservation {
    /// The share of gateways that are unreachable, and since when that is known.
    unreachable: Option<(f64, Timestamp)>,
    /// The share of gateways that have not reported since permits became scarce. Zero while the permits
    /// will last until they have.
    unreported_share: f64,
    /// Permits that each gateway was left on top of those in use there.
    free_per_gateway: f64,
    /// Since when permits are scarce. Zero if this keeper never said that they are not.
    scarce_since: Option<Timestamp>,
    /// Whether gateways were ever told that permits are not scarce.
    was_ever_plentiful: bool,
}

impl Reservation {
    /// Sets the share of gateways that are unreachable, and since when.
    pub(crate) fn set_unreachable(&mut self, unreachable: Option<(f64, Timestamp)>) {
        self.unreachable = unreachable;
    }

    /// Records whether permits are scarce.
    pub(crate) fn record_scarcity(&mut self, is_scarce: bool, now: Timestamp) {
        self.was_ever_plentiful |= !is_scarce;
        let since = if self.was_ever_plentiful { now } else { Timestamp::ZERO };
        self.scarce_since = is_scarce.then(|| self.scarce_since.unwrap_or(since));
        if !is_scarce {
            self.unreported_share = 0.0;
        }
    }

    /// Returns since when permits are scarce, and when all reachable gateways will know it. None if they
    /// know it already.
    pub(crate) fn recent_scarcity(&self, now: Timestamp) -> Option<(Timestamp, Timestamp)> {
        let since = self.scarce_since?;
        let known_at = since + SCARCITY_NOTICE_TIME;
        (now < known_at).then_some((since, known_at))
    }

    /// Sets the share of gateways that have not reported since permits became scarce, if the permits may
    /// run out before all have. From then on permits are reserved for them until all have reported, so
    /// that fewer are used up.
    pub(crate) fn set_unreported_share(&mut self, share: f64, may_run_out: bool) {
        if may_run_out || self.unreported_share > 0.0 {
            self.unreported_share = share;
        }
    }

    /// Sets the permits that each gateway was left on top of those in use there.
    pub(crate) fn set_free_per_gateway(&mut self, permits: f64) {
        self.free_per_gateway = permits;
    }

    /// Returns the permits to reserve, of `allowance` in a window. `counted_until` returns how many
    /// requests of the window passed until a given time: these are in the keeper's count already.
    pub(crate) fn permits(
        &self,
        allowance: f64,
        window: Duration,
        counted_until: impl Fn(Timestamp) -> f64,
        now: Timestamp,
    ) -> f64 {
        // No program starts on fewer permits.
        let is_usable = self.free_per_gateway >= DEFAULT_PROGRAM_REQUESTS;
        let share_of_rest = |share: f64, answered_at| match is_usable {
            true => share * (allowance - counted_until(answered_at)).max(0.0),
            false => 0.0,
        };
        let unreported = self.recent_scarcity(now).filter(|_| self.unreported_share > 0.0);
        let unreported =
            unreported.map_or(0.0, |(since, _)| share_of_rest(self.unreported_share, since));
        let Some((share, noticed_at)) = self.unreachable else { return unreported };
        let lost_at = Timestamp(noticed_at.0.saturating_sub(DETECTION_DELAY.as_micros()));
        // Requests that passed there before leave the window, and as many pass there again.
        let elapsed_part = now.since(lost_at).as_secs_f64() / window.as_secs_f64();
        let in_use = share * elapsed_part.min(1.0) * allowance;
        let knew_scarcity =
            self.scarce_since.is_some_and(|since| since + SCARCITY_NOTICE_TIME <= lost_at);
        let unreachable =
            if knew_scarcity { in_use } else { in_use.max(share_of_rest(share, lost_at)) };
        unreported.max(unreachable)
    }
}
