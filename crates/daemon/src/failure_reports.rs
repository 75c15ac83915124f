//! Failures of back ends, told to other daemons and heard from them.
//!
//! With many gateways before many servers each gateway meets one server rarely: by its own attempts
//! alone it would lose several requests to a failing one before it leaves it alone.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dahlia_backends::{BackendId, Backends};
use dahlia_node::{BackendFailure, Event};
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::core_handle::CoreHandle;

/// Failures of one back end are gathered for so long before others are told.
const GATHER_TIME: Duration = Duration::from_millis(100);

/// Tells others of failures that `backends` sees, and tells `backends` of those `heard`.
pub fn share(
    backends: &Arc<Mutex<Backends>>,
    heard: UnboundedReceiver<BackendFailure>,
    core: &CoreHandle,
    clock: Clock,
) {
    let (failed, failures) = mpsc::unbounded_channel();
    let listener = move |backend: &BackendId| {
        // Nobody tells others any more while the process ends.
        let _ = failed.send(backend.clone());
    };
    backends.lock().unwrap_or_else(PoisonError::into_inner).on_failure(Box::new(listener));
    tokio::spawn(tell(failures, core.clone()));
    tokio::spawn(hear(heard, backends.clone(), clock));
}

async fn tell(mut failures: UnboundedReceiver<BackendId>, core: CoreHandle) {
    while let Some(first) = failures.recv().await {
        sleep(GATHER_TIME).await;
        let mut counts = BTreeMap::from([(first, 1_u8)]);
        while let Ok(next) = failures.try_recv() {
            let count = counts.entry(next).or_default();
            *count = count.saturating_add(1);
        }
        for (backend, failures) in counts {
            log::info!(
                target: "backends",
                server:% = backend, failures = failures;
                "Failures of a server are told to other daemons."
            );
            let failure = BackendFailure { backend: backend.to_string(), failures };
            core.send_event(Event::BackendFailed(failure)).await;
        }
    }
}

async fn hear(
    mut heard: UnboundedReceiver<BackendFailure>,
    backends: Arc<Mutex<Backends>>,
    clock: Clock,
) {
    while let Some(BackendFailure { backend, failures }) = heard.recv().await {
        let (backend, now) = (BackendId::from(backend.as_str()), clock.now());
        let mut backends = backends.lock().unwrap_or_else(PoisonError::into_inner);
        let was_suspect = backends.is_suspect(&backend, now);
        backends.add_reported_failures(&backend, failures, now);
        let is_suspect = backends.is_suspect(&backend, now);
        log::info!(
            target: "backends",
            server:% = backend,
            failures = failures,
            was_suspect = was_suspect,
            is_suspect = is_suspect;
            "Heard of failures of a server."
        );
    }
}
