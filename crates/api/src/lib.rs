//! The interfaces towards callers and operators: types, limits and typed errors.
//!
//! Callers speak an OpenAI-compatible chat-completions protocol over HTTP; operators speak the
//! RPC of `proto/operators.proto`. Neither server lives here: this crate only fixes what is said.

pub mod chat;
pub mod error;
pub mod headers;
pub mod operators;
pub mod validation;

pub use error::{ApiError, ErrorKind};
pub use validation::{CallRequest, RequestLimits, ValidationError};
