//! An in-memory disk that simulates power losses and single failed operations as on the users'
//! platform. Each file keeps what its last sync covered. Each later write survives, is lost or is
//! torn. New and removed names are durable once the folder is synced. After a failed sync the
//! kernel drops what it has not written: processes still read it, and the next sync succeeds.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use dahlia_durable::Disk;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone, Default)]
struct FileContent {
    /// The bytes that processes read.
    bytes: Vec<u8>,
    /// The bytes on the medium; none if the file was never synced.
    synced: Option<Vec<u8>>,
    /// The changes since the last sync, in order.
    unsynced: Vec<ContentChange>,
    /// Whether the folder was synced since the file was created.
    has_durable_name: bool,
}

/// A change of a file that is not on the medium yet.
#[derive(Debug, Clone)]
enum ContentChange {
    Write { start: usize, bytes: Vec<u8> },
    SetLength(usize),
}

/// When a single operation fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailurePoint {
    /// Nothing was done.
    Before,
    /// A part was done. A sync drops the rest.
    Midway,
    /// Everything was done.
    After,
}

/// A single operation that fails while the disk goes on.
#[derive(Debug, Clone, Copy)]
pub struct FailedOperation {
    /// Operations that still succeed before it.
    pub operations_before: u64,
    pub point: FailurePoint,
    pub error: io::ErrorKind,
}

#[derive(Debug)]
struct DiskState {
    files: BTreeMap<String, FileContent>,
    /// Removed files, until the folder is synced.
    removed: BTreeMap<String, FileContent>,
    random: ChaCha8Rng,
    /// Operations that still succeed before the power is lost.
    operations_left: Option<u64>,
    has_no_power: bool,
    operations: u64,
    capacity: usize,
    failed_operation: Option<FailedOperation>,
}

/// A disk whose handles share its state.
#[derive(Debug, Clone)]
pub struct MemoryDisk {
    state: Arc<Mutex<DiskState>>,
}

impl MemoryDisk {
    pub fn new(seed: u64) -> Self {
        let state = DiskState {
            files: BTreeMap::new(),
            removed: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            operations_left: None,
            has_no_power: false,
            operations: 0,
            capacity: usize::MAX,
            failed_operation: None,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    pub fn handle(&self) -> Box<dyn Disk> {
        Box::new(self.clone())
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap()
    }

    /// Operations that have changed the disk so far.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Lets `operations` operations succeed; the next one and all after it fail for lack of power.
    pub fn lose_power_after(&self, operations: u64) {
        self.state().operations_left = Some(operations);
    }

    /// Lets one operation fail, or none.
    pub fn fail_operation(&self, failed: Option<FailedOperation>) {
        self.state().failed_operation = failed;
    }

    pub fn has_no_power(&self) -> bool {
        self.state().has_no_power
    }

    /// Applies a power loss to what was not synced, and restores the power.
    pub fn lose_power(&self) {
        let mut state = self.state();
        let state = &mut *state;
        let removed = std::mem::take(&mut state.removed);
        for (name, content) in removed {
            if !state.files.contains_key(&name) && state.random.random_bool(0.5) {
                state.files.insert(name, content);
            }
        }
        let names: Vec<String> = state.files.keys().cloned().collect();
        for name in names {
            let content = state.files[&name].clone();
            match content.after_power_loss(&mut state.random) {
                Some(kept) => drop(state.files.insert(name, kept)),
                None => drop(state.files.remove(&name)),
            }
        }
        state.operations_left = None;
        state.has_no_power = false;
    }

    /// Restarts the process: what it wrote stays, synced or not.
    pub fn restart_process(&self) {
        let mut state = self.state();
        state.operations_left = None;
        state.has_no_power = false;
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&self) {
        let mut state = self.state();
        state.files.clear();
        state.removed.clear();
        state.operations_left = None;
        state.has_no_power = false;
    }

    /// Sets how many bytes fit on the disk.
    pub fn set_capacity(&self, capacity: usize) {
        self.state().capacity = capacity;
    }

    pub fn file_names(&self) -> Vec<String> {
        self.state().files.keys().cloned().collect()
    }

    pub fn bytes(&self) -> usize {
        self.state().used_bytes()
    }

    pub fn file_length(&self, name: &str) -> usize {
        self.state().files[name].bytes.len()
    }

    pub fn flip_bits(&self, name: &str, offset: usize, mask: u8) {
        self.state().files.get_mut(name).unwrap().bytes[offset] ^= mask;
    }

    /// Writes another version into a segment's header, with a valid checksum.
    pub fn set_version(&self, name: &str, version: u32) {
        let mut state = self.state();
        let bytes = &mut state.files.get_mut(name).unwrap().bytes;
        bytes[8..12].copy_from_slice(&version.to_le_bytes());
        let checksum = crc32c::crc32c(&bytes[..40]);
        bytes[40..44].copy_from_slice(&checksum.to_le_bytes());
    }
}

impl FileContent {
    fn write(&mut self, start: usize, bytes: &[u8]) {
        write_at(&mut self.bytes, start, bytes);
        self.unsynced.push(ContentChange::Write { start, bytes: bytes.to_vec() });
    }

    fn set_length(&mut self, length: usize) {
        self.bytes.resize(length, 0);
        self.unsynced.push(ContentChange::SetLength(length));
    }

    fn sync(&mut self) {
        let mut synced = self.synced.take().unwrap_or_default();
        for change in self.unsynced.drain(..) {
            change.apply_to(&mut synced);
        }
        self.synced = Some(synced);
    }

    /// Brings a part of the changes to the medium and drops the rest, which processes still read.
    fn fail_sync(&mut self, random: &mut ChaCha8Rng) {
        let mut synced = self.synced.take().unwrap_or_default();
        apply_some(std::mem::take(&mut self.unsynced), &mut synced, random);
        self.synced = Some(synced);
    }

    fn after_power_loss(&self, random: &mut ChaCha8Rng) -> Option<Self> {
        let mut kept = match &self.synced {
            // The name of a file may be lost until the folder is synced.
            Some(_) if !self.has_durable_name && random.random_bool(0.5) => return None,
            Some(synced) => synced.clone(),
            // A file that was never synced may be lost with its name.
            None if random.random_bool(0.5) => return None,
            None => Vec::new(),
        };
        apply_some(self.unsynced.clone(), &mut kept, random);
        Some(Self {
            bytes: kept.clone(),
            synced: Some(kept),
            unsynced: Vec::new(),
            has_durable_name: true,
        })
    }
}

impl ContentChange {
    fn apply_to(&self, content: &mut Vec<u8>) {
        match self {
            Self::Write { start, bytes } => write_at(content, *start, bytes),
            Self::SetLength(length) => content.resize(*length, 0),
        }
    }

    /// The change as far as it came: a random part of a write.
    fn torn(self, random: &mut ChaCha8Rng) -> Self {
        match self {
            Self::Write { start, mut bytes } => {
                bytes.truncate(random.random_range(0..=bytes.len()));
                Self::Write { start, bytes }
            }
            Self::SetLength(length) => Self::SetLength(length),
        }
    }
}

/// Applies some of the changes whole, some torn and some not at all.
fn apply_some(changes: Vec<ContentChange>, content: &mut Vec<u8>, random: &mut ChaCha8Rng) {
    let loses_all = random.random_bool(0.2);
    for change in changes {
        let outcome = random.random_range(0..3);
        if loses_all || outcome == 0 {
            continue;
        }
        let change = if outcome == 1 { change } else { change.torn(random) };
        change.apply_to(content);
    }
}

fn write_at(content: &mut Vec<u8>, start: usize, bytes: &[u8]) {
    let end = start + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[start..end].copy_from_slice(bytes);
}

impl DiskState {
    fn used_bytes(&self) -> usize {
        self.files.values().map(|content| content.bytes.len()).sum()
    }

    /// Starts an operation, which fails if the power is lost. Returns how it fails otherwise.
    fn start_operation(&mut self) -> io::Result<OperationEnd> {
        if self.operations_left == Some(0) || self.has_no_power {
            self.has_no_power = true;
            return Err(io::Error::other("no power"));
        }
        self.operations += 1;
        self.operations_left = self.operations_left.map(|left| left - 1);
        let Some(failed) = &mut self.failed_operation else { return Ok(OperationEnd(None)) };
        if failed.operations_before > 0 {
            failed.operations_before -= 1;
            return Ok(OperationEnd(None));
        }
        let FailedOperation { point, error, .. } = *failed;
        self.failed_operation = None;
        match point {
            FailurePoint::Before => Err(io::Error::from(error)),
            FailurePoint::Midway | FailurePoint::After => Ok(OperationEnd(Some((point, error)))),
        }
    }

    fn file_content(&mut self, name: &str) -> io::Result<&mut FileContent> {
        self.files.get_mut(name).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    /// Syncs a file, or drops a part of its changes.
    fn sync_content(&mut self, name: &str, end: &OperationEnd) -> io::Result<()> {
        let mut content = self.file_content(name)?.clone();
        match end.is_partial() {
            true => content.fail_sync(&mut self.random),
            false => content.sync(),
        }
        self.files.insert(name.to_owned(), content);
        Ok(())
    }
}

/// How an operation that was begun ends.
struct OperationEnd(Option<(FailurePoint, io::ErrorKind)>);

impl OperationEnd {
    fn is_partial(&self) -> bool {
        matches!(self.0, Some((FailurePoint::Midway, _)))
    }

    fn result(self) -> io::Result<()> {
        self.0.map_or(Ok(()), |(_, error)| Err(io::Error::from(error)))
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.file_names())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        Ok(state.file_content(name)?.bytes.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let end = state.start_operation()?;
        state.removed.remove(name);
        state.files.entry(name.to_owned()).or_default().set_length(0);
        end.result()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let end = state.start_operation()?;
        let free_bytes = state.capacity.saturating_sub(state.used_bytes());
        let mut written = free_bytes.min(bytes.len());
        if end.is_partial() {
            written = state.random.random_range(0..=written);
        }
        let content = state.file_content(name)?;
        let start = content.bytes.len();
        content.write(start, &bytes[..written]);
        end.result()?;
        if written < bytes.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn rewrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let end = state.start_operation()?;
        let mut written = bytes.len();
        if end.is_partial() {
            written = state.random.random_range(0..=written);
        }
        state.file_content(name)?.write(0, &bytes[..written]);
        end.result()
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let end = state.start_operation()?;
        state.sync_content(name, &end)?;
        end.result()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.state();
        let end = state.start_operation()?;
        state.file_content(name)?.set_length(length as usize);
        state.sync_content(name, &end)?;
        end.result()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        let end = state.start_operation()?;
        let content = state.file_content(name)?.clone();
        state.files.remove(name);
        state.removed.insert(name.to_owned(), content);
        end.result()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        let state = &mut *state;
        let end = state.start_operation()?;
        let is_partial = end.is_partial();
        // Names that a failed sync did not cover stay pending in the journal of the file system.
        let mut is_covered = || !is_partial || state.random.random_bool(0.5);
        state.removed.retain(|_, _| !is_covered());
        state.files.values_mut().for_each(|content| content.has_durable_name |= is_covered());
        end.result()
    }
}
