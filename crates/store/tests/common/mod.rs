//! A disk in memory that tears writes, runs full and flips bits.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use dahlia_store::Disk;
use dahlia_types::{ChunkKey, GroupId, ProgramId};

/// What the disk holds and how it fails. Shared, so that it outlives a store.
#[derive(Debug, Default)]
pub struct State {
    pub files: BTreeMap<String, Vec<u8>>,
    /// Bytes that may still be written before the power goes; none for no limit.
    pub power: Option<usize>,
    /// Bytes that all files together may have.
    pub room: Option<usize>,
}

/// A handle to the disk; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk(pub Arc<Mutex<State>>);

impl MemoryDisk {
    pub fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.0.lock().expect("tests do not panic while they hold it"))
    }

    /// Whether the power has gone.
    pub fn is_dead(&self) -> bool {
        self.with(|state| state.power == Some(0))
    }
}

fn gone() -> io::Error {
    io::Error::other("the power has gone")
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.with(|state| state.files.keys().cloned().collect()))
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        let length = self.with(|state| state.files.get(name).map(Vec::len));
        length.map(|length| length as u64).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn read(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let start = offset as usize;
        let bytes = self
            .with(|state| state.files.get(name)?.get(start..start + length).map(<[u8]>::to_vec));
        bytes.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.with(|state| {
            let used: usize = state.files.values().map(Vec::len).sum();
            let room = state.room.map_or(usize::MAX, |room| room.saturating_sub(used));
            let power = state.power.unwrap_or(usize::MAX);
            let written = bytes.len().min(room).min(power);
            let file = state.files.entry(name.to_owned()).or_default();
            file.extend(&bytes[..written]);
            if let Some(left) = &mut state.power {
                *left -= written;
            }
            if written == bytes.len() {
                return Ok(());
            }
            if room < power { Err(io::ErrorKind::StorageFull.into()) } else { Err(gone()) }
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.with(|state| {
            if state.power == Some(0) {
                return Err(gone());
            }
            let file = state.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
            file.truncate(length as usize);
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.with(|state| {
            if state.power == Some(0) {
                return Err(gone());
            }
            state.files.remove(name).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
        })
    }
}

/// A key of program `program`.
pub fn key(program: u64, chunk: u8) -> ChunkKey {
    let program = ProgramId { group: GroupId(1), number: program };
    ChunkKey { program, digest: [chunk; 32] }
}
