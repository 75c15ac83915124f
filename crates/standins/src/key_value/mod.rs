//! The stand-in of the key-value service.

mod faults;
mod handlers;
mod service;
mod store;
mod watch;

use std::sync::Arc;

use dahlia_types::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

use crate::server::{RunningServer, StartError};
use crate::{InputLimits, ServerSettings};

pub use faults::{KeyValueFaults, Outage};
pub use service::KeyValueObservation;

use service::Service;

/// Settings of the key-value service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeyValueSettings {
    /// How it listens.
    pub server: ServerSettings,
    /// Requests allowed in a second, on average.
    pub requests_per_second: f64,
    /// Requests allowed at once after a pause.
    pub burst: f64,
    /// Changes that are kept for watches that start in the past.
    pub kept_changes: u64,
    /// A watch says that it lives this often, in milliseconds.
    pub watch_progress_ms: u64,
    /// Longest key, in bytes.
    pub max_key_bytes: u64,
    /// Largest value, in bytes.
    pub max_value_bytes: u64,
}

impl Default for KeyValueSettings {
    fn default() -> Self {
        Self {
            server: ServerSettings::default(),
            requests_per_second: 200.0,
            burst: 100.0,
            kept_changes: 10_000,
            watch_progress_ms: 1_000,
            max_key_bytes: 512,
            max_value_bytes: 1 << 20,
        }
    }
}

impl KeyValueSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first field out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        self.server.check()?;
        check_range("requests_per_second", self.requests_per_second, 0.001, 1e9)?;
        check_range("burst", self.burst, 1.0, 1e9)?;
        check_range("kept_changes", self.kept_changes, 1, 1 << 24)?;
        check_range("watch_progress_ms", self.watch_progress_ms, 1, 600_000)?;
        check_range("max_key_bytes", self.max_key_bytes, 1, 1 << 16)?;
        check_range("max_value_bytes", self.max_value_bytes, 1, 1 << 30)
    }
}

/// The key-value service.
pub struct KeyValueServer;

impl KeyValueServer {
    /// Starts the service with an empty store.
    ///
    /// # Errors
    /// [`StartError`] for a wrong setting or an address that cannot be bound.
    pub async fn start(settings: KeyValueSettings) -> Result<RunningServer, StartError> {
        settings.check()?;
        let limits = InputLimits::from(&settings.server);
        let server = settings.server.clone();
        let service = Arc::new(Service::new(settings));
        let router = handlers::router(&service, limits, server.control);
        let lapsing = tokio::spawn(service::lapse_leases(Arc::clone(&service)));
        RunningServer::start(&server, router, vec![lapsing]).await
    }
}
