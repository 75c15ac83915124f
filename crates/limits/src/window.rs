//! Counts a tenant's requests in a sliding window. Any window holds as many requests as the limit allows
//! over its length.
//!
//! A token bucket of the same limit is stricter: it admits a burst once, while a window lets programs
//! send all that it allows at their own pace. That matters for small tenants, one program of which sends
//! more requests in a second than the limit allows in a second.

use std::collections::BTreeMap;

use dahlia_types::{Duration, Timestamp};

use crate::lost_history::LostHistory;
use crate::reservation::Reservation;
use crate::{RateLimit, Tolerance};

/// Slots that a window is divided into for counting. A permit comes back at most one slot late: a
/// fiftieth of a second for a window of five seconds.
const SLOTS_PER_WINDOW: u64 = 250;
/// The time in which gateways report to a new keeper what passed before it: each of them reports a few
/// times a second, and at once to a keeper that is new to it.
pub(crate) const CATCH_UP_TIME: Duration = Duration::from_millis(1_000);

/// The time over which the present rate of requests is measured.
const RATE_SAMPLE_TIME: Duration = Duration::from_millis(500);

/// Seconds of requests at the limit's rate that callers may ask for at once when a keeper starts:
/// callers that came while there was no keeper ask together. With a larger value, a tenant far above its
/// limit could use the limit twice.
const STARTUP_BACKLOG_S: f64 = 0.5;

/// Requests of one tenant, including those that wait for their turn.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SlidingWindow {
    limit: RateLimit,
    tolerance: Tolerance,
    keeper_started_at: Timestamp,
    /// Requests by the number of the slot in which they pass.
    slots: BTreeMap<u64, f64>,
    count: f64,
    /// Requests that may be missing in the count.
    lost_history: Option<LostHistory>,
    /// Requests asked for since the keeper started, including those that refused programs would have
    /// sent.
    requested: f64,
    reservation: Reservation,
}

impl SlidingWindow {
    /// Creates the window of a keeper that started at `keeper_started_at`.
    pub(crate) fn new(
        limit: RateLimit,
        tolerance: Tolerance,
        keeper_started_at: Timestamp,
    ) -> Self {
        Self {
            limit,
            tolerance,
            keeper_started_at,
            slots: BTreeMap::new(),
            count: 0.0,
            lost_history: None,
            requested: 0.0,
            reservation: Reservation::default(),
        }
    }

    pub(crate) fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Returns the length of the window.
    pub(crate) fn length(&self) -> Duration {
        self.tolerance.window
    }

    /// Returns the requests that may pass in any window.
    pub(crate) fn allowance(&self) -> f64 {
        self.tolerance.allowance(self.limit)
    }

    /// Puts another limit in force. A lower limit binds windows that start with it. Windows that started
    /// before still have room for what the higher limit allows.
    pub(crate) fn set_limit(&mut self, limit: RateLimit, now: Timestamp) {
        self.drop_expired(now);
        let lowered_by = self.allowance() - self.tolerance.allowance(limit);
        self.limit = limit;
        self.remove_newest(lowered_by.max(0.0));
    }

    /// Sets what passed before this keeper and is unknown.
    pub(crate) fn set_lost_history(&mut self, lost: Option<LostHistory>) {
        self.lost_history = lost;
    }

    /// Records how many requests were asked for.
    pub(crate) fn record_requested(&mut self, requests: f64) {
        self.requested += requests;
    }

    /// Returns the permits reserved for gateways that may admit requests unknown to the keeper.
    pub(crate) fn reservation(&mut self) -> &mut Reservation {
        &mut self.reservation
    }

    /// Whether the permits run out before `by` if requests go on at the present rate.
    pub(crate) fn may_run_out(&mut self, by: Timestamp, now: Timestamp) -> bool {
        self.drop_expired(now);
        let from = Timestamp(now.0.saturating_sub(RATE_SAMPLE_TIME.as_micros()));
        let recent: f64 = self.slots.range(self.slot_of(from)..).map(|(_, permits)| permits).sum();
        let expected = recent * by.since(now).as_secs_f64() / RATE_SAMPLE_TIME.as_secs_f64();
        self.allowance() - self.count < expected
    }

    /// Returns the permits that are reserved for gateways now.
    fn reserved_permits(&self, now: Timestamp) -> f64 {
        let counted_until =
            |at| self.slots.range(..=self.slot_of(at)).map(|(_, permits)| permits).sum();
        self.reservation.permits(self.allowance(), self.tolerance.window, counted_until, now)
    }

    /// Returns the permits available now. They are negative when more was admitted than the limit allows.
    pub(crate) fn available(&mut self, now: Timestamp) -> f64 {
        self.drop_expired(now);
        let by_count = self.allowance() - self.count - self.reserved_permits(now);
        if self.is_catching_up(now) {
            return by_count
                .min(self.tolerance.catch_up_margin(self.limit) - self.passed_since_start());
        }
        let lost = self.lost_permits(now);
        if lost <= 0.0 {
            return by_count;
        }
        let margin = self.tolerance.lost_history_margin(self.limit);
        by_count.min((by_count - lost + margin).max(margin - self.passed_since_start()))
    }

    /// Returns the permits by what gateways have reported so far, without any margin.
    pub(crate) fn available_by_reports(&mut self, now: Timestamp) -> f64 {
        self.drop_expired(now);
        let withheld = self.lost_permits(now) + self.reserved_permits(now);
        self.allowance() - self.count - withheld
    }

    /// Returns the permits withheld for requests that passed before and are unknown: all that the limit
    /// allows. The requests are assumed to have passed evenly, so the permits come back evenly as the
    /// window moves on. They come back only at the end if callers ask for more than the limit's rate,
    /// since these may have used up the window just before.
    fn lost_permits(&self, now: Timestamp) -> f64 {
        let Some(lost) = self.lost_history.filter(|lost| now < lost.until) else {
            return 0.0;
        };
        match self.is_overdrawn(now) {
            true => lost.share * self.allowance(),
            false => lost.until.since(now).as_secs_f64() * self.lost_permits_per_s(),
        }
    }

    /// Whether more was asked for since the keeper started than the limit's rate allows.
    fn is_overdrawn(&self, now: Timestamp) -> bool {
        let seconds = now.since(self.keeper_started_at).as_secs_f64() + STARTUP_BACKLOG_S;
        self.requested > self.limit.per_second() * seconds
    }

    /// Returns the permits that come back a second while lost history leaves the window.
    fn lost_permits_per_s(&self) -> f64 {
        let share = self.lost_history.map_or(0.0, |lost| lost.share);
        share * self.allowance() / self.tolerance.window.as_secs_f64()
    }

    /// Returns the requests that passed under this keeper, or will after their wait.
    fn passed_since_start(&self) -> f64 {
        self.slots.range(self.slot_of(self.keeper_started_at)..).map(|(_, permits)| permits).sum()
    }

    /// Whether some gateways may not have reported yet what passed under the previous keeper.
    pub(crate) fn is_catching_up(&self, now: Timestamp) -> bool {
        now.since(self.keeper_started_at) < CATCH_UP_TIME
    }

    /// Takes permits for requests that pass at a given time, even if they are not available.
    pub(crate) fn take(&mut self, permits: f64, at: Timestamp) {
        *self.slots.entry(self.slot_of(at)).or_default() += permits;
        self.count += permits;
    }

    /// Refunds permits that were not used. They are taken off the newest requests.
    pub(crate) fn refund(&mut self, permits: f64, now: Timestamp) {
        self.drop_expired(now);
        self.remove_newest(permits);
    }

    /// Returns the time until there are `wanted` permits, or all that there ever are, if no others are
    /// taken.
    pub(crate) fn time_until(&mut self, wanted: f64, now: Timestamp) -> Duration {
        if self.available(now) >= wanted {
            return Duration::ZERO;
        }
        if let Some(wait) = self.time_until_lost_permits(wanted, now) {
            return wait;
        }
        let caught_up_at = (self.keeper_started_at + CATCH_UP_TIME).max(now);
        let most = self.allowance() - self.reserved_permits(now);
        let mut missing = wanted.min(most) - (most - self.count);
        if missing <= 0.0 {
            return caught_up_at.since(now);
        }
        for (slot, permits) in &self.slots {
            missing -= permits;
            if missing <= NEGLIGIBLE_PERMITS {
                return self.expiry_of(*slot).max(caught_up_at).since(now);
            }
        }
        self.tolerance.window
    }

    /// Returns the time until lost history has given back the missing permits. None if no history is
    /// lost, if there are enough without them, or if counted requests have to leave the window as well.
    fn time_until_lost_permits(&mut self, wanted: f64, now: Timestamp) -> Option<Duration> {
        let lost = self.lost_history.filter(|lost| now < lost.until)?;
        let certain = (1.0 - lost.share) * self.allowance() - self.reserved_permits(now);
        if certain - self.count >= wanted {
            return None;
        }
        if self.is_overdrawn(now) {
            return Some(lost.until.since(now));
        }
        let missing = wanted - self.available(now);
        let wait = Duration::from_secs_f64(missing / self.lost_permits_per_s());
        (now + wait <= lost.until)
            .then(|| wait.max((self.keeper_started_at + CATCH_UP_TIME).since(now)))
    }

    fn remove_newest(&mut self, permits: f64) {
        let mut left = permits;
        while left > 0.0 {
            let Some(mut newest) = self.slots.last_entry() else { break };
            let removed = newest.get().min(left);
            *newest.get_mut() -= removed;
            self.count -= removed;
            left -= removed;
            if *newest.get() <= 0.0 {
                newest.remove();
            }
        }
    }

    /// Drops requests that are in no window which contains `now`.
    fn drop_expired(&mut self, now: Timestamp) {
        while let Some(oldest) = self.slots.first_entry() {
            let end = (oldest.key() + 1) * self.tolerance.window.as_micros() / SLOTS_PER_WINDOW;
            if end + self.tolerance.window.as_micros() > now.0 {
                return;
            }
            self.count -= oldest.remove();
        }
        self.count = 0.0;
    }

    fn slot_of(&self, at: Timestamp) -> u64 {
        at.0 * SLOTS_PER_WINDOW / self.tolerance.window.as_micros()
    }

    /// Returns when the last window ends that holds requests of a slot.
    fn expiry_of(&self, slot: u64) -> Timestamp {
        let length = self.tolerance.window.as_micros();
        Timestamp((slot + 1) * length / SLOTS_PER_WINDOW + length)
    }
}

/// Missing permits below this are rounding errors of sums.
const NEGLIGIBLE_PERMITS: f64 = 1e-6;
