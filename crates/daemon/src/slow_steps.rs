//! Reports steps on the disk that take long while they still run. A step that stalls until its process is killed
//! would otherwise leave no trace.

use std::future::Future;
use std::pin::pin;

use tokio::time::{Duration, Instant, timeout};

use crate::logging::part;

/// The time after which a step is reported, and between reports of the same step.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Waits for a step on the disk, and logs at intervals that it is still running.
pub(crate) async fn log_while_running<T>(
    step: &'static str,
    running: impl Future<Output = T>,
) -> T {
    let log = |elapsed: Duration| {
        log::warn!(
            target: part::STORE,
            step = step, running_ms = elapsed.as_millis() as u64;
            "A step on the disk is still running."
        );
    };
    report_while_running(running, REPORT_INTERVAL, log).await
}

/// Waits for a step, and calls `report` with the time it has taken after each `interval`.
pub async fn report_while_running<T>(
    running: impl Future<Output = T>,
    interval: Duration,
    mut report: impl FnMut(Duration),
) -> T {
    let started = Instant::now();
    let mut running = pin!(running);
    loop {
        match timeout(interval, running.as_mut()).await {
            Ok(result) => return result,
            Err(_) => report(started.elapsed()),
        }
    }
}
