//! Settings of a scheduler. They are checked when they are loaded.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Which policy places calls.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// Uses engines in turn.
    RoundRobin,
    /// Chooses the engine with the fewest attempts.
    LeastLoaded,
    /// Keeps a program on its engine. Calls are served first come, first served.
    StickyFcfs,
    /// Chooses the engine with the least expected cost. Calls are served by least attained service,
    /// waits are bounded, and cache is held or released by the scheduler.
    #[default]
    ProgramAware,
}

impl PolicyKind {
    /// All policies, baselines first.
    pub const ALL: [Self; 4] =
        [Self::RoundRobin, Self::LeastLoaded, Self::StickyFcfs, Self::ProgramAware];

    /// The name used in settings, reports and on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::StickyFcfs => "sticky-fcfs",
            Self::ProgramAware => "program-aware",
        }
    }
}

/// Settings of placement by expected cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostSettings {
    /// Engines sampled at random and compared, besides those with a cached prefix.
    pub sample_size: usize,
    /// Weight of the time that other programs lose when their cache is evicted.
    pub eviction_weight: f64,
    /// Weight of recomputing the prefix. It is above 1 because recomputation also delays the calls
    /// behind.
    pub recompute_weight: f64,
    /// Costs that exceed the lowest by no more than this count as equal. One of them is chosen at
    /// random.
    pub tie: Duration,
    /// Cost added for leaving the engine that has most of the prompt cached.
    pub move_penalty: Duration,
    /// Least tokens worth copying. A smaller part of the prompt is recomputed.
    pub least_copied: u64,
    /// Tokens that a call is assumed to generate before any call has ended.
    pub expected_generated: u64,
    /// Longest expected queue delay at an engine with which a call is dispatched there. Above it
    /// the call waits in the scheduler.
    pub dispatch_horizon: Duration,
    /// The same for a program's first call. It is shorter because calls of programs under way come
    /// first, so that their cache is used again before it is evicted.
    pub first_call_horizon: Duration,
    /// Fraction of the KV cache that running attempts may use before an engine counts as full.
    pub full_fraction: f64,
}

impl Default for CostSettings {
    fn default() -> Self {
        Self {
            sample_size: 8,
            eviction_weight: 0.5,
            recompute_weight: 1.5,
            tie: Duration::from_millis(20),
            move_penalty: Duration::from_secs(3),
            least_copied: 1000,
            expected_generated: 250,
            dispatch_horizon: Duration::from_secs(10),
            first_call_horizon: Duration::from_millis(50),
            full_fraction: 0.5,
        }
    }
}

/// Settings of the order of calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PrioritySettings {
    /// Setback of a call's priority per second of service that its program attained, in seconds.
    pub attained_factor: f64,
    /// Setback of a call's priority per second of prefill that it needs, in seconds.
    pub uncached_factor: f64,
    /// Largest setback of a call's priority. It bounds every call's wait.
    pub most_setback: Duration,
}

impl Default for PrioritySettings {
    fn default() -> Self {
        Self { attained_factor: 0.2, uncached_factor: 20.0, most_setback: Duration::from_secs(30) }
    }
}

/// Settings of the retention of cache during pauses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetentionSettings {
    /// Holding cache for this long costs as much as recomputing it, when memory is idle.
    pub break_even_idle: Duration,
    /// The same when memory is full.
    pub break_even_full: Duration,
    /// The same when memory is idle and cache can only be dropped, not offloaded.
    pub drop_break_even_idle: Duration,
    /// The same when memory is full and cache can only be dropped.
    pub drop_break_even_full: Duration,
    /// Longest hold.
    pub longest_hold: Duration,
    /// Largest weight of past pauses per tool, in pauses. The older ones decay.
    pub memory: f64,
    /// Delay before an unconfirmed release is sent again.
    pub release_retry: Duration,
    /// Shortest interval between two inventory requests to one engine.
    pub inventory_interval: Duration,
}

impl Default for RetentionSettings {
    fn default() -> Self {
        Self {
            break_even_idle: Duration::from_secs(30),
            break_even_full: Duration::from_secs(15),
            drop_break_even_idle: Duration::from_secs(1200),
            drop_break_even_full: Duration::from_secs(300),
            longest_hold: Duration::from_secs(1800),
            memory: 500.0,
            release_retry: Duration::from_secs(5),
            inventory_interval: Duration::from_secs(10),
        }
    }
}

/// Settings of bounded queues and refusals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Most waiting calls over all models.
    pub queue_limit: usize,
    /// Longest expected wait with which a program's first call is queued. Above it the call is
    /// refused at once.
    pub new_program_wait: Duration,
    /// The same for a later call. It is longer because a refusal would waste what the program has
    /// cost so far.
    pub continuing_wait: Duration,
    /// Most waiting calls of one tenant.
    pub tenant_queue_limit: usize,
    /// Most calls of one tenant in flight at once.
    pub tenant_in_flight_limit: usize,
    /// Shortest and longest delay after which a refused caller may retry.
    pub retry_after: (Duration, Duration),
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_limit: 2000,
            new_program_wait: Duration::from_secs(5),
            continuing_wait: Duration::from_secs(120),
            tenant_queue_limit: 500,
            tenant_in_flight_limit: 500,
            retry_after: (Duration::from_secs(1), Duration::from_secs(120)),
        }
    }
}

/// Settings of retries and of the ejection of failing engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FailureSettings {
    /// Retries allowed per success (a token bucket).
    pub retries_per_success: f64,
    /// Capacity of this token bucket, in retries.
    pub retry_burst: f64,
    /// Most attempts of one call.
    pub most_attempts: u32,
    /// Consecutive failures that eject an engine.
    pub eject_after: u32,
    /// Delay before the first probe of an ejected engine. It doubles with each failed probe.
    pub probe_after: Duration,
    /// Longest delay before a probe.
    pub probe_after_most: Duration,
}

impl Default for FailureSettings {
    fn default() -> Self {
        Self {
            retries_per_success: 0.1,
            retry_burst: 50.0,
            most_attempts: 5,
            eject_after: 3,
            probe_after: Duration::from_secs(2),
            probe_after_most: Duration::from_secs(60),
        }
    }
}

/// All settings of a scheduler.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Placement by expected cost.
    pub cost: CostSettings,
    /// Order of calls.
    pub priority: PrioritySettings,
    /// Retention of cache during pauses.
    pub retention: RetentionSettings,
    /// Bounded queues and refusals.
    pub admission: AdmissionSettings,
    /// Retries and ejection of failing engines.
    pub failure: FailureSettings,
}

impl PlacementSettings {
    /// Checks every field's range.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first field out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        self.check_cost()?;
        self.check_waits()?;
        self.check_failure()
    }

    fn check_cost(&self) -> Result<(), InvalidSetting> {
        let cost = &self.cost;
        check_range("placement.cost.sample_size", cost.sample_size, 1, 64)?;
        check_range("placement.cost.eviction_weight", cost.eviction_weight, 0.0, 100.0)?;
        check_range("placement.cost.recompute_weight", cost.recompute_weight, 0.0, 100.0)?;
        check_range("placement.cost.full_fraction", cost.full_fraction, 0.05, 1.0)?;
        let priority = &self.priority;
        check_range("placement.priority.attained_factor", priority.attained_factor, 0.0, 1e3)?;
        check_range("placement.priority.uncached_factor", priority.uncached_factor, 0.0, 1e3)
    }

    fn check_waits(&self) -> Result<(), InvalidSetting> {
        let retention = &self.retention;
        let micros = retention.break_even_full.as_micros();
        check_range(
            "placement.retention.break_even_full",
            micros,
            1,
            retention.break_even_idle.as_micros(),
        )?;
        check_range(
            "placement.retention.drop_break_even_full",
            retention.drop_break_even_full.as_micros(),
            1,
            retention.drop_break_even_idle.as_micros(),
        )?;
        check_range("placement.retention.memory", retention.memory, 1.0, 1e9)?;
        let admission = &self.admission;
        check_range("placement.admission.queue_limit", admission.queue_limit, 1, 1 << 24)?;
        check_range(
            "placement.admission.tenant_queue_limit",
            admission.tenant_queue_limit,
            1,
            1 << 24,
        )?;
        check_range(
            "placement.admission.tenant_in_flight_limit",
            admission.tenant_in_flight_limit,
            1,
            1 << 24,
        )?;
        let (shortest, longest) = admission.retry_after;
        check_range("placement.admission.retry_after", shortest.as_micros(), 1, longest.as_micros())
    }

    fn check_failure(&self) -> Result<(), InvalidSetting> {
        let failure = &self.failure;
        let retries = failure.retries_per_success;
        check_range("placement.failure.retries_per_success", retries, 0.0, 10.0)?;
        check_range("placement.failure.retry_burst", failure.retry_burst, 0.0, 1e6)?;
        check_range("placement.failure.most_attempts", failure.most_attempts, 1, 1000)?;
        check_range("placement.failure.eject_after", failure.eject_after, 1, 1000)?;
        let first = failure.probe_after.as_micros();
        check_range("placement.failure.probe_after", first, 1, failure.probe_after_most.as_micros())
    }
}
