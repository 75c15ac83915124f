//! Calls that wait here for an engine, in order of priority.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{CallId, TenantId};

use crate::call::Call;

/// Place in the order: priority, then arrival.
pub(crate) type Place = (u64, u64);

/// The waiting calls of one model.
#[derive(Debug, Default)]
pub(crate) struct WaitingQueue {
    by_place: BTreeMap<Place, Call>,
    places: BTreeMap<CallId, Place>,
    /// Calls of tenants that have all they may have under way; they do not block others.
    parked: BTreeMap<TenantId, BTreeSet<Place>>,
    ready: BTreeSet<Place>,
    next_arrival: u64,
}

impl WaitingQueue {
    pub(crate) fn len(&self) -> usize {
        self.by_place.len()
    }

    pub(crate) fn contains(&self, call: CallId) -> bool {
        self.places.contains_key(&call)
    }

    /// Adds a call; a call that is here already is replaced.
    pub(crate) fn push(&mut self, call: Call) {
        self.remove(call.id());
        let place = (call.priority, self.next_arrival);
        self.next_arrival += 1;
        self.places.insert(call.id(), place);
        self.ready.insert(place);
        self.by_place.insert(place, call);
    }

    /// The first call that is not parked.
    pub(crate) fn first(&self) -> Option<&Call> {
        self.ready.first().and_then(|place| self.by_place.get(place))
    }

    /// Takes a call out.
    pub(crate) fn remove(&mut self, id: CallId) -> Option<Call> {
        let place = self.places.remove(&id)?;
        self.ready.remove(&place);
        let call = self.by_place.remove(&place)?;
        if let Some(parked) = self.parked.get_mut(&call.ready.tenant) {
            parked.remove(&place);
            if parked.is_empty() {
                self.parked.remove(&call.ready.tenant);
            }
        }
        Some(call)
    }

    /// Sets the first call aside until [`Self::unpark`] of its tenant.
    pub(crate) fn park_first(&mut self) {
        let Some(place) = self.ready.pop_first() else { return };
        let Some(call) = self.by_place.get(&place) else { return };
        self.parked.entry(call.ready.tenant.clone()).or_default().insert(place);
    }

    /// Makes a tenant's parked calls ready again.
    pub(crate) fn unpark(&mut self, tenant: &TenantId) {
        let parked = self.parked.remove(tenant).unwrap_or_default();
        self.ready.extend(parked);
    }

    /// The calls for which `given_up` holds.
    pub(crate) fn matching(&self, given_up: impl Fn(&Call) -> bool) -> Vec<CallId> {
        self.by_place.values().filter(|call| given_up(call)).map(Call::id).collect()
    }
}
