//! Counts a tenant's requests in a sliding window: as many pass in any window as its limit comes to there.
//!
//! A bucket of the same limit is tighter: it lets a burst pass once, where a window lets programs
//! send all that it allows in their own rhythm. That matters for small tenants, one program of which
//! asks for more in a second than the limit gives them for one.

use std::collections::BTreeMap;

use dahlia_types::{Duration, Timestamp};

use crate::memory::Forgotten;
use crate::unheard::Unheard;
use crate::{RateLimit, Tolerance};

/// Parts of a window that requests are counted by. A permit comes back at most one part late: a
/// fiftieth of a second for a window of five.
const PARTS: u64 = 250;
/// The time in which gateways tell a new keeper what they let pass before: each of them reports a few
/// times a second, and at once to a keeper that it has not known.
pub(crate) const TOLD_AFTER: Duration = Duration::from_millis(1_000);

/// The time over which the present rate of requests is taken.
const OF_LATE: Duration = Duration::from_millis(500);

/// Seconds of requests at the limit's rate that callers may ask for at once when a keeper begins: those that
/// came while there was none ask together. A larger value lets a tenant far beyond its limit use it twice.
const RETURNING_S: f64 = 0.5;

/// Requests of one tenant, those included that wait for their turn.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Window {
    limit: RateLimit,
    tolerance: Tolerance,
    since: Timestamp,
    /// Requests by the number of the part of time in which they pass.
    parts: BTreeMap<u64, f64>,
    count: f64,
    /// What may be missing in the count.
    forgotten: Option<Forgotten>,
    /// Requests asked for since the keeper began, with those that refused programs would have sent.
    asked: f64,
    unheard: Unheard,
}

impl Window {
    /// The window of a keeper that has been there since a moment.
    pub(crate) fn new(limit: RateLimit, tolerance: Tolerance, since: Timestamp) -> Self {
        Self {
            limit,
            tolerance,
            since,
            parts: BTreeMap::new(),
            count: 0.0,
            forgotten: None,
            asked: 0.0,
            unheard: Unheard::default(),
        }
    }

    pub(crate) fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Requests that may pass in any window.
    pub(crate) fn allowance(&self) -> f64 {
        self.tolerance.allowance(self.limit)
    }

    /// Puts another limit in force. Beside a higher one before it, a lower one binds windows that begin
    /// with it; those that began before still have room for what the higher one allows.
    pub(crate) fn set_limit(&mut self, limit: RateLimit, now: Timestamp) {
        self.forget(now);
        let lowered_by = self.allowance() - self.tolerance.allowance(limit);
        self.limit = limit;
        self.remove_newest(lowered_by.max(0.0));
    }

    /// What passed before that nobody remembers.
    pub(crate) fn set_forgotten(&mut self, forgotten: Option<Forgotten>) {
        self.forgotten = forgotten;
    }

    /// So many requests were asked for.
    pub(crate) fn note_asked(&mut self, requests: f64) {
        self.asked += requests;
    }

    /// What is known of gateways that are not heard.
    pub(crate) fn unheard(&mut self) -> &mut Unheard {
        &mut self.unheard
    }

    /// Whether all permits are used by a moment if as many requests pass as of late.
    pub(crate) fn may_run_out(&mut self, by: Timestamp, now: Timestamp) -> bool {
        self.forget(now);
        let from = Timestamp(now.0.saturating_sub(OF_LATE.as_micros()));
        let of_late: f64 = self.parts.range(self.part_of(from)..).map(|(_, permits)| permits).sum();
        let expected = of_late * by.since(now).as_secs_f64() / OF_LATE.as_secs_f64();
        self.allowance() - self.count < expected
    }

    /// Permits that gateways may use unheard.
    fn unheard_permits(&self, now: Timestamp) -> f64 {
        let counted_until =
            |at| self.parts.range(..=self.part_of(at)).map(|(_, permits)| permits).sum();
        self.unheard.permits(self.allowance(), self.tolerance.window, counted_until, now)
    }

    /// Permits at this moment; negative when more was let pass than the limit allows.
    pub(crate) fn level(&mut self, now: Timestamp) -> f64 {
        self.forget(now);
        let counted = self.allowance() - self.count - self.unheard_permits(now);
        if self.is_catching_up(now) {
            return counted.min(self.tolerance.unknown(self.limit) - self.passed_since());
        }
        let forgotten = self.forgotten_permits(now);
        if forgotten <= 0.0 {
            return counted;
        }
        let spare = self.tolerance.beside_forgotten(self.limit);
        counted.min((counted - forgotten + spare).max(spare - self.passed_since()))
    }

    /// The same by what gateways have told so far, without anything that is spare.
    pub(crate) fn known_level(&mut self, now: Timestamp) -> f64 {
        self.forget(now);
        let uncounted = self.forgotten_permits(now) + self.unheard_permits(now);
        self.allowance() - self.count - uncounted
    }

    /// Permits for what passed before and is forgotten: all that the limit allows. It is taken to have
    /// passed evenly, so of each moment that leaves the window its part comes back; but not where
    /// callers ask for more than the limit's rate, since they may have used it up just before.
    fn forgotten_permits(&self, now: Timestamp) -> f64 {
        let Some(forgotten) = self.forgotten.filter(|forgotten| now < forgotten.until) else {
            return 0.0;
        };
        match self.is_overdrawn(now) {
            true => forgotten.share * self.allowance(),
            false => forgotten.until.since(now).as_secs_f64() * self.forgotten_per_s(),
        }
    }

    /// Whether more was asked for since the keeper began than the limit's rate comes to.
    fn is_overdrawn(&self, now: Timestamp) -> bool {
        let seconds = now.since(self.since).as_secs_f64() + RETURNING_S;
        self.asked > self.limit.per_second() * seconds
    }

    /// Permits that come back a second while what is forgotten leaves the window.
    fn forgotten_per_s(&self) -> f64 {
        let share = self.forgotten.map_or(0.0, |forgotten| forgotten.share);
        share * self.allowance() / self.tolerance.window.as_secs_f64()
    }

    /// Requests that passed under this keeper, or will after their wait.
    fn passed_since(&self) -> f64 {
        self.parts.range(self.part_of(self.since)..).map(|(_, permits)| permits).sum()
    }

    /// Whether gateways may not have told yet what they let pass under the keeper before.
    pub(crate) fn is_catching_up(&self, now: Timestamp) -> bool {
        now.since(self.since) < TOLD_AFTER
    }

    /// Takes permits for requests that pass at a moment, whether they are there or not.
    pub(crate) fn take(&mut self, permits: f64, at: Timestamp) {
        *self.parts.entry(self.part_of(at)).or_default() += permits;
        self.count += permits;
    }

    /// Puts permits back that were not used, in place of the newest.
    pub(crate) fn put_back(&mut self, permits: f64, now: Timestamp) {
        self.forget(now);
        self.remove_newest(permits);
    }

    /// How long until it has room for as many as `wanted`, or for all that it ever has, if nobody
    /// takes any.
    pub(crate) fn time_until(&mut self, wanted: f64, now: Timestamp) -> Duration {
        if self.level(now) >= wanted {
            return Duration::ZERO;
        }
        if let Some(wait) = self.time_until_left(wanted, now) {
            return wait;
        }
        let sure = (self.since + TOLD_AFTER).max(now);
        let most = self.allowance() - self.unheard_permits(now);
        let mut missing = wanted.min(most) - (most - self.count);
        if missing <= 0.0 {
            return sure.since(now);
        }
        for (part, permits) in &self.parts {
            missing -= permits;
            if missing <= ROUNDING {
                return self.end_of(*part).max(sure).since(now);
            }
        }
        self.tolerance.window
    }

    /// How long until as much of what is forgotten has left the window as is missing. None if there is
    /// no such thing, or other requests have to leave it as well.
    fn time_until_left(&mut self, wanted: f64, now: Timestamp) -> Option<Duration> {
        let forgotten = self.forgotten.filter(|forgotten| now < forgotten.until)?;
        if self.is_overdrawn(now) {
            return Some(forgotten.until.since(now));
        }
        let missing = wanted - self.level(now);
        let wait = Duration::from_secs_f64(missing / self.forgotten_per_s());
        (now + wait <= forgotten.until).then(|| wait.max((self.since + TOLD_AFTER).since(now)))
    }

    fn remove_newest(&mut self, permits: f64) {
        let mut left = permits;
        while left > 0.0 {
            let Some(mut newest) = self.parts.last_entry() else { break };
            let removed = newest.get().min(left);
            *newest.get_mut() -= removed;
            self.count -= removed;
            left -= removed;
            if *newest.get() <= 0.0 {
                newest.remove();
            }
        }
    }

    /// Forgets requests that no window with this moment holds.
    fn forget(&mut self, now: Timestamp) {
        while let Some(oldest) = self.parts.first_entry() {
            let end = (oldest.key() + 1) * self.tolerance.window.as_micros() / PARTS;
            if end + self.tolerance.window.as_micros() > now.0 {
                return;
            }
            self.count -= oldest.remove();
        }
        self.count = 0.0;
    }

    fn part_of(&self, at: Timestamp) -> u64 {
        at.0 * PARTS / self.tolerance.window.as_micros()
    }

    /// When the last window ends that holds requests of a part.
    fn end_of(&self, part: u64) -> Timestamp {
        let length = self.tolerance.window.as_micros();
        Timestamp((part + 1) * length / PARTS + length)
    }
}

/// Below it, a sum of shares of requests counts as nothing.
const ROUNDING: f64 = 1e-6;
