//! One engine as it is known here.

use std::collections::VecDeque;

use dahlia_types::{AttemptId, Duration, EngineId, Incarnation, ModelId, Timestamp};

use crate::circuit::Circuit;
use crate::{EngineCapacity, EngineDescription, EngineReport};

/// How long an engine that refused as overloaded is left alone.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(500);

/// Whether an engine takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It does.
    Serving,
    /// It finishes what it has.
    Leaving,
    /// It is gone.
    Gone,
}

/// A dispatch that no report includes yet.
#[derive(Debug, Clone, Copy)]
struct UnseenDispatch {
    attempt: AttemptId,
    sent_at: Timestamp,
    prefill: u64,
}

/// The last report, and what happened since.
#[derive(Debug, Clone)]
pub(crate) struct EngineEntry {
    pub id: EngineId,
    pub incarnation: Incarnation,
    pub one_way_delay: Duration,
    pub models: Vec<ModelId>,
    pub capacity: EngineCapacity,
    pub availability: Availability,
    pub circuit: Circuit,
    /// Sequence of the last cache event; none before the first.
    pub cache_sequence: Option<u64>,
    /// When its inventory was asked for last.
    pub inventory_asked: Option<Timestamp>,
    /// Attempts of this scheduler that are open there.
    pub open: usize,
    avoid_until: Timestamp,
    reported_at: Timestamp,
    running: u32,
    waiting: u32,
    prefill_backlog: u64,
    resident: u64,
    pinned: u64,
    unseen: VecDeque<UnseenDispatch>,
    unseen_prefill: u64,
    unseen_ends: VecDeque<Timestamp>,
}

impl EngineEntry {
    pub(crate) fn new(joined: EngineDescription, now: Timestamp) -> Self {
        Self {
            id: joined.engine,
            incarnation: joined.incarnation,
            one_way_delay: joined.one_way_delay,
            models: joined.models,
            capacity: joined.capacity,
            availability: Availability::Serving,
            circuit: Circuit::default(),
            cache_sequence: None,
            inventory_asked: None,
            open: 0,
            avoid_until: Timestamp::ZERO,
            reported_at: now,
            running: 0,
            waiting: 0,
            prefill_backlog: 0,
            resident: 0,
            pinned: 0,
            unseen: VecDeque::new(),
            unseen_prefill: 0,
            unseen_ends: VecDeque::new(),
        }
    }

    /// Takes the engine back into service; a new life starts empty.
    pub(crate) fn rejoin(&mut self, joined: EngineDescription, now: Timestamp) {
        if joined.incarnation != self.incarnation {
            let open = self.open;
            *self = Self::new(joined, now);
            self.open = open;
            return;
        }
        self.one_way_delay = joined.one_way_delay;
        self.models = joined.models;
        self.capacity = joined.capacity;
        self.availability = Availability::Serving;
    }

    pub(crate) fn take_report(&mut self, report: &EngineReport) {
        if report.incarnation > self.incarnation {
            self.incarnation = report.incarnation;
            self.cache_sequence = None;
            self.circuit = Circuit::default();
            self.reported_at = Timestamp::ZERO;
        }
        // Reports may overtake each other on the way.
        if report.reported_at < self.reported_at {
            return;
        }
        self.reported_at = report.reported_at;
        self.running = report.running;
        self.waiting = report.waiting;
        self.prefill_backlog = report.prefill_backlog.0;
        self.resident = report.resident.0;
        self.pinned = report.pinned.0;
        self.forget_seen();
    }

    /// Whether an attempt may be sent.
    pub(crate) fn accepts(&self, now: Timestamp) -> bool {
        self.availability == Availability::Serving
            && now >= self.avoid_until
            && self.circuit.allows(now)
    }

    /// Counts a dispatch until a report includes it.
    pub(crate) fn dispatched(&mut self, attempt: AttemptId, prefill: u64, now: Timestamp) {
        self.open += 1;
        self.circuit.sent();
        self.unseen.push_back(UnseenDispatch { attempt, sent_at: now, prefill });
        self.unseen_prefill += prefill;
    }

    /// Notes that an attempt answers: its prefill is done.
    pub(crate) fn answers(&mut self, attempt: AttemptId) {
        if let Some(place) = self.unseen.iter().position(|one| one.attempt == attempt) {
            self.unseen_prefill -= std::mem::take(&mut self.unseen[place].prefill);
        }
    }

    /// Counts an attempt's end until a report includes it.
    pub(crate) fn ended(&mut self, attempt: AttemptId, now: Timestamp) {
        self.open = self.open.saturating_sub(1);
        match self.unseen.iter().position(|one| one.attempt == attempt) {
            Some(place) => {
                let ended = self.unseen.remove(place);
                self.unseen_prefill -= ended.map_or(0, |one| one.prefill);
            }
            None => self.unseen_ends.push_back(now),
        }
    }

    /// Leaves the engine alone for a moment.
    pub(crate) fn overloaded(&mut self, now: Timestamp) {
        self.avoid_until = now + OVERLOAD_PAUSE;
    }

    /// Attempts that are probably there, running or waiting.
    pub(crate) fn expected_attempts(&self) -> f64 {
        let reported = f64::from(self.running) + f64::from(self.waiting);
        let since = self.unseen.len() as f64 - self.unseen_ends.len() as f64;
        (reported + since).max(self.unseen.len() as f64).max(0.0)
    }

    /// Tokens that are probably still to be prefilled: those reported, less what the engine got
    /// done meanwhile, and those dispatched since.
    pub(crate) fn expected_backlog(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.reported_at).as_secs_f64();
        let done = passed * self.capacity.prefill_per_second;
        (self.prefill_backlog as f64 + self.unseen_prefill as f64 - done)
            .max(self.recent_prefill(now))
    }

    /// Attempts that wait for a place, as reported.
    pub(crate) fn waiting(&self) -> f64 {
        f64::from(self.waiting)
    }

    /// Attempts in the batch, as reported.
    pub(crate) fn running(&self) -> f64 {
        f64::from(self.running)
    }

    /// Time of a decode step with the batch that is probably there.
    pub(crate) fn step_seconds(&self) -> f64 {
        let batch = self.expected_attempts().min(f64::from(self.capacity.max_batch));
        let base = self.capacity.step_base.as_secs_f64();
        base + batch * self.capacity.step_per_sequence.as_secs_f64()
    }

    /// KV that is not in use and not needed by what was dispatched since the report.
    pub(crate) fn free_tokens(&self) -> u64 {
        let used = self.resident + self.unseen_prefill;
        self.capacity.kv_tokens.0.saturating_sub(used)
    }

    /// Fraction of KV in use.
    pub(crate) fn occupancy(&self) -> f64 {
        self.resident as f64 / self.capacity.kv_tokens.0.max(1) as f64
    }

    /// Fraction of KV that running attempts use, with those dispatched since.
    pub(crate) fn pinned_fraction(&self) -> f64 {
        let pinned = self.pinned + self.unseen_prefill;
        pinned as f64 / self.capacity.kv_tokens.0.max(1) as f64
    }

    /// Prefill dispatched so lately that the engine cannot have done it.
    fn recent_prefill(&self, now: Timestamp) -> f64 {
        let Some(first) = self.unseen.front() else { return 0.0 };
        let passed = now.since(first.sent_at + self.one_way_delay).as_secs_f64();
        (self.unseen_prefill as f64 - passed * self.capacity.prefill_per_second).max(0.0)
    }

    fn forget_seen(&mut self) {
        while let Some(first) = self.unseen.front() {
            if first.sent_at + self.one_way_delay > self.reported_at {
                break;
            }
            self.unseen_prefill -= first.prefill;
            self.unseen.pop_front();
        }
        while self.unseen_ends.front().is_some_and(|ended| *ended <= self.reported_at) {
            self.unseen_ends.pop_front();
        }
    }
}
