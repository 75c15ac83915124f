//! Which parts of requests and answers are forwarded unchanged, which are not, and what the relay
//! answers itself.

mod common;

use std::collections::BTreeSet;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::caller::{Caller, call, post};
use common::scripted_server::{ScriptedServer, Step, answer, answer_ok, chunk};
use common::{TestGateway, at_most_once_route, repeatable_route, route_table, service_name};
use dahlia_backends::ServiceName;
use dahlia_relay::{CallerLimits, Route, RouteTable, WeightedService};
use dahlia_types::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[tokio::test]
async fn requests_and_answers_are_forwarded_without_hop_by_hop_headers() {
    let server = ScriptedServer::new("s-1", |request| {
        let lines =
            "X-Own: kept\r\nKeep-Alive: timeout=5\r\nConnection: x-named\r\nX-Named: gone\r\n";
        vec![answer(request, "201 Made", lines, "body")]
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
    let lines = "X-Other: a\r\nX-Other: b\r\nConnection: keep-alive, X-Named\r\nX-Named: gone\r\n\
        TE: trailers\r\nProxy-Authorization: p\r\nX-Deadline: 5000\r\nX-Priority: 9\r\n";
    let reply = call(gateway.address, &post("t-1", lines, "new \u{e9}")).await;
    assert_eq!((reply.status, reply.body.as_str()), (201, "body"));
    assert_eq!(reply.header("x-signature"), Some("s-1"));
    assert_eq!(reply.header("x-attempt"), Some("t-1"));
    assert_eq!(reply.header("x-own"), Some("kept"));
    for gone in ["keep-alive", "x-named", "connection"] {
        assert_eq!(reply.header(gone), None, "{gone}");
    }
    let request = server.requests().remove(0);
    assert_eq!(request.line, "POST /a/b?c=%2F HTTP/1.1");
    assert_eq!(request.body, "new \u{e9}");
    assert_eq!(request.header("host"), Some("host.example"));
    assert_eq!(request.headers.iter().filter(|(name, _)| name == "x-other").count(), 2);
    assert_eq!(request.header("x-expected"), Some("s-1"));
    assert_eq!(
        request.header("x-priority"),
        Some("5"),
        "the level comes from the route, not from the caller"
    );
    let left: u64 = request
        .header("x-deadline")
        .expect("the deadline header is always set")
        .parse()
        .expect("a numeric value");
    assert!((3_000..=5_000).contains(&left), "what is left of 5000: {left}");
    for gone in ["connection", "x-named", "te", "proxy-authorization", "keep-alive"] {
        assert_eq!(request.header(gone), None, "{gone}");
    }
}

#[tokio::test]
async fn servers_get_a_deadline_when_the_caller_sets_none() {
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let gateway = TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
    call(gateway.address, &post("t-1", "", "")).await;
    let request = server.requests().remove(0);
    let left: u64 = request
        .header("x-deadline")
        .expect("the deadline header is always set")
        .parse()
        .expect("a numeric value");
    assert!((5_000..=8_000).contains(&left), "the route's timeout: {left}");
}

#[tokio::test]
async fn chunked_bodies_arrive_complete_with_a_length() {
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let gateway = TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
    let mut caller = Caller::new(gateway.address).await;
    let head = "POST /a/x HTTP/1.1\r\nHost: HOST.example:80\r\nX-Attempt: t\r\nTransfer-Encoding: chunked\r\n\r\n";
    caller.send(head).await;
    caller.send("3\r\nabc\r\n").await;
    caller.send("2\r\nde\r\n0\r\n\r\n").await;
    assert_eq!(caller.read_reply().await.status, 200);
    let request = server.requests().remove(0);
    assert_eq!((request.body.as_str(), request.header("content-length")), ("abcde", Some("5")));
    assert_eq!(request.header("transfer-encoding"), None);
}

/// Answers that end by the close of a server that lives on; `ends_with_the_server` has those of a server that dies.
#[tokio::test]
async fn chunked_answers_get_a_length_and_answers_that_end_by_close_are_complete() {
    let server = ScriptedServer::new("s-1", |request| {
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", request.attempt());
        if request.attempt() == "chunks" {
            let head = Step::Send(format!("{head}Transfer-Encoding: chunked\r\n\r\n"));
            return vec![head, chunk("abc"), chunk("de"), Step::Send("0\r\n\r\n".into())];
        }
        let head = match request.attempt() {
            "old" => head.replace("1.1", "1.0"),
            _ => head,
        };
        vec![Step::Send(format!("{head}\r\nto the end")), Step::Close]
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[&server]).await;
    let reply = call(gateway.address, &post("chunks", "", "")).await;
    assert_eq!((reply.body.as_str(), reply.header("content-length")), ("abcde", Some("5")));
    let mut caller = Caller::new(gateway.address).await;
    for attempt in ["close", "old", "close"] {
        let reply = caller.call(&post(attempt, "", "")).await;
        assert_eq!((reply.status, reply.body.as_str(), reply.is_whole), (200, "to the end", true));
        assert_eq!(
            reply.header("connection"),
            None,
            "{attempt}: the caller's connection stays open"
        );
    }
}

#[tokio::test]
async fn answers_to_head_requests_keep_their_content_length() {
    let server = ScriptedServer::new("s-1", |request| {
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt: {}\r\n", request.attempt());
        vec![Step::Send(format!("{head}Content-Length: 77\r\n\r\n"))]
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send("HEAD /a/x HTTP/1.1\r\nHost: host.example\r\nX-Attempt: t\r\n\r\n").await;
    assert_eq!(caller.read_head().await.header("content-length"), Some("77"));
}

#[tokio::test]
async fn connections_to_callers_and_servers_are_reused() {
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let gateway = TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
    let mut caller = Caller::new(gateway.address).await;
    for attempt in ["1", "2", "3"] {
        assert_eq!(caller.call(&post(attempt, "", "x")).await.status, 200);
    }
    assert!(server.requests().iter().all(|request| request.connection == 0));
    assert_eq!(gateway.relay.counters().connections_to_servers, 1);
}

#[tokio::test]
async fn a_connection_that_the_server_closes_or_leaves_bytes_on_is_not_reused() {
    let server = ScriptedServer::new("s-1", |request| match request.attempt() {
        "close" => vec![answer(request, "200 OK", "Connection: close\r\n", "done")],
        "late" => vec![answer(request, "200 OK", "Keep-Alive: timeout=0\r\n", "done")],
        "more" => {
            let Step::Send(text) = answer(request, "200 OK", "", "done") else { return vec![] };
            vec![Step::Send(format!("{text}HTTP/1.1 200 OK\r\nX-Attempt: next\r\n\r\n"))]
        }
        _ => answer_ok(request),
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[&server]).await;
    for (position, attempt) in ["close", "late", "more", "next", "last"].into_iter().enumerate() {
        let reply = call(gateway.address, &post(attempt, "", "")).await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "done"), "{attempt}");
        assert_eq!(server.requests()[position].connection, position.min(3), "{attempt}");
    }
}

#[tokio::test]
async fn a_connection_is_not_reused_while_a_body_is_being_sent() {
    // This server answers before it reads the body, and never reads it.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the local address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            stream.read_exact(&mut [0; 16]).await.expect("the head of an answer");
            let answer = "HTTP/1.1 200 OK\r\nX-Attempt: t\r\nContent-Length: 2\r\n\r\nok";
            stream.write_all(answer.as_bytes()).await.expect("the relay reads the answer");
            open.push(stream);
        }
    });
    let limits = CallerLimits { body_bytes: 1 << 26, ..CallerLimits::default() };
    let gateway = TestGateway::new(
        Some(RouteTable { limits, ..route_table(vec![at_most_once_route()]) }),
        &[],
    )
    .await;
    gateway.add_server("s-1", address);
    let long = "x".repeat(1 << 25);
    for _ in 0..2 {
        assert_eq!(call(gateway.address, &post("t", "", &long)).await.status, 200);
    }
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn requests_are_refused_before_any_routes_and_not_found_without_a_matching_route() {
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let gateway = TestGateway::new(None, &[&server]).await;
    let reply = call(gateway.address, &post("t", "", "")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    gateway.relay.set_routes(
        route_table(vec![Route { path_prefix: "/other/".into(), ..repeatable_route() }]).into(),
    );
    assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 404);
    gateway.relay.set_routes(
        route_table(vec![Route { host: "other.example".into(), ..repeatable_route() }]).into(),
    );
    assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 404);
    gateway.relay.set_routes(route_table(vec![repeatable_route()]).into());
    assert_eq!(call(gateway.address, &post("t", "", "")).await.status, 200);
}

#[tokio::test]
async fn the_longest_prefix_wins() {
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let short = Route { name: "short".into(), priority: 1, ..repeatable_route() };
    let long = Route {
        name: "long".into(),
        path_prefix: "/a/b/".into(),
        priority: 7,
        ..repeatable_route()
    };
    let gateway = TestGateway::new(Some(route_table(vec![short, long])), &[&server]).await;
    for (path, priority) in [("/a/b/c", "7"), ("/a/b", "2"), ("/a/bc/", "2"), ("/a/b/", "7")] {
        let head = format!("GET {path} HTTP/1.1\r\nHost: host.example\r\nX-Attempt: t\r\n\r\n");
        assert_eq!(call(gateway.address, &head).await.status, 200);
        let requests = server.requests();
        assert_eq!(
            requests.last().expect("a received request").header("x-priority"),
            Some(priority),
            "{path}"
        );
    }
    for (left, priority) in [("100", "0"), ("600000", "4")] {
        let lines = format!("X-Program-Deadline: {left}\r\n");
        let head =
            format!("GET /a/b HTTP/1.1\r\nHost: host.example\r\nX-Attempt: t\r\n{lines}\r\n");
        assert_eq!(call(gateway.address, &head).await.status, 200);
        let requests = server.requests();
        assert_eq!(
            requests.last().expect("a received request").header("x-priority"),
            Some(priority),
            "{left} left"
        );
    }
}

#[tokio::test]
async fn a_split_route_divides_requests_by_weight_and_keeps_a_program_at_one_service() {
    let (first, second) =
        (ScriptedServer::new("s-1", answer_ok).await, ScriptedServer::new("s-2", answer_ok).await);
    let other = ServiceName("other".into());
    let targets = vec![
        WeightedService { service: service_name(), weight: 80.0 },
        WeightedService { service: other.clone(), weight: 20.0 },
    ];
    let gateway = TestGateway::new(
        Some(route_table(vec![Route { targets, ..repeatable_route() }])),
        &[&first],
    )
    .await;
    gateway.add_server_to(other, "s-2", second.address);
    let mut caller = Caller::new(gateway.address).await;
    for attempt in 0..300 {
        let reply = caller.call(&post(&format!("t-{attempt}"), "", "")).await;
        assert_eq!(reply.status, 200);
    }
    let (most, least) = (first.requests().len(), second.requests().len());
    assert!((200..=280).contains(&most) && most + least == 300, "{most} and {least}");
    for attempt in 0..20 {
        caller.call(&post(&format!("u-{attempt}"), "X-Program: p\r\n", "")).await;
    }
    let more = [first.requests().len() - most, second.requests().len() - least];
    assert!(more.contains(&20), "{more:?}");
}

#[tokio::test]
async fn limits_on_callers_are_enforced() {
    let limits = CallerLimits {
        header_bytes: 300,
        body_bytes: 10,
        header_timeout: Duration::from_millis(150),
        idle_timeout: Duration::from_millis(400),
    };
    let table = RouteTable { limits, ..route_table(vec![repeatable_route()]) };
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let gateway = TestGateway::new(Some(table), &[&server]).await;
    let long = format!("X-Long: {}\r\n", "x".repeat(300));
    assert_eq!(call(gateway.address, &post("t", &long, "")).await.status, 431);
    assert_eq!(call(gateway.address, &post("t", "", "eleven byte")).await.status, 413);
    let chunks = "POST /a/ HTTP/1.1\r\nHost: host.example\r\nX-Attempt: t\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n8\r\n12345678\r\n0\r\n\r\n";
    assert_eq!(call(gateway.address, chunks).await.status, 413);
    let no_id = "GET /a/ HTTP/1.1\r\nHost: host.example\r\n\r\n";
    assert_eq!(call(gateway.address, no_id).await.status, 400);
    for slow in [
        "POST /a/ HT",
        "POST /a/ HTTP/1.1\r\nHost: host.example\r\nX-Attempt: t\r\nContent-Length: 5\r\n\r\nab",
    ] {
        let mut caller = Caller::new(gateway.address).await;
        let reply = caller.call(slow).await;
        assert_eq!((reply.status, reply.header("connection")), (408, Some("close")), "{slow}");
        assert!(caller.is_closed().await);
    }
    let mut idle = Caller::new(gateway.address).await;
    assert_eq!(idle.call(&post("t", "", "")).await.status, 200);
    assert!(idle.is_closed().await, "an idle connection is closed without an answer");
    assert_eq!(server.requests().len(), 1, "nothing else reached a server");
}

/// Programs that share most of their prompts go to few servers; others are spread by their names.
#[tokio::test]
async fn programs_share_servers_if_the_shared_parts_of_their_prompts_outweigh_the_rest() {
    const PROMPTS: usize = 30;
    const PROGRAMS: usize = 4;
    let mut servers = Vec::new();
    for number in 0..6 {
        servers.push(ScriptedServer::new(&format!("s-{number}"), answer_ok).await);
    }
    let all: Vec<&ScriptedServer> = servers.iter().collect();
    let sticky = Route { is_sticky: true, ..repeatable_route() };
    let gateway = TestGateway::new(Some(route_table(vec![sticky])), &all).await;
    let mut pairs = [BTreeSet::new(), BTreeSet::new()];
    for (place, own_tokens) in [(0, 300), (1, 30_000)] {
        for (program, prompt) in (0..PROGRAMS).flat_map(|one| (0..PROMPTS).map(move |it| (one, it)))
        {
            let before: Vec<usize> = servers.iter().map(|server| server.requests().len()).collect();
            let parts = format!("X-Parts: b{prompt}:9000,c{program}:{own_tokens}\r\n");
            let lines = format!("{parts}X-Program: p-{place}-{prompt}-{program}\r\n");
            assert_eq!(call(gateway.address, &post("t", &lines, "")).await.status, 200);
            let used = servers.iter().zip(before).position(|(it, had)| it.requests().len() > had);
            pairs[place].insert((prompt, used));
        }
    }
    let [together, apart] = pairs.map(|pairs| pairs.len());
    assert!(together <= PROMPTS * 2, "{together} pairs of prompt and server");
    assert!(apart > PROMPTS * 5 / 2, "{apart} pairs where programs go by their names");
}

#[tokio::test]
async fn without_a_program_prompts_with_the_same_last_shared_part_use_the_same_server() {
    let servers =
        [ScriptedServer::new("s-1", answer_ok).await, ScriptedServer::new("s-2", answer_ok).await];
    let sticky = Route { is_sticky: true, ..repeatable_route() };
    let gateway =
        TestGateway::new(Some(route_table(vec![sticky])), &[&servers[0], &servers[1]]).await;
    let counts = || [servers[0].requests().len(), servers[1].requests().len()];
    let mut used = BTreeSet::new();
    for part in 0..16 {
        let before = counts();
        for own in 0..4 {
            let lines = format!("X-Parts: aa:9,b{part}:5,c{own}:30\r\n");
            assert_eq!(call(gateway.address, &post("t", &lines, "")).await.status, 200);
        }
        let after = counts();
        let counts = [after[0] - before[0], after[1] - before[1]];
        assert!(counts == [4, 0] || counts == [0, 4], "part {part} is spread: {counts:?}");
        used.insert(counts);
    }
    assert_eq!(used.len(), 2, "other prompts use the other server");
}
