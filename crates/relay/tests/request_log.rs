//! Logs and metrics of a request: enough to find its cause of failure from its identifier.

mod common;

use std::sync::{Mutex, Once, OnceLock};

use common::caller::{call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, answer_ok, chunk, event, last_chunk, refuse_not_run,
    stream_head, stream_head_without_framing,
};
use common::{
    TestGateway, at_most_once_route, repeatable_route, resumable_stream_route,
    retained_turns_route, route_table, wait_until,
};
use dahlia_ledger::{LedgerReply, TurnId, TurnRefusal};
use dahlia_relay::Route;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

/// The part of a log record that the tests check.
#[derive(Debug, Clone, Default)]
struct LoggedLine {
    sentence: String,
    fields: Vec<(String, String)>,
}

impl LoggedLine {
    fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(field, _)| field == name);
        field.map(|(_, value)| value.as_str())
    }
}

impl<'kvs> VisitSource<'kvs> for LoggedLine {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.fields.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

/// A logger that keeps all records of the process.
struct Recorder;

static LOGGED_LINES: OnceLock<Mutex<Vec<LoggedLine>>> = OnceLock::new();

impl Log for Recorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = LoggedLine { sentence: record.args().to_string(), ..LoggedLine::default() };
        record.key_values().visit(&mut line).expect("collecting fields succeeds");
        LOGGED_LINES
            .get_or_init(Mutex::default)
            .lock()
            .expect("the lock is not poisoned")
            .push(line);
    }

    fn flush(&self) {}
}

fn install_recorder() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&Recorder).expect("no other logger is installed");
        log::set_max_level(LevelFilter::Info);
    });
}

/// All lines with this request's identifier, in order.
fn lines_of(request: &str) -> Vec<LoggedLine> {
    let lines = LOGGED_LINES.get_or_init(Mutex::default).lock().expect("the lock is not poisoned");
    let is_of_request = |line: &&LoggedLine| line.field("request") == Some(request);
    lines.iter().filter(is_of_request).cloned().collect()
}

fn sentences(lines: &[LoggedLine]) -> Vec<&str> {
    lines.iter().map(|line| line.sentence.as_str()).collect()
}

struct Case {
    /// The request's identifier, which also names the case.
    request: &'static str,
    route: fn() -> Route,
    /// The script of the only server; none if there is no server.
    script: Option<fn(&ReceivedRequest) -> Vec<Step>>,
    status: u16,
    sentences: &'static [&'static str],
    /// Fields of the last line.
    last: &'static [(&'static str, &'static str)],
    /// A line of the metrics.
    metric: &'static str,
}

#[tokio::test]
async fn each_decision_on_a_request_is_logged_with_its_identifier() {
    install_recorder();
    let cases = [
        Case {
            request: "goes-well",
            route: repeatable_route,
            script: Some(answer_ok),
            status: 200,
            sentences: &["Taken.", "Server chosen.", "Answered."],
            last: &[("server", "s-1"), ("status", "200")],
            metric: "dahlialadder_relay_head_seconds_count{service=\"service\"} 1",
        },
        Case {
            request: "no-server",
            route: repeatable_route,
            script: None,
            status: 503,
            sentences: &["Taken.", "Refused."],
            last: &[("status", "503"), ("retry_after_ms", "400")],
            metric: "dahlialadder_relay_refusals_total{cause=\"busy\"} 1",
        },
        Case {
            request: "server-is-full",
            route: repeatable_route,
            script: Some(refuse_not_run),
            status: 503,
            sentences: &["Taken.", "Server chosen.", "An attempt failed.", "Refused."],
            last: &[("cause", "no server takes the request now")],
            metric: "dahlialadder_relay_attempt_failures_total{end=\"refused\"} 1",
        },
        Case {
            request: "answer-is-reset",
            route: at_most_once_route,
            script: Some(|_| vec![Step::Reset]),
            status: 502,
            sentences: &[
                "Taken.",
                "Server chosen.",
                "An attempt failed.",
                "An answer is lost.",
                "Refused.",
            ],
            last: &[("cause", "the answer was lost"), ("status", "502")],
            metric: "dahlialadder_relay_attempt_failures_total{end=\"broken\"} 1",
        },
    ];
    for case in cases {
        let server = match case.script {
            Some(script) => Some(ScriptedServer::new("s-1", script).await),
            None => None,
        };
        let servers: Vec<&ScriptedServer> = server.iter().collect();
        let gateway = TestGateway::new(Some(route_table(vec![(case.route)()])), &servers).await;
        let registry = prometheus::Registry::new();
        gateway.relay.register_metrics(&registry).expect("metric names are valid");
        let reply = call(gateway.address, &post(case.request, "", "x")).await;
        assert_eq!(reply.status, case.status, "{}", case.request);
        let lines = lines_of(case.request);
        assert_eq!(sentences(&lines), case.sentences, "{}", case.request);
        let last = lines.last().expect("at least one line");
        for (name, value) in case.last {
            assert_eq!(last.field(name), Some(*value), "{}: {last:?}", case.request);
        }
        gateway.relay.refresh_metrics();
        let text = prometheus::TextEncoder::new().encode_to_string(&registry.gather());
        let text = text.expect("valid UTF-8");
        assert!(text.contains(case.metric), "{}: {text}", case.request);
    }
}

#[tokio::test]
async fn the_cause_of_a_broken_stream_is_logged() {
    install_recorder();
    let script = |request: &ReceivedRequest| {
        vec![common::scripted_server::stream_head(request), Step::Reset]
    };
    let server = ScriptedServer::new("s-1", script).await;
    let once_only = Route { max_attempts: 1, is_resumable: false, ..resumable_stream_route() };
    let gateway = TestGateway::new(Some(route_table(vec![once_only])), &[&server]).await;
    let reply = call(gateway.address, &post("breaks", "", "x")).await;
    assert_eq!(reply.status, 502);
    let lines = lines_of("breaks");
    let failed = lines.iter().find(|line| line.sentence == "An attempt failed.");
    let failed = failed.expect("a line about the attempt");
    assert_eq!((failed.field("server"), failed.field("end")), (Some("s-1"), Some("broken")));
    assert!(failed.field("cause").is_some_and(|cause| !cause.is_empty()), "{failed:?}");
}

/// Guards against answers of which nothing tells how they ended: by their own framing or with their connection.
#[tokio::test]
async fn the_end_of_a_stream_is_logged_with_its_framing_and_what_arrived() {
    struct Case {
        request: &'static str,
        script: fn(&ReceivedRequest) -> Vec<Step>,
        sentence: &'static str,
        fields: [&'static str; 3],
    }
    let cases = [
        Case {
            request: "ends-with-connection",
            script: |request| {
                let head = stream_head_without_framing(request);
                vec![head, Step::Send(event(1, "a") + &event(2, "b")), Step::Close]
            },
            sentence: "Stream ended whole.",
            fields: ["connection", "30", "2"],
        },
        Case {
            request: "ends-with-last-chunk",
            script: |request| vec![stream_head(request), chunk(&event(1, "a")), last_chunk()],
            sentence: "Stream ended whole.",
            fields: ["chunks", "15", "1"],
        },
        Case {
            request: "breaks-in-chunks",
            script: |request| {
                let text = event(1, "a") + "id: 2";
                vec![stream_head(request), chunk(&text), Step::Reset]
            },
            sentence: "An attempt failed.",
            fields: ["chunks", "20", "1"],
        },
    ];
    install_recorder();
    for case in cases {
        let server = ScriptedServer::new("s-1", case.script).await;
        let route = Route { is_resumable: false, ..resumable_stream_route() };
        let gateway = TestGateway::new(Some(route_table(vec![route])), &[&server]).await;
        call(gateway.address, &post(case.request, "", "x")).await;
        let find = || lines_of(case.request).into_iter().find(|it| it.sentence == case.sentence);
        wait_until("the end is logged", || find().is_some()).await;
        let line = find().expect("the line was found before");
        let fields = ["framing", "bytes", "events"].map(|name| line.field(name).unwrap_or("none"));
        assert_eq!(fields, case.fields, "{}", case.request);
    }
}

/// Guards against answers that are no streams and of which nothing tells how they ended.
#[tokio::test]
async fn a_whole_answer_is_logged_and_counted_with_its_framing() {
    struct Case {
        request: &'static str,
        script: fn(&ReceivedRequest) -> Vec<Step>,
        framing: &'static str,
    }
    let cases = [
        Case { request: "whole-with-length", script: answer_ok, framing: "length" },
        Case {
            request: "whole-with-last-chunk",
            script: |request| vec![stream_head(request), chunk("done"), last_chunk()],
            framing: "chunks",
        },
        Case {
            request: "whole-with-connection",
            script: |request| {
                let head = stream_head_without_framing(request);
                vec![head, Step::Send("done".into()), Step::Close]
            },
            framing: "connection",
        },
    ];
    install_recorder();
    for Case { request, script, framing } in cases {
        let server = ScriptedServer::new("s-1", script).await;
        let table = route_table(vec![repeatable_route()]);
        let gateway = TestGateway::new(Some(table), &[&server]).await;
        let registry = prometheus::Registry::new();
        gateway.relay.register_metrics(&registry).expect("metric names are valid");
        assert_eq!(call(gateway.address, &post(request, "", "x")).await.body, "done", "{request}");
        let lines = lines_of(request);
        let answered = lines.iter().find(|line| line.sentence == "Answered.");
        let answered = answered.expect("a line on the answer");
        let fields = ["framing", "bytes"].map(|name| answered.field(name).unwrap_or("none"));
        assert_eq!(fields, [framing, "4"], "{request}");
        let text = prometheus::TextEncoder::new().encode_to_string(&registry.gather());
        let metric = format!(
            "dahlialadder_relay_whole_answers_total{{framing=\"{framing}\",service=\"service\"}} 1"
        );
        assert!(text.expect("valid UTF-8").contains(&metric), "{request}");
    }
}

/// For one request, the log tells each server it was sent to, what came of it, and whether it counts
/// against the attempt limit; the metrics sum this up by service.
#[tokio::test]
async fn each_repeat_and_what_counts_against_the_limit_is_logged_and_summed_up() {
    install_recorder();
    let mut servers = Vec::new();
    for id in ["s-1", "s-2", "s-3"] {
        servers.push(ScriptedServer::new(id, |_| vec![Step::Reset]).await);
    }
    let references: Vec<&ScriptedServer> = servers.iter().collect();
    let two_servers = Route { max_attempts: 2, ..repeatable_route() };
    let gateway = TestGateway::new(Some(route_table(vec![two_servers])), &references).await;
    let registry = prometheus::Registry::new();
    gateway.relay.register_metrics(&registry).expect("metric names are valid");
    assert_eq!(call(gateway.address, &post("repeats", "", "x")).await.status, 502);
    let lines = lines_of("repeats");
    let fields = |sentence: &str, names: &[&str]| -> Vec<Vec<Option<String>>> {
        let lines = lines.iter().filter(|line| line.sentence == sentence);
        let field = |line: &LoggedLine, name: &&str| line.field(name).map(str::to_owned);
        lines.map(|line| names.iter().map(|name| field(line, name)).collect()).collect()
    };
    let some = |texts: [&str; 4]| texts.map(|text| Some(text.to_owned())).to_vec();
    assert_eq!(
        fields("An answer is lost.", &["cause", "counted", "most", "withheld"]),
        [some(["disconnected", "1", "2", "-"]), some(["disconnected", "2", "2", "attempt-limit"])]
    );
    let sent_again = fields("Sent again.", &["service", "cause", "server", "deadline_ms"]);
    assert_eq!(sent_again.len(), 1);
    assert_eq!(sent_again[0][..2], some(["service", "disconnected", "", ""])[..2]);
    assert!(sent_again[0].iter().all(Option::is_some), "{sent_again:?}");
    gateway.relay.refresh_metrics();
    let text = prometheus::TextEncoder::new().encode_to_string(&registry.gather());
    let text = text.expect("valid UTF-8");
    for metric in [
        "dahlialadder_relay_first_sends_total{service=\"service\"} 1",
        "dahlialadder_relay_repeats_total{cause=\"disconnected\",service=\"service\"} 1",
        "dahlialadder_relay_withheld_repeats_total{reason=\"attempt-limit\",service=\"service\"} 1",
    ] {
        assert!(text.contains(metric), "{metric}: {text}");
    }
}

#[tokio::test]
async fn a_turn_that_the_ledger_does_not_open_is_refused_and_the_cause_logged() {
    install_recorder();
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    gateway.ledger.queue_open_reply(common::ledger::ledger_unavailable());
    let lines = "X-Program: p-1\r\nX-Tokens: 10,20\r\n";
    let reply = call(gateway.address, &post("not-opened", lines, "x")).await;
    assert_eq!(reply.status, 503);
    let lines = lines_of("not-opened");
    assert_eq!(sentences(&lines), ["Taken.", "Refused."]);
    assert_eq!(lines[0].field("program"), Some("p-1"));
    assert_eq!(lines[1].field("cause"), Some("the ledger did not answer"));
}

/// Without the earlier turn's identifier the logs cannot tell whether that turn was ever complete.
#[tokio::test]
async fn a_turn_that_continues_an_unknown_one_is_logged_with_both_identifiers() {
    install_recorder();
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    let previous = TurnId::new(None, "never-complete");
    let refusal = LedgerReply::Refused(TurnRefusal::NoSuchTurn { previous });
    gateway.ledger.queue_open_reply(Ok(refusal));
    let lines = "X-Program: p-1\r\nX-Tokens: 10,20\r\n";
    let reply = call(gateway.address, &post("continues-nothing", lines, "x")).await;
    assert_eq!(reply.status, 404);
    let lines = lines_of("continues-nothing");
    assert_eq!(sentences(&lines), ["Taken.", "The previous turn is not known.", "Refused."]);
    assert_eq!(lines[1].field("previous"), Some("never-complete"));
}

#[tokio::test]
async fn a_caller_that_disconnects_is_logged() {
    install_recorder();
    let server = ScriptedServer::new("s-1", |_| vec![Step::WaitForClose]).await;
    let gateway = TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
    let mut caller = common::caller::Caller::new(gateway.address).await;
    caller.send(&post("leaves", "", "x")).await;
    wait_until("the server has received the request", || !server.requests().is_empty()).await;
    drop(caller);
    wait_until("the line is logged", || {
        lines_of("leaves").iter().any(|line| line.sentence == "The caller left.")
    })
    .await;
}

#[tokio::test]
async fn sticky_requests_are_chosen_by_object_and_streams_by_prompt() {
    install_recorder();
    let server = ScriptedServer::new("s-1", answer_ok).await;
    let sticky = |route: Route| Route { is_sticky: true, ..route };
    let stream = Route { path_prefix: "/stream/".into(), ..sticky(resumable_stream_route()) };
    let open = Route { path_prefix: "/plain/".into(), ..repeatable_route() };
    let gateway = TestGateway::new(
        Some(route_table(vec![sticky(repeatable_route()), stream, open])),
        &[&server],
    )
    .await;
    let cases = [
        ("object", "/a/", "Cookie: other=1; object=17\r\n", "affinity"),
        ("no-object", "/a/", "Cookie: other=1; object=\r\n", "load"),
        ("not-sticky", "/plain/", "Cookie: object=17\r\n", "load"),
        ("prompt", "/stream/", "Cookie: object=17\r\nX-Parts: shared:9,own:5\r\n", "shared-prompt"),
    ];
    for (request, path, lines, way) in cases {
        call(gateway.address, &post(request, lines, "").replacen("/a/", path, 1)).await;
        let lines = lines_of(request);
        let chosen =
            lines.iter().find(|line| line.sentence == "Server chosen.").expect("a chosen server");
        assert_eq!(chosen.field("way"), Some(way), "{request}");
    }
}
