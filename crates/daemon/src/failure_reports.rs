//! Reports of back-end failures, sent to other daemons and received from them.
//!
//! With many gateways in front of many servers, each gateway uses one server rarely. With its own
//! attempts alone it would lose several requests to a failing server before it avoids it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dahlia_backends::{BackendId, Backends};
use dahlia_node::{BackendFailure, Event, LogLineLimit};
use dahlia_types::Timestamp;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::core_handle::CoreHandle;

/// Time for which failures are gathered before they are reported.
const GATHER_INTERVAL: Duration = Duration::from_millis(100);

/// Reports the failures that `backends` sees to other daemons, and applies their `reports` to
/// `backends`.
pub fn share(
    backends: &Arc<Mutex<Backends>>,
    reports: UnboundedReceiver<BackendFailure>,
    core: &CoreHandle,
    clock: Clock,
) {
    let (failure_sender, failures) = mpsc::unbounded_channel();
    let listener = move |backend: &BackendId| {
        // The receiver is gone while the process ends.
        let _ = failure_sender.send(backend.clone());
    };
    backends.lock().unwrap_or_else(PoisonError::into_inner).on_failure(Box::new(listener));
    tokio::spawn(send_reports(failures, core.clone(), clock));
    tokio::spawn(apply_reports(reports, backends.clone(), clock));
}

async fn send_reports(mut failures: UnboundedReceiver<BackendId>, core: CoreHandle, clock: Clock) {
    let mut lines = LogLineLimit::default();
    while let Some(first) = failures.recv().await {
        sleep(GATHER_INTERVAL).await;
        let mut counts = BTreeMap::from([(first, 1_u8)]);
        while let Ok(next) = failures.try_recv() {
            let count = counts.entry(next).or_default();
            *count = count.saturating_add(1);
        }
        for (backend, failures) in counts {
            if let Some(passed_over) = lines.allow(clock.now()) {
                log::info!(
                    target: "backends",
                    server:% = backend, failures = failures, lines_passed_over = passed_over;
                    "Reporting failures of a server to other daemons."
                );
            }
            let failure = BackendFailure { backend: backend.to_string(), failures };
            core.send_event(Event::BackendFailed(failure)).await;
        }
    }
}

/// Decides which reports of failures are worth a log line: those that make a server suspect. Each gateway gets the reports
/// of all others, so a line for each would crowd out the lines about servers that leave.
#[derive(Debug, Default)]
pub struct ReportLines {
    limit: LogLineLimit,
    /// The number of reports since the last line.
    reports: u64,
}

impl ReportLines {
    /// Records a report, and whether the server was suspect before and after it. Returns the number of reports since the last
    /// line if a line is due.
    pub fn record(&mut self, was_suspect: bool, is_suspect: bool, now: Timestamp) -> Option<u64> {
        self.reports += 1;
        if was_suspect || !is_suspect {
            return None;
        }
        self.limit.allow(now)?;
        Some(std::mem::take(&mut self.reports))
    }
}

async fn apply_reports(
    mut reports: UnboundedReceiver<BackendFailure>,
    backends: Arc<Mutex<Backends>>,
    clock: Clock,
) {
    let mut lines = ReportLines::default();
    while let Some(BackendFailure { backend, failures }) = reports.recv().await {
        let (backend, now) = (BackendId::from(backend.as_str()), clock.now());
        let mut backends = backends.lock().unwrap_or_else(PoisonError::into_inner);
        let was_suspect = backends.is_suspect(&backend, now);
        backends.add_reported_failures(&backend, failures, now);
        let is_suspect = backends.is_suspect(&backend, now);
        drop(backends);
        if let Some(reports) = lines.record(was_suspect, is_suspect, now) {
            log::info!(
                target: "backends",
                server:% = backend, failures = failures, reports = reports;
                "Reports of other daemons have made a server suspect."
            );
        }
    }
}
