//! Names of the HTTP headers that callers and daemons exchange.

/// The program that a call belongs to. Required.
pub const PROGRAM: &str = "x-program-id";
/// The chain of the call; 0 or absent is the program's main chain.
pub const CHAIN: &str = "x-chain";
/// The chain that a new chain branches off from; 0 when absent.
pub const PARENT_CHAIN: &str = "x-parent-chain";
/// The call's place in its chain, from 1. Also returned with each answer.
pub const CALL_NUMBER: &str = "x-call-number";
/// The caller's key for a call that must not run more than once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The error's name, see [`crate::ErrorKind`].
pub const ERROR: &str = "x-error";
/// `true` or `false`: whether the same request may be retried. OpenAI's clients follow it.
pub const SHOULD_RETRY: &str = "x-should-retry";
/// The daemon that served the request.
pub const SERVED_BY: &str = "x-served-by";
/// The RPC metadata key that carries the error's name.
pub const RPC_ERROR: &str = "dahlialadder-error";
/// The RPC metadata key that carries the delay before a retry, in milliseconds.
pub const RPC_RETRY_AFTER: &str = "retry-after-ms";
