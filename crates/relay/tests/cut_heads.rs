//! Servers that stop in the middle of an answer's head and close or reset the connection: no caller gets a success.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::caller::{Caller, call, post};
use common::scripted_server::{ReceivedRequest, ScriptedServer, Step, answer_ok};
use common::{
    TestGateway, at_most_once_route, repeatable_route, resumable_stream_route,
    retained_turns_route, route_table,
};
use dahlia_relay::Route;

/// A turn's program, budget and tokens, which other routes ignore.
const TURN_HEADERS: &str =
    "X-Program: p-1\r\nX-Session: l-1\r\nX-Budget: 500\r\nX-Tokens: 40,80\r\n";

/// The status lines and the lines that frame the body, each of which a head may be cut in.
const FRAMINGS: [(&str, &str); 5] = [
    ("HTTP/1.1 200 OK", "Content-Length: 4\r\n"),
    ("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n"),
    ("HTTP/1.1 200 OK", "Connection: close\r\n"),
    ("HTTP/1.1 200 OK", ""),
    ("HTTP/1.0 200 OK", ""),
];
/// The distance of two places at which a head is cut, in bytes; it is cut at each of the last ones.
const CUT_DISTANCE: usize = 15;
const LAST_CUTS: usize = 4;

/// What goes before the head that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    Nothing,
    InterimHead,
    /// An answer to another request, on the same connection.
    Answer,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    route_name: &'static str,
    framing: (&'static str, &'static str),
    before: Before,
    end: End,
    /// The version that callers speak.
    caller_version: &'static str,
}

#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    Reset,
}

fn routes() -> [(&'static str, Route); 5] {
    [
        ("repeatable", repeatable_route()),
        ("at most once", at_most_once_route()),
        ("stream", Route { is_stream: true, ..at_most_once_route() }),
        ("resumable stream", resumable_stream_route()),
        ("turns", retained_turns_route()),
    ]
}

fn head(framing: (&str, &str), attempt: &str) -> String {
    let (status, lines) = framing;
    format!(
        "{status}\r\nX-Attempt: {attempt}\r\nX-Signature: s-1\r\nContent-Type: text/event-stream\r\n{lines}\r\n"
    )
}

/// The lengths to which a head is cut, which do not include the whole head.
fn cuts(length: usize) -> impl Iterator<Item = usize> {
    let last = length.saturating_sub(LAST_CUTS);
    (1..last).step_by(CUT_DISTANCE).chain(last..length)
}

fn cut_answer(case: Case, request: &ReceivedRequest, length: usize) -> Vec<Step> {
    let cut = head(case.framing, request.attempt())[..length].to_owned();
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n".to_owned();
    let end = match case.end {
        End::Close => Step::Close,
        End::Reset => Step::Reset,
    };
    match case.before {
        Before::InterimHead => vec![Step::Send(interim), Step::Send(cut), end],
        Before::Nothing | Before::Answer => vec![Step::Send(cut), end],
    }
}

async fn check(case: Case, route: Route) {
    let length = Arc::new(AtomicUsize::new(0));
    let script_length = length.clone();
    let server = ScriptedServer::new("s-1", move |request| {
        if request.attempt() == "whole" {
            return answer_ok(request);
        }
        cut_answer(case, request, script_length.load(Ordering::SeqCst))
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![route])), &[&server]).await;
    let mut cut_requests = 0;
    for cut in cuts(head(case.framing, "t-000").len()) {
        length.store(cut, Ordering::SeqCst);
        if case.before == Before::Answer {
            call(gateway.address, &post("whole", "", "x")).await;
        }
        let request = post(&format!("t-{cut:03}"), TURN_HEADERS, "x");
        let request = request.replacen("HTTP/1.1", case.caller_version, 1);
        let reply = Caller::new(gateway.address).await.call(&request).await;
        let what = format!("{} route, {case:?}, cut to {cut} bytes", case.route_name);
        assert_ne!(reply.status, 200, "{what}: {reply:?}");
        assert_eq!(reply.header("x-signature"), None, "{what}");
        cut_requests += 1;
    }
    let reached = server.requests().iter().filter(|request| request.attempt() != "whole").count();
    assert!(
        reached >= cut_requests,
        "{} route, {case:?}: {reached} of {cut_requests} reached the server",
        case.route_name
    );
}

/// Guards against a success with an empty or short body, framed as whole, of a server that stopped in the middle of its answer's
/// head.
#[tokio::test]
async fn an_answer_that_is_cut_in_its_head_is_no_success() {
    for (route_name, route) in routes() {
        for framing in FRAMINGS {
            for before in [Before::Nothing, Before::InterimHead, Before::Answer] {
                for end in [End::Close, End::Reset] {
                    let versions: &[&str] = match before {
                        Before::Nothing => &["HTTP/1.0", "HTTP/1.1"],
                        Before::InterimHead | Before::Answer => &["HTTP/1.1"],
                    };
                    for caller_version in versions {
                        let case = Case { route_name, framing, before, end, caller_version };
                        check(case, route.clone()).await;
                    }
                }
            }
        }
    }
}
