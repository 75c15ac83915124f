//! One server as this daemon knows it: its record, this daemon's attempts there, and its failures.

use dahlia_types::{Duration, Timestamp};

use crate::cold_limiter::ColdState;
use crate::latency::Latency;
use crate::reported_load::ReportedLoad;
use crate::smoothed_count::SmoothedCount;
use crate::time_per_token::TimePerToken;
use crate::{
    AttemptEnd, BackendRecord, BackendSettings, BackendState, ServerDigest, ServerLoad, TokenTimes,
    TurnSize,
};

/// The number of doublings after which the pause no longer grows; it bounds the shift.
const MAX_DOUBLINGS: u32 = 10;
/// The maximum count of failures, as a multiple of the count that makes a server suspect.
const MAX_FAILURES_FACTOR: f64 = 3.0;

/// One server.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub record: BackendRecord,
    /// This daemon's attempts that have not ended.
    pub in_flight: u32,
    /// When an attempt last began.
    pub last_sent_at: Option<Timestamp>,
    /// The tokens of memory that these attempts need when they end.
    reserved_tokens: u64,
    /// `in_flight`, averaged over time.
    average_in_flight: SmoothedCount,
    /// Whether the server itself reported that it is leaving, or that another server has its
    /// address.
    reported_leaving: bool,
    /// Whether the current record from discovery cannot be used.
    pub is_withdrawn: bool,
    /// The server receives no requests until then, because it had disappeared.
    pub probation_until: Timestamp,
    /// When discovery listed the server again after it had disappeared, or may have; none if it never had.
    pub listed_again_at: Option<Timestamp>,
    /// The server receives no requests until then.
    paused_until: Timestamp,
    consecutive_unreachable: u32,
    failures: f64,
    failures_updated_at: Timestamp,
    latency: Latency,
    /// From then on the server may be tried although it is slow.
    slow_retry_at: Timestamp,
    pub cold_state: ColdState,
    pub time_per_token: TimePerToken,
    /// The times of this daemon's tokens that other daemons have not received yet.
    unreported_times: TokenTimes,
    /// The load that other daemons reported.
    reported_load: Option<ReportedLoad>,
}

impl Server {
    pub(crate) fn new(record: BackendRecord, now: Timestamp) -> Self {
        Self {
            record,
            in_flight: 0,
            last_sent_at: None,
            reserved_tokens: 0,
            average_in_flight: SmoothedCount::default(),
            reported_leaving: false,
            is_withdrawn: false,
            probation_until: Timestamp::ZERO,
            listed_again_at: None,
            paused_until: Timestamp::ZERO,
            consecutive_unreachable: 0,
            failures: 0.0,
            failures_updated_at: now,
            latency: Latency::default(),
            slow_retry_at: Timestamp::ZERO,
            cold_state: ColdState::default(),
            time_per_token: TimePerToken::default(),
            unreported_times: TokenTimes::default(),
            reported_load: None,
        }
    }

    pub(crate) fn digest(&self) -> ServerDigest {
        ServerDigest::of(&self.record.id)
    }

    /// Whether the server takes new work.
    pub(crate) fn takes_work(&self) -> bool {
        !self.is_ending() && !self.is_withdrawn
    }

    /// Whether the server is about to end. Either discovery or the server itself may say so.
    pub(crate) fn is_ending(&self) -> bool {
        self.record.state != BackendState::Ready || self.reported_leaving
    }

    /// Whether the server had disappeared, and has not been listed again for long enough by a list that is known until then.
    pub(crate) fn is_on_probation(&self, known_until: Timestamp) -> bool {
        known_until < self.probation_until
    }

    /// Whether the server receives no requests for a moment.
    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// Returns the remaining time of the pause, or of the probation if that is longer.
    pub(crate) fn remaining_pause(&self, now: Timestamp, known_until: Timestamp) -> Duration {
        self.paused_until.since(now).max(self.probation_until.since(known_until))
    }

    /// Whether this daemon has the maximum number of attempts there.
    pub(crate) fn is_full(&self, settings: &BackendSettings) -> bool {
        f64::from(self.in_flight) >= f64::from(self.record.slots) * settings.most_per_slot
    }

    /// Whether the server failed so often recently that others are better.
    pub(crate) fn is_suspect(&self, settings: &BackendSettings, now: Timestamp) -> bool {
        self.decayed_failures(settings, now) >= settings.suspect_failures
    }

    /// Returns this daemon's attempts per slot.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.record.slots.max(1))
    }

    /// Returns this daemon's attempts, averaged over time.
    pub(crate) fn average_attempts(&self, settings: &BackendSettings, now: Timestamp) -> f64 {
        self.average_in_flight.average_at(self.in_flight, settings.load_span(), now)
    }

    /// Sets the average of this daemon's attempts, as if the server had carried that load before.
    /// Otherwise a new server would look idle to all daemons at the same moment.
    pub(crate) fn assume_average_load(&mut self, average_attempts: f64, now: Timestamp) {
        self.average_in_flight = SmoothedCount::with_average(average_attempts, now);
    }

    /// Returns the mean time to an answer, or `None` while there are too few samples.
    pub(crate) fn latency(&self, settings: &BackendSettings) -> Option<Duration> {
        self.latency.mean(settings)
    }

    /// Whether the server is avoided because it answers later than `threshold`. It is still tried
    /// now and then, to find out whether it has recovered.
    pub(crate) fn is_slow(
        &self,
        threshold: Option<Duration>,
        settings: &BackendSettings,
        now: Timestamp,
    ) -> bool {
        let is_late =
            self.latency(settings).zip(threshold).is_some_and(|(mean, threshold)| mean > threshold);
        is_late && now < self.slow_retry_at
    }

    /// Returns the load that other daemons reported, unless the report is older than `max_age`.
    pub(crate) fn recent_reported_load(
        &self,
        max_age: Duration,
        now: Timestamp,
    ) -> Option<ReportedLoad> {
        self.reported_load.filter(|load| load.age(max_age, now).is_some())
    }

    /// Records the load of other daemons. Of two reports the later one counts, whatever the order
    /// of their arrival.
    pub(crate) fn record_reported_load(&mut self, load: ReportedLoad) {
        if self.reported_load.is_none_or(|before| before.measured_at <= load.measured_at) {
            self.reported_load = Some(load);
        }
    }

    /// Returns the tokens of memory that this daemon's attempts need when they end.
    pub(crate) fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Reserves the memory of an attempt.
    pub(crate) fn reserve(&mut self, size: TurnSize) {
        self.reserved_tokens = self.reserved_tokens.saturating_add(size.total());
    }

    /// Releases the memory of an attempt.
    pub(crate) fn release(&mut self, size: TurnSize) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(size.total());
    }

    /// Records the times between tokens of one of this daemon's streams.
    pub(crate) fn record_token_times(&mut self, times: TokenTimes, now: Timestamp) {
        self.time_per_token.record(times, now);
        let unreported = &mut self.unreported_times;
        unreported.tokens = unreported.tokens.saturating_add(times.tokens);
        unreported.micros = unreported.micros.saturating_add(times.micros);
    }

    /// Returns the load that this daemon causes, for other daemons. Token times are reported once.
    pub(crate) fn take_load_report(&mut self) -> ServerLoad {
        ServerLoad {
            server: self.digest(),
            in_flight: self.in_flight.try_into().unwrap_or(u16::MAX),
            tokens: self.reserved_tokens.try_into().unwrap_or(u32::MAX),
            times: std::mem::take(&mut self.unreported_times),
        }
    }

    pub(crate) fn begin_attempt(&mut self, settings: &BackendSettings, now: Timestamp) {
        self.cold_state.record_sent(now);
        self.average_in_flight.record(self.in_flight, settings.load_span(), now);
        self.in_flight += 1;
        self.last_sent_at = Some(now);
        if now >= self.slow_retry_at {
            self.slow_retry_at = now + Duration::from_millis(settings.slow_retry_ms);
        }
    }

    pub(crate) fn record_response_time(
        &mut self,
        time: Duration,
        settings: &BackendSettings,
        now: Timestamp,
    ) {
        self.latency.record(time, settings, now);
    }

    /// Records that an attempt ended without an answer after this time. It shows only that an
    /// answer takes longer.
    pub(crate) fn record_unanswered(
        &mut self,
        time: Duration,
        settings: &BackendSettings,
        now: Timestamp,
    ) {
        if self.latency.is_at_most(time) {
            self.latency.record(time, settings, now);
        }
    }

    pub(crate) fn end_attempt(
        &mut self,
        end: AttemptEnd,
        settings: &BackendSettings,
        now: Timestamp,
    ) {
        self.average_in_flight.record(self.in_flight, settings.load_span(), now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.reserved_tokens = 0;
        }
        match end {
            AttemptEnd::Answered => self.consecutive_unreachable = 0,
            AttemptEnd::Dropped | AttemptEnd::Cancelled => {}
            AttemptEnd::Refused => self.pause(settings.refused_pause_ms, now),
            AttemptEnd::Leaving => self.reported_leaving = true,
            AttemptEnd::Broken | AttemptEnd::Failed => {
                self.add_failures(1.0, settings, now);
            }
            AttemptEnd::Unreachable => self.pause_unreachable(settings, now),
        }
    }

    /// Adds failures that this daemon or another one saw.
    pub(crate) fn add_failures(&mut self, count: f64, settings: &BackendSettings, now: Timestamp) {
        // The count is bounded, so that a server that has recovered is soon tried again.
        let max_failures = settings.suspect_failures * MAX_FAILURES_FACTOR;
        self.failures = (self.decayed_failures(settings, now) + count).min(max_failures);
        self.failures_updated_at = now;
    }

    fn pause_unreachable(&mut self, settings: &BackendSettings, now: Timestamp) {
        let doublings = self.consecutive_unreachable.min(MAX_DOUBLINGS);
        let pause = settings.unreachable_pause_ms << doublings;
        self.consecutive_unreachable += 1;
        self.pause(pause.min(settings.longest_pause_ms), now);
    }

    fn pause(&mut self, millis: u64, now: Timestamp) {
        let until = now + Duration::from_millis(millis);
        self.paused_until = self.paused_until.max(until);
    }

    fn decayed_failures(&self, settings: &BackendSettings, now: Timestamp) -> f64 {
        let half_life = Duration::from_millis(settings.failure_half_life_ms).as_secs_f64();
        let age = now.since(self.failures_updated_at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / half_life)
    }
}
