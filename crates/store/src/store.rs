//! The chunks of one folder.

use std::collections::{BTreeMap, HashMap};
use std::io;

use dahlia_types::ChunkKey;
use snafu::{ResultExt, Snafu};

use crate::StoreSettings;
use crate::disk::Disk;
use crate::record::{
    RECORD_HEADER_BYTES, RecordKind, SEGMENT_HEADER_BYTES, decode_header, encode_record,
    encode_segment_header, is_intact,
};
use crate::segment::{RecordLocation, SegmentNumber, file_name, parse_file_name, scan_segment};

/// Errors of the store.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// A file operation failed.
    #[snafu(display("{operation} {file}: {source}"))]
    File {
        /// The operation that failed.
        operation: &'static str,
        /// The file.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// The store or the disk is full. Stored chunks are still served.
    #[snafu(display("the store is full: {used} bytes used, store.max_bytes is {limit}"))]
    Full {
        /// The size of all segments in bytes.
        used: u64,
        /// The limit in bytes; the disk may be full before it is reached.
        limit: u64,
    },
    /// The chunk is larger than allowed.
    #[snafu(display("the chunk has {length} bytes; store.max_chunk_bytes is {limit}"))]
    TooLarge {
        /// The length of the chunk in bytes.
        length: u64,
        /// The limit in bytes.
        limit: u64,
    },
    /// A segment was written by a build with another format.
    #[snafu(display("{file} has format {version}; this build reads 1"))]
    UnsupportedFormat {
        /// The segment's file.
        file: String,
        /// The version of its format.
        version: u32,
    },
    /// A record is damaged. The chunk is lost here and must be read from another copy.
    #[snafu(display("a chunk in {file} at byte {offset} is damaged"))]
    Damaged {
        /// The segment's file.
        file: String,
        /// Where the record begins, in bytes.
        offset: u64,
    },
}

/// What the store found and repaired when it was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RecoveryReport {
    /// Number of stored chunks.
    pub chunks: u64,
    /// Bytes of a torn last write that were truncated.
    pub torn_bytes: u64,
    /// Bytes from a damaged record to the end of an older segment; their chunks are lost here.
    pub damaged_bytes: u64,
}

/// The space that the store uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreUsage {
    /// Number of stored chunks.
    pub chunks: u64,
    /// The size of all segments in bytes.
    pub bytes: u64,
    /// Bytes of the records of stored chunks.
    pub live_bytes: u64,
}

#[derive(Debug, Clone, Copy)]
struct ChunkLocation {
    segment: SegmentNumber,
    offset: u64,
    length: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct SegmentUsage {
    bytes: u64,
    live_bytes: u64,
}

/// The chunks of one folder.
pub struct ChunkStore {
    disk: Box<dyn Disk>,
    settings: StoreSettings,
    index: HashMap<ChunkKey, ChunkLocation>,
    /// Chunks whose records could not be read, and the segments of these records. A later start may find them
    /// intact.
    damaged: HashMap<ChunkKey, SegmentNumber>,
    segments: BTreeMap<SegmentNumber, SegmentUsage>,
    /// The segment that records are appended to. Its file exists once it has a record.
    active_segment: SegmentNumber,
    /// The segment of a write that failed and has not been undone. Any part of its bytes may be in the file,
    /// and a later start would read them as records.
    failed_write: Option<SegmentNumber>,
}

impl ChunkStore {
    /// Reads all segments of the folder and truncates a torn last write.
    ///
    /// # Errors
    /// [`StoreError::UnsupportedFormat`] for a segment of another version, which is left unchanged;
    /// [`StoreError::File`] if the folder cannot be read or repaired.
    pub fn open(
        disk: Box<dyn Disk>,
        settings: StoreSettings,
    ) -> Result<(Self, RecoveryReport), StoreError> {
        let mut store = Self {
            disk,
            settings,
            index: HashMap::new(),
            damaged: HashMap::new(),
            segments: BTreeMap::new(),
            active_segment: 0,
            failed_write: None,
        };
        // A power loss must not bring back a file that is missing now, nor take one that is read now.
        let synced = store.disk.sync_names();
        synced.context(FileSnafu { operation: "syncing the names in", file: "the folder" })?;
        let names =
            store.disk.list().context(FileSnafu { operation: "listing", file: "the folder" })?;
        let mut numbers: Vec<SegmentNumber> =
            names.iter().filter_map(|name| parse_file_name(name)).collect();
        numbers.sort_unstable();
        let mut recovery = RecoveryReport::default();
        for number in &numbers {
            store.read_segment(*number, numbers.last() == Some(number), &mut recovery)?;
        }
        // A new segment is used, so nothing is ever appended after bytes of an earlier process.
        store.active_segment = numbers.last().map_or(1, |last| last + 1);
        recovery.chunks = store.index.len() as u64;
        Ok((store, recovery))
    }

    fn read_segment(
        &mut self,
        number: SegmentNumber,
        is_last: bool,
        recovery: &mut RecoveryReport,
    ) -> Result<(), StoreError> {
        let file = file_name(number);
        let scan = scan_segment(&*self.disk, &file)
            .context(FileSnafu { operation: "reading", file: &file })?;
        if let Some(version) = scan.unsupported_version {
            return UnsupportedFormatSnafu { file, version }.fail();
        }
        if is_last {
            recovery.torn_bytes = scan.damaged_bytes;
            self.make_durable(&file, scan.intact_bytes)?;
        } else {
            recovery.damaged_bytes += scan.damaged_bytes;
        }
        // Damaged bytes stay in older segments and use space.
        let damaged_bytes = if is_last { 0 } else { scan.damaged_bytes };
        let bytes = scan.intact_bytes + damaged_bytes;
        self.segments.insert(number, SegmentUsage { bytes, live_bytes: 0 });
        for record in scan.records {
            self.index_record(number, &record);
        }
        Ok(())
    }

    /// Cuts a segment to its intact records and makes them durable, because the chunks that are found there are
    /// acknowledged. An earlier process may have ended before it synced its last record, or after a sync that failed:
    /// another sync does not cover what that one dropped, so the bytes are written again.
    fn make_durable(&mut self, file: &str, intact_bytes: u64) -> Result<(), StoreError> {
        let bytes = self.disk.read(file, 0, intact_bytes as usize);
        let bytes = bytes.context(FileSnafu { operation: "reading", file })?;
        let rewritten = self.disk.rewrite(file, &bytes);
        rewritten.context(FileSnafu { operation: "rewriting", file })?;
        let truncated = self.disk.truncate(file, intact_bytes);
        truncated.context(FileSnafu { operation: "cutting off the torn end of", file })
    }

    fn index_record(&mut self, segment: SegmentNumber, record: &RecordLocation) {
        self.forget(&record.key);
        self.damaged.remove(&record.key);
        if record.kind == RecordKind::Chunk {
            let location = ChunkLocation { segment, offset: record.offset, length: record.length };
            self.index.insert(record.key, location);
            if let Some(usage) = self.segments.get_mut(&segment) {
                usage.live_bytes += record_bytes(record.length);
            }
        }
    }

    /// Removes a chunk from the index. Returns whether it was there.
    fn forget(&mut self, key: &ChunkKey) -> bool {
        let Some(location) = self.index.remove(key) else {
            return false;
        };
        if let Some(segment) = self.segments.get_mut(&location.segment) {
            segment.live_bytes = segment.live_bytes.saturating_sub(record_bytes(location.length));
        }
        true
    }

    /// Stores a chunk durably. A chunk that is already stored is not written again.
    ///
    /// # Errors
    /// [`StoreError::TooLarge`], [`StoreError::Full`] or [`StoreError::File`]; the chunk is then
    /// not stored. If the process ends before another change succeeds, the next start may find it
    /// stored.
    pub fn put(&mut self, key: ChunkKey, data: &[u8]) -> Result<(), StoreError> {
        let (length, limit) = (data.len() as u64, self.settings.max_chunk_bytes);
        if length > limit {
            return TooLargeSnafu { length, limit }.fail();
        }
        self.undo_failed_write()?;
        if self.index.contains_key(&key) {
            return Ok(());
        }
        let used = self.usage().bytes;
        let needed = SEGMENT_HEADER_BYTES as u64 + record_bytes(data.len() as u32);
        if used + needed > self.settings.max_bytes {
            return FullSnafu { used, limit: self.settings.max_bytes }.fail();
        }
        let offset = self.append(&encode_record(RecordKind::Chunk, &key, data))?;
        let record =
            RecordLocation { kind: RecordKind::Chunk, key, offset, length: data.len() as u32 };
        self.index_record(self.active_segment, &record);
        Ok(())
    }

    /// Reads a chunk. None if it is not stored.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] if its checksum is invalid or its bytes are not in the file, which also
    /// removes it from the index, or [`StoreError::File`].
    pub fn get(&mut self, key: &ChunkKey) -> Result<Option<Vec<u8>>, StoreError> {
        let Some(location) = self.index.get(key).copied() else {
            return Ok(None);
        };
        let file = file_name(location.segment);
        let length = RECORD_HEADER_BYTES + location.length as usize;
        let record = match self.disk.read(&file, location.offset, length) {
            Ok(record) => record,
            Err(_) if self.is_missing(&file, location.offset + length as u64) => Vec::new(),
            Err(source) => {
                return Err(source).context(FileSnafu { operation: "reading", file });
            }
        };
        let header = decode_header(&record).filter(|header| is_intact(header, &record));
        if header.is_none_or(|header| header.key != *key) {
            self.forget(key);
            self.damaged.insert(*key, location.segment);
            return DamagedSnafu { file, offset: location.offset }.fail();
        }
        Ok(Some(record[RECORD_HEADER_BYTES..].to_vec()))
    }

    /// Whether a file ends before `end`, so that another read of the bytes before it cannot succeed.
    fn is_missing(&self, file: &str, end: u64) -> bool {
        match self.disk.length(file) {
            Ok(length) => length < end,
            Err(error) => error.kind() == io::ErrorKind::NotFound,
        }
    }

    /// Whether a chunk is stored.
    pub fn contains(&self, key: &ChunkKey) -> bool {
        self.index.contains_key(key)
    }

    /// Removes a chunk durably, also a damaged one. Returns whether there was one.
    ///
    /// # Errors
    /// [`StoreError::Full`] or [`StoreError::File`] if the removal cannot be written; the chunk
    /// then stays stored. If the process ends before another change succeeds, the next start may
    /// find it removed.
    pub fn remove(&mut self, key: &ChunkKey) -> Result<bool, StoreError> {
        self.undo_failed_write()?;
        if !self.index.contains_key(key) && !self.damaged.contains_key(key) {
            return Ok(false);
        }
        // `max_bytes` does not apply here, because a full store must be able to remove chunks.
        self.append(&encode_record(RecordKind::Removal, key, &[]))?;
        let was_damaged = self.damaged.remove(key).is_some();
        Ok(self.forget(key) || was_damaged)
    }

    /// The keys of all stored and damaged chunks for which `is_selected` returns true.
    pub fn keys(&self, is_selected: impl Fn(&ChunkKey) -> bool) -> Vec<ChunkKey> {
        let keys = self.index.keys().chain(self.damaged.keys());
        keys.filter(|key| is_selected(key)).copied().collect()
    }

    /// The space that the store uses.
    pub fn usage(&self) -> StoreUsage {
        StoreUsage {
            chunks: self.index.len() as u64,
            bytes: self.segments.values().map(|segment| segment.bytes).sum(),
            live_bytes: self.segments.values().map(|segment| segment.live_bytes).sum(),
        }
    }

    /// Compacts one segment of mostly obsolete records: copies the live ones to the active segment
    /// and removes the old one. Returns whether there was such a segment. Called when the store is
    /// idle.
    ///
    /// # Errors
    /// [`StoreError::Full`] or [`StoreError::File`]; no chunk is lost, and the next call goes on with
    /// the segment.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        self.undo_failed_write()?;
        let Some(number) = self.compactable_segment() else {
            return Ok(false);
        };
        for key in self.keys_of_segment(number) {
            let data = match self.get(&key) {
                Ok(Some(data)) => data,
                Ok(None) => continue,
                Err(error @ StoreError::Damaged { .. }) => {
                    log::warn!(target: "store", "A chunk is lost here. {error}.");
                    continue;
                }
                // The chunk may be intact, so its segment must stay.
                Err(error) => return Err(error),
            };
            let offset = self.append(&encode_record(RecordKind::Chunk, &key, &data))?;
            let record =
                RecordLocation { kind: RecordKind::Chunk, key, offset, length: data.len() as u32 };
            self.index_record(self.active_segment, &record);
        }
        // The copies are already durable when the originals are removed.
        let file = file_name(number);
        self.disk.remove(&file).context(FileSnafu { operation: "removing", file })?;
        self.segments.remove(&number);
        self.damaged.retain(|_, segment| *segment != number);
        Ok(true)
    }

    /// The stored chunks of a segment in the order of their records.
    fn keys_of_segment(&self, number: SegmentNumber) -> Vec<ChunkKey> {
        let locations = self.index.iter().filter(|(_, location)| location.segment == number);
        let mut keys: Vec<(u64, ChunkKey)> =
            locations.map(|(key, location)| (location.offset, *key)).collect();
        keys.sort_unstable_by_key(|(offset, _)| *offset);
        keys.into_iter().map(|(_, key)| key).collect()
    }

    /// The oldest segment, if it is mostly obsolete. Only the oldest one can be compacted. A newer
    /// one may contain removals of chunks in an older one, and without them those chunks would
    /// reappear.
    fn compactable_segment(&self) -> Option<SegmentNumber> {
        let (number, segment) = self.segments.first_key_value()?;
        let obsolete = segment.bytes.saturating_sub(segment.live_bytes);
        let is_mostly_obsolete = obsolete * 100 >= segment.bytes * self.settings.compact_percent;
        (*number != self.active_segment && is_mostly_obsolete).then_some(*number)
    }

    /// Appends to the active segment and returns where the record begins.
    fn append(&mut self, record: &[u8]) -> Result<u64, StoreError> {
        self.undo_failed_write()?;
        let is_full = self.segments.get(&self.active_segment).is_some_and(|segment| {
            segment.bytes + record.len() as u64 > self.settings.segment_bytes
        });
        if is_full {
            self.active_segment += 1;
        }
        let Some(segment) = self.segments.get(&self.active_segment) else {
            return self.start_segment(record);
        };
        let offset = segment.bytes;
        self.write(record)?;
        self.set_active_segment_bytes(offset + record.len() as u64);
        Ok(offset)
    }

    /// Starts the active segment. Its header and its first record are one write, so that a segment without a
    /// record has no file.
    fn start_segment(&mut self, first_record: &[u8]) -> Result<u64, StoreError> {
        let mut bytes = encode_segment_header();
        bytes.extend(first_record);
        self.write(&bytes)?;
        self.set_active_segment_bytes(bytes.len() as u64);
        Ok(SEGMENT_HEADER_BYTES as u64)
    }

    fn set_active_segment_bytes(&mut self, bytes: u64) {
        self.segments.entry(self.active_segment).or_default().bytes = bytes;
    }

    /// Writes at the end of the active segment. A failed write is undone, at the latest before the next change.
    fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let segment = self.active_segment;
        let file = file_name(segment);
        let Err(source) = self.disk.append(&file, bytes) else {
            return Ok(());
        };
        let is_full = source.kind() == io::ErrorKind::StorageFull;
        if !is_full {
            // After a failed sync, a later sync of the same file may succeed although bytes are missing.
            self.active_segment += 1;
        }
        self.failed_write = Some(segment);
        if let Err(error) = self.undo_failed_write() {
            log::warn!(target: "store", "A failed write is not undone yet. {error}.");
        }
        if is_full {
            let limit = self.settings.max_bytes;
            return FullSnafu { used: self.usage().bytes, limit }.fail();
        }
        Err(source).context(FileSnafu { operation: "appending to", file })
    }

    /// Restores the file of a failed write to its acknowledged records. Until this succeeds nothing may be
    /// acknowledged, because the next start would read what the failed write left.
    fn undo_failed_write(&mut self) -> Result<(), StoreError> {
        let Some(segment) = self.failed_write else {
            return Ok(());
        };
        let file = file_name(segment);
        let undone = match self.segments.get(&segment) {
            Some(usage) => self.disk.truncate(&file, usage.bytes),
            None => self.disk.remove(&file),
        };
        undone.context(FileSnafu { operation: "undoing a failed write to", file })?;
        self.failed_write = None;
        Ok(())
    }
}

fn record_bytes(length: u32) -> u64 {
    RECORD_HEADER_BYTES as u64 + u64::from(length)
}
