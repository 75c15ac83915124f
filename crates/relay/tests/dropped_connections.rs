//! Servers that drop idle connections without a word.

mod common;

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use common::caller::{call, post};
use common::stand_in::{Got, StandIn, Step, ok};
use common::{Bed, once, route, table};
use dahlia_relay::Route;
use tokio::time::sleep;

/// Longer than a connection rests before it counts as possibly dropped. Only sets the scene: each
/// connection is reset at its second request, however long it rested.
const REST: Duration = Duration::from_millis(300);

/// Resets whatever comes second on a connection.
fn drops_kept_connections() -> impl Fn(&Got) -> Vec<Step> + Clone + Send + Sync + 'static {
    let used = std::sync::Arc::new(Mutex::new(BTreeSet::new()));
    move |got: &Got| {
        let is_first = used.lock().expect("whole").insert(got.connection);
        if is_first { ok(got) } else { vec![Step::Reset] }
    }
}

async fn server_and_relay(route: Route) -> (StandIn, Bed) {
    let server = StandIn::new("s-1", drops_kept_connections()).await;
    let bed = Bed::new(Some(table(vec![route])), &[&server]).await;
    (server, bed)
}

async fn status(bed: &Bed, attempt: &str) -> u16 {
    call(bed.address, &post(attempt, "", "x")).await.status
}

#[tokio::test]
async fn one_reset_keeps_requests_that_run_once_off_connections_that_rested() {
    let (server, bed) = server_and_relay(once()).await;
    assert_eq!(status(&bed, "t-1").await, 200);
    sleep(REST).await;
    assert_eq!(status(&bed, "t-2").await, 502, "nobody can say whether it ran");
    for attempt in ["t-3", "t-4", "t-5"] {
        assert_eq!(status(&bed, attempt).await, 200, "{attempt}");
        sleep(REST).await;
    }
    let connections: Vec<usize> = server.got().iter().map(|got| got.connection).collect();
    assert_eq!(connections, vec![0, 0, 1, 2, 3]);
}

#[tokio::test]
async fn a_dropped_connection_says_nothing_of_its_server() {
    let (_server, bed) = server_and_relay(once()).await;
    let (told, tellings) = std::sync::mpsc::channel();
    let listener = move |id: &dahlia_backends::BackendId| told.send(id.clone()).expect("listens");
    bed.backends.lock().expect("whole").on_failure(Box::new(listener));
    assert_eq!(status(&bed, "t-1").await, 200);
    sleep(REST).await;
    assert_eq!(status(&bed, "t-2").await, 502);
    assert_eq!(tellings.try_iter().count(), 0);
}

#[tokio::test]
async fn a_request_that_may_run_again_still_uses_connections_that_rested() {
    let (server, bed) = server_and_relay(route()).await;
    let other = StandIn::new("s-2", drops_kept_connections()).await;
    bed.add(&other.id, other.address);
    for attempt in ["t-1", "t-2", "t-3", "t-4", "t-5", "t-6"] {
        assert_eq!(status(&bed, attempt).await, 200, "{attempt}");
        sleep(REST).await;
    }
    let got = [server.got(), other.got()].concat();
    assert!(got.len() > 6, "some kept connection was tried and reset: {}", got.len());
}
