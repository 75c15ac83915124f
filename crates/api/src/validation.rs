//! Checks a caller's request against the limits, before anything is kept of it.

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
    /// Bytes of a request's head: its target and the names and values of its headers.
    pub head_bytes: u64,
    /// Headers of a request.
    pub headers: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Messages in one request.
    pub messages: u64,
    /// Bytes of one message's text.
    pub message_bytes: u64,
    /// Most tokens a request may ask to generate.
    pub generated_tokens: u64,
    /// Tokens to generate when the request does not say.
    pub default_generated_tokens: u64,
    /// Bytes of an idempotency key.
    pub key_bytes: u64,
    /// Milliseconds in which a request's head and body must have arrived.
    pub receive_ms: u64,
    /// Requests in progress on one daemon.
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
    /// [`InvalidSetting`] naming the first one out of its bounds.
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

/// A request that is not taken, with the field and the limit it breaks.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub struct ValidationError {
    /// The field or header.
    pub field: String,
    /// What is wrong and what is allowed.
    pub problem: String,
    /// Whether a size is over its limit, rather than a form being wrong.
    pub oversize: bool,
}

impl From<ValidationError> for ApiError {
    fn from(error: ValidationError) -> Self {
        let kind = if error.oversize { ErrorKind::TooLarge } else { ErrorKind::InvalidRequest };
        ApiError::new(kind, error.to_string()).with_field(error.field)
    }
}

/// The headers that matter, as text; absent ones are `None`.
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
    /// The stated place in the chain.
    pub number: Option<u32>,
    /// The caller's key; a call with one runs at most once.
    pub key: Option<IdempotencyKey>,
    /// Messages as sent.
    pub messages: Vec<Message>,
    /// Most tokens to generate.
    pub max_generated: Tokens,
    /// Hash over what makes two requests the same call.
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
    let program = program_header(headers.program)?;
    let chain = ChainId(number_header(headers::CHAIN, headers.chain)?.unwrap_or(0));
    let parent = ChainId(number_header(headers::PARENT_CHAIN, headers.parent)?.unwrap_or(0));
    let number = number_header(headers::CALL_NUMBER, headers.number)?;
    if number == Some(0) {
        return Err(malformed(headers::CALL_NUMBER, "is 0; calls are numbered from 1"));
    }
    let key = key_header(headers.key, limits)?;
    let messages = messages(request, limits)?;
    let max_generated = generated(request, limits)?;
    let digest = digest(chain, &messages, max_generated);
    Ok(CallRequest { program, chain, parent, number, key, messages, max_generated, digest })
}

fn program_header(value: Option<&str>) -> Result<ProgramId, ValidationError> {
    let text = value.ok_or_else(|| malformed(headers::PROGRAM, "is missing"))?;
    text.parse().map_err(|error| malformed(headers::PROGRAM, format!("{error}")))
}

fn number_header(name: &str, value: Option<&str>) -> Result<Option<u32>, ValidationError> {
    let Some(text) = value else {
        return Ok(None);
    };
    let number = text.parse().map_err(|_| {
        let shown: String = text.chars().take(32).collect();
        malformed(name, format!("is {shown:?}; allowed: 0 to {}", u32::MAX))
    })?;
    Ok(Some(number))
}

fn key_header(
    value: Option<&str>,
    limits: &RequestLimits,
) -> Result<Option<IdempotencyKey>, ValidationError> {
    let Some(text) = value else {
        return Ok(None);
    };
    if text.is_empty() {
        return Err(malformed(headers::IDEMPOTENCY_KEY, "is empty"));
    }
    let length = text.len() as u64;
    if length > limits.key_bytes {
        return Err(malformed(
            headers::IDEMPOTENCY_KEY,
            format!("has {length} bytes; the limit is {} (limits.key_bytes)", limits.key_bytes),
        ));
    }
    Ok(Some(IdempotencyKey::new(text)))
}

fn messages(
    request: &ChatRequest,
    limits: &RequestLimits,
) -> Result<Vec<Message>, ValidationError> {
    let count = request.messages.len() as u64;
    if count == 0 {
        return Err(malformed("messages", "is empty; at least one message is needed"));
    }
    if count > limits.messages {
        let problem = format!("has {count}; the limit is {} (limits.messages)", limits.messages);
        return Err(oversize("messages", problem));
    }
    let mut taken = Vec::with_capacity(request.messages.len());
    for (index, message) in request.messages.iter().enumerate() {
        let role = parse_role(&message.role).ok_or_else(|| {
            let shown: String = message.role.chars().take(32).collect();
            let allowed = "system, developer, user, assistant, tool";
            malformed(
                format!("messages[{index}].role"),
                format!("is {shown:?}; allowed: {allowed}"),
            )
        })?;
        let content = text_of(&message.content, index)?;
        if content.len() as u64 > limits.message_bytes {
            let problem = format!(
                "has {} bytes; the limit is {} (limits.message_bytes)",
                content.len(),
                limits.message_bytes
            );
            return Err(oversize(format!("messages[{index}].content"), problem));
        }
        taken.push(Message { role, content });
    }
    Ok(taken)
}

fn text_of(content: &ChatContent, index: usize) -> Result<String, ValidationError> {
    match content {
        ChatContent::Text(text) => Ok(text.clone()),
        ChatContent::Null(_) => Ok(String::new()),
        ChatContent::Parts(parts) => {
            if let Some(part) = parts.iter().find(|part| part.kind != "text") {
                let shown: String = part.kind.chars().take(32).collect();
                let problem = format!("has a part of type {shown:?}; allowed: text");
                return Err(malformed(format!("messages[{index}].content"), problem));
            }
            Ok(parts.iter().map(|part| part.text.as_str()).collect())
        }
    }
}

fn generated(request: &ChatRequest, limits: &RequestLimits) -> Result<Tokens, ValidationError> {
    let (field, asked) = match (request.max_completion_tokens, request.max_tokens) {
        (Some(tokens), _) => ("max_completion_tokens", tokens),
        (None, Some(tokens)) => ("max_tokens", tokens),
        (None, None) => return Ok(Tokens(limits.default_generated_tokens)),
    };
    if asked == 0 || asked > limits.generated_tokens {
        let problem = format!(
            "is {asked}; allowed: 1 to {} (limits.generated_tokens)",
            limits.generated_tokens
        );
        return Err(malformed(field, problem));
    }
    Ok(Tokens(asked))
}

/// Hash over chain, messages and cap: the first eight bytes of a SHA-256, so that daemons of
/// different builds agree while they are being replaced.
fn digest(chain: ChainId, messages: &[Message], max_generated: Tokens) -> u64 {
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

fn malformed(field: impl Into<String>, problem: impl Into<String>) -> ValidationError {
    ValidationError { field: field.into(), problem: problem.into(), oversize: false }
}

fn oversize(field: impl Into<String>, problem: impl Into<String>) -> ValidationError {
    ValidationError { field: field.into(), problem: problem.into(), oversize: true }
}
