//! A model engine, as far as promises depend on it: lives, fences and what it remembers.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_program::{AttemptOutcome, EngineIncarnation};
use dahlia_types::{AttemptId, EngineId, Incarnation, Role};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::common::{message, usage};

/// More than any reservation of the world: what is charged is the reservation, and so was used.
const REPORTED: u64 = 59;
const NONSENSE: u64 = 10_000;

/// One engine in its present life.
pub struct Engine {
    pub id: EngineId,
    pub life: u64,
    running: BTreeSet<AttemptId>,
    ended: BTreeMap<AttemptId, AttemptOutcome>,
    fenced: BTreeSet<AttemptId>,
}

impl Engine {
    pub fn new(index: usize, life: u64) -> Self {
        let (running, fenced) = (BTreeSet::new(), BTreeSet::new());
        let id = EngineId::new(format!("e{index}"));
        Self { id, life, running, ended: BTreeMap::new(), fenced }
    }

    pub fn life(&self) -> EngineIncarnation {
        EngineIncarnation { engine: self.id.clone(), incarnation: Incarnation(self.life) }
    }

    /// Takes a dispatch meant for `life`; tells whether it started.
    pub fn start(&mut self, attempt: AttemptId, life: u64) -> bool {
        let is_known = self.running.contains(&attempt) || self.ended.contains_key(&attempt);
        let starts = self.life == life && !is_known && !self.fenced.contains(&attempt);
        if starts {
            self.running.insert(attempt);
        }
        starts
    }

    /// Brings a running attempt to an end.
    pub fn end_one(&mut self, random: &mut ChaCha8Rng) -> Option<(AttemptId, AttemptOutcome)> {
        let attempt = self.running.pop_first()?;
        // Most engines report what they were allowed; some report nonsense.
        let reported = if random.random_bool(0.1) { NONSENSE } else { REPORTED };
        let (answer, usage) =
            (message(Role::Assistant, format!("answer of {attempt}")), usage(reported, 0));
        let outcome = match random.random_bool(0.8) {
            true => AttemptOutcome::Ran { answer, usage },
            false => AttemptOutcome::Cut { usage },
        };
        self.ended.insert(attempt, outcome.clone());
        Some((attempt, outcome))
    }

    /// What became of an attempt at `life`; fences it when it has not started. None while it runs.
    pub fn ask(&mut self, attempt: AttemptId, life: Incarnation) -> Option<AttemptOutcome> {
        if self.life != life.0 {
            return Some(AttemptOutcome::Unknown);
        }
        if self.running.contains(&attempt) {
            return None;
        }
        let ended = self.ended.get(&attempt).cloned();
        Some(ended.unwrap_or_else(|| {
            self.fenced.insert(attempt);
            AttemptOutcome::NotRun
        }))
    }

    /// Refuses these attempts from now on and stops them.
    pub fn fence(&mut self, attempts: &[AttemptId]) {
        for attempt in attempts.iter().filter(|attempt| self.running.remove(attempt)) {
            // What is stopped has run: the engine says so when it is asked later.
            let cut = AttemptOutcome::Cut { usage: usage(REPORTED, 0) };
            self.ended.insert(*attempt, cut);
        }
        self.fenced.extend(attempts);
    }
}
