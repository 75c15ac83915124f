//! Acceptance of operators' changes, and their distribution to every daemon.

use std::time::Duration;

use dahlia_api::operators::ConfigurationGeneration;
use dahlia_ctl::arguments::Arguments;
use dahlia_standins::key_value::{KeyValueFaults, KeyValueObservation, Outage};
use gumdrop::Options;
use tonic::Code;

use crate::support::{
    OPERATOR_TOKEN, Operator, Plan, System, error_name, wait_for, wait_until_in_force,
};

/// The users' limit on the time to distribute a generation.
const MAX_SPREAD_TIME: Duration = Duration::from_secs(7);
const CHANGES: u64 = 20;

async fn all_operators(system: &System) -> Vec<Operator> {
    let mut operators = Vec::new();
    for daemon in &system.daemons {
        operators.push(Operator::at(daemon).await);
    }
    operators
}

/// Applies change `change` of a series: each raises a limit by one.
async fn raise_limit(operator: &mut Operator, change: u64) -> ConfigurationGeneration {
    let (before, after) = (499 + change, 500 + change);
    let (from, to) = (format!("open_calls = {before}"), format!("open_calls = {after}"));
    operator.edit(&from, &to, &format!("change-{change}")).await
}

fn check_spread_times(mut times: Vec<Duration>, case: &str) {
    times.sort();
    let (middle, last) = (times[times.len() / 2], times[times.len() - 1]);
    println!("in force on all 4 daemons, {case}: p50 {middle:?}, longest {last:?}");
    assert!(last < MAX_SPREAD_TIME, "{times:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_is_in_force_on_all_daemons() {
    let system = System::start(Plan::default()).await;
    let mut operators = all_operators(&system).await;
    let first = wait_until_in_force(&mut operators, 1).await;
    println!("the first document is in force on all daemons {first:?} after the system served");
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        let at = change as usize % operators.len();
        let applied = raise_limit(&mut operators[at], change).await;
        assert_eq!(applied.generation, change + 1);
        times.push(wait_until_in_force(&mut operators, change + 1).await);
    }
    check_spread_times(times, "service up");
    let generations = wait_for("daemons to tell their generation", async || {
        let generations = operators[0].generations().await;
        generations.values().all(|generation| *generation == CHANGES + 1).then_some(generations)
    });
    assert_eq!(generations.await.len(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_right_after_the_acceptance_does_not_stop_the_spread() {
    let system = System::start(Plan::default()).await;
    let mut operators = all_operators(&system).await;
    wait_until_in_force(&mut operators, 1).await;
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        let at = change as usize % operators.len();
        // No daemon can learn of the change from the service: watches report nothing, reads return the
        // state before it, and then the service is down.
        let no_updates =
            KeyValueFaults { silent_watches: true, stale_reads: true, ..Default::default() };
        system.set_key_value_faults(no_updates).await;
        raise_limit(&mut operators[at], change).await;
        let outage = KeyValueFaults { outage: Some(Outage::Refuse), ..Default::default() };
        system.set_key_value_faults(outage).await;
        times.push(wait_until_in_force(&mut operators, change + 1).await);
        system.set_key_value_faults(KeyValueFaults::default()).await;
    }
    check_spread_times(times, "service down right after the acceptance");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_reply_of_the_swap_is_resolved_by_reading_back() {
    let system = System::start(Plan::default()).await;
    let mut operators = all_operators(&system).await;
    wait_until_in_force(&mut operators, 1).await;
    system.set_key_value_faults(KeyValueFaults { lose_replies: 1, ..Default::default() }).await;
    let applied = operators[1].edit("open_calls = 500", "open_calls = 501", "once").await;
    assert_eq!((applied.generation, applied.change_id.as_str()), (2, "once"));
    let seen = system.key_value_control().observations::<KeyValueObservation>(0).await;
    let lost = seen
        .expect("control answers")
        .observations
        .into_iter()
        .filter(|seen| matches!(seen.event, KeyValueObservation::Set { reply_lost: true, .. }));
    assert_eq!(lost.count(), 1, "the reply was lost after the change took effect");
    // A repeat by the operator finds the change and makes no other generation.
    let document = operators[0].show().await.expect("answers").document;
    wait_until_in_force(&mut operators, 2).await;
    let repeated = operators[2].show().await.expect("answers");
    let repeated = operators[3].apply(1, &repeated.document, "once").await.expect("is found");
    assert_eq!(repeated.generation, 2);
    assert!(document.contains("open_calls = 50"));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loser_of_a_race_gets_the_generation_it_lost_to() {
    let system = System::start(Plan::default()).await;
    let mut operators = all_operators(&system).await;
    wait_until_in_force(&mut operators, 1).await;
    let base = operators[0].show().await.expect("answers").document;
    let mut both = operators.iter_mut();
    let (one, other) = (both.next().expect("four"), both.next().expect("four"));
    let (red, blue) = (base.replace("= 500", "= 501"), base.replace("= 500", "= 502"));
    let (one, other) = tokio::join!(one.apply(1, &red, "red"), other.apply(1, &blue, "blue"));
    let (winner, loser) = match (one, other) {
        (Ok(winner), Err(loser)) | (Err(loser), Ok(winner)) => (winner, loser),
        both => panic!("one wins and one loses: {both:?}"),
    };
    assert_eq!(winner.generation, 2);
    assert_eq!((loser.code(), error_name(&loser)), (Code::Aborted, "configuration_conflict"));
    let named = format!("lost to generation 2 by \"tests\", change {}", winner.change_id);
    assert!(loser.message().contains(&named), "{}", loser.message());
}

/// Runs a command of `dahliactl` and returns its output, or the exit code and the failure.
async fn ctl(system: &System, words: &[&str]) -> Result<String, (u8, String)> {
    let address = system.daemons[0].operators.to_string();
    let mut all = vec!["--address", &address, "--token", OPERATOR_TOKEN];
    all.extend(words);
    let arguments = Arguments::parse_args_default(&all).expect("the command line is right");
    let ran = dahlia_ctl::run(arguments).await;
    ran.map_err(|failure| (dahlia_ctl::exit_code(&failure), failure.to_string()))
}

#[tokio::test(flavor = "multi_thread")]
async fn dahliactl_shows_compares_applies_and_lists() {
    let system = System::start(Plan { daemons: 1, ..Plan::default() }).await;
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("document.toml");
    let path = file.to_str().expect("plain characters");
    let shown = ctl(&system, &["configuration", "show"]).await.expect("is shown");
    assert!(shown.starts_with("# generation 1\n"), "{shown}");
    let changed = shown.replace("open_calls = 500", "open_calls = 7");
    std::fs::write(&file, &changed).expect("is written");
    let diff = ctl(&system, &["configuration", "diff", path]).await.expect("is compared");
    assert_eq!(diff, "~ tenant_defaults.open_calls: 500 -> 7\n");
    let apply = ["configuration", "apply", path, "--author", "ann"];
    let applied = ctl(&system, &apply).await.expect("is accepted");
    assert!(applied.lines().nth(1).is_some_and(|line| line.starts_with("2 ")), "{applied}");
    // The file still says that it was made from generation 1.
    let (code, message) = ctl(&system, &apply).await.expect_err("lost the race");
    assert_eq!(code, 5);
    assert!(message.contains("configuration_conflict"), "{message}");
    assert!(message.contains("lost to generation 2 by \"ann\""), "{message}");
    let broken = changed.replace("open_calls", "open_callz");
    std::fs::write(&file, broken).expect("is written");
    let (code, message) = ctl(&system, &apply).await.expect_err("is refused");
    assert_eq!(code, 2);
    assert!(message.contains("open_callz"), "{message}");
    let history = ctl(&system, &["configuration", "history"]).await.expect("is listed");
    let generations: Vec<&str> =
        history.lines().skip(1).filter_map(|line| line.split_whitespace().next()).collect();
    assert_eq!(generations, ["2", "1"]);
    let watched = ctl(&system, &["configuration", "watch", "--count", "1"]).await;
    assert_eq!(watched, Ok(String::new()));
}
