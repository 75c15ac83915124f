//! What the logs and metrics say of a request: enough to get from its identifier to its cause.

mod common;

use std::sync::{Mutex, Once, OnceLock};

use common::caller::{call, post};
use common::stand_in::{Got, StandIn, Step, ok, shed};
use common::{Bed, once, resumable, route, table, turns, until};
use dahlia_relay::Route;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

/// A record, as far as the tests look at it.
#[derive(Debug, Clone, Default)]
struct Seen {
    sentence: String,
    fields: Vec<(String, String)>,
}

impl Seen {
    fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(field, _)| field == name);
        field.map(|(_, value)| value.as_str())
    }
}

impl<'kvs> VisitSource<'kvs> for Seen {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.fields.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

/// Keeps all records of the process.
struct Recorder;

static SEEN: OnceLock<Mutex<Vec<Seen>>> = OnceLock::new();

impl Log for Recorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut seen = Seen { sentence: record.args().to_string(), ..Seen::default() };
        record.key_values().visit(&mut seen).expect("it only collects");
        SEEN.get_or_init(Mutex::default).lock().expect("whole").push(seen);
    }

    fn flush(&self) {}
}

fn record_logs() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&Recorder).expect("the first logger");
        log::set_max_level(LevelFilter::Info);
    });
}

/// All lines that carry this request's identifier, in order.
fn lines_of(request: &str) -> Vec<Seen> {
    let seen = SEEN.get_or_init(Mutex::default).lock().expect("whole");
    let is_its = |seen: &&Seen| seen.field("request") == Some(request);
    seen.iter().filter(is_its).cloned().collect()
}

fn sentences(lines: &[Seen]) -> Vec<&str> {
    lines.iter().map(|line| line.sentence.as_str()).collect()
}

struct Case {
    /// The request's identifier, which names the case.
    request: &'static str,
    route: fn() -> Route,
    /// What the only server does; none when there is no server.
    script: Option<fn(&Got) -> Vec<Step>>,
    status: u16,
    sentences: &'static [&'static str],
    /// Fields of the last line.
    last: &'static [(&'static str, &'static str)],
    /// A line of the metrics.
    metric: &'static str,
}

#[tokio::test]
async fn each_decision_on_a_request_is_a_line_with_its_identifier() {
    record_logs();
    let cases = [
        Case {
            request: "goes-well",
            route,
            script: Some(ok),
            status: 200,
            sentences: &["Taken.", "Server chosen.", "Answered."],
            last: &[("server", "s-1"), ("status", "200")],
            metric: "dahlialadder_relay_head_seconds_count{service=\"service\"} 1",
        },
        Case {
            request: "no-server",
            route,
            script: None,
            status: 503,
            sentences: &["Taken.", "Refused."],
            last: &[("status", "503"), ("retry_after_ms", "400")],
            metric: "dahlialadder_relay_refusals_total{cause=\"busy\"} 1",
        },
        Case {
            request: "server-is-full",
            route,
            script: Some(shed),
            status: 503,
            sentences: &["Taken.", "Server chosen.", "An attempt failed.", "Refused."],
            last: &[("cause", "no server takes the request now")],
            metric: "dahlialadder_relay_attempt_failures_total{end=\"refused\"} 1",
        },
        Case {
            request: "answer-is-reset",
            route: once,
            script: Some(|_| vec![Step::Reset]),
            status: 502,
            sentences: &["Taken.", "Server chosen.", "An attempt failed.", "Refused."],
            last: &[("cause", "the answer was lost"), ("status", "502")],
            metric: "dahlialadder_relay_attempt_failures_total{end=\"broken\"} 1",
        },
    ];
    for case in cases {
        let server = match case.script {
            Some(script) => Some(StandIn::new("s-1", script).await),
            None => None,
        };
        let servers: Vec<&StandIn> = server.iter().collect();
        let bed = Bed::new(Some(table(vec![(case.route)()])), &servers).await;
        let registry = prometheus::Registry::new();
        bed.relay.register_metrics(&registry).expect("constant names");
        let reply = call(bed.address, &post(case.request, "", "x")).await;
        assert_eq!(reply.status, case.status, "{}", case.request);
        let lines = lines_of(case.request);
        assert_eq!(sentences(&lines), case.sentences, "{}", case.request);
        let last = lines.last().expect("some lines");
        for (name, value) in case.last {
            assert_eq!(last.field(name), Some(*value), "{}: {last:?}", case.request);
        }
        bed.relay.refresh_metrics();
        let text = prometheus::TextEncoder::new().encode_to_string(&registry.gather());
        let text = text.expect("text");
        assert!(text.contains(case.metric), "{}: {text}", case.request);
    }
}

#[tokio::test]
async fn a_stream_that_breaks_says_why() {
    record_logs();
    let script = |got: &Got| vec![common::stand_in::stream_head(got), Step::Reset];
    let server = StandIn::new("s-1", script).await;
    let once_only = Route { max_attempts: 1, is_resumable: false, ..resumable() };
    let bed = Bed::new(Some(table(vec![once_only])), &[&server]).await;
    let reply = call(bed.address, &post("breaks", "", "x")).await;
    assert_eq!(reply.status, 502);
    let lines = lines_of("breaks");
    let failed = lines.iter().find(|line| line.sentence == "An attempt failed.");
    let failed = failed.expect("a line on the attempt");
    assert_eq!((failed.field("server"), failed.field("end")), (Some("s-1"), Some("broken")));
    assert!(failed.field("cause").is_some_and(|cause| !cause.is_empty()), "{failed:?}");
}

#[tokio::test]
async fn a_turn_that_the_ledger_does_not_open_is_refused_with_the_cause() {
    record_logs();
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    bed.ledger.next_open(common::ledger::unavailable());
    let lines = "X-Program: p-1\r\nX-Tokens: 10,20\r\n";
    let reply = call(bed.address, &post("not-opened", lines, "x")).await;
    assert_eq!(reply.status, 503);
    let lines = lines_of("not-opened");
    assert_eq!(sentences(&lines), ["Taken.", "Refused."]);
    assert_eq!(lines[0].field("program"), Some("p-1"));
    assert_eq!(lines[1].field("cause"), Some("the ledger did not answer"));
}

#[tokio::test]
async fn a_caller_that_leaves_is_a_line() {
    record_logs();
    let server = StandIn::new("s-1", |_| vec![Step::WaitForClose]).await;
    let bed = Bed::new(Some(table(vec![route()])), &[&server]).await;
    let mut caller = common::caller::Caller::new(bed.address).await;
    caller.send(&post("leaves", "", "x")).await;
    until("the server has it", || !server.got().is_empty()).await;
    drop(caller);
    until("the line", || lines_of("leaves").iter().any(|line| line.sentence == "The caller left."))
        .await;
}

#[tokio::test]
async fn a_sticky_call_goes_by_its_object_and_a_stream_by_its_prompt_or_program() {
    record_logs();
    let server = StandIn::new("s-1", ok).await;
    let sticky = |route: Route| Route { is_sticky: true, ..route };
    let stream = Route { path_prefix: "/stream/".into(), ..sticky(resumable()) };
    let open = Route { path_prefix: "/plain/".into(), ..route() };
    let bed = Bed::new(Some(table(vec![sticky(route()), stream, open])), &[&server]).await;
    let cases = [
        ("object", "/a/", "Cookie: other=1; object=17\r\n", "affinity"),
        ("no-object", "/a/", "Cookie: other=1; object=\r\n", "load"),
        ("not-sticky", "/plain/", "Cookie: object=17\r\n", "load"),
        ("prompt", "/stream/", "Cookie: object=17\r\nX-Parts: shared:9,own:5\r\n", "shared-prompt"),
    ];
    for (request, path, lines, way) in cases {
        call(bed.address, &post(request, lines, "").replacen("/a/", path, 1)).await;
        let lines = lines_of(request);
        let chosen = lines.iter().find(|line| line.sentence == "Server chosen.").expect("one was");
        assert_eq!(chosen.field("way"), Some(way), "{request}");
    }
}
