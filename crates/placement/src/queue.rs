//! Queues of the calls that wait for an engine, in order of priority.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{CallId, TenantId, Timestamp};

use crate::admission::DrainRate;
use crate::call::Call;

/// Order of a call in a queue: its priority, then its arrival number.
pub(crate) type QueueKey = (u64, u64);

/// A priority queue of waiting calls.
#[derive(Debug, Default)]
pub(crate) struct WaitingQueue {
    calls: BTreeMap<QueueKey, Call>,
    keys: BTreeMap<CallId, QueueKey>,
    /// Calls of tenants at their limit of calls in flight. They don't block calls of other tenants.
    parked: BTreeMap<TenantId, BTreeSet<QueueKey>>,
    /// Calls that are not parked.
    ready: BTreeSet<QueueKey>,
    next_arrival: u64,
}

impl WaitingQueue {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn contains(&self, call: CallId) -> bool {
        self.keys.contains_key(&call)
    }

    /// Adds a call, or replaces it if it is already queued.
    pub(crate) fn push(&mut self, call: Call) {
        self.remove(call.id());
        let key = (call.priority, self.next_arrival);
        self.next_arrival += 1;
        self.keys.insert(call.id(), key);
        self.ready.insert(key);
        self.calls.insert(key, call);
    }

    /// The first call that is not parked.
    pub(crate) fn first(&self) -> Option<&Call> {
        self.ready.first().and_then(|key| self.calls.get(key))
    }

    /// Removes a call.
    pub(crate) fn remove(&mut self, id: CallId) -> Option<Call> {
        let key = self.keys.remove(&id)?;
        self.ready.remove(&key);
        let call = self.calls.remove(&key)?;
        if let Some(parked) = self.parked.get_mut(&call.ready.tenant) {
            parked.remove(&key);
            if parked.is_empty() {
                self.parked.remove(&call.ready.tenant);
            }
        }
        Some(call)
    }

    /// Parks the first ready call until [`Self::unpark`] is called for its tenant.
    pub(crate) fn park_first(&mut self) {
        let Some(key) = self.ready.pop_first() else { return };
        let Some(call) = self.calls.get(&key) else { return };
        self.parked.entry(call.ready.tenant.clone()).or_default().insert(key);
    }

    /// Makes a tenant's parked calls ready again.
    pub(crate) fn unpark(&mut self, tenant: &TenantId) {
        let parked = self.parked.remove(tenant).unwrap_or_default();
        self.ready.extend(parked);
    }

    /// The calls for which `predicate` holds.
    pub(crate) fn matching(&self, predicate: impl Fn(&Call) -> bool) -> Vec<CallId> {
        self.calls.values().filter(|call| predicate(call)).map(Call::id).collect()
    }
}

/// The waiting calls of one model. Calls of programs under way are dispatched before first calls.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    pub continuing: Lane,
    pub first: Lane,
}

/// A queue with its drain rate.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    pub queue: WaitingQueue,
    pub drain_rate: DrainRate,
}

impl Lanes {
    /// The lane for first calls, or the one for calls of programs under way.
    pub(crate) fn lane_mut(&mut self, is_first: bool) -> &mut Lane {
        if is_first { &mut self.first } else { &mut self.continuing }
    }

    pub(crate) fn len(&self) -> usize {
        self.continuing.queue.len() + self.first.queue.len()
    }

    pub(crate) fn contains(&self, call: CallId) -> bool {
        self.continuing.queue.contains(call) || self.first.queue.contains(call)
    }

    pub(crate) fn remove(&mut self, call: CallId) -> Option<Call> {
        let found = self.continuing.queue.remove(call);
        found.or_else(|| self.first.queue.remove(call))
    }

    pub(crate) fn unpark(&mut self, tenant: &TenantId) {
        self.continuing.queue.unpark(tenant);
        self.first.queue.unpark(tenant);
    }

    pub(crate) fn matching(&self, predicate: impl Fn(&Call) -> bool) -> Vec<CallId> {
        let mut found = self.continuing.queue.matching(&predicate);
        found.extend(self.first.queue.matching(&predicate));
        found
    }

    pub(crate) fn update_drain_rates(&mut self, now: Timestamp) {
        for lane in [&mut self.continuing, &mut self.first] {
            lane.drain_rate.update(lane.queue.len() > 0, now);
        }
    }
}
