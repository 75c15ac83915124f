//! Admission control: bounded queues, bounded waits, limits per tenant, and the retry delay of
//! refused callers.

use std::collections::BTreeMap;

use dahlia_types::{Duration, TenantId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::{AdmissionSettings, RefusalReason};

/// Time constant of the moving average of the drain rate.
const RATE_WINDOW_SECONDS: f64 = 10.0;
/// Drain rate assumed before the first measurement.
const INITIAL_CALLS_PER_SECOND: f64 = 1.0;
/// Lower bound of the drain rate from which waits are estimated.
const MIN_CALLS_PER_SECOND: f64 = 0.02;

/// Calls that leave a queue per second while calls wait in it, as an exponential moving average.
#[derive(Debug, Clone)]
pub(crate) struct DrainRate {
    rate: f64,
    dequeued: f64,
    window_start: Timestamp,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self { rate: INITIAL_CALLS_PER_SECOND, dequeued: 0.0, window_start: Timestamp::ZERO }
    }
}

impl DrainRate {
    /// Counts a call that left the queue for an engine.
    pub(crate) fn record_dequeue(&mut self) {
        self.dequeued += 1.0;
    }

    /// Adds the calls counted since the last update to the average. Called on each tick.
    ///
    /// While no call waits, the count shows the demand and not the capacity, so it may only raise
    /// the average.
    pub(crate) fn update(&mut self, has_waiting: bool, now: Timestamp) {
        let passed = now.since(self.window_start).as_secs_f64();
        if passed < 1.0 {
            return;
        }
        let observed = self.dequeued / passed;
        if has_waiting || observed > self.rate {
            let share = 1.0 - (-passed / RATE_WINDOW_SECONDS).exp();
            self.rate += share * (observed - self.rate);
        }
        self.dequeued = 0.0;
        self.window_start = now;
    }

    /// Expected time until `ahead` calls have left the queue.
    pub(crate) fn expected_wait(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(ahead as f64 / self.rate.max(MIN_CALLS_PER_SECOND))
    }
}

/// Open calls of a tenant.
#[derive(Debug, Clone, Copy, Default)]
struct TenantCallCounts {
    waiting: usize,
    in_flight: usize,
}

/// Limits of the calls that a tenant may have open at this scheduler, waiting or dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OpenCallLimits {
    /// Limit of tenants that `exceptions` does not name; none for no limit.
    pub default: Option<usize>,
    /// Limits of named tenants.
    pub exceptions: BTreeMap<TenantId, usize>,
}

impl OpenCallLimits {
    fn limit_for(&self, tenant: &TenantId) -> Option<usize> {
        self.exceptions.get(tenant).copied().or(self.default)
    }
}

/// The open calls of each tenant, and the limits on them.
#[derive(Debug)]
pub(crate) struct Admission {
    settings: AdmissionSettings,
    open_call_limits: OpenCallLimits,
    tenants: BTreeMap<TenantId, TenantCallCounts>,
    waiting: usize,
}

impl Admission {
    pub(crate) fn new(settings: AdmissionSettings) -> Self {
        let open_call_limits = OpenCallLimits::default();
        Self { settings, open_call_limits, tenants: BTreeMap::new(), waiting: 0 }
    }

    /// Replaces the limits of open calls. Calls that are already open are not affected.
    pub(crate) fn set_open_call_limits(&mut self, limits: OpenCallLimits) {
        self.open_call_limits = limits;
    }

    /// Longest expected wait with which a call is still queued.
    pub(crate) fn wait_limit(&self, is_first: bool) -> Duration {
        if is_first { self.settings.new_program_wait } else { self.settings.continuing_wait }
    }

    /// Checks whether a queued call may stay, given its expected wait.
    pub(crate) fn check(
        &self,
        tenant: &TenantId,
        expected: Duration,
        wait_limit: Duration,
    ) -> Result<(), RefusalReason> {
        let calls = self.tenants.get(tenant).copied().unwrap_or_default();
        let open = calls.waiting + calls.in_flight;
        let is_over_limit =
            self.open_call_limits.limit_for(tenant).is_some_and(|limit| open > limit);
        if is_over_limit || calls.waiting > self.settings.tenant_queue_limit {
            return Err(RefusalReason::TenantLimit);
        }
        if self.waiting > self.settings.queue_limit || expected > wait_limit {
            return Err(RefusalReason::Overloaded);
        }
        Ok(())
    }

    /// Whether the tenant has reached its limit of calls in flight.
    pub(crate) fn is_at_in_flight_limit(&self, tenant: &TenantId) -> bool {
        let calls = self.tenants.get(tenant).copied().unwrap_or_default();
        let open = self.open_call_limits.limit_for(tenant).unwrap_or(usize::MAX);
        calls.in_flight >= self.settings.tenant_in_flight_limit.min(open)
    }

    pub(crate) fn record_enqueue(&mut self, tenant: &TenantId) {
        self.waiting += 1;
        self.tenants.entry(tenant.clone()).or_default().waiting += 1;
    }

    pub(crate) fn record_dequeue(&mut self, tenant: &TenantId) {
        self.waiting = self.waiting.saturating_sub(1);
        self.update_counts(tenant, |calls| calls.waiting = calls.waiting.saturating_sub(1));
    }

    pub(crate) fn record_dispatch(&mut self, tenant: &TenantId) {
        self.tenants.entry(tenant.clone()).or_default().in_flight += 1;
    }

    pub(crate) fn record_end(&mut self, tenant: &TenantId) {
        self.update_counts(tenant, |calls| calls.in_flight = calls.in_flight.saturating_sub(1));
    }

    /// Delay after which a refused caller may retry: the expected wait, jittered by a quarter so
    /// that refused callers don't return all at once.
    pub(crate) fn retry_after(&self, expected: Duration, random: &mut ChaCha8Rng) -> Duration {
        let (shortest, longest) = self.settings.retry_after;
        let spread = random.random_range(0.75..1.25);
        let wanted = Duration::from_secs_f64(expected.as_secs_f64() * spread);
        wanted.clamp(shortest, longest)
    }

    fn update_counts(&mut self, tenant: &TenantId, change: impl FnOnce(&mut TenantCallCounts)) {
        let Some(calls) = self.tenants.get_mut(tenant) else { return };
        change(calls);
        if calls.waiting == 0 && calls.in_flight == 0 {
            self.tenants.remove(tenant);
        }
    }
}
