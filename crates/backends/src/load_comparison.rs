//! Compares the candidates for a request by how much of this daemon's load they carry.

use std::cmp::Reverse;

use dahlia_types::{Timestamp, Zone};

use crate::rendezvous::weight;
use crate::server::Server;
use crate::{BackendId, BackendSettings, ChoiceReason, SharedPrompt};

/// The chosen server and the reason for the choice.
type Chosen<'a> = Option<(&'a Server, ChoiceReason)>;

/// The candidates for one request.
pub(crate) struct LoadComparison<'a> {
    pub(crate) candidates: Vec<&'a Server>,
    settings: &'a BackendSettings,
    now: Timestamp,
    /// Breaks ties between servers at random, differently for each request. With many daemons, each
    /// has no attempts at most servers, and if all daemons broke ties alike, all would send to the
    /// same servers.
    draw: u64,
    /// This daemon's attempts per slot, averaged over time and over all candidates.
    mean_load: f64,
    /// The own zone, if its servers are preferred.
    own_zone: Option<OwnZone<'a>>,
}

/// The servers of the own zone.
#[derive(Clone, Copy)]
pub(crate) struct OwnZone<'a> {
    pub(crate) zone: &'a Zone,
    /// The mean over these servers. They carry more of this daemon's load than others, so one of
    /// them is overloaded only in comparison with the rest of them.
    mean_load: f64,
}

impl OwnZone<'_> {
    fn contains(&self, server: &Server) -> bool {
        server.record.zone == *self.zone
    }
}

impl<'a> LoadComparison<'a> {
    pub(crate) fn new(
        candidates: Vec<&'a Server>,
        settings: &'a BackendSettings,
        now: Timestamp,
        draw: u64,
    ) -> Self {
        let mean_load = mean_load(candidates.iter().copied(), settings, now);
        Self { candidates, settings, now, draw, mean_load, own_zone: None }
    }

    /// Prefers the servers of a zone.
    pub(crate) fn with_own_zone(mut self, zone: &'a Zone) -> Self {
        let in_zone = self.candidates.iter().copied().filter(|server| server.record.zone == *zone);
        let mean_load = mean_load(in_zone, self.settings, self.now);
        self.own_zone = Some(OwnZone { zone, mean_load });
        self
    }

    /// Returns the server that holds what the request needs, unless its load is far above the mean.
    /// To leave it loses what it holds, and another server would spend time on reading that again.
    pub(crate) fn holder_within_bound(&self, preferred: &BackendId) -> Option<&'a Server> {
        let mut candidates = self.candidates.iter();
        let holder = candidates.find(|server| server.record.id == *preferred)?;
        self.is_within_bound(holder).then_some(holder)
    }

    /// Whether a server's load is not far above the mean. A server without attempts always
    /// qualifies, because a single attempt is no overload.
    fn is_within_bound(&self, server: &Server) -> bool {
        let own_zone = self.own_zone.filter(|own_zone| own_zone.contains(server));
        let mean =
            own_zone.map_or(self.mean_load, |own_zone| own_zone.mean_load.max(self.mean_load));
        let bound = mean * self.settings.keep_bound;
        server.in_flight == 0 || self.average_load(server) <= bound
    }

    /// Chooses the first server by rendezvous hashing whose load is not far above the mean, or else
    /// the least loaded one.
    pub(crate) fn choose_for_program(&self, program: u64) -> Chosen<'a> {
        let total: u32 = self.candidates.iter().map(|server| server.in_flight).sum();
        let mean = f64::from(total + 1) / f64::from(slots(&self.candidates));
        // One attempt is always within the bound. Otherwise an idle service would spread every
        // program over its servers.
        let is_within_bound = |server: &&&Server| {
            let bound = mean * self.settings.load_bound * f64::from(server.record.slots);
            f64::from(server.in_flight) < bound.max(1.0)
        };
        let ranked = self.candidates.iter().filter(is_within_bound);
        let first = ranked.max_by_key(|server| weight(program, &server.record.id));
        let first = first.map(|server| (*server, ChoiceReason::Affinity));
        first.or_else(|| self.choose_least_loaded())
    }

    /// Chooses the server of the own zone that all daemons of this zone prefer for an object,
    /// unless its load is far above the mean. It saves only a part of its own work, which is worth
    /// less than a round trip to another zone or a wait in a queue. Otherwise the choice ignores
    /// the object.
    pub(crate) fn choose_for_object(&self, object: u64, zone: &Zone) -> Chosen<'a> {
        let in_own_zone = self.own_zone.into_iter().flat_map(|own_zone| {
            self.candidates.iter().filter(move |server| own_zone.contains(server))
        });
        let first = in_own_zone.max_by_key(|server| weight(object, &server.record.id));
        let first = first.filter(|server| self.is_within_bound(server));
        first.map(|server| (*server, ChoiceReason::Affinity)).or_else(|| self.choose_by_load(zone))
    }

    /// Chooses the least loaded of the first servers by rendezvous hashing; as many are compared as
    /// the prompt's share of the load needs, and ties are broken at random. If all of these have
    /// far more than the mean load, the share was underestimated, and the next server that has not
    /// is used.
    pub(crate) fn choose_for_prompt(&self, prompt: SharedPrompt, share: f64) -> Chosen<'a> {
        let wanted = share * self.candidates.len() as f64;
        let wanted = wanted * Self::prompt_spread(self.settings, prompt);
        let wanted = (wanted.ceil() as usize).max(self.settings.least_prompt_servers as usize);
        let mut ranked = self.candidates.clone();
        ranked.sort_by_cached_key(|server| Reverse(weight(prompt.hash, &server.record.id)));
        let (first, others) = ranked.split_at(wanted.min(ranked.len()));
        // A prompt that any server may read is read in the own zone.
        let own_zone = self.own_zone.filter(|_| others.is_empty());
        let in_own_zone: Vec<&Server> = first
            .iter()
            .copied()
            .filter(|server| own_zone.is_some_and(|own_zone| own_zone.contains(server)))
            .collect();
        let first = if in_own_zone.is_empty() { first } else { &in_own_zone };
        let least = self.least_cost(first, |server| self.average_load(server))?;
        let further = || others.iter().find(|server| self.is_within_bound(server));
        let chosen = Some(least).filter(|least| self.is_within_bound(least));
        let chosen = chosen.or_else(|| further().copied()).unwrap_or(least);
        Some((chosen, ChoiceReason::SharedPrompt))
    }

    /// Returns the number of servers for a prompt, as a multiple of those that its share of the
    /// load fills. The work spent on reading the prompt is bounded, not the number of servers: a
    /// prompt with a tenth of the tokens may be read at ten times as many servers, which spreads
    /// load more evenly.
    pub(crate) fn prompt_spread(settings: &BackendSettings, prompt: SharedPrompt) -> f64 {
        let long = settings.long_prompt_tokens as f64;
        settings.prompt_spread * (long / prompt.tokens.max(1) as f64).max(1.0)
    }

    /// Chooses the least loaded server. A server of another zone must be clearly less loaded.
    pub(crate) fn choose_by_load(&self, zone: &Zone) -> Chosen<'a> {
        let cost = |server: &Server| {
            let is_own_zone = server.record.zone == *zone;
            server.load() + if is_own_zone { 0.0 } else { self.settings.zone_penalty }
        };
        let least = self.least_cost(&self.candidates, cost);
        least.map(|server| (server, ChoiceReason::Load))
    }

    fn choose_least_loaded(&self) -> Chosen<'a> {
        let least = self.least_cost(&self.candidates, Server::load);
        least.map(|server| (server, ChoiceReason::LeastLoaded))
    }

    /// Returns the server with the lowest cost. Ties are broken at random.
    fn least_cost(
        &self,
        servers: &[&'a Server],
        cost: impl Fn(&Server) -> f64,
    ) -> Option<&'a Server> {
        let ranked = servers.iter().map(|server| {
            let drawn = weight(self.draw, &server.record.id);
            (cost(server), drawn, *server)
        });
        let least = ranked.min_by(|(left, left_draw, _), (right, right_draw, _)| {
            left.total_cmp(right).then(left_draw.cmp(right_draw))
        });
        least.map(|(_, _, server)| server)
    }

    /// Returns this daemon's attempts per slot of a server, averaged over time.
    fn average_load(&self, server: &Server) -> f64 {
        server.average_attempts(self.settings, self.now) / f64::from(server.record.slots.max(1))
    }
}

/// Returns this daemon's attempts per slot of some servers, averaged over time.
fn mean_load<'a>(
    servers: impl Iterator<Item = &'a Server>,
    settings: &BackendSettings,
    now: Timestamp,
) -> f64 {
    let attempts_and_slots =
        |server: &Server| (server.average_attempts(settings, now), server.record.slots);
    let add =
        |(attempts, slots): (f64, u32), (more, more_slots)| (attempts + more, slots + more_slots);
    let (attempts, slots) = servers.map(attempts_and_slots).fold((0.0, 0), add);
    attempts / f64::from(slots.max(1))
}

fn slots(servers: &[&Server]) -> u32 {
    let slots: u32 = servers.iter().map(|server| server.record.slots).sum();
    slots.max(1)
}
