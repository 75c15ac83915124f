//! Limits the repeats of each service to a share of its first sends, so that lost answers cannot
//! multiply the load of servers that are in trouble (retry budgets, Finagle; Google SRE book,
//! chapter 22).

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahlia_backends::ServiceName;

use crate::RelaySettings;

/// How many repeats one gateway allows for each service.
#[derive(Debug, Clone, Copy)]
struct RepeatLimits {
    /// Repeats for each first send.
    per_first_send: f64,
    /// Repeats before any first send.
    initial: f64,
    /// The most repeats that first sends save up.
    most_saved: f64,
}

/// The repeats that each service may still get from this gateway.
#[derive(Debug)]
pub(crate) struct RepeatBudgets {
    limits: RepeatLimits,
    /// Repeats left by service. The operators' configuration bounds the number of services.
    left: Mutex<HashMap<ServiceName, f64>>,
}

impl RepeatBudgets {
    pub(crate) fn new(settings: &RelaySettings) -> Arc<Self> {
        let limits = RepeatLimits {
            per_first_send: settings.repeats_per_first_send,
            initial: settings.initial_repeats,
            most_saved: settings.most_saved_repeats,
        };
        Arc::new(Self { limits, left: Mutex::default() })
    }

    /// The budget of one service.
    pub(crate) fn of_service(self: &Arc<Self>, service: &ServiceName) -> ServiceBudget {
        ServiceBudget { budgets: Arc::clone(self), service: service.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, f64>> {
        self.left.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds to the repeats that a service has left.
    fn add(&self, service: &ServiceName, repeats: f64) {
        let RepeatLimits { initial, most_saved, .. } = self.limits;
        let mut services = self.lock();
        let left = services.entry(service.clone()).or_insert(initial);
        *left = (*left + repeats).min(most_saved);
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
        self.budgets.add(&self.service, self.budgets.limits.per_first_send);
    }

    /// Whether a repeat can be reserved.
    pub(crate) fn has_repeat(&self) -> bool {
        let left = self.budgets.lock().get(&self.service).copied();
        left.unwrap_or(self.budgets.limits.initial) >= 1.0
    }

    /// Reserves one repeat; none if too few are left.
    pub(crate) fn reserve(&self) -> Option<RepeatPermit> {
        let mut services = self.budgets.lock();
        let left = services.entry(self.service.clone()).or_insert(self.budgets.limits.initial);
        if *left < 1.0 {
            return None;
        }
        *left -= 1.0;
        Some(RepeatPermit { budget: self.clone(), is_spent: false })
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
