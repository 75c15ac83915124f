//! One server as this daemon knows it: its record, this daemon's attempts there, its failures.

use dahlia_types::{Duration, Timestamp};

use crate::cold::Warmth;
use crate::heard_load::HeardLoad;
use crate::latency::Latency;
use crate::pace::Pace;
use crate::smoothed::SmoothedCount;
use crate::{
    AttemptEnd, BackendRecord, BackendSettings, BackendState, ServerDigest, ServerLoad, TokenTimes,
    TurnSize,
};

/// Doublings of the pause after which it no longer grows; bounds the shift.
const MOST_DOUBLINGS: u32 = 10;
/// Failures that are counted at most, as a multiple of those that make a server suspect.
const MOST_FAILURES: f64 = 3.0;

/// One server.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub record: BackendRecord,
    /// Attempts of this daemon that have not ended.
    pub in_flight: u32,
    /// Tokens of memory that they need at their ends.
    tokens: u64,
    /// The same attempts, averaged over the time before.
    usual: SmoothedCount,
    /// It said itself that it leaves, or that another server has its address.
    said_leaving: bool,
    /// What discovery says of it cannot be used at present.
    pub is_withdrawn: bool,
    /// It is left alone until then.
    paused_until: Timestamp,
    unreachable_in_a_row: u32,
    failures: f64,
    failures_at: Timestamp,
    latency: Latency,
    /// From then on it may be tried although it is slow.
    try_again_at: Timestamp,
    /// Whether it is cold.
    pub warmth: Warmth,
    /// How soon its tokens come.
    pub pace: Pace,
    /// Of streams of this daemon, since others were told.
    untold: TokenTimes,
    /// What others told of their load of it.
    heard: Option<HeardLoad>,
}

impl Server {
    pub(crate) fn new(record: BackendRecord, now: Timestamp) -> Self {
        Self {
            record,
            in_flight: 0,
            tokens: 0,
            usual: SmoothedCount::default(),
            said_leaving: false,
            is_withdrawn: false,
            paused_until: Timestamp::ZERO,
            unreachable_in_a_row: 0,
            failures: 0.0,
            failures_at: now,
            latency: Latency::default(),
            try_again_at: Timestamp::ZERO,
            warmth: Warmth::default(),
            pace: Pace::default(),
            untold: TokenTimes::default(),
            heard: None,
        }
    }

    pub(crate) fn digest(&self) -> ServerDigest {
        ServerDigest::of(&self.record.id)
    }

    /// Whether it takes new work.
    pub(crate) fn takes_work(&self) -> bool {
        !self.is_ending() && !self.is_withdrawn
    }

    /// Whether it is about to end, by discovery and by its own word; the stricter one counts.
    pub(crate) fn is_ending(&self) -> bool {
        self.record.state != BackendState::Ready || self.said_leaving
    }

    /// Whether it is left alone for a moment.
    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// How long it is still left alone.
    pub(crate) fn pause_left(&self, now: Timestamp) -> Duration {
        self.paused_until.since(now)
    }

    /// Whether this daemon has as many attempts there as it may have.
    pub(crate) fn is_full(&self, settings: &BackendSettings) -> bool {
        f64::from(self.in_flight) >= f64::from(self.record.slots) * settings.most_per_slot
    }

    /// Whether it failed so often of late that others are better.
    pub(crate) fn is_suspect(&self, settings: &BackendSettings, now: Timestamp) -> bool {
        self.faded(settings, now) >= settings.suspect_failures
    }

    /// Attempts of this daemon for each slot.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.record.slots.max(1))
    }

    /// Attempts of this daemon, averaged over the time before.
    pub(crate) fn usual_attempts(&self, settings: &BackendSettings, now: Timestamp) -> f64 {
        self.usual.at(self.in_flight, settings.load_span(), now)
    }

    /// Takes its place among others as if it had carried this load before. To every daemon it would
    /// look emptiest at the same moment otherwise.
    pub(crate) fn join_with(&mut self, usual_attempts: f64, now: Timestamp) {
        self.usual = SmoothedCount::starting_at(usual_attempts, now);
    }

    /// Its mean time to an answer, once there are samples enough.
    pub(crate) fn latency(&self, settings: &BackendSettings) -> Option<Duration> {
        self.latency.mean(settings)
    }

    /// Whether it is left to others because it answers later than `bound`. Now and then it is
    /// tried all the same, to find out whether it has recovered.
    pub(crate) fn is_slow(
        &self,
        bound: Option<Duration>,
        settings: &BackendSettings,
        now: Timestamp,
    ) -> bool {
        let is_late = self.latency(settings).zip(bound).is_some_and(|(mean, bound)| mean > bound);
        is_late && now < self.try_again_at
    }

    /// What others told of their load of it, unless that was longer ago than `most`.
    pub(crate) fn others(&self, most: Duration, now: Timestamp) -> Option<HeardLoad> {
        self.heard.filter(|heard| heard.age(most, now).is_some())
    }

    /// Takes in others' load of it. Of two the later one counts, in whichever order they arrive.
    pub(crate) fn heard(&mut self, load: HeardLoad) {
        if self.heard.is_none_or(|before| before.at <= load.at) {
            self.heard = Some(load);
        }
    }

    /// Tokens of memory that this daemon's attempts need at their ends.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// An attempt needs so much memory.
    pub(crate) fn reserve(&mut self, size: TurnSize) {
        self.tokens = self.tokens.saturating_add(size.total());
    }

    /// An attempt needs its memory no longer.
    pub(crate) fn release(&mut self, size: TurnSize) {
        self.tokens = self.tokens.saturating_sub(size.total());
    }

    /// Tokens of a stream of this daemon came.
    pub(crate) fn record_token_times(&mut self, times: TokenTimes, now: Timestamp) {
        self.pace.add(times, now);
        let untold = &mut self.untold;
        untold.tokens = untold.tokens.saturating_add(times.tokens);
        untold.micros = untold.micros.saturating_add(times.micros);
    }

    /// This daemon's load of it, for others; times are told once.
    pub(crate) fn tell_load(&mut self) -> ServerLoad {
        ServerLoad {
            server: self.digest(),
            in_flight: self.in_flight.try_into().unwrap_or(u16::MAX),
            tokens: self.tokens.try_into().unwrap_or(u32::MAX),
            times: std::mem::take(&mut self.untold),
        }
    }

    pub(crate) fn begin_attempt(&mut self, settings: &BackendSettings, now: Timestamp) {
        self.warmth.note_sent(now);
        self.usual.note(self.in_flight, settings.load_span(), now);
        self.in_flight += 1;
        if now >= self.try_again_at {
            self.try_again_at = now + Duration::from_millis(settings.slow_retry_ms);
        }
    }

    pub(crate) fn record_response_time(
        &mut self,
        time: Duration,
        settings: &BackendSettings,
        now: Timestamp,
    ) {
        self.latency.add(time, settings, now);
    }

    /// An answer that did not come says only that it takes longer than this.
    pub(crate) fn record_unanswered(
        &mut self,
        time: Duration,
        settings: &BackendSettings,
        now: Timestamp,
    ) {
        if self.latency.is_at_most(time) {
            self.latency.add(time, settings, now);
        }
    }

    pub(crate) fn end_attempt(
        &mut self,
        end: AttemptEnd,
        settings: &BackendSettings,
        now: Timestamp,
    ) {
        self.usual.note(self.in_flight, settings.load_span(), now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.tokens = 0;
        }
        match end {
            AttemptEnd::Answered => self.unreachable_in_a_row = 0,
            AttemptEnd::Dropped | AttemptEnd::Cancelled => {}
            AttemptEnd::Refused => self.pause(settings.refused_pause_ms, now),
            AttemptEnd::Leaving => self.said_leaving = true,
            AttemptEnd::Broken | AttemptEnd::Failed => {
                self.add_failures(1.0, settings, now);
            }
            AttemptEnd::Unreachable => self.pause_unreachable(settings, now),
        }
    }

    /// Failures that this daemon or another one saw.
    pub(crate) fn add_failures(&mut self, count: f64, settings: &BackendSettings, now: Timestamp) {
        // Bounded, so that a back end which is sound again is tried again before long.
        let most = settings.suspect_failures * MOST_FAILURES;
        self.failures = (self.faded(settings, now) + count).min(most);
        self.failures_at = now;
    }

    fn pause_unreachable(&mut self, settings: &BackendSettings, now: Timestamp) {
        let doublings = self.unreachable_in_a_row.min(MOST_DOUBLINGS);
        let pause = settings.unreachable_pause_ms << doublings;
        self.unreachable_in_a_row += 1;
        self.pause(pause.min(settings.longest_pause_ms), now);
    }

    fn pause(&mut self, millis: u64, now: Timestamp) {
        let until = now + Duration::from_millis(millis);
        self.paused_until = self.paused_until.max(until);
    }

    fn faded(&self, settings: &BackendSettings, now: Timestamp) -> f64 {
        let half_life = Duration::from_millis(settings.failure_half_life_ms).as_secs_f64();
        let age = now.since(self.failures_at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / half_life)
    }
}
