//! The stand-in of the rate-limited weight store. Transfers take their time; no bytes are sent.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dahlia_adapters::weights::{
    DescribeRequest, FetchEvent, FetchRequest, WeightDescription, WeightRefusal, paths,
};
use dahlia_types::{Bytes, EngineId, InvalidSetting, ModelId, Timestamp, check_range};
use futures::StreamExt;
use futures::stream::BoxStream;
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::control::{ObservationsRequest, Witness, lock};
use crate::rate::RateLimit;
use crate::reply::{Refusal, Reply, Routes};
use crate::server::{RunningServer, StartError};
use crate::{InputLimits, ServerSettings};

/// Settings of the weight store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightSettings {
    /// How it listens.
    pub server: ServerSettings,
    /// Sizes of the models it has.
    pub models: BTreeMap<ModelId, Bytes>,
    /// Size of a model that is not listed; none refuses it.
    pub other_models: Option<Bytes>,
    /// Transfers that may begin in a minute, on average.
    pub fetches_per_minute: f64,
    /// Transfers that may begin at once after a pause.
    pub burst: f64,
    /// Speed of one transfer.
    pub bytes_per_second: f64,
    /// A transfer tells its progress this often, in milliseconds.
    pub progress_interval_ms: u64,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            server: ServerSettings::default(),
            models: BTreeMap::new(),
            other_models: Some(Bytes(16_000_000_000)),
            fetches_per_minute: 60.0,
            burst: 2.0,
            bytes_per_second: 8e9,
            progress_interval_ms: 200,
        }
    }
}

impl WeightSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first field out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        self.server.check()?;
        check_range("fetches_per_minute", self.fetches_per_minute, 0.001, 1e9)?;
        check_range("burst", self.burst, 1.0, 1e9)?;
        check_range("bytes_per_second", self.bytes_per_second, 1.0, 1e15)?;
        check_range("progress_interval_ms", self.progress_interval_ms, 1, 600_000)
    }
}

/// Something that the store saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightObservation {
    /// A transfer began.
    Began {
        /// The model.
        model: ModelId,
        /// Who takes it.
        engine: EngineId,
    },
    /// A transfer was complete.
    Completed {
        /// The model.
        model: ModelId,
        /// Who took it.
        engine: EngineId,
    },
    /// A transfer was refused by the rate limit.
    RateLimited {
        /// The model.
        model: ModelId,
        /// Who wanted it.
        engine: EngineId,
    },
}

impl Refusal for WeightRefusal {
    fn invalid(field: &str, detail: String) -> Self {
        Self::Invalid { field: field.to_owned(), detail }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::NoSuchModel { .. } => StatusCode::NOT_FOUND,
            Self::RateLimited { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Invalid { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// The weight store.
pub struct WeightServer;

impl WeightServer {
    /// Starts the store.
    ///
    /// # Errors
    /// [`StartError`] for a wrong setting or an address that cannot be bound.
    pub async fn start(settings: WeightSettings) -> Result<RunningServer, StartError> {
        settings.check()?;
        let limits = InputLimits::from(&settings.server);
        let server = settings.server.clone();
        let service = Arc::new(Service::new(settings));
        let mut routes = Routes::<Service, WeightRefusal>::new(&service, limits)
            .post(paths::DESCRIBE, describe)
            .post(paths::FETCH, fetch);
        if server.control {
            routes = routes.control("observations", observations);
        }
        RunningServer::start(&server, routes.into_router(), Vec::new()).await
    }
}

struct Service {
    settings: WeightSettings,
    limit: Mutex<RateLimit>,
    witness: Witness<WeightObservation>,
    started: Instant,
}

impl Service {
    fn new(settings: WeightSettings) -> Self {
        const SECONDS_PER_MINUTE: f64 = 60.0;
        let rate = settings.fetches_per_minute / SECONDS_PER_MINUTE;
        let limit = Mutex::new(RateLimit::new(rate, settings.burst));
        Self { settings, limit, witness: Witness::new(), started: Instant::now() }
    }

    fn size(&self, model: &ModelId) -> Result<Bytes, WeightRefusal> {
        let listed = self.settings.models.get(model).copied();
        let size = listed.or(self.settings.other_models);
        size.ok_or_else(|| WeightRefusal::NoSuchModel { model: model.clone() })
    }

    fn admit(&self, request: &FetchRequest) -> Result<Bytes, WeightRefusal> {
        let size = self.size(&request.model)?;
        let FetchRequest { model, engine } = request.clone();
        let now = Timestamp(self.started.elapsed().as_micros() as u64);
        match lock(&self.limit).take(1.0, now) {
            Ok(()) => {
                self.witness.note(WeightObservation::Began { model, engine });
                Ok(size)
            }
            Err(retry_after) => {
                self.witness.note(WeightObservation::RateLimited { model, engine });
                Err(WeightRefusal::RateLimited { retry_after })
            }
        }
    }
}

async fn describe(service: Arc<Service>, request: DescribeRequest) -> Reply {
    let model = request.model;
    Reply::from_result(service.size(&model).map(|bytes| WeightDescription { model, bytes }))
}

async fn fetch(service: Arc<Service>, request: FetchRequest) -> Reply {
    match service.admit(&request) {
        Ok(size) => Reply::json_lines(transfer(service, request, size)),
        Err(refusal) => Reply::refused(refusal),
    }
}

async fn observations(service: Arc<Service>, request: ObservationsRequest) -> Reply {
    Reply::json(&service.witness.after(request.after))
}

fn transfer(
    service: Arc<Service>,
    request: FetchRequest,
    size: Bytes,
) -> BoxStream<'static, io::Result<FetchEvent>> {
    let interval = Duration::from_millis(service.settings.progress_interval_ms);
    let rate = service.settings.bytes_per_second;
    let stream = async_stream::stream! {
        let begun = tokio::time::Instant::now();
        let end = begun + Duration::from_secs_f64(size.0 as f64 / rate);
        while tokio::time::Instant::now() + interval < end {
            tokio::time::sleep(interval).await;
            let transferred = Bytes((begun.elapsed().as_secs_f64() * rate) as u64);
            yield Ok(FetchEvent::Progress { transferred });
        }
        tokio::time::sleep_until(end).await;
        let FetchRequest { model, engine } = request;
        service.witness.note(WeightObservation::Completed { model, engine });
        yield Ok(FetchEvent::Done { transferred: size });
    };
    stream.boxed()
}
