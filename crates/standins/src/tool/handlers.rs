//! The service's requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use dahlia_adapters::tool::{
    InvokeEvent, InvokeLine, InvokeRequest, ToolCancelRequest, ToolRefusal, ToolStateRequest, paths,
};
use dahlia_types::AttemptId;
use futures::StreamExt;
use futures::stream::BoxStream;
use salvo::Router;
use salvo::http::StatusCode;
use tokio::sync::watch;

use super::ToolFaults;
use super::service::{Outcome, Service};
use crate::InputLimits;
use crate::control::{Nothing, ObservationsRequest};
use crate::reply::{Refusal, Reply, Routes, lost};

impl Refusal for ToolRefusal {
    fn invalid(field: &str, detail: String) -> Self {
        Self::Invalid { field: field.to_owned(), detail }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::StaleEpoch { .. } | Self::NeverStarts { .. } | Self::AttemptExists { .. } => {
                StatusCode::CONFLICT
            }
            Self::NoSuchService { .. } => StatusCode::NOT_FOUND,
            Self::Overloaded { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Invalid { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// The routes; control only where it is switched on.
pub(super) fn router(service: &Arc<Service>, limits: InputLimits, control: bool) -> Router {
    let routes = Routes::<Service, ToolRefusal>::new(service, limits)
        .post(paths::INVOKE, invoke)
        .post(paths::ATTEMPT, attempt)
        .post(paths::CANCEL, cancel);
    if !control {
        return routes.into_router();
    }
    routes.control("faults", set_faults).control("observations", observations).into_router()
}

async fn invoke(service: Arc<Service>, request: InvokeRequest) -> Reply {
    let attempt = request.attempt.id;
    match service.start(request) {
        Ok(result) => Reply::json_lines(lines(service, attempt, result)),
        Err(refusal) => Reply::refused(refusal),
    }
}

async fn attempt(service: Arc<Service>, request: ToolStateRequest) -> Reply {
    Reply::json(&service.state(request.attempt))
}

async fn cancel(service: Arc<Service>, request: ToolCancelRequest) -> Reply {
    Reply::from_result(service.cancel(request))
}

async fn set_faults(service: Arc<Service>, faults: ToolFaults) -> Reply {
    service.set_faults(faults);
    Reply::json(&Nothing {})
}

async fn observations(service: Arc<Service>, request: ObservationsRequest) -> Reply {
    Reply::json(&service.witness.after(request.after))
}

fn lines(
    service: Arc<Service>,
    attempt: AttemptId,
    mut result: watch::Receiver<Option<Outcome>>,
) -> BoxStream<'static, io::Result<InvokeLine>> {
    let interval = Duration::from_millis(service.settings.alive_interval_ms);
    let stream = async_stream::stream! {
        yield Ok(InvokeLine { attempt, event: InvokeEvent::Started });
        loop {
            match tokio::time::timeout(interval, outcome(&mut result)).await {
                Ok(Outcome::Result(body)) => {
                    yield Ok(InvokeLine { attempt, event: InvokeEvent::Done { body } });
                    return;
                }
                Ok(Outcome::Lost) => {
                    yield Err(lost());
                    return;
                }
                Err(_) if service.faults().silent => {}
                Err(_) => yield Ok(InvokeLine { attempt, event: InvokeEvent::Alive }),
            }
        }
    };
    stream.boxed()
}

/// What comes of an invocation; it is lost too when the service stops in the middle of it.
async fn outcome(result: &mut watch::Receiver<Option<Outcome>>) -> Outcome {
    match result.wait_for(Option::is_some).await {
        Ok(found) => found.clone().unwrap_or(Outcome::Lost),
        Err(_) => Outcome::Lost,
    }
}
