//! Active programs of a tenant, and how many requests a program needs until its end.

use std::collections::BTreeMap;

use dahlia_types::{Duration, Timestamp};

use crate::{ProgramKey, ProgramMeans, ProgramProgress};

/// Requests of a program, assumed until one has ended. Low on purpose: as long as nothing is known,
/// programs should rather start than be refused.
const INITIAL_MEAN_REQUESTS: f64 = 4.0;
/// Seconds from a program's first to its last request, assumed until one has ended.
const INITIAL_MEAN_DURATION_S: f64 = 2.0;
/// Programs that make up most of a mean. Until as many have ended, each has the same weight.
const MEAN_SAMPLES: u32 = 32;
/// The largest sample, as a multiple of the mean. Without a bound, a program that loops without end
/// would distort the mean for the others.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// The most programs of one tenant that are tracked. When there are as many, no program counts as new.
const MAX_ACTIVE_PROGRAMS: usize = 100_000;

/// The highest number of requests by which programs are counted. Longer programs are few, or loop.
const MAX_COUNTED_REQUESTS: usize = 128;
/// Factor by which the weight of older programs falls with each one that ends. Some two hundred
/// programs make up most of the counts.
const COUNT_DECAY: f64 = 0.995;
/// Average gaps between requests, on top of the usual one, after which an idle program has ended.
const GAPS_UNTIL_ENDED: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
struct ActiveProgram {
    requests: u32,
    started_at: Timestamp,
    last_request_at: Timestamp,
}

/// Statistics of programs that have ended, over all tenants of a keeper.
#[derive(Debug, Clone)]
pub(crate) struct ProgramStats {
    mean_requests: f64,
    mean_duration_s: f64,
    /// Number of programs by their requests. Older programs have less weight.
    by_requests: Vec<f64>,
    /// Programs in the means, up to [`MEAN_SAMPLES`].
    samples: u32,
}

impl Default for ProgramStats {
    fn default() -> Self {
        Self {
            mean_requests: INITIAL_MEAN_REQUESTS,
            mean_duration_s: INITIAL_MEAN_DURATION_S,
            by_requests: vec![0.0; MAX_COUNTED_REQUESTS + 1],
            samples: 0,
        }
    }
}

impl ProgramStats {
    /// Returns how many more requests a program sends after `requests`: the mean over programs that had
    /// more than that.
    fn remaining_requests(&self, requests: u32) -> f64 {
        let longer = (requests as usize).min(MAX_COUNTED_REQUESTS - 1) + 1;
        let programs: f64 = self.by_requests[longer..].iter().sum();
        if programs <= 0.0 {
            return (self.mean_requests - f64::from(requests)).max(0.0);
        }
        let counts = self.by_requests[longer..].iter().enumerate();
        counts.map(|(more, programs)| (more + 1) as f64 * programs).sum::<f64>() / programs
    }

    /// Returns the probability that an idle program has not ended.
    fn probability_active(
        &self,
        program: &ActiveProgram,
        idle_timeout: Duration,
        now: Timestamp,
    ) -> f64 {
        let gap = self.mean_duration_s / (self.mean_requests - 1.0).max(1.0);
        let overdue = now.since(program.last_request_at).as_secs_f64() - gap;
        let certain = (gap * GAPS_UNTIL_ENDED).min(idle_timeout.as_secs_f64());
        (1.0 - overdue / certain).clamp(0.0, 1.0)
    }

    /// Mean number of requests of a whole program.
    pub(crate) fn mean_requests(&self) -> f64 {
        self.mean_requests
    }

    /// Mean time from a program's first to its last request.
    pub(crate) fn mean_duration(&self) -> Duration {
        Duration::from_secs_f64(self.mean_duration_s)
    }

    /// Returns the means, unless nothing is known yet.
    pub(crate) fn means(&self) -> Option<ProgramMeans> {
        let is_known = self.samples > 0;
        is_known.then(|| ProgramMeans::new(self.mean_requests, self.mean_duration()))
    }

    /// Starts from the means of an earlier keeper. They weigh as much as programs that have ended here.
    pub(crate) fn inherit(&mut self, means: ProgramMeans) {
        self.mean_requests = means.requests();
        self.mean_duration_s = means.duration.as_secs_f64();
        self.samples = MEAN_SAMPLES;
    }

    fn record(&mut self, ended: &ActiveProgram) {
        let duration_s = ended.last_request_at.since(ended.started_at).as_secs_f64();
        let requests = f64::from(ended.requests).min(self.mean_requests * MAX_SAMPLE_FACTOR);
        self.samples = (self.samples + 1).min(MEAN_SAMPLES);
        let weight = 1.0 / f64::from(self.samples);
        self.by_requests.iter_mut().for_each(|programs| *programs *= COUNT_DECAY);
        self.by_requests[(ended.requests as usize).min(MAX_COUNTED_REQUESTS)] += 1.0;
        self.mean_requests += (requests - self.mean_requests) * weight;
        self.mean_duration_s += (duration_s - self.mean_duration_s) * weight;
    }
}

/// The active programs of one tenant.
#[derive(Debug, Default)]
pub(crate) struct ActivePrograms {
    by_key: BTreeMap<ProgramKey, ActiveProgram>,
    next_expiry: Timestamp,
}

impl ActivePrograms {
    /// Whether a program has sent requests and has not ended. True for all programs once the most are
    /// tracked.
    pub(crate) fn is_active(&self, program: ProgramKey) -> bool {
        self.by_key.contains_key(&program) || self.by_key.len() >= MAX_ACTIVE_PROGRAMS
    }

    /// Records a request of a program.
    pub(crate) fn record_request(&mut self, program: ProgramKey, now: Timestamp) {
        let Some(active) = self.entry(program, now) else { return };
        active.requests += 1;
        active.last_request_at = now;
    }

    /// Returns a program, which is added if it is new. None if there are too many.
    fn entry(&mut self, program: ProgramKey, now: Timestamp) -> Option<&mut ActiveProgram> {
        if self.by_key.len() >= MAX_ACTIVE_PROGRAMS && !self.by_key.contains_key(&program) {
            return None;
        }
        let new = ActiveProgram { requests: 0, started_at: now, last_request_at: now };
        Some(self.by_key.entry(program).or_insert(new))
    }

    /// Adds a program of which requests passed that are not recorded here.
    pub(crate) fn resume(
        &mut self,
        program: ProgramKey,
        progress: ProgramProgress,
        now: Timestamp,
    ) {
        let Some(active) = self.entry(program, now - progress.idle) else { return };
        active.requests = active.requests.max(progress.requests);
        active.started_at = active.started_at.min(now - progress.age);
    }

    /// Records that a refused request of a program comes back at a later time. Until then the program has
    /// not ended.
    pub(crate) fn record_return_time(&mut self, program: ProgramKey, at: Timestamp) {
        if let Some(active) = self.entry(program, at) {
            active.last_request_at = active.last_request_at.max(at);
        }
    }

    /// Removes programs that were idle for `idle_timeout` and adds them to the statistics. It looks
    /// through the programs at most once in half of that time.
    pub(crate) fn expire(
        &mut self,
        idle_timeout: Duration,
        stats: &mut ProgramStats,
        now: Timestamp,
    ) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + Duration::from_micros(idle_timeout.as_micros() / 2);
        self.by_key.retain(|_, program| {
            let is_active = now.since(program.last_request_at) < idle_timeout;
            if !is_active && program.requests > 0 {
                stats.record(program);
            }
            is_active
        });
    }

    /// Takes back a recorded request that has not run.
    pub(crate) fn refund(&mut self, program: ProgramKey) {
        if let Some(active) = self.by_key.get_mut(&program) {
            active.requests = active.requests.saturating_sub(1);
        }
    }

    /// Returns the requests that active programs are expected to send until their ends.
    pub(crate) fn expected_requests(
        &self,
        stats: &ProgramStats,
        idle_timeout: Duration,
        now: Timestamp,
    ) -> f64 {
        let programs = self.by_key.values();
        programs
            .map(|program| {
                stats.remaining_requests(program.requests)
                    * stats.probability_active(program, idle_timeout, now)
            })
            .sum()
    }

    /// Number of programs, including those that have ended but are not idle for long enough to show it.
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }
}
