//! Runs random schedules and prints what broke, with the shortest schedule, and the figures.
//!
//! `cargo run --release -p dahlia-replay --example schedules -- --from 0 --seeds 1000`

use std::collections::BTreeMap;
use std::process::ExitCode;

use dahlia_replay::checker::{Figures, percentile};
use dahlia_replay::schedules::{FaultCount, draw};
use dahlia_replay::{Switch, Switches, observe, run, shrink, trace};
use gumdrop::Options;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", default = "0")]
    from: u64,
    #[options(help = "number of seeds", default = "200")]
    seeds: u64,
    #[options(
        no_short,
        help = "with --show: this trace instead of a random schedule",
        meta = "FILE"
    )]
    trace: Option<String>,
    #[options(no_short, help = "none, single, pair, twice or many; else by seed")]
    faults: Option<String>,
    #[options(no_short, help = "shrink and print failing schedules")]
    shrink: bool,
    #[options(no_short, help = "take out each mechanism in turn; print what then breaks")]
    teeth: bool,
    #[options(no_short, help = "print everything that was seen in the first schedule")]
    show: bool,
}

impl Arguments {
    fn count(&self, seed: u64) -> FaultCount {
        match self.faults.as_deref() {
            Some("none") => FaultCount::None,
            Some("single") => FaultCount::Single,
            Some("pair") => FaultCount::Pair,
            Some("twice") => FaultCount::Twice,
            Some("many") => FaultCount::Many,
            _ => FaultCount::of_seed(seed),
        }
    }
}

/// Prints what daemons log, for `--show`.
struct Printer;

impl log::Log for Printer {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        println!("          {} {}", record.target(), record.args());
    }

    fn flush(&self) {}
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let switches = Switches::all_on();
    let mut all = Figures::default();
    let mut failed = 0;
    if arguments.show {
        if log::set_logger(&Printer).is_ok() {
            log::set_max_level(log::LevelFilter::Debug);
        }
        let schedule = match &arguments.trace {
            None => draw(arguments.from, arguments.count(arguments.from)),
            Some(file) => {
                let text = std::fs::read_to_string(file).expect("a readable file");
                trace::parse(&text).expect("a well-formed trace")
            }
        };
        print!("{}", trace::write(&schedule));
        let seen = observe(&schedule, arguments.from, &switches);
        for found in &seen.seen {
            println!("{:>9} {:?}", found.at.since(seen.start).as_millis(), found.what);
        }
    }
    if arguments.teeth {
        print_teeth(arguments.from, arguments.seeds);
        return ExitCode::SUCCESS;
    }
    for seed in arguments.from..arguments.from + arguments.seeds {
        let schedule = draw(seed, arguments.count(seed));
        let judgement = run(&schedule, seed, &switches).judgement;
        all.add(&judgement.figures);
        let Some(first) = judgement.violations.first() else { continue };
        failed += 1;
        let faults = schedule.fault_names().join("+");
        println!("seed {seed} [{faults}]: {}: {}", first.promise, first.what);
        if arguments.shrink {
            println!("{}", trace::write(&shrink(&schedule, seed, first, &switches)));
        }
    }
    println!("{failed} of {} schedules failed", arguments.seeds);
    print_figures(&all);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_teeth(from: u64, seeds: u64) {
    for switch in Switch::ALL {
        let switches = Switches::without(&[switch]);
        let mut broken: BTreeMap<String, (u64, u64, String)> = BTreeMap::new();
        for seed in from..from + seeds {
            let schedule = draw(seed, FaultCount::of_seed(seed));
            for violation in run(&schedule, seed, &switches).judgement.violations {
                let name = violation.promise.to_string();
                let entry = broken.entry(name).or_insert((seed, 0, violation.what));
                entry.1 += 1;
            }
        }
        println!("{switch:?}:");
        for (promise, (seed, count, what)) in broken {
            println!("    {promise}: {count} times, first with seed {seed}: {what}");
        }
    }
}

fn print_figures(figures: &Figures) {
    let spread = |values: &[u64]| {
        let show = |share| percentile(values, share).map_or("-".to_owned(), |ms| format!("{ms}"));
        format!("n={} p50={} p99={} max={} ms", values.len(), show(0.5), show(0.99), show(1.0))
    };
    let Figures { runs, calls, answered, not_run, unknown, kills, .. } = figures;
    println!(
        "runs {runs}, calls {calls}: answered {answered}, not run {not_run}, unknown {unknown}"
    );
    println!("daemons killed {kills}, planned stops {}", figures.stops);
    println!("calls at most once that ran twice {}", figures.run_twice);
    println!("calls told not run that had run {}", figures.not_run_but_ran);
    println!("requests cut by planned stops {}", figures.cut_by_stops);
    println!("starts of attempts given up before {}", figures.late_starts);
    println!("owner's death to next outcome told: {}", spread(&figures.fail_over));
    println!("engine leaving to last work: {}", spread(&figures.leaving));
    println!("program closed to last held memory: {}", spread(&figures.release));
}
