//! Membership, failure detection and replica groups as state machines without I/O.
//!
//! - [`group`]: one replica of one replica group, by Raft (Ongaro and Ousterhout 2014).
//! - [`maintenance`]: which member of a group its leader should add, promote or remove next.
//! - [`membership`]: failure detection by SWIM (Das, Gupta and Motivala 2002), and small facts.
//! - [`directory`]: the location of groups, and their initial layout.
//! - [`tolerance`]: how many voters a group needs to tolerate the declared losses.
//!
//! Every state machine takes the time and its random seed as arguments and returns actions for its
//! driver, so that daemons and virtual-time tests run the same code.
//! The time passed in must never go backwards. A daemon derives it from a monotonic clock.

pub mod directory;
pub mod group;
pub mod maintenance;
pub mod membership;
pub mod tolerance;
