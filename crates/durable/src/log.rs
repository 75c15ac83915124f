//! The write-ahead log of one daemon: opening, appending and removing obsolete segments.

use std::collections::BTreeMap;

use dahlia_replication::group::{DurableChange, DurableReplica};
use dahlia_types::{GroupId, Incarnation};
use snafu::ResultExt;

use crate::disk::Disk;
use crate::error::{DiskOperation, EncodeSnafu, LogError, ReplaySnafu};
use crate::frame::encode_frame;
use crate::open::{next_identity, read_segments, truncate_segment};
use crate::replay::ImageLocation;
use crate::segment::{Header, LogIdentity, file_name};
use crate::settings::DurableSettings;

/// New images are requested only when the log exceeds `compact_above_bytes` by this many times the
/// size of all images. With a large state the log would otherwise write nothing but images.
const IMAGE_BYTES_FACTOR: u64 = 2;
/// More segments than this trigger compaction. Each start creates a segment, so the number of files
/// to read back would otherwise grow with every restart.
const MAX_SEGMENTS: usize = 32;

/// The write-ahead log of a daemon's groups. All calls block on the disk.
pub struct DurableLog {
    disk: Box<dyn Disk>,
    settings: DurableSettings,
    identity: LogIdentity,
    /// The synced bytes of each segment. Frames are appended to the last one.
    segments: BTreeMap<u64, u64>,
    current_segment: u64,
    next_sequence: u64,
    images: BTreeMap<GroupId, ImageLocation>,
    /// Whether a failed write may have left bytes after the synced ones.
    needs_truncation: bool,
    /// Whether the file of the next segment may exist, because its start failed. Nothing may be
    /// written to the current segment then: the file's header would contradict it.
    has_unfinished_segment: bool,
}

/// An opened log and the replicas read from it.
pub struct OpenedLog {
    /// The log, ready to be appended to.
    pub log: DurableLog,
    /// The replicas as of their last durable change.
    pub replicas: Vec<DurableReplica>,
}

impl DurableLog {
    /// Opens the log in a folder, or creates one with the incarnation `new_incarnation` if the
    /// folder is empty. The identity is durable when this returns.
    ///
    /// # Errors
    /// [`LogError`] if the disk failed or the log has damage that a power loss does not explain.
    pub fn open(
        mut disk: Box<dyn Disk>,
        settings: DurableSettings,
        new_incarnation: Incarnation,
    ) -> Result<OpenedLog, LogError> {
        let contents = read_segments(disk.as_mut())?;
        let (replicas, images) =
            contents.replay.finish().context(ReplaySnafu { name: "the whole log" })?;
        let current_segment =
            contents.segments.last_key_value().map_or(0, |(number, _)| number + 1);
        let mut log = Self {
            disk,
            settings,
            identity: next_identity(contents.identity, new_incarnation),
            segments: contents.segments,
            current_segment,
            next_sequence: contents.next_sequence,
            images,
            needs_truncation: false,
            has_unfinished_segment: false,
        };
        log.start_segment(current_segment)?;
        log.remove_obsolete_segments();
        Ok(OpenedLog { log, replicas })
    }

    /// Opens the log like [`Self::open`]. While the disk has no space for the header of a segment,
    /// calls `wait` and retries on a new `disk`.
    ///
    /// # Errors
    /// As [`Self::open`], except for a full disk.
    pub fn open_waiting_for_space(
        mut disk: impl FnMut() -> Box<dyn Disk>,
        settings: &DurableSettings,
        new_incarnation: Incarnation,
        mut wait: impl FnMut(&LogError),
    ) -> Result<OpenedLog, LogError> {
        loop {
            match Self::open(disk(), settings.clone(), new_incarnation) {
                Err(error) if error.is_full() => wait(&error),
                opened_or_failed => return opened_or_failed,
            }
        }
    }

    /// The identity of the process that owns the log.
    pub fn identity(&self) -> LogIdentity {
        self.identity
    }

    /// The size of the log on the disk in bytes.
    pub fn bytes(&self) -> u64 {
        self.segments.values().sum()
    }

    /// Makes changes durable by one write and one sync. The batch is atomic.
    ///
    /// # Errors
    /// [`LogError`], in which case none of the changes counts as written. After [`LogError::Full`]
    /// the same changes can be appended again.
    pub fn append(&mut self, changes: &[DurableChange]) -> Result<(), LogError> {
        let frame = encode_frame(self.next_sequence, changes).context(EncodeSnafu)?;
        self.truncate_failed_write()?;
        let is_current_full = self.current_segment_bytes() >= self.settings.segment_bytes;
        if is_current_full || self.has_unfinished_segment {
            self.start_segment(self.current_segment + 1)?;
        }
        self.write_frame(&frame)?;
        self.next_sequence += 1;
        for change in changes {
            if let DurableChange::Image(image) = change {
                self.images.insert(image.group, ImageLocation::of(image, self.current_segment));
            }
        }
        self.remove_obsolete_segments();
        Ok(())
    }

    /// Moves to an incarnation later than `after` if the log has no groups yet. Returns whether it
    /// did.
    ///
    /// A daemon that lost its disk takes its incarnation from the clock. If the clock was set back
    /// in the meantime, other daemons regard the earlier process as the later one, after every
    /// restart.
    ///
    /// # Errors
    /// [`LogError`], in which case this process keeps its identity and can append. The next one has
    /// either incarnation if nothing was appended, and otherwise this process's.
    pub fn advance_incarnation(&mut self, after: Incarnation) -> Result<bool, LogError> {
        let is_older = self.identity.incarnation <= after;
        if !self.images.is_empty() || !is_older {
            return Ok(false);
        }
        // A segment that another one follows must end with its synced bytes.
        self.truncate_failed_write()?;
        let previous = self.identity;
        self.identity = LogIdentity { incarnation: Incarnation(after.0 + 1), start_count: 0 };
        if let Err(error) = self.start_segment(self.current_segment + 1) {
            self.identity = previous;
            return Err(error);
        }
        self.remove_obsolete_segments();
        Ok(true)
    }

    /// The groups of which an image should be appended, so that the oldest segment can be removed.
    pub fn groups_needing_image(&self) -> Vec<GroupId> {
        let images: u64 = self.images.values().map(|image| image.bytes).sum();
        let limit = self.settings.compact_above_bytes + IMAGE_BYTES_FACTOR * images;
        if self.bytes() <= limit && self.segments.len() <= MAX_SEGMENTS {
            return Vec::new();
        }
        let oldest = self.oldest_needed_segment();
        let is_oldest =
            |image: &ImageLocation| image.segment == oldest && oldest < self.current_segment;
        let wanted = self.images.iter().filter(|(_, image)| is_oldest(image));
        wanted.map(|(group, _)| *group).collect()
    }

    fn current_segment_bytes(&self) -> u64 {
        self.segments.get(&self.current_segment).copied().unwrap_or(0)
    }

    fn write_frame(&mut self, frame: &[u8]) -> Result<(), LogError> {
        let name = file_name(self.current_segment);
        // The contents after the synced bytes are unknown until the sync returns.
        self.needs_truncation = true;
        let written = self.disk.append(&name, frame);
        written.map_err(|source| LogError::io(DiskOperation::Write, &name, source))?;
        self.disk.sync(&name).map_err(|source| LogError::io(DiskOperation::Sync, &name, source))?;
        self.needs_truncation = false;
        *self.segments.entry(self.current_segment).or_default() += frame.len() as u64;
        Ok(())
    }

    fn truncate_failed_write(&mut self) -> Result<(), LogError> {
        if self.needs_truncation {
            let synced = self.current_segment_bytes();
            truncate_segment(self.disk.as_mut(), &file_name(self.current_segment), synced)?;
            self.needs_truncation = false;
        }
        Ok(())
    }

    fn start_segment(&mut self, number: u64) -> Result<(), LogError> {
        let name = file_name(number);
        let header =
            Header { number, first_sequence: self.next_sequence, identity: self.identity }.encode();
        let disk = self.disk.as_mut();
        self.has_unfinished_segment = true;
        let created = disk
            .create(&name)
            .and_then(|()| disk.append(&name, &header))
            .and_then(|()| disk.sync(&name))
            .and_then(|()| disk.sync_folder());
        created.map_err(|source| LogError::io(DiskOperation::Create, &name, source))?;
        self.has_unfinished_segment = false;
        self.segments.insert(number, header.len() as u64);
        self.current_segment = number;
        Ok(())
    }

    /// The oldest segment that contains the newest image of a group.
    fn oldest_needed_segment(&self) -> u64 {
        self.images.values().map(|image| image.segment).min().unwrap_or(self.current_segment)
    }

    /// Removes segments that are superseded by newer images, the oldest first. Each removal is
    /// synced before the next one. Otherwise a power loss could restore a file before a gap in the
    /// numbers, which looks like damage.
    fn remove_obsolete_segments(&mut self) {
        let needed = self.oldest_needed_segment();
        while let Some((number, _)) = self.segments.first_key_value().filter(|it| *it.0 < needed) {
            let number = *number;
            let name = file_name(number);
            let removed = match self.disk.remove(&name) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
                _ => self.disk.sync_folder(),
            };
            if let Err(error) = removed {
                // A failed removal only costs space; the next append retries it.
                log::warn!(target: "durable", "Removing {name} failed: {error}.");
                return;
            }
            self.segments.remove(&number);
        }
    }
}
