//! Which servers are on probation: those that late news may have listed, although they have left.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Timestamp, Zone};

use crate::departures::{
    MAX_LIST_AGE, MIN_RETURNED_IN_ZONE, PROBATION, ProbationCount, UNKNOWN_DEPARTURES_TIME,
};
use crate::service_servers::ServiceServers;
use crate::{BackendId, Backends, ServiceName};

impl Backends {
    /// Records that the list of servers is complete for the first time, in a daemon that does not know which servers have left
    /// before. Servers that appear soon after are on probation.
    pub fn begin_without_departures(&mut self, now: Timestamp) {
        self.departures_unknown_until = now + UNKNOWN_DEPARTURES_TIME;
    }

    /// Whether a server had disappeared and has not been listed again for long enough to get work.
    pub fn is_on_probation(&self, id: &BackendId, now: Timestamp) -> bool {
        self.server(id).is_some_and(|server| server.is_on_probation(self.known_until(now)))
    }

    /// Returns the time up to which the list of servers is known; the present if no list was ever complete.
    pub(crate) fn known_until(&self, now: Timestamp) -> Timestamp {
        self.complete_as_of.map_or(now, |as_of| as_of.min(now))
    }

    /// Extends probations by their part of the time between two complete lists, if discovery may have been away in it: records
    /// that are not renewed do not lapse then.
    pub(crate) fn extend_probations(&mut self, before: Timestamp, as_of: Timestamp) {
        if as_of.since(before) <= MAX_LIST_AGE || self.probations_end_at <= before {
            return;
        }
        for server in self.services.values_mut().flat_map(ServiceServers::iter_mut) {
            if server.is_on_probation(before) {
                let began = server.probation_until - PROBATION;
                let unknown = as_of.since(began.max(before));
                server.probation_until = server.probation_until + unknown;
                self.probations_end_at = self.probations_end_at.max(server.probation_until);
            }
        }
    }

    /// Whether an earlier incarnation of the server is listed or was until recently.
    pub(crate) fn knows_earlier_incarnation(&self, id: &BackendId) -> bool {
        let earlier = self.service_by_id.range(..id).next_back();
        earlier.is_some_and(|(earlier, _)| earlier.name == id.name)
            || self.departures.includes_earlier_incarnation(id)
    }

    /// Puts a server on probation that had disappeared, or may have left before this daemon started.
    pub(crate) fn begin_probation_of_returned(
        &mut self,
        id: &BackendId,
        service: &ServiceName,
        now: Timestamp,
    ) {
        self.begin_probation(id, now);
        if let Some((server, _)) = self.server_mut(id) {
            server.listed_again_at = Some(now);
        }
        // Only servers that come back show that many do: others that leave make the rest no more numerous.
        self.review_probations(service, now);
    }

    /// Puts an incarnation on probation after which a later one has left: it may have ended before that one began.
    pub(crate) fn begin_probation_after_later_incarnation(
        &mut self,
        id: &BackendId,
        now: Timestamp,
    ) {
        if self.departures.includes_later_incarnation(id) {
            self.begin_probation(id, now);
        }
    }

    fn begin_probation(&mut self, id: &BackendId, now: Timestamp) {
        let until = now + PROBATION;
        self.probations_end_at = self.probations_end_at.max(until);
        if let Some((server, _)) = self.server_mut(id) {
            server.probation_until = until;
        }
    }

    /// Puts ready servers on probation whose records were written while discovery's changes were missed: one of these changes
    /// may have announced that the server leaves, and an older record of its own may hide it until the next one. Where most
    /// servers of a service wrote their records, they do so without a reason, and nothing follows. Returns how many are on
    /// probation.
    pub fn begin_probation_after_missed_changes(
        &mut self,
        ids: &[BackendId],
        now: Timestamp,
    ) -> usize {
        let mut written: BTreeMap<ServiceName, Vec<&BackendId>> = BTreeMap::new();
        for id in ids {
            if let Some(service) = self.service_by_id.get(id) {
                written.entry(service.clone()).or_default().push(id);
            }
        }
        let mut on_probation = 0;
        for (service, ids) in written {
            let Some(servers) = self.services.get(&service) else { continue };
            let working = servers.iter().filter(|server| self.takes_work(server)).count();
            if ids.len() * 2 > working {
                continue;
            }
            on_probation += ids.len();
            ids.into_iter().for_each(|id| self.begin_probation(id, now));
        }
        on_probation
    }

    /// Ends the probation of servers that came back in numbers, of a service or of a zone: late news is about a few, and
    /// the others cannot carry the load of most. Returns whether it has ended for any.
    pub(crate) fn review_probations(&mut self, service: &ServiceName, now: Timestamp) -> bool {
        let known_until = self.known_until(now);
        if known_until >= self.probations_end_at {
            return false;
        }
        let Some(servers) = self.services.get(service) else { return false };
        let mut total = ProbationCount::default();
        let mut zones: BTreeMap<&Zone, ProbationCount> = BTreeMap::new();
        let mut has_others = false;
        for server in servers.iter().filter(|server| self.takes_work(server)) {
            let is_on_probation = server.is_on_probation(known_until);
            has_others |= !is_on_probation;
            let came_back = is_on_probation && server.listed_again_at.is_some();
            total.add(came_back);
            zones.entry(&server.record.zone).or_default().add(came_back);
        }
        let most_came_back = total.are_most() || !has_others;
        let came_back = |count: &ProbationCount| {
            most_came_back || (count.are_most() && count.on_probation >= MIN_RETURNED_IN_ZONE)
        };
        let returned: BTreeSet<Zone> = zones
            .iter()
            .filter(|(_, count)| came_back(count))
            .map(|(zone, _)| (*zone).clone())
            .collect();
        if returned.is_empty() {
            return false;
        }
        let Some(servers) = self.services.get_mut(service) else { return false };
        let in_returned = servers.iter_mut().filter(|it| returned.contains(&it.record.zone));
        in_returned.for_each(|server| server.probation_until = known_until);
        true
    }
}
