//! Which failures guarantee that a request has not run, which requests run again, and which end at
//! once.

mod common;

use std::net::SocketAddr;

use common::caller::{Caller, Reply, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, answer, answer_ok, refuse_not_run,
};
use common::{TestGateway, at_most_once_route, repeatable_route, route_table, wait_until};
use dahlia_backends::{Affinity, BackendId, Choice, ChoiceRequest};
use dahlia_relay::{RelaySettings, Route};
use dahlia_types::{Duration, Timestamp};
use socket2::{Domain, Socket, Type};

type Script = fn(&ReceivedRequest) -> Vec<Step>;

/// Calls a gateway with two servers. The first request that either server gets follows the script,
/// and every later one is answered. Returns the reply and the number of requests that reached a
/// server.
async fn call_with_failing_first_attempt(
    route: Route,
    script: impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> (Reply, usize, TestGateway) {
    let count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let script = move |request: &ReceivedRequest| match count
        .fetch_add(1, std::sync::atomic::Ordering::SeqCst)
    {
        0 => script(request),
        _ => answer_ok(request),
    };
    let first = ScriptedServer::new("s-1", script.clone()).await;
    let second = ScriptedServer::new("s-2", script).await;
    let gateway = TestGateway::new(Some(route_table(vec![route])), &[&first, &second]).await;
    let reply = call(gateway.address, &post("t-1", "", "x")).await;
    let requests = [first.requests(), second.requests()].concat();
    assert!(requests.iter().all(|request| request.attempt() == "t-1"));
    (reply, requests.len(), gateway)
}

/// Every way in which an answer can be lost after the request was sent.
fn scripts_that_lose_answers() -> Vec<(&'static str, Script)> {
    vec![
        ("reset", |_| vec![Step::Reset]),
        ("closed", |_| vec![Step::Close]),
        ("no answer in the protocol", |_| vec![Step::Send("garbage\r\n\r\n".into()), Step::Close]),
        ("another request's answer", |request| {
            let other = ReceivedRequest {
                headers: vec![("x-attempt".into(), "t-0".into())],
                ..request.clone()
            };
            answer_ok(&other)
        }),
        ("an answer without an id", |_| {
            vec![Step::Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())]
        }),
        ("cut short", |request| {
            let Step::Send(text) = answer(request, "200 OK", "", "done") else { return vec![] };
            vec![Step::Send(text[..text.len() - 1].into()), Step::Close]
        }),
        ("cut in its chunks", |request| {
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", request.attempt());
            vec![
                Step::Send(format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n")),
                Step::Close,
            ]
        }),
        ("without a length, and reset", |request| {
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", request.attempt());
            vec![Step::Send(format!("{head}\r\ndone")), Step::Reset]
        }),
        ("a promise without ground", |request| {
            vec![answer(request, "503 Service Unavailable", "", "")]
        }),
    ]
}

#[tokio::test]
async fn a_lost_answer_of_a_request_that_must_not_run_twice_is_reported_as_lost() {
    for (name, script) in scripts_that_lose_answers() {
        let (reply, sends, _gateway) =
            call_with_failing_first_attempt(at_most_once_route(), script).await;
        assert_eq!((reply.status, sends), (502, 1), "{name}");
        assert_eq!(reply.header("x-signature"), None, "{name}");
        assert_eq!(reply.header("retry-after"), None, "{name}");
    }
}

#[tokio::test]
async fn a_repeatable_request_with_a_lost_answer_is_sent_to_another_server() {
    for (name, script) in scripts_that_lose_answers() {
        let (reply, sends, _gateway) =
            call_with_failing_first_attempt(repeatable_route(), script).await;
        assert_eq!((reply.status, reply.body.as_str(), sends), (200, "done", 2), "{name}");
    }
}

#[tokio::test]
async fn a_request_runs_on_at_most_as_many_servers_as_its_route_allows() {
    let only = Route { max_attempts: 1, ..repeatable_route() };
    let (reply, sends, _gateway) =
        call_with_failing_first_attempt(only, |_| vec![Step::Reset]).await;
    assert_eq!((reply.status, sends), (502, 1));
    let mut servers = Vec::new();
    for id in ["s-1", "s-2", "s-3", "s-4"] {
        servers.push(ScriptedServer::new(id, |_| vec![Step::Reset]).await);
    }
    let references: Vec<&ScriptedServer> = servers.iter().collect();
    let gateway = TestGateway::new(Some(route_table(vec![repeatable_route()])), &references).await;
    assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 502);
    assert_eq!(servers.iter().map(|server| server.requests().len()).sum::<usize>(), 3);
}

#[tokio::test]
async fn a_server_that_has_ended_does_not_count_against_the_attempt_limit() {
    let only = Route { max_attempts: 1, ..repeatable_route() };
    let (reply, sends, _gateway) =
        call_with_failing_first_attempt(only, |_| vec![Step::StopAndReset]).await;
    assert_eq!((reply.status, sends), (200, 2));
    let (reply, sends, _gateway) =
        call_with_failing_first_attempt(at_most_once_route(), |_| vec![Step::StopAndReset]).await;
    assert_eq!((reply.status, sends), (502, 1), "it must not run twice");
}

#[tokio::test]
async fn a_request_that_a_server_did_not_run_goes_to_another_on_any_route() {
    let not_run: [(&str, Script); 3] = [
        ("full", refuse_not_run),
        ("another instance", |request| vec![answer(request, "421 Misdirected Request", "", "")]),
        ("too many", |request| vec![answer(request, "429 Too Many", "X-Not-Run: 1\r\n", "")]),
    ];
    for (name, script) in not_run {
        let only = Route { max_attempts: 1, ..at_most_once_route() };
        let (reply, sends, _gateway) = call_with_failing_first_attempt(only, script).await;
        assert_eq!((reply.status, reply.body.as_str(), sends), (200, "done", 2), "{name}");
    }
}

#[tokio::test]
async fn a_request_that_no_server_runs_is_refused_at_once_with_a_retry_time() {
    let full = |request: &ReceivedRequest| {
        vec![answer(request, "503 Full", "X-Not-Run: full\r\nRetry-After: 0.25\r\n", "")]
    };
    let server = ScriptedServer::new("s-1", full).await;
    let settings = RelaySettings { most_refusals: 1, ..RelaySettings::default() };
    let gateway = TestGateway::with_settings(
        settings,
        Some(route_table(vec![at_most_once_route()])),
        &[&server],
    )
    .await;
    let reply = call(gateway.address, &post("t", "", "")).await;
    assert_eq!((reply.status, reply.header("retry-after")), (503, Some("0.250")));
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[&server]).await;
    let reply = call(gateway.address, &post("t", "", "")).await;
    assert_eq!((reply.status, server.requests().len()), (503, 2), "the only server was tried");
    let wait: f64 = reply
        .header("retry-after")
        .expect("a Retry-After header")
        .parse()
        .expect("a numeric value");
    assert!(wait > 0.0 && wait < 10.0);
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[]).await;
    assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 503);
}

#[tokio::test]
async fn an_unreachable_server_counts_as_not_having_run_the_request() {
    // The socket is bound but not listening, so connections are refused and no other test's server
    // gets the port.
    let dead = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    dead.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    let address = dead.local_addr().expect("the local address").as_socket().expect("an IP address");
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[]).await;
    gateway.add_server("dead", address);
    let reply = call(gateway.address, &post("t", "", "")).await;
    assert_eq!(reply.status, 503);
    gateway.add_server("s-1", server.address);
    assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 200);
    drop(dead);
}

#[tokio::test]
async fn a_connection_that_closed_while_idle_loses_no_request() {
    let server = ScriptedServer::new("s-1", |request| match request.attempt() {
        "first" => [answer_ok(request), vec![Step::WaitForRelease, Step::Close]].concat(),
        _ => answer_ok(request),
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[&server]).await;
    assert_eq!(call(gateway.address, &post("first", "", "")).await.status, 200);
    server.release();
    // A round trip on another socket of the same host completes after the close has arrived.
    let probe = ScriptedServer::new("probe", answer_ok).await;
    let mut caller = Caller::new(probe.address).await;
    caller.call(&post("probe", "", "")).await;
    assert_eq!(call(gateway.address, &post("second", "", "")).await.status, 200);
}

#[tokio::test]
async fn server_errors_are_forwarded_unchanged() {
    for status in ["500 Internal Server Error", "504 Gateway Timeout", "404 Not Found"] {
        let server =
            ScriptedServer::new("s-1", move |request| vec![answer(request, status, "", "why")])
                .await;
        let gateway =
            TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
        let reply = call(gateway.address, &post("t", "", "")).await;
        assert_eq!((reply.status.to_string().as_str(), reply.body.as_str()), (&status[..3], "why"));
        assert_eq!(reply.header("x-signature"), Some("s-1"));
        assert_eq!(server.requests().len(), 1);
    }
}

/// How the choice of servers rates a server.
#[derive(Debug, PartialEq, Eq)]
enum Fitness {
    Healthy,
    /// Chosen only if there is no other server.
    LastChoice,
    /// Not chosen until a pause is over.
    Paused,
    Gone,
}

fn fitness(gateway: &TestGateway, id: &str) -> Fitness {
    gateway.add_server("other", std::net::SocketAddr::from(([127, 0, 0, 1], 9)));
    let (service, other) = (common::service_name(), [BackendId::from("other")]);
    let mut backends = gateway.backends.lock().expect("the lock is not poisoned");
    if backends.is_leaving_or_gone(&BackendId::from(id)) {
        return Fitness::Gone;
    }
    // At time 0 no failure has decayed and no pause is over.
    let mut chosen = |preferred, tried| {
        let request = ChoiceRequest {
            service: &service,
            affinity: Some(Affinity::Program(1)),
            preferred,
            tried,
            size: None,
            version: None,
        };
        match backends.choose(&request, Timestamp(0)) {
            Choice::Use { server, .. } => Some(server.id.name),
            _ => None,
        }
    };
    let own = BackendId::from(id);
    match (chosen(Some(&own), &[]), chosen(Some(&own), &other)) {
        (Some(first), _) if first == id => Fitness::Healthy,
        (_, Some(_)) => Fitness::LastChoice,
        (_, None) => Fitness::Paused,
    }
}

#[tokio::test]
async fn the_end_of_each_attempt_is_reported_to_the_choice_of_servers() {
    let cases: [(&str, Script, Fitness); 9] = [
        ("answered", answer_ok, Fitness::Healthy),
        ("not found", |request| vec![answer(request, "404 Not Found", "", "")], Fitness::Healthy),
        (
            "not proper",
            |request| vec![answer(request, "400 Bad", "X-Not-Run: 1\r\n", "")],
            Fitness::Healthy,
        ),
        ("failed", |request| vec![answer(request, "500 Bad", "", "")], Fitness::LastChoice),
        ("reset", |_| vec![Step::Reset], Fitness::LastChoice),
        ("no promise", |request| vec![answer(request, "503 Full", "", "")], Fitness::LastChoice),
        ("full", refuse_not_run, Fitness::Paused),
        ("another", |request| vec![answer(request, "421 Misdirected", "", "")], Fitness::Gone),
        ("left", |_| vec![Step::WaitForClose], Fitness::Healthy),
    ];
    for (name, script, expected) in cases {
        let server = ScriptedServer::new("s-1", script).await;
        let gateway =
            TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[&server]).await;
        for _ in 0..3 {
            call(gateway.address, &post("t", "X-Deadline: 150\r\n", "")).await;
        }
        let in_flight = || {
            gateway
                .backends
                .lock()
                .expect("the lock is not poisoned")
                .in_flight(&common::service_name())
        };
        wait_until("the end of the attempt is reported", || in_flight() == 0).await;
        assert_eq!(fitness(&gateway, "s-1"), expected, "{name}");
    }
    // The socket is bound but not listening, so connections are refused and no other test's server
    // gets the port.
    let dead = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    dead.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    let address = dead.local_addr().expect("the local address").as_socket().expect("an IP address");
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[]).await;
    gateway.add_server("dead", address);
    call(gateway.address, &post("t", "", "")).await;
    assert_eq!(fitness(&gateway, "dead"), Fitness::Paused, "unreachable");
}

#[tokio::test]
async fn the_connection_to_the_server_closes_when_the_caller_disconnects() {
    for head_first in [false, true] {
        let server = ScriptedServer::new("s-1", move |request| {
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", request.attempt());
            let head = Step::Send(format!("{head}Content-Length: 9\r\n\r\nfirst"));
            let steps = [head, Step::WaitForClose];
            steps[usize::from(!head_first)..].to_vec()
        })
        .await;
        let gateway =
            TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&post("t", "", "")).await;
        wait_until("the server has the request", || server.requests().len() == 1).await;
        drop(caller);
        wait_until("the server sees the close", || server.closed() == 1).await;
        wait_until("no request is in progress", || gateway.relay.in_progress() == 0).await;
        assert_eq!(server.requests().len(), 1, "it is not sent again");
    }
}

#[tokio::test]
async fn at_the_deadline_the_caller_gets_a_timeout_and_the_connection_to_the_server_closes() {
    let short = Route { timeout: Duration::from_millis(200), ..repeatable_route() };
    let cases = [(short, "X-Deadline: 60000\r\n"), (repeatable_route(), "X-Deadline: 200\r\n")];
    for (route, lines) in cases {
        let server = ScriptedServer::new("s-1", |_| vec![Step::WaitForClose]).await;
        let gateway = TestGateway::new(Some(route_table(vec![route])), &[&server]).await;
        let reply = call(gateway.address, &post("t", lines, "")).await;
        assert_eq!(reply.status, 504);
        wait_until("the server sees the close", || server.closed() == 1).await;
        assert_eq!(server.requests().len(), 1);
    }
}

#[tokio::test]
async fn callers_above_the_connection_limit_wait_until_another_disconnects() {
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let settings = RelaySettings { most_connections: 1, ..RelaySettings::default() };
    let gateway = TestGateway::with_settings(
        settings,
        Some(route_table(vec![at_most_once_route()])),
        &[&server],
    )
    .await;
    let mut first = Caller::new(gateway.address).await;
    assert_eq!(first.call(&post("t-1", "", "")).await.status, 200);
    let mut second = Caller::new(gateway.address).await;
    second.send(&post("t-2", "", "")).await;
    assert_eq!(first.call(&post("t-3", "", "")).await.status, 200);
    assert_eq!(gateway.relay.counters().connections, 1, "the other caller waits");
    drop(first);
    assert_eq!(second.read_reply().await.status, 200);
}

#[test]
fn settings_out_of_range_are_reported_by_name() {
    assert!(RelaySettings::default().check().is_ok());
    let wrong = RelaySettings { most_refusals: 0, ..RelaySettings::default() };
    let error = wrong.check().expect_err("none").to_string();
    assert!(error.contains("relay.most_refusals"), "{error}");
}
