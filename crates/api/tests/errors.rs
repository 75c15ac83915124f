//! Checks the statuses of every error kind, and whether and when it can be retried.

use std::time::Duration;

use dahlia_api::{ApiError, ErrorKind};
use serde_json::{Value, json};

const KINDS: [ErrorKind; 16] = [
    ErrorKind::InvalidRequest,
    ErrorKind::Unauthorized,
    ErrorKind::NotFound,
    ErrorKind::ProgramClosed,
    ErrorKind::OutOfOrder,
    ErrorKind::KeyReused,
    ErrorKind::BudgetExhausted,
    ErrorKind::TooLarge,
    ErrorKind::LimitReached,
    ErrorKind::Overloaded,
    ErrorKind::NotRun,
    ErrorKind::Unknown,
    ErrorKind::AnswerReplaced,
    ErrorKind::ConfigurationConflict,
    ErrorKind::Unavailable,
    ErrorKind::Internal,
];

#[test]
fn every_kind_has_its_statuses() {
    let row = |kind: &ErrorKind| -> Value {
        let error = ApiError::new(*kind, "why");
        json!({
            "name": kind.name(),
            "http": kind.http_status(),
            "rpc": format!("{:?}", kind.rpc_code()),
            "should_retry": kind.should_retry(),
            "retry_after_seconds": error.retry_after_seconds(),
        })
    };
    let rows: Vec<String> = KINDS.iter().map(|kind| row(kind).to_string()).collect();
    insta::assert_snapshot!(rows.join("\n"));
}

#[test]
fn every_retryable_kind_has_a_retry_delay() {
    for kind in KINDS {
        let retry_after_seconds = ApiError::new(kind, "why").retry_after_seconds();
        assert_eq!(retry_after_seconds.is_some(), kind.should_retry(), "{}", kind.name());
    }
}

#[test]
fn body_has_the_shape_that_clients_read() {
    let error = ApiError::new(ErrorKind::Overloaded, "busy")
        .with_field("messages")
        .with_retry_after(Duration::from_millis(1_200));
    assert_eq!(error.retry_after_seconds(), Some(2));
    insta::assert_json_snapshot!(error.body());
}
