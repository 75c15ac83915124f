//! Test helpers of this crate: changes of groups, a simulated disk and a simulated cluster.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod cluster;
pub mod disk;
pub mod machine;

use bytes::Bytes;
use dahlia_durable::DurableSettings;
use dahlia_replication::group::{
    DurableChange, DurableReplica, DurableUpdate, EntryData, HardState, LogEntry, Members, Snapshot,
};
use dahlia_types::{GroupId, LogIndex, Term};

/// Settings with small segments, so that a test has many of them.
pub fn settings() -> DurableSettings {
    DurableSettings { segment_bytes: 4 * 1024, compact_above_bytes: 8 * 1024 }
}

pub fn entry(index: u64, bytes: usize) -> LogEntry {
    let data = EntryData::Command(Bytes::from(vec![index as u8; bytes]));
    LogEntry { index: LogIndex(index), term: Term(1), data }
}

/// An image of a group, with a state of `bytes` bytes after entry `index`.
pub fn image(group: u32, index: u64, bytes: usize) -> DurableChange {
    let data = Bytes::from(vec![group as u8; bytes]);
    let term = Term(u64::from(index > 0));
    let base = Snapshot { index: LogIndex(index), term, members: Members::default(), data };
    let hard_state = HardState { term: Term(1), ..HardState::default() };
    let image = DurableReplica { group: GroupId(group), hard_state, base, entries: Vec::new() };
    DurableChange::Image(Box::new(image))
}

/// An update that appends entry `index` to a group.
pub fn update(group: u32, index: u64, bytes: usize) -> DurableChange {
    let update = DurableUpdate {
        entries_from: Some(LogIndex(index)),
        entries: vec![entry(index, bytes)],
        ..DurableUpdate::default()
    };
    DurableChange::Update { group: GroupId(group), update }
}

/// Changes of different sizes, derived from `seed`.
pub fn changes(seed: u64) -> Vec<DurableChange> {
    let bytes = (seed * 37 % 90) as usize;
    let appended = update(seed as u32, seed + 1, bytes);
    if seed.is_multiple_of(3) { vec![image(1, seed, bytes), appended] } else { vec![appended] }
}
