//! Histogram of pause lengths with logarithmic buckets and decaying weights.

use dahlia_types::Duration;

use super::{PauseOutcome, PausePlan};

/// Number of buckets. Each is wider than the one before by the factor [`EDGE_GROWTH`].
const BUCKET_COUNT: usize = 32;
/// Upper edge of the first bucket.
const FIRST_EDGE_SECONDS: f64 = 0.25;
/// Factor between the edges. The last edge is at 0.25 x 1.4^31 seconds, about 2.4 hours.
const EDGE_GROWTH: f64 = 1.4;
/// Weight of the prior.
const PRIOR_WEIGHT: f64 = 10.0;
/// The prior is spread evenly over this many buckets, up to about half an hour.
const PRIOR_BUCKET_COUNT: usize = 27;
/// Share of the prior's weight for pauses that never end.
const PRIOR_NEVER_SHARE: f64 = 0.1;

/// Weights of pauses by their length, and of those that never ended.
#[derive(Debug, Clone)]
pub(crate) struct PauseHistogram {
    counts: [f64; BUCKET_COUNT],
    never_resumed: f64,
    total_weight: f64,
}

impl Default for PauseHistogram {
    fn default() -> Self {
        Self { counts: [0.0; BUCKET_COUNT], never_resumed: 0.0, total_weight: 0.0 }
    }
}

impl PauseHistogram {
    /// A histogram with a weak prior, for the time before any pause is observed.
    pub(crate) fn with_prior() -> Self {
        let mut histogram = Self::default();
        let each = PRIOR_WEIGHT * (1.0 - PRIOR_NEVER_SHARE) / PRIOR_BUCKET_COUNT as f64;
        histogram.counts[..PRIOR_BUCKET_COUNT].fill(each);
        histogram.never_resumed = PRIOR_WEIGHT * PRIOR_NEVER_SHARE;
        histogram.total_weight = PRIOR_WEIGHT;
        histogram
    }

    /// Weight of all pauses in it.
    pub(crate) fn weight(&self) -> f64 {
        self.total_weight
    }

    /// Adds a pause. The older ones decay so that the total weight stays at most `memory`.
    pub(crate) fn add(&mut self, end: PauseOutcome, memory: f64) {
        if self.total_weight >= memory {
            self.decay((memory - 1.0).max(0.0) / self.total_weight);
        }
        match end {
            PauseOutcome::Resumed(length) => self.counts[bucket_of(length)] += 1.0,
            PauseOutcome::NeverResumed => self.never_resumed += 1.0,
        }
        self.total_weight += 1.0;
    }

    /// Returns the plan with the least expected cost, where holding for `break_even` seconds costs
    /// as much as one recomputation.
    ///
    /// A hold h costs E[min(T, h)] / `break_even`. Pauses longer than h cost either a recomputation
    /// if they end, P(h < T < never), or a copy out, P(T > h), and one back if they end.
    pub(crate) fn cheapest_plan(&self, break_even: f64, copy_cost: Option<f64>) -> PausePlan {
        let ending: f64 = self.counts.iter().sum();
        let mut ended = 0.0;
        let mut ended_seconds = 0.0;
        let mut cheapest = self.plan_after_hold(0.0, 0.0, ending, copy_cost);
        for (bucket, count) in self.counts.iter().enumerate() {
            let edge = edge_of(bucket);
            ended += count;
            ended_seconds += count * edge / EDGE_GROWTH.sqrt();
            let hold_cost = ended_seconds + (self.total_weight - ended) * edge;
            let plan =
                self.plan_after_hold(edge, hold_cost / break_even, ending - ended, copy_cost);
            if plan.0 < cheapest.0 {
                cheapest = plan;
            }
        }
        cheapest.1
    }

    /// Cost and plan after a hold that cost `hold_cost`, when pauses of the weight `ending_later`
    /// end after it.
    fn plan_after_hold(
        &self,
        hold: f64,
        hold_cost: f64,
        ending_later: f64,
        copy_cost: Option<f64>,
    ) -> (f64, PausePlan) {
        let hold = Duration::from_secs_f64(hold);
        let drop = (hold_cost + ending_later, PausePlan { hold, offload: false });
        let Some(copy_cost) = copy_cost else { return drop };
        let outlasting = ending_later + self.never_resumed;
        let offload = hold_cost + copy_cost * (outlasting + ending_later);
        if offload < drop.0 { (offload, PausePlan { hold, offload: true }) } else { drop }
    }

    fn decay(&mut self, factor: f64) {
        for count in &mut self.counts {
            *count *= factor;
        }
        self.never_resumed *= factor;
        self.total_weight *= factor;
    }
}

fn edge_of(bucket: usize) -> f64 {
    FIRST_EDGE_SECONDS * EDGE_GROWTH.powi(bucket as i32)
}

fn bucket_of(length: Duration) -> usize {
    let seconds = length.as_secs_f64();
    if seconds <= FIRST_EDGE_SECONDS {
        return 0;
    }
    let bucket = (seconds / FIRST_EDGE_SECONDS).ln() / EDGE_GROWTH.ln();
    (bucket.ceil() as usize).min(BUCKET_COUNT - 1)
}
