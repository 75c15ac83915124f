//! One tenant's limit: its permits, its active programs, and which request may pass when.
//!
//! Requests of active programs go first. Another program starts only where the limit leaves room for its
//! further requests, since a program that is refused its seventh turn has wasted six.

use std::collections::HashMap;

use dahlia_types::{Duration, Timestamp};

use crate::lost_history::LostHistory;
use crate::permits::Permits;
use crate::programs::{ActivePrograms, ProgramStats};
use crate::{LimitSettings, PastRequests, ProgramKey, ProgramProgress, Verdict, VersionedLimit};

/// The longest retry time that a caller is given. Callers that are given a longer one do not come back
/// at it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// How early a program may come back, since clocks and links are not exact.
const MAX_EARLY_RETURN: Duration = Duration::from_millis(20);
/// How late a program may come back and still go before others.
const MAX_LATE_RETURN: Duration = Duration::from_millis(500);
/// Time between program starts, as a multiple of the time in which the permits for one come back. It is
/// above one so that the number of waiting requests falls: in a model of 73 gateways, 0.97 instead of
/// 0.95 of those that come back at their retry time are served.
const START_SPACING_FACTOR: f64 = 1.1;
/// The share of a program's mean duration that its start may wait. Callers want programs done within
/// some two fifths more than their time without waits, and later turns wait too.
const MAX_START_WAIT_SHARE: f64 = 0.3;
/// The shortest program duration in seconds that is used as a divisor.
const MIN_PROGRAM_DURATION_S: f64 = 0.1;

/// A keeper's state of one tenant's limit.
#[derive(Debug)]
pub(crate) struct TenantLimit {
    generation: u64,
    permits: Permits,
    programs: ActivePrograms,
    /// When another program may start. Some programs that wait start before it.
    next_start: Timestamp,
    /// When refused programs were told to come back.
    return_times: HashMap<ProgramKey, Timestamp>,
    /// The earliest time at which the next refused program is told to come back.
    next_program_return: Timestamp,
    /// The earliest time at which the next other refused request is told to come back.
    next_request_return: Timestamp,
    used_at: Timestamp,
}

/// When a request may pass.
pub(crate) struct Turn {
    wait: Duration,
    /// The time until the next turn of the same kind.
    spacing: Duration,
    /// Whether a program starts with the request.
    starts_program: bool,
    /// The longest time that the request may wait: a program that waits longer ends too late to be of
    /// use.
    max_wait: Duration,
}

impl Turn {
    fn program_start(wait: Duration, spacing: Duration) -> Self {
        Self { wait, spacing, starts_program: true, max_wait: MAX_RETRY_AFTER }
    }
}

impl TenantLimit {
    /// Creates the state of a tenant of which nothing is known, at a keeper that started at
    /// `keeper_started_at`.
    pub(crate) fn new(
        settings: &LimitSettings,
        limit: VersionedLimit,
        keeper_started_at: Timestamp,
        now: Timestamp,
    ) -> Self {
        Self {
            generation: limit.generation,
            permits: Permits::new(settings, limit.limit, keeper_started_at, now),
            programs: ActivePrograms::default(),
            next_start: Timestamp::ZERO,
            return_times: HashMap::new(),
            next_program_return: Timestamp::ZERO,
            next_request_return: Timestamp::ZERO,
            used_at: now,
        }
    }

    /// Puts a limit in force if it is newer, whichever gateway sent it.
    pub(crate) fn update_limit(&mut self, limit: VersionedLimit, now: Timestamp) {
        self.used_at = now;
        if self.generation < limit.generation {
            self.generation = limit.generation;
            self.permits.set_limit(limit.limit, now);
        }
    }

    pub(crate) fn was_used_within(&self, time: Duration, now: Timestamp) -> bool {
        now.since(self.used_at) < time
    }

    /// Returns the permits available now.
    pub(crate) fn available(&mut self, now: Timestamp) -> f64 {
        self.permits.available(now)
    }

    /// Sets what passed before this keeper and is unknown.
    pub(crate) fn set_lost_history(&mut self, lost: Option<LostHistory>) {
        self.permits.set_lost_history(lost);
    }

    /// Records how many requests gateways asked for.
    pub(crate) fn record_requested(&mut self, requests: f64) {
        self.permits.record_requested(requests);
    }

    /// Sets the share of gateways that are unreachable, and since when.
    pub(crate) fn set_unreachable(&mut self, unreachable: Option<(f64, Timestamp)>) {
        if let Some(reservation) = self.permits.reservation() {
            reservation.set_unreachable(unreachable);
        }
    }

    /// Updates the reservation for gateways that have not reported since permits became scarce: these
    /// still use their share of what was free before.
    pub(crate) fn update_reservation(
        &mut self,
        settings: &LimitSettings,
        gateways: usize,
        unreported_share_since: impl Fn(Timestamp) -> f64,
        now: Timestamp,
    ) {
        let (limit, Some(tolerance)) = (self.permits.limit(), settings.tolerance()) else { return };
        let Permits::Window(window) = &mut self.permits else { return };
        let free = tolerance.allowance(limit) * settings.scarce_window_share;
        window
            .reservation()
            .set_free_per_gateway((free + tolerance.margin(limit)) / gateways.max(1) as f64);
        if let Some((since, known_at)) = window.reservation().recent_scarcity(now) {
            let may_run_out = window.may_run_out(known_at, now);
            window.reservation().set_unreported_share(unreported_share_since(since), may_run_out);
        }
    }

    /// Counts requests that passed some time ago and that this keeper has not counted.
    pub(crate) fn count_past(&mut self, past: &[PastRequests], now: Timestamp) {
        for passed in past.iter().filter(|passed| !passed.is_restart_marker()) {
            self.permits.take_past(f64::from(passed.requests), passed.age, now);
        }
    }

    /// Whether some gateways may not have reported yet what passed under the previous keeper.
    pub(crate) fn is_catching_up(&self, now: Timestamp) -> bool {
        self.permits.is_catching_up(now)
    }

    /// Counts requests that passed without this keeper, and refunds those that were not used.
    pub(crate) fn count(
        &mut self,
        passed: &[Option<ProgramKey>],
        refunded: &[Option<ProgramKey>],
        now: Timestamp,
    ) {
        self.permits.take(passed.len() as f64, Duration::ZERO, now);
        self.permits.refund(refunded.len() as f64, now);
        for program in passed.iter().flatten() {
            self.programs.record_request(*program, now);
        }
        for program in refunded.iter().flatten() {
            self.programs.refund(*program);
        }
    }

    pub(crate) fn has_active_program(&self, program: ProgramKey) -> bool {
        self.programs.is_active(program)
    }

    /// Takes a program for active of which requests have passed.
    pub(crate) fn resume_program(
        &mut self,
        program: ProgramKey,
        progress: ProgramProgress,
        now: Timestamp,
    ) {
        if progress.requests > 0 && matches!(self.permits, Permits::Window(_)) {
            self.programs.resume(program, progress, now);
        }
    }

    /// Removes programs that have ended and adds them to the statistics.
    pub(crate) fn expire_programs(
        &mut self,
        settings: &LimitSettings,
        stats: &mut ProgramStats,
        now: Timestamp,
    ) {
        self.programs.expire(settings.program_idle_timeout(), stats, now);
    }

    /// Whether gateways must ask. In a window, the requests that active programs still need are not
    /// available to others.
    pub(crate) fn is_scarce(
        &mut self,
        settings: &LimitSettings,
        stats: &ProgramStats,
        now: Timestamp,
    ) -> bool {
        let capacity = self.permits.capacity();
        let available = self.permits.available_by_reports(now);
        if matches!(self.permits, Permits::Bucket(_)) {
            return available < self.permits.limit().burst() * settings.scarce_share;
        }
        let threshold = capacity * settings.scarce_window_share;
        let needed = self.programs.expected_requests(stats, settings.program_idle_timeout(), now);
        let is_scarce = available < threshold || available - needed < threshold;
        if let Some(reservation) = self.permits.reservation() {
            reservation.record_scarcity(is_scarce, now);
        }
        is_scarce
    }

    /// Returns when there is a permit. Requests that wait have theirs already, so they are counted.
    pub(crate) fn next_permit(&mut self, now: Timestamp) -> Turn {
        let wait = self.permits.time_until(1.0, now);
        Turn {
            wait,
            spacing: self.refill_time(1.0),
            starts_program: false,
            max_wait: MAX_RETRY_AFTER,
        }
    }

    /// Returns when a program's request may pass. Requests of active programs pass while there are
    /// permits. Another program starts where the limit leaves room for its further requests beside those
    /// of the others.
    pub(crate) fn program_turn(
        &mut self,
        program: ProgramKey,
        stats: &ProgramStats,
        settings: &LimitSettings,
        now: Timestamp,
    ) -> Turn {
        if self.programs.is_active(program) {
            return self.next_permit(now);
        }
        if matches!(self.permits, Permits::Window(_)) {
            return self.program_start_in_window(program, stats, settings, now);
        }
        let spacing = self.refill_time(stats.mean_requests() * START_SPACING_FACTOR);
        if self.returns_on_time(program, now) {
            let wait = self.permits.time_until(1.0, now);
            return Turn::program_start(wait, spacing);
        }
        let reserve = (self.permits.limit().burst() * settings.reserve_share).max(1.0);
        let max_programs = self.max_programs(stats, settings.program_idle_timeout(), reserve, now);
        let excess = (self.programs.len() as f64 + 1.0 - max_programs).max(0.0);
        let wait = self.refill_time(excess * stats.mean_requests());
        let wait = wait.max(self.permits.time_until(reserve, now));
        Turn::program_start(wait.max(self.next_start.since(now)), spacing)
    }

    /// Returns when a program may start in a window: by the time that it ends, there must be room for all
    /// its requests beside those that active programs still need.
    fn program_start_in_window(
        &mut self,
        program: ProgramKey,
        stats: &ProgramStats,
        settings: &LimitSettings,
        now: Timestamp,
    ) -> Turn {
        let spacing = self.refill_time(stats.mean_requests() * START_SPACING_FACTOR);
        let first_permit = self.permits.time_until(1.0, now);
        if self.returns_on_time(program, now) {
            return Turn::program_start(first_permit, spacing);
        }
        let needed = self.programs.expected_requests(stats, settings.program_idle_timeout(), now);
        let all_permits = self.permits.time_until(needed + stats.mean_requests(), now);
        let wait = Duration::from_micros(
            all_permits.as_micros().saturating_sub(stats.mean_duration().as_micros()),
        );
        let wait = wait.max(first_permit);
        let max_wait =
            Duration::from_secs_f64(stats.mean_duration().as_secs_f64() * MAX_START_WAIT_SHARE);
        Turn { max_wait, ..Turn::program_start(wait, spacing) }
    }

    /// Whether a program comes back at the time that it was given. It then goes before others, so that
    /// the time holds. Programs are given times one after the other, as far apart as they can start.
    fn returns_on_time(&mut self, program: ProgramKey, now: Timestamp) -> bool {
        self.return_times.retain(|_, time| now.since(*time) < MAX_LATE_RETURN);
        self.return_times.get(&program).is_some_and(|time| *time <= now + MAX_EARLY_RETURN)
    }

    /// Returns how many programs may be active at once. Their requests a second may add up to the rate,
    /// plus or minus what the bucket holds or lacks, spread over the time that they still take: on
    /// average half of a program's duration. A program counts until it was idle for long enough to have
    /// ended.
    fn max_programs(
        &mut self,
        stats: &ProgramStats,
        idle_timeout: Duration,
        reserve: f64,
        now: Timestamp,
    ) -> f64 {
        let duration = stats.mean_duration().as_secs_f64().max(MIN_PROGRAM_DURATION_S);
        let from_bucket = (self.permits.available(now) - reserve) / (duration / 2.0);
        let per_second = self.permits.limit().per_second() + from_bucket;
        per_second * (duration + idle_timeout.as_secs_f64()) / stats.mean_requests()
    }

    /// Keeps a program that may have started active until its refused request comes back: callers wait
    /// longer for that than programs are otherwise idle. A caller that is told to wait for more than a
    /// window may not come back.
    fn await_return(&mut self, program: ProgramKey, returns_at: Timestamp, now: Timestamp) {
        if let Permits::Window(window) = &self.permits {
            let returns_at = returns_at.min(now + window.length());
            self.programs.record_return_time(program, returns_at);
        }
    }

    /// Returns the time in which as many permits come back.
    fn refill_time(&self, permits: f64) -> Duration {
        Duration::from_secs_f64(permits / self.permits.limit().per_second())
    }

    /// Decides a request. If its turn comes soon enough, its permit is taken now. Otherwise it is refused
    /// with a time after those that others were given.
    pub(crate) fn decide(
        &mut self,
        program: Option<ProgramKey>,
        turn: Turn,
        max_wait: Duration,
        now: Timestamp,
    ) -> Verdict {
        let Turn { wait, spacing, starts_program, .. } = turn;
        if wait > max_wait.min(turn.max_wait) {
            return Verdict::Refuse { retry_after: self.assign_return(program, turn, now) };
        }
        let had_return_time =
            program.is_some_and(|program| self.return_times.remove(&program).is_some());
        if starts_program && (had_return_time || wait > Duration::ZERO) {
            self.next_start = self.next_start.max(now + wait) + spacing;
        }
        self.permits.take(1.0, wait, now);
        if let Some(program) = program {
            self.programs.record_request(program, now + wait);
        }
        Verdict::Pass { after: wait }
    }

    /// Returns the time after which a refused caller should retry, after those that others were given.
    fn assign_return(
        &mut self,
        program: Option<ProgramKey>,
        turn: Turn,
        now: Timestamp,
    ) -> Duration {
        let Turn { wait, spacing, starts_program, .. } = turn;
        let assigned = program.and_then(|program| self.return_times.get(&program)).copied();
        if let Some(assigned) = assigned.filter(|_| starts_program) {
            return assigned.max(now + wait).since(now);
        }
        let next = if starts_program {
            &mut self.next_program_return
        } else {
            &mut self.next_request_return
        };
        let time = (*next).max(now + wait);
        if time.since(now) > MAX_RETRY_AFTER {
            return MAX_RETRY_AFTER;
        }
        *next = time + spacing;
        if let Some(program) = program {
            self.return_times.insert(program, time);
            if !starts_program {
                self.await_return(program, time, now);
            }
        }
        time.since(now)
    }
}
