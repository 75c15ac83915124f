//! How many servers may end under one request, over its servers, its caller's tries and its program's.

mod common;

use std::sync::Arc;
use std::time::{Duration as StdDuration, Instant};

use common::caller::{Caller, Reply, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, answer_ok, chunk, event, last_chunk, stream_head,
};
use common::{
    TestGateway, at_most_once_route, repeatable_route, resumable_stream_route,
    retained_turns_route, route_table, wait_until,
};
use dahlia_backends::ServerDigest;
use dahlia_relay::{CrashMark, CrashSuspects, RelaySettings, RequestFingerprint, Route};
use dahlia_types::{Duration, Timestamp};

type Script = fn(&ReceivedRequest) -> Vec<Step>;

/// The most servers that may end under one request.
const MOST_ENDED: usize = 3;
const SERVERS: usize = 12;
/// Requests that save up as many repeats as a service may have.
const EARLIER_REQUESTS: usize = 120;
/// The body that ends each server which reads it, and one that does not.
const CRASHING: &str = "crash";
const SOUND: &str = "sound";
const TURN: &str = "X-Program: p-1\r\nX-Session: l-1\r\nX-Tokens: 40,80\r\n";

fn is_crashing(request: &ReceivedRequest) -> bool {
    request.body.ends_with(CRASHING)
}

fn ends_before_its_answer(request: &ReceivedRequest) -> Vec<Step> {
    if is_crashing(request) { vec![Step::Crash] } else { answer_ok(request) }
}

fn whole_stream(request: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(request), chunk(&event(1, "a")), chunk(&event(2, "b")), last_chunk()]
}

fn ends_before_an_event(request: &ReceivedRequest) -> Vec<Step> {
    if is_crashing(request) { vec![Step::Crash] } else { whole_stream(request) }
}

/// Sends one event more than the reader has, and then ends.
fn ends_after_an_event(request: &ReceivedRequest) -> Vec<Step> {
    if !is_crashing(request) {
        return whole_stream(request);
    }
    let last = request.header("x-last-event").map_or(0, |last| last.parse().expect("a number"));
    let next = event(last + 1, "a");
    vec![stream_head(request), chunk(&next), Step::Crash]
}

async fn start_servers(script: Script) -> Vec<ScriptedServer> {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(ScriptedServer::new(&format!("s-{number}"), script).await);
    }
    servers
}

fn ended(servers: &[ScriptedServer]) -> usize {
    servers.iter().filter(|server| server.has_crashed()).count()
}

/// A gateway with a full budget of repeats.
async fn gateway_with(route: Route, servers: &[ScriptedServer]) -> TestGateway {
    let servers: Vec<&ScriptedServer> = servers.iter().collect();
    let gateway = TestGateway::new(Some(route_table(vec![route])), &servers).await;
    for number in 0..EARLIER_REQUESTS {
        let reply = call(gateway.address, &post(&format!("earlier-{number}"), TURN, SOUND)).await;
        assert_eq!((reply.status, reply.is_whole), (200, true));
    }
    gateway
}

async fn try_again(gateway: &TestGateway, number: usize, lines: &str, body: &str) -> Reply {
    call(gateway.address, &post(&format!("{body}-{number}"), lines, body)).await
}

struct CrashCase {
    name: &'static str,
    route: fn() -> Route,
    max_attempts: u32,
    script: Script,
    /// Tries of its caller.
    tries: usize,
}

async fn check_ends(case: CrashCase) {
    let servers = start_servers(case.script).await;
    let route = Route { max_attempts: case.max_attempts, ..(case.route)() };
    let gateway = gateway_with(route, &servers).await;
    let mut replies = Vec::new();
    for number in 0..case.tries {
        replies.push(try_again(&gateway, number, TURN, CRASHING).await);
    }
    let name = case.name;
    assert!(replies.iter().all(|reply| reply.status != 200 || !reply.is_whole), "{name}");
    assert!(ended(&servers) <= MOST_ENDED, "{name}: {} servers ended", ended(&servers));
    let sound = try_again(&gateway, 0, TURN, SOUND).await;
    assert_eq!((sound.status, sound.is_whole), (200, true), "{name}: a sound request afterwards");
}

/// Guards against a request that ends its servers and is sent to further ones in the same attempt.
#[tokio::test]
async fn one_attempt_ends_three_servers_at_most() {
    let cases = [
        ("may repeat", repeatable_route as fn() -> Route, 3, ends_before_its_answer as Script),
        ("may repeat, one server", repeatable_route, 1, ends_before_its_answer),
        ("stream", resumable_stream_route, 3, ends_before_an_event),
        ("stream, one server", resumable_stream_route, 1, ends_before_an_event),
        ("stream after an event", resumable_stream_route, 3, ends_after_an_event),
        ("stream after an event, one server", resumable_stream_route, 1, ends_after_an_event),
    ];
    for (name, route, max_attempts, script) in cases {
        check_ends(CrashCase { name, route, max_attempts, script, tries: 1 }).await;
    }
}

/// Guards against a request that ends further servers each time its caller, or its program, sends it again.
#[tokio::test]
async fn the_tries_of_a_caller_end_three_servers_at_most() {
    let cases = [
        ("may repeat", repeatable_route as fn() -> Route, 3, ends_before_its_answer as Script),
        ("may repeat, one server", repeatable_route, 1, ends_before_its_answer),
        ("stream", resumable_stream_route, 3, ends_before_an_event),
        ("stream after an event", resumable_stream_route, 3, ends_after_an_event),
        ("turn", retained_turns_route, 1, ends_before_an_event),
        ("turn after an event", retained_turns_route, 1, ends_after_an_event),
    ];
    for (name, route, max_attempts, script) in cases {
        check_ends(CrashCase { name, route, max_attempts, script, tries: 5 }).await;
    }
}

/// Guards against a caller that waits for its deadline, or is told that a refused request may have run.
#[tokio::test]
async fn a_refused_request_is_told_at_once_that_it_did_not_run() {
    let servers = start_servers(ends_before_its_answer).await;
    let gateway = gateway_with(repeatable_route(), &servers).await;
    let first = try_again(&gateway, 0, "", CRASHING).await;
    assert_eq!(first.status, 502, "servers have read it");
    let sent = |servers: &[ScriptedServer]| {
        let requests = servers.iter().flat_map(ScriptedServer::requests);
        requests.filter(is_crashing).count()
    };
    let sent_before = sent(&servers);
    let began = Instant::now();
    let refused = try_again(&gateway, 1, "", CRASHING).await;
    assert!(began.elapsed() < StdDuration::from_secs(1));
    assert_eq!(refused.status, 503);
    let retry_after = refused.header("retry-after").and_then(|it| it.parse::<f64>().ok());
    let retention = RelaySettings::default().ended_servers_retention_s as f64;
    assert!(retry_after.is_some_and(|it| it > retention / 2.0 && it <= retention));
    assert_eq!(sent(&servers), sent_before);
}

/// An operator who knows better lets the request through again.
#[tokio::test]
async fn a_pardoned_request_is_sent_again() {
    let servers = start_servers(ends_before_its_answer).await;
    let gateway = gateway_with(repeatable_route(), &servers).await;
    try_again(&gateway, 0, "", CRASHING).await;
    assert_eq!(ended(&servers), MOST_ENDED);
    let (suspects, now) = (gateway.relay.crash_suspects(), Timestamp(60_000_000));
    let refused = suspects.refused_requests(now);
    assert_eq!(refused.len(), 1, "{refused:?}");
    assert_eq!(suspects.pardon(refused[0].0, now), MOST_ENDED);
    try_again(&gateway, 1, "", CRASHING).await;
    assert_eq!(ended(&servers), 2 * MOST_ENDED);
}

/// Guards against sound requests that are refused because they were at the servers which another request ended.
#[tokio::test]
async fn sound_requests_at_the_ended_servers_are_served() {
    const SOUND_REQUESTS: usize = 48;
    let servers = start_servers(|request| match request.body.as_str() {
        CRASHING => vec![Step::Crash],
        SOUND => answer_ok(request),
        _ => [vec![Step::WaitForRelease], answer_ok(request)].concat(),
    })
    .await;
    let gateway = gateway_with(repeatable_route(), &servers).await;
    let mut callers = Vec::new();
    for number in 0..SOUND_REQUESTS {
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&post(&format!("slow-{number}"), "", &format!("slow-{number}"))).await;
        callers.push(caller);
    }
    let is_slow = |request: &ReceivedRequest| request.body.starts_with("slow");
    let slow = || servers.iter().flat_map(ScriptedServer::requests).filter(is_slow).count();
    wait_until("all are at servers", || slow() == SOUND_REQUESTS).await;
    try_again(&gateway, 0, "", CRASHING).await;
    assert_eq!(ended(&servers), MOST_ENDED);
    servers.iter().for_each(ScriptedServer::release);
    let mut again = Vec::new();
    for (number, mut caller) in callers.into_iter().enumerate() {
        if caller.read_reply().await.status != 200 {
            again.push(number);
        }
    }
    // The budget of repeats is for a few of them only; the others come back.
    for number in again {
        let body = format!("slow-{number}");
        let reply = call(gateway.address, &post(&format!("{body}-again"), "", &body)).await;
        assert_eq!(reply.status, 200, "{body}");
    }
    let refused = try_again(&gateway, 1, "", CRASHING).await;
    assert_eq!((refused.status, ended(&servers)), (503, MOST_ENDED));
}

/// Guards against requests that are refused although the servers that lost their answers live on.
#[tokio::test]
async fn losses_at_servers_that_live_on_make_no_request_suspect() {
    let losses: [(&str, Script); 3] = [
        ("reset", |_| vec![Step::Reset]),
        ("closed", |_| vec![Step::Close]),
        ("not an answer", |_| vec![Step::Send("garbage\r\n\r\n".into()), Step::Close]),
    ];
    for (name, script) in losses {
        for route in [repeatable_route(), at_most_once_route()] {
            let servers = start_servers(script).await;
            let references: Vec<&ScriptedServer> = servers.iter().collect();
            let gateway = TestGateway::new(Some(route_table(vec![route])), &references).await;
            for number in 0..2 * MOST_ENDED {
                assert_eq!(try_again(&gateway, number, "", SOUND).await.status, 502, "{name}");
            }
            assert_eq!(gateway.relay.crash_suspects().known_requests(), 0, "{name}");
        }
    }
}

/// Guards against a request that many callers send being refused because servers ended by themselves.
#[tokio::test]
async fn a_request_that_was_answered_a_moment_ago_is_not_suspect() {
    let servers = start_servers(|request| match request.attempt().starts_with("last") {
        true => vec![Step::Crash],
        false => answer_ok(request),
    })
    .await;
    let gateway = gateway_with(at_most_once_route(), &servers).await;
    for number in 0..2 * MOST_ENDED {
        let reply = call(gateway.address, &post(&format!("last-{number}"), "", SOUND)).await;
        assert_eq!(reply.status, 502);
    }
    assert_eq!(try_again(&gateway, 1_000, "", SOUND).await.status, 200);
}

/// Guards against messages of all gateways to all others for each server that ends under a request that all of them answer.
#[tokio::test]
async fn a_mark_of_an_answered_request_is_voided_without_a_message() {
    let servers = start_servers(answer_ok).await;
    let gateway = gateway_with(repeatable_route(), &servers).await;
    let suspects = gateway.relay.crash_suspects();
    let mut messages = suspects.connect();
    let mark = CrashMark {
        request: suspects.answered_requests()[0],
        server: ServerDigest(1),
        is_void: false,
        lifetime: Duration::from_secs(600),
    };
    let known = suspects.learn(&[mark], Timestamp(2_000_000));
    assert!(known.marks.iter().all(|mark| mark.is_void) && known.marks.len() == 1);
    assert!(messages.try_recv().is_err(), "nobody is told");
}

/// Guards against a request that ends servers and was forgotten because many others have a mark.
#[tokio::test]
async fn many_suspects_do_not_push_out_the_worst() {
    const REQUESTS: u128 = 20_000;
    let gateway = TestGateway::new(None, &[]).await;
    let suspects: Arc<CrashSuspects> = gateway.relay.crash_suspects();
    let request = |digest| RequestFingerprint { digest, body_bytes: 5 };
    let mark = |digest, server| CrashMark {
        request: request(digest),
        server: ServerDigest(server),
        is_void: false,
        lifetime: Duration::from_secs(600),
    };
    let now = Timestamp(1_000_000);
    let worst: Vec<CrashMark> = (0..MOST_ENDED as u64).map(|server| mark(7, server)).collect();
    suspects.learn(&worst, now);
    for number in 1_000..1_000 + REQUESTS {
        suspects.learn(&[mark(number, 1)], now);
    }
    assert!(suspects.known_requests() <= 4_096);
    assert_eq!(suspects.refused_requests(now), [(request(7), MOST_ENDED)]);
    assert_eq!(suspects.worst_marks(MOST_ENDED, now).len(), MOST_ENDED);
    let later = now + Duration::from_secs(601);
    suspects.prune(later);
    assert_eq!(suspects.known_requests(), 0, "marks expire");
}
