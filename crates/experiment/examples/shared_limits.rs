//! Compares ways to keep a tenant's rate limit over many daemons: messages against violations.
//!
//! `cargo run --release -p dahlia-experiment --example shared_limits`
//!
//! One tenant may have `LIMIT` calls a second. Its calls reach `DAEMONS` daemons in unequal shares.
//! Four ways: a fixed share for each daemon; shares recomputed every second from reported demand;
//! escrow (O'Neil 1986), where a daemon asks the tenant's home daemon for a batch of permits; and
//! bounded ignorance (Krishnakumar and Bernstein 1994), where each daemon admits by the total it
//! knows and may keep `BATCH` admissions to itself before it has to tell.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const DAEMONS: usize = 37;
const LIMIT: f64 = 50.0;
const SECONDS: usize = 600;
const SLOTS_PER_SECOND: usize = 100;
/// One way between daemons, in slots of 10 ms.
const DELAY_SLOTS: usize = 1;
const BATCH: f64 = 5.0;
/// A second counts as violated above this factor of the limit.
const TOLERANCE: f64 = 1.05;

/// Counts of one run.
#[derive(Debug, Default)]
struct Counts {
    wanted: f64,
    admitted: f64,
    messages: f64,
    violated_seconds: usize,
    worst: f64,
    /// Refused in seconds in which less than the limit was wanted.
    needless: f64,
}

/// A way to share the limit. `admit` decides a call; `slot` and `second` pass time.
trait Way {
    fn name(&self) -> &'static str;
    fn admit(&mut self, daemon: usize, slot: usize) -> bool;
    fn slot(&mut self, slot: usize) -> f64;
    fn second(&mut self, wanted: &[f64]) -> f64;
}

/// Permits per daemon that are filled by shares of the limit, with one second's burst.
struct Shares {
    recompute: bool,
    share: Vec<f64>,
    permits: Vec<f64>,
}

impl Shares {
    fn new(recompute: bool) -> Self {
        let equal = LIMIT / DAEMONS as f64;
        Self { recompute, share: vec![equal; DAEMONS], permits: vec![0.0; DAEMONS] }
    }
}

impl Way for Shares {
    fn name(&self) -> &'static str {
        if self.recompute { "shares by demand" } else { "fixed shares" }
    }

    fn admit(&mut self, daemon: usize, _slot: usize) -> bool {
        take(&mut self.permits[daemon])
    }

    fn slot(&mut self, _slot: usize) -> f64 {
        for (permits, share) in self.permits.iter_mut().zip(&self.share) {
            let filled = *permits + share / SLOTS_PER_SECOND as f64;
            *permits = filled.min(share.max(1.0));
        }
        0.0
    }

    fn second(&mut self, wanted: &[f64]) -> f64 {
        if !self.recompute {
            return 0.0;
        }
        let total: f64 = wanted.iter().map(|own| own + 0.2).sum();
        for (share, own) in self.share.iter_mut().zip(wanted) {
            *share = LIMIT * (own + 0.2) / total;
        }
        // Only daemons with demand report and are answered.
        2.0 * wanted.iter().filter(|own| **own > 0.0).count() as f64
    }
}

/// Permits in batches from the tenant's home daemon.
struct Escrow {
    home: f64,
    permits: Vec<f64>,
    /// When an answer arrives, and what it brings.
    coming: Vec<Option<(usize, f64)>>,
}

impl Way for Escrow {
    fn name(&self) -> &'static str {
        "escrow"
    }

    fn admit(&mut self, daemon: usize, slot: usize) -> bool {
        if self.permits[daemon] <= 1.0 && self.coming[daemon].is_none() {
            let batch = BATCH.min(self.home.floor());
            self.home -= batch;
            self.coming[daemon] = Some((slot + 2 * DELAY_SLOTS, batch));
        }
        take(&mut self.permits[daemon])
    }

    fn slot(&mut self, slot: usize) -> f64 {
        self.home = (self.home + LIMIT / SLOTS_PER_SECOND as f64).min(LIMIT);
        let mut messages = 0.0;
        for (permits, coming) in self.permits.iter_mut().zip(&mut self.coming) {
            if let Some((_, batch)) = coming.take_if(|(at, _)| *at <= slot) {
                *permits += batch;
                messages += 2.0;
            }
        }
        messages
    }

    fn second(&mut self, _wanted: &[f64]) -> f64 {
        0.0
    }
}

/// Admission by the known total of the second, with a bounded number of untold admissions.
struct Ignorance {
    known: f64,
    untold: Vec<f64>,
    told: f64,
}

impl Way for Ignorance {
    fn name(&self) -> &'static str {
        "bounded ignorance"
    }

    fn admit(&mut self, daemon: usize, _slot: usize) -> bool {
        if self.known + self.untold[daemon] + 1.0 > LIMIT {
            return false;
        }
        self.untold[daemon] += 1.0;
        if self.untold[daemon] >= BATCH {
            self.known += std::mem::take(&mut self.untold[daemon]);
            // To the others that have calls of the tenant; told to all at once here.
            self.told += DAEMONS as f64 - 1.0;
        }
        true
    }

    fn slot(&mut self, _slot: usize) -> f64 {
        std::mem::take(&mut self.told)
    }

    fn second(&mut self, _wanted: &[f64]) -> f64 {
        self.known = 0.0;
        self.untold.fill(0.0);
        0.0
    }
}

fn take(permits: &mut f64) -> bool {
    if *permits < 1.0 {
        return false;
    }
    *permits -= 1.0;
    true
}

fn main() {
    println!("limit {LIMIT}/s, {DAEMONS} daemons, {SECONDS} s, batch {BATCH}");
    println!(
        "{:<18} {:>7} {:>10} {:>10} {:>12} {:>10} {:>10}",
        "way", "demand", "admitted", "msgs/call", "violated s", "worst", "needless"
    );
    for demand in [0.7, 0.95, 1.5, 4.0] {
        let mut ways: Vec<Box<dyn Way>> = vec![
            Box::new(Shares::new(false)),
            Box::new(Shares::new(true)),
            Box::new(Escrow {
                home: LIMIT,
                permits: vec![0.0; DAEMONS],
                coming: vec![None; DAEMONS],
            }),
            Box::new(Ignorance { known: 0.0, untold: vec![0.0; DAEMONS], told: 0.0 }),
        ];
        for way in &mut ways {
            let counts = run(way.as_mut(), demand);
            println!(
                "{:<18} {:>7.2} {:>10.3} {:>10.2} {:>12} {:>10.2} {:>10.3}",
                way.name(),
                demand,
                counts.admitted / counts.wanted,
                counts.messages / counts.admitted,
                counts.violated_seconds,
                counts.worst,
                counts.needless / counts.wanted,
            );
        }
    }
    println!("admitted: share of calls; worst: busiest second over the limit's value;");
    println!("needless: share of calls refused in seconds that wanted less than the limit");
}

fn run(way: &mut dyn Way, demand: f64) -> Counts {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut counts = Counts::default();
    // A tenant's programs are few beside the daemons: shares by Zipf's law.
    let weights: Vec<f64> = (1..=DAEMONS).map(|rank| 1.0 / rank as f64).collect();
    let whole: f64 = weights.iter().sum();
    for second in 0..SECONDS {
        let mut wanted = vec![0.0; DAEMONS];
        let (mut admitted, mut refused) = (0.0, 0.0);
        for slot in second * SLOTS_PER_SECOND..(second + 1) * SLOTS_PER_SECOND {
            counts.messages += way.slot(slot);
            for (daemon, weight) in weights.iter().enumerate() {
                let rate = LIMIT * demand * weight / whole / SLOTS_PER_SECOND as f64;
                if !random.random_bool(rate.min(1.0)) {
                    continue;
                }
                wanted[daemon] += 1.0;
                if way.admit(daemon, slot) { admitted += 1.0 } else { refused += 1.0 }
            }
        }
        counts.messages += way.second(&wanted);
        let all: f64 = wanted.iter().sum();
        counts.wanted += all;
        counts.admitted += admitted;
        counts.worst = counts.worst.max(admitted / LIMIT);
        counts.violated_seconds += usize::from(admitted > LIMIT * TOLERANCE);
        counts.needless += if all <= LIMIT { refused } else { 0.0 };
    }
    counts
}
