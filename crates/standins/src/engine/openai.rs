//! The plain chat-completions endpoint (OpenAI API reference, "Chat"), without any program: what
//! a caller would use without the daemon, and the baseline for its added latency.

use std::io;
use std::sync::Arc;

use dahlia_adapters::engine::{EngineRefusal, GenerateEvent, GenerateRequest, StopReason};
use dahlia_types::{
    Attempt, AttemptId, CallId, ChainId, GroupId, Message, ModelId, ProgramId, TenantId, Term,
    Tokens, Usage,
};
use futures::StreamExt;
use futures::stream::BoxStream;
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::prompt::count_prompt;
use super::service::Service;
use super::streaming;
use crate::reply::{Refusal, Reply};

/// Path of the endpoint.
pub(super) const PATH: &str = "/v1/chat/completions";

/// The group of the programs that stand for direct calls; no replica group has this number.
const DIRECT_GROUP: GroupId = GroupId(u32::MAX);
const DIRECT_TENANT: &str = "direct";
const DEFAULT_PRIORITY: u64 = 100;
const DEFAULT_MAX_TOKENS: u64 = 4_096;
const END_OF_EVENTS: &str = "[DONE]";

/// A chat-completions request, as far as it is read.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct ChatRequest {
    model: ModelId,
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

impl ChatRequest {
    fn limit(&self) -> Tokens {
        Tokens(self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS))
    }
}

/// The error body that clients of this API expect.
#[derive(Debug, Clone, Serialize)]
pub(super) struct OpenAiError {
    #[serde(rename = "type")]
    kind: &'static str,
    message: String,
    #[serde(skip)]
    status: u16,
}

impl Refusal for OpenAiError {
    fn invalid(field: &str, detail: String) -> Self {
        let message = format!("`{field}` is not acceptable: {detail}");
        Self { kind: "invalid_request_error", message, status: 400 }
    }

    fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn reply(self) -> Reply {
        Reply::encoded(self.status(), &json!({ "error": self }))
    }
}

impl OpenAiError {
    fn from_refusal(refusal: &EngineRefusal) -> Self {
        let status = refusal.status().as_u16();
        let kind = if status < 500 { "invalid_request_error" } else { "server_error" };
        Self { kind, message: refusal.to_string(), status }
    }
}

/// Answers a chat-completions request.
pub(super) async fn complete(service: Arc<Service>, chat: ChatRequest) -> Reply {
    service.thawed().await;
    if chat.messages.is_empty() {
        return OpenAiError::invalid("messages", "must not be empty".to_owned()).reply();
    }
    if chat.limit() == Tokens::ZERO {
        return OpenAiError::invalid("max_tokens", "must be at least 1".to_owned()).reply();
    }
    let number = service.next_direct_call();
    let request = as_generate(&service, &chat, number);
    let subscription = match service.generate(&request) {
        Ok(subscription) => subscription,
        Err(refusal) => return OpenAiError::from_refusal(&refusal).reply(),
    };
    let events = streaming::events(service, subscription, 0);
    let id = format!("chatcmpl-{number}");
    if chat.stream {
        return Reply::events(chunks(id, chat.model, events));
    }
    whole(id, &chat.model, events).await
}

fn as_generate(service: &Service, chat: &ChatRequest, number: u64) -> GenerateRequest {
    let incarnation = service.with(|core, _| core.model.incarnation());
    let program = ProgramId { group: DIRECT_GROUP, number };
    let call = CallId { program, chain: ChainId(0), number: 1 };
    let id = AttemptId { call, attempt: 1 };
    GenerateRequest {
        attempt: Attempt { id, epoch: Term(1), engine_incarnation: incarnation },
        tenant: TenantId::new(DIRECT_TENANT),
        model: chat.model.clone(),
        messages: chat.messages.clone(),
        prompt_bound: count_prompt(&chat.messages),
        max_generated: chat.limit(),
        priority: DEFAULT_PRIORITY,
    }
}

async fn whole(
    id: String,
    model: &ModelId,
    mut events: BoxStream<'static, io::Result<GenerateEvent>>,
) -> Reply {
    let mut answer = String::new();
    while let Some(event) = events.next().await {
        match event {
            Ok(GenerateEvent::Token { text, .. }) => answer.push_str(&text),
            Ok(GenerateEvent::Finished { usage, stop }) => {
                return Reply::json(&completion(&id, model, &answer, usage, stop));
            }
            Ok(_) => {}
            Err(_) => return Reply::Lost,
        }
    }
    Reply::Lost
}

fn completion(id: &str, model: &ModelId, answer: &str, usage: Usage, stop: StopReason) -> Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "created": created(),
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": answer },
            "finish_reason": finish_reason(stop),
        }],
        "usage": usage_body(usage),
    })
}

fn chunks(
    id: String,
    model: ModelId,
    mut events: BoxStream<'static, io::Result<GenerateEvent>>,
) -> BoxStream<'static, io::Result<String>> {
    let stream = async_stream::stream! {
        let begin = json!({ "role": "assistant", "content": "" });
        yield Ok(chunk(&id, &model, begin, None, None));
        while let Some(event) = events.next().await {
            match event {
                Ok(GenerateEvent::Token { text, .. }) => {
                    yield Ok(chunk(&id, &model, json!({ "content": text }), None, None));
                }
                Ok(GenerateEvent::Finished { usage, stop }) => {
                    yield Ok(chunk(&id, &model, json!({}), Some(stop), Some(usage)));
                    yield Ok(END_OF_EVENTS.to_owned());
                }
                Ok(_) => {}
                Err(error) => yield Err(error),
            }
        }
    };
    stream.boxed()
}

fn chunk(
    id: &str,
    model: &ModelId,
    delta: Value,
    stop: Option<StopReason>,
    usage: Option<Usage>,
) -> String {
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "created": created(),
        "model": model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": stop.map(finish_reason) }],
        "usage": usage.map(usage_body),
    });
    chunk.to_string()
}

fn usage_body(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.generated,
        "total_tokens": usage.total(),
        "prompt_tokens_details": { "cached_tokens": usage.cached },
    })
}

fn finish_reason(stop: StopReason) -> &'static str {
    match stop {
        StopReason::End => "stop",
        StopReason::Length | StopReason::Cancelled => "length",
    }
}

fn created() -> u64 {
    crate::control::wall_clock().0 / 1_000_000
}
