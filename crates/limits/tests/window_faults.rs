//! Limits counted in a sliding window, under faults: no window holds more requests than are tolerated.
//!
//! Programs have ten requests. A tenant that overloads its limit sends 7.5 times its usual rate for
//! 6.5 s.

mod fleet;

use dahlia_limits::LimitSettings;
use fleet::{Load, Outcome, Partition, Restart, Scenario, Simulation, WINDOW_S, limit};

const RATES: [f64; 5] = [3.0, 13.0, 40.0, 150.0, 440.0];
const SEEDS: u64 = 4;
const REQUESTS: u32 = 10;

/// The allowance of the users' documentation: a tenth and twenty requests above the limit in any five
/// seconds.
fn allowance(rate: f64) -> f64 {
    rate * (WINDOW_S + 1.0) * 1.1 + 20.0
}

fn window_settings() -> LimitSettings {
    LimitSettings {
        window_s: WINDOW_S,
        tolerated_excess: 0.1,
        tolerated_requests: 20.0,
        ..LimitSettings::default()
    }
}

/// Programs that send requests at a multiple of the rate.
fn load(from_s: f64, until_s: f64, rate: f64, factor: f64) -> Load {
    let programs_per_s = rate * factor / f64::from(REQUESTS);
    Load { from_s, until_s, programs_per_s, requests: REQUESTS, gap_ms: 200, worth: 1.0 }
}

/// The usual load of a tenant, at 1 / 1.6 of its limit.
fn usual_scenario(seed: u64, rate: f64) -> Scenario {
    let loads = vec![load(0.0, 20.0, rate, 1.0 / 1.6)];
    Scenario { settings: window_settings(), ..Scenario::new(seed, rate, loads) }
}

/// The usual load, and a period in which the tenant sends 7.5 times as much.
fn overload_scenario(seed: u64, rate: f64) -> Scenario {
    let mut scenario = usual_scenario(seed, rate);
    scenario.loads.push(load(6.0, 12.5, rate, 6.5 / 1.6));
    scenario
}

/// Runs a scenario at all rates. Returns a line for each run in which some window exceeds the allowance.
fn exceeded(name: &str, scenario: impl Fn(u64, f64) -> Scenario) -> Vec<String> {
    RATES.into_iter().flat_map(|rate| exceeded_at(name, rate, &scenario)).collect()
}

/// The same at one rate.
fn exceeded_at(name: &str, rate: f64, scenario: &impl Fn(u64, f64) -> Scenario) -> Vec<String> {
    let run = |seed| {
        let outcome: Outcome = Simulation::run(scenario(seed, rate));
        let most = outcome.max_in_window(WINDOW_S);
        let allowance = allowance(rate);
        (most as f64 > allowance)
            .then(|| format!("{name}, {rate} a second, seed {seed}: {most} of {allowance}"))
    };
    (0..SEEDS).filter_map(run).collect()
}

/// An overload during which the keeper fails, and another one starts after `outage_s`.
fn keeper_failover(outage_s: f64) -> impl Fn(u64, f64) -> Scenario {
    move |seed, rate| {
        let keeper_outages_s = vec![(7.0 + seed as f64 * 0.6, outage_s)];
        Scenario { keeper_outages_s, ..overload_scenario(seed, rate) }
    }
}

#[test]
fn overload_exceeds_no_window() {
    assert_eq!(exceeded("7.5 times", overload_scenario), Vec::<String>::new());
}

#[test]
fn keeper_failover_exceeds_no_window() {
    for outage_s in [0.0, 1.2, 2.5] {
        let found =
            exceeded(&format!("a new keeper after {outage_s} s"), keeper_failover(outage_s));
        assert_eq!(found, Vec::<String>::new());
    }
}

/// Without a window, a token bucket let 126 of 105.8 requests pass in one of these eight runs at 13
/// requests a second.
#[test]
fn long_keeper_outage_during_overload_exceeds_no_window() {
    for seed in 0..8 {
        let keeper_outages_s = vec![(7.0 + seed as f64 * 0.3, 2.5)];
        let outcome =
            Simulation::run(Scenario { keeper_outages_s, ..overload_scenario(seed, 13.0) });
        let most = outcome.max_in_window(WINDOW_S);
        assert!(most as f64 <= allowance(13.0), "seed {seed}: {most} of {}", allowance(13.0));
    }
}

/// The lowered limit holds half a second after the change. Until then, the higher one holds.
#[test]
fn lowered_limit_exceeds_no_window() {
    let lowered = |seed, rate| {
        let limit_change = Some((9.0, limit(rate / 5.0, rate / 5.0)));
        Scenario { limit_change, ..overload_scenario(seed, rate) }
    };
    for rate in RATES {
        for seed in 0..SEEDS {
            let mut outcome = Simulation::run(lowered(seed, rate));
            outcome.passed_us.retain(|passed| *passed >= 9_500_000);
            let most = outcome.max_in_window(WINDOW_S) as f64;
            assert!(most <= allowance(rate / 5.0), "rate {rate}, seed {seed}: {most}");
        }
    }
    assert_eq!(
        exceeded("lowered", lowered),
        Vec::<String>::new(),
        "the higher one holds as before"
    );
}

#[test]
fn partitioned_gateways_exceed_no_window() {
    let partitioned = |seed, rate| {
        let partition = Partition { from_s: 5.0, until_s: 17.0, share: 0.35 };
        Scenario { partitions: vec![partition], ..usual_scenario(seed, rate) }
    };
    assert_eq!(exceeded("partition", partitioned), Vec::<String>::new());
}

fn restart(at_s: f64, without_keeper_s: f64, share: f64) -> Option<Restart> {
    Some(Restart { at_s, down_s: 0.66, without_keeper_s, share })
}

#[test]
fn restart_of_all_processes_exceeds_no_window() {
    for without_keeper_s in [0.0, 0.3, 1.5] {
        let restarted = |seed, rate| {
            let restart = restart(8.0 + seed as f64 * 0.4, without_keeper_s, 1.0);
            Scenario { restart, ..overload_scenario(seed, rate) }
        };
        let found =
            exceeded(&format!("a restart of all, {without_keeper_s} s without keeper"), restarted);
        assert_eq!(found, Vec::<String>::new());
    }
}

/// The tenant is far above its limit until the restart, and at its usual rate after it.
#[test]
fn restart_after_a_used_up_window_exceeds_no_window() {
    let used_up = |seed, rate| {
        let at_s = 7.0 + seed as f64 * 0.4;
        let mut scenario = usual_scenario(seed, rate);
        scenario.loads.push(load(at_s - 1.5, at_s, rate, 6.5 / 1.6));
        Scenario { restart: restart(at_s, 0.3, 1.0), ..scenario }
    };
    assert_eq!(exceeded("used up before a restart", used_up), Vec::<String>::new());
}

/// The same, where calls come in bursts: the window is used up closer to the restart than an even pace would.
#[test]
fn restart_after_bursts_used_up_the_window_exceeds_no_window() {
    let used_up = |seed, rate| {
        let mut scenario = usual_scenario(seed, rate);
        scenario.loads.push(Load { gap_ms: BURST_GAP_MS, ..load(5.5, 7.0, rate, 6.5 / 1.6) });
        Scenario { restart: restart(7.0, 0.3, 1.0), ..scenario }
    };
    assert_eq!(exceeded("used up by bursts before a restart", used_up), Vec::<String>::new());
}

/// A keeper that starts just then learns from the other gateways what passed.
#[test]
fn restart_of_one_gateway_during_keeper_failover_refuses_hardly_more() {
    for rate in RATES {
        for seed in 0..SEEDS {
            let keeper_outages_s = vec![(8.2, 0.3)];
            let run = |restart| {
                let keeper_outages_s = keeper_outages_s.clone();
                Simulation::run(Scenario {
                    restart,
                    keeper_outages_s,
                    ..usual_scenario(seed, rate)
                })
            };
            let (with, without) = (run(restart(8.0, 0.0, 1.0 / 73.0)), run(None));
            let most = without.refused + without.passed_us.len() / 100;
            assert!(with.refused <= most, "rate {rate}, seed {seed}: {}", with.refused);
        }
    }
}

/// An overload with a partition of a quarter of the gateways.
fn partition_with_overload(from_s: f64) -> impl Fn(u64, f64) -> Scenario {
    move |seed, rate| {
        let partition = Partition { from_s, until_s: from_s + 5.7, share: 0.25 };
        Scenario { partitions: vec![partition], ..overload_scenario(seed, rate) }
    }
}

/// Partitioned gateways go on with their own quota, and the keeper reserves it for them.
#[test]
fn partition_during_overload_exceeds_no_window() {
    assert_eq!(
        exceeded("overload, then partition", partition_with_overload(8.0)),
        Vec::<String>::new()
    );
}

/// Until the keeper's daemon notices the partition, the keeper gives out the share of the gateways behind
/// it.
#[test]
fn overload_during_a_partition_exceeds_no_window() {
    assert_eq!(
        exceeded("overload in a partition", partition_with_overload(5.0)),
        Vec::<String>::new()
    );
}

/// Partitions that start shortly before and after the overload does.
const PARTITION_STARTS_S: [f64; 4] = [5.4, 5.9, 6.3, 6.6];

fn exceeded_around_overload_start(rate: f64) -> Vec<String> {
    let starts = PARTITION_STARTS_S.into_iter();
    starts
        .flat_map(|from_s| {
            exceeded_at(&format!("partition at {from_s} s"), rate, &partition_with_overload(from_s))
        })
        .collect()
}

/// Partitioned gateways still use what was free before, while the others already ask for it.
#[test]
fn partition_around_overload_start_exceeds_no_window() {
    let found = RATES[1..].iter().flat_map(|rate| exceeded_around_overload_start(*rate));
    assert_eq!(found.collect::<Vec<String>>(), Vec::<String>::new());
}

/// A tenant with few requests may have more of them at the partitioned gateways than the share of these
/// gateways.
#[test]
fn partition_around_overload_start_exceeds_no_window_of_a_small_tenant() {
    assert_eq!(exceeded_around_overload_start(RATES[0]), Vec::<String>::new());
}

/// Where each gateway's part of the permits is less than a program, the keeper reserves nothing for it, and
/// single requests may use it behind a partition all the same.
#[test]
fn partition_around_overload_start_of_single_requests_exceeds_no_window() {
    let found = RATES.into_iter().flat_map(|rate| {
        PARTITION_STARTS_S.into_iter().flat_map(move |from_s| {
            let scenario = move |seed, rate| Scenario {
                names_programs: false,
                ..partition_with_overload(from_s)(seed, rate)
            };
            exceeded_at(&format!("single requests, partition at {from_s} s"), rate, &scenario)
        })
    });
    assert_eq!(found.collect::<Vec<String>>(), Vec::<String>::new());
}

/// The milliseconds between calls of one program that are sent one right after the other.
const BURST_GAP_MS: u64 = 20;

/// An overload by programs whose calls come in bursts, with a partition of this share of the gateways.
fn partition_with_bursts(from_s: f64, share: f64) -> impl Fn(u64, f64) -> Scenario {
    move |seed, rate| {
        let partition = Partition { from_s, until_s: from_s + 5.7, share };
        let mut scenario = usual_scenario(seed, rate);
        let bursts = load(6.0, 8.0, rate, 6.5 / 1.6);
        scenario.loads.push(Load { gap_ms: BURST_GAP_MS, ..bursts });
        Scenario { partitions: vec![partition], ..scenario }
    }
}

/// Bursts use up the permits before the partition is noticed, unless the keeper reserves the share of the
/// gateways that have not reported since permits became scarce.
#[test]
fn partition_around_a_start_of_bursts_exceeds_no_window() {
    for from_s in [5.8, 5.9, 6.0, 6.1] {
        let name = format!("bursts, partition at {from_s} s");
        let scenario = partition_with_bursts(from_s, 0.25);
        let found = RATES[3..].iter().flat_map(|rate| exceeded_at(&name, *rate, &scenario));
        assert_eq!(found.collect::<Vec<String>>(), Vec::<String>::new());
    }
}

/// An overload that rises to 21 times the usual rate at once, with a partition of two fifths of the gateways.
#[test]
fn partition_around_a_steep_overload_exceeds_no_window() {
    for from_s in [5.8, 5.9, 6.0, 6.1] {
        let scenario = |seed, rate| {
            let partition = Partition { from_s, until_s: from_s + 5.7, share: 0.4 };
            let mut scenario = usual_scenario(seed, rate);
            scenario.loads.push(Load { gap_ms: 50, ..load(6.0, 8.0, rate, 20.0 / 1.6) });
            Scenario { partitions: vec![partition], ..scenario }
        };
        let name = format!("steep overload, partition at {from_s} s");
        assert_eq!(exceeded(&name, scenario), Vec::<String>::new());
    }
}

/// Returns the rates at which at least one percent of programs fail needlessly, and the shares.
fn needless_failures(scenario: impl Fn(u64, f64) -> Scenario) -> Vec<(f64, f64)> {
    let share = |rate| {
        (0..8)
            .map(|seed| needless_failure_share(&Simulation::run(scenario(seed, rate)), rate))
            .sum::<f64>()
            / 8.0
    };
    RATES.into_iter().map(|rate| (rate, share(rate))).filter(|(_, share)| *share >= 0.01).collect()
}

/// Tenants send at their usual rates while there is no keeper.
#[test]
fn keeper_outage_fails_under_one_percent_of_programs_needlessly() {
    let outage =
        |seed, rate| Scenario { keeper_outages_s: vec![(8.0, 2.5)], ..usual_scenario(seed, rate) };
    assert_eq!(needless_failures(outage), []);
}

/// The same for as long as all stores may be down.
#[test]
fn long_keeper_outage_fails_under_one_percent_of_programs_needlessly() {
    let outage = |outage_s| {
        move |seed, rate| {
            let loads = vec![load(0.0, 100.0, rate, 1.0 / 1.6)];
            Scenario {
                keeper_outages_s: vec![(8.0, outage_s)],
                loads,
                ..usual_scenario(seed, rate)
            }
        }
    };
    let found = [30.0, 85.0].map(|outage_s| needless_failures(outage(outage_s)));
    assert_eq!(found, [vec![], vec![]]);
}

/// Tenants send at their usual rates while a quarter of the gateways reaches no keeper.
#[test]
fn partition_fails_under_one_percent_of_programs_needlessly() {
    let partition = Partition { from_s: 8.0, until_s: 13.7, share: 0.25 };
    assert_eq!(
        needless_failures(|seed, rate| Scenario {
            partitions: vec![partition],
            ..usual_scenario(seed, rate)
        }),
        []
    );
}

/// Shows that the tests above detect a fault: windows are exceeded without reports, or if gateways do not
/// report to a new keeper what passed before it.
#[test]
fn windows_are_exceeded_without_reports_or_history() {
    let unreported = |seed, rate| {
        let mut scenario = overload_scenario(seed, rate);
        scenario.settings.report_interval_ms = 10_000;
        scenario.settings.report_share = 1.0;
        scenario
    };
    assert!(!exceeded("no reports", unreported).is_empty());
    let without_history =
        |seed, rate| Scenario { reports_history: false, ..keeper_failover(0.6)(seed, rate) };
    assert!(!exceeded("a new keeper without history", without_history).is_empty());
    let restarted = |seed, rate| Scenario {
        reports_history: false,
        restart: restart(8.5, 0.3, 1.0),
        ..overload_scenario(seed, rate)
    };
    assert!(!exceeded("a restart that is not reported to keepers", restarted).is_empty());
}

#[test]
#[ignore = "prints a table and checks nothing"]
fn table_of_restarts() {
    for rate in RATES {
        for (name, restart) in [("none", None), ("all", restart(8.0, 0.3, 1.0))] {
            let (mut completed, mut programs, mut refused, mut earned) = (0, 0, 0, 0.0);
            for seed in 0..8 {
                let outcome = Simulation::run(Scenario { restart, ..usual_scenario(seed, rate) });
                completed += outcome.completed;
                programs += outcome.programs;
                refused += outcome.refused;
                earned += outcome.earned;
            }
            eprintln!(
                "{name} | {rate} | completed {completed} of {programs}, refused {refused}, earned {earned:.1}"
            );
        }
    }
}

/// Returns the share of programs that fail although the limit has room for them, by the best order that
/// knows all programs in advance.
fn needless_failure_share(outcome: &Outcome, rate: f64) -> f64 {
    let best = fleet::oracle::best_earnings(&outcome.offered, allowance(rate));
    let unavoidable = (outcome.programs as f64 - best).max(0.0);
    (outcome.programs as f64 - outcome.completed as f64 - unavoidable).max(0.0)
        / outcome.programs as f64
}

#[test]
#[ignore = "prints a table and checks nothing"]
fn table_of_outages() {
    type MakeScenario = fn(u64, f64) -> Scenario;
    let partition: MakeScenario = |seed, rate| {
        let partition = Partition { from_s: 8.0, until_s: 13.7, share: 0.25 };
        Scenario { partitions: vec![partition], ..usual_scenario(seed, rate) }
    };
    let near_limit_partition: MakeScenario = |seed, rate| {
        let partition = Partition { from_s: 8.0, until_s: 13.7, share: 0.25 };
        let loads = vec![load(0.0, 20.0, rate, 0.9)];
        Scenario { partitions: vec![partition], loads, ..usual_scenario(seed, rate) }
    };
    let near_limit: MakeScenario = |seed, rate| {
        let loads = vec![load(0.0, 20.0, rate, 0.9)];
        Scenario { loads, ..usual_scenario(seed, rate) }
    };
    let overload_then_partition: MakeScenario = |seed, rate| {
        let partition = Partition { from_s: 8.0, until_s: 13.7, share: 0.25 };
        Scenario { partitions: vec![partition], ..overload_scenario(seed, rate) }
    };
    let overload_in_partition: MakeScenario = |seed, rate| {
        let partition = Partition { from_s: 5.0, until_s: 10.7, share: 0.25 };
        Scenario { partitions: vec![partition], ..overload_scenario(seed, rate) }
    };
    let keeper_outage: MakeScenario = |seed, rate| {
        let keeper_outages_s = vec![(8.0, 2.5)];
        Scenario { keeper_outages_s, ..usual_scenario(seed, rate) }
    };
    let cases = [
        ("no fault", usual_scenario as MakeScenario),
        ("partition", partition),
        ("keeper outage", keeper_outage),
        ("0.9", near_limit),
        ("0.9 and partition", near_limit_partition),
        ("overload", overload_scenario),
        ("overload, keeper outage", |seed, rate| keeper_failover(1.2)(seed, rate)),
        ("overload, then partition", overload_then_partition),
        ("overload in partition", overload_in_partition),
    ];
    for (name, scenario) in cases {
        for rate in RATES {
            let (mut needless, mut refused, mut after_start, mut most) = (0.0, 0, 0, 0);
            for seed in 0..8 {
                let outcome = Simulation::run(scenario(seed, rate));
                needless += needless_failure_share(&outcome, rate) / 8.0;
                refused += outcome.refused;
                after_start += outcome.refused_after_start;
                most = most.max(outcome.max_in_window(WINDOW_S));
            }
            eprintln!(
                "{name} | {rate} | needless {needless:.4}, refused {refused}, {after_start} after the start, most {most} of {:.0}",
                allowance(rate)
            );
        }
    }
}
