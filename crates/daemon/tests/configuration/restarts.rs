//! Daemons that start while the service is down or answers with older data.

use dahlia_standins::key_value::{KeyValueFaults, Outage};
use serde_json::json;

use crate::support::{Operator, Plan, System, error_name, wait_for, wait_until_in_force};

/// Applies generation 2 on all daemons, then sets faults: an outage, or stale answers with generation 1.
async fn apply_second_generation(system: &System, faults: KeyValueFaults) {
    let mut operators = Vec::new();
    for daemon in &system.daemons {
        operators.push(Operator::at(daemon).await);
    }
    wait_until_in_force(&mut operators, 1).await;
    // A stale read returns the state at the moment when this is set, which is generation 1.
    let stale = KeyValueFaults { stale_reads: true, silent_watches: true, ..Default::default() };
    system.set_key_value_faults(stale).await;
    operators[0].edit("open_calls = 500", "open_calls = 501", "second").await;
    wait_until_in_force(&mut operators, 2).await;
    system.set_key_value_faults(faults).await;
}

/// Polls a daemon from its start to its first answer about the configuration, and returns the
/// generation.
async fn first_generation_shown(system: &System, position: usize) -> u64 {
    let daemon = &system.daemons[position];
    let mut operator = Operator::at(daemon).await;
    wait_for("the daemon to know its generation", async || {
        let (code, status) = system.readiness(daemon).await.expect("answers");
        match operator.show().await {
            Ok(shown) => Some(shown.generation),
            Err(refused) => {
                assert_eq!(error_name(&refused), "unavailable");
                assert_eq!(code, 503, "it served before it knew its generation: {status}");
                None
            }
        }
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_restarted_in_an_outage_asks_its_peers_and_does_not_revert() {
    let mut system = System::start(Plan::default()).await;
    let outage = KeyValueFaults { outage: Some(Outage::Hang), ..Default::default() };
    apply_second_generation(&system, outage).await;
    system.daemons[3].kill();
    system.restart_daemon(3).await;
    assert_eq!(first_generation_shown(&system, 3).await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stale_answer_of_the_service_does_not_revert_a_restarted_daemon() {
    let mut system = System::start(Plan::default()).await;
    let stale = KeyValueFaults { stale_reads: true, silent_watches: true, ..Default::default() };
    apply_second_generation(&system, stale).await;
    system.daemons[3].kill();
    system.restart_daemon(3).await;
    assert_eq!(first_generation_shown(&system, 3).await, 2);
}

/// Shows that the tests above depend on the queries to peers: with the same service, a daemon without
/// peers puts the older generation in force.
#[tokio::test(flavor = "multi_thread")]
async fn without_peers_to_ask_the_stale_answer_is_taken() {
    let mut system = System::start(Plan::default()).await;
    let stale = KeyValueFaults { stale_reads: true, silent_watches: true, ..Default::default() };
    apply_second_generation(&system, stale).await;
    system.daemons[3].kill();
    let alone = system.start_daemon(4, Vec::new()).await;
    system.daemons[3] = alone;
    assert_eq!(first_generation_shown(&system, 3).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_does_not_know_its_generation_refuses_with_the_reason() {
    let mut system = System::start(Plan::default()).await;
    let outage = KeyValueFaults { outage: Some(Outage::Refuse), ..Default::default() };
    apply_second_generation(&system, outage).await;
    for daemon in &mut system.daemons {
        daemon.kill();
    }
    // No daemon knows a generation and the service is down, so none may serve.
    system.restart_daemon(0).await;
    let (code, status) = system.readiness(&system.daemons[0]).await.expect("answers");
    assert_eq!((code, &status["ready"]), (503, &json!(false)));
    let reason = status["waits_for"].as_str().expect("a reason");
    assert!(reason.contains("generation of the configuration"), "{reason}");
    let refused = system.program("agent-llm").await.expect_err("is refused");
    assert_eq!(error_name(&refused), "unavailable");
    system.set_key_value_faults(KeyValueFaults::default()).await;
    let mut operator = Operator::at(&system.daemons[0]).await;
    wait_until_in_force(std::slice::from_mut(&mut operator), 2).await;
}
