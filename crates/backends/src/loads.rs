//! Servers that take a request now, compared by how much of this daemon's load they carry.

use std::cmp::Reverse;

use dahlia_types::{Timestamp, Zone};

use crate::rendezvous::weight;
use crate::server::Server;
use crate::{BackendId, BackendSettings, ChoiceReason, SharedPrompt};

/// A choice and by what it was made.
type Chosen<'a> = Option<(&'a Server, ChoiceReason)>;

/// The candidates for one request.
pub(crate) struct Loads<'a> {
    pub(crate) candidates: Vec<&'a Server>,
    settings: &'a BackendSettings,
    now: Timestamp,
    /// Ranks equal servers, anew for each request. With many daemons each has no attempts at most
    /// servers, and if all ranked these alike, all would send to the same ones.
    draw: u64,
    /// Attempts of this daemon for each slot, averaged over time and over all candidates.
    usual_mean: f64,
    /// The own zone, where its servers go before others.
    near: Option<Near<'a>>,
}

/// The servers that go before others.
#[derive(Clone, Copy)]
pub(crate) struct Near<'a> {
    pub(crate) zone: &'a Zone,
    /// The mean over them: they carry more of this daemon's load than others, and one of them is
    /// too loaded only against the rest of them.
    usual_mean: f64,
}

impl Near<'_> {
    fn has(&self, server: &Server) -> bool {
        server.record.zone == *self.zone
    }
}

impl<'a> Loads<'a> {
    pub(crate) fn new(
        candidates: Vec<&'a Server>,
        settings: &'a BackendSettings,
        now: Timestamp,
        draw: u64,
    ) -> Self {
        let usual_mean = usual_mean(candidates.iter().copied(), settings, now);
        Self { candidates, settings, now, draw, usual_mean, near: None }
    }

    /// The same, where servers of a zone go before others.
    pub(crate) fn with_near(mut self, zone: &'a Zone) -> Self {
        let near = self.candidates.iter().copied().filter(|server| server.record.zone == *zone);
        let usual_mean = usual_mean(near, self.settings, self.now);
        self.near = Some(Near { zone, usual_mean });
        self
    }

    /// The server that holds what the request needs. What it holds is lost by leaving it, and
    /// reading it elsewhere takes that server's time as well: only a load far above the mean is
    /// worse.
    pub(crate) fn kept(&self, preferred: &BackendId) -> Option<&'a Server> {
        let mut candidates = self.candidates.iter();
        let kept = candidates.find(|server| server.record.id == *preferred)?;
        self.is_within(kept).then_some(kept)
    }

    /// Whether a server's load is not far above the mean. One attempt more or less is no load.
    fn is_within(&self, server: &Server) -> bool {
        let near = self.near.filter(|near| near.has(server));
        let mean = near.map_or(self.usual_mean, |near| near.usual_mean.max(self.usual_mean));
        let most = mean * self.settings.keep_bound;
        server.in_flight == 0 || self.usual(server) <= most
    }

    /// The first by rendezvous hashing of those whose load is not far above the mean, else the
    /// least loaded.
    pub(crate) fn by_program(&self, program: u64) -> Chosen<'a> {
        let total: u32 = self.candidates.iter().map(|server| server.in_flight).sum();
        let mean = f64::from(total + 1) / f64::from(slots(&self.candidates));
        // One attempt is always within the bound: else an idle service would spread every program.
        let within = |server: &&&Server| {
            let bound = mean * self.settings.load_bound * f64::from(server.record.slots);
            f64::from(server.in_flight) < bound.max(1.0)
        };
        let ranked = self.candidates.iter().filter(within);
        let first = ranked.max_by_key(|server| weight(program, &server.record.id));
        let first = first.map(|server| (*server, ChoiceReason::Affinity));
        first.or_else(|| self.least_loaded())
    }

    /// The near server that all daemons of this zone prefer for an object, unless its load is far
    /// above the mean. What it saves is a part of its own work, which a way to another zone or a queue
    /// outweighs: else the choice is as if the object were not known.
    pub(crate) fn by_object(&self, object: u64, zone: &Zone) -> Chosen<'a> {
        let near = self
            .near
            .into_iter()
            .flat_map(|near| self.candidates.iter().filter(move |server| near.has(server)));
        let first = near.max_by_key(|server| weight(object, &server.record.id));
        let first = first.filter(|server| self.is_within(server));
        first.map(|server| (*server, ChoiceReason::Affinity)).or_else(|| self.by_load(zone))
    }

    /// The least loaded of the first few by rendezvous hashing, as many as the share of the load
    /// that the prompt has needs; equal ones are drawn among. Where all of these have far more than the mean load, the share was
    /// guessed too low: the next one that has not is used.
    pub(crate) fn by_prompt(&self, prompt: SharedPrompt, share: f64) -> Chosen<'a> {
        let wanted = share * self.candidates.len() as f64;
        let wanted = wanted * Self::prompt_spread(self.settings, prompt);
        let wanted = (wanted.ceil() as usize).max(self.settings.least_prompt_servers as usize);
        let mut ranked = self.candidates.clone();
        ranked.sort_by_cached_key(|server| Reverse(weight(prompt.hash, &server.record.id)));
        let (first, others) = ranked.split_at(wanted.min(ranked.len()));
        // A prompt that any server may read is read near.
        let near = self.near.filter(|_| others.is_empty());
        let near: Vec<&Server> = first
            .iter()
            .copied()
            .filter(|server| near.is_some_and(|near| near.has(server)))
            .collect();
        let first = if near.is_empty() { first } else { &near };
        let least = self.least(first, |server| self.usual(server))?;
        let further = || others.iter().find(|server| self.is_within(server));
        let chosen = Some(least).filter(|least| self.is_within(least));
        let chosen = chosen.or_else(|| further().copied()).unwrap_or(least);
        Some((chosen, ChoiceReason::SharedPrompt))
    }

    /// Servers for a prompt, as a multiple of those that its share of the load fills. What is spent on
    /// reading is bounded, not the number of servers: a prompt of a tenth of the tokens may be read
    /// at ten times as many, among which load is spread more evenly.
    pub(crate) fn prompt_spread(settings: &BackendSettings, prompt: SharedPrompt) -> f64 {
        let long = settings.long_prompt_tokens as f64;
        settings.prompt_spread * (long / prompt.tokens.max(1) as f64).max(1.0)
    }

    /// The least loaded one; one of another zone must be clearly less loaded.
    pub(crate) fn by_load(&self, zone: &Zone) -> Chosen<'a> {
        let cost = |server: &Server| {
            let is_near = server.record.zone == *zone;
            server.load() + if is_near { 0.0 } else { self.settings.zone_penalty }
        };
        let least = self.least(&self.candidates, cost);
        least.map(|server| (server, ChoiceReason::Load))
    }

    fn least_loaded(&self) -> Chosen<'a> {
        let least = self.least(&self.candidates, Server::load);
        least.map(|server| (server, ChoiceReason::LeastLoaded))
    }

    /// The server of least cost; equal ones are drawn among.
    fn least(&self, servers: &[&'a Server], cost: impl Fn(&Server) -> f64) -> Option<&'a Server> {
        let ranked = servers.iter().map(|server| {
            let drawn = weight(self.draw, &server.record.id);
            (cost(server), drawn, *server)
        });
        let least = ranked.min_by(|(left, left_draw, _), (right, right_draw, _)| {
            left.total_cmp(right).then(left_draw.cmp(right_draw))
        });
        least.map(|(_, _, server)| server)
    }

    /// Attempts of this daemon for each slot of a server, averaged over time.
    fn usual(&self, server: &Server) -> f64 {
        server.usual_attempts(self.settings, self.now) / f64::from(server.record.slots.max(1))
    }
}

/// Attempts of this daemon for each slot of some servers, averaged over time.
fn usual_mean<'a>(
    servers: impl Iterator<Item = &'a Server>,
    settings: &BackendSettings,
    now: Timestamp,
) -> f64 {
    let of_one = |server: &Server| (server.usual_attempts(settings, now), server.record.slots);
    let add =
        |(attempts, slots): (f64, u32), (more, more_slots)| (attempts + more, slots + more_slots);
    let (attempts, slots) = servers.map(of_one).fold((0.0, 0), add);
    attempts / f64::from(slots.max(1))
}

fn slots(servers: &[&Server]) -> u32 {
    let slots: u32 = servers.iter().map(|server| server.record.slots).sum();
    slots.max(1)
}
