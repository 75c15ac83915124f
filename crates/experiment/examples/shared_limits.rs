//! Compares strategies that enforce a tenant's rate limit over many daemons, by their messages and
//! violations.
//!
//! `cargo run --release -p dahlia-experiment --example shared_limits`
//!
//! One tenant may have `LIMIT_PER_SECOND` calls a second. Its calls reach `DAEMON_COUNT` daemons in
//! unequal shares. The four strategies are: a fixed share for each daemon; shares recomputed every
//! second from reported demand;
//! escrow (O'Neil 1986), where a daemon asks the tenant's home daemon for a batch of permits; and
//! bounded ignorance (Krishnakumar and Bernstein 1994), where each daemon admits by the total it
//! knows and may make `BATCH_PERMITS` admissions before it has to report them.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const DAEMON_COUNT: usize = 37;
const LIMIT_PER_SECOND: f64 = 50.0;
const RUN_SECONDS: usize = 600;
const SLOTS_PER_SECOND: usize = 100;
/// The one-way delay between daemons, in slots of 10 ms.
const DELAY_SLOTS: usize = 1;
const BATCH_PERMITS: f64 = 5.0;
/// The factor of the limit above which a second counts as violated.
const TOLERANCE_FACTOR: f64 = 1.05;

/// The measurements of one run.
#[derive(Debug, Default)]
struct Counts {
    requested: f64,
    admitted: f64,
    messages: f64,
    violated_seconds: usize,
    max_load: f64,
    /// Calls refused in seconds in which at most the limit was requested.
    needless_refusals: f64,
}

/// A strategy for sharing the limit. `admit` decides a call. `advance_slot` and `end_second` advance
/// time and return the number of messages sent.
trait Strategy {
    fn name(&self) -> &'static str;
    fn admit(&mut self, daemon: usize, slot: usize) -> bool;
    fn advance_slot(&mut self, slot: usize) -> f64;
    fn end_second(&mut self, requested: &[f64]) -> f64;
}

/// Token buckets that refill by each daemon's share of the limit, with a burst of one second.
struct Shares {
    recompute: bool,
    share: Vec<f64>,
    permits: Vec<f64>,
}

impl Shares {
    fn new(recompute: bool) -> Self {
        let equal = LIMIT_PER_SECOND / DAEMON_COUNT as f64;
        Self { recompute, share: vec![equal; DAEMON_COUNT], permits: vec![0.0; DAEMON_COUNT] }
    }
}

impl Strategy for Shares {
    fn name(&self) -> &'static str {
        if self.recompute { "shares by demand" } else { "fixed shares" }
    }

    fn admit(&mut self, daemon: usize, _slot: usize) -> bool {
        take_permit(&mut self.permits[daemon])
    }

    fn advance_slot(&mut self, _slot: usize) -> f64 {
        for (permits, share) in self.permits.iter_mut().zip(&self.share) {
            let filled = *permits + share / SLOTS_PER_SECOND as f64;
            *permits = filled.min(share.max(1.0));
        }
        0.0
    }

    fn end_second(&mut self, requested: &[f64]) -> f64 {
        if !self.recompute {
            return 0.0;
        }
        let total: f64 = requested.iter().map(|demand| demand + 0.2).sum();
        for (share, demand) in self.share.iter_mut().zip(requested) {
            *share = LIMIT_PER_SECOND * (demand + 0.2) / total;
        }
        // Only daemons with demand send a report and receive a response.
        2.0 * requested.iter().filter(|demand| **demand > 0.0).count() as f64
    }
}

/// Permits that the tenant's home daemon grants in batches.
struct Escrow {
    home_permits: f64,
    permits: Vec<f64>,
    /// The arrival slot and permit count of each pending grant.
    pending: Vec<Option<(usize, f64)>>,
}

impl Strategy for Escrow {
    fn name(&self) -> &'static str {
        "escrow"
    }

    fn admit(&mut self, daemon: usize, slot: usize) -> bool {
        if self.permits[daemon] <= 1.0 && self.pending[daemon].is_none() {
            let batch = BATCH_PERMITS.min(self.home_permits.floor());
            self.home_permits -= batch;
            self.pending[daemon] = Some((slot + 2 * DELAY_SLOTS, batch));
        }
        take_permit(&mut self.permits[daemon])
    }

    fn advance_slot(&mut self, slot: usize) -> f64 {
        self.home_permits =
            (self.home_permits + LIMIT_PER_SECOND / SLOTS_PER_SECOND as f64).min(LIMIT_PER_SECOND);
        let mut messages = 0.0;
        for (permits, pending) in self.permits.iter_mut().zip(&mut self.pending) {
            if let Some((_, batch)) = pending.take_if(|(at, _)| *at <= slot) {
                *permits += batch;
                messages += 2.0;
            }
        }
        messages
    }

    fn end_second(&mut self, _wanted: &[f64]) -> f64 {
        0.0
    }
}

/// Admission by the known total of the second, with a bounded number of unreported admissions.
struct BoundedIgnorance {
    known: f64,
    unreported: Vec<f64>,
    messages: f64,
}

impl Strategy for BoundedIgnorance {
    fn name(&self) -> &'static str {
        "bounded ignorance"
    }

    fn admit(&mut self, daemon: usize, _slot: usize) -> bool {
        if self.known + self.unreported[daemon] + 1.0 > LIMIT_PER_SECOND {
            return false;
        }
        self.unreported[daemon] += 1.0;
        if self.unreported[daemon] >= BATCH_PERMITS {
            self.known += std::mem::take(&mut self.unreported[daemon]);
            // Reports go to the other daemons that have calls of the tenant. Here all receive them at
            // once.
            self.messages += DAEMON_COUNT as f64 - 1.0;
        }
        true
    }

    fn advance_slot(&mut self, _slot: usize) -> f64 {
        std::mem::take(&mut self.messages)
    }

    fn end_second(&mut self, _wanted: &[f64]) -> f64 {
        self.known = 0.0;
        self.unreported.fill(0.0);
        0.0
    }
}

fn take_permit(permits: &mut f64) -> bool {
    if *permits < 1.0 {
        return false;
    }
    *permits -= 1.0;
    true
}

fn main() {
    println!(
        "limit {LIMIT_PER_SECOND}/s, {DAEMON_COUNT} daemons, {RUN_SECONDS} s, batch {BATCH_PERMITS}"
    );
    println!(
        "{:<18} {:>7} {:>10} {:>10} {:>12} {:>10} {:>10}",
        "way", "demand", "admitted", "msgs/call", "violated s", "worst", "needless"
    );
    for demand in [0.7, 0.95, 1.5, 4.0] {
        let mut strategies: Vec<Box<dyn Strategy>> = vec![
            Box::new(Shares::new(false)),
            Box::new(Shares::new(true)),
            Box::new(Escrow {
                home_permits: LIMIT_PER_SECOND,
                permits: vec![0.0; DAEMON_COUNT],
                pending: vec![None; DAEMON_COUNT],
            }),
            Box::new(BoundedIgnorance {
                known: 0.0,
                unreported: vec![0.0; DAEMON_COUNT],
                messages: 0.0,
            }),
        ];
        for strategy in &mut strategies {
            let counts = run(strategy.as_mut(), demand);
            println!(
                "{:<18} {:>7.2} {:>10.3} {:>10.2} {:>12} {:>10.2} {:>10.3}",
                strategy.name(),
                demand,
                counts.admitted / counts.requested,
                counts.messages / counts.admitted,
                counts.violated_seconds,
                counts.max_load,
                counts.needless_refusals / counts.requested,
            );
        }
    }
    println!("admitted: share of calls; worst: busiest second over the limit's value;");
    println!("needless: share of calls refused in seconds that wanted less than the limit");
}

fn run(strategy: &mut dyn Strategy, demand: f64) -> Counts {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut counts = Counts::default();
    // A tenant has few programs compared with the number of daemons, so shares follow Zipf's law.
    let weights: Vec<f64> = (1..=DAEMON_COUNT).map(|rank| 1.0 / rank as f64).collect();
    let total_weight: f64 = weights.iter().sum();
    for second in 0..RUN_SECONDS {
        let mut requested = vec![0.0; DAEMON_COUNT];
        let (mut admitted, mut refused) = (0.0, 0.0);
        for slot in second * SLOTS_PER_SECOND..(second + 1) * SLOTS_PER_SECOND {
            counts.messages += strategy.advance_slot(slot);
            for (daemon, weight) in weights.iter().enumerate() {
                let rate =
                    LIMIT_PER_SECOND * demand * weight / total_weight / SLOTS_PER_SECOND as f64;
                if !random.random_bool(rate.min(1.0)) {
                    continue;
                }
                requested[daemon] += 1.0;
                if strategy.admit(daemon, slot) { admitted += 1.0 } else { refused += 1.0 }
            }
        }
        counts.messages += strategy.end_second(&requested);
        let total: f64 = requested.iter().sum();
        counts.requested += total;
        counts.admitted += admitted;
        counts.max_load = counts.max_load.max(admitted / LIMIT_PER_SECOND);
        counts.violated_seconds += usize::from(admitted > LIMIT_PER_SECOND * TOLERANCE_FACTOR);
        counts.needless_refusals += if total <= LIMIT_PER_SECOND { refused } else { 0.0 };
    }
    counts
}
