//! An in-memory disk that tears writes, becomes full and lets tests damage its files.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod fault_disk;

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use dahlia_store::{ChunkStore, Disk, StoreSettings};
use dahlia_types::{ChunkKey, GroupId, ProgramId};

/// The contents and the failures of a disk. Handles share it, so that it outlives a store.
#[derive(Debug, Default)]
pub struct DiskState {
    pub files: BTreeMap<String, Vec<u8>>,
    /// Bytes that can still be written before the power is lost; none for no limit.
    pub bytes_until_power_loss: Option<usize>,
    /// Largest total size of all files in bytes; none for no limit.
    pub capacity: Option<usize>,
}

/// A handle to the disk; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk(pub Arc<Mutex<DiskState>>);

impl MemoryDisk {
    pub fn with_state<T>(&self, change: impl FnOnce(&mut DiskState) -> T) -> T {
        change(&mut self.0.lock().expect("no test panics while it holds the lock"))
    }

    /// Whether the power is lost.
    pub fn has_no_power(&self) -> bool {
        self.with_state(|state| state.bytes_until_power_loss == Some(0))
    }
}

fn power_lost() -> io::Error {
    io::Error::other("the power is lost")
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.with_state(|state| state.files.keys().cloned().collect()))
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        let length = self.with_state(|state| state.files.get(name).map(Vec::len));
        length.map(|length| length as u64).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn read(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let start = offset as usize;
        let bytes = self.with_state(|state| {
            state.files.get(name)?.get(start..start + length).map(<[u8]>::to_vec)
        });
        bytes.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.with_state(|state| {
            let used: usize = state.files.values().map(Vec::len).sum();
            let free_bytes =
                state.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(used));
            let bytes_until_power_loss = state.bytes_until_power_loss.unwrap_or(usize::MAX);
            let written = bytes.len().min(free_bytes).min(bytes_until_power_loss);
            let file = state.files.entry(name.to_owned()).or_default();
            file.extend(&bytes[..written]);
            if let Some(left) = &mut state.bytes_until_power_loss {
                *left -= written;
            }
            if written == bytes.len() {
                return Ok(());
            }
            if free_bytes < bytes_until_power_loss {
                Err(io::ErrorKind::StorageFull.into())
            } else {
                Err(power_lost())
            }
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.with_state(|state| {
            if state.bytes_until_power_loss == Some(0) {
                return Err(power_lost());
            }
            let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
            file.truncate(length as usize);
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.with_state(|state| {
            if state.bytes_until_power_loss == Some(0) {
                return Err(power_lost());
            }
            state.files.remove(name);
            Ok(())
        })
    }
}

/// The key of a chunk of `program`.
pub fn key(program: u64, chunk: u8) -> ChunkKey {
    let program = ProgramId { group: GroupId(1), number: program };
    ChunkKey { program, digest: [chunk; 32] }
}

/// Settings with which four records of 100 bytes of data fit into a segment.
pub fn settings_of_small_segments() -> StoreSettings {
    StoreSettings {
        max_bytes: 1 << 20,
        segment_bytes: 650,
        max_chunk_bytes: 400,
        compact_percent: 50,
    }
}

/// Opens a store with small segments.
pub fn open<D: Disk + 'static>(disk: D) -> ChunkStore {
    let opened = ChunkStore::open(Box::new(disk), settings_of_small_segments());
    opened.expect("the disk can be read").0
}

/// The data of a chunk.
pub fn data(chunk: u8) -> Vec<u8> {
    vec![chunk; 100]
}
