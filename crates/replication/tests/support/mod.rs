//! Simulators in virtual time for replica groups and membership, with seeded faults and invariant checks.

#![allow(dead_code, reason = "each test binary uses its own part")]

pub mod checker;
pub mod cluster;
pub mod fault_injector;
pub mod membership_cluster;
pub mod network;
