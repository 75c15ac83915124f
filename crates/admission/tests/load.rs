//! Tests of which requests wait, go and are refused under the loads of a gateway, without a network.
//! `--nocapture` prints how many programs were in time, late, and refused at the first turn and later.

mod support;

use dahlia_admission::WaitingSettings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Arrival, Outcome, ProgramKind, Report, Scenario};

/// Slots of the service.
const SLOTS: usize = 12;
/// Turns of 60 ms that these serve in a second.
const TURNS_PER_S: f64 = 200.0;

/// A short program with interactive callers.
const CHAT: ProgramKind = ProgramKind {
    rank: 0,
    turns: 4,
    turn_ms: 60,
    pause_ms: 100,
    objective_ms: 1_100,
    timeout_ms: 3_000,
    max_tries: 2,
};
/// A longer program of a later rank.
const PLAN: ProgramKind = ProgramKind { rank: 2, turns: 9, objective_ms: 2_600, ..CHAT };
/// A single urgent request.
const ALERT: ProgramKind = ProgramKind {
    turns: 1,
    turn_ms: 20,
    pause_ms: 0,
    objective_ms: 120,
    timeout_ms: 1_200,
    ..CHAT
};

/// Programs of one kind that arrive at random times at a given rate.
struct Stream {
    kind: ProgramKind,
    tenant: u64,
    per_s: f64,
    from_ms: u64,
    until_ms: u64,
}

fn arrivals(streams: &[Stream], seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    for stream in streams {
        for at_ms in stream.from_ms..stream.until_ms {
            if random.random_bool(stream.per_s / 1_000.0) {
                all.push(Arrival { at_ms, tenant: stream.tenant, kind: stream.kind });
            }
        }
    }
    all
}

/// Short and long programs with half of the turns each. `load` is the share of the service's capacity.
fn mixed_streams(load: f64, from_ms: u64, until_ms: u64) -> [Stream; 2] {
    let stream = |kind: ProgramKind| {
        let per_s = load * TURNS_PER_S / 2.0 / f64::from(kind.turns);
        Stream { kind, tenant: 0, per_s, from_ms, until_ms }
    };
    [stream(CHAT), stream(PLAN)]
}

fn run(name: &str, streams: &[Stream]) -> Report {
    let report = Scenario::new(WaitingSettings::default(), SLOTS).run(&arrivals(streams, 7));
    println!("{name}: {:?}", report.all);
    report.by_rank.iter().for_each(|(rank, outcome)| println!("  rank {rank}: {outcome:?}"));
    println!("  retries {}, served {}", report.retries, report.retries_served);
    report
}

fn assert_refused_at_first_turns(outcome: Outcome) {
    let (later, all) = (outcome.refused_later, outcome.refused());
    assert!(later * 10 <= all, "{later} of {all} refused programs were under way");
}

#[test]
fn overload_is_refused_at_first_turns_and_the_urgent_rank_is_served_best() {
    let [chat, plan] = mixed_streams(0.6, 0, 5_000);
    let [more_chat, more_plan] = mixed_streams(2.0, 5_000, 11_000);
    let [chat_after, plan_after] = mixed_streams(0.6, 11_000, 20_000);
    let streams = [chat, plan, more_chat, more_plan, chat_after, plan_after];
    let report = run("twice the load for 6 s", &streams);
    assert_refused_at_first_turns(report.all);
    assert!(report.by_rank[&0].share_in_time() >= report.by_rank[&2].share_in_time());
    assert!(report.all.refused() > 0, "the load is above the capacity");
}

#[test]
fn usual_load_is_served_completely() {
    let report = run("0.6 of the capacity", &mixed_streams(0.6, 0, 10_000));
    assert_eq!(report.all.refused(), 0);
    assert!(report.all.share_in_time() > 0.99);
}

#[test]
fn tenant_at_seven_times_its_share_does_not_slow_others() {
    const TENANTS: u64 = 10;
    let share = 0.7 * TURNS_PER_S / f64::from(CHAT.turns) / TENANTS as f64;
    let usual = |tenant| Stream { kind: CHAT, tenant, per_s: share, from_ms: 0, until_ms: 15_000 };
    let mut streams: Vec<Stream> = (0..TENANTS).map(usual).collect();
    streams.push(Stream { per_s: 6.0 * share, from_ms: 4_000, until_ms: 10_000, ..usual(0) });
    let report = run("one tenant at 7 times its share", &streams);
    let others: Vec<f64> = report
        .by_tenant
        .iter()
        .filter(|(tenant, _)| **tenant != 0)
        .map(|(_, outcome)| outcome.share_in_time())
        .collect();
    let mean = others.iter().sum::<f64>() / others.len() as f64;
    let worst = others.iter().copied().fold(1.0, f64::min);
    println!("  others: mean {mean:.3}, worst {worst:.3}; tenant 0: {:?}", report.by_tenant[&0]);
    assert!(mean > 0.97 && worst > 0.9 * mean);
    assert_refused_at_first_turns(report.all);
}

#[test]
fn urgent_requests_in_a_burst_overtake_waiting_ones() {
    let [_, plan] = mixed_streams(1.6, 0, 8_000);
    let urgent =
        |per_s, from_ms, until_ms| Stream { kind: ALERT, tenant: 1, per_s, from_ms, until_ms };
    let streams = [plan, urgent(20.0, 0, 8_000), urgent(150.0, 3_000, 4_000)];
    let report = run("urgent requests in a burst", &streams);
    assert!(report.by_rank[&0].share_in_time() > 0.99);
}

#[test]
fn retries_after_a_refusal_are_served() {
    let [chat, plan] = mixed_streams(0.6, 0, 4_000);
    let [more_chat, more_plan] = mixed_streams(2.0, 4_000, 5_500);
    let [chat_after, plan_after] = mixed_streams(0.6, 5_500, 12_000);
    let streams = [chat, plan, more_chat, more_plan, chat_after, plan_after];
    let report = run("retries after refusals", &streams);
    assert!(report.retries > 0);
    let served = f64::from(report.retries_served) / f64::from(report.retries);
    assert!(served >= 0.95, "{served:.3} of the retries were served");
}
