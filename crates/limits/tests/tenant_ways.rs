//! What a tenant's programs earn at its limit, compared with the best order that knows them all in
//! advance.
//!
//! There are two kinds of programs: long ones of much worth, and 2.4 times as many short ones. Tenants
//! have the sizes of a deployment with 78 gateways, with limits of 1.6 times what they usually send.

mod fleet;

use dahlia_limits::LimitSettings;
use fleet::{Load, Outcome, Scenario, Simulation, WINDOW_S, limit, oracle};

const RATES: [f64; 5] = [3.0, 13.0, 40.0, 150.0, 354.0];
const SEEDS: u64 = 4;
/// Requests of a long program, and the milliseconds between two of them.
const LONG: (u32, u64) = (18, 120);
/// The same for a short program.
const SHORT: (u32, u64) = (6, 120);
/// Short programs for each long one.
const SHORT_PER_LONG: f64 = 2.4;

/// Programs of both kinds that send requests at a multiple of the limit's rate.
fn mixed_loads(from_s: f64, until_s: f64, rate: f64, factor: f64) -> Vec<Load> {
    let requests = f64::from(LONG.0) + SHORT_PER_LONG * f64::from(SHORT.0);
    let long_per_s = rate * factor / requests;
    let load = |(requests, gap_ms): (u32, u64), programs_per_s, worth| Load {
        from_s,
        until_s,
        programs_per_s,
        requests,
        gap_ms,
        worth,
    };
    vec![load(LONG, long_per_s, 10.0), load(SHORT, long_per_s * SHORT_PER_LONG, 3.0)]
}

/// A load over time, as a multiple of a limit's rate.
struct Case {
    name: &'static str,
    /// Start and end in seconds, and factor. Loads at the same time add up.
    loads: &'static [(f64, f64, f64)],
    /// The factor by which the limit is lowered after three seconds.
    lowered: Option<f64>,
}

/// A tenant's usual rate, as a share of its limit.
const USUAL: f64 = 1.0 / 1.6;
const CASES: [Case; 5] = [
    Case {
        name: "burst of 1.7",
        loads: &[(0.0, 20.0, USUAL), (8.0, 14.0, USUAL * 0.7)],
        lowered: None,
    },
    Case {
        name: "waves of 0.95 and 1.05",
        loads: &[(0.0, 20.0, 0.95), (4.0, 8.0, 0.1), (12.0, 16.0, 0.1)],
        lowered: None,
    },
    Case { name: "usual", loads: &[(0.0, 20.0, USUAL)], lowered: None },
    Case {
        name: "7.5 times",
        loads: &[(0.0, 20.0, USUAL), (6.0, 12.5, USUAL * 6.5)],
        lowered: None,
    },
    Case { name: "lowered to a fifth", loads: &[(0.0, 20.0, USUAL)], lowered: Some(0.2) },
];

impl Case {
    fn scenario(&self, seed: u64, rate: f64, settings: &LimitSettings) -> Scenario {
        let loads = self.loads.iter();
        let loads =
            loads.flat_map(|(from, until, factor)| mixed_loads(*from, *until, rate, *factor));
        let limit_change = self.lowered.map(|factor| (3.0, limit(rate * factor, rate * factor)));
        Scenario {
            gateways: 78,
            settings: settings.clone(),
            limit_change,
            ..Scenario::new(seed, rate, loads.collect())
        }
    }
}

/// Settings with the window and the tolerance of the users' documentation.
fn window_settings() -> LimitSettings {
    LimitSettings {
        window_s: 5.0,
        tolerated_excess: 0.1,
        tolerated_requests: 20.0,
        ..LimitSettings::default()
    }
}

/// Results summed over the seeds of a case.
#[derive(Default)]
struct Totals {
    earned: f64,
    /// The worth of all programs.
    offered: f64,
    /// What the best order earns.
    best: f64,
    refused: usize,
    refused_with_room: usize,
    max_in_window: usize,
    completed: usize,
    programs: usize,
}

fn run_all(case: &Case, rate: f64, settings: &LimitSettings) -> Totals {
    let mut totals = Totals::default();
    for seed in 0..SEEDS {
        let outcome: Outcome = Simulation::run(case.scenario(seed, rate, settings));
        let last_rate = rate * case.lowered.unwrap_or(1.0);
        totals.earned += outcome.earned;
        totals.offered += outcome.offered.iter().map(|program| program.worth).sum::<f64>();
        totals.best += oracle::best_earnings(&outcome.offered, last_rate * (WINDOW_S + 1.0));
        totals.refused += outcome.refused;
        totals.refused_with_room += outcome.refused_with_room;
        totals.max_in_window = totals.max_in_window.max(outcome.max_in_window(WINDOW_S));
        totals.completed += outcome.completed;
        totals.programs += outcome.programs;
    }
    totals
}

fn print_table(name: &str, settings: &LimitSettings) {
    for case in &CASES {
        for rate in RATES {
            let totals = run_all(case, rate, settings);
            eprintln!(
                "{name} | {} | {rate} | {:.3} | {:.3} | {} | {} | {} of {:.0} | {} of {}",
                case.name,
                totals.earned / totals.offered,
                totals.best / totals.offered,
                totals.refused,
                totals.refused_with_room,
                totals.max_in_window,
                (rate * (WINDOW_S + 1.0)) * 1.1 + 20.0,
                totals.completed,
                totals.programs
            );
        }
    }
}

#[test]
fn window_refuses_little_below_the_limit_and_earns_nearly_as_much_as_the_best_order() {
    for case in CASES.iter().filter(|case| ["usual", "burst of 1.7"].contains(&case.name)) {
        for rate in RATES {
            let (bucket, window) = (
                run_all(case, rate, &LimitSettings::default()),
                run_all(case, rate, &window_settings()),
            );
            // The refusals that remain are of programs of the smallest tenants that would not fit to
            // their end.
            let few = window.refused_with_room <= 1
                || window.refused_with_room * 4 <= bucket.refused_with_room;
            assert!(
                few,
                "{}, {rate} a second: {} of {}",
                case.name, window.refused_with_room, bucket.refused_with_room
            );
            assert!(window.earned >= window.best - 0.03 * window.offered, "{}, {rate}", case.name);
            let had_room = bucket.refused_with_room > 0;
            assert_eq!(had_room, bucket.refused > 0, "a bucket's refusals have room in the window");
        }
    }
}

/// Prints the table for the documentation:
/// `cargo test -p dahlia-limits --test tenant_ways -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table and checks nothing"]
fn table_of_counters() {
    print_table("bucket", &LimitSettings::default());
    print_table("window", &window_settings());
}
