//! Settings of a scheduler, checked at load.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Which policy places calls.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// Engines in turn.
    RoundRobin,
    /// The engine with the fewest attempts.
    LeastLoaded,
    /// A program stays with its first engine; first come, first served.
    StickyFcfs,
    /// Least expected cost; least attained service first; bounded waits; managed cache.
    #[default]
    ProgramAware,
}

impl PolicyKind {
    /// Every policy, baselines first.
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

/// Placement by expected cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostSettings {
    /// Engines drawn at random and compared, beside those with a cached prefix.
    pub sample_size: usize,
    /// Weight of the time that others lose when their cache is evicted.
    pub eviction_weight: f64,
    /// Weight of the prefix's recomputation; above 1, as it also delays everyone behind it.
    pub recompute_weight: f64,
    /// Costs this close to the best count as equal; the choice among them is random.
    pub tie: Duration,
    /// What must be gained for leaving the engine that has most of the prompt.
    pub move_penalty: Duration,
    /// A smaller part of the prompt is computed again rather than copied.
    pub least_copied: u64,
    /// Tokens that a call generates when nothing is learnt yet.
    pub expected_generated: u64,
    /// A call waits here rather than at an engine whose queue is expected to be longer.
    pub dispatch_horizon: Duration,
    /// The same for a program's first call: programs under way come first, so that what they
    /// have cached is used again before it is evicted.
    pub first_call_horizon: Duration,
    /// Fraction of KV that running attempts may use before an engine counts as full.
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

/// Order among calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PrioritySettings {
    /// How much later a call counts as ready for each second of service its program has had.
    pub attained_factor: f64,
    /// How much later a call counts as ready for each second of prefill that it needs.
    pub uncached_factor: f64,
    /// The most that a call can be set back. Bounds every call's wait.
    pub most_setback: Duration,
}

impl Default for PrioritySettings {
    fn default() -> Self {
        Self { attained_factor: 0.2, uncached_factor: 20.0, most_setback: Duration::from_secs(30) }
    }
}

/// Keeping or dropping cache over pauses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetentionSettings {
    /// A pause this long costs as much memory as recomputation costs time, with idle memory.
    pub break_even_idle: Duration,
    /// The same when the memory is full.
    pub break_even_full: Duration,
    /// The same with idle memory, where cache can only be dropped and not offloaded.
    pub drop_break_even_idle: Duration,
    /// The same when the memory is full.
    pub drop_break_even_full: Duration,
    /// Longest hold.
    pub longest_hold: Duration,
    /// Pauses remembered per tool, as a weight; older ones fade.
    pub memory: f64,
    /// How long an unconfirmed release waits before it is sent again.
    pub release_retry: Duration,
    /// Shortest time between two inventories asked of one engine.
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

/// Bounded waiting and refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Most calls that wait here, over all models.
    pub queue_limit: usize,
    /// Longest expected wait of a program's first call; above it the call is refused at once.
    pub new_program_wait: Duration,
    /// The same for a later call, whose refusal would waste what the program has cost so far.
    pub continuing_wait: Duration,
    /// Most calls of one tenant that wait here.
    pub tenant_queue_limit: usize,
    /// Most calls of one tenant that are dispatched from here at once.
    pub tenant_in_flight_limit: usize,
    /// Shortest and longest time a caller is told to stay away.
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

/// Retries and ejection of failing engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FailureSettings {
    /// Retries allowed per success (a token bucket).
    pub retries_per_success: f64,
    /// Most retries saved up.
    pub retry_burst: f64,
    /// Most attempts of one call.
    pub most_attempts: u32,
    /// Failures in a row that eject an engine.
    pub eject_after: u32,
    /// First time until a probe; doubles with each failed probe.
    pub probe_after: Duration,
    /// Longest time until a probe.
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
    /// Order among calls.
    pub priority: PrioritySettings,
    /// Cache over pauses.
    pub retention: RetentionSettings,
    /// Bounded waiting and refusal.
    pub admission: AdmissionSettings,
    /// Retries and ejection.
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
