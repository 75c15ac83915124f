//! Which services send answers that end with their connection.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use dahlia_backends::ServiceName;
use tokio::time::{Duration, Instant};

/// How long such an answer of a service is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(600);

/// When each service last sent such an answer. The operators' configuration bounds the number of services.
#[derive(Debug, Default)]
pub(crate) struct UnframedServices(Mutex<HashMap<ServiceName, Instant>>);

impl UnframedServices {
    /// Notes that a service sends such an answer.
    pub(crate) fn record(&self, service: &ServiceName) {
        self.lock().insert(service.clone(), Instant::now());
    }

    /// Whether a service has sent such an answer of late.
    pub(crate) fn contain(&self, service: &ServiceName) -> bool {
        self.lock().get(service).is_some_and(|at| at.elapsed() < MEMORY_TIME)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
