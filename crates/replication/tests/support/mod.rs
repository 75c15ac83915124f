//! A small simulator in virtual time for replica groups, with seeded faults and checks.

#![allow(dead_code, reason = "each test binary uses its own part")]

pub mod checker;
pub mod cluster;
pub mod nemesis;
pub mod network;
