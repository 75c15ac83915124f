//! A disk in memory that loses power as the users' platform does: each file keeps what its last
//! sync covered; of later writes each survives, goes missing or tears; new and removed names last
//! once the folder is synced.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use dahlia_durable::Disk;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[derive(Debug, Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    /// What the last sync covered; none while the file was never synced.
    synced: Option<Vec<u8>>,
    /// Where each write since the last sync began and ended.
    writes: Vec<(usize, usize)>,
}

#[derive(Debug)]
struct State {
    files: BTreeMap<String, Content>,
    /// Removed files, until the folder is synced.
    removed: BTreeMap<String, Content>,
    random: ChaCha8Rng,
    /// Operations until the power is lost.
    left: Option<u64>,
    is_dead: bool,
    operations: u64,
    capacity: usize,
}

/// A disk; handles share it.
#[derive(Debug, Clone)]
pub struct MemoryDisk {
    state: Arc<Mutex<State>>,
}

impl MemoryDisk {
    pub fn new(seed: u64) -> Self {
        let state = State {
            files: BTreeMap::new(),
            removed: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            left: None,
            is_dead: false,
            operations: 0,
            capacity: usize::MAX,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    pub fn handle(&self) -> Box<dyn Disk> {
        Box::new(self.clone())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Operations that change the disk, so far.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// The next operation but `left` fails, and all after it: the power is gone.
    pub fn lose_power_after(&self, left: u64) {
        self.state().left = Some(left);
    }

    pub fn is_dead(&self) -> bool {
        self.state().is_dead
    }

    /// Applies a loss of power to what was not synced, and starts again.
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
            match content.after_loss(&mut state.random) {
                Some(kept) => drop(state.files.insert(name, kept)),
                None => drop(state.files.remove(&name)),
            }
        }
        state.left = None;
        state.is_dead = false;
    }

    /// The process dies and starts again; what it wrote stays, synced or not.
    pub fn kill(&self) {
        let mut state = self.state();
        state.left = None;
        state.is_dead = false;
    }

    /// The disk is lost.
    pub fn wipe(&self) {
        let mut state = self.state();
        state.files.clear();
        state.removed.clear();
        state.left = None;
        state.is_dead = false;
    }

    /// Bytes that fit on the disk.
    pub fn set_capacity(&self, capacity: usize) {
        self.state().capacity = capacity;
    }

    pub fn names(&self) -> Vec<String> {
        self.state().files.keys().cloned().collect()
    }

    pub fn bytes(&self) -> usize {
        self.state().used()
    }

    pub fn length(&self, name: &str) -> usize {
        self.state().files[name].bytes.len()
    }

    pub fn flip(&self, name: &str, at: usize, flip: u8) {
        self.state().files.get_mut(name).unwrap().bytes[at] ^= flip;
    }

    /// Writes another version into a segment's header, with the right checksum.
    pub fn set_version(&self, name: &str, version: u32) {
        let mut state = self.state();
        let bytes = &mut state.files.get_mut(name).unwrap().bytes;
        bytes[8..12].copy_from_slice(&version.to_le_bytes());
        let checksum = crc32c::crc32c(&bytes[..40]);
        bytes[40..44].copy_from_slice(&checksum.to_le_bytes());
    }
}

impl Content {
    fn after_loss(&self, random: &mut ChaCha8Rng) -> Option<Self> {
        let mut kept = match &self.synced {
            Some(synced) => synced.clone(),
            // A file that was never synced may be gone with its name.
            None if random.random_bool(0.5) => return None,
            None => Vec::new(),
        };
        let erases_all = random.random_bool(0.2);
        for (start, end) in &self.writes {
            let fate = random.random_range(0..3);
            if erases_all || fate == 0 {
                continue;
            }
            let end = if fate == 1 { *end } else { random.random_range(*start..=*end) };
            if kept.len() < end {
                kept.resize(end, 0);
            }
            kept[*start..end].copy_from_slice(&self.bytes[*start..end]);
        }
        Some(Self { bytes: kept.clone(), synced: Some(kept), writes: Vec::new() })
    }
}

impl State {
    fn used(&self) -> usize {
        self.files.values().map(|content| content.bytes.len()).sum()
    }

    /// One durable step: a fault point in front of it.
    fn step(&mut self) -> io::Result<()> {
        if self.left == Some(0) || self.is_dead {
            self.is_dead = true;
            return Err(io::Error::other("no power"));
        }
        self.operations += 1;
        self.left = self.left.map(|left| left - 1);
        Ok(())
    }

    fn content(&mut self, name: &str) -> io::Result<&mut Content> {
        self.files.get_mut(name).ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        Ok(state.content(name)?.bytes.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        state.removed.remove(name);
        state.files.insert(name.to_owned(), Content::default());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        let room = state.capacity.saturating_sub(state.used());
        let fits = room.min(bytes.len());
        let content = state.content(name)?;
        let start = content.bytes.len();
        content.bytes.extend(&bytes[..fits]);
        content.writes.push((start, start + fits));
        if fits < bytes.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        let content = state.content(name)?;
        content.synced = Some(content.bytes.clone());
        content.writes.clear();
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        let content = state.content(name)?;
        content.bytes.truncate(length as usize);
        content.synced = Some(content.bytes.clone());
        content.writes.clear();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        let content = state.content(name)?.clone();
        state.files.remove(name);
        state.removed.insert(name.to_owned(), content);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        state.removed.clear();
        Ok(())
    }
}
