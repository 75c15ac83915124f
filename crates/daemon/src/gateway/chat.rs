//! `POST /v1/chat/completions`: submits a call to its owner and renders the answer.

use std::sync::Arc;

use dahlia_api::chat::ChatRequest;
use dahlia_api::validation::{CallHeaders, CallRequest, validate};
use dahlia_api::{ApiError, ErrorKind, headers};
use dahlia_node::request::{Request as OwnerRequest, Response as OwnerResponse};
use dahlia_types::{CallId, IdempotencyKey, TenantId};
use salvo::prelude::{Request, Response, handler};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::Gateway;
use super::body;
use super::follow::{AnswerEvent, AnswerFollower, StartPosition};
use super::render::{self, AnswerForm};

/// Serves chat requests.
pub(super) struct ChatHandler {
    pub(super) gateway: Arc<Gateway>,
}

/// A call that its owner accepted, with what rendering its answer needs.
struct AcceptedCall {
    call: CallId,
    tenant: TenantId,
    model: String,
    form: AnswerForm,
    permit: OwnedSemaphorePermit,
    arrived: Instant,
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
    async fn accept(&self, request: &mut Request) -> Result<AcceptedCall, ApiError> {
        let arrived = Instant::now();
        let tenant = self.gateway.authenticate(request)?;
        let permit = self.gateway.admit()?;
        let chat = self.read_chat(request).await?;
        let mut call = validate(call_headers(request), &chat, &self.gateway.limits)?;
        let form = if chat.stream { AnswerForm::Stream } else { AnswerForm::Whole };
        let repeatable = call.key.is_none();
        assign_key(&mut call, &self.gateway);
        let submit = OwnerRequest::Submit { tenant: tenant.clone(), call, repeatable };
        let call = match self.gateway.core.request(submit).await {
            OwnerResponse::Begun { call } | OwnerResponse::Ended { call, .. } => call,
            OwnerResponse::Failed(error) => return Err(error),
            other => return Err(unexpected(&other)),
        };
        Ok(AcceptedCall { call, tenant, model: chat.model, form, permit, arrived })
    }

    async fn read_chat(&self, request: &mut Request) -> Result<ChatRequest, ApiError> {
        let body = body::read(request, &self.gateway.limits).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the body is not a chat request: {error}");
            ApiError::new(ErrorKind::InvalidRequest, message).with_field("body")
        })
    }

    async fn answer(&self, accepted: AcceptedCall, response: &mut Response) {
        let gateway = &self.gateway;
        let mut follower =
            AnswerFollower::new(gateway, accepted.tenant, accepted.call, StartPosition::default());
        let frame = render::frame(accepted.call, &accepted.model);
        render::name_call(gateway, response, accepted.call);
        let first = follower.next().await;
        if let Some(AnswerEvent::Text { .. }) = &first {
            gateway.metrics.first_text.observe(accepted.arrived.elapsed().as_secs_f64());
        }
        match accepted.form {
            AnswerForm::Stream => {
                render::stream(gateway, response, frame, first, follower, accepted.permit);
            }
            AnswerForm::Whole => render::whole(gateway, response, frame, first, follower).await,
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

/// Assigns a generated key to a call that has neither a key nor a number, so that the gateway may send
/// the request to a second owner after the first died without submitting the call twice. A number
/// identifies the call already; with a generated key beside it, the caller's retry at another gateway
/// would look like another call.
fn assign_key(call: &mut CallRequest, gateway: &Gateway) {
    if call.key.is_none() && call.number.is_none() {
        call.key = Some(IdempotencyKey::new(gateway.core.generate_key()));
    }
}

/// The error for an owner's response that does not match the request.
pub(super) fn unexpected(response: &OwnerResponse) -> ApiError {
    let name = match response {
        OwnerResponse::Begun { .. } => "begun",
        OwnerResponse::Ended { .. } => "ended",
        OwnerResponse::Program(_) => "program",
        OwnerResponse::Programs(_) => "programs",
        OwnerResponse::Ledger(_) => "ledger",
        OwnerResponse::Limits(_) => "limits",
        OwnerResponse::NotOwner { .. } => "not owner",
        OwnerResponse::Failed(error) => return error.clone(),
    };
    ApiError::new(ErrorKind::Internal, format!("the owner answered with {name:?}"))
}
