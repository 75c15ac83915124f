//! Settings of rate limiting: intervals, timeouts and shares.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

use crate::Tolerance;

/// Settings of rate limiting.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Milliseconds between a gateway's reports to a keeper. Requests that a tenant sends in this time
    /// and while the report is on its way pass uncounted: at 4.7 times its rate, 0.3 s amount to 1.4 s
    /// of its rate.
    pub report_interval_ms: u64,
    /// Share of a tenant's rate for one second that a gateway admits before it reports at once. At a
    /// hundredth, the busiest of some seventy gateways admits no more unreported than the rest.
    pub report_share: f64,
    /// Share of the burst below which permits are scarce and gateways ask. The permits that remain cover
    /// requests that are not reported yet.
    pub scarce_share: f64,
    /// Milliseconds for which a gateway asks after it was told that permits are scarce, unless it is
    /// told otherwise. Longer than most gateways wait for the next request of a tenant that is far above
    /// its limit: after this time, a gateway admits that request without asking.
    pub scarce_ms: u64,
    /// Milliseconds that a request waits for the keeper's verdict before the gateway decides by itself.
    /// Some thirty times the usual response time, and less than half of the shortest objective.
    pub answer_timeout_ms: u64,
    /// Milliseconds without an answer to a report after which a gateway limits the tenant to the
    /// gateway's own usual share of requests. Longer than the election of another keeper takes.
    pub silence_ms: u64,
    /// What a gateway admits while it reaches no keeper, as a multiple of its own usual requests.
    pub silent_factor: f64,
    /// Share of the burst that a new keeper starts with, since it does not know what its predecessor
    /// admitted.
    pub first_share: f64,
    /// Milliseconds without a request after which a program is taken to have ended. Longer than the
    /// pauses between the turns and tool calls of nearly all programs.
    pub program_rest_ms: u64,
    /// Share of the burst that no program starts on. It is reserved for active programs that need more
    /// requests than others.
    pub reserve_share: f64,
    /// Seconds of the window that requests are counted in: any span of this length holds no more than
    /// the limit's rate over it and its burst. 0 selects a token bucket, which is stricter.
    pub window_s: f64,
    /// Share of a window's requests that is tolerated above the limit.
    pub tolerated_excess: f64,
    /// Requests in a window that are tolerated on top of that.
    pub tolerated_requests: f64,
    /// With a window: the share of its requests below which permits are scarce and gateways ask.
    /// Tenants at their usual rate stay above it.
    pub scarce_window_share: f64,
    /// Whether programs start only where the limit leaves room for their further requests.
    pub whole_programs: bool,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            report_interval_ms: 300,
            report_share: 0.01,
            scarce_share: 0.75,
            scarce_ms: 5_000,
            answer_timeout_ms: 100,
            silence_ms: 2_000,
            silent_factor: 1.25,
            first_share: 0.25,
            program_rest_ms: 1_000,
            reserve_share: 0.25,
            window_s: 0.0,
            tolerated_excess: 0.0,
            tolerated_requests: 0.0,
            scarce_window_share: 0.4,
            whole_programs: true,
        }
    }
}

impl LimitSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("rate_limits.report_interval_ms", self.report_interval_ms, 10, 10_000)?;
        check_range("rate_limits.report_share", self.report_share, 0.0, 1.0)?;
        check_range("rate_limits.scarce_share", self.scarce_share, 0.0, 1.0)?;
        check_range("rate_limits.scarce_ms", self.scarce_ms, 10, 60_000)?;
        check_range("rate_limits.answer_timeout_ms", self.answer_timeout_ms, 1, 10_000)?;
        check_range("rate_limits.silence_ms", self.silence_ms, 100, 600_000)?;
        check_range("rate_limits.silent_factor", self.silent_factor, 0.0, 100.0)?;
        check_range("rate_limits.first_share", self.first_share, 0.0, 1.0)?;
        check_range("rate_limits.reserve_share", self.reserve_share, 0.0, 1.0)?;
        check_range("rate_limits.window_s", self.window_s, 0.0, 60.0)?;
        check_range("rate_limits.tolerated_excess", self.tolerated_excess, 0.0, 1.0)?;
        check_range("rate_limits.tolerated_requests", self.tolerated_requests, 0.0, 1_000.0)?;
        check_range("rate_limits.scarce_window_share", self.scarce_window_share, 0.0, 1.0)?;
        check_range("rate_limits.program_rest_ms", self.program_rest_ms, 100, 600_000)
    }

    pub(crate) fn report_interval(&self) -> Duration {
        Duration::from_millis(self.report_interval_ms)
    }

    pub(crate) fn scarce_duration(&self) -> Duration {
        Duration::from_millis(self.scarce_ms)
    }

    pub(crate) fn unresponsive_timeout(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    /// The time for which a gateway remembers what it admitted.
    pub(crate) fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s)
    }

    /// The window that the deployment counts in, if it sets one.
    pub(crate) fn tolerance(&self) -> Option<Tolerance> {
        (self.window_s > 0.0).then(|| Tolerance {
            window: Duration::from_secs_f64(self.window_s),
            excess: self.tolerated_excess,
            requests: self.tolerated_requests,
        })
    }

    pub(crate) fn program_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.program_rest_ms)
    }
}
