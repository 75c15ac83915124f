//! Resuming an answer at an offset, and closing a program.

use std::sync::Arc;

use dahlia_api::{ApiError, ErrorKind};
use dahlia_node::request::{Request as OwnerRequest, Response as OwnerResponse};
use dahlia_types::{CallId, ChainId, ProgramId, TenantId};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};

use super::Gateway;
use super::chat::unexpected;
use super::follow::{AnswerFollower, StartPosition};
use super::render;

/// `GET /v1/programs/{program}/chains/{chain}/calls/{number}/answer?offset=N&attempt=A`.
///
/// A `Last-Event-ID` header (`<chain>/<number>/<attempt>/<offset>`) takes precedence over the query, as
/// the EventSource interface of HTML sends it after a broken stream.
pub(super) struct ReadHandler {
    pub(super) gateway: Arc<Gateway>,
}

#[handler]
impl ReadHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let gateway = &self.gateway;
        let read = gateway.authenticate(request).and_then(|tenant| {
            let position = (call_of(request)?, start_of(request)?);
            Ok((tenant, position.0, position.1))
        });
        let permit = gateway.admit();
        match (read, permit) {
            (Ok((tenant, call, start)), Ok(permit)) => {
                let mut follower = AnswerFollower::new(gateway, tenant, call, start);
                let frame = render::frame(call, "");
                render::name_call(gateway, response, call);
                let first = follower.next().await;
                render::stream(gateway, response, frame, first, follower, permit);
            }
            (Err(error), _) | (_, Err(error)) => render::error(gateway, response, &error),
        }
    }
}

/// `DELETE /v1/programs/{program}`: a tenant closes its own program.
pub(super) struct CloseHandler {
    pub(super) gateway: Arc<Gateway>,
}

#[handler]
impl CloseHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match self.close(request).await {
            Ok(()) => {
                response.status_code(StatusCode::NO_CONTENT);
            }
            Err(error) => render::error(&self.gateway, response, &error),
        }
    }
}

impl CloseHandler {
    async fn close(&self, request: &Request) -> Result<(), ApiError> {
        let tenant: TenantId = self.gateway.authenticate(request)?;
        let program = program_of(request)?;
        let close = OwnerRequest::Close { program, tenant: Some(tenant) };
        match self.gateway.core.request(close).await {
            OwnerResponse::Program(_) => Ok(()),
            OwnerResponse::Failed(error) => Err(error),
            other => Err(unexpected(&other)),
        }
    }
}

fn program_of(request: &Request) -> Result<ProgramId, ApiError> {
    let text: String = request.param("program").unwrap_or_default();
    text.parse().map_err(|error| invalid("program", format!("{error}")))
}

fn call_of(request: &Request) -> Result<CallId, ApiError> {
    let program = program_of(request)?;
    let chain = request.param("chain").ok_or_else(|| invalid("chain", "must be a number"))?;
    let number = request.param("number").ok_or_else(|| invalid("number", "must be a number"))?;
    Ok(CallId { program, chain: ChainId(chain), number })
}

fn start_of(request: &Request) -> Result<StartPosition, ApiError> {
    if let Some(event) = request.headers().get("last-event-id") {
        let text = event.to_str().unwrap_or_default();
        return position_of_event(text).ok_or_else(|| {
            invalid("last-event-id", "must be <chain>/<number>/<attempt>/<offset>")
        });
    }
    Ok(StartPosition {
        attempt: number_query(request, "attempt")? as u32,
        offset: number_query(request, "offset")?,
    })
}

fn position_of_event(text: &str) -> Option<StartPosition> {
    let mut parts = text.split('/').skip(2);
    let attempt = parts.next()?.parse().ok()?;
    let offset = parts.next()?.parse().ok()?;
    Some(StartPosition { attempt, offset })
}

fn number_query(request: &Request, name: &str) -> Result<u64, ApiError> {
    match request.queries().get(name) {
        None => Ok(0),
        Some(text) => text.parse().map_err(|_| invalid(name, "must be a number from 0")),
    }
}

fn invalid(field: &str, problem: impl Into<String>) -> ApiError {
    ApiError::new(ErrorKind::InvalidRequest, problem).with_field(field)
}
