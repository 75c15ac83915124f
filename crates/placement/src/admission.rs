//! Who may wait: bounded queues, budgeted waits, limits per tenant, and when to come back.

use std::collections::BTreeMap;

use dahlia_types::{Duration, TenantId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::{AdmissionSettings, RefusalReason};

/// Time over which the drain rate is averaged, in seconds.
const RATE_WINDOW: f64 = 10.0;
/// Drain rate assumed before anything was measured, in calls a second.
const INITIAL_RATE: f64 = 1.0;
/// The rate that is assumed at least, in calls a second.
const LEAST_RATE: f64 = 0.02;

/// Calls that leave a queue per second while calls wait in it, as an exponential moving average.
#[derive(Debug, Clone)]
pub(crate) struct DrainRate {
    rate: f64,
    left: f64,
    since: Timestamp,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self { rate: INITIAL_RATE, left: 0.0, since: Timestamp::ZERO }
    }
}

impl DrainRate {
    /// Notes a call that left the queue for an engine.
    pub(crate) fn left(&mut self) {
        self.left += 1.0;
    }

    /// Folds what was counted into the average. Called on each tick.
    ///
    /// While nothing waits the rate shows the demand and not the capacity: it may only rise then.
    pub(crate) fn tick(&mut self, waiting: bool, now: Timestamp) {
        let passed = now.since(self.since).as_secs_f64();
        if passed < 1.0 {
            return;
        }
        let observed = self.left / passed;
        if waiting || observed > self.rate {
            let share = 1.0 - (-passed / RATE_WINDOW).exp();
            self.rate += share * (observed - self.rate);
        }
        self.left = 0.0;
        self.since = now;
    }

    /// Expected time until `ahead` calls are through.
    pub(crate) fn time_for(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(ahead as f64 / self.rate.max(LEAST_RATE))
    }
}

/// Calls of a tenant.
#[derive(Debug, Clone, Copy, Default)]
struct TenantCalls {
    waiting: usize,
    in_flight: usize,
}

/// Most calls that tenants may have open here, waiting and dispatched together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OpenCallLimits {
    /// Of a tenant that `exceptions` does not name; none when there is no such limit.
    pub default: Option<usize>,
    /// Of named tenants.
    pub exceptions: BTreeMap<TenantId, usize>,
}

impl OpenCallLimits {
    fn of(&self, tenant: &TenantId) -> Option<usize> {
        self.exceptions.get(tenant).copied().or(self.default)
    }
}

/// Counts per tenant and the bounds on them.
#[derive(Debug)]
pub(crate) struct Admission {
    settings: AdmissionSettings,
    open_calls: OpenCallLimits,
    tenants: BTreeMap<TenantId, TenantCalls>,
    waiting: usize,
}

impl Admission {
    pub(crate) fn new(settings: AdmissionSettings) -> Self {
        let open_calls = OpenCallLimits::default();
        Self { settings, open_calls, tenants: BTreeMap::new(), waiting: 0 }
    }

    /// Puts other limits in force. Calls that are open stay.
    pub(crate) fn set_open_calls(&mut self, limits: OpenCallLimits) {
        self.open_calls = limits;
    }

    /// The longest that a call may be expected to wait.
    pub(crate) fn patience(&self, first_of_program: bool) -> Duration {
        if first_of_program {
            self.settings.new_program_wait
        } else {
            self.settings.continuing_wait
        }
    }

    /// Whether one more call of the tenant may wait, given how long it is expected to.
    pub(crate) fn check(
        &self,
        tenant: &TenantId,
        expected: Duration,
        patience: Duration,
    ) -> Result<(), RefusalReason> {
        let calls = self.tenants.get(tenant).copied().unwrap_or_default();
        let open = calls.waiting + calls.in_flight;
        let is_over = self.open_calls.of(tenant).is_some_and(|limit| open > limit);
        if is_over || calls.waiting > self.settings.tenant_queue_limit {
            return Err(RefusalReason::TenantLimit);
        }
        if self.waiting > self.settings.queue_limit || expected > patience {
            return Err(RefusalReason::Overloaded);
        }
        Ok(())
    }

    /// Whether the tenant has as many calls in flight as it may have.
    pub(crate) fn at_limit(&self, tenant: &TenantId) -> bool {
        let calls = self.tenants.get(tenant).copied().unwrap_or_default();
        let open = self.open_calls.of(tenant).unwrap_or(usize::MAX);
        calls.in_flight >= self.settings.tenant_in_flight_limit.min(open)
    }

    pub(crate) fn began_waiting(&mut self, tenant: &TenantId) {
        self.waiting += 1;
        self.tenants.entry(tenant.clone()).or_default().waiting += 1;
    }

    pub(crate) fn ended_waiting(&mut self, tenant: &TenantId) {
        self.waiting = self.waiting.saturating_sub(1);
        self.change(tenant, |calls| calls.waiting = calls.waiting.saturating_sub(1));
    }

    pub(crate) fn dispatched(&mut self, tenant: &TenantId) {
        self.tenants.entry(tenant.clone()).or_default().in_flight += 1;
    }

    pub(crate) fn ended(&mut self, tenant: &TenantId) {
        self.change(tenant, |calls| calls.in_flight = calls.in_flight.saturating_sub(1));
    }

    /// When a refused caller may come back: after the expected wait, spread by a quarter so that
    /// the refused do not return all at once.
    pub(crate) fn retry_after(&self, expected: Duration, random: &mut ChaCha8Rng) -> Duration {
        let (shortest, longest) = self.settings.retry_after;
        let spread = random.random_range(0.75..1.25);
        let wanted = Duration::from_secs_f64(expected.as_secs_f64() * spread);
        wanted.clamp(shortest, longest)
    }

    fn change(&mut self, tenant: &TenantId, change: impl FnOnce(&mut TenantCalls)) {
        let Some(calls) = self.tenants.get_mut(tenant) else { return };
        change(calls);
        if calls.waiting == 0 && calls.in_flight == 0 {
            self.tenants.remove(tenant);
        }
    }
}
