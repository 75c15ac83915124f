//! Checks a caller's request against the limits before any of it is stored.

use dahlia_types::{
    ChainId, IdempotencyKey, InvalidSetting, Message, ProgramId, Tokens, check_range,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::chat::{ChatContent, ChatRequest, parse_role};
use crate::{ApiError, ErrorKind, headers};

/// Limits on one request. Each is a setting under `limits`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Maximum size of a request's head in bytes: its target and the names and values of its headers.
    pub head_bytes: u64,
    /// Maximum number of headers of a request.
    pub headers: u64,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u64,
    /// Maximum number of messages in one request.
    pub messages: u64,
    /// Maximum size of one message's text in bytes.
    pub message_bytes: u64,
    /// Maximum number of tokens that a request may ask to generate.
    pub generated_tokens: u64,
    /// Maximum number of tokens to generate when the request has no limit of its own.
    pub default_generated_tokens: u64,
    /// Maximum length of an idempotency key in bytes.
    pub key_bytes: u64,
    /// Timeout for receiving a request's head and body, in milliseconds.
    pub receive_ms: u64,
    /// Maximum number of requests in progress on one daemon.
    pub concurrent_requests: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            headers: 100,
            body_bytes: 4 * 1024 * 1024,
            messages: 1_024,
            message_bytes: 2 * 1024 * 1024,
            generated_tokens: 32_768,
            default_generated_tokens: 1_024,
            key_bytes: 128,
            receive_ms: 10_000,
            concurrent_requests: 4_096,
        }
    }
}

impl RequestLimits {
    /// Checks each limit.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first limit out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("limits.head_bytes", self.head_bytes, 8_192, 1 << 20)?;
        check_range("limits.headers", self.headers, 10, 1_000)?;
        check_range("limits.body_bytes", self.body_bytes, 1_024, 1 << 30)?;
        check_range("limits.messages", self.messages, 1, 100_000)?;
        check_range("limits.message_bytes", self.message_bytes, 1, 1 << 30)?;
        check_range("limits.generated_tokens", self.generated_tokens, 1, 1 << 24)?;
        check_range(
            "limits.default_generated_tokens",
            self.default_generated_tokens,
            1,
            self.generated_tokens,
        )?;
        check_range("limits.key_bytes", self.key_bytes, 1, 4_096)?;
        check_range("limits.receive_ms", self.receive_ms, 10, 600_000)?;
        check_range("limits.concurrent_requests", self.concurrent_requests, 1, 1_000_000)
    }
}

/// Error of a request that fails validation, with the field and the limit it exceeds.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub struct ValidationError {
    /// The invalid field or header.
    pub field: String,
    /// The problem and the allowed values.
    pub problem: String,
    /// Whether a size exceeds its limit; otherwise the form is wrong.
    pub oversize: bool,
}

impl From<ValidationError> for ApiError {
    fn from(error: ValidationError) -> Self {
        let kind = if error.oversize { ErrorKind::TooLarge } else { ErrorKind::InvalidRequest };
        ApiError::new(kind, error.to_string()).with_field(error.field)
    }
}

/// The request headers of a call, as text; absent ones are `None`.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallHeaders<'a> {
    /// `X-Program-Id`.
    pub program: Option<&'a str>,
    /// `X-Chain`.
    pub chain: Option<&'a str>,
    /// `X-Parent-Chain`.
    pub parent: Option<&'a str>,
    /// `X-Call-Number`.
    pub number: Option<&'a str>,
    /// `Idempotency-Key`.
    pub key: Option<&'a str>,
}

/// A request that passed validation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The program.
    pub program: ProgramId,
    /// The chain.
    pub chain: ChainId,
    /// The chain it branches off from, if the call opens it.
    pub parent: ChainId,
    /// The call's number in its chain, if the request has one.
    pub number: Option<u32>,
    /// The caller's key; a call with one runs at most once.
    pub key: Option<IdempotencyKey>,
    /// The messages as sent by the caller.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate.
    pub max_generated: Tokens,
    /// Hash of chain, messages and token limit. Requests with equal digests are the same call.
    pub digest: u64,
}

/// Validates a chat request.
///
/// # Errors
/// [`ValidationError`] naming the first field that is missing, malformed or over its limit.
pub fn validate(
    headers: CallHeaders<'_>,
    request: &ChatRequest,
    limits: &RequestLimits,
) -> Result<CallRequest, ValidationError> {
    let program = parse_program(headers.program)?;
    let chain = ChainId(parse_number(headers::CHAIN, headers.chain)?.unwrap_or(0));
    let parent = ChainId(parse_number(headers::PARENT_CHAIN, headers.parent)?.unwrap_or(0));
    let number = parse_number(headers::CALL_NUMBER, headers.number)?;
    if number == Some(0) {
        return Err(malformed_error(headers::CALL_NUMBER, "is 0; calls are numbered from 1"));
    }
    let key = parse_key(headers.key, limits)?;
    let messages = parse_messages(request, limits)?;
    let max_generated = parse_max_generated(request, limits)?;
    let digest = request_digest(chain, &messages, max_generated);
    Ok(CallRequest { program, chain, parent, number, key, messages, max_generated, digest })
}

fn parse_program(value: Option<&str>) -> Result<ProgramId, ValidationError> {
    let text = value.ok_or_else(|| malformed_error(headers::PROGRAM, "is missing"))?;
    text.parse().map_err(|error| malformed_error(headers::PROGRAM, format!("{error}")))
}

fn parse_number(name: &str, value: Option<&str>) -> Result<Option<u32>, ValidationError> {
    let Some(text) = value else {
        return Ok(None);
    };
    let number = text.parse().map_err(|_| {
        let shown: String = text.chars().take(32).collect();
        malformed_error(name, format!("is {shown:?}; allowed: 0 to {}", u32::MAX))
    })?;
    Ok(Some(number))
}

fn parse_key(
    value: Option<&str>,
    limits: &RequestLimits,
) -> Result<Option<IdempotencyKey>, ValidationError> {
    let Some(text) = value else {
        return Ok(None);
    };
    if text.is_empty() {
        return Err(malformed_error(headers::IDEMPOTENCY_KEY, "is empty"));
    }
    let length = text.len() as u64;
    if length > limits.key_bytes {
        return Err(malformed_error(
            headers::IDEMPOTENCY_KEY,
            format!("has {length} bytes; the limit is {} (limits.key_bytes)", limits.key_bytes),
        ));
    }
    Ok(Some(IdempotencyKey::new(text)))
}

fn parse_messages(
    request: &ChatRequest,
    limits: &RequestLimits,
) -> Result<Vec<Message>, ValidationError> {
    let count = request.messages.len() as u64;
    if count == 0 {
        return Err(malformed_error("messages", "is empty; at least one message is needed"));
    }
    if count > limits.messages {
        let problem = format!("has {count}; the limit is {} (limits.messages)", limits.messages);
        return Err(oversize_error("messages", problem));
    }
    let mut messages = Vec::with_capacity(request.messages.len());
    for (index, message) in request.messages.iter().enumerate() {
        let role = parse_role(&message.role).ok_or_else(|| {
            let shown: String = message.role.chars().take(32).collect();
            let allowed = "system, developer, user, assistant, tool";
            malformed_error(
                format!("messages[{index}].role"),
                format!("is {shown:?}; allowed: {allowed}"),
            )
        })?;
        let content = content_text(&message.content, index)?;
        if content.len() as u64 > limits.message_bytes {
            let problem = format!(
                "has {} bytes; the limit is {} (limits.message_bytes)",
                content.len(),
                limits.message_bytes
            );
            return Err(oversize_error(format!("messages[{index}].content"), problem));
        }
        messages.push(Message { role, content });
    }
    Ok(messages)
}

fn content_text(content: &ChatContent, index: usize) -> Result<String, ValidationError> {
    match content {
        ChatContent::Text(text) => Ok(text.clone()),
        ChatContent::Null(_) => Ok(String::new()),
        ChatContent::Parts(parts) => {
            if let Some(part) = parts.iter().find(|part| part.kind != "text") {
                let shown: String = part.kind.chars().take(32).collect();
                let problem = format!("has a part of type {shown:?}; allowed: text");
                return Err(malformed_error(format!("messages[{index}].content"), problem));
            }
            Ok(parts.iter().map(|part| part.text.as_str()).collect())
        }
    }
}

fn parse_max_generated(
    request: &ChatRequest,
    limits: &RequestLimits,
) -> Result<Tokens, ValidationError> {
    let (field, requested) = match (request.max_completion_tokens, request.max_tokens) {
        (Some(tokens), _) => ("max_completion_tokens", tokens),
        (None, Some(tokens)) => ("max_tokens", tokens),
        (None, None) => return Ok(Tokens(limits.default_generated_tokens)),
    };
    if requested == 0 || requested > limits.generated_tokens {
        let problem = format!(
            "is {requested}; allowed: 1 to {} (limits.generated_tokens)",
            limits.generated_tokens
        );
        return Err(malformed_error(field, problem));
    }
    Ok(Tokens(requested))
}

/// Hashes chain, messages and token limit. The digest is the first eight bytes of a SHA-256, so
/// that daemons of different builds agree during a rolling upgrade.
fn request_digest(chain: ChainId, messages: &[Message], max_generated: Tokens) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(chain.0.to_le_bytes());
    hasher.update(max_generated.0.to_le_bytes());
    for message in messages {
        hasher.update([message.role as u8]);
        hasher.update((message.content.len() as u64).to_le_bytes());
        hasher.update(message.content.as_bytes());
    }
    let hash = hasher.finalize();
    let first = hash.first_chunk::<8>().expect("SHA-256 has 32 bytes");
    u64::from_le_bytes(*first)
}

fn malformed_error(field: impl Into<String>, problem: impl Into<String>) -> ValidationError {
    ValidationError { field: field.into(), problem: problem.into(), oversize: false }
}

fn oversize_error(field: impl Into<String>, problem: impl Into<String>) -> ValidationError {
    ValidationError { field: field.into(), problem: problem.into(), oversize: true }
}
