//! Which reports of servers' failures get a log line.

use dahlia_daemon::failure_reports::ReportLines;
use dahlia_types::{Duration, Timestamp};

const START: Timestamp = Timestamp(1_000_000);
/// The servers and gateways of a large deployment in a bad minute.
const REPORTS: u64 = 10_000;
/// More lines a minute hide those about other matters.
const MOST_LINES: usize = 20;

/// Guards against logs that hold nothing but reports of failures, one line for each report of each gateway.
#[test]
fn reports_of_failures_do_not_fill_the_log() {
    let mut lines = ReportLines::default();
    let now = |report: u64| START + Duration::from_millis(report);
    let due = (0..REPORTS).filter_map(|report| lines.record(false, report % 2 == 0, now(report)));
    assert!(due.count() <= MOST_LINES);
}

/// Guards against a server that becomes suspect without a line, and reports that no line counts.
#[test]
fn a_report_that_makes_a_server_suspect_gets_a_line_with_the_number_of_reports() {
    let mut lines = ReportLines::default();
    let states = [(false, false), (true, true), (false, true), (true, false), (false, true)];
    let due = states.map(|(was_suspect, is_suspect)| lines.record(was_suspect, is_suspect, START));
    assert_eq!(due, [None, None, Some(3), None, Some(2)]);
}
