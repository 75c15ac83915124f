//! The key-value service and its adapter over loopback sockets, with each fault.

mod support;

use dahlia_adapters::key_value::{Revision, Version, WatchEvent, WatchStream};
use dahlia_adapters::{Certainty, KeyValueClient, KeyValueError};
use dahlia_standins::control::{Nothing, Observations, ObservationsRequest};
use dahlia_standins::key_value::{KeyValueFaults, KeyValueObservation, Outage};
use dahlia_types::Duration;
use support::{control, impatient, key_value, key_value_client, within};

async fn next_change(watch: &mut WatchStream) -> WatchEvent {
    let change = async {
        loop {
            match watch.next().await.expect("the watch lasts").expect("the watch works") {
                WatchEvent::Progress { .. } => {}
                change => return change,
            }
        }
    };
    within("a change", change).await
}

async fn set_faults(server: &dahlia_standins::RunningServer, faults: KeyValueFaults) {
    let _: Nothing = control(server.address(), "faults", &faults).await;
}

#[tokio::test]
async fn only_one_of_two_racing_swaps_wins() {
    let server = key_value(|_| {}).await;
    let client = key_value_client(&server);
    let first = client.compare_and_swap("key", None, b"one".to_vec()).await.expect("created");
    let (left, right) = tokio::join!(
        client.compare_and_swap("key", Some(first), b"left".to_vec()),
        client.compare_and_swap("key", Some(first), b"right".to_vec()),
    );
    let (winner, loser) = match (left, right) {
        (Ok(version), Err(error)) | (Err(error), Ok(version)) => (version, error),
        other => panic!("exactly one swap wins, got {other:?}"),
    };
    assert!(matches!(&loser, KeyValueError::Conflict { actual, .. } if *actual == Some(winner)));
    assert_eq!(loser.certainty(), Certainty::NotRun);
    let found = client.get("key").await.expect("read").expect("exists");
    assert_eq!(found.version, winner);
}

#[tokio::test]
async fn a_lost_reply_is_unknown_and_the_change_is_there() {
    let server = key_value(|_| {}).await;
    let client = key_value_client(&server);
    set_faults(&server, KeyValueFaults { lose_replies: 1, ..Default::default() }).await;
    let lost = client.compare_and_swap("key", None, b"value".to_vec()).await;
    let error = lost.expect_err("the reply is lost");
    assert_eq!(error.certainty(), Certainty::Unknown, "{error}");
    let found = client.get("key").await.expect("read").expect("the change took effect");
    assert_eq!(found.value, b"value");
    let request = ObservationsRequest::default();
    let seen: Observations<KeyValueObservation> =
        control(server.address(), "observations", &request).await;
    let set = KeyValueObservation::Set {
        key: "key".to_owned(),
        version: found.version,
        reply_lost: true,
    };
    assert_eq!(seen.observations.iter().map(|seen| &seen.event).collect::<Vec<_>>(), [&set]);
}

#[tokio::test]
async fn an_outage_is_certain_when_refused_and_unknown_when_silent() {
    let server = key_value(|_| {}).await;
    let client = key_value_client(&server);
    let hurried = KeyValueClient::new(&server.address().to_string(), impatient());
    set_faults(&server, KeyValueFaults { outage: Some(Outage::Refuse), ..Default::default() })
        .await;
    let refused = client.compare_and_swap("key", None, Vec::new()).await.expect_err("an outage");
    assert!(matches!(refused, KeyValueError::Unavailable { .. }), "{refused}");
    assert_eq!(refused.certainty(), Certainty::NotRun);
    set_faults(&server, KeyValueFaults { outage: Some(Outage::Hang), ..Default::default() }).await;
    let silent = hurried.compare_and_swap("key", None, Vec::new()).await.expect_err("an outage");
    assert_eq!(silent.certainty(), Certainty::Unknown, "{silent}");
    set_faults(&server, KeyValueFaults::default()).await;
    assert_eq!(client.get("key").await.expect("read"), None, "an outage has no effect");
}

#[tokio::test]
async fn a_stopped_service_is_certainly_not_run() {
    let server = key_value(|_| {}).await;
    let client = key_value_client(&server);
    server.shutdown().await;
    let error = client.compare_and_swap("key", None, Vec::new()).await.expect_err("stopped");
    assert!(matches!(error, KeyValueError::Unavailable { .. }), "{error}");
    assert_eq!(error.certainty(), Certainty::NotRun);
}

#[tokio::test]
async fn the_rate_limit_tells_when_to_come_back() {
    let limited = |settings: &mut dahlia_standins::KeyValueSettings| {
        settings.requests_per_second = 0.01;
        settings.burst = 2.0;
    };
    let server = key_value(limited).await;
    let client = key_value_client(&server);
    client.get("key").await.expect("the first of the burst");
    client.get("key").await.expect("the second of the burst");
    let error = client.get("key").await.expect_err("the burst is spent");
    let KeyValueError::RateLimited { retry_after, .. } = error else { panic!("{error}") };
    assert!(retry_after > Duration::from_secs(50), "{retry_after:?}");
}

#[tokio::test]
async fn a_watch_misses_nothing_from_the_listed_revision() {
    let server = key_value(|_| {}).await;
    let client = key_value_client(&server);
    client.compare_and_swap("a/1", None, b"one".to_vec()).await.expect("set");
    let listed = client.list("a/").await.expect("list");
    assert_eq!(listed.entries.len(), 1);
    let second = client.compare_and_swap("a/2", None, b"two".to_vec()).await.expect("set");
    client.compare_and_swap("b/1", None, b"other".to_vec()).await.expect("set");
    let mut watch = client.watch("a/", listed.revision).await.expect("watch");
    let WatchEvent::Put { entry } = next_change(&mut watch).await else { panic!("a put") };
    assert_eq!((entry.key.as_str(), entry.versioned.version), ("a/2", second));
    client.delete("a/2", second).await.expect("deleted");
    let WatchEvent::Deleted { key, .. } = next_change(&mut watch).await else { panic!("a delete") };
    assert_eq!(key, "a/2");
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_is_refused() {
    let server = key_value(|settings| settings.kept_changes = 2).await;
    let client = key_value_client(&server);
    for number in 0..4 {
        client.compare_and_swap(&format!("k{number}"), None, Vec::new()).await.expect("set");
    }
    let refused = client.watch("", Revision(1)).await;
    let error = refused.err().expect("compacted");
    insta::assert_snapshot!(without_port(&error.to_string()), @"watch: key-value service at 127.0.0.1 refused: changes are kept only after revision 2");
    client.watch("", Revision(2)).await.expect("kept");
}

#[tokio::test]
async fn an_outage_breaks_watches_and_silence_is_noticed() {
    let server = key_value(|settings| settings.watch_progress_ms = 50).await;
    let client = key_value_client(&server);
    let hurried = KeyValueClient::new(&server.address().to_string(), impatient());
    let mut broken = client.watch("", Revision(0)).await.expect("watch");
    let mut silent = hurried.watch("", Revision(0)).await.expect("watch");
    set_faults(&server, KeyValueFaults { silent_watches: true, ..Default::default() }).await;
    client.compare_and_swap("key", None, Vec::new()).await.expect("set");
    let error = within("noticing silence", first_error(&mut silent)).await;
    assert!(error.to_string().contains("was silent for 300 ms"), "{error}");
    set_faults(&server, KeyValueFaults { outage: Some(Outage::Refuse), ..Default::default() })
        .await;
    within("a broken watch", first_error(&mut broken)).await;
    assert!(broken.next().await.is_none(), "a watch ends after its error");
}

async fn first_error(watch: &mut WatchStream) -> KeyValueError {
    loop {
        match watch.next().await.expect("an error comes before the end") {
            Ok(WatchEvent::Put { entry }) => panic!("{} was sent", entry.key),
            Ok(_) => {}
            Err(error) => return error,
        }
    }
}

#[tokio::test]
async fn a_lapsed_lease_deletes_its_keys() {
    let server = key_value(|_| {}).await;
    let client = key_value_client(&server);
    let mut watch = client.watch("", Revision(0)).await.expect("watch");
    let lease = client.grant_lease(Duration::from_secs(2)).await.expect("granted").lease;
    let with_lease = client.compare_and_swap_with_lease("key", None, Vec::new(), lease).await;
    with_lease.expect("set before the lease lapses");
    assert!(matches!(next_change(&mut watch).await, WatchEvent::Put { .. }));
    assert!(matches!(next_change(&mut watch).await, WatchEvent::Deleted { .. }));
    let error = client.keep_alive(lease).await.expect_err("the lease has lapsed");
    assert_eq!(error.certainty(), Certainty::NotRun, "{error}");
    let attached = client.attach("key", Version(1), lease).await.expect_err("the key is gone");
    assert!(matches!(attached, KeyValueError::Conflict { actual: None, .. }), "{attached}");
}

#[tokio::test]
async fn stale_reads_show_the_past_and_swaps_the_present() {
    let server = key_value(|_| {}).await;
    let client = key_value_client(&server);
    let old = client.compare_and_swap("key", None, b"old".to_vec()).await.expect("set");
    set_faults(&server, KeyValueFaults { stale_reads: true, ..Default::default() }).await;
    client.compare_and_swap("key", Some(old), b"new".to_vec()).await.expect("set");
    let stale = client.get("key").await.expect("read").expect("exists");
    assert_eq!(stale.value, b"old");
    let conflict = client.compare_and_swap("key", Some(stale.version), Vec::new()).await;
    assert!(matches!(conflict, Err(KeyValueError::Conflict { .. })), "{conflict:?}");
    set_faults(&server, KeyValueFaults::default()).await;
    assert_eq!(client.get("key").await.expect("read").expect("exists").value, b"new");
}

#[tokio::test]
async fn a_slow_service_times_out_as_unknown_and_takes_effect_later() {
    let server = key_value(|_| {}).await;
    let client = key_value_client(&server);
    let hurried = KeyValueClient::new(&server.address().to_string(), impatient());
    set_faults(&server, KeyValueFaults { reply_delay_ms: 60_000, ..Default::default() }).await;
    let error = hurried.compare_and_swap("key", None, Vec::new()).await.expect_err("slow");
    assert_eq!(error.certainty(), Certainty::Unknown, "{error}");
    set_faults(&server, KeyValueFaults::default()).await;
    assert!(client.get("key").await.expect("read").is_some());
}

#[tokio::test]
async fn limits_are_refused_by_name() {
    let small = |settings: &mut dahlia_standins::KeyValueSettings| {
        settings.max_key_bytes = 4;
        settings.max_value_bytes = 4;
    };
    let server = key_value(small).await;
    let client = key_value_client(&server);
    let long_key = client.compare_and_swap("longer", None, Vec::new()).await.expect_err("key");
    let large_value = client.compare_and_swap("key", None, vec![0; 5]).await.expect_err("value");
    insta::assert_snapshot!(without_port(&long_key.to_string()), @"compare and swap: key-value service at 127.0.0.1 refused: `key` is not acceptable: 6 bytes, at most 4 are allowed");
    insta::assert_snapshot!(without_port(&large_value.to_string()), @"compare and swap: key-value service at 127.0.0.1 refused: `value` is not acceptable: 5 bytes, at most 4 are allowed");
}

fn without_port(text: &str) -> String {
    let (before, rest) = text.split_once("127.0.0.1:").expect("an address");
    format!("{before}127.0.0.1{}", rest.trim_start_matches(|digit: char| digit.is_ascii_digit()))
}
