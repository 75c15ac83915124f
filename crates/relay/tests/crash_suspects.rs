//! How many servers may end under one request, over its servers, its caller's tries and its program's.

mod common;

use common::caller::{Reply, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, answer_ok, chunk, event, last_chunk, stream_head,
};
use common::{
    TestGateway, repeatable_route, resumable_stream_route, retained_turns_route, route_table,
};
use dahlia_relay::Route;

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
