//! The log of one daemon: opening, appending, dropping what newer images cover.

use std::collections::BTreeMap;

use dahlia_replication::group::{DurableChange, DurableReplica};
use dahlia_types::{GroupId, Incarnation};
use snafu::ResultExt;

use crate::disk::Disk;
use crate::error::{DiskOperation, EncodeSnafu, LogError, ReplaySnafu};
use crate::frame::encode_frame;
use crate::open::{cut, next_identity, read_all};
use crate::replay::ImagePlace;
use crate::segment::{Header, LogIdentity, file_name};
use crate::settings::DurableSettings;

/// Images are written again only when changes outweigh them this many times, so that a large
/// state does not make the log write nothing but images.
const IMAGES_FACTOR: u64 = 2;
/// Each start begins a segment: more than this many are too many files to read back.
const MOST_SEGMENTS: usize = 32;

/// The log of a daemon's groups. All calls block on the disk.
pub struct DurableLog {
    disk: Box<dyn Disk>,
    settings: DurableSettings,
    identity: LogIdentity,
    /// Synced bytes of each segment. The last one is written to.
    segments: BTreeMap<u64, u64>,
    current: u64,
    next_sequence: u64,
    images: BTreeMap<GroupId, ImagePlace>,
    /// Whether a failed write may have left bytes behind the synced ones.
    needs_cut: bool,
}

/// A log that was opened.
pub struct OpenedLog {
    /// The log, ready to be appended to.
    pub log: DurableLog,
    /// The replicas as they were when their last change became durable.
    pub replicas: Vec<DurableReplica>,
}

impl DurableLog {
    /// Opens the log in a folder, or begins one with the incarnation `fresh` when the folder is
    /// empty. The identity is durable when this returns.
    ///
    /// # Errors
    /// [`LogError`]: the disk failed, or what it holds was damaged otherwise than by a loss of
    /// power.
    pub fn open(
        mut disk: Box<dyn Disk>,
        settings: DurableSettings,
        fresh: Incarnation,
    ) -> Result<OpenedLog, LogError> {
        let found = read_all(disk.as_mut())?;
        let (replicas, images) =
            found.replay.finish().context(ReplaySnafu { name: "the whole log" })?;
        let current = found.segments.last_key_value().map_or(0, |(number, _)| number + 1);
        let mut log = Self {
            disk,
            settings,
            identity: next_identity(found.identity, fresh),
            segments: found.segments,
            current,
            next_sequence: found.next_sequence,
            images,
            needs_cut: false,
        };
        log.begin_segment(current)?;
        log.drop_covered();
        Ok(OpenedLog { log, replicas })
    }

    /// Opens the log as [`Self::open`] does. While the disk is too full for the beginning of a
    /// segment, calls `wait` and tries again on a new `disk`.
    ///
    /// # Errors
    /// As [`Self::open`], except for a full disk.
    pub fn open_waiting_for_space(
        mut disk: impl FnMut() -> Box<dyn Disk>,
        settings: &DurableSettings,
        fresh: Incarnation,
        mut wait: impl FnMut(&LogError),
    ) -> Result<OpenedLog, LogError> {
        loop {
            match Self::open(disk(), settings.clone(), fresh) {
                Err(error) if error.is_full() => wait(&error),
                opened_or_failed => return opened_or_failed,
            }
        }
    }

    /// Whose log it is.
    pub fn identity(&self) -> LogIdentity {
        self.identity
    }

    /// Bytes on the disk.
    pub fn bytes(&self) -> u64 {
        self.segments.values().sum()
    }

    /// Makes changes durable by one write and one sync. They count together or not at all.
    ///
    /// # Errors
    /// [`LogError`]; nothing of the changes counts. After [`LogError::Full`] the same changes may
    /// be given again.
    pub fn append(&mut self, changes: &[DurableChange]) -> Result<(), LogError> {
        let frame = encode_frame(self.next_sequence, changes).context(EncodeSnafu)?;
        self.cut_failed_write()?;
        if self.written() >= self.settings.segment_bytes {
            self.begin_segment(self.current + 1)?;
        }
        self.write(&frame)?;
        self.next_sequence += 1;
        for change in changes {
            if let DurableChange::Image(image) = change {
                self.images.insert(image.group, ImagePlace::of(image, self.current));
            }
        }
        self.drop_covered();
        Ok(())
    }

    /// Takes an incarnation later than `after`, for a log that has no groups yet. Returns whether
    /// it did.
    ///
    /// A daemon that lost its disk draws its incarnation from the clock. If the clock was set
    /// back meanwhile, the earlier life stays the later one for all others, at each start anew.
    ///
    /// # Errors
    /// [`LogError`]; the identity is then as before.
    pub fn advance_incarnation(&mut self, after: Incarnation) -> Result<bool, LogError> {
        let is_older = self.identity.incarnation <= after;
        if !self.images.is_empty() || !is_older {
            return Ok(false);
        }
        let earlier = self.identity;
        self.identity = LogIdentity { incarnation: Incarnation(after.0 + 1), start_count: 0 };
        if let Err(error) = self.begin_segment(self.current + 1) {
            self.identity = earlier;
            return Err(error);
        }
        self.drop_covered();
        Ok(true)
    }

    /// Groups to be recorded anew as a whole, so that old segments can be removed.
    pub fn groups_needing_image(&self) -> Vec<GroupId> {
        let images: u64 = self.images.values().map(|image| image.bytes).sum();
        let limit = self.settings.compact_above_bytes + IMAGES_FACTOR * images;
        if self.bytes() <= limit && self.segments.len() <= MOST_SEGMENTS {
            return Vec::new();
        }
        let oldest = self.oldest_needed();
        let is_oldest = |image: &ImagePlace| image.segment == oldest && oldest < self.current;
        let wanted = self.images.iter().filter(|(_, image)| is_oldest(image));
        wanted.map(|(group, _)| *group).collect()
    }

    fn written(&self) -> u64 {
        self.segments.get(&self.current).copied().unwrap_or(0)
    }

    fn write(&mut self, frame: &[u8]) -> Result<(), LogError> {
        let name = file_name(self.current);
        // Until the sync has returned, what is behind the synced bytes is unknown.
        self.needs_cut = true;
        let written = self.disk.append(&name, frame);
        written.map_err(|source| LogError::io(DiskOperation::Write, &name, source))?;
        self.disk.sync(&name).map_err(|source| LogError::io(DiskOperation::Sync, &name, source))?;
        self.needs_cut = false;
        *self.segments.entry(self.current).or_default() += frame.len() as u64;
        Ok(())
    }

    fn cut_failed_write(&mut self) -> Result<(), LogError> {
        if self.needs_cut {
            let synced = self.written();
            cut(self.disk.as_mut(), &file_name(self.current), synced)?;
            self.needs_cut = false;
        }
        Ok(())
    }

    fn begin_segment(&mut self, number: u64) -> Result<(), LogError> {
        let name = file_name(number);
        let header =
            Header { number, first_sequence: self.next_sequence, identity: self.identity }.encode();
        let disk = self.disk.as_mut();
        let begun = disk
            .create(&name)
            .and_then(|()| disk.append(&name, &header))
            .and_then(|()| disk.sync(&name))
            .and_then(|()| disk.sync_folder());
        begun.map_err(|source| LogError::io(DiskOperation::Create, &name, source))?;
        self.segments.insert(number, header.len() as u64);
        self.current = number;
        Ok(())
    }

    /// The oldest segment that some group's image stands in.
    fn oldest_needed(&self) -> u64 {
        self.images.values().map(|image| image.segment).min().unwrap_or(self.current)
    }

    /// Removes segments that newer images cover, the oldest first. Each removal is synced before
    /// the next: a removed name that came back behind a gap could not be told from damage.
    fn drop_covered(&mut self) {
        let needed = self.oldest_needed();
        while let Some((number, _)) = self.segments.first_key_value().filter(|it| *it.0 < needed) {
            let number = *number;
            let name = file_name(number);
            let is_gone = match self.disk.remove(&name) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
                _ => self.disk.sync_folder(),
            };
            if let Err(error) = is_gone {
                // Costs space only; the next append tries again.
                log::warn!(target: "durable", "Removing {name} failed: {error}.");
                return;
            }
            self.segments.remove(&number);
        }
    }
}
