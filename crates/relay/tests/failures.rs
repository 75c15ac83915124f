//! Which failures are promises, which requests run again, and what ends at once.

mod common;

use std::net::SocketAddr;

use common::caller::{Caller, Reply, call, post};
use common::stand_in::{Got, StandIn, Step, answer, ok, shed};
use common::{Bed, once, route, table, until};
use dahlia_backends::{Affinity, BackendId, Choice, ChoiceRequest};
use dahlia_relay::{RelaySettings, Route};
use dahlia_types::{Duration, Timestamp};
use socket2::{Domain, Socket, Type};

type Script = fn(&Got) -> Vec<Step>;

/// Two servers that do what the script says to the first request that either gets, and answer
/// every later one. Returns what the caller got and how many requests reached a server.
async fn first_fails(
    route: Route,
    script: impl Fn(&Got) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> (Reply, usize, Bed) {
    let count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let script = move |got: &Got| match count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
        0 => script(got),
        _ => ok(got),
    };
    let first = StandIn::new("s-1", script.clone()).await;
    let second = StandIn::new("s-2", script).await;
    let bed = Bed::new(Some(table(vec![route])), &[&first, &second]).await;
    let reply = call(bed.address, &post("t-1", "", "x")).await;
    let got = [first.got(), second.got()].concat();
    assert!(got.iter().all(|got| got.attempt() == "t-1"));
    (reply, got.len(), bed)
}

/// Every way in which an answer can be lost after the request was sent.
fn lost_answers() -> Vec<(&'static str, Script)> {
    vec![
        ("reset", |_| vec![Step::Reset]),
        ("closed", |_| vec![Step::Close]),
        ("no answer in the protocol", |_| vec![Step::Send("garbage\r\n\r\n".into()), Step::Close]),
        ("another request's answer", |got| {
            let other = Got { headers: vec![("x-attempt".into(), "t-0".into())], ..got.clone() };
            ok(&other)
        }),
        ("an answer without an id", |_| {
            vec![Step::Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())]
        }),
        ("cut short", |got| {
            let Step::Send(text) = answer(got, "200 OK", "", "done") else { return vec![] };
            vec![Step::Send(text[..text.len() - 1].into()), Step::Close]
        }),
        ("cut in its chunks", |got| {
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", got.attempt());
            vec![
                Step::Send(format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n")),
                Step::Close,
            ]
        }),
        ("without a length, and reset", |got| {
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", got.attempt());
            vec![Step::Send(format!("{head}\r\ndone")), Step::Reset]
        }),
        ("a promise without ground", |got| vec![answer(got, "503 Service Unavailable", "", "")]),
    ]
}

#[tokio::test]
async fn a_lost_answer_of_a_request_that_must_not_run_twice_is_said_to_be_lost() {
    for (name, script) in lost_answers() {
        let (reply, sends, _bed) = first_fails(once(), script).await;
        assert_eq!((reply.status, sends), (502, 1), "{name}");
        assert_eq!(reply.header("x-signature"), None, "{name}");
        assert_eq!(reply.header("retry-after"), None, "{name}");
    }
}

#[tokio::test]
async fn a_lost_answer_of_a_repeatable_request_is_fetched_from_another_server() {
    for (name, script) in lost_answers() {
        let (reply, sends, _bed) = first_fails(route(), script).await;
        assert_eq!((reply.status, reply.body.as_str(), sends), (200, "done", 2), "{name}");
    }
}

#[tokio::test]
async fn no_more_servers_run_a_request_than_its_route_allows() {
    let only = Route { max_attempts: 1, ..route() };
    let (reply, sends, _bed) = first_fails(only, |_| vec![Step::Reset]).await;
    assert_eq!((reply.status, sends), (502, 1));
    let mut servers = Vec::new();
    for id in ["s-1", "s-2", "s-3", "s-4"] {
        servers.push(StandIn::new(id, |_| vec![Step::Reset]).await);
    }
    let references: Vec<&StandIn> = servers.iter().collect();
    let bed = Bed::new(Some(table(vec![route()])), &references).await;
    assert_eq!(call(bed.address, &post("t", "", "")).await.status, 502);
    assert_eq!(servers.iter().map(|server| server.got().len()).sum::<usize>(), 3);
}

#[tokio::test]
async fn a_server_that_has_ended_does_not_count_against_the_most() {
    let only = Route { max_attempts: 1, ..route() };
    let (reply, sends, _bed) = first_fails(only, |_| vec![Step::Die]).await;
    assert_eq!((reply.status, sends), (200, 2));
    let (reply, sends, _bed) = first_fails(once(), |_| vec![Step::Die]).await;
    assert_eq!((reply.status, sends), (502, 1), "it must not run twice");
}

#[tokio::test]
async fn a_request_that_a_server_did_not_run_goes_to_another_whatever_its_route() {
    let not_run: [(&str, Script); 3] = [
        ("full", shed),
        ("another instance", |got| vec![answer(got, "421 Misdirected Request", "", "")]),
        ("too many", |got| vec![answer(got, "429 Too Many", "X-Not-Run: 1\r\n", "")]),
    ];
    for (name, script) in not_run {
        let only = Route { max_attempts: 1, ..once() };
        let (reply, sends, _bed) = first_fails(only, script).await;
        assert_eq!((reply.status, reply.body.as_str(), sends), (200, "done", 2), "{name}");
    }
}

#[tokio::test]
async fn when_no_server_runs_it_the_caller_is_told_at_once_when_to_come_back() {
    let full =
        |got: &Got| vec![answer(got, "503 Full", "X-Not-Run: full\r\nRetry-After: 0.25\r\n", "")];
    let server = StandIn::new("s-1", full).await;
    let settings = RelaySettings { most_refusals: 1, ..RelaySettings::default() };
    let bed = Bed::with_settings(settings, Some(table(vec![once()])), &[&server]).await;
    let reply = call(bed.address, &post("t", "", "")).await;
    assert_eq!((reply.status, reply.header("retry-after")), (503, Some("0.250")));
    let bed = Bed::new(Some(table(vec![once()])), &[&server]).await;
    let reply = call(bed.address, &post("t", "", "")).await;
    assert_eq!((reply.status, server.got().len()), (503, 2), "the only server was tried");
    let wait: f64 = reply.header("retry-after").expect("named").parse().expect("a number");
    assert!(wait > 0.0 && wait < 10.0);
    let bed = Bed::new(Some(table(vec![once()])), &[]).await;
    assert_eq!(call(bed.address, &post("t", "", "")).await.status, 503);
}

#[tokio::test]
async fn a_server_that_cannot_be_reached_did_not_run_it() {
    // Bound and not listening: connections are refused, and no other test's server gets the port.
    let dead = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    dead.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = dead.local_addr().expect("its address").as_socket().expect("an IP address");
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::new(Some(table(vec![once()])), &[]).await;
    bed.add("dead", address);
    let reply = call(bed.address, &post("t", "", "")).await;
    assert_eq!(reply.status, 503);
    bed.add("s-1", server.address);
    assert_eq!(call(bed.address, &post("t", "", "")).await.status, 200);
    drop(dead);
}

#[tokio::test]
async fn a_connection_that_closed_while_idle_costs_no_request() {
    let server = StandIn::new("s-1", |got| match got.attempt() {
        "first" => [ok(got), vec![Step::Wait, Step::Close]].concat(),
        _ => ok(got),
    })
    .await;
    let bed = Bed::new(Some(table(vec![once()])), &[&server]).await;
    assert_eq!(call(bed.address, &post("first", "", "")).await.status, 200);
    server.release();
    // A round trip on another socket of the same host comes after the close.
    let probe = StandIn::new("probe", ok).await;
    let mut caller = Caller::new(probe.address).await;
    caller.call(&post("probe", "", "")).await;
    assert_eq!(call(bed.address, &post("second", "", "")).await.status, 200);
}

#[tokio::test]
async fn server_failures_pass_unchanged() {
    for status in ["500 Internal Server Error", "504 Gateway Timeout", "404 Not Found"] {
        let server = StandIn::new("s-1", move |got| vec![answer(got, status, "", "why")]).await;
        let bed = Bed::new(Some(table(vec![route()])), &[&server]).await;
        let reply = call(bed.address, &post("t", "", "")).await;
        assert_eq!((reply.status.to_string().as_str(), reply.body.as_str()), (&status[..3], "why"));
        assert_eq!(reply.header("x-signature"), Some("s-1"));
        assert_eq!(server.got().len(), 1);
    }
}

/// What a server is taken for.
#[derive(Debug, PartialEq, Eq)]
enum Fitness {
    Sound,
    /// Chosen when there is no other.
    LastChoice,
    /// Left alone for a moment.
    Paused,
    Gone,
}

fn fitness(bed: &Bed, id: &str) -> Fitness {
    bed.add("other", std::net::SocketAddr::from(([127, 0, 0, 1], 9)));
    let (service, other) = (common::service_name(), [BackendId::from("other")]);
    let mut backends = bed.backends.lock().expect("whole");
    if backends.is_leaving_or_gone(&BackendId::from(id)) {
        return Fitness::Gone;
    }
    // Nothing has faded at the very beginning, and no pause is over.
    let mut chosen = |preferred, tried| {
        let ask = ChoiceRequest {
            service: &service,
            affinity: Some(Affinity::Program(1)),
            preferred,
            tried,
            size: None,
        };
        match backends.choose(&ask, Timestamp(0)) {
            Choice::Use { server, .. } => Some(server.id.name),
            _ => None,
        }
    };
    let own = BackendId::from(id);
    match (chosen(Some(&own), &[]), chosen(Some(&own), &other)) {
        (Some(first), _) if first == id => Fitness::Sound,
        (_, Some(_)) => Fitness::LastChoice,
        (_, None) => Fitness::Paused,
    }
}

#[tokio::test]
async fn the_choice_of_servers_learns_how_each_attempt_ended() {
    let cases: [(&str, Script, Fitness); 9] = [
        ("answered", ok, Fitness::Sound),
        ("not found", |got| vec![answer(got, "404 Not Found", "", "")], Fitness::Sound),
        ("not proper", |got| vec![answer(got, "400 Bad", "X-Not-Run: 1\r\n", "")], Fitness::Sound),
        ("failed", |got| vec![answer(got, "500 Bad", "", "")], Fitness::LastChoice),
        ("reset", |_| vec![Step::Reset], Fitness::LastChoice),
        ("no promise", |got| vec![answer(got, "503 Full", "", "")], Fitness::LastChoice),
        ("full", shed, Fitness::Paused),
        ("another", |got| vec![answer(got, "421 Misdirected", "", "")], Fitness::Gone),
        ("left", |_| vec![Step::WaitForClose], Fitness::Sound),
    ];
    for (name, script, expected) in cases {
        let server = StandIn::new("s-1", script).await;
        let bed = Bed::new(Some(table(vec![once()])), &[&server]).await;
        for _ in 0..3 {
            call(bed.address, &post("t", "X-Deadline: 150\r\n", "")).await;
        }
        let in_flight = || bed.backends.lock().expect("whole").in_flight(&common::service_name());
        until("the attempt's end is told", || in_flight() == 0).await;
        assert_eq!(fitness(&bed, "s-1"), expected, "{name}");
    }
    // Bound and not listening: connections are refused, and no other test's server gets the port.
    let dead = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    dead.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let address = dead.local_addr().expect("its address").as_socket().expect("an IP address");
    let bed = Bed::new(Some(table(vec![once()])), &[]).await;
    bed.add("dead", address);
    call(bed.address, &post("t", "", "")).await;
    assert_eq!(fitness(&bed, "dead"), Fitness::Paused, "unreachable");
}

#[tokio::test]
async fn a_caller_that_leaves_takes_the_connection_to_the_server_with_it() {
    for head_first in [false, true] {
        let server = StandIn::new("s-1", move |got| {
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", got.attempt());
            let head = Step::Send(format!("{head}Content-Length: 9\r\n\r\nfirst"));
            let steps = [head, Step::WaitForClose];
            steps[usize::from(!head_first)..].to_vec()
        })
        .await;
        let bed = Bed::new(Some(table(vec![route()])), &[&server]).await;
        let mut caller = Caller::new(bed.address).await;
        caller.send(&post("t", "", "")).await;
        until("the server has the request", || server.got().len() == 1).await;
        drop(caller);
        until("the server sees the close", || server.closed() == 1).await;
        until("nothing is in progress", || bed.relay.in_progress() == 0).await;
        assert_eq!(server.got().len(), 1, "it is not sent again");
    }
}

#[tokio::test]
async fn at_the_deadline_the_caller_gets_its_answer_and_the_server_is_let_go() {
    let short = Route { timeout: Duration::from_millis(200), ..route() };
    let cases = [(short, "X-Deadline: 60000\r\n"), (route(), "X-Deadline: 200\r\n")];
    for (route, lines) in cases {
        let server = StandIn::new("s-1", |_| vec![Step::WaitForClose]).await;
        let bed = Bed::new(Some(table(vec![route])), &[&server]).await;
        let reply = call(bed.address, &post("t", lines, "")).await;
        assert_eq!(reply.status, 504);
        until("the server sees the close", || server.closed() == 1).await;
        assert_eq!(server.got().len(), 1);
    }
}

#[tokio::test]
async fn callers_beyond_the_most_wait_until_another_one_has_left() {
    let server = StandIn::new("s-1", ok).await;
    let settings = RelaySettings { most_connections: 1, ..RelaySettings::default() };
    let bed = Bed::with_settings(settings, Some(table(vec![once()])), &[&server]).await;
    let mut first = Caller::new(bed.address).await;
    assert_eq!(first.call(&post("t-1", "", "")).await.status, 200);
    let mut second = Caller::new(bed.address).await;
    second.send(&post("t-2", "", "")).await;
    assert_eq!(first.call(&post("t-3", "", "")).await.status, 200);
    assert_eq!(bed.relay.counters().connections, 1, "the other one waits");
    drop(first);
    assert_eq!(second.reply().await.status, 200);
}

#[test]
fn settings_out_of_range_are_named() {
    assert!(RelaySettings::default().check().is_ok());
    let wrong = RelaySettings { most_refusals: 0, ..RelaySettings::default() };
    let error = wrong.check().expect_err("none").to_string();
    assert!(error.contains("relay.most_refusals"), "{error}");
}
