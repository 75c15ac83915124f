//! Reads that fail once, and a compaction beside a failed write.

mod common;

use std::io;
use std::sync::{Arc, Mutex};

use common::fault_disk::{Fault, FaultDisk};
use common::{MemoryDisk, data, key, open};
use dahlia_store::Disk;

/// A disk whose next read fails with an error of a chosen kind, once.
#[derive(Debug, Clone, Default)]
struct ReadFaultDisk {
    disk: MemoryDisk,
    next_read: Arc<Mutex<Option<io::ErrorKind>>>,
}

impl ReadFaultDisk {
    fn fail_next_read(&self, kind: io::ErrorKind) {
        *self.next_read.lock().expect("no test panics while it holds the lock") = Some(kind);
    }
}

impl Disk for ReadFaultDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.list()
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        self.disk.length(name)
    }

    fn read(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        match self.next_read.lock().expect("no test panics while it holds the lock").take() {
            Some(kind) => Err(kind.into()),
            None => self.disk.read(name, offset, length),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.disk.append(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.disk.truncate(name, length)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }
}

/// Guards against a compaction that takes one failed read for a chunk whose bytes are gone, and removes its segment.
#[test]
fn compaction_loses_no_chunk_by_one_read_that_finds_no_bytes() {
    for kind in [io::ErrorKind::NotFound, io::ErrorKind::UnexpectedEof] {
        let disk = ReadFaultDisk::default();
        let mut store = open(disk.clone());
        for chunk in 0..8 {
            store.put(key(1, chunk), &data(chunk)).expect("the disk works");
        }
        for chunk in [0, 1] {
            store.remove(&key(1, chunk)).expect("the disk works");
        }
        disk.fail_next_read(kind);
        // Whether the compaction ends or goes on, it may cost no chunk.
        drop(store.compact());
        let mut reopened = open(disk);
        for chunk in 2..8 {
            let found = reopened.get(&key(1, chunk)).expect("the store can be read");
            assert_eq!(found, Some(data(chunk)), "{kind}");
        }
    }
}

/// Guards against a chunk that comes back at the next start although its removal was acknowledged: it had only been
/// taken out of the index, after a failed read, and no removal was written.
#[test]
fn a_chunk_that_could_not_be_read_stays_removed() {
    let disk = ReadFaultDisk::default();
    let mut store = open(disk.clone());
    store.put(key(1, 1), &data(1)).expect("the disk works");
    disk.fail_next_read(io::ErrorKind::NotFound);
    store.get(&key(1, 1)).expect_err("the read failed");
    store.remove(&key(1, 1)).expect("the disk works again");
    assert!(!open(disk).contains(&key(1, 1)));
}

/// Guards against a refused chunk that is still in the file after a compaction has succeeded.
#[test]
fn a_compaction_succeeds_only_once_a_failed_write_is_undone() {
    let disk = FaultDisk::default();
    let mut store = open(disk.clone());
    for chunk in 0..4 {
        store.put(key(1, chunk), &data(chunk)).expect("the disk works");
    }
    for chunk in 0..4 {
        store.remove(&key(1, chunk)).expect("the disk works");
    }
    disk.fail_after(0, Fault::NotSynced);
    disk.fail_after(1, Fault::NoEffect);
    store.put(key(1, 9), &data(9)).expect_err("the chunk was not made durable");
    assert!(store.compact().expect("the disk works again"));
    assert!(!open(disk).contains(&key(1, 9)));
}
