//! Settings of the choice of servers, validated when they are loaded.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Settings of the choice of servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// The maximum load of a server, as a multiple of the mean load of its service. A program that
    /// prefers a server above it goes elsewhere (consistent hashing with bounded loads, Mirrokni
    /// and others 2018).
    pub load_bound: f64,
    /// The same for the server that holds a program's prompt.
    pub keep_bound: f64,
    /// The number of servers that read the same long shared prompt, as a multiple of the servers
    /// that its share of the load fills. The least loaded of more servers is less loaded.
    pub prompt_spread: f64,
    /// The number of tokens from which a shared prompt is long. A shorter one is read at more
    /// servers, such that the total number of tokens read for it stays the same.
    pub long_prompt_tokens: u64,
    /// The minimum number of servers that read the same shared prompt.
    pub least_prompt_servers: u32,
    /// The time constant for averaging loads, in milliseconds.
    pub load_span_ms: u64,
    /// The maximum number of this daemon's attempts at one server, as a multiple of its slots.
    pub most_per_slot: f64,
    /// How much less loaded a server in another zone must be to be chosen, as a share of its slots.
    pub zone_penalty: f64,
    /// By how many milliseconds servers of another region must answer sooner, round trip included,
    /// to receive work while the own region's servers take it. This is what the bytes between
    /// regions are worth.
    pub region_margin_ms: u64,
    /// How long a server receives no requests after it refused an attempt as full, in milliseconds.
    pub refused_pause_ms: u64,
    /// How long a server receives no requests after it could not be reached, in milliseconds.
    /// Doubles with each further failure to reach it.
    pub unreachable_pause_ms: u64,
    /// The maximum of that pause, in milliseconds.
    pub longest_pause_ms: u64,
    /// The decayed count of failed answers from which a server is chosen only if there is no other.
    pub suspect_failures: f64,
    /// The half-life of the count of failed answers, in milliseconds.
    pub failure_half_life_ms: u64,
    /// A server that takes more than this many times the median time of its service to answer is
    /// chosen only if there is no other.
    pub slow_factor: f64,
    /// The number of answers that a server's mean time needs before it is used.
    pub slow_samples: u32,
    /// A server that answers within this many milliseconds never counts as slow.
    pub slow_floor_ms: u64,
    /// The interval at which a slow server is tried once, in milliseconds.
    pub slow_retry_ms: u64,
    /// The half-life of the weight of an old answer, in milliseconds.
    pub latency_half_life_ms: u64,
    /// The maximum number of requests per second from all gateways to a cold server, as a multiple
    /// of what its service states that it can handle.
    pub cold_excess: f64,
    /// Further requests per second that are allowed on top of that.
    pub cold_slack: f64,
    /// Whether requests for model servers go to the server where they are expected to end first.
    pub by_expected_end: bool,
    /// The number of gateways from which they do. With fewer, each gateway sees enough of a
    /// server's load in its own attempts, and a program is better served where its prompt is.
    pub expected_end_gateways: usize,
    /// The number of prompt tokens that a model server reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// A program leaves the server that holds its prompt if a turn costs this many times as much
    /// there as elsewhere, including the time to read the prompt elsewhere.
    pub leave_factor: f64,
    /// Of two servers, the one where a request ends later by this share of the lowest expected time
    /// is drawn 1/e times as often.
    pub near_end_share: f64,
    /// By how many milliseconds a request must end sooner in another zone to go there.
    pub zone_margin_ms: u64,
    /// The maximum age of loads that other daemons reported, in milliseconds. Older reports are
    /// ignored.
    pub view_bound_ms: u64,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            load_bound: 1.5,
            keep_bound: 3.0,
            load_span_ms: 500,
            prompt_spread: 4.0,
            // The length of the prompts for which `prompt_spread` was determined. A prompt of 512
            // tokens takes a server that reads 65 in a millisecond 8 ms, so all servers may read
            // it.
            long_prompt_tokens: 12_600,
            least_prompt_servers: 2,
            most_per_slot: 2.0,
            zone_penalty: 0.4,
            // A caller notices tenths of a second. A turn sent to another region pays for its bytes
            // each time.
            region_margin_ms: 50,
            refused_pause_ms: 100,
            unreachable_pause_ms: 250,
            longest_pause_ms: 4_000,
            suspect_failures: 2.0,
            failure_half_life_ms: 2_000,
            slow_factor: 2.5,
            slow_samples: 5,
            slow_floor_ms: 30,
            slow_retry_ms: 1_000,
            latency_half_life_ms: 2_000,
            cold_excess: 1.0,
            cold_slack: 0.0,
            by_expected_end: true,
            expected_end_gateways: 24,
            read_tokens_per_ms: 100.0,
            leave_factor: 3.0,
            near_end_share: 0.2,
            zone_margin_ms: 5,
            // After this time most of the reported attempts have ended.
            view_bound_ms: 1_000,
        }
    }
}

impl BackendSettings {
    pub(crate) fn view_bound(&self) -> Duration {
        Duration::from_millis(self.view_bound_ms)
    }

    pub(crate) fn load_span(&self) -> Duration {
        Duration::from_millis(self.load_span_ms)
    }

    /// Validates every field.
    ///
    /// # Errors
    /// The first field with an invalid value.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("backends.load_bound", self.load_bound, 1.0, 100.0)?;
        check_range("backends.keep_bound", self.keep_bound, 1.0, 100.0)?;
        check_range("backends.prompt_spread", self.prompt_spread, 1.0, 1_000.0)?;
        check_range("backends.long_prompt_tokens", self.long_prompt_tokens, 1, 1_000_000)?;
        check_range("backends.least_prompt_servers", self.least_prompt_servers, 1, 1_000)?;
        check_range("backends.load_span_ms", self.load_span_ms, 1, 60_000)?;
        check_range("backends.most_per_slot", self.most_per_slot, 0.1, 1_000.0)?;
        check_range("backends.zone_penalty", self.zone_penalty, 0.0, 10.0)?;
        check_range("backends.region_margin_ms", self.region_margin_ms, 0, 60_000)?;
        check_range("backends.refused_pause_ms", self.refused_pause_ms, 1, 60_000)?;
        let longest = self.longest_pause_ms;
        check_range("backends.longest_pause_ms", longest, 1, 3_600_000)?;
        check_range("backends.unreachable_pause_ms", self.unreachable_pause_ms, 1, longest)?;
        check_range("backends.suspect_failures", self.suspect_failures, 0.5, 1_000.0)?;
        check_range("backends.failure_half_life_ms", self.failure_half_life_ms, 10, 3_600_000)?;
        check_range("backends.slow_factor", self.slow_factor, 1.0, 1_000.0)?;
        check_range("backends.slow_samples", self.slow_samples, 1, 1_000)?;
        check_range("backends.slow_floor_ms", self.slow_floor_ms, 0, 60_000)?;
        check_range("backends.slow_retry_ms", self.slow_retry_ms, 1, 3_600_000)?;
        check_range("backends.latency_half_life_ms", self.latency_half_life_ms, 10, 3_600_000)?;
        check_range("backends.cold_excess", self.cold_excess, 0.1, 100.0)?;
        check_range("backends.cold_slack", self.cold_slack, 0.0, 1_000_000.0)?;
        check_range("backends.read_tokens_per_ms", self.read_tokens_per_ms, 0.01, 1_000_000.0)?;
        let most_gateways = 100_000;
        check_range(
            "backends.expected_end_gateways",
            self.expected_end_gateways,
            0,
            most_gateways,
        )?;
        check_range("backends.leave_factor", self.leave_factor, 1.0, 1_000.0)?;
        check_range("backends.near_end_share", self.near_end_share, 0.0, 10.0)?;
        check_range("backends.zone_margin_ms", self.zone_margin_ms, 0, 60_000)?;
        check_range("backends.view_bound_ms", self.view_bound_ms, 1, 60_000)
    }
}
