//! Measures the time of an append by batch size, and of reading the log back, on a real folder.
//!
//! `cargo run --release -p dahlia-durable --example appends -- FOLDER`

use std::path::PathBuf;
use std::time::Instant;

use bytes::Bytes;
use dahlia_durable::{DurableLog, DurableSettings, FolderDisk};
use dahlia_replication::group::{
    DurableChange, DurableReplica, DurableUpdate, EntryData, HardState, LogEntry, Members, Snapshot,
};
use dahlia_types::{GroupId, Incarnation, LogIndex, Term};

const BATCHES: u64 = 2_000;
const PAYLOAD_BYTES: usize = 2_000;

fn main() {
    let folder = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    for batch in [1, 8] {
        measure(&folder.join(format!("appends-{batch}")), batch);
    }
}

fn measure(folder: &std::path::Path, batch: u64) {
    let disk = FolderDisk::open(folder).expect("the folder can be opened");
    let opened = DurableLog::open(Box::new(disk), DurableSettings::default(), Incarnation(1));
    let mut log = opened.expect("the log opens").log;
    log.append(&[image(0)]).expect("the disk has space");
    let (started, mut next_index) = (Instant::now(), 1);
    for _ in 0..BATCHES {
        let changes: Vec<DurableChange> = (next_index..next_index + batch).map(update).collect();
        next_index += batch;
        log.append(&changes).expect("the disk has space");
        if !log.groups_needing_image().is_empty() {
            log.append(&[image(next_index - 1)]).expect("the disk has space");
        }
    }
    let per_batch = started.elapsed() / BATCHES as u32;
    drop(log);
    let reopened_at = Instant::now();
    let disk = FolderDisk::open(folder).expect("the folder can be opened");
    let opened = DurableLog::open(Box::new(disk), DurableSettings::default(), Incarnation(1));
    let bytes = opened.expect("the log opens again").log.bytes();
    println!(
        "{batch} entries of {PAYLOAD_BYTES} bytes a batch: {per_batch:?} each; {bytes} bytes read back in {:?}",
        reopened_at.elapsed()
    );
}

fn image(index: u64) -> DurableChange {
    let term = Term(u64::from(index > 0));
    let base = Snapshot {
        index: LogIndex(index),
        term,
        members: Members::default(),
        data: Bytes::from(vec![1; 100_000]),
    };
    let hard_state = HardState::default();
    let image = DurableReplica { group: GroupId(1), hard_state, base, entries: Vec::new() };
    DurableChange::Image(Box::new(image))
}

fn update(index: u64) -> DurableChange {
    let data = EntryData::Command(Bytes::from(vec![index as u8; PAYLOAD_BYTES]));
    let entries = vec![LogEntry { index: LogIndex(index), term: Term(1), data }];
    let entries_from = Some(LogIndex(index));
    let update = DurableUpdate { entries_from, entries, ..DurableUpdate::default() };
    DurableChange::Update { group: GroupId(1), update }
}
