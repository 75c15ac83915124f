//! The choice by where a request ends first.
//!
//! What a request takes at a server is the wait for a slot, the reading of what the server does not hold of
//! its prompt, and its answer at the server's pace. Reading also holds up all that run beside it, so it
//! counts once for each of them; and their reading holds up this one. A server without room in its memory
//! for the request's end would put others out: it comes last. A server that is nearly full will often be
//! full when the request arrives, which no mean of its attempts tells: the fuller it is, the dearer.
//!
//! What is read anew puts out of the memory what another request will have to read again, so it counts
//! three times more, and a program leaves the server that holds its prompt only for one that is much better.
//!
//! Many gateways see the same loads, and see them late. If all took the best server, it would be the worst
//! one before they knew. So servers are drawn, and the less likely the later the request would end there.

use dahlia_types::{Duration, Timestamp, Tokens};

use crate::rendezvous::mix;
use crate::server::Server;
use crate::topology::Topology;
use crate::{BackendId, BackendSettings, Distance, EngineCapacity, TurnEstimate, TurnSize};

/// The part of a prompt that a server reads, as a rule: later requests of a program go where the rest is.
const UNREAD_SHARE: f64 = 0.25;
/// Tokens that others read again later for each one that is read now.
const REREAD_SHARE: f64 = 3.0;
/// A view's age is that of its oldest figures, and most of them are younger.
const AGE_LENIENCE: f64 = 2.0;
/// What a server with attempts in all of its slots costs more than an empty one, in times of the answer.
const FULL_WEIGHT: f64 = 4.0;

/// What is known of the request and its service.
pub(crate) struct ExpectedEnds<'a> {
    pub(crate) settings: &'a BackendSettings,
    pub(crate) topology: &'a Topology,
    pub(crate) engine: EngineCapacity,
    pub(crate) size: TurnSize,
    /// The server that holds what the request needs.
    pub(crate) preferred: Option<&'a BackendId>,
    /// Microseconds a token at the service's servers.
    pub(crate) usual_pace: f64,
    pub(crate) now: Timestamp,
}

/// Others' load of a server.
#[derive(Debug, Clone, Copy, Default)]
struct OthersLoad {
    attempts: f64,
    tokens: f64,
}

/// A server with what is expected there.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    server: &'a Server,
    estimate: TurnEstimate,
    /// Microseconds, with what the choice costs others.
    cost: f64,
    has_room: bool,
}

impl ExpectedEnds<'_> {
    /// A server of the candidates, drawn by how soon the request ends there. `draw` is uniform.
    pub(crate) fn choose<'a>(
        &self,
        candidates: &[&'a Server],
        draw: u64,
    ) -> Option<(&'a Server, TurnEstimate)> {
        let mean = self.mean_load(candidates);
        let judged = candidates.iter().map(|server| self.judge(server, mean));
        let mut judged: Vec<Candidate<'a>> = judged.collect();
        if judged.iter().any(|candidate| candidate.has_room) {
            judged.retain(|candidate| candidate.has_room);
        }
        let least = judged.iter().map(|candidate| candidate.cost).min_by(f64::total_cmp)?;
        let margin = (least * self.settings.near_end_share).max(1.0);
        // Each program has a server of its own that holds its prompt, so these make no herd.
        let kept = judged.iter().find(|candidate| candidate.estimate.holds_prompt);
        let kept = kept.filter(|kept| kept.cost <= least * self.settings.leave_factor);
        let chosen = kept.or_else(|| draw_near(&judged, least, margin, draw))?;
        Some((chosen.server, chosen.estimate))
    }

    /// What others' load of a server is as a rule.
    fn mean_load(&self, candidates: &[&Server]) -> OthersLoad {
        let view_bound = self.settings.view_bound();
        let others = candidates.iter().filter_map(|server| server.others(view_bound, self.now));
        let (attempts, tokens, count) =
            others.fold((0.0, 0.0, 0.0), |(attempts, tokens, count), other| {
                (attempts + f64::from(other.attempts), tokens + other.tokens as f64, count + 1.0)
            });
        let count = f64::max(count, 1.0);
        OthersLoad { attempts: attempts / count, tokens: tokens / count }
    }

    /// Others' load of a server now: that which was told, as far as its attempts have not ended yet, and
    /// the usual one in their place.
    fn others(&self, server: &Server, mean: OthersLoad) -> Option<(OthersLoad, Duration)> {
        let told = server.others(self.settings.view_bound(), self.now)?;
        let age = self.now.since(told.at);
        let lasts = self.size.generated.0 as f64 * self.usual_pace * AGE_LENIENCE;
        let left = (-(age.as_micros() as f64) / lasts.max(1.0)).exp();
        let now = OthersLoad {
            attempts: mean.attempts + (f64::from(told.attempts) - mean.attempts) * left,
            tokens: mean.tokens + (told.tokens as f64 - mean.tokens) * left,
        };
        Some((now, age))
    }

    fn judge<'a>(&self, server: &'a Server, mean: OthersLoad) -> Candidate<'a> {
        let TurnSize { prompt: Tokens(prompt), generated: Tokens(generated) } = self.size;
        let others = self.others(server, mean);
        let (load, view_age) = others.unzip();
        // One that nobody told of is no emptier than the others, as far as is known.
        let load = load.unwrap_or(mean);
        let attempts = f64::from(server.in_flight) + load.attempts;
        let held = server.tokens() as f64 + load.tokens;
        let slots = f64::from(server.record.slots.max(1));
        let pace = server.pace.micros(self.usual_pace, self.now);
        let holds_prompt = Some(&server.record.id) == self.preferred;

        let unread = if holds_prompt { 0 } else { prompt };
        let reading = unread as f64 / self.settings.read_tokens_per_ms * 1e3;
        let answer = generated as f64 * pace;
        let beside = attempts.min(slots);
        let ahead = (attempts + 1.0 - slots).max(0.0);
        let wait = ahead / slots * answer;
        let full = (attempts / slots).powi(2) * answer;
        let duration = wait + reading + answer;
        Candidate {
            server,
            estimate: TurnEstimate {
                duration: Duration::from_micros(duration as u64),
                attempts: attempts.round() as u32,
                time_per_token: Duration::from_micros(pace as u64),
                holds_prompt,
                view_age,
            },
            cost: duration
                + FULL_WEIGHT * full
                + (REREAD_SHARE + beside) * reading
                + beside * self.mean_reading()
                + self.distance_margin(server),
            has_room: held + self.size.total() as f64 <= self.engine.memory.0 as f64,
        }
    }

    /// Microseconds that another request's reading holds this one up.
    fn mean_reading(&self) -> f64 {
        let Tokens(prompt) = self.size.prompt;
        prompt as f64 * UNREAD_SHARE / self.settings.read_tokens_per_ms * 1e3
    }

    /// What a server of another zone must end sooner, in microseconds.
    fn distance_margin(&self, server: &Server) -> f64 {
        let millis = match self.topology.distance(&server.record.zone) {
            Distance::SameZone => 0,
            Distance::SameRegion => self.settings.zone_margin_ms,
            Distance::OtherRegion => self.settings.zone_margin_ms + self.settings.region_margin_ms,
        };
        Duration::from_millis(millis).as_micros() as f64
    }
}

/// One of the candidates: of two, that which costs a margin more is drawn 1/e times as often. `draw` is
/// uniform.
fn draw_near<'b, 'a>(
    candidates: &'b [Candidate<'a>],
    least: f64,
    margin: f64,
    draw: u64,
) -> Option<&'b Candidate<'a>> {
    let weight = |candidate: &Candidate<'_>| ((least - candidate.cost) / margin).exp();
    let weights: Vec<f64> = candidates.iter().map(weight).collect();
    let mut left = mix(draw) as f64 / u64::MAX as f64 * weights.iter().sum::<f64>();
    let drawn = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    drawn.map_or(candidates.last(), |place| candidates.get(place))
}
