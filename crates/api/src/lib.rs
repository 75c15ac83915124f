//! The interfaces to callers and operators: types, limits and typed errors.
//!
//! Callers use an OpenAI-compatible chat-completions protocol over HTTP; operators use the
//! RPCs of `proto/operators.proto`. This crate defines the messages and contains neither server.

pub mod chat;
pub mod error;
pub mod headers;
pub mod operators;
pub mod validation;

pub use error::{ApiError, ErrorKind};
pub use validation::{CallRequest, RequestLimits, ValidationError};
