//! Steps that take long are reported while they still run.

use std::future::{pending, ready};
use std::time::Duration;

use dahlia_daemon::slow_steps::report_while_running;
use tokio::sync::mpsc;
use tokio::time::timeout;

const INTERVAL: Duration = Duration::from_millis(5);
const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// A sync that stalled until its process was killed left no line in the log, so that two incidents of stores that
/// stood still could only be inferred.
#[tokio::test]
async fn step_that_never_ends_is_reported_again_and_again() {
    let (reports, mut reported) = mpsc::unbounded_channel();
    let report = move |elapsed| reports.send(elapsed).expect("the test waits for it");
    let step = tokio::spawn(report_while_running(pending::<()>(), INTERVAL, report));
    let mut last = Duration::ZERO;
    for _ in 0..3 {
        let elapsed = timeout(TEST_TIMEOUT, reported.recv()).await.expect("in time");
        let elapsed = elapsed.expect("the step runs on");
        assert!(elapsed >= last + INTERVAL, "{elapsed:?} after {last:?}");
        last = elapsed;
    }
    step.abort();
}

#[tokio::test]
async fn step_that_ends_at_once_is_not_reported() {
    let mut reports = 0;
    assert_eq!(report_while_running(ready(7), INTERVAL, |_| reports += 1).await, 7);
    assert_eq!(reports, 0);
}
