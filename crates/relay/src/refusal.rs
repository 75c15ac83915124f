//! Maps each reason why the relay itself ends a request to a status and headers.
//!
//! Statuses 503, 429, 408 and 402 guarantee that the request has not run and never will; 502 and
//! 504 guarantee nothing. Refusals are sent at once, without a delay.

use bytes::Bytes;
use dahlia_admission::QueueRejection;
use dahlia_types::Duration;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use snafu::Snafu;

use crate::body::AnswerBody;
use crate::counters::{Counters, count};

/// Why the relay ends a request without a server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub(crate) enum Refusal {
    /// No configuration was ever received, so the routes are unknown.
    #[snafu(display("no routes are known yet"))]
    NoConfiguration { retry_after: Duration },
    #[snafu(display("no route takes this host and path"))]
    NoRoute,
    #[snafu(display("no tenant has this key"))]
    UnknownKey { scheme: &'static str },
    #[snafu(display("the tenant's limit is reached"))]
    LimitReached { retry_after: Duration },
    #[snafu(display("the request is not proper: {reason}"))]
    NotProper { reason: &'static str },
    #[snafu(display("the head is too large"))]
    HeadTooLarge,
    #[snafu(display("the body is too large"))]
    BodyTooLarge,
    #[snafu(display("the request did not arrive in time"))]
    TooSlow,
    #[snafu(display("no server takes the request now"))]
    Busy { retry_after: Duration },
    /// The queue rejected the request: it got no server in time.
    #[snafu(display("{reason}"))]
    Rejected { reason: QueueRejection, retry_after: Duration },
    /// The memory limits leave no room for the request.
    #[snafu(display("this gateway has no memory for the request; ask again elsewhere"))]
    MemoryFull { retry_after: Duration },
    /// The relay stops soon, and a request that starts now might be cut off.
    #[snafu(display("this gateway is stopping; ask again elsewhere"))]
    Stopping { retry_after: Duration },
    #[snafu(display("the ledger did not answer"))]
    LedgerUnavailable { retry_after: Duration },
    /// Nobody knows at which software version the stream began that the caller takes up.
    #[snafu(display("the software version that began the stream is not known"))]
    UnknownOrigin { retry_after: Duration },
    /// As many servers ended under this request, in earlier attempts, as may end.
    #[snafu(display("too many servers ended under this request"))]
    EndsServers { retry_after: Duration },
    #[snafu(display("the program's budget is spent"))]
    BudgetSpent,
    #[snafu(display("there is no such turn"))]
    NoSuchTurn,
    /// A server may have run the request, and its answer is lost.
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
            | Self::Rejected { .. }
            | Self::MemoryFull { .. }
            | Self::Stopping { .. }
            | Self::LedgerUnavailable { .. }
            | Self::UnknownOrigin { .. }
            | Self::EndsServers { .. } => StatusCode::SERVICE_UNAVAILABLE,
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

    /// The refusal's name in metrics.
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
            Self::Rejected { reason, .. } => reason.name(),
            Self::MemoryFull { .. } => "memory-full",
            Self::Stopping { .. } => "stopping",
            Self::LedgerUnavailable { .. } => "ledger-unavailable",
            Self::UnknownOrigin { .. } => "unknown-origin",
            Self::EndsServers { .. } => "ends-servers",
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
            | Self::Rejected { retry_after, .. }
            | Self::MemoryFull { retry_after }
            | Self::Stopping { retry_after }
            | Self::LedgerUnavailable { retry_after }
            | Self::UnknownOrigin { retry_after }
            | Self::EndsServers { retry_after } => Some(*retry_after),
            _ => None,
        }
    }

    /// Whether bytes of the request may still arrive, so that the connection cannot be reused.
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
            headers.insert(RETRY_AFTER, format_seconds(wait));
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

/// Formats seconds with a fraction, as `Retry-After` has them here.
fn format_seconds(wait: Duration) -> HeaderValue {
    let text = format!("{:.3}", wait.as_secs_f64());
    HeaderValue::from_str(&text).expect("digits and a point make a header value")
}
