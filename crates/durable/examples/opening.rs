//! Measures how long a log takes to open after different amounts of changes. The changes have
//! 60 bytes, like those of ledgers of programs without kept turns, and go to eight groups in turn.
//!
//! `cargo run --release -p dahlia-durable --example opening -- FOLDER`

use std::path::{Path, PathBuf};
use std::time::Instant;

use bytes::Bytes;
use dahlia_durable::{DurableLog, DurableSettings, FolderDisk, OpenedLog};
use dahlia_replication::group::{
    DurableChange, DurableReplica, DurableUpdate, EntryData, HardState, LogEntry, Members, Snapshot,
};
use dahlia_types::{GroupId, Incarnation, LogIndex, Term};

/// Bytes of changes written before the log is opened again.
const CHANGE_BYTES: [u64; 3] = [1_000_000, 10_000_000, 100_000_000];
const GROUPS: u32 = 8;
const PAYLOAD_BYTES: usize = 60;
/// Approximate bytes that one change takes in the log.
const BYTES_PER_CHANGE: u64 = 100;
/// Bytes of the state of a group with some hundred programs.
const STATE_BYTES: usize = 28_000;
/// Changes that are made durable by one sync.
const BATCH_CHANGES: u64 = 64;

fn main() {
    let folder = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    for size in CHANGE_BYTES {
        measure(&folder.join(format!("opening-{size}")), size);
    }
}

fn measure(folder: &Path, size: u64) {
    let mut log = open(folder).log;
    let images: Vec<DurableChange> = (0..GROUPS).map(|group| image(group, 0)).collect();
    log.append(&images).expect("the disk has space");
    let mut next = 0;
    while next * BYTES_PER_CHANGE < size {
        let changes: Vec<DurableChange> = (next..next + BATCH_CHANGES).map(update).collect();
        next += BATCH_CHANGES;
        log.append(&changes).expect("the disk has space");
        for group in log.groups_needing_image() {
            let applied = next / u64::from(GROUPS);
            log.append(&[image(group.0, applied)]).expect("the disk has space");
        }
    }
    let bytes = log.bytes();
    drop(log);
    let started_at = Instant::now();
    let opened = open(folder);
    let elapsed = started_at.elapsed();
    let entries: usize = opened.replicas.iter().map(|replica| replica.entries.len()).sum();
    println!("{size} bytes of changes: {bytes} in the log, {entries} entries, open in {elapsed:?}");
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}

fn open(folder: &Path) -> OpenedLog {
    let disk = FolderDisk::open(folder).expect("the folder can be opened");
    let opened = DurableLog::open(Box::new(disk), DurableSettings::default(), Incarnation(1));
    opened.expect("the log opens")
}

fn image(group: u32, index: u64) -> DurableChange {
    let base = Snapshot {
        index: LogIndex(index),
        term: Term(u64::from(index > 0)),
        members: Members::default(),
        data: Bytes::from(vec![1; STATE_BYTES]),
    };
    let hard_state = HardState::default();
    let image = DurableReplica { group: GroupId(group), hard_state, base, entries: Vec::new() };
    DurableChange::Image(Box::new(image))
}

fn update(number: u64) -> DurableChange {
    let group = GroupId((number % u64::from(GROUPS)) as u32);
    let index = LogIndex(number / u64::from(GROUPS) + 1);
    let data = EntryData::Command(Bytes::from(vec![number as u8; PAYLOAD_BYTES]));
    let entries = vec![LogEntry { index, term: Term(1), data }];
    let update = DurableUpdate { entries_from: Some(index), entries, ..DurableUpdate::default() };
    DurableChange::Update { group, update }
}
