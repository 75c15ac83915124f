//! The estimated state of one engine.

use std::collections::VecDeque;

use dahlia_types::{AttemptId, Duration, EngineId, Incarnation, ModelId, Timestamp};

use crate::circuit_breaker::CircuitBreaker;
use crate::{EngineCapacity, EngineDescription, EngineReport};

/// How long no attempt is sent to an engine that refused one as overloaded.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(500);

/// Whether an engine takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It takes new work.
    Serving,
    /// It only finishes the attempts that it has.
    Leaving,
    /// It has left, and its cache with it.
    Gone,
}

/// A dispatched attempt that no load report includes yet.
#[derive(Debug, Clone, Copy)]
struct UnreportedDispatch {
    attempt: AttemptId,
    sent_at: Timestamp,
    /// Tokens that the engine still has to prefill for it.
    prefill: u64,
}

/// An engine's last load report and what happened since.
#[derive(Debug, Clone)]
pub(crate) struct EngineEntry {
    pub id: EngineId,
    pub incarnation: Incarnation,
    pub one_way_delay: Duration,
    pub models: Vec<ModelId>,
    pub capacity: EngineCapacity,
    pub availability: Availability,
    pub breaker: CircuitBreaker,
    /// Sequence number of the last cache event; none before the first.
    pub last_cache_sequence: Option<u64>,
    /// When its inventory was last requested.
    pub inventory_requested_at: Option<Timestamp>,
    /// Attempts of this scheduler that are open on the engine.
    pub open_attempts: usize,
    /// No attempt is sent before this time, after the engine refused one as overloaded.
    paused_until: Timestamp,
    reported_at: Timestamp,
    running: u32,
    waiting: u32,
    prefill_backlog: u64,
    resident: u64,
    pinned: u64,
    unreported_dispatches: VecDeque<UnreportedDispatch>,
    unreported_prefill: u64,
    unreported_ends: VecDeque<Timestamp>,
}

impl EngineEntry {
    pub(crate) fn new(description: EngineDescription, now: Timestamp) -> Self {
        Self {
            id: description.engine,
            incarnation: description.incarnation,
            one_way_delay: description.one_way_delay,
            models: description.models,
            capacity: description.capacity,
            availability: Availability::Serving,
            breaker: CircuitBreaker::default(),
            last_cache_sequence: None,
            inventory_requested_at: None,
            open_attempts: 0,
            paused_until: Timestamp::ZERO,
            reported_at: now,
            running: 0,
            waiting: 0,
            prefill_backlog: 0,
            resident: 0,
            pinned: 0,
            unreported_dispatches: VecDeque::new(),
            unreported_prefill: 0,
            unreported_ends: VecDeque::new(),
        }
    }

    /// Updates the description and takes the engine back into service. After a restart all
    /// estimates are reset.
    pub(crate) fn update(&mut self, description: EngineDescription, now: Timestamp) {
        if description.incarnation != self.incarnation {
            let open_attempts = self.open_attempts;
            *self = Self::new(description, now);
            self.open_attempts = open_attempts;
            return;
        }
        self.one_way_delay = description.one_way_delay;
        self.models = description.models;
        self.capacity = description.capacity;
        self.availability = Availability::Serving;
    }

    pub(crate) fn apply_report(&mut self, report: &EngineReport) {
        if report.incarnation > self.incarnation {
            self.incarnation = report.incarnation;
            self.last_cache_sequence = None;
            self.breaker = CircuitBreaker::default();
            self.reported_at = Timestamp::ZERO;
        }
        // Reports may arrive out of order.
        if report.reported_at < self.reported_at {
            return;
        }
        self.reported_at = report.reported_at;
        self.running = report.running;
        self.waiting = report.waiting;
        self.prefill_backlog = report.prefill_backlog.0;
        self.resident = report.resident.0;
        self.pinned = report.pinned.0;
        self.drop_reported();
    }

    /// Whether an attempt may be sent at `now`.
    pub(crate) fn accepts(&self, now: Timestamp) -> bool {
        self.availability == Availability::Serving
            && now >= self.paused_until
            && self.breaker.allows(now)
    }

    /// Counts a dispatch until a report includes it.
    pub(crate) fn record_dispatch(&mut self, attempt: AttemptId, prefill: u64, now: Timestamp) {
        self.open_attempts += 1;
        self.breaker.record_send();
        self.unreported_dispatches.push_back(UnreportedDispatch { attempt, sent_at: now, prefill });
        self.unreported_prefill += prefill;
    }

    /// Records that an attempt's first token arrived, so its prefill is done.
    pub(crate) fn record_first_token(&mut self, attempt: AttemptId) {
        if let Some(index) =
            self.unreported_dispatches.iter().position(|dispatch| dispatch.attempt == attempt)
        {
            self.unreported_prefill -=
                std::mem::take(&mut self.unreported_dispatches[index].prefill);
        }
    }

    /// Counts an attempt's end until a report includes it.
    pub(crate) fn record_end(&mut self, attempt: AttemptId, now: Timestamp) {
        self.open_attempts = self.open_attempts.saturating_sub(1);
        match self.unreported_dispatches.iter().position(|dispatch| dispatch.attempt == attempt) {
            Some(index) => {
                let ended = self.unreported_dispatches.remove(index);
                self.unreported_prefill -= ended.map_or(0, |dispatch| dispatch.prefill);
            }
            None => self.unreported_ends.push_back(now),
        }
    }

    /// Sends no attempts for [`OVERLOAD_PAUSE`], after a refusal for overload.
    pub(crate) fn pause_dispatches(&mut self, now: Timestamp) {
        self.paused_until = now + OVERLOAD_PAUSE;
    }

    /// Estimated attempts on the engine, running or waiting.
    pub(crate) fn expected_attempts(&self) -> f64 {
        let reported = f64::from(self.running) + f64::from(self.waiting);
        let since_report =
            self.unreported_dispatches.len() as f64 - self.unreported_ends.len() as f64;
        (reported + since_report).max(self.unreported_dispatches.len() as f64).max(0.0)
    }

    /// Estimated tokens still to be prefilled: the reported backlog and what was dispatched since,
    /// less what the engine has processed since the report.
    pub(crate) fn expected_backlog(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.reported_at).as_secs_f64();
        let done = passed * self.capacity.prefill_per_second;
        (self.prefill_backlog as f64 + self.unreported_prefill as f64 - done)
            .max(self.recent_prefill(now))
    }

    /// Attempts that wait for a place in the batch, as reported.
    pub(crate) fn waiting(&self) -> f64 {
        f64::from(self.waiting)
    }

    /// Attempts in the batch, as reported.
    pub(crate) fn running(&self) -> f64 {
        f64::from(self.running)
    }

    /// Estimated time of a decode step with the current batch, in seconds.
    pub(crate) fn step_seconds(&self) -> f64 {
        let batch = self.expected_attempts().min(f64::from(self.capacity.max_batch));
        let base = self.capacity.step_base.as_secs_f64();
        base + batch * self.capacity.step_per_sequence.as_secs_f64()
    }

    /// Tokens of KV cache that are neither in use nor needed by attempts dispatched since the
    /// report.
    pub(crate) fn free_tokens(&self) -> u64 {
        let used = self.resident + self.unreported_prefill;
        self.capacity.kv_tokens.0.saturating_sub(used)
    }

    /// Fraction of the KV cache in use.
    pub(crate) fn occupancy(&self) -> f64 {
        self.resident as f64 / self.capacity.kv_tokens.0.max(1) as f64
    }

    /// Fraction of the KV cache that running attempts use, including those dispatched since the
    /// report.
    pub(crate) fn pinned_fraction(&self) -> f64 {
        let pinned = self.pinned + self.unreported_prefill;
        pinned as f64 / self.capacity.kv_tokens.0.max(1) as f64
    }

    /// Lower bound of the prefill that remains of the attempts dispatched since the report: the
    /// engine cannot have processed it yet.
    fn recent_prefill(&self, now: Timestamp) -> f64 {
        let Some(first) = self.unreported_dispatches.front() else { return 0.0 };
        let passed = now.since(first.sent_at + self.one_way_delay).as_secs_f64();
        (self.unreported_prefill as f64 - passed * self.capacity.prefill_per_second).max(0.0)
    }

    /// Drops the dispatches and ends that the last report includes.
    fn drop_reported(&mut self) {
        while let Some(first) = self.unreported_dispatches.front() {
            if first.sent_at + self.one_way_delay > self.reported_at {
                break;
            }
            self.unreported_prefill -= first.prefill;
            self.unreported_dispatches.pop_front();
        }
        while self.unreported_ends.front().is_some_and(|ended_at| *ended_at <= self.reported_at) {
            self.unreported_ends.pop_front();
        }
    }
}
