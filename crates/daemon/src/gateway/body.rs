//! Reads a request's body within the limits on its size and its duration.

use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dahlia_api::{ApiError, ErrorKind, RequestLimits};
use futures::StreamExt;
use http_body_util::BodyExt;
use salvo::http::ReqBody;
use salvo::prelude::Request;
use tokio::time::{Instant, timeout_at};

/// Most bytes over the limit that are read and discarded. Closing a connection with unread bytes
/// resets it, and the caller may lose the refusal (RFC 9112, section 9.6).
const DISCARDED_BYTES: u64 = 1 << 20;

/// Reads the whole body.
///
/// # Errors
/// [`ErrorKind::TooLarge`] over `limits.body_bytes`, whether the length is declared or not;
/// [`ErrorKind::InvalidRequest`] when the body ends early or takes longer than `limits.receive_ms`.
pub(super) async fn read(request: &mut Request, limits: &RequestLimits) -> Result<Bytes, ApiError> {
    let deadline = Instant::now() + Duration::from_millis(limits.receive_ms);
    let declared = declared_length(request);
    let body = request.take_body();
    match timeout_at(deadline, read_or_discard(body, declared, limits.body_bytes)).await {
        Ok(read) => read,
        Err(_) if declared.is_some_and(|length| length > limits.body_bytes) => {
            Err(too_large(declared, limits.body_bytes))
        }
        Err(_) => Err(too_slow(limits.receive_ms)),
    }
}

async fn read_or_discard(
    body: ReqBody,
    declared: Option<u64>,
    limit: u64,
) -> Result<Bytes, ApiError> {
    let discard_limit = limit.saturating_add(DISCARDED_BYTES);
    if declared.is_some_and(|length| length > discard_limit) {
        return Err(too_large(declared, limit));
    }
    let mut pieces = pin!(body.into_data_stream());
    let mut received = BytesMut::new();
    let mut length = 0;
    while let Some(piece) = pieces.next().await {
        let piece = piece.map_err(|error| unreadable(&error))?;
        length += piece.len() as u64;
        if length > discard_limit {
            break;
        }
        if length <= limit {
            received.extend_from_slice(&piece);
        }
    }
    if length > limit {
        return Err(too_large(declared, limit));
    }
    Ok(received.freeze())
}

fn declared_length(request: &Request) -> Option<u64> {
    request.headers().get("content-length")?.to_str().ok()?.parse().ok()
}

fn too_large(declared: Option<u64>, limit: u64) -> ApiError {
    let message = match declared {
        Some(length) => {
            format!("the body has {length} bytes; the limit is {limit} (limits.body_bytes)")
        }
        None => format!("the body is over the limit of {limit} bytes (limits.body_bytes)"),
    };
    ApiError::new(ErrorKind::TooLarge, message).with_field("body")
}

fn too_slow(receive_ms: u64) -> ApiError {
    let message = format!("the body did not arrive within {receive_ms} ms (limits.receive_ms)");
    ApiError::new(ErrorKind::InvalidRequest, message).with_field("body")
}

fn unreadable(error: &std::io::Error) -> ApiError {
    let message = format!("the body could not be read to its end: {error}");
    ApiError::new(ErrorKind::InvalidRequest, message).with_field("body")
}
