//! Answers without a length or chunks whose server's process ends while it sends them: its system closes their
//! connections as a server does that is done.

mod common;

use std::ops::Range;
use std::sync::{Arc, Mutex};

use common::caller::{Caller, Reply, call, post};
use common::scripted_server::{
    HealthAnswer, ReceivedRequest, ScriptedServer, Step, answer_ok, event,
    stream_head_without_framing,
};
use common::{
    TestGateway, at_most_once_route, repeatable_route, resumable_stream_route,
    retained_turns_route, route_table, service_name, wait_until,
};
use dahlia_backends::{BackendId, BackendRecord, BackendState, SoftwareVersion};
use dahlia_ledger::TurnEnd;
use dahlia_relay::{RelaySettings, Route};
use dahlia_types::{Duration, Timestamp, Zone};

const TURN_HEADERS: &str =
    "X-Program: p-1\r\nX-Session: l-1\r\nX-Budget: 500\r\nX-Tokens: 40,80\r\n";

/// A whole stream has these events.
const ALL_EVENTS: Range<u32> = 1..6;

fn events(range: Range<u32>) -> String {
    range.map(|id| event(id, &format!("d{id}"))).collect()
}

/// How much the server has sent when its process ends.
#[derive(Debug, Clone, Copy)]
enum Sent {
    TwoEvents,
    AllEvents,
}

impl Sent {
    fn text(self) -> String {
        match self {
            Self::TwoEvents => events(1..3),
            Self::AllEvents => events(ALL_EVENTS),
        }
    }
}

/// Whether the relay has time for a second connection before the end.
#[derive(Debug, Clone, Copy)]
enum Pace {
    /// Head, body and end leave at once.
    AtOnce,
    /// The end waits for a second connection.
    Slow,
}

/// What listens at the address after the end of the process.
#[derive(Debug, Clone, Copy)]
enum After {
    Nothing,
    /// Another server.
    Successor,
    /// A server under the same name.
    SameName,
}

/// One way in which a server's process ends under an answer.
#[derive(Debug, Clone, Copy)]
struct Case {
    sent: Sent,
    pace: Pace,
    after: After,
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for sent in [Sent::TwoEvents, Sent::AllEvents] {
        for pace in [Pace::AtOnce, Pace::Slow] {
            for after in [After::Nothing, After::Successor, After::SameName] {
                cases.push(Case { sent, pace, after });
            }
        }
    }
    cases
}

fn answer_and_die(request: &ReceivedRequest, Case { sent, pace, .. }: Case) -> Vec<Step> {
    let mut steps = vec![stream_head_without_framing(request), Step::Send(sent.text())];
    if let Pace::Slow = pace {
        steps.push(Step::WaitForConnections(2));
    }
    steps.push(Step::Die);
    steps
}

/// The events after the one that the request names, without framing, from a server that lives on.
fn rest_of_stream(request: &ReceivedRequest) -> Vec<Step> {
    let last = request.header("x-last-event").map_or(0, |id| id.parse().expect("a number"));
    match last + 1 {
        6 => vec![
            common::scripted_server::stream_head(request),
            common::scripted_server::last_chunk(),
        ],
        next => {
            let rest = Step::Send(events(next..ALL_EVENTS.end));
            vec![stream_head_without_framing(request), rest, Step::Close]
        }
    }
}

/// Two servers. The first one that gets a request dies under it, and the other one serves.
struct Servers {
    servers: [ScriptedServer; 2],
    gateway: TestGateway,
}

impl Servers {
    async fn new(case: Case, route: Route) -> Self {
        let has_died = Arc::new(Mutex::new(false));
        let make = async |id: &str| {
            let has_died = Arc::clone(&has_died);
            let script = move |request: &ReceivedRequest| {
                let mut has_died = has_died.lock().expect("the lock is not poisoned");
                if std::mem::replace(&mut *has_died, true) {
                    return rest_of_stream(request);
                }
                answer_and_die(request, case)
            };
            let server = ScriptedServer::new(id, script).await;
            match case.after {
                After::Nothing => {}
                After::Successor => {
                    server.set_successor(&ScriptedServer::unstarted("later", answer_ok));
                }
                After::SameName => {
                    server.set_successor(&ScriptedServer::unstarted(id, answer_ok));
                }
            }
            server
        };
        let servers = [make("s-1").await, make("s-2").await];
        let gateway = TestGateway::new(Some(route_table(vec![route])), &[]).await;
        // Names that are used again come with the time of birth.
        let born = if let After::SameName = case.after { 1 } else { 0 };
        for server in &servers {
            add_server(&gateway, server, born);
        }
        Self { servers, gateway }
    }

    fn requests(&self) -> usize {
        self.servers.iter().map(|server| server.requests().len()).sum()
    }
}

fn add_server(gateway: &TestGateway, server: &ScriptedServer, born: u64) {
    let record = BackendRecord {
        id: BackendId { name: server.id.clone(), born },
        service: service_name(),
        address: server.address,
        zone: Zone("zone".into()),
        slots: 8,
        state: BackendState::Ready,
        cold_for: Duration::ZERO,
        version: SoftwareVersion::default(),
    };
    let mut backends = gateway.backends.lock().expect("the lock is not poisoned");
    backends.put(record, Timestamp(0));
}

async fn call_through(case: Case, route: Route, lines: &str) -> (Reply, Servers) {
    let servers = Servers::new(case, route).await;
    let reply = call(servers.gateway.address, &post("t", lines, "prompt")).await;
    (reply, servers)
}

fn plain_stream() -> Route {
    Route { is_stream: true, ..at_most_once_route() }
}

/// Guards against a stream that ends early although other servers could go on with it.
#[tokio::test]
async fn a_stream_whose_server_ends_with_it_resumes_at_another_server() {
    for case in cases() {
        let (reply, servers) = call_through(case, resumable_stream_route(), "").await;
        assert_eq!(reply.body, events(ALL_EVENTS), "{case:?}");
        assert!(reply.is_whole, "{case:?}");
        assert_eq!(servers.requests(), 2, "{case:?}");
    }
}

/// Guards against half of an answer that its caller gets as a complete one.
#[tokio::test]
async fn a_stream_whose_server_ends_with_it_and_that_cannot_resume_is_broken_off() {
    for case in cases() {
        let (reply, servers) = call_through(case, plain_stream(), "").await;
        assert_eq!((reply.status, reply.is_whole), (200, false), "{case:?}");
        assert_eq!(reply.body, case.sent.text(), "{case:?}: all that came is passed on");
        assert_eq!(servers.gateway.relay.counters().broken_off, 1, "{case:?}");
    }
}

/// Guards against later turns of a program that continue from half of an answer.
#[tokio::test]
async fn a_turn_whose_server_ends_with_its_answer_is_not_recorded_as_complete() {
    for case in cases() {
        let (reply, servers) = call_through(case, retained_turns_route(), TURN_HEADERS).await;
        let gateway = &servers.gateway;
        assert!(!reply.is_whole, "{case:?}");
        wait_until("the turn is settled", || gateway.relay.counters().unsettled_turns == 0).await;
        assert_eq!(gateway.ledger.turn_ends(), [TurnEnd::Incomplete], "{case:?}");
    }
}

/// Guards against half of a receipt: the relay would give it a length that fits.
#[tokio::test]
async fn an_answer_that_is_no_stream_is_lost_if_its_server_ends_with_it() {
    for case in cases() {
        let (reply, servers) = call_through(case, at_most_once_route(), "").await;
        assert_eq!(reply.status, 502, "{case:?}: {reply:?}");
        assert_eq!(servers.requests(), 1, "{case:?}");
        let (reply, servers) = call_through(case, repeatable_route(), "").await;
        assert_eq!((reply.status, reply.is_whole), (200, true), "{case:?}");
        assert_eq!(reply.body, events(ALL_EVENTS), "{case:?}: the other server's answer");
        assert_eq!(servers.requests(), 2, "{case:?}");
    }
}

/// Guards against an answer whose caller has no other sign of its end than that of the connection.
#[tokio::test]
async fn a_caller_without_chunks_is_reset_if_the_server_ends_with_its_answer() {
    for case in cases() {
        let servers = Servers::new(case, plain_stream()).await;
        let mut caller = Caller::new(servers.gateway.address).await;
        caller.send(&post("t", "", "").replacen("HTTP/1.1", "HTTP/1.0", 1)).await;
        assert!(!caller.read_to_orderly_end().await, "{case:?}");
    }
}

/// Guards against a good record of a server that has ended.
#[tokio::test]
async fn an_answer_with_which_its_server_ends_counts_as_failed() {
    for case in cases() {
        let failed = Arc::new(Mutex::new(0));
        let listener = Arc::clone(&failed);
        let servers = Servers::new(case, plain_stream()).await;
        let on_failure = move |_: &_| *listener.lock().expect("the lock is not poisoned") += 1;
        let backends = Arc::clone(&servers.gateway.backends);
        backends.lock().expect("the lock is not poisoned").on_failure(Box::new(on_failure));
        assert!(!call(servers.gateway.address, &post("t", "", "")).await.is_whole, "{case:?}");
        wait_until("the failure is recorded", || *failed.lock().expect("not poisoned") == 1).await;
    }
}

/// Guards against sound answers that are broken off since the name of their server does not show which process answers. The first
/// one has no proof; from then on requests to the service have a second connection before their answers come.
#[tokio::test]
async fn answers_at_once_of_servers_that_reuse_their_names_are_complete_from_the_second_one_on() {
    let servers = [
        ScriptedServer::new("s-1", rest_of_stream).await,
        ScriptedServer::new("s-2", rest_of_stream).await,
    ];
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[]).await;
    add_server(&gateway, &servers[0], 1);
    assert_eq!(call(gateway.address, &post("t-1", "", "")).await.status, 502);
    // No connection to the second server is open yet.
    add_server(&gateway, &servers[1], 1);
    let mut statuses = Vec::new();
    while servers[1].requests().is_empty() {
        let reply = call(gateway.address, &post("t-2", "", "")).await;
        assert_eq!(reply.body, events(ALL_EVENTS));
        statuses.push(reply.status);
    }
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against half of an answer whose transfer coding is not chunked: it ends with its connection too.
#[tokio::test]
async fn an_answer_in_another_transfer_coding_ends_with_its_connection() {
    let server = ScriptedServer::new("s-1", |request| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt: {}\r\nTransfer-Encoding: x-plain\r\n\r\n",
            request.attempt()
        );
        vec![Step::Send(head + "half"), Step::WaitForConnections(2), Step::Die]
    })
    .await;
    let table = route_table(vec![at_most_once_route()]);
    let gateway = TestGateway::new(Some(table), &[&server]).await;
    assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 502);
}

/// A server that lives on, and how it answers health checks.
struct LivingServer {
    name: &'static str,
    prepare: fn(&ScriptedServer),
}

const LIVING_SERVERS: [LivingServer; 5] = [
    LivingServer { name: "idle", prepare: |_| {} },
    LivingServer {
        name: "leaving or full",
        prepare: |server| server.set_health_answer(HealthAnswer::Status("503 Service Unavailable")),
    },
    LivingServer {
        name: "does not tell its name",
        prepare: |server| server.set_health_answer(HealthAnswer::Nameless),
    },
    LivingServer {
        name: "closes the connection after its answer",
        prepare: |server| {
            let answer = "HTTP/1.1 200 OK\r\nX-Instance: s-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            server.set_health_answer(HealthAnswer::Raw(answer.to_owned()));
        },
    },
    LivingServer {
        name: "resets further connections",
        prepare: |server| server.limit_connections(2),
    },
];

/// Guards against sound answers that are broken off.
#[tokio::test]
async fn an_answer_is_complete_if_its_server_lives_past_the_end() {
    for LivingServer { name, prepare } in LIVING_SERVERS {
        for route in [plain_stream(), resumable_stream_route(), at_most_once_route()] {
            let server = ScriptedServer::new("s-1", |request| {
                let steps =
                    [Step::Send(events(ALL_EVENTS)), Step::WaitForConnections(2), Step::Close];
                [vec![stream_head_without_framing(request)], steps.to_vec()].concat()
            })
            .await;
            prepare(&server);
            let table = route_table(vec![route]);
            let gateway = TestGateway::new(Some(table), &[&server]).await;
            let reply = call(gateway.address, &post("t", "", "")).await;
            assert_eq!((reply.status, reply.is_whole), (200, true), "{name}");
            assert_eq!(reply.body, events(ALL_EVENTS), "{name}");
            assert_eq!(server.requests().len(), 1, "{name}");
        }
    }
}

/// As above, for an answer that comes too fast for a second connection.
#[tokio::test]
async fn an_answer_that_comes_at_once_is_complete_if_its_server_lives_past_the_end() {
    for LivingServer { name, prepare } in &LIVING_SERVERS[..4] {
        let server = ScriptedServer::new("s-1", rest_of_stream).await;
        prepare(&server);
        let table = route_table(vec![at_most_once_route()]);
        let gateway = TestGateway::new(Some(table), &[&server]).await;
        let reply = call(gateway.address, &post("t", "", "")).await;
        assert_eq!((reply.status, reply.body), (200, events(ALL_EVENTS)), "{name}");
    }
}

/// A server that is paused, or that lets health checks wait for long, has ended its answer before that.
#[tokio::test]
async fn an_answer_is_complete_if_its_server_keeps_its_connections_without_answering() {
    let settings = RelaySettings { unacknowledged_timeout_ms: 100, ..RelaySettings::default() };
    let server = ScriptedServer::new("s-1", |request| {
        let steps = [Step::Send(events(ALL_EVENTS)), Step::WaitForConnections(2), Step::Close];
        [vec![stream_head_without_framing(request)], steps.to_vec()].concat()
    })
    .await;
    server.set_health_answer(HealthAnswer::Never);
    let table = Some(route_table(vec![at_most_once_route()]));
    let gateway = TestGateway::with_settings(settings, table, &[&server]).await;
    let reply = call(gateway.address, &post("t", "", "")).await;
    assert_eq!((reply.status, reply.body), (200, events(ALL_EVENTS)));
}

/// A connection from after the end does not show by itself whose it is.
#[tokio::test]
async fn an_answer_is_lost_if_nothing_answers_on_the_only_connection_after_its_end() {
    let settings = RelaySettings { unacknowledged_timeout_ms: 100, ..RelaySettings::default() };
    let server = ScriptedServer::new("s-1", rest_of_stream).await;
    server.set_health_answer(HealthAnswer::Never);
    let table = Some(route_table(vec![at_most_once_route()]));
    let gateway = TestGateway::with_settings(settings, table, &[&server]).await;
    assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 502);
}

/// Guards against an end that is held for longer than its caller waits.
#[tokio::test]
async fn the_deadline_passes_while_a_health_check_waits() {
    let server = ScriptedServer::new("s-1", rest_of_stream).await;
    server.set_health_answer(HealthAnswer::Never);
    let table = route_table(vec![
        at_most_once_route(),
        Route { path_prefix: "/stream/".into(), ..plain_stream() },
    ]);
    let gateway = TestGateway::new(Some(table), &[&server]).await;
    let reply = call(gateway.address, &post("t", "X-Deadline: 200\r\n", "")).await;
    assert_eq!(reply.status, 504);
    let text = post("t", "X-Deadline: 200\r\n", "").replacen("/a/", "/stream/", 1);
    let reply = call(gateway.address, &text).await;
    assert_eq!((reply.status, reply.is_whole), (200, false));
    assert_eq!(reply.body, events(ALL_EVENTS), "its events are not held back");
}

/// Guards against a surplus answer on an idle connection that is taken for a sign of life.
#[tokio::test]
async fn an_answer_to_another_request_does_not_show_that_a_server_lives() {
    let server = ScriptedServer::new("s-1", |request| {
        let steps = [Step::Send(events(1..3)), Step::WaitForConnections(2), Step::Close];
        [vec![stream_head_without_framing(request)], steps.to_vec()].concat()
    })
    .await;
    let surplus = "HTTP/1.1 200 OK\r\nX-Attempt: earlier\r\nContent-Length: 0\r\n\r\n";
    server.set_health_answer(HealthAnswer::Raw(surplus.to_owned()));
    let table = route_table(vec![plain_stream()]);
    let gateway = TestGateway::new(Some(table), &[&server]).await;
    assert!(!call(gateway.address, &post("t", "", "")).await.is_whole);
}

/// Guards against the half of an answer whose server has a later life by the metadata store's word.
#[tokio::test]
async fn an_answer_of_an_earlier_life_is_lost_whatever_the_later_one_answers() {
    let server = ScriptedServer::new("s-1", |request| {
        let steps = [Step::Send(events(1..3)), Step::WaitForRelease, Step::Close];
        [vec![stream_head_without_framing(request)], steps.to_vec()].concat()
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![plain_stream()])), &[]).await;
    add_server(&gateway, &server, 1);
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t", "", "")).await;
    caller.read_head().await;
    add_server(&gateway, &server, 2);
    server.release();
    while let Some(chunk) = caller.read_chunk().await {
        assert!(!chunk.is_empty(), "the last chunk has come");
    }
}

/// Answers that tell where they end cost nothing more.
#[tokio::test]
async fn answers_with_a_length_need_no_health_check() {
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let table = route_table(vec![at_most_once_route()]);
    let gateway = TestGateway::new(Some(table), &[&server]).await;
    for _ in 0..5 {
        assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 200);
    }
    assert_eq!((server.connections(), server.health_checks()), (1, 0));
}

/// Each answer that ends with its connection costs a connection in any case. The second one, on which the server shows that
/// it lives, stays for the next request.
#[tokio::test]
async fn answers_without_a_length_open_one_connection_each_and_one_more() {
    const ANSWERS: usize = 8;
    let server = ScriptedServer::new("s-1", rest_of_stream).await;
    let table = route_table(vec![at_most_once_route()]);
    let gateway = TestGateway::new(Some(table), &[&server]).await;
    for _ in 0..ANSWERS {
        assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 200);
    }
    assert_eq!(server.health_checks(), ANSWERS);
    assert!(server.connections() <= ANSWERS + 1, "{} connections", server.connections());
}
