//! Code generated from `proto/operators.proto` by `tools/codegen`. Not edited by hand.

#![allow(missing_docs, clippy::all, clippy::pedantic)]

include!("generated/dahlialadder.operators.v1.rs");
