//! The one map from why the relay ends a request itself to status and headers.
//!
//! 503, 429, 408 and 402 promise that the request has not run and never will; 502 and 504 promise
//! nothing. A refusal is answered at once, never held back.

use bytes::Bytes;
use dahlia_admission::QueueRejection;
use dahlia_types::Duration;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use snafu::Snafu;

use crate::body::AnswerBody;
use crate::counters::{Counters, count};

/// Why the relay ends a request without an answer of a server.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub(crate) enum Refusal {
    /// Nothing was ever configured, so nothing can be said about routes.
    #[snafu(display("no routes are known yet"))]
    NoConfiguration { retry_after: Duration },
    #[snafu(display("no route takes this host and path"))]
    NoRoute,
    #[snafu(display("no tenant has this key"))]
    UnknownKey { scheme: &'static str },
    #[snafu(display("the tenant's limit is reached"))]
    LimitReached { retry_after: Duration },
    #[snafu(display("the request is not proper: {what}"))]
    NotProper { what: &'static str },
    #[snafu(display("the head is too large"))]
    HeadTooLarge,
    #[snafu(display("the body is too large"))]
    BodyTooLarge,
    #[snafu(display("the request did not arrive in time"))]
    TooSlow,
    #[snafu(display("no server takes the request now"))]
    Busy { retry_after: Duration },
    /// It did not get its turn at a server in time.
    #[snafu(display("{why}"))]
    NoPlace { why: QueueRejection, retry_after: Duration },
    /// What is held for callers and servers leaves no room for it.
    #[snafu(display("this gateway has no memory for the request; ask again elsewhere"))]
    MemoryFull { retry_after: Duration },
    /// The relay ends soon: what began now might be cut.
    #[snafu(display("this gateway is stopping; ask again elsewhere"))]
    Stopping { retry_after: Duration },
    #[snafu(display("the ledger did not answer"))]
    LedgerUnavailable { retry_after: Duration },
    #[snafu(display("the program's budget is spent"))]
    BudgetSpent,
    #[snafu(display("there is no such turn"))]
    NoSuchTurn,
    /// A server may have run it, and what it answered is lost.
    #[snafu(display("the answer was lost"))]
    AnswerLost,
    #[snafu(display("the deadline passed"))]
    DeadlinePassed,
}

impl Refusal {
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::NoConfiguration { .. }
            | Self::Busy { .. }
            | Self::NoPlace { .. }
            | Self::MemoryFull { .. }
            | Self::Stopping { .. }
            | Self::LedgerUnavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute | Self::NoSuchTurn => StatusCode::NOT_FOUND,
            Self::UnknownKey { .. } => StatusCode::UNAUTHORIZED,
            Self::LimitReached { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NotProper { .. } => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Its name in metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::NoConfiguration { .. } => "no-configuration",
            Self::NoRoute => "no-route",
            Self::UnknownKey { .. } => "unknown-key",
            Self::LimitReached { .. } => "limit-reached",
            Self::NotProper { .. } => "not-proper",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::TooSlow => "too-slow",
            Self::Busy { .. } => "busy",
            Self::NoPlace { why, .. } => why.name(),
            Self::MemoryFull { .. } => "memory-full",
            Self::Stopping { .. } => "stopping",
            Self::LedgerUnavailable { .. } => "ledger-unavailable",
            Self::BudgetSpent => "budget-spent",
            Self::NoSuchTurn => "no-such-turn",
            Self::AnswerLost => "answer-lost",
            Self::DeadlinePassed => "deadline-passed",
        }
    }

    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoConfiguration { retry_after }
            | Self::Busy { retry_after }
            | Self::LimitReached { retry_after }
            | Self::NoPlace { retry_after, .. }
            | Self::MemoryFull { retry_after }
            | Self::Stopping { retry_after }
            | Self::LedgerUnavailable { retry_after } => Some(*retry_after),
            _ => None,
        }
    }

    /// Whether bytes of the request may still be on the way, so that the connection is lost.
    fn leaves_request_unread(&self) -> bool {
        matches!(self, Self::BodyTooLarge | Self::TooSlow | Self::MemoryFull { .. })
    }

    pub(crate) fn into_response(self, counters: &Counters) -> Response<AnswerBody> {
        self.count(counters);
        let reason = Bytes::from(format!("{self}\n"));
        let mut response = Response::new(AnswerBody::whole(reason));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(wait) = self.retry_after() {
            headers.insert(RETRY_AFTER, seconds(wait));
        }
        if let Self::UnknownKey { scheme } = self {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(scheme));
        }
        if self.leaves_request_unread() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn count(&self, counters: &Counters) {
        let counter = match self.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => &counters.refused,
            StatusCode::BAD_GATEWAY => &counters.failed,
            StatusCode::GATEWAY_TIMEOUT => &counters.timed_out,
            _ => &counters.rejected,
        };
        count(counter);
    }
}

/// Seconds with their fraction, as `Retry-After` has them here.
fn seconds(wait: Duration) -> HeaderValue {
    let text = format!("{:.3}", wait.as_secs_f64());
    HeaderValue::from_str(&text).expect("digits and a point make a header value")
}
