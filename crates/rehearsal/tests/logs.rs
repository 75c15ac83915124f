//! Parsing log lines into requests, outcomes and causes.

use dahlia_rehearsal::logs::{
    LogLine, LoggedRequests, RequestOutcome, filter_request_lines, request_table,
};

/// Lines of one gateway, except for the last two: one is of another process, and one is torn.
const LINES: &str = r#"
1785492900.000 INFO  relay: Taken. request=a1 program=p route=r service=s generation=3 deadline_ms=4000
1785492900.010 INFO  relay: Server chosen. request=a1 server=i-1 way=preferred in_flight=0
1785492900.030 INFO  relay: Stream began. request=a1 server=i-1 status=200 age_ms=30
  21.0312 edge-1 1785492900.100 INFO  relay: Taken. request=b2 program=- route=r service=s
1785492900.120 INFO  relay: Server chosen. request=b2 server=i-2 way=load in_flight=1
1785492901.400 WARN  relay: Refused. request=b2 status=502 cause="the answer was \"lost\" = gone" age_ms=1300
1785492901.500 INFO  relay: Stream ended whole. request=a1 server=i-1 age_ms=1500
1785492902.500 INFO  relay: Taken. request=c3 program=p route=r service=s
1785492902.600 WARN  relay: The caller left. request=c3 age_ms=100
1785492903.000 INFO  relay: Taken. request=d4 program=p route=r service=s deadline_ms=1500
1785492903.001 INFO  relay: Server chosen. request=d4 server=i-1 way=load in_flight=1
1785492903.100 WARN  relay: Refused. request=- status=400 cause="its head is not proper" age_ms=0
1785492903.200 INFO  members: A member changed. daemon=d7.5 state=Live health=Alive version=1
1785492903.300 INFO  relay: Taken. req  21.0 edge-2
"#;

#[test]
fn parse_returns_message_and_fields() {
    let text = LINES.lines().find(|line| line.contains("request=b2 status")).expect("it is there");
    let line = LogLine::parse(text).expect("a line of a log");
    assert_eq!((line.part.as_str(), line.message.as_str()), ("relay", "Refused."));
    assert_eq!(line.timestamp, 1_785_492_901.4);
    assert_eq!(line.field("cause"), Some(r#"the answer was "lost" = gone"#));
    assert_eq!(line.field("status"), Some("502"));
    assert_eq!(line.field("age_ms"), Some("1300"));
    assert_eq!(line.field("server"), None);
    let sentence = "1785492903.200 ERROR store: This daemon stops. The disk = full.";
    let line = LogLine::parse(sentence).expect("a line without fields");
    assert_eq!(line.message, "This daemon stops. The disk = full.");
}

#[test]
fn parse_rejects_other_text() {
    for text in [
        "",
        "running 3 tests",
        "1785492903.2 INFO relay: Taken.",
        "17.123 INFO relay: x",
        "17854929031785492903.123 INFO relay: x",
    ] {
        assert_eq!(LogLine::parse(text), None, "{text}");
    }
}

fn parse_requests() -> LoggedRequests {
    let mut requests = LoggedRequests::default();
    LINES.lines().filter_map(LogLine::parse).for_each(|line| requests.add_line(&line));
    requests
}

#[test]
fn lines_yield_requests_with_outcomes() {
    let requests = parse_requests();
    let ends: Vec<Option<RequestOutcome>> =
        requests.iter().map(|request| request.outcome.clone().map(|(_, end)| end)).collect();
    let lost = RequestOutcome::Refused(r#"the answer was "lost" = gone"#.to_owned());
    assert_eq!(
        ends,
        [Some(RequestOutcome::Completed), Some(lost), Some(RequestOutcome::CallerLeft), None]
    );
    let servers = requests.count_by_server(1_785_492_901.0);
    assert_eq!(servers.into_iter().collect::<Vec<_>>(), [("i-1", 1), ("i-2", 1)]);
    assert!(requests.count_by_server(1_785_492_902.0).is_empty());
    assert_eq!(requests.count_by_server(1_785_492_903.5).len(), 1, "its caller still waits");
    assert!(
        requests.count_by_server(1_785_492_905.0).is_empty(),
        "the deadline passed after its process ended"
    );
}

#[test]
fn table_counts_each_request_once_and_names_each_cause() {
    let text = request_table(LINES.lines(), 2.0);
    let rows: Vec<Vec<&str>> =
        text.lines().skip(1).take(2).map(|row| row.split_whitespace().collect()).collect();
    // From, taken, whole, refused, broken off, left, open, and the times to the first text.
    assert_eq!(rows[0][..9], ["0.0", "2", "1", "1", "0", "0", "0", "30", "30"]);
    assert_eq!(rows[1][..9], ["2.0", "2", "0", "0", "0", "1", "1", "0", "0"]);
    for cause in [
        r#"1  refused: the answer was "lost" = gone"#,
        "1  the caller left before a server was asked",
        "1  no end in these logs: the process ended, or they end before",
    ] {
        assert!(text.contains(cause), "{cause} is not in\n{text}");
    }
}

/// Without the sums, nobody could tell repeats after lost answers from sends after refusals.
#[test]
fn table_sums_up_repeats_by_service_and_cause() {
    let repeats = "
1785492901.100 WARN  relay: Sent again. request=a1 server=i-3 service=s cause=disconnected deadline_ms=900
1785492901.110 WARN  relay: Sent again. request=b2 server=i-3 service=s cause=not-run deadline_ms=900
1785492901.120 WARN  relay: Sent again. request=b2 server=i-4 service=s cause=disconnected deadline_ms=890
";
    let text = request_table(LINES.lines().chain(repeats.lines()), 2.0);
    for row in ["2  s: disconnected (of 3 first sends)", "1  s: not-run (of 3 first sends)"] {
        assert!(text.contains(row), "{row} is not in\n{text}");
    }
    let text = request_table(LINES.lines(), 2.0);
    assert!(!text.contains("sent again"), "{text}");
}

#[test]
fn table_of_logs_without_requests_is_a_message() {
    assert_eq!(request_table(["nothing"].into_iter(), 2.0), "no requests in these logs\n");
}

#[test]
fn lines_of_one_request_are_ordered_by_time() {
    let reversed: Vec<&str> = LINES.lines().rev().collect();
    let shown = filter_request_lines(reversed.into_iter(), "a1");
    let sentences: Vec<String> =
        shown.lines().filter_map(LogLine::parse).map(|line| line.message).collect();
    assert_eq!(sentences, ["Taken.", "Server chosen.", "Stream began.", "Stream ended whole."]);
}
