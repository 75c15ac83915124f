//! Answers and errors as HTTP.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use dahlia_api::chat::AnswerMetadata;
use dahlia_api::{ApiError, headers};
use dahlia_types::{CallId, Message, Role};
use futures::stream;
use salvo::http::{HeaderName, HeaderValue, StatusCode};
use salvo::prelude::{Json, Response};
use serde::Serialize;
use tokio::sync::OwnedSemaphorePermit;

use super::Gateway;
use super::follow::{AnswerEvent, AnswerFollower};

/// How a caller wants its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerForm {
    /// Server-sent events.
    Stream,
    /// One JSON body.
    Whole,
}

/// The fields that every part of an answer repeats.
pub(super) fn frame(call: CallId, model: &str) -> AnswerMetadata {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    AnswerMetadata { id: call.to_string(), model: model.to_owned(), created: since_epoch.as_secs() }
}

/// Sets the headers that identify the call and the serving daemon.
pub(super) fn name_call(gateway: &Gateway, response: &mut Response, call: CallId) {
    set(response, headers::PROGRAM, &call.program.to_string());
    set(response, headers::CHAIN, &call.chain.0.to_string());
    set(response, headers::CALL_NUMBER, &call.number.to_string());
    set(response, headers::SERVED_BY, &gateway.identity.daemon.to_string());
}

/// Writes an error: status, name, whether and when to retry, and the body.
pub(super) fn error(gateway: &Gateway, response: &mut Response, error: &ApiError) {
    gateway.metrics.count_error(error.kind);
    let status = StatusCode::from_u16(error.kind.http_status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    set(response, headers::ERROR, error.kind.name());
    set(
        response,
        headers::SHOULD_RETRY,
        if error.retry_after.is_some() { "true" } else { "false" },
    );
    if let Some(seconds) = error.retry_after_seconds() {
        set(response, "retry-after", &seconds.to_string());
    }
    response.render(Json(error.body()));
}

/// Writes the whole answer as one body.
pub(super) async fn whole(
    gateway: &Gateway,
    response: &mut Response,
    frame: AnswerMetadata,
    first: Option<AnswerEvent>,
    mut follower: AnswerFollower,
) {
    let mut content = String::new();
    let mut next = first;
    while let Some(event) = next {
        match event {
            AnswerEvent::Text { text, .. } => content.push_str(&text),
            AnswerEvent::End { usage } => {
                let answer = Message { role: Role::Assistant, content };
                response.render(Json(frame.completion(&answer, usage)));
                return;
            }
            AnswerEvent::Failed(failure) => {
                error(gateway, response, &failure);
                return;
            }
        }
        next = follower.next().await;
    }
}

/// Streams the answer as server-sent events. A call that fails before its first piece gets the
/// error's own status instead.
pub(super) fn stream(
    gateway: &Arc<Gateway>,
    response: &mut Response,
    frame: AnswerMetadata,
    first: Option<AnswerEvent>,
    follower: AnswerFollower,
    permit: OwnedSemaphorePermit,
) {
    if let Some(AnswerEvent::Failed(failure)) = &first {
        error(gateway, response, failure);
        return;
    }
    set(response, "content-type", "text/event-stream");
    set(response, "cache-control", "no-cache");
    let state =
        StreamState { gateway: gateway.clone(), frame, follower, first, sent_pieces: 0, permit };
    response.stream(stream::unfold(state, |mut state| async move {
        let event = match state.first.take() {
            Some(event) => Some(event),
            None => state.follower.next().await,
        };
        let text = state.event(event?);
        Some((Ok::<_, Infallible>(text), state))
    }));
}

struct StreamState {
    gateway: Arc<Gateway>,
    frame: AnswerMetadata,
    follower: AnswerFollower,
    first: Option<AnswerEvent>,
    sent_pieces: u64,
    /// Holds the request's permit until the last byte.
    #[allow(dead_code)]
    permit: OwnedSemaphorePermit,
}

impl StreamState {
    fn event(&mut self, event: AnswerEvent) -> String {
        match event {
            AnswerEvent::Text { attempt, offset, text } => {
                let chunk = self.frame.text_chunk(&text, self.sent_pieces == 0);
                self.sent_pieces += 1;
                let end = offset + text.len() as u64;
                let call = self.frame.id.split_once('/').map_or("", |(_, rest)| rest);
                format!("id: {call}/{attempt}/{end}\n{}", data(&chunk))
            }
            AnswerEvent::End { usage } => {
                format!("{}data: [DONE]\n\n", data(&self.frame.final_chunk(usage)))
            }
            AnswerEvent::Failed(failure) => {
                self.gateway.metrics.count_error(failure.kind);
                format!("event: error\n{}", data(&failure.body()))
            }
        }
    }
}

fn data<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string(value).expect("answers have no maps with odd keys");
    format!("data: {text}\n\n")
}

fn set(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
