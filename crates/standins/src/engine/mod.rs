//! The stand-in of a model engine: the engine model behind the wire forms of `dahlia-adapters`,
//! driven by the wall clock.

mod answer;
mod convert;
mod core;
mod faults;
mod handlers;
mod loading;
mod observation;
mod openai;
mod prompt;
mod records;
mod reports;
mod service;
mod streaming;

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use dahlia_engine_model::EngineParameters;
use dahlia_types::{EngineId, Incarnation, InvalidSetting, ModelId, Tokens, check_range};
use serde::{Deserialize, Serialize};

use crate::server::{RunningServer, StartError};
use crate::{InputLimits, ServerSettings};

pub use answer::AnswerText;
pub use faults::{EngineFaults, StreamCut};
pub use observation::EngineObservation;
pub use prompt::{answer_length, count_message, count_prompt};

use service::Service;

/// Settings of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// How it listens.
    pub server: ServerSettings,
    /// Its name.
    pub engine: EngineId,
    /// Models that are loaded at the start.
    pub models: Vec<ModelId>,
    /// How much faster than real time the model runs.
    pub speed: f64,
    /// Tokens generated when a prompt does not ask for a number.
    pub default_answer: Tokens,
    /// A silent stream says that it lives this often, in milliseconds.
    pub alive_interval_ms: u64,
    /// How often the load is taken, in milliseconds.
    pub load_report_interval_ms: u64,
    /// `address:port` of the weight store that loads go through; none has weights at hand.
    pub weights: Option<String>,
    /// Seed of what the model draws.
    pub seed: u64,
    /// Speeds and sizes.
    pub parameters: EngineParameters,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            server: ServerSettings::default(),
            engine: EngineId::new("engine"),
            models: vec![ModelId::new("agent-8b/base@1")],
            speed: 1.0,
            default_answer: Tokens(64),
            alive_interval_ms: 1_000,
            load_report_interval_ms: 100,
            weights: None,
            seed: 1,
            parameters: EngineParameters::default(),
        }
    }
}

impl EngineSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first field out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        self.server.check()?;
        check_range("speed", self.speed, 0.001, 100_000.0)?;
        check_range("default_answer", self.default_answer.0, 1, 1 << 24)?;
        check_range("alive_interval_ms", self.alive_interval_ms, 1, 600_000)?;
        check_range("load_report_interval_ms", self.load_report_interval_ms, 1, 600_000)?;
        self.parameters.check()
    }
}

/// The engine.
pub struct EngineServer;

impl EngineServer {
    /// Starts an engine's life.
    ///
    /// # Errors
    /// [`StartError`] for a wrong setting or an address that cannot be bound.
    pub async fn start(settings: EngineSettings) -> Result<RunningServer, StartError> {
        settings.check()?;
        let limits = InputLimits::from(&settings.server);
        let server = settings.server.clone();
        let service = Arc::new(Service::new(settings, new_incarnation()));
        let router = handlers::router(&service, limits, server.control);
        let driving = tokio::spawn(service::drive(Arc::clone(&service)));
        RunningServer::start(&server, router, vec![driving]).await
    }
}

/// A life is named by the millisecond in which it starts.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since.as_millis() as u64)
}
