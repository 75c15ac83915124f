//! What a gateway itself lets pass of one tenant, and how much of it without a word from the keeper.
//!
//! As many as passed here in the window that ended with the keeper's last word, and this gateway's part of
//! what the keeper left free then. All gateways together so let no more pass than the keeper did.

use std::collections::{BTreeMap, VecDeque};

use dahlia_types::{Duration, Timestamp};

use crate::ProgramKey;

/// Requests of a program where none has been seen.
pub(crate) const FIRST_NEED: f64 = 4.0;
/// How far beyond the others a program may go without the keeper's word: one that loops is stopped.
const MOST_OF_NEED: f64 = 4.0;

/// How long a keeper leaves permits to gateways that are out of reach, and these go by them.
pub const UNREACHABLE_RESERVATION_TIME: Duration = Duration::from_secs(60);

/// A gateway's part of what a keeper left free when it was heard last.
pub(crate) struct FreeEach {
    /// Permits beyond those in use here.
    pub(crate) now: f64,
    /// Permits for the time after [`UNREACHABLE_RESERVATION_TIME`].
    pub(crate) spare: f64,
    /// Whether permits were scarce.
    pub(crate) is_scarce: bool,
}

/// Requests of one tenant that passed at one gateway within the window.
#[derive(Debug, Default)]
pub(crate) struct Own {
    passed: VecDeque<(Timestamp, Option<ProgramKey>)>,
    /// The most that a window may hold until the keeper is heard again.
    most: f64,
    /// The same once the keeper counts no more on what passes here.
    most_later: f64,
    heard_at: Timestamp,
    /// Whether there may be no room beyond that.
    is_scarce: bool,
}

impl Own {
    /// A request passes.
    pub(crate) fn note(&mut self, program: Option<ProgramKey>, window: Duration, now: Timestamp) {
        self.forget(window, now);
        self.passed.push_back((now, program));
    }

    /// The keeper is heard, and leaves this gateway so many more.
    pub(crate) fn heard(&mut self, free: FreeEach, window: Duration, now: Timestamp) {
        self.forget(window, now);
        self.is_scarce = free.is_scarce;
        self.most = self.passed.len() as f64 + free.now;
        self.most_later = free.spare;
        self.heard_at = now;
    }

    /// The tenant's limit is this part of what it was.
    pub(crate) fn lowered_to(&mut self, part: f64) {
        self.most *= part;
        self.most_later *= part;
    }

    /// When one more may pass without the keeper. A program begins where there is room for as many
    /// requests as others had here, beside what those still need that began without the keeper; one that
    /// was under way before goes on.
    pub(crate) fn time_until_room(
        &mut self,
        program: Option<ProgramKey>,
        window: Duration,
        now: Timestamp,
    ) -> Duration {
        self.forget(window, now);
        if now.since(self.heard_at) >= UNREACHABLE_RESERVATION_TIME {
            self.most = self.most.min(self.most_later);
            self.is_scarce = true;
        }
        if self.goes_on(program) {
            return Duration::ZERO;
        }
        let begins = program.is_some_and(|program| self.requests_of(program) == 0);
        let wanted = if begins { self.need(None) + self.promised() } else { 1.0 };
        let beyond = self.passed.len() as f64 + wanted - self.most;
        if beyond <= 0.0 {
            return Duration::ZERO;
        }
        let until = self.passed.get(beyond.ceil() as usize - 1);
        until.map_or(window, |(at, _)| (*at + window).since(now))
    }

    /// Whether anything is counted here.
    pub(crate) fn is_kept(&self) -> bool {
        !self.passed.is_empty()
    }

    /// Whether a program was under way when the keeper was heard, and is no longer than others by far. The
    /// keeper has set aside what such a program still needs.
    fn goes_on(&self, program: Option<ProgramKey>) -> bool {
        let Some(program) = program else { return false };
        if self.is_scarce {
            return false;
        }
        let began = self.passed.iter().find(|(_, seen)| *seen == Some(program));
        let was_heard_of = began.is_some_and(|(at, _)| *at <= self.heard_at);
        let seen = self.requests_of(program) as f64;
        was_heard_of && seen <= self.need(Some(program)) * MOST_OF_NEED
    }

    /// What programs that began without the keeper still need: it has set nothing aside for them.
    fn promised(&self) -> f64 {
        let mut begun: BTreeMap<ProgramKey, (Timestamp, u32)> = BTreeMap::new();
        for (at, program) in &self.passed {
            let Some(program) = program else { continue };
            begun.entry(*program).or_insert((*at, 0)).1 += 1;
        }
        let need = self.need(None);
        let since = begun.into_values().filter(|(began, _)| *began > self.heard_at);
        since.map(|(_, seen)| (need - f64::from(seen)).max(0.0)).sum()
    }

    fn requests_of(&self, program: ProgramKey) -> usize {
        self.passed.iter().filter(|(_, seen)| *seen == Some(program)).count()
    }

    /// Requests of the longest program here beside one, or what is usual elsewhere.
    fn need(&self, beside: Option<ProgramKey>) -> f64 {
        let mut requests: BTreeMap<ProgramKey, u32> = BTreeMap::new();
        let programs = self.passed.iter().filter_map(|(_, program)| *program);
        for program in programs.filter(|program| Some(*program) != beside) {
            *requests.entry(program).or_default() += 1;
        }
        requests.into_values().max().map_or(FIRST_NEED, f64::from).max(FIRST_NEED)
    }

    fn forget(&mut self, window: Duration, now: Timestamp) {
        while self.passed.front().is_some_and(|(at, _)| now.since(*at) >= window) {
            self.passed.pop_front();
        }
    }
}
