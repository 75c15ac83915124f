//! The choice of a server for one request.
//!
//! Where a service has few servers, all that take the request are compared. Where it has many, a choice
//! costs the same however many they are: a few are compared, from a place on their zone's ring that all
//! daemons agree on, so that requests that belong together still meet. And where there is room to spare, each
//! daemon keeps to the first free ones of an order of its own: which server runs a request makes no
//! difference then, but for each server that a daemon meets it opens a connection.

use dahlia_types::{Duration, Timestamp, Zone};
use rand::Rng;

use crate::expected_end::ExpectedEnds;
use crate::loads::Loads;
use crate::overflow;
use crate::rendezvous::mix;
use crate::server::Server;
use crate::service_servers::ServiceServers;
use crate::{
    Affinity, BackendId, BackendSettings, Backends, Choice, ChoiceBasis, ChoiceReason,
    ChoiceRequest, Distance, TurnEstimate,
};

/// When to come back if no server of a service is known to take work.
pub(crate) const NO_BACKEND_RETRY: Duration = Duration::from_millis(400);
/// When to come back if all servers are full and none said for how long.
const FULL_RETRY: Duration = Duration::from_millis(150);

/// Servers of a service that are all compared for each request: some ten microseconds.
const MOST_COMPARED: usize = 128;
/// Servers that are compared for a request where there are more. The least loaded of two drawn ones
/// already is nearly as good as the least of all (Mitzenmacher 2001); the rest is for what a daemon
/// sees of loads, which is little where there are many daemons.
const SAMPLE: usize = 24;
/// Servers whose times give the median time to an answer where there are more.
const MOST_TIMED: usize = 32;
/// Servers of a zone that are looked at to find them.
const MOST_LOOKED_AT: usize = 256;
/// With fewer in the own zone, other zones are looked at as well.
const FEWEST_NEAR: usize = 4;
/// The part of a service's slots in use, as far as a daemon can tell, below which there is room to
/// spare. Requests of daemons that keep to few servers each meet by chance; at an eighth five of six
/// find a server of six slots with none or one beside them.
const SPARE_SHARE: f64 = 0.125;

impl Backends {
    pub(crate) fn pick(
        &mut self,
        ask: &ChoiceRequest<'_>,
        now: Timestamp,
    ) -> Option<(BackendId, ChoiceBasis)> {
        let draw = self.random.random();
        let share = match ask.affinity {
            Some(Affinity::SharedPrompt(prompt)) => self.shares.note(prompt.hash, now),
            _ => 0.0,
        };
        let servers = self.services.get(ask.service)?;
        let bound = slow_bound(servers, &self.settings);
        let is_large = servers.len() > MOST_COMPARED;
        if is_large && let Some((server, reason)) = self.habitual(servers, ask, bound, now) {
            let counts = Counts { listed: servers.len(), usable: 1, healthy: 1 };
            return Some((server.record.id.clone(), self.basis(server, reason, counts, None)));
        }
        let usable = match is_large {
            false => self.usable(servers, ask, now).collect(),
            true => self.sample(servers, ask, Draw { draw, share }, bound, now),
        };
        let is_healthy = |server: &&Server| self.is_healthy(server, bound, now);
        let healthy: Vec<&Server> = usable.iter().copied().filter(is_healthy).collect();
        let counts = Counts { listed: servers.len(), usable: usable.len(), healthy: healthy.len() };
        // A server that failed of late, or is slow, is better than none.
        let candidates = if healthy.is_empty() { usable } else { healthy };
        let mut candidates = self.in_reach(candidates, ask, draw, now);
        let compared = if is_large { candidates.len() } else { servers.len() };
        self.prefer_cold_share(&mut candidates, ask, compared, draw, now);
        if let Some(ends) = self.expected_ends(servers, ask, now) {
            let (server, estimate) = ends.choose(&candidates, draw)?;
            let basis = self.basis(server, ChoiceReason::ExpectedEnd, counts, Some(estimate));
            return Some((server.record.id.clone(), basis));
        }
        let (server, reason) = self.compare(candidates, ask, Draw { draw, share }, now)?;
        Some((server.record.id.clone(), self.basis(server, reason, counts, None)))
    }

    pub(crate) fn refuse(&self, ask: &ChoiceRequest<'_>, now: Timestamp) -> Choice {
        let servers = self.services.get(ask.service).into_iter();
        let servers_examined = servers.flat_map(|servers| {
            let each_zone = servers.zones().map(|(zone, _)| servers.from(zone, mix(self.seed)));
            each_zone.flat_map(|ring| ring.take(MOST_LOOKED_AT))
        });
        let untried = servers_examined
            .filter(|server| self.takes_work(server) && !ask.tried.contains(&server.record.id));
        let wait = |server: &Server| server.pause_left(now).max(server.warmth.wait(now));
        let shortest = untried.map(wait).min();
        match shortest {
            Some(pause) => Choice::Full { retry_after: pause.max(FULL_RETRY) },
            None => Choice::NoBackend { retry_after: NO_BACKEND_RETRY },
        }
    }

    /// What a choice by expected ends rests on; none where the request is none for model servers, does not
    /// tell its size, or nothing is known of how soon tokens come.
    fn expected_ends<'a>(
        &'a self,
        servers: &ServiceServers,
        ask: &ChoiceRequest<'a>,
        now: Timestamp,
    ) -> Option<ExpectedEnds<'a>> {
        if !self.settings.by_expected_end || self.has_few_gateways() {
            return None;
        }
        Some(ExpectedEnds {
            settings: &self.settings,
            topology: &self.topology,
            engine: *self.engines.get(ask.service)?,
            size: ask.size?,
            preferred: ask.preferred.filter(|_| ask.affinity.is_some()),
            usual_pace: servers.usual_pace()?,
            now,
        })
    }

    /// Whether so few gateways are known that each sees enough by its own attempts. Before any is known, it
    /// is not taken to be so.
    fn has_few_gateways(&self) -> bool {
        let gateways = self.cold.gateways();
        gateways > 0 && gateways < self.settings.expected_end_gateways
    }

    fn compare<'a>(
        &'a self,
        candidates: Vec<&'a Server>,
        ask: &ChoiceRequest<'_>,
        Draw { draw, share }: Draw,
        now: Timestamp,
    ) -> Option<(&'a Server, ChoiceReason)> {
        let nearness = self.nearness.get(ask.service).copied().unwrap_or_default();
        let leaves_region = candidates
            .iter()
            .any(|server| self.topology.distance(&server.record.zone) == Distance::OtherRegion);
        let loads = Loads::new(candidates, &self.settings, now, draw);
        let loads = match !leaves_region && nearness.prefers_near(draw, now) {
            true => loads.with_near(self.topology.own_zone()),
            false => loads,
        };
        let kept = ask.preferred.and_then(|preferred| loads.kept(preferred));
        match (ask.affinity, kept) {
            (Some(_), Some(kept)) => Some((kept, ChoiceReason::Preferred)),
            (Some(Affinity::Program(program)), None) => loads.by_program(program),
            (Some(Affinity::Object(object)), None) => {
                loads.by_object(object, self.topology.own_zone())
            }
            (Some(Affinity::SharedPrompt(prompt)), None) => loads.by_prompt(prompt, share),
            (None, _) => loads.by_load(self.topology.own_zone()),
        }
    }

    /// The server that holds what the request needs, while it is free enough; else, where the service
    /// has room to spare, the first one of the own zone, in an order of this daemon's own, that does
    /// nothing for it now. So as many servers are met as requests are under way at once.
    fn habitual<'a>(
        &self,
        servers: &'a ServiceServers,
        ask: &ChoiceRequest<'_>,
        bound: Option<Duration>,
        now: Timestamp,
    ) -> Option<(&'a Server, ChoiceReason)> {
        let may_go = |server: &Server| {
            self.is_usable(server, ask, now) && self.is_healthy(server, bound, now)
        };
        // Where a daemon has few attempts at each of many servers, their mean bounds nothing: half
        // of the slots leaves room for what other daemons send.
        let is_free = |server: &Server| server.in_flight * 2 < server.record.slots.max(2);
        let preferred = ask.preferred.filter(|_| ask.affinity.is_some());
        let preferred = preferred.and_then(|preferred| servers.get(preferred));
        if let Some(kept) = preferred.filter(|server| may_go(server) && is_free(server)) {
            return Some((kept, ChoiceReason::Preferred));
        }
        // What concerns one object goes where all daemons send it, and who is cold needs care.
        let is_bound = matches!(ask.affinity, Some(Affinity::Object(_)));
        if is_bound || self.cold.has_limit(ask.service) || !self.has_room(servers, now) {
            return None;
        }
        let mut own = servers.from(self.topology.own_zone(), mix(self.seed)).take(MOST_LOOKED_AT);
        let first = own.find(|server| server.in_flight == 0 && may_go(server));
        first.map(|server| (server, ChoiceReason::Subset))
    }

    /// Whether most of a service's slots are free, if all gateways send as much as this one.
    fn has_room(&self, servers: &ServiceServers, now: Timestamp) -> bool {
        let gateways = self.cold.gateways();
        // A burst counts at once, a pause only after a while.
        let own = servers.usual_in_flight(now).max(f64::from(servers.in_flight()));
        let in_use = own * gateways as f64;
        let slots: u64 = servers.zones().map(|(_, slots)| slots).sum();
        gateways > 0 && in_use < slots as f64 * SPARE_SHARE
    }

    /// Some servers that take the request, from the place of what it belongs to on; near ones unless
    /// these are too few or answer late.
    fn sample<'a>(
        &'a self,
        servers: &'a ServiceServers,
        ask: &'a ChoiceRequest<'_>,
        Draw { draw, share }: Draw,
        bound: Option<Duration>,
        now: Timestamp,
    ) -> Vec<&'a Server> {
        let (from, arc) = match ask.affinity {
            Some(Affinity::Program(hash) | Affinity::Object(hash)) => (hash, 0.0),
            Some(Affinity::SharedPrompt(prompt)) => {
                (prompt.hash, share * Loads::prompt_spread(&self.settings, prompt))
            }
            None => (draw, 0.0),
        };
        // Where a part of the servers may take it, those compared are drawn from that part.
        let drawn = mix(draw) as f64 * arc.min(1.0);
        let from = from.wrapping_add(drawn as u64);
        let own_zone = self.topology.own_zone();
        let of = |zone: &Zone, wanted: usize| -> Vec<&'a Server> {
            let servers_examined = servers.from(zone, from).take(MOST_LOOKED_AT);
            let usable = servers_examined.filter(|server| self.is_usable(server, ask, now));
            usable.take(wanted).collect()
        };
        let mut sample = of(own_zone, SAMPLE);
        let healthy = sample.iter().filter(|server| self.is_healthy(server, bound, now)).count();
        let nearness = self.nearness.get(ask.service).copied().unwrap_or_default();
        if healthy < FEWEST_NEAR || !nearness.prefers_near(draw, now) {
            for distance in [Distance::SameRegion, Distance::OtherRegion] {
                let zones = servers.zones().map(|(zone, _)| zone);
                let there = zones.filter(|zone| self.topology.distance(zone) == distance);
                let there: Vec<&Zone> = there.collect();
                let each = (SAMPLE / there.len().max(1)).max(1);
                there.iter().for_each(|zone| sample.extend(of(zone, each)));
            }
        }
        let is_missing = |id: &&BackendId| !sample.iter().any(|server| server.record.id == **id);
        let preferred = ask.preferred.filter(is_missing).and_then(|id| servers.get(id));
        sample.extend(preferred.filter(|server| self.is_usable(server, ask, now)));
        sample
    }

    /// Of the candidates, those of the own region, unless it has none or this request is among those
    /// that other regions take.
    fn in_reach<'a>(
        &self,
        candidates: Vec<&'a Server>,
        ask: &ChoiceRequest<'_>,
        draw: u64,
        now: Timestamp,
    ) -> Vec<&'a Server> {
        let is_own =
            |server: &&Server| self.topology.distance(&server.record.zone) != Distance::OtherRegion;
        let own: Vec<&Server> = candidates.iter().copied().filter(is_own).collect();
        if own.is_empty() || own.len() == candidates.len() {
            return candidates;
        }
        let lost = self.lost_share(&own, ask);
        let overflow = self.overflow.get(ask.service).copied().unwrap_or_default();
        let margin = Duration::from_millis(self.settings.region_margin_ms);
        let leaves = lost.max(overflow.late_share(margin, now));
        let is_kept_abroad =
            |server: &&Server| Some(&server.record.id) == ask.preferred && !is_own(server);
        // What a request needs stays where it is while the own region has no room to spare.
        let stays_abroad = leaves > 0.0 && candidates.iter().any(is_kept_abroad);
        if stays_abroad || overflow::is_among(leaves, ask.affinity, draw) {
            return candidates;
        }
        own
    }

    /// The share of the requests that the own region's servers cannot be expected to bear. Where only
    /// some were looked at, these cannot tell, but that there are some.
    fn lost_share(&self, own: &[&Server], ask: &ChoiceRequest<'_>) -> f64 {
        let Some(servers) = self.services.get(ask.service) else { return 0.0 };
        if servers.len() > MOST_COMPARED && own.len() >= FEWEST_NEAR {
            return 0.0;
        }
        let is_own = |zone: &Zone| self.topology.distance(zone) != Distance::OtherRegion;
        let listed = servers.zones().filter(|(zone, _)| is_own(zone)).map(|(_, slots)| slots);
        overflow::lost_share(overflow::slots(own.iter().copied()), listed.sum())
    }

    fn usable<'a>(
        &'a self,
        servers: &'a ServiceServers,
        ask: &'a ChoiceRequest<'_>,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a Server> {
        servers.iter().filter(move |server| self.is_usable(server, ask, now))
    }

    fn is_usable(&self, server: &Server, ask: &ChoiceRequest<'_>, now: Timestamp) -> bool {
        self.takes_work(server)
            && !server.is_paused(now)
            && !server.is_full(&self.settings)
            && !server.warmth.is_closed(now)
            && !ask.tried.contains(&server.record.id)
    }

    /// Whether a server neither failed of late nor is slow.
    fn is_healthy(&self, server: &Server, bound: Option<Duration>, now: Timestamp) -> bool {
        !server.is_suspect(&self.settings, now)
            && !server.is_slow(bound, &self.settings, now)
            && !self.is_in_silent_zone(server, now)
    }

    fn basis(
        &self,
        server: &Server,
        reason: ChoiceReason,
        counts: Counts,
        estimate: Option<TurnEstimate>,
    ) -> ChoiceBasis {
        let Counts { listed, usable, healthy } = counts;
        let distance = self.topology.distance(&server.record.zone);
        ChoiceBasis {
            reason,
            listed,
            usable,
            healthy,
            in_flight: server.in_flight,
            distance,
            estimate,
        }
    }
}

/// What is drawn or guessed for one request.
#[derive(Debug, Clone, Copy)]
struct Draw {
    /// Uniform.
    draw: u64,
    /// The share of the load that has the same shared prompt.
    share: f64,
}

/// How many servers were left at each step of a choice.
#[derive(Debug, Clone, Copy)]
struct Counts {
    listed: usize,
    usable: usize,
    healthy: usize,
}

/// The time to an answer beyond which a server of a service counts as slow; none when fewer than
/// two servers can be compared. Of an even number the faster middle one counts, so that one of two
/// can be slow. Of many servers some tell enough.
fn slow_bound(servers: &ServiceServers, settings: &BackendSettings) -> Option<Duration> {
    let timed = servers.all_timed().filter_map(|server| server.latency(settings));
    let most = if servers.len() > MOST_COMPARED { MOST_TIMED } else { MOST_COMPARED };
    let mut means: Vec<Duration> = timed.take(most).collect();
    if means.len() < 2 {
        return None;
    }
    means.sort_unstable();
    let median = means[(means.len() - 1) / 2];
    let bound = Duration::from_secs_f64(median.as_secs_f64() * settings.slow_factor);
    Some(bound.max(Duration::from_millis(settings.slow_floor_ms)))
}
