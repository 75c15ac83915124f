//! Selects a server for one request.
//!
//! If a service has few servers, all that take the request are compared. If it has many, a choice
//! costs the same however many they are: a few are compared, starting at a position on their zone's
//! ring that all daemons compute alike, so that requests that belong together still meet.
//!
//! While the service has spare capacity, each daemon uses the first idle servers in an order of its
//! own. It makes no difference then which server runs a request, but a daemon opens a connection to
//! each server that it uses.

use dahlia_types::{Duration, Timestamp, Zone};
use rand::Rng;

use crate::expected_end::ExpectedEndModel;
use crate::load_comparison::LoadComparison;
use crate::region_overflow;
use crate::rendezvous::mix;
use crate::server::Server;
use crate::service_servers::ServiceServers;
use crate::{
    Affinity, BackendId, BackendSettings, Backends, Choice, ChoiceBasis, ChoiceReason,
    ChoiceRequest, Distance, TurnEstimate,
};

/// The delay until a retry if no server of a service is known to take work.
pub(crate) const NO_BACKEND_RETRY: Duration = Duration::from_millis(400);
/// The minimum delay until a retry if all servers are full.
const FULL_RETRY: Duration = Duration::from_millis(150);

/// The maximum number of servers of a service that are all compared for each request, which takes
/// some ten microseconds.
const MAX_COMPARED: usize = 128;
/// The number of servers compared for a request if the service has more. The least loaded of two
/// random servers is already nearly as good as the least loaded of all (Mitzenmacher 2001). The
/// rest makes up for how little a daemon sees of the loads if there are many daemons.
const SAMPLE_SIZE: usize = 24;
/// The number of servers whose latencies give the median if the service has more than
/// [`MAX_COMPARED`].
const MAX_MEDIAN_SAMPLES: usize = 32;
/// The maximum number of servers of a zone that are examined to find candidates.
const MAX_EXAMINED: usize = 256;
/// With fewer candidates in the own zone, other zones are examined as well.
const MIN_OWN_ZONE: usize = 4;
/// The estimated utilisation of a service's slots below which it has spare capacity. Requests of
/// daemons that each use few servers meet by chance; at an eighth, five of six requests find a
/// server of six slots with no or one other request.
const LOW_UTILISATION: f64 = 0.125;

impl Backends {
    pub(crate) fn select(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Timestamp,
    ) -> Option<(BackendId, ChoiceBasis)> {
        let draw = self.random.random();
        let prompt_share = match request.affinity {
            Some(Affinity::SharedPrompt(prompt)) => {
                self.prompt_shares.record_request(prompt.hash, now)
            }
            _ => 0.0,
        };
        let servers = self.services.get(request.service)?;
        let threshold = slow_threshold(servers, &self.settings);
        // A sample of a large service may lack the few servers of a version.
        let is_large = servers.len() > MAX_COMPARED && request.version.is_none();
        if is_large
            && let Some((server, reason)) =
                self.select_without_comparison(servers, request, threshold, now)
        {
            let counts = CandidateCounts { listed: servers.len(), usable: 1, healthy: 1 };
            return Some((server.record.id.clone(), self.basis(server, reason, counts, None)));
        }
        let usable = match is_large {
            false => self.usable_servers(servers, request, now).collect(),
            true => {
                self.sample(servers, request, RequestDraw { draw, prompt_share }, threshold, now)
            }
        };
        let is_healthy = |server: &&Server| self.is_healthy(server, threshold, now);
        let healthy: Vec<&Server> = usable.iter().copied().filter(is_healthy).collect();
        let counts =
            CandidateCounts { listed: servers.len(), usable: usable.len(), healthy: healthy.len() };
        // A server that failed recently, or is slow, is better than none.
        let candidates = if healthy.is_empty() { usable } else { healthy };
        let mut candidates = self.limit_to_region(candidates, request, draw, now);
        let compared = if is_large { candidates.len() } else { servers.len() };
        self.prefer_cold_share(&mut candidates, request, compared, draw, now);
        if let Some(model) = self.expected_end_model(servers, request, now) {
            let (server, estimate) = model.choose(&candidates, draw)?;
            let basis = self.basis(server, ChoiceReason::ExpectedEnd, counts, Some(estimate));
            return Some((server.record.id.clone(), basis));
        }
        let (server, reason) =
            self.compare_loads(candidates, request, RequestDraw { draw, prompt_share }, now)?;
        Some((server.record.id.clone(), self.basis(server, reason, counts, None)))
    }

    pub(crate) fn refuse(&self, request: &ChoiceRequest<'_>, now: Timestamp) -> Choice {
        let servers = self.services.get(request.service).into_iter();
        let max_examined = request.version.map_or(MAX_EXAMINED, |_| usize::MAX);
        let examined = servers.flat_map(|servers| {
            let rings = servers.zones().map(|(zone, _)| servers.ring_from(zone, mix(self.seed)));
            rings.flat_map(move |ring| ring.take(max_examined))
        });
        let untried =
            examined.filter(|server| self.takes_work(server) && request.allows(&server.record));
        let known_until = self.known_until(now);
        let wait = |server: &Server| {
            let pause = server.remaining_pause(now, known_until);
            pause.max(server.cold_state.closed_for(now))
        };
        let shortest = untried.map(wait).min();
        match shortest {
            Some(pause) => Choice::Full { retry_after: pause.max(FULL_RETRY) },
            None => Choice::NoBackend { retry_after: NO_BACKEND_RETRY },
        }
    }

    /// Returns the model for a choice by expected ends. There is none if the request is not for
    /// model servers or does not state its size, or if no token times are known.
    fn expected_end_model<'a>(
        &'a self,
        servers: &ServiceServers,
        request: &ChoiceRequest<'a>,
        now: Timestamp,
    ) -> Option<ExpectedEndModel<'a>> {
        if !self.settings.by_expected_end || self.has_few_gateways() {
            return None;
        }
        Some(ExpectedEndModel {
            settings: &self.settings,
            topology: &self.topology,
            engine: *self.engines.get(request.service)?,
            size: request.size?,
            preferred: request.preferred.filter(|_| request.affinity.is_some()),
            mean_token_micros: servers.mean_token_micros()?,
            now,
        })
    }

    /// Whether so few gateways are known that each sees enough of the load in its own attempts.
    /// Returns `false` before any gateway is known.
    fn has_few_gateways(&self) -> bool {
        let gateways = self.cold_limiter.gateway_count();
        gateways > 0 && gateways < self.settings.expected_end_gateways
    }

    fn compare_loads<'a>(
        &'a self,
        candidates: Vec<&'a Server>,
        request: &ChoiceRequest<'_>,
        RequestDraw { draw, prompt_share }: RequestDraw,
        now: Timestamp,
    ) -> Option<(&'a Server, ChoiceReason)> {
        let zone_preference =
            self.zone_preferences.get(request.service).copied().unwrap_or_default();
        let leaves_region = candidates
            .iter()
            .any(|server| self.topology.distance(&server.record.zone) == Distance::OtherRegion);
        let loads = LoadComparison::new(candidates, &self.settings, now, draw);
        let loads = match !leaves_region && zone_preference.prefers_own_zone(draw, now) {
            true => loads.with_own_zone(self.topology.own_zone()),
            false => loads,
        };
        let holder = request.preferred.and_then(|preferred| loads.holder_within_bound(preferred));
        match (request.affinity, holder) {
            (Some(_), Some(holder)) => Some((holder, ChoiceReason::Preferred)),
            (Some(Affinity::Program(program)), None) => loads.choose_for_program(program),
            (Some(Affinity::Object(object)), None) => {
                loads.choose_for_object(object, self.topology.own_zone())
            }
            (Some(Affinity::SharedPrompt(prompt)), None) => {
                loads.choose_for_prompt(prompt, prompt_share)
            }
            (None, _) => loads.choose_by_load(self.topology.own_zone()),
        }
    }

    /// Selects a server of a large service without a comparison: the server that holds what the
    /// request needs, if it has enough free slots. Otherwise, if the service has spare capacity,
    /// the first server of the own zone without attempts of this daemon, in an order of this
    /// daemon's own. A daemon thus uses only as many servers as it has concurrent requests.
    fn select_without_comparison<'a>(
        &self,
        servers: &'a ServiceServers,
        request: &ChoiceRequest<'_>,
        threshold: Option<Duration>,
        now: Timestamp,
    ) -> Option<(&'a Server, ChoiceReason)> {
        let is_eligible = |server: &Server| {
            self.is_usable(server, request, now) && self.is_healthy(server, threshold, now)
        };
        // If a daemon has few attempts at each of many servers, their mean is no useful bound. Half
        // of the slots leaves room for what other daemons send.
        let has_free_slots = |server: &Server| server.in_flight * 2 < server.record.slots.max(2);
        let preferred = request.preferred.filter(|_| request.affinity.is_some());
        let preferred = preferred.and_then(|preferred| servers.get(preferred));
        if let Some(holder) =
            preferred.filter(|server| is_eligible(server) && has_free_slots(server))
        {
            return Some((holder, ChoiceReason::Preferred));
        }
        // Requests for one object go to the server that all daemons prefer, and services with cold
        // servers need the comparison.
        let is_bound = matches!(request.affinity, Some(Affinity::Object(_)));
        if is_bound
            || self.cold_limiter.has_limit(request.service)
            || !self.has_spare_capacity(servers, now)
        {
            return None;
        }
        let mut own_zone =
            servers.ring_from(self.topology.own_zone(), mix(self.seed)).take(MAX_EXAMINED);
        let first = own_zone.find(|server| server.in_flight == 0 && is_eligible(server));
        first.map(|server| (server, ChoiceReason::Subset))
    }

    /// Whether most of a service's slots are free, assuming that all gateways send as much as this
    /// one.
    fn has_spare_capacity(&self, servers: &ServiceServers, now: Timestamp) -> bool {
        let gateways = self.cold_limiter.gateway_count();
        // A burst counts at once, a lull only after a while.
        let own = servers.average_in_flight(now).max(f64::from(servers.in_flight()));
        let in_use = own * gateways as f64;
        let slots: u64 = servers.zones().map(|(_, slots)| slots).sum();
        gateways > 0 && in_use < slots as f64 * LOW_UTILISATION
    }

    /// Returns some servers that take the request, starting at the ring position of the request's
    /// affinity. Other zones are included if the own zone has too few or answers late.
    fn sample<'a>(
        &'a self,
        servers: &'a ServiceServers,
        request: &'a ChoiceRequest<'_>,
        RequestDraw { draw, prompt_share }: RequestDraw,
        threshold: Option<Duration>,
        now: Timestamp,
    ) -> Vec<&'a Server> {
        let (start, arc) = match request.affinity {
            Some(Affinity::Program(hash) | Affinity::Object(hash)) => (hash, 0.0),
            Some(Affinity::SharedPrompt(prompt)) => {
                (prompt.hash, prompt_share * LoadComparison::prompt_spread(&self.settings, prompt))
            }
            None => (draw, 0.0),
        };
        // If a part of the servers may take the request, the sample starts at random within that
        // part.
        let offset = mix(draw) as f64 * arc.min(1.0);
        let start = start.wrapping_add(offset as u64);
        let own_zone = self.topology.own_zone();
        let usable_in = |zone: &Zone, wanted: usize| -> Vec<&'a Server> {
            let examined = servers.ring_from(zone, start).take(MAX_EXAMINED);
            let usable = examined.filter(|server| self.is_usable(server, request, now));
            usable.take(wanted).collect()
        };
        let mut sample = usable_in(own_zone, SAMPLE_SIZE);
        let healthy =
            sample.iter().filter(|server| self.is_healthy(server, threshold, now)).count();
        let zone_preference =
            self.zone_preferences.get(request.service).copied().unwrap_or_default();
        if healthy < MIN_OWN_ZONE || !zone_preference.prefers_own_zone(draw, now) {
            for distance in [Distance::SameRegion, Distance::OtherRegion] {
                let zones = servers.zones().map(|(zone, _)| zone);
                let zones = zones.filter(|zone| self.topology.distance(zone) == distance);
                let zones: Vec<&Zone> = zones.collect();
                let per_zone = (SAMPLE_SIZE / zones.len().max(1)).max(1);
                zones.iter().for_each(|zone| sample.extend(usable_in(zone, per_zone)));
            }
        }
        let is_missing = |id: &&BackendId| !sample.iter().any(|server| server.record.id == **id);
        let preferred = request.preferred.filter(is_missing).and_then(|id| servers.get(id));
        sample.extend(preferred.filter(|server| self.is_usable(server, request, now)));
        sample
    }

    /// Returns the candidates of the own region. Returns all candidates if the own region has none,
    /// or if this request overflows to other regions.
    fn limit_to_region<'a>(
        &self,
        candidates: Vec<&'a Server>,
        request: &ChoiceRequest<'_>,
        draw: u64,
        now: Timestamp,
    ) -> Vec<&'a Server> {
        let is_own =
            |server: &&Server| self.topology.distance(&server.record.zone) != Distance::OtherRegion;
        let own: Vec<&Server> = candidates.iter().copied().filter(is_own).collect();
        if own.is_empty() || own.len() == candidates.len() {
            return candidates;
        }
        let missing_capacity = self.missing_capacity_share(&own, request);
        let overflow = self.region_overflows.get(request.service).copied().unwrap_or_default();
        let margin = Duration::from_millis(self.settings.region_margin_ms);
        let overflow_share = missing_capacity.max(overflow.slow_share(margin, now));
        let is_remote_holder =
            |server: &&Server| Some(&server.record.id) == request.preferred && !is_own(server);
        // A request stays at the remote server that holds its prompt while the own region has no
        // spare capacity.
        let stays_remote = overflow_share > 0.0 && candidates.iter().any(is_remote_holder);
        if stays_remote || region_overflow::is_in_share(overflow_share, request.affinity, draw) {
            return candidates;
        }
        own
    }

    /// Returns the share of requests that the own region's servers cannot be expected to handle. A
    /// sample of a large service shows only whether the region has servers at all.
    fn missing_capacity_share(&self, own: &[&Server], request: &ChoiceRequest<'_>) -> f64 {
        let Some(servers) = self.services.get(request.service) else { return 0.0 };
        if servers.len() > MAX_COMPARED && own.len() >= MIN_OWN_ZONE {
            return 0.0;
        }
        let is_own = |zone: &Zone| self.topology.distance(zone) != Distance::OtherRegion;
        let listed = servers.zones().filter(|(zone, _)| is_own(zone)).map(|(_, slots)| slots);
        region_overflow::missing_capacity_share(
            region_overflow::total_slots(own.iter().copied()),
            listed.sum(),
        )
    }

    fn usable_servers<'a>(
        &'a self,
        servers: &'a ServiceServers,
        request: &'a ChoiceRequest<'_>,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a Server> {
        servers.iter().filter(move |server| self.is_usable(server, request, now))
    }

    /// Whether a server takes the request.
    fn is_usable(&self, server: &Server, request: &ChoiceRequest<'_>, now: Timestamp) -> bool {
        self.takes_work(server)
            && !server.is_paused(now)
            && !server.is_on_probation(self.known_until(now))
            && !server.is_full(&self.settings)
            && !server.cold_state.is_closed(now)
            && request.allows(&server.record)
    }

    /// Whether a server is neither suspect nor slow, nor in a silent zone.
    fn is_healthy(&self, server: &Server, threshold: Option<Duration>, now: Timestamp) -> bool {
        !server.is_suspect(&self.settings, now)
            && !server.is_slow(threshold, &self.settings, now)
            && !self.is_in_silent_zone(server, now)
    }

    fn basis(
        &self,
        server: &Server,
        reason: ChoiceReason,
        counts: CandidateCounts,
        estimate: Option<TurnEstimate>,
    ) -> ChoiceBasis {
        let CandidateCounts { listed, usable, healthy } = counts;
        let distance = self.topology.distance(&server.record.zone);
        ChoiceBasis {
            reason,
            listed,
            usable,
            healthy,
            in_flight: server.in_flight,
            distance,
            estimate,
            list_age: None,
            listed_again: None,
        }
    }
}

/// The random draw and the estimated prompt share of one request.
#[derive(Debug, Clone, Copy)]
struct RequestDraw {
    /// Uniformly random.
    draw: u64,
    /// The estimated share of requests with the same shared prompt.
    prompt_share: f64,
}

/// The number of servers left after each step of a choice.
#[derive(Debug, Clone, Copy)]
struct CandidateCounts {
    listed: usize,
    usable: usize,
    healthy: usize,
}

/// Returns the latency above which a server of a service counts as slow, or `None` if fewer than
/// two servers can be compared. The median of an even number is the faster of the two middle ones,
/// so that one of two servers can be slow. For a large service, a part of the servers is enough.
fn slow_threshold(servers: &ServiceServers, settings: &BackendSettings) -> Option<Duration> {
    let latencies = servers.servers_with_latency().filter_map(|server| server.latency(settings));
    let max_samples = if servers.len() > MAX_COMPARED { MAX_MEDIAN_SAMPLES } else { MAX_COMPARED };
    let mut means: Vec<Duration> = latencies.take(max_samples).collect();
    if means.len() < 2 {
        return None;
    }
    means.sort_unstable();
    let median = means[(means.len() - 1) / 2];
    let threshold = Duration::from_secs_f64(median.as_secs_f64() * settings.slow_factor);
    Some(threshold.max(Duration::from_millis(settings.slow_floor_ms)))
}
