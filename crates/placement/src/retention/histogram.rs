//! A fading histogram of pause lengths with logarithmic buckets.

use dahlia_types::Duration;

use super::{PauseEnd, PausePlan};

/// Buckets; each is wider than the one before by the factor of [`GROWTH`].
const BUCKETS: usize = 32;
/// Upper edge of the first bucket in seconds.
const FIRST_EDGE: f64 = 0.25;
/// Growth of the edges. The last one lies at 0.25 x 1.4^31, about 2.4 hours.
const GROWTH: f64 = 1.4;
/// Weight of the prior, spread evenly over the buckets up to about half an hour.
const PRIOR_WEIGHT: f64 = 10.0;
const PRIOR_BUCKETS: usize = 27;
/// Share of the prior that never returns.
const PRIOR_NEVER: f64 = 0.1;

/// How long pauses lasted, and how many never ended.
#[derive(Debug, Clone)]
pub(crate) struct PauseHistogram {
    counts: [f64; BUCKETS],
    never: f64,
    total: f64,
}

impl Default for PauseHistogram {
    fn default() -> Self {
        Self { counts: [0.0; BUCKETS], never: 0.0, total: 0.0 }
    }
}

impl PauseHistogram {
    /// Starts with a weak guess, for the time before anything is observed.
    pub(crate) fn with_prior() -> Self {
        let mut histogram = Self::default();
        let each = PRIOR_WEIGHT * (1.0 - PRIOR_NEVER) / PRIOR_BUCKETS as f64;
        histogram.counts[..PRIOR_BUCKETS].fill(each);
        histogram.never = PRIOR_WEIGHT * PRIOR_NEVER;
        histogram.total = PRIOR_WEIGHT;
        histogram
    }

    /// Weight of everything in it.
    pub(crate) fn weight(&self) -> f64 {
        self.total
    }

    /// Adds a pause; beyond `memory` observations the older ones fade.
    pub(crate) fn add(&mut self, end: PauseEnd, memory: f64) {
        if self.total >= memory {
            self.fade((memory - 1.0).max(0.0) / self.total);
        }
        match end {
            PauseEnd::Returned(length) => self.counts[bucket_of(length)] += 1.0,
            PauseEnd::Never => self.never += 1.0,
        }
        self.total += 1.0;
    }

    /// The plan with the least expected cost, where holding for `break_even` seconds costs as
    /// much as one recomputation.
    ///
    /// Cost of a hold h: E[min(T, h)] / `break_even`, and for pauses longer than h either a
    /// recomputation at each return, P(h < T < never), or a copy out, P(T > h), and one back at
    /// each return.
    pub(crate) fn cheapest(&self, break_even: f64, copy_cost: Option<f64>) -> PausePlan {
        let returning: f64 = self.counts.iter().sum();
        let mut returned = 0.0;
        let mut returned_time = 0.0;
        let mut best = self.after_hold(0.0, 0.0, returning, copy_cost);
        for (bucket, count) in self.counts.iter().enumerate() {
            let edge = edge_of(bucket);
            returned += count;
            returned_time += count * edge / GROWTH.sqrt();
            let held = returned_time + (self.total - returned) * edge;
            let plan = self.after_hold(edge, held / break_even, returning - returned, copy_cost);
            if plan.0 < best.0 {
                best = plan;
            }
        }
        best.1
    }

    /// Cost and plan for a hold that has cost `held`, when the weight of `late` returns later.
    fn after_hold(
        &self,
        hold: f64,
        held: f64,
        late: f64,
        copy_cost: Option<f64>,
    ) -> (f64, PausePlan) {
        let hold = Duration::from_secs_f64(hold);
        let drop = (held + late, PausePlan { hold, offload: false });
        let Some(copy_cost) = copy_cost else { return drop };
        let outlasting = late + self.never;
        let offload = held + copy_cost * (outlasting + late);
        if offload < drop.0 { (offload, PausePlan { hold, offload: true }) } else { drop }
    }

    fn fade(&mut self, factor: f64) {
        for count in &mut self.counts {
            *count *= factor;
        }
        self.never *= factor;
        self.total *= factor;
    }
}

fn edge_of(bucket: usize) -> f64 {
    FIRST_EDGE * GROWTH.powi(bucket as i32)
}

fn bucket_of(length: Duration) -> usize {
    let seconds = length.as_secs_f64();
    if seconds <= FIRST_EDGE {
        return 0;
    }
    let bucket = (seconds / FIRST_EDGE).ln() / GROWTH.ln();
    (bucket.ceil() as usize).min(BUCKETS - 1)
}
