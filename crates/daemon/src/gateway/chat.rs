//! `POST /v1/chat/completions`: the way of a call through its gateway, top to bottom.

use std::sync::Arc;
use std::time::Duration;

use dahlia_api::chat::ChatRequest;
use dahlia_api::validation::{CallHeaders, CallRequest, validate};
use dahlia_api::{ApiError, ErrorKind, headers};
use dahlia_node::request::{Request as OwnerRequest, Response as OwnerResponse};
use dahlia_types::{CallId, IdempotencyKey, TenantId};
use salvo::prelude::{Request, Response, handler};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use super::Gateway;
use super::follow::{Follower, StartPosition};
use super::render::{self, AnswerForm};

/// Serves chat requests.
pub(super) struct ChatHandler {
    pub(super) gateway: Arc<Gateway>,
}

/// A call that has its place, on its way to an answer.
struct Accepted {
    call: CallId,
    tenant: TenantId,
    model: String,
    form: AnswerForm,
    permit: OwnedSemaphorePermit,
}

#[handler]
impl ChatHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        self.gateway.metrics.requests.inc();
        match self.accept(request).await {
            Ok(accepted) => self.answer(accepted, response).await,
            Err(error) => render::error(&self.gateway, response, &error),
        }
    }
}

impl ChatHandler {
    async fn accept(&self, request: &mut Request) -> Result<Accepted, ApiError> {
        let tenant = self.gateway.authenticate(request)?;
        let permit = self.gateway.admit()?;
        let chat = self.read_body(request).await?;
        let mut call = validate(call_headers(request), &chat, &self.gateway.limits)?;
        let form = if chat.stream { AnswerForm::Stream } else { AnswerForm::Whole };
        let repeatable = call.key.is_none();
        name_call(&mut call, &self.gateway, repeatable);
        let submit = OwnerRequest::Submit { tenant: tenant.clone(), call, repeatable };
        let call = match self.gateway.core.request(submit).await {
            OwnerResponse::Begun { call } | OwnerResponse::Ended { call, .. } => call,
            OwnerResponse::Failed(error) => return Err(error),
            other => return Err(unexpected(&other)),
        };
        Ok(Accepted { call, tenant, model: chat.model, form, permit })
    }

    /// Reads the body within its size and time limits.
    async fn read_body(&self, request: &mut Request) -> Result<ChatRequest, ApiError> {
        let limits = &self.gateway.limits;
        check_declared_length(request, limits.body_bytes)?;
        let receive = Duration::from_millis(limits.receive_ms);
        let reading = request.payload_with_max_size(limits.body_bytes as usize);
        let body = timeout(receive, reading).await.map_err(|_| {
            let message = format!(
                "the body did not arrive within {} ms (limits.receive_ms)",
                limits.receive_ms
            );
            ApiError::new(ErrorKind::InvalidRequest, message).with_field("body")
        })?;
        let body = body.map_err(|error| {
            let message = format!(
                "reading the body: {error}; the limit is {} bytes (limits.body_bytes)",
                limits.body_bytes
            );
            ApiError::new(ErrorKind::InvalidRequest, message).with_field("body")
        })?;
        serde_json::from_slice(body).map_err(|error| {
            let message = format!("the body is not a chat request: {error}");
            ApiError::new(ErrorKind::InvalidRequest, message).with_field("body")
        })
    }

    async fn answer(&self, accepted: Accepted, response: &mut Response) {
        let gateway = &self.gateway;
        let follower = Follower::new(
            gateway.core.clone(),
            gateway.identity.clone(),
            accepted.tenant,
            accepted.call,
            StartPosition::default(),
        );
        let frame = render::frame(accepted.call, &accepted.model);
        render::name_call(gateway, response, accepted.call);
        match accepted.form {
            AnswerForm::Stream => {
                render::stream(gateway, response, frame, follower, accepted.permit).await;
            }
            AnswerForm::Whole => render::whole(gateway, response, frame, follower).await,
        }
    }
}

fn call_headers(request: &Request) -> CallHeaders<'_> {
    let text = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    CallHeaders {
        program: text(headers::PROGRAM),
        chain: text(headers::CHAIN),
        parent: text(headers::PARENT_CHAIN),
        number: text(headers::CALL_NUMBER),
        key: text(headers::IDEMPOTENCY_KEY),
    }
}

/// Gives a call without a key one of the gateway's own, so that the gateway may put the request
/// to a second owner after the first died: the call then has its place once.
fn name_call(call: &mut CallRequest, gateway: &Gateway, repeatable: bool) {
    if repeatable {
        call.key = Some(IdempotencyKey::new(gateway.core.fresh_key()));
    }
}

/// Refuses a body that says itself that it is too large, before reading any of it.
fn check_declared_length(request: &Request, limit: u64) -> Result<(), ApiError> {
    let header = request.headers().get("content-length");
    let declared = header.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    match declared {
        Some(length) if length > limit => {
            let message =
                format!("the body has {length} bytes; the limit is {limit} (limits.body_bytes)");
            Err(ApiError::new(ErrorKind::TooLarge, message).with_field("body"))
        }
        _ => Ok(()),
    }
}

/// An owner's response that does not answer the request put to it.
pub(super) fn unexpected(response: &OwnerResponse) -> ApiError {
    let name = match response {
        OwnerResponse::Begun { .. } => "begun",
        OwnerResponse::Ended { .. } => "ended",
        OwnerResponse::Program(_) => "program",
        OwnerResponse::Programs(_) => "programs",
        OwnerResponse::NotOwner { .. } => "not owner",
        OwnerResponse::Failed(error) => return error.clone(),
    };
    ApiError::new(ErrorKind::Internal, format!("the owner answered with {name:?}"))
}
