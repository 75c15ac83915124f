//! A simulated model engine, as far as the promises depend on it: its incarnation, its fences and
//! its records of attempts.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_program::{AttemptOutcome, EngineIncarnation};
use dahlia_types::{AttemptId, EngineId, Incarnation, Role};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::common::{message, usage};

/// More than any reservation in the simulation, so that the whole reservation is charged. The
/// checker counts it as used.
const REPORTED_USAGE: u64 = 59;
const IMPLAUSIBLE_USAGE: u64 = 10_000;

/// The current incarnation of one engine.
pub struct Engine {
    pub id: EngineId,
    pub incarnation: u64,
    running: BTreeSet<AttemptId>,
    ended: BTreeMap<AttemptId, AttemptOutcome>,
    fenced: BTreeSet<AttemptId>,
}

impl Engine {
    pub fn new(index: usize, incarnation: u64) -> Self {
        let (running, fenced) = (BTreeSet::new(), BTreeSet::new());
        let id = EngineId::new(format!("e{index}"));
        Self { id, incarnation, running, ended: BTreeMap::new(), fenced }
    }

    pub fn holder(&self) -> EngineIncarnation {
        EngineIncarnation { engine: self.id.clone(), incarnation: Incarnation(self.incarnation) }
    }

    /// Receives a dispatch for `incarnation` and returns whether the attempt started.
    pub fn start(&mut self, attempt: AttemptId, incarnation: u64) -> bool {
        let is_known = self.running.contains(&attempt) || self.ended.contains_key(&attempt);
        let starts =
            self.incarnation == incarnation && !is_known && !self.fenced.contains(&attempt);
        if starts {
            self.running.insert(attempt);
        }
        starts
    }

    /// Ends a running attempt and returns its outcome.
    pub fn end_one(&mut self, random: &mut ChaCha8Rng) -> Option<(AttemptId, AttemptOutcome)> {
        let attempt = self.running.pop_first()?;
        // Engines mostly report plausible usage, and sometimes implausible usage.
        let reported = if random.random_bool(0.1) { IMPLAUSIBLE_USAGE } else { REPORTED_USAGE };
        let (answer, usage) =
            (message(Role::Assistant, format!("answer of {attempt}")), usage(reported, 0));
        let outcome = match random.random_bool(0.8) {
            true => AttemptOutcome::Ran { answer, usage },
            false => AttemptOutcome::Cut { usage },
        };
        self.ended.insert(attempt, outcome.clone());
        Some((attempt, outcome))
    }

    /// The outcome of an attempt sent to `incarnation`, which is fenced if it has not started. None
    /// while it runs.
    pub fn query(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> Option<AttemptOutcome> {
        if self.incarnation != incarnation.0 {
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
            // A stopped attempt has run, and the engine says so when it is queried later.
            let cut = AttemptOutcome::Cut { usage: usage(REPORTED_USAGE, 0) };
            self.ended.insert(*attempt, cut);
        }
        self.fenced.extend(attempts);
    }
}
