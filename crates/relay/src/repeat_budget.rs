//! Limits the repeats of each service to a share of its first sends, so that lost answers cannot
//! multiply the load of servers that are in trouble (retry budgets, Finagle; Google SRE book,
//! chapter 22).

//!
//! A share is of the first sends of the last moments, not of a gateway's life: what was saved up over
//! a quiet hour would be spent within a second of trouble, by all gateways at once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahlia_backends::ServiceName;
use tokio::time::{Duration, Instant};

use crate::RelaySettings;

/// Parts of a window; first sends are forgotten a part at a time.
const WINDOW_PARTS: usize = 10;

/// How many repeats one gateway allows for each service.
#[derive(Debug, Clone, Copy)]
struct RepeatLimits {
    /// Repeats for each first send.
    per_first_send: f64,
    /// Repeats before any first send, which are not forgotten.
    initial: f64,
    /// The most repeats that first sends save up.
    most_saved: f64,
    /// The length of a part of the window in which first sends count.
    part: Duration,
}

/// The repeats that one service may still get.
#[derive(Debug)]
struct ServiceState {
    left: f64,
    /// First sends in each part of the window, in a ring.
    first_sends: [u32; WINDOW_PARTS],
    /// The part that counts now.
    current: usize,
    /// When that part began.
    began: Instant,
}

impl ServiceState {
    fn new(limits: &RepeatLimits, now: Instant) -> Self {
        Self { left: limits.initial, first_sends: [0; WINDOW_PARTS], current: 0, began: now }
    }

    /// Forgets first sends that the window has left, and the repeats that they allowed.
    fn advance(&mut self, limits: &RepeatLimits, now: Instant) {
        let parts = now.duration_since(self.began).as_nanos() / limits.part.as_nanos();
        for _ in 0..parts.min(WINDOW_PARTS as u128) {
            self.current = (self.current + 1) % WINDOW_PARTS;
            self.first_sends[self.current] = 0;
        }
        if parts > 0 {
            self.began = now;
        }
        self.left = self.left.min(self.most(limits));
    }

    /// The most repeats that may be left.
    fn most(&self, limits: &RepeatLimits) -> f64 {
        let first_sends: u32 = self.first_sends.iter().sum();
        let earned = f64::from(first_sends) * limits.per_first_send;
        (limits.initial + earned).min(limits.most_saved)
    }
}

/// The repeats that each service may still get from this gateway.
#[derive(Debug)]
pub(crate) struct RepeatBudgets {
    limits: RepeatLimits,
    /// The operators' configuration bounds the number of services.
    services: Mutex<HashMap<ServiceName, ServiceState>>,
}

impl RepeatBudgets {
    pub(crate) fn new(settings: &RelaySettings) -> Arc<Self> {
        let limits = RepeatLimits {
            per_first_send: settings.repeats_per_first_send,
            initial: settings.initial_repeats,
            most_saved: settings.most_saved_repeats,
            part: Duration::from_millis(settings.repeat_window_ms) / WINDOW_PARTS as u32,
        };
        Arc::new(Self { limits, services: Mutex::default() })
    }

    /// The budget of one service.
    pub(crate) fn of_service(self: &Arc<Self>, service: &ServiceName) -> ServiceBudget {
        ServiceBudget { budgets: Arc::clone(self), service: service.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceState>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `change` to what is left for a service now.
    fn update<T>(&self, service: &ServiceName, change: impl FnOnce(&mut ServiceState) -> T) -> T {
        let now = Instant::now();
        let mut services = self.lock();
        let new = || ServiceState::new(&self.limits, now);
        let state = services.entry(service.clone()).or_insert_with(new);
        state.advance(&self.limits, now);
        change(state)
    }

    /// Adds to the repeats that a service has left.
    fn add(&self, service: &ServiceName, repeats: f64) {
        self.update(service, |state| {
            state.left = (state.left + repeats).min(state.most(&self.limits));
        });
    }
}

/// The repeats that one service may still get from this gateway. Cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct ServiceBudget {
    budgets: Arc<RepeatBudgets>,
    service: ServiceName,
}

impl ServiceBudget {
    /// Records the first send of a request that may be repeated, which allows a share of a repeat.
    pub(crate) fn record_first_send(&self) {
        let limits = self.budgets.limits;
        self.budgets.update(&self.service, |state| {
            state.first_sends[state.current] += 1;
            state.left = (state.left + limits.per_first_send).min(state.most(&limits));
        });
    }

    /// Whether a repeat can be reserved.
    pub(crate) fn has_repeat(&self) -> bool {
        self.budgets.update(&self.service, |state| state.left >= 1.0)
    }

    /// Reserves one repeat; none if too few are left.
    pub(crate) fn reserve(&self) -> Option<RepeatPermit> {
        let is_reserved = self.budgets.update(&self.service, |state| {
            let has_repeat = state.left >= 1.0;
            state.left -= f64::from(u8::from(has_repeat));
            has_repeat
        });
        is_reserved.then(|| RepeatPermit { budget: self.clone(), is_spent: false })
    }
}

/// One reserved repeat. It goes back to its budget if it is dropped without having been spent.
#[derive(Debug)]
pub(crate) struct RepeatPermit {
    budget: ServiceBudget,
    is_spent: bool,
}

impl RepeatPermit {
    /// Uses the permit for a send.
    pub(crate) fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RepeatPermit {
    fn drop(&mut self) {
        if !self.is_spent {
            self.budget.budgets.add(&self.budget.service, 1.0);
        }
    }
}
