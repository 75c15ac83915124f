//! Chooses a server by where a request is expected to end first.
//!
//! The time that a request takes at a server is the wait for a slot, the prefill of the part of its
//! prompt that the server does not hold, and its answer at the server's time per token. A prefill
//! also delays all attempts that run beside it, so it counts once for each of them, and their
//! prefills delay this request. A server without enough memory for the request's end would have to
//! evict others, so it comes last. A server that is nearly full will often be full when the request
//! arrives, which the mean of its attempts does not show; therefore the cost grows with the share
//! of used slots.
//!
//! A prefill evicts from the memory what another request will have to read again, so it counts
//! three times more, and a program leaves the server that holds its prompt only for a much better
//! one.
//!
//! Many gateways see the same loads, with the same delay. If all of them chose the best server, it
//! would be the worst one before they noticed. So servers are drawn at random, and a server is less
//! likely the later the request would end there.

use dahlia_types::{Duration, Timestamp, Tokens};

use crate::rendezvous::mix;
use crate::server::Server;
use crate::topology::Topology;
use crate::{BackendId, BackendSettings, Distance, EngineCapacity, TurnEstimate, TurnSize};

/// The part of a prompt that a server typically has to read. Later requests of a program go to the
/// server that holds the rest.
const TYPICAL_UNCACHED_SHARE: f64 = 0.25;
/// Tokens that other requests have to read again later, for each token that is read now.
const REREAD_FACTOR: f64 = 3.0;
/// Stretches the time in which a view loses its weight: a view's age is that of its oldest figures,
/// and most of them are more recent.
const VIEW_AGE_FACTOR: f64 = 2.0;
/// The additional cost of a server with attempts in all of its slots compared to an idle one, as a
/// multiple of the time of the answer.
const FULL_SERVER_PENALTY: f64 = 4.0;

/// The request and what is known about its service.
pub(crate) struct ExpectedEndModel<'a> {
    pub(crate) settings: &'a BackendSettings,
    pub(crate) topology: &'a Topology,
    pub(crate) engine: EngineCapacity,
    pub(crate) size: TurnSize,
    /// The server that holds what the request needs.
    pub(crate) preferred: Option<&'a BackendId>,
    /// The mean microseconds per token over the service's servers.
    pub(crate) mean_token_micros: f64,
    pub(crate) now: Timestamp,
}

/// The load that other daemons cause at a server.
#[derive(Debug, Clone, Copy, Default)]
struct OtherDaemonsLoad {
    attempts: f64,
    tokens: f64,
}

/// A server with the estimate for the request there.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    server: &'a Server,
    estimate: TurnEstimate,
    /// Microseconds, including the cost of the choice to other requests.
    cost: f64,
    has_room: bool,
}

impl ExpectedEndModel<'_> {
    /// Chooses one of the candidates: the server that holds the prompt if its cost is low enough,
    /// else one drawn by how soon the request ends there. `draw` is uniformly random.
    pub(crate) fn choose<'a>(
        &self,
        candidates: &[&'a Server],
        draw: u64,
    ) -> Option<(&'a Server, TurnEstimate)> {
        let mean = self.mean_reported_load(candidates);
        let estimated = candidates.iter().map(|server| self.estimate(server, mean));
        let mut estimated: Vec<Candidate<'a>> = estimated.collect();
        if estimated.iter().any(|candidate| candidate.has_room) {
            estimated.retain(|candidate| candidate.has_room);
        }
        let least = estimated.iter().map(|candidate| candidate.cost).min_by(f64::total_cmp)?;
        let margin = (least * self.settings.near_end_share).max(1.0);
        // Each program's prompt is held by a server of its own, so programs that return to their
        // servers cause no herding.
        let holder = estimated.iter().find(|candidate| candidate.estimate.holds_prompt);
        let holder = holder.filter(|holder| holder.cost <= least * self.settings.leave_factor);
        let chosen = holder.or_else(|| draw_by_cost(&estimated, least, margin, draw))?;
        Some((chosen.server, chosen.estimate))
    }

    /// Returns the mean load that other daemons reported, over the candidates.
    fn mean_reported_load(&self, candidates: &[&Server]) -> OtherDaemonsLoad {
        let view_bound = self.settings.view_bound();
        let reports = candidates
            .iter()
            .filter_map(|server| server.recent_reported_load(view_bound, self.now));
        let (attempts, tokens, count) =
            reports.fold((0.0, 0.0, 0.0), |(attempts, tokens, count), report| {
                (attempts + f64::from(report.attempts), tokens + report.tokens as f64, count + 1.0)
            });
        let count = f64::max(count, 1.0);
        OtherDaemonsLoad { attempts: attempts / count, tokens: tokens / count }
    }

    /// Estimates other daemons' load of a server now, and returns it with the age of the report.
    /// The reported load counts as far as its attempts have not ended yet, and the mean load
    /// replaces the rest.
    fn other_daemons_load(
        &self,
        server: &Server,
        mean: OtherDaemonsLoad,
    ) -> Option<(OtherDaemonsLoad, Duration)> {
        let report = server.recent_reported_load(self.settings.view_bound(), self.now)?;
        let age = self.now.since(report.measured_at);
        let attempt_micros =
            self.size.generated.0 as f64 * self.mean_token_micros * VIEW_AGE_FACTOR;
        let remaining = (-(age.as_micros() as f64) / attempt_micros.max(1.0)).exp();
        let now = OtherDaemonsLoad {
            attempts: mean.attempts + (f64::from(report.attempts) - mean.attempts) * remaining,
            tokens: mean.tokens + (report.tokens as f64 - mean.tokens) * remaining,
        };
        Some((now, age))
    }

    fn estimate<'a>(&self, server: &'a Server, mean: OtherDaemonsLoad) -> Candidate<'a> {
        let TurnSize { prompt: Tokens(prompt), generated: Tokens(generated) } = self.size;
        let others = self.other_daemons_load(server, mean);
        let (load, view_age) = others.unzip();
        // A server without a report is assumed to be as loaded as the others.
        let load = load.unwrap_or(mean);
        let attempts = f64::from(server.in_flight) + load.attempts;
        let reserved = server.reserved_tokens() as f64 + load.tokens;
        let slots = f64::from(server.record.slots.max(1));
        let token_micros = server.time_per_token.estimate_micros(self.mean_token_micros, self.now);
        let holds_prompt = Some(&server.record.id) == self.preferred;

        let uncached = if holds_prompt { 0 } else { prompt };
        let prefill = uncached as f64 / self.settings.read_tokens_per_ms * 1e3;
        let answer = generated as f64 * token_micros;
        let beside = attempts.min(slots);
        let ahead = (attempts + 1.0 - slots).max(0.0);
        let wait = ahead / slots * answer;
        let full = (attempts / slots).powi(2) * answer;
        let duration = wait + prefill + answer;
        Candidate {
            server,
            estimate: TurnEstimate {
                duration: Duration::from_micros(duration as u64),
                attempts: attempts.round() as u32,
                time_per_token: Duration::from_micros(token_micros as u64),
                holds_prompt,
                view_age,
            },
            cost: duration
                + FULL_SERVER_PENALTY * full
                + (REREAD_FACTOR + beside) * prefill
                + beside * self.mean_prefill()
                + self.distance_margin(server),
            has_room: reserved + self.size.total() as f64 <= self.engine.memory.0 as f64,
        }
    }

    /// Returns the microseconds by which the prefill of another request delays this one.
    fn mean_prefill(&self) -> f64 {
        let Tokens(prompt) = self.size.prompt;
        prompt as f64 * TYPICAL_UNCACHED_SHARE / self.settings.read_tokens_per_ms * 1e3
    }

    /// Returns the microseconds by which the request must end sooner at a server of another zone.
    fn distance_margin(&self, server: &Server) -> f64 {
        let millis = match self.topology.distance(&server.record.zone) {
            Distance::SameZone => 0,
            Distance::SameRegion => self.settings.zone_margin_ms,
            Distance::OtherRegion => self.settings.zone_margin_ms + self.settings.region_margin_ms,
        };
        Duration::from_millis(millis).as_micros() as f64
    }
}

/// Draws one of the candidates. Of two candidates, the one that costs a margin more is drawn 1/e
/// times as often. `draw` is uniformly random.
fn draw_by_cost<'b, 'a>(
    candidates: &'b [Candidate<'a>],
    least: f64,
    margin: f64,
    draw: u64,
) -> Option<&'b Candidate<'a>> {
    let weight = |candidate: &Candidate<'_>| ((least - candidate.cost) / margin).exp();
    let weights: Vec<f64> = candidates.iter().map(weight).collect();
    let mut remaining = mix(draw) as f64 / u64::MAX as f64 * weights.iter().sum::<f64>();
    let drawn = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    drawn.map_or(candidates.last(), |index| candidates.get(index))
}
