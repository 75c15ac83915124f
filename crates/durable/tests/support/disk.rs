//! An in-memory disk that simulates a power loss as on the users' platform. Each file keeps what
//! its last sync covered. Each later write survives, is lost or is torn. New and removed names are
//! durable once the folder is synced.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use dahlia_durable::Disk;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone, Default)]
struct FileContent {
    bytes: Vec<u8>,
    /// The bytes that the last sync covered; none if the file was never synced.
    synced: Option<Vec<u8>>,
    /// The start and end of each write since the last sync.
    writes: Vec<(usize, usize)>,
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
    fn after_power_loss(&self, random: &mut ChaCha8Rng) -> Option<Self> {
        let mut kept = match &self.synced {
            Some(synced) => synced.clone(),
            // A file that was never synced may be lost with its name.
            None if random.random_bool(0.5) => return None,
            None => Vec::new(),
        };
        let loses_all = random.random_bool(0.2);
        for (start, end) in &self.writes {
            let outcome = random.random_range(0..3);
            if loses_all || outcome == 0 {
                continue;
            }
            let end = if outcome == 1 { *end } else { random.random_range(*start..=*end) };
            if kept.len() < end {
                kept.resize(end, 0);
            }
            kept[*start..end].copy_from_slice(&self.bytes[*start..end]);
        }
        Some(Self { bytes: kept.clone(), synced: Some(kept), writes: Vec::new() })
    }
}

impl DiskState {
    fn used_bytes(&self) -> usize {
        self.files.values().map(|content| content.bytes.len()).sum()
    }

    /// Starts an operation, which fails if the power is lost.
    fn start_operation(&mut self) -> io::Result<()> {
        if self.operations_left == Some(0) || self.has_no_power {
            self.has_no_power = true;
            return Err(io::Error::other("no power"));
        }
        self.operations += 1;
        self.operations_left = self.operations_left.map(|left| left - 1);
        Ok(())
    }

    fn file_content(&mut self, name: &str) -> io::Result<&mut FileContent> {
        self.files.get_mut(name).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
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
        state.start_operation()?;
        state.removed.remove(name);
        state.files.insert(name.to_owned(), FileContent::default());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.start_operation()?;
        let free_bytes = state.capacity.saturating_sub(state.used_bytes());
        let written = free_bytes.min(bytes.len());
        let content = state.file_content(name)?;
        let start = content.bytes.len();
        content.bytes.extend(&bytes[..written]);
        content.writes.push((start, start + written));
        if written < bytes.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.start_operation()?;
        let content = state.file_content(name)?;
        content.synced = Some(content.bytes.clone());
        content.writes.clear();
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.start_operation()?;
        let content = state.file_content(name)?;
        content.bytes.truncate(length as usize);
        content.synced = Some(content.bytes.clone());
        content.writes.clear();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.start_operation()?;
        let content = state.file_content(name)?.clone();
        state.files.remove(name);
        state.removed.insert(name.to_owned(), content);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.start_operation()?;
        state.removed.clear();
        Ok(())
    }
}
