//! What a gateway admits of one tenant without the keeper.
//!
//! When the keeper last answered, it left the gateway as many requests as passed here in the window
//! before, and its share of the permits that were free then. Within these quotas, all gateways together
//! admit no more than the keeper did.

use std::collections::{BTreeMap, VecDeque};

use dahlia_types::{Duration, Timestamp};

use crate::return_times::ReturnTimes;
use crate::{ProgramKey, ProgramProgress};

/// Requests of a program, assumed where none has been seen.
pub(crate) const DEFAULT_PROGRAM_REQUESTS: f64 = 4.0;
/// How long a program may become without the keeper, as a multiple of the longest other one. A program
/// that loops is stopped by it.
const MAX_PROGRAM_LENGTH_FACTOR: f64 = 4.0;

/// The time for which a keeper reserves permits for unreachable gateways, and for which they use them.
pub const UNREACHABLE_RESERVATION_TIME: Duration = Duration::from_secs(60);

/// A gateway's share of the permits that were free when its keeper last answered.
pub(crate) struct FreePermits {
    /// Permits on top of those in use at the gateway, for [`UNREACHABLE_RESERVATION_TIME`].
    pub(crate) during_reservation: f64,
    /// All permits after that time.
    pub(crate) after_reservation: f64,
    /// Whether permits were scarce.
    pub(crate) is_scarce: bool,
}

/// Requests of one tenant that passed at one gateway within the window, and how many may.
#[derive(Debug, Default)]
pub(crate) struct LocalQuota {
    passed: VecDeque<(Timestamp, Option<ProgramKey>)>,
    /// The most requests that a window may hold until the keeper answers again.
    max_in_window: f64,
    /// The same once the keeper no longer reserves permits for this gateway.
    max_after_reservation: f64,
    last_answer_at: Timestamp,
    /// Whether there may be no permits on top of the quota.
    is_scarce: bool,
    return_times: ReturnTimes,
}

impl LocalQuota {
    /// Records a request that passes.
    pub(crate) fn record(&mut self, program: Option<ProgramKey>, window: Duration, now: Timestamp) {
        self.drop_expired(window, now);
        self.passed.push_back((now, program));
        if let Some(program) = program {
            self.return_times.remove(program);
        }
    }

    /// Sets the quota after an answer of the keeper that leaves these permits to the gateway.
    pub(crate) fn renew(&mut self, free: FreePermits, window: Duration, now: Timestamp) {
        self.drop_expired(window, now);
        self.is_scarce = free.is_scarce;
        self.max_in_window = self.passed.len() as f64 + free.during_reservation;
        self.max_after_reservation = free.after_reservation;
        self.last_answer_at = now;
        self.return_times.clear();
    }

    /// Scales the quota when the tenant's limit is lowered to this part of what it was.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.max_in_window *= factor;
        self.max_after_reservation *= factor;
    }

    /// Returns the time until one more request may pass without the keeper. A program may start where
    /// there is room for as many requests as others had here, beside those still needed by programs
    /// that started without the keeper. A program that was active before may go on.
    pub(crate) fn time_until_room(
        &mut self,
        program: Option<ProgramKey>,
        window: Duration,
        now: Timestamp,
    ) -> Duration {
        self.drop_expired(window, now);
        if now.since(self.last_answer_at) >= UNREACHABLE_RESERVATION_TIME {
            self.max_in_window = self.max_in_window.min(self.max_after_reservation);
            self.is_scarce = true;
        }
        if self.may_go_on(program) {
            return Duration::ZERO;
        }
        let starts = program.is_some_and(|program| {
            self.requests_of(program) == 0 && !self.return_times.contains(program)
        });
        let wanted =
            if starts { self.longest_program(None) + self.needed_by_new_programs() } else { 1.0 };
        let ahead = self.return_times.count_before(program, now) as f64;
        let excess = self.passed.len() as f64 + ahead + wanted - self.max_in_window;
        if excess <= 0.0 {
            return Duration::ZERO;
        }
        let last_to_expire = self.passed.get(excess.ceil() as usize - 1);
        let wait = last_to_expire.map_or(window, |(at, _)| (*at + window).since(now));
        if let Some(program) = program.filter(|_| !starts) {
            self.return_times.assign(program, now + wait);
        }
        wait
    }

    /// Whether any requests are recorded.
    pub(crate) fn has_requests(&self) -> bool {
        !self.passed.is_empty()
    }

    /// Whether a program was active when the keeper last answered and is not far longer than others. The
    /// keeper has reserved what such a program still needs.
    fn may_go_on(&self, program: Option<ProgramKey>) -> bool {
        let Some(program) = program else { return false };
        if self.is_scarce {
            return false;
        }
        let first = self.passed.iter().find(|(_, other)| *other == Some(program));
        let is_known_to_keeper = first.is_some_and(|(at, _)| *at <= self.last_answer_at);
        let requests = self.requests_of(program) as f64;
        is_known_to_keeper
            && requests <= self.longest_program(Some(program)) * MAX_PROGRAM_LENGTH_FACTOR
    }

    /// Returns the requests that programs which started without the keeper still need: the keeper has
    /// reserved nothing for them.
    fn needed_by_new_programs(&self) -> f64 {
        let mut programs: BTreeMap<ProgramKey, (Timestamp, u32)> = BTreeMap::new();
        for (at, program) in &self.passed {
            let Some(program) = program else { continue };
            programs.entry(*program).or_insert((*at, 0)).1 += 1;
        }
        let length = self.longest_program(None);
        let new = programs.into_values().filter(|(started, _)| *started > self.last_answer_at);
        new.map(|(_, requests)| (length - f64::from(requests)).max(0.0)).sum()
    }

    /// Returns what passed of a program. None if nothing did.
    pub(crate) fn progress_of(
        &self,
        program: ProgramKey,
        now: Timestamp,
    ) -> Option<ProgramProgress> {
        let requests = self.passed.iter().filter(|(_, other)| *other == Some(program));
        let mut times = requests.map(|(at, _)| *at);
        let first = times.next()?;
        let (requests, last) = times.fold((1, first), |(requests, _), at| (requests + 1, at));
        Some(ProgramProgress { requests, age: now.since(first), idle: now.since(last) })
    }

    /// Returns the programs that had a request pass within `idle_timeout`.
    pub(crate) fn active_programs(
        &self,
        idle_timeout: Duration,
        now: Timestamp,
    ) -> BTreeMap<ProgramKey, ProgramProgress> {
        let recent = self.passed.iter().rev().take_while(|(at, _)| now.since(*at) < idle_timeout);
        recent
            .filter_map(|(_, program)| *program)
            .filter_map(|program| Some((program, self.progress_of(program, now)?)))
            .collect()
    }

    fn requests_of(&self, program: ProgramKey) -> usize {
        self.passed.iter().filter(|(_, other)| *other == Some(program)).count()
    }

    /// Returns the requests of the longest program here except `excluded`, or the default if that is
    /// more.
    fn longest_program(&self, excluded: Option<ProgramKey>) -> f64 {
        let mut requests: BTreeMap<ProgramKey, u32> = BTreeMap::new();
        let programs = self.passed.iter().filter_map(|(_, program)| *program);
        for program in programs.filter(|program| Some(*program) != excluded) {
            *requests.entry(program).or_default() += 1;
        }
        requests
            .into_values()
            .max()
            .map_or(DEFAULT_PROGRAM_REQUESTS, f64::from)
            .max(DEFAULT_PROGRAM_REQUESTS)
    }

    fn drop_expired(&mut self, window: Duration, now: Timestamp) {
        while self.passed.front().is_some_and(|(at, _)| now.since(*at) >= window) {
            self.passed.pop_front();
        }
    }
}
