//! The stand-in of tool and application services.

mod handlers;
mod service;

use std::sync::Arc;

use dahlia_types::{InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

use crate::server::{RunningServer, StartError};
use crate::{InputLimits, ServerSettings};

pub use service::{ToolFaults, ToolObservation, tool_result};

use service::Service;

/// Settings of a tool service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ToolSettings {
    /// How it listens.
    pub server: ServerSettings,
    /// Names of the services it offers; empty offers any.
    pub services: Vec<String>,
    /// How long an invocation runs when its body does not say, in milliseconds.
    pub default_run_ms: u64,
    /// A running invocation says that it lives this often, in milliseconds.
    pub alive_interval_ms: u64,
    /// Most invocations at once; more are refused as overloaded.
    pub max_running: u64,
    /// Whether enquiries are answered; a service without records cannot tell.
    pub keeps_records: bool,
}

impl Default for ToolSettings {
    fn default() -> Self {
        Self {
            server: ServerSettings::default(),
            services: Vec::new(),
            default_run_ms: 20,
            alive_interval_ms: 1_000,
            max_running: 10_000,
            keeps_records: true,
        }
    }
}

impl ToolSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first field out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        self.server.check()?;
        check_range("default_run_ms", self.default_run_ms, 0, 86_400_000)?;
        check_range("alive_interval_ms", self.alive_interval_ms, 1, 600_000)?;
        check_range("max_running", self.max_running, 1, 1 << 20)
    }
}

/// A tool service.
pub struct ToolServer;

impl ToolServer {
    /// Starts the service.
    ///
    /// # Errors
    /// [`StartError`] for a wrong setting or an address that cannot be bound.
    pub async fn start(settings: ToolSettings) -> Result<RunningServer, StartError> {
        settings.check()?;
        let limits = InputLimits::from(&settings.server);
        let server = settings.server.clone();
        let service = Arc::new(Service::new(settings));
        let router = handlers::router(&service, limits, server.control);
        RunningServer::start(&server, router, Vec::new()).await
    }
}
