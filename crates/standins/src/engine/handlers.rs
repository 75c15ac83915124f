//! The engine's requests.

use std::sync::Arc;

use dahlia_adapters::engine::{
    AttemptStateRequest, CacheEvents, CacheEventsRequest, CancelRequest, EngineRefusal,
    ExportRequest, FenceConfirmed, FenceRequest, FencedOrder, GenerateRequest, HoldRequest,
    ImportConfirmed, ImportRequest, OrderAccepted, ReleaseRequest, ReportRequest, ResumeRequest,
    paths,
};
use dahlia_types::Tokens;
use salvo::Router;
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};

use super::core::Core;
use super::service::Service;
use super::{EngineFaults, convert, loading, openai, streaming};
use crate::InputLimits;
use crate::control::{Nothing, ObservationsRequest};
use crate::reply::{Refusal, Reply, Routes};

impl Refusal for EngineRefusal {
    fn invalid(field: &str, detail: String) -> Self {
        Self::Invalid { field: field.to_owned(), detail }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Invalid { .. } | Self::PromptTooLong { .. } => StatusCode::BAD_REQUEST,
            Self::Overloaded { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            Self::ModelNotLoaded { .. }
            | Self::NothingCached { .. }
            | Self::NoSuchAttempt { .. } => StatusCode::NOT_FOUND,
            Self::OffsetBeyondAnswer { .. } => StatusCode::RANGE_NOT_SATISFIABLE,
            Self::StaleEpoch { .. }
            | Self::OtherIncarnation { .. }
            | Self::ProgramEnded { .. }
            | Self::NeverStarts { .. }
            | Self::AttemptExists { .. }
            | Self::InUse { .. }
            | Self::StaleGeneration { .. } => StatusCode::CONFLICT,
        }
    }
}

/// A new life of the engine.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Restarted {
    /// The new life.
    pub incarnation: dahlia_types::Incarnation,
}

/// The routes; control only where it is switched on.
pub(super) fn router(service: &Arc<Service>, limits: InputLimits, control: bool) -> Router {
    let routes = Routes::<Service, EngineRefusal>::new(service, limits)
        .post(paths::GENERATE, generate)
        .post(paths::RESUME, resume)
        .post(paths::CANCEL, cancel)
        .post(paths::ATTEMPT, attempt)
        .post(paths::FENCE, fence)
        .post(paths::HOLD, hold)
        .post(paths::RELEASE, release)
        .post(paths::INVENTORY, inventory)
        .post(paths::LOAD, load)
        .post(paths::CACHE_EVENTS, cache_events)
        .post(paths::ORDER, order)
        .post(paths::EXPORT, export)
        .post(paths::IMPORT, import)
        .post_refusing::<openai::OpenAiError, _, _, _>(openai::PATH, openai::complete);
    if !control {
        return routes.into_router();
    }
    let routes = routes
        .control("faults", set_faults)
        .control("observations", observations)
        .control("restart", restart);
    routes.into_router()
}

async fn generate(service: Arc<Service>, request: GenerateRequest) -> Reply {
    service.thawed().await;
    if let Err(refusal) = check(&request) {
        return Reply::refused(refusal);
    }
    match service.generate(&request) {
        Err(refusal) => answer::<(), _>(&service, Err(refusal)).await,
        Ok(subscription) if service.delay_answer().await => {
            drop(subscription);
            Reply::Lost
        }
        Ok(subscription) => Reply::json_lines(streaming::lines(service, subscription, 0)),
    }
}

/// Refuses what no model could run. One token is the least that is ever generated, so a cap of
/// none cannot be kept.
fn check(request: &GenerateRequest) -> Result<(), EngineRefusal> {
    if request.messages.is_empty() {
        return Err(EngineRefusal::invalid("messages", "must not be empty".to_owned()));
    }
    if request.max_generated == Tokens::ZERO {
        return Err(EngineRefusal::invalid("max_generated", "must be at least 1".to_owned()));
    }
    Ok(())
}

async fn resume(service: Arc<Service>, request: ResumeRequest) -> Reply {
    service.thawed().await;
    let ResumeRequest { attempt, from_offset } = request;
    match service.with(|core, _| core.resume(attempt, from_offset)) {
        Err(refusal) => answer::<(), _>(&service, Err(refusal)).await,
        Ok(subscription) if service.delay_answer().await => {
            drop(subscription);
            Reply::Lost
        }
        Ok(subscription) => Reply::json_lines(streaming::lines(service, subscription, from_offset)),
    }
}

async fn cancel(service: Arc<Service>, request: CancelRequest) -> Reply {
    service.thawed().await;
    let state = service.with(|core, now| core.cancel(request, now));
    answer(&service, state).await
}

async fn attempt(service: Arc<Service>, request: AttemptStateRequest) -> Reply {
    service.thawed().await;
    let state = service.with(|core, _| core.records.state(request.attempt));
    answer::<_, EngineRefusal>(&service, Ok(state)).await
}

async fn fence(service: Arc<Service>, request: FenceRequest) -> Reply {
    service.thawed().await;
    let fenced = service.with(|core, now| {
        core.fence(request, now).map(|()| FenceConfirmed { incarnation: core.model.incarnation() })
    });
    answer(&service, fenced).await
}

async fn hold(service: Arc<Service>, request: HoldRequest) -> Reply {
    service.thawed().await;
    let length = service.clock.to_model(request.length);
    let held = service.with(|core, now| {
        let held = core.hold(request, length, now);
        held.map(|()| FenceConfirmed { incarnation: core.model.incarnation() })
    });
    answer(&service, held).await
}

async fn release(service: Arc<Service>, request: ReleaseRequest) -> Reply {
    service.thawed().await;
    let released = service.with(|core, now| core.release(request, now));
    answer(&service, released).await
}

async fn inventory(service: Arc<Service>, _: ReportRequest) -> Reply {
    service.thawed().await;
    let inventory = service.inventory();
    answer::<_, EngineRefusal>(&service, Ok(inventory)).await
}

async fn load(service: Arc<Service>, _: ReportRequest) -> Reply {
    service.thawed().await;
    let load = service.load();
    answer::<_, EngineRefusal>(&service, Ok(load)).await
}

async fn cache_events(service: Arc<Service>, request: CacheEventsRequest) -> Reply {
    service.thawed().await;
    let faults = service.faults();
    let events = service.with(|core: &mut Core, _| CacheEvents {
        incarnation: core.model.incarnation(),
        events: core.reports.cache_events(request.after, faults),
    });
    answer::<_, EngineRefusal>(&service, Ok(events)).await
}

async fn order(service: Arc<Service>, request: FencedOrder) -> Reply {
    service.thawed().await;
    let store = service.settings.weights.clone();
    let ordered = service.with(|core, now| {
        let fetch = core.order(request, store.is_some(), now)?;
        Ok::<_, EngineRefusal>((fetch, core.model.incarnation()))
    });
    let (fetch, incarnation) = match ordered {
        Ok(ordered) => ordered,
        Err(refusal) => return answer::<(), _>(&service, Err(refusal)).await,
    };
    if let (Some(model), Some(store)) = (fetch, store) {
        tokio::spawn(loading::fetch(Arc::clone(&service), store, model));
    }
    answer::<_, EngineRefusal>(&service, Ok(OrderAccepted { incarnation })).await
}

async fn export(service: Arc<Service>, request: ExportRequest) -> Reply {
    service.thawed().await;
    let begun = service.with(|core, now| {
        core.export(request, now).map(|complete| (complete, core.model.incarnation()))
    });
    let (complete, incarnation) = match begun {
        Ok(begun) => begun,
        Err(refusal) => return answer::<(), _>(&service, Err(refusal)).await,
    };
    // The sender is dropped only when the engine's life ends.
    let Ok(image) = complete.await else { return Reply::Lost };
    let image = convert::image_out(image, service.settings.engine.clone(), incarnation);
    answer::<_, EngineRefusal>(&service, Ok(image)).await
}

async fn import(service: Arc<Service>, request: ImportRequest) -> Reply {
    service.thawed().await;
    let begun = service.with(|core, now| {
        core.import(request, now).map(|complete| (complete, core.model.incarnation()))
    });
    let (complete, incarnation) = match begun {
        Ok(begun) => begun,
        Err(refusal) => return answer::<(), _>(&service, Err(refusal)).await,
    };
    // The sender is dropped only when the engine's life ends.
    let Ok(tokens) = complete.await else { return Reply::Lost };
    answer::<_, EngineRefusal>(&service, Ok(ImportConfirmed { incarnation, tokens })).await
}

async fn set_faults(service: Arc<Service>, faults: EngineFaults) -> Reply {
    service.set_faults(faults);
    Reply::json(&Nothing {})
}

async fn observations(service: Arc<Service>, request: ObservationsRequest) -> Reply {
    Reply::json(&service.witness.after(request.after))
}

async fn restart(service: Arc<Service>, _: Nothing) -> Reply {
    Reply::json(&Restarted { incarnation: service.restart() })
}

/// The answer after its delay, or nothing when it is lost on purpose.
async fn answer<T: Serialize, R: Refusal>(service: &Service, result: Result<T, R>) -> Reply {
    if service.delay_answer().await {
        return Reply::Lost;
    }
    Reply::from_result(result)
}
