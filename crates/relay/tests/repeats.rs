//! On how many servers one request may run, and how many repeats a service gets in all.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration as StdDuration;

use common::caller::{Caller, Reply, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, answer_ok, chunk, event, last_chunk, stream_head,
};
use common::{
    HANG_TIMEOUT, TestGateway, repeatable_route, resumable_stream_route, route_table, service_name,
    wait_until,
};
use dahlia_backends::{BackendId, BackendRecord, BackendState};
use dahlia_relay::{RelaySettings, Route};
use dahlia_types::{Duration, Timestamp, Zone};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

type Script = fn(&ReceivedRequest) -> Vec<Step>;

/// Servers in each test of the attempt limit, more than any limit there.
const SERVERS: usize = 5;
/// Repeats of a service, at most: for each first send, and for each gateway from its start.
const REPEATS_PER_FIRST_SEND: f64 = 0.1;
const REPEATS_PER_GATEWAY: usize = 2;

/// Settings with which a server is found silent soon.
fn quick_probes() -> RelaySettings {
    RelaySettings { silence_ms: 50, connect_timeout_ms: 50, ..RelaySettings::default() }
}

async fn servers_with(script: Script) -> Vec<ScriptedServer> {
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        servers.push(ScriptedServer::new(&format!("s-{number}"), script).await);
    }
    servers
}

async fn gateway_with(route: Route, servers: &[ScriptedServer]) -> TestGateway {
    let servers: Vec<&ScriptedServer> = servers.iter().collect();
    TestGateway::with_settings(quick_probes(), Some(route_table(vec![route])), &servers).await
}

fn runs(servers: &[ScriptedServer]) -> usize {
    servers.iter().map(|server| server.requests().len()).sum()
}

fn set_state(gateway: &TestGateway, server: &ScriptedServer, state: BackendState) {
    let record = BackendRecord {
        id: BackendId::from(server.id.as_str()),
        service: service_name(),
        address: server.address,
        zone: Zone("zone".into()),
        slots: 8,
        state,
        cold_for: Duration::ZERO,
        version: dahlia_backends::SoftwareVersion::default(),
    };
    gateway.backends.lock().expect("the lock is not poisoned").put(record, Timestamp(0));
}

fn unlist(gateway: &TestGateway, server: &ScriptedServer) {
    let mut backends = gateway.backends.lock().expect("the lock is not poisoned");
    backends.remove(&BackendId::from(server.id.as_str()), Timestamp(0));
}

/// What discovery learns of a server while a request is there.
#[derive(Debug, Clone, Copy)]
enum News {
    Leaving,
    Unlisted,
}

struct LossCase {
    name: &'static str,
    news: News,
    script: Script,
    route: fn() -> Route,
    max_attempts: u32,
}

/// Guards against repeats beyond the limit: a server that leaves or is no longer listed serves on,
/// so a request whose answer it loses has run there.
#[tokio::test]
async fn a_leaving_or_unlisted_server_that_loses_an_answer_counts_against_the_limit() {
    let cases = [
        ("leaving, one server", News::Leaving, repeatable_route as fn() -> Route, 1),
        ("leaving, two servers", News::Leaving, repeatable_route, 2),
        ("leaving, three servers", News::Leaving, repeatable_route, 3),
        ("unlisted, one server", News::Unlisted, repeatable_route, 1),
        ("unlisted, two servers", News::Unlisted, repeatable_route, 2),
        ("leaving, two servers of a stream", News::Leaving, resumable_stream_route, 2),
    ];
    let script: Script = |_| vec![Step::WaitForRelease, Step::Reset];
    for (name, news, route, max_attempts) in cases {
        check_lost_answers(LossCase { name, news, script, route, max_attempts }).await;
    }
}

/// Guards against repeats beyond the limit: a server that leaves stops listening first and still works
/// on what it has, so a refused connection does not prove that it has ended.
#[tokio::test]
async fn a_leaving_or_unlisted_server_that_stops_listening_counts_against_the_limit() {
    let cases = [
        ("leaving, one server", News::Leaving, repeatable_route as fn() -> Route, 1),
        ("leaving, two servers", News::Leaving, repeatable_route, 2),
        ("unlisted, one server", News::Unlisted, repeatable_route, 1),
        ("leaving, one server of a stream", News::Leaving, resumable_stream_route, 1),
    ];
    let script: Script = |_| vec![Step::WaitForRelease, Step::StopAndReset];
    for (name, news, route, max_attempts) in cases {
        check_lost_answers(LossCase { name, news, script, route, max_attempts }).await;
    }
}

async fn check_lost_answers(case: LossCase) {
    let servers = servers_with(case.script).await;
    let route = Route { max_attempts: case.max_attempts, ..(case.route)() };
    let gateway = gateway_with(route, &servers).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t-1", "", "x")).await;
    for expected_runs in 1..=case.max_attempts as usize {
        let reached = || runs(&servers) == expected_runs;
        wait_until("a further server has the request", reached).await;
        for server in servers.iter().filter(|server| !server.requests().is_empty()) {
            match case.news {
                News::Leaving => set_state(&gateway, server, BackendState::Draining),
                News::Unlisted => unlist(&gateway, server),
            }
            server.release();
        }
    }
    // A sixth server could not be reached, so the reply comes at the latest from there.
    servers.iter().for_each(ScriptedServer::release);
    let reply = caller.read_reply().await;
    let seen = (reply.status, runs(&servers));
    assert_eq!(seen, (502, case.max_attempts as usize), "{}", case.name);
}

/// Guards against repeats beyond the limit: a server that accepts no connection may be paused or
/// overloaded, so it may still run the request and answer it.
#[tokio::test]
async fn a_living_server_that_accepts_no_connection_counts_against_the_limit() {
    let script: Script =
        |request| [vec![Step::StopAccepting, Step::WaitForRelease], answer_ok(request)].concat();
    for max_attempts in [1, 2, 3] {
        let servers = servers_with(script).await;
        let route = Route { max_attempts, ..repeatable_route() };
        let gateway = gateway_with(route, &servers).await;
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&post("t-1", "", "x")).await;
        let is_reached = || runs(&servers) >= max_attempts as usize;
        wait_until("the last server that may run it has the request", is_reached).await;
        // Several times as long as it takes to find a server silent. This only gives a further send
        // the time to happen.
        sleep(StdDuration::from_millis(600)).await;
        servers.iter().for_each(ScriptedServer::release);
        let reply = caller.read_reply().await;
        assert_eq!((reply.status, runs(&servers)), (200, max_attempts as usize));
    }
}

/// Guards against repeats beyond the limit: a connection to a living server that does not read times out
/// although its system acknowledges each probe, so the server counts.
#[tokio::test]
async fn a_living_server_that_does_not_read_counts_against_the_limit() {
    /// More than a receive buffer that nobody reads from.
    const BODY_BYTES: usize = 900_000;
    for max_attempts in [1, 2] {
        let sent_to = Arc::new(AtomicUsize::new(0));
        let settings = RelaySettings { unacknowledged_timeout_ms: 400, ..quick_probes() };
        let route = Route { max_attempts, ..repeatable_route() };
        let table = Some(route_table(vec![route]));
        let gateway = TestGateway::with_settings(settings, table, &[]).await;
        for number in 1..=SERVERS {
            let address = server_that_does_not_read(Arc::clone(&sent_to)).await;
            gateway.add_server(&format!("s-{number}"), address);
        }
        let body = "x".repeat(BODY_BYTES);
        let reply = call(gateway.address, &post("t-1", "X-Deadline: 9000\r\n", &body)).await;
        assert_eq!(reply.status, 502, "it may have run");
        let servers = sent_to.load(Ordering::SeqCst);
        assert!(servers <= max_attempts as usize, "sent to {servers} of {max_attempts} servers");
    }
}

/// Guards against repeats beyond the limit: a server that is listed as ready, resets a connection and stops listening may
/// live on and run what it has.
#[tokio::test]
async fn a_living_server_that_stops_listening_counts_against_the_limit() {
    let script: Script = |_| vec![Step::StopAndReset];
    let servers = servers_with(script).await;
    let route = Route { max_attempts: 1, ..repeatable_route() };
    let gateway = gateway_with(route, &servers).await;
    let reply = call(gateway.address, &post("t-1", "", "x")).await;
    assert_eq!(reply.status, 502, "it may have run");
    assert_eq!(runs(&servers), 1, "sent to {} of 1 servers", runs(&servers));
}

/// Guards against repeats beyond the limit: a paused server keeps its window closed and its queue of connections full, while
/// its system acknowledges each probe of what was sent.
#[tokio::test]
async fn a_living_server_that_neither_reads_nor_accepts_counts_against_the_limit() {
    const BODY_BYTES: usize = 900_000;
    let sent_to = Arc::new(AtomicUsize::new(0));
    let settings = RelaySettings { unacknowledged_timeout_ms: 400, ..quick_probes() };
    let table = Some(route_table(vec![Route { max_attempts: 1, ..repeatable_route() }]));
    let gateway = TestGateway::with_settings(settings, table, &[]).await;
    for number in 1..=SERVERS {
        let address = paused_server(Arc::clone(&sent_to)).await;
        gateway.add_server(&format!("s-{number}"), address);
    }
    let body = "x".repeat(BODY_BYTES);
    let reply = call(gateway.address, &post("t-1", "X-Deadline: 9000\r\n", &body)).await;
    assert_eq!(reply.status, 502, "it may have run");
    assert_eq!(sent_to.load(Ordering::SeqCst), 1, "servers that it was sent to");
}

/// A server that accepts one connection, reads the head of a request, and then neither reads nor accepts any more. Returns its
/// address.
async fn paused_server(requests: Arc<AtomicUsize>) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let listener = socket.listen(1).expect("the socket can listen");
    let address = listener.local_addr().expect("the local address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1024]).await;
        requests.fetch_add(1, Ordering::SeqCst);
        // These fill the queue, so that further connections hang.
        let mut waiting = JoinSet::new();
        for _ in 0..4 {
            waiting.spawn(TcpStream::connect(address));
        }
        std::future::pending::<()>().await;
        drop((listener, stream, waiting));
    });
    address
}

/// A server that accepts connections and never reads more than the head of a request. Returns its address.
async fn server_that_does_not_read(requests: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the local address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let requests = Arc::clone(&requests);
            tokio::spawn(async move {
                // A probe connection closes without a byte.
                if stream.read(&mut [0; 1024]).await.is_ok_and(|count| count > 0) {
                    requests.fetch_add(1, Ordering::SeqCst);
                    std::future::pending::<()>().await;
                }
            });
        }
    });
    address
}

/// Guards against a server that stays given up: once a probe of it had timed out, every later request
/// was abandoned as soon as it was sent, so nothing that came from the server could be noticed.
#[tokio::test]
async fn a_server_that_did_not_respond_for_a_while_is_used_again() {
    const REQUESTS: usize = 10;
    let server = ScriptedServer::new("s-1", |request| match request.attempt() {
        "t-0" => [vec![Step::StopAccepting, Step::WaitForRelease], answer_ok(request)].concat(),
        _ => answer_ok(request),
    })
    .await;
    let gateway = gateway_with(repeatable_route(), std::slice::from_ref(&server)).await;
    let first = call(gateway.address, &post("t-0", "X-Deadline: 500\r\n", "x")).await;
    assert!([502, 504].contains(&first.status), "the server does not respond: {first:?}");
    server.release();
    server.resume_accepting().await;
    let address = gateway.address;
    let is_served = async || call(address, &post("t-1", "", "x")).await.status == 200;
    let served_again = timeout(HANG_TIMEOUT, async {
        while !is_served().await {
            sleep(StdDuration::from_millis(20)).await;
        }
    });
    assert!(served_again.await.is_ok(), "the server responds again and is not used");
    let runs_before = server.requests().len();
    for number in 0..REQUESTS {
        let reply = call(gateway.address, &post(&format!("u-{number}"), "", "x")).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(server.requests().len(), runs_before + REQUESTS);
}

/// Guards against repeats beyond the limit: a request for an earlier incarnation may run at the later
/// one, which is not known yet when the request is sent, so the server counts although it restarted.
#[tokio::test]
async fn a_server_that_has_restarted_counts_against_the_limit() {
    let restarted = ScriptedServer::new("s-1", |_| vec![Step::WaitForClose]).await;
    let other = ScriptedServer::new("s-2", answer_ok).await;
    let route = Route { max_attempts: 1, ..repeatable_route() };
    let gateway = gateway_with(route, &[]).await;
    gateway.add_server("s-1@10", restarted.address);
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t-1", "", "x")).await;
    wait_until("the server has the request", || !restarted.requests().is_empty()).await;
    gateway.add_server("s-2", other.address);
    gateway.add_server("s-1@20", restarted.address);
    assert_eq!(caller.read_reply().await.status, 502);
    assert_eq!(other.requests().len(), 0);
}

fn most_repeats(first_sends: usize) -> usize {
    REPEATS_PER_GATEWAY + (first_sends as f64 * REPEATS_PER_FIRST_SEND) as usize
}

/// Guards against repeats that multiply the load: when all servers of a service lose answers, every
/// request was sent to as many of them as its route allows.
#[tokio::test]
async fn repeats_of_a_service_are_limited_to_a_share_of_its_first_sends() {
    const REQUESTS: usize = 100;
    let servers = servers_with(|_| vec![Step::Reset]).await;
    let gateway = gateway_with(repeatable_route(), &servers).await;
    let mut replies = Vec::new();
    for number in 0..REQUESTS {
        replies.push(call(gateway.address, &post(&format!("t-{number}"), "", "x")).await);
    }
    assert_withheld_at_once(&replies);
    let repeats = runs(&servers) - REQUESTS;
    assert!(repeats <= most_repeats(REQUESTS), "{repeats} repeats of {REQUESTS} requests");
    assert!(repeats > 0, "a few repeats are allowed");
}

/// Guards against reserved repeats that are lost: a repeat is reserved before its server is chosen, so
/// one that finds no server must go back to the budget.
#[tokio::test]
async fn a_reserved_repeat_that_finds_no_server_can_be_used_later() {
    const UNUSED: usize = 5;
    const REQUESTS: usize = 10;
    let gateway = gateway_with(repeatable_route(), &[]).await;
    for number in 0..UNUSED {
        let script: Script = |_| vec![Step::WaitForRelease, Step::Reset];
        let only = ScriptedServer::new(&format!("only-{number}"), script).await;
        gateway.add_server(&only.id, only.address);
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&post(&format!("t-{number}"), "", "x")).await;
        wait_until("the server has the request", || !only.requests().is_empty()).await;
        unlist(&gateway, &only);
        only.release();
        assert_eq!(caller.read_reply().await.status, 502);
    }
    let servers = servers_with(|_| vec![Step::Reset]).await;
    for server in &servers {
        gateway.add_server(&server.id, server.address);
    }
    for number in 0..REQUESTS {
        call(gateway.address, &post(&format!("u-{number}"), "", "x")).await;
    }
    // No repeat came back twice either.
    assert_eq!(runs(&servers) - REQUESTS, most_repeats(UNUSED + REQUESTS));
}

/// A request that may have run gets no promise and no time to come back.
fn assert_withheld_at_once(replies: &[Reply]) {
    for reply in replies {
        assert_eq!((reply.status, reply.header("retry-after")), (502, None));
    }
}

/// Guards against repeats that come all at once: when a server fell silent, all requests that waited
/// there went on to others at the same moment.
#[tokio::test]
async fn requests_at_a_silent_server_do_not_all_go_on_at_once() {
    const REQUESTS: usize = 8;
    let arrived = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&arrived);
    // The first server to get a request gets all of them, and answers none for now.
    let paused = ScriptedServer::new("s-1", move |request| {
        let is_last = count.fetch_add(1, Ordering::SeqCst) + 1 == REQUESTS;
        let stop = vec![Step::StopAccepting][usize::from(!is_last)..].to_vec();
        [stop, vec![Step::WaitForRelease], answer_ok(request)].concat()
    })
    .await;
    let other = ScriptedServer::new("s-2", answer_ok).await;
    let gateway = gateway_with(
        Route { max_attempts: 2, ..repeatable_route() },
        std::slice::from_ref(&paused),
    )
    .await;
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
        let address = gateway.address;
        calls.spawn(async move { call(address, &post(&format!("t-{number}"), "", "x")).await });
    }
    wait_until("all requests are at the server", || arrived.load(Ordering::SeqCst) == REQUESTS)
        .await;
    gateway.add_server("s-2", other.address);
    let moved = || other.requests().len() > most_repeats(REQUESTS);
    let has_moved = timeout(StdDuration::from_millis(600), async {
        while !moved() {
            sleep(StdDuration::from_millis(5)).await;
        }
    });
    assert!(has_moved.await.is_err(), "{} of {REQUESTS} went on", other.requests().len());
    paused.release();
    for reply in calls.join_all().await {
        assert_eq!(reply.status, 200, "the paused server answers those that stayed");
    }
}

/// Guards against repeats that were saved up over a gateway's life and are sent within a second, by all
/// gateways at once, when a service loses its answers.
#[tokio::test]
async fn first_sends_of_long_ago_allow_no_repeats() {
    const GATEWAYS: usize = 10;
    const ANSWERED: usize = 100;
    const LOST: usize = 12;
    let window = StdDuration::from_millis(300);
    let script: Script = |request| match request.body.as_str() {
        "lost" => vec![Step::Reset],
        _ => answer_ok(request),
    };
    let servers = servers_with(script).await;
    let settings = RelaySettings { repeat_window_ms: window.as_millis() as u64, ..quick_probes() };
    let mut gateways = Vec::new();
    for _ in 0..GATEWAYS {
        let servers: Vec<&ScriptedServer> = servers.iter().collect();
        let table = Some(route_table(vec![repeatable_route()]));
        gateways.push(TestGateway::with_settings(settings.clone(), table, &servers).await);
    }
    for gateway in &gateways {
        for number in 0..ANSWERED {
            call(gateway.address, &post(&format!("t-{number}"), "", "x")).await;
        }
    }
    sleep(2 * window).await;
    let before = runs(&servers);
    for gateway in &gateways {
        for number in 0..LOST {
            call(gateway.address, &post(&format!("u-{number}"), "", "lost")).await;
        }
    }
    let repeats = runs(&servers) - before - GATEWAYS * LOST;
    let most = GATEWAYS * most_repeats(LOST);
    assert!(repeats <= most, "{repeats} repeats of {} requests, {most} allowed", GATEWAYS * LOST);
    assert!(repeats > 0, "a few repeats are allowed");
}

/// After a time of successes, lost answers are repeated as before: the limit is a share of the first
/// sends, not a number for the life of a gateway.
#[tokio::test]
async fn first_sends_allow_further_repeats() {
    const REQUESTS: usize = 60;
    let servers = [
        ScriptedServer::new("s-1", |request| match request.body.as_str() {
            "lost" => vec![Step::Reset],
            _ => answer_ok(request),
        })
        .await,
        ScriptedServer::new("s-2", answer_ok).await,
    ];
    let gateway = gateway_with(repeatable_route(), &servers).await;
    for number in 0..REQUESTS {
        call(gateway.address, &post(&format!("t-{number}"), "", "x")).await;
    }
    let lost: Vec<Reply> = {
        let mut replies = Vec::new();
        for number in 0..4 {
            replies.push(call(gateway.address, &post(&format!("u-{number}"), "", "lost")).await);
        }
        replies
    };
    assert!(lost.iter().all(|reply| reply.status == 200), "four lost answers are repeated");
}

/// A repeat tells its server the time that the caller has left then, not the time it had at first.
#[tokio::test]
async fn a_repeat_carries_the_time_that_is_left() {
    const FIRST_WAIT: StdDuration = StdDuration::from_millis(300);
    let script: Script = |request| match request.header("x-last-event") {
        None => {
            vec![stream_head(request), chunk(&event(1, "a")), Step::WaitForRelease, Step::Reset]
        }
        Some(_) => vec![stream_head(request), chunk(&event(2, "b")), last_chunk()],
    };
    let servers = servers_with(script).await;
    let gateway = gateway_with(resumable_stream_route(), &servers).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t-1", "X-Deadline: 4000\r\n", "x")).await;
    wait_until("a server has the request", || runs(&servers) == 1).await;
    sleep(FIRST_WAIT).await;
    servers.iter().for_each(ScriptedServer::release);
    assert_eq!(caller.read_reply().await.status, 200);
    let requests = servers.iter().flat_map(ScriptedServer::requests);
    let mut left: Vec<u128> = requests
        .map(|request| request.header("x-deadline").expect("a deadline").parse().expect("a number"))
        .collect();
    left.sort_unstable();
    assert_eq!(left.len(), 2);
    assert!(left[1] <= 4_000 && left[0] + FIRST_WAIT.as_millis() <= left[1], "{left:?}");
}
