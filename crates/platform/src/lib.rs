//! Thin adapters to what the platform gives: engines, key-value service, weight store, tools, machine list.
