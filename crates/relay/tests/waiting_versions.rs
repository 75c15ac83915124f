//! Waiting requests that may go to any software version, beside streams bound to a full one.

mod common;

use std::time::Duration as StdDuration;

use common::caller::{Caller, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, chunk, event, last_chunk, stream_head,
};
use common::{
    TestGateway, resumable_stream_route, retained_turns_route, route_table, service_name,
    wait_until,
};
use dahlia_admission::WaitingSettings;
use dahlia_backends::{BackendId, BackendRecord, BackendState, SoftwareVersion};
use dahlia_relay::{RelaySettings, Route};
use dahlia_types::{Duration, Timestamp, Zone};
use tokio::time::timeout;

/// Attempts that one gateway may have in flight at a server.
const SLOTS: usize = 16;

fn hold_or_answer(request: &ReceivedRequest) -> Vec<Step> {
    let begun = vec![stream_head(request), chunk(&event(1, "a"))];
    match request.attempt().starts_with("new") {
        true => begun.into_iter().chain([last_chunk()]).collect(),
        false => begun.into_iter().chain([Step::WaitForClose]).collect(),
    }
}

fn put(gateway: &TestGateway, server: &ScriptedServer, version: &str) {
    let record = BackendRecord {
        id: BackendId::from(server.id.as_str()),
        service: service_name(),
        address: server.address,
        zone: Zone("zone".into()),
        slots: 8,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
        version: SoftwareVersion::Named(version.into()),
    };
    gateway.backends.lock().expect("the lock is not poisoned").put(record, Timestamp(0));
}

/// Guards against new requests that wait although servers of another version are idle.
#[tokio::test]
async fn urgent_streams_that_wait_for_their_version_hold_up_no_others() {
    new_request_beside_waiting_stream(2).await;
}

/// The same where both have one rank.
#[tokio::test]
async fn streams_that_wait_for_their_version_hold_up_no_others_of_their_rank() {
    new_request_beside_waiting_stream(0).await;
}

async fn new_request_beside_waiting_stream(priority: u32) {
    let old = ScriptedServer::new("s-1", hold_or_answer).await;
    let new = ScriptedServer::new("s-2", hold_or_answer).await;
    let timeout_of_route = Duration::from_secs(60);
    let urgent = Route { timeout: timeout_of_route, priority: 0, ..resumable_stream_route() };
    let other =
        Route { name: "other".into(), host: "other.example".into(), priority, ..urgent.clone() };
    let waiting = WaitingSettings { enabled: true, ..WaitingSettings::default() };
    let settings = RelaySettings { waiting, ..RelaySettings::default() };
    let turns =
        Route { name: "turns".into(), host: "turns.example".into(), ..retained_turns_route() };
    let table = route_table(vec![urgent, other, turns]);
    let gateway = TestGateway::with_settings(settings, Some(table), &[]).await;
    put(&gateway, &old, "v1");
    let mut first = Caller::new(gateway.address).await;
    first.send(&post("t-1", "", "")).await;
    first.read_head().await;
    put(&gateway, &new, "v2");
    let mut callers = Vec::new();
    let request = |attempt| post(attempt, "", "").replace("host.example", "other.example");
    for number in 1..=SLOTS {
        if number == SLOTS {
            wait_until("the old server is full", || old.requests().len() == SLOTS).await;
            assert_eq!(call(gateway.address, &request("new-0")).await.status, 200, "none waits");
        }
        let mut caller = Caller::new(gateway.address).await;
        caller
            .send(&post(&format!("again-{number}"), "X-Resumes: t-1\r\nX-Last-Event: 1\r\n", ""))
            .await;
        callers.push(caller);
    }
    let refused = callers.last_mut().expect("a caller").read_head().await;
    assert_eq!((refused.status, refused.header("retry-after").is_some()), (503, true));
    assert_eq!((old.requests().len(), new.requests().len()), (SLOTS, 1));
    let reply = timeout(StdDuration::from_secs(3), call(gateway.address, &request("new-1"))).await;
    let status = reply.map(|reply| reply.status).ok();
    assert_eq!(status, Some(200), "an idle server of the other version serves it");
}
