//! The chunks of one folder.

use std::collections::{BTreeMap, HashMap};
use std::io;

use dahlia_types::ChunkKey;
use snafu::{ResultExt, Snafu};

use crate::StoreSettings;
use crate::disk::Disk;
use crate::record::{
    RECORD_HEADER, RecordKind, SEGMENT_HEADER, decode_header, encode, is_intact, segment_header,
};
use crate::segment::{FoundRecord, SegmentNumber, file_name, number_of, scan};

/// Why the store did not do as asked.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// A file operation failed.
    #[snafu(display("{operation} {file}: {source}"))]
    File {
        /// What was being done.
        operation: &'static str,
        /// The file.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// There is no room. Chunks that are held are served on.
    #[snafu(display("the store is full: {used} bytes used, store.max_bytes is {limit}"))]
    Full {
        /// Bytes of all segments.
        used: u64,
        /// The limit; a full disk may come earlier.
        limit: u64,
    },
    /// The chunk is larger than allowed.
    #[snafu(display("the chunk has {length} bytes; store.max_chunk_bytes is {limit}"))]
    TooLarge {
        /// Its length.
        length: u64,
        /// The limit.
        limit: u64,
    },
    /// A segment was written by a build with another format.
    #[snafu(display("{file} has format {version}; this build reads 1"))]
    UnsupportedFormat {
        /// The segment's file.
        file: String,
        /// Its version.
        version: u32,
    },
    /// A record is damaged: the chunk is lost here, and other copies have to serve.
    #[snafu(display("a chunk in {file} at byte {offset} is damaged"))]
    Damaged {
        /// The segment's file.
        file: String,
        /// Where the record begins.
        offset: u64,
    },
}

/// What a start found and mended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RecoveryReport {
    /// Chunks that are held.
    pub chunks: u64,
    /// Bytes of a torn last write that were cut off.
    pub torn_bytes: u64,
    /// Bytes behind a damaged record of an older segment; their chunks are lost here.
    pub damaged_bytes: u64,
}

/// How much is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreUsage {
    /// Chunks held.
    pub chunks: u64,
    /// Bytes of all segments.
    pub bytes: u64,
    /// Bytes of them that hold chunks.
    pub live_bytes: u64,
}

#[derive(Debug, Clone, Copy)]
struct Location {
    segment: SegmentNumber,
    offset: u64,
    length: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Segment {
    bytes: u64,
    live_bytes: u64,
}

/// The chunks of one folder.
pub struct ChunkStore {
    disk: Box<dyn Disk>,
    settings: StoreSettings,
    index: HashMap<ChunkKey, Location>,
    segments: BTreeMap<SegmentNumber, Segment>,
    active: SegmentNumber,
}

impl ChunkStore {
    /// Reads the folder back. A torn last write is cut off.
    ///
    /// # Errors
    /// [`StoreError::UnsupportedFormat`] for a segment of another version, which is left alone;
    /// [`StoreError::File`] when the folder cannot be read or mended.
    pub fn open(
        disk: Box<dyn Disk>,
        settings: StoreSettings,
    ) -> Result<(Self, RecoveryReport), StoreError> {
        let mut store =
            Self { disk, settings, index: HashMap::new(), segments: BTreeMap::new(), active: 0 };
        let names =
            store.disk.list().context(FileSnafu { operation: "listing", file: "the folder" })?;
        let mut numbers: Vec<SegmentNumber> =
            names.iter().filter_map(|name| number_of(name)).collect();
        numbers.sort_unstable();
        let mut recovery = RecoveryReport::default();
        for number in &numbers {
            store.read_segment(*number, numbers.last() == Some(number), &mut recovery)?;
        }
        // A fresh segment: nothing is ever appended behind bytes that another life wrote.
        store.active = numbers.last().map_or(1, |last| last + 1);
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
        let found =
            scan(&*self.disk, &file).context(FileSnafu { operation: "reading", file: &file })?;
        if let Some(version) = found.other_version {
            return UnsupportedFormatSnafu { file, version }.fail();
        }
        if is_last && found.damaged_bytes > 0 {
            recovery.torn_bytes = found.damaged_bytes;
            let cut = self.disk.truncate(&file, found.intact_bytes);
            cut.context(FileSnafu { operation: "cutting off the torn end of", file: &file })?;
        } else {
            recovery.damaged_bytes += found.damaged_bytes;
        }
        let bytes = found.intact_bytes;
        self.segments.insert(number, Segment { bytes, live_bytes: 0 });
        for record in found.records {
            self.index_record(number, &record);
        }
        Ok(())
    }

    fn index_record(&mut self, segment: SegmentNumber, record: &FoundRecord) {
        self.forget(&record.key);
        if record.kind == RecordKind::Chunk {
            let location = Location { segment, offset: record.offset, length: record.length };
            self.index.insert(record.key, location);
            if let Some(held) = self.segments.get_mut(&segment) {
                held.live_bytes += whole(record.length);
            }
        }
    }

    /// Takes a chunk off the index. Returns whether it was there.
    fn forget(&mut self, key: &ChunkKey) -> bool {
        let Some(location) = self.index.remove(key) else {
            return false;
        };
        if let Some(segment) = self.segments.get_mut(&location.segment) {
            segment.live_bytes = segment.live_bytes.saturating_sub(whole(location.length));
        }
        true
    }

    /// Stores a chunk durably. A chunk that is held already is not written again.
    ///
    /// # Errors
    /// [`StoreError::TooLarge`], [`StoreError::Full`] or [`StoreError::File`]; the chunk is then
    /// not held.
    pub fn put(&mut self, key: ChunkKey, data: &[u8]) -> Result<(), StoreError> {
        let (length, limit) = (data.len() as u64, self.settings.max_chunk_bytes);
        if length > limit {
            return TooLargeSnafu { length, limit }.fail();
        }
        if self.index.contains_key(&key) {
            return Ok(());
        }
        let used = self.usage().bytes;
        if used + length > self.settings.max_bytes {
            return FullSnafu { used, limit: self.settings.max_bytes }.fail();
        }
        let offset = self.append(&encode(RecordKind::Chunk, &key, data))?;
        let record =
            FoundRecord { kind: RecordKind::Chunk, key, offset, length: data.len() as u32 };
        self.index_record(self.active, &record);
        Ok(())
    }

    /// Reads a chunk; none when it is not held.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] when its checksum is wrong, which also takes it off the index, or
    /// [`StoreError::File`].
    pub fn get(&mut self, key: &ChunkKey) -> Result<Option<Vec<u8>>, StoreError> {
        let Some(location) = self.index.get(key).copied() else {
            return Ok(None);
        };
        let file = file_name(location.segment);
        let length = RECORD_HEADER + location.length as usize;
        let record = self.disk.read(&file, location.offset, length);
        let mut record = record.context(FileSnafu { operation: "reading", file: &file })?;
        let header = decode_header(&record).filter(|header| is_intact(header, &record));
        if header.is_none_or(|header| header.key != *key) {
            self.forget(key);
            return DamagedSnafu { file, offset: location.offset }.fail();
        }
        Ok(Some(record.split_off(RECORD_HEADER)))
    }

    /// Whether a chunk is held.
    pub fn contains(&self, key: &ChunkKey) -> bool {
        self.index.contains_key(key)
    }

    /// Removes a chunk durably. Returns whether it was held.
    ///
    /// # Errors
    /// [`StoreError::File`] when the removal cannot be written; the chunk is then held on.
    pub fn remove(&mut self, key: &ChunkKey) -> Result<bool, StoreError> {
        if !self.index.contains_key(key) {
            return Ok(false);
        }
        // The limit does not apply: a full store must be able to get rid of chunks.
        self.append(&encode(RecordKind::Removal, key, &[]))?;
        Ok(self.forget(key))
    }

    /// Keys of all chunks of which `wanted` is true.
    pub fn keys(&self, wanted: impl Fn(&ChunkKey) -> bool) -> Vec<ChunkKey> {
        self.index.keys().filter(|key| wanted(key)).copied().collect()
    }

    /// How much is stored.
    pub fn usage(&self) -> StoreUsage {
        StoreUsage {
            chunks: self.index.len() as u64,
            bytes: self.segments.values().map(|segment| segment.bytes).sum(),
            live_bytes: self.segments.values().map(|segment| segment.live_bytes).sum(),
        }
    }

    /// Copies what is still of use out of one segment that is mostly not, and removes it.
    /// Returns whether there was one. Called when there is nothing else to do.
    ///
    /// # Errors
    /// [`StoreError::File`]; nothing is lost, and the segment stays.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        let Some(number) = self.wasteful_segment() else {
            return Ok(false);
        };
        let kept = |location: &Location| location.segment == number;
        let keys: Vec<ChunkKey> =
            self.index.iter().filter(|(_, at)| kept(at)).map(|(key, _)| *key).collect();
        for key in keys {
            let Ok(Some(data)) = self.get(&key) else {
                continue;
            };
            let offset = self.append(&encode(RecordKind::Chunk, &key, &data))?;
            let record =
                FoundRecord { kind: RecordKind::Chunk, key, offset, length: data.len() as u32 };
            self.index_record(self.active, &record);
        }
        // The copies are durable before the originals go.
        let file = file_name(number);
        self.disk.remove(&file).context(FileSnafu { operation: "removing", file })?;
        self.segments.remove(&number);
        Ok(true)
    }

    /// The oldest segment, if it is mostly of no use. Only the oldest: a younger one may hold
    /// removals of chunks in an older one, and losing them would bring those chunks back.
    fn wasteful_segment(&self) -> Option<SegmentNumber> {
        let (number, segment) = self.segments.first_key_value()?;
        let wasted = segment.bytes.saturating_sub(segment.live_bytes);
        let is_wasteful = wasted * 100 >= segment.bytes * self.settings.compact_percent;
        (*number != self.active && is_wasteful).then_some(*number)
    }

    /// Appends to the active segment and returns where the record begins.
    fn append(&mut self, record: &[u8]) -> Result<u64, StoreError> {
        let is_over = self.segments.get(&self.active).is_some_and(|segment| {
            segment.bytes + record.len() as u64 > self.settings.segment_bytes
        });
        if is_over {
            self.active += 1;
        }
        let file = file_name(self.active);
        let offset = match self.segments.get(&self.active) {
            Some(segment) => segment.bytes,
            None => {
                self.write(&file, 0, &segment_header())?;
                SEGMENT_HEADER as u64
            }
        };
        self.write(&file, offset, record)?;
        let segment = self.segments.entry(self.active).or_default();
        segment.bytes = offset + record.len() as u64;
        Ok(offset)
    }

    /// Writes at the end of a file, which is `length` long. When that fails, the file is cut back:
    /// nothing may follow half a record.
    fn write(&mut self, file: &str, length: u64, bytes: &[u8]) -> Result<(), StoreError> {
        let Err(source) = self.disk.append(file, bytes) else {
            return Ok(());
        };
        if self.disk.truncate(file, length).is_err() {
            // The end is in an unknown state; the next record goes to a fresh segment, and the
            // next start cuts this one off or stops reading it there.
            self.active += 1;
        }
        if source.kind() == io::ErrorKind::StorageFull {
            let limit = self.settings.max_bytes;
            return FullSnafu { used: self.usage().bytes, limit }.fail();
        }
        Err(source).context(FileSnafu { operation: "appending to", file })
    }
}

fn whole(length: u32) -> u64 {
    RECORD_HEADER as u64 + u64::from(length)
}
