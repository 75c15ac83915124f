//! Measures how long the event loop of the process stood still: a task that computes or blocks, a machine that gives no
//! processor time, and a process that is stopped all delay every timer, deadline and message alike.

use std::time::Duration;

use dahlia_node::LogLineLimit;
use prometheus::{Histogram, HistogramOpts, Registry};
use rustix::time::{ClockId, DynamicClockId, clock_gettime_dynamic};
use tokio::time::{Instant, sleep_until};

use crate::clock::Clock;
use crate::logging::part;

/// How often the delay is measured.
const MEASURING_INTERVAL: Duration = Duration::from_millis(250);
/// The delay from which on it is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(250);
/// Upper bounds of histogram buckets in seconds, up to a delay that exceeds every time limit.
const BUCKET_BOUNDS_SECONDS: [f64; 9] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0];

/// Creates the histogram of delays and registers it.
///
/// # Errors
/// [`prometheus::Error`] when its name is registered already.
pub fn register_histogram(registry: &Registry) -> Result<Histogram, prometheus::Error> {
    let options = HistogramOpts::new(
        "dahlialadder_event_loop_delay_seconds",
        "How late a timer of the event loop fired.",
    );
    let delays = Histogram::with_opts(options.buckets(BUCKET_BOUNDS_SECONDS.to_vec()))?;
    registry.register(Box::new(delays.clone()))?;
    Ok(delays)
}

/// Measures and logs delays until the task is aborted.
pub async fn monitor(delays: Histogram, clock: Clock) {
    let mut line_limit = LogLineLimit::default();
    loop {
        let due = Instant::now() + MEASURING_INTERVAL;
        let used_before = process_time();
        sleep_until(due).await;
        let delay = due.elapsed();
        delays.observe(delay.as_secs_f64());
        if delay < LOGGED_DELAY {
            continue;
        }
        if let Some(passed_over) = line_limit.allow(clock.now()) {
            let used = process_time().zip(used_before).map(|(after, before)| after - before);
            log::warn!(
                target: part::DAEMON,
                delay_ms = delay.as_millis() as u64,
                processor_ms:? = used.map(|used| used.as_millis()),
                lines_passed_over = passed_over;
                "The event loop stood still."
            );
        }
    }
}

/// The processor time that the process has used; none if the system does not tell.
fn process_time() -> Option<Duration> {
    let clock = DynamicClockId::Known(ClockId::ProcessCPUTime);
    let time = clock_gettime_dynamic(clock).ok()?;
    Some(Duration::new(time.tv_sec.try_into().ok()?, time.tv_nsec.try_into().ok()?))
}
