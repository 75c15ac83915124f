//! Programs of a tenant that sends 7.5 times its usual rate while its keeper fails: what the next keeper
//! makes of those that have started.

mod fleet;

use dahlia_limits::LimitSettings;
use fleet::{Load, Scenario, Simulation, WINDOW_S};

const RATES: [f64; 5] = [3.0, 13.0, 40.0, 150.0, 440.0];
const SEEDS: u64 = 4;
/// The first seed of the cases in which the keeper is away for longer or twice.
const FIRST_REPEATED_SEED: u64 = 20;
const REQUESTS: u32 = 10;
/// The share of programs that a fault may make fail after their start.
const MAX_STRANDED_SHARE: f64 = 0.01;

fn load(from_s: f64, until_s: f64, rate: f64, factor: f64) -> Load {
    let programs_per_s = rate * factor / f64::from(REQUESTS);
    Load { from_s, until_s, programs_per_s, requests: REQUESTS, gap_ms: 200, worth: 1.0 }
}

fn overload_scenario(seed: u64, rate: f64, keeper_outages_s: Vec<(f64, f64)>) -> Scenario {
    let loads = vec![load(0.0, 20.0, rate, 1.0 / 1.6), load(6.0, 12.5, rate, 6.5 / 1.6)];
    let settings = LimitSettings {
        window_s: WINDOW_S,
        tolerated_excess: 0.1,
        tolerated_requests: 20.0,
        ..LimitSettings::default()
    };
    Scenario { settings, keeper_outages_s, ..Scenario::new(seed, rate, loads) }
}

/// Returns the share of programs that fail at their second request or a later one.
fn stranded_share(rate: f64, outage_s: Option<f64>) -> f64 {
    let (mut stranded, mut programs) = (0, 0);
    for seed in 0..SEEDS {
        let outages = outage_s.map(|outage_s| (7.0 + seed as f64 * 0.6, outage_s));
        let outcome = Simulation::run(overload_scenario(seed, rate, outages.into_iter().collect()));
        stranded += outcome.stranded;
        programs += outcome.programs;
    }
    stranded as f64 / programs as f64
}

/// Returns a line for each rate and outage that makes too many programs fail after their start.
fn stranded_by(outages_s: &[f64]) -> Vec<String> {
    let mut found = Vec::new();
    for rate in RATES {
        let usual = stranded_share(rate, None);
        for outage_s in outages_s {
            let share = stranded_share(rate, Some(*outage_s));
            eprintln!("{rate} a second, {outage_s} s: {share:.4}, without a fault {usual:.4}");
            if share - usual >= MAX_STRANDED_SHARE {
                found.push(format!("{rate} a second, {outage_s} s: {share:.4}"));
            }
        }
    }
    found
}

/// Another keeper starts at once, or after an election.
#[test]
fn keeper_failover_strands_under_one_percent_of_programs() {
    assert_eq!(stranded_by(&[0.0, 0.6, 1.2]), Vec::<String>::new());
}

/// Gateways have decided without a keeper before the next one starts.
#[test]
fn long_keeper_outage_strands_under_one_percent_of_programs() {
    assert_eq!(stranded_by(&[2.5]), Vec::<String>::new());
}

/// Outages of the keeper that gateways' knowledge of programs must outlive.
struct OutageCase {
    name: &'static str,
    /// When the first outage begins in the run of the first seed, and how much later in each further one.
    first_at_s: f64,
    shift_s: f64,
    /// When each outage begins after the first, and how long it takes.
    outages_s: &'static [(f64, f64)],
}

impl OutageCase {
    /// Returns the outages in the run of the seed at `index`.
    fn outages(&self, index: u64) -> Vec<(f64, f64)> {
        let first_at_s = self.first_at_s + index as f64 * self.shift_s;
        self.outages_s.iter().map(|(after_s, outage_s)| (first_at_s + after_s, *outage_s)).collect()
    }

    /// Returns the share of programs that fail at their second request or a later one.
    fn stranded_share(&self, rate: f64) -> f64 {
        let (mut stranded, mut programs) = (0, 0);
        for index in 0..SEEDS {
            let seed = FIRST_REPEATED_SEED + index;
            let outcome = Simulation::run(overload_scenario(seed, rate, self.outages(index)));
            stranded += outcome.stranded;
            programs += outcome.programs;
        }
        stranded as f64 / programs as f64
    }

    /// Returns a line for each rate at which the outages make too many programs fail after their start.
    fn stranded(&self) -> Vec<String> {
        let mut found = Vec::new();
        let without_fault = OutageCase { outages_s: &[], ..*self };
        for rate in RATES {
            let usual = without_fault.stranded_share(rate);
            let share = self.stranded_share(rate);
            eprintln!("{rate} a second, {}: {share:.4}, without a fault {usual:.4}", self.name);
            if share - usual >= MAX_STRANDED_SHARE {
                found.push(format!("{rate} a second, {}: {share:.4}", self.name));
            }
        }
        found
    }
}

/// Callers use up their tries before the next keeper starts.
#[test]
fn four_second_outage_in_overload_strands_under_one_percent_of_programs() {
    let case = OutageCase {
        name: "4 s in the overload",
        first_at_s: 7.0,
        shift_s: 0.6,
        outages_s: &[(0.0, 4.0)],
    };
    assert_eq!(case.stranded(), Vec::<String>::new());
}

/// The tenant is back at its usual rate, and its last programs start in the outage.
#[test]
fn four_second_outage_at_usual_load_strands_under_one_percent_of_programs() {
    let case = OutageCase {
        name: "4 s at usual load",
        first_at_s: 19.0,
        shift_s: 0.6,
        outages_s: &[(0.0, 4.0)],
    };
    assert_eq!(case.stranded(), Vec::<String>::new());
}

/// What the first successor learnt must reach the second.
#[test]
fn second_keeper_outage_strands_under_one_percent_of_programs() {
    let case = OutageCase {
        name: "1.5 s twice",
        first_at_s: 7.6,
        shift_s: 0.05,
        outages_s: &[(0.0, 1.5), (2.6, 1.5)],
    };
    assert_eq!(case.stranded(), Vec::<String>::new());
}
