//! Reading the log back at the start.

use std::collections::BTreeMap;

use dahlia_types::Incarnation;
use snafu::{ResultExt, ensure};

use crate::disk::Disk;
use crate::error::{
    DamagedEndSnafu, DamagedSnafu, DiskOperation, InvalidHeaderSnafu, LogError,
    MissingSegmentSnafu, ReplaySnafu, UnsupportedVersionSnafu,
};
use crate::frame::read_frames;
use crate::replay::Replay;
use crate::segment::{HEADER_BYTES, Header, InvalidHeader, LogIdentity, file_name, number_of};

/// What the segments hold.
#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) replay: Replay,
    /// Bytes of each segment.
    pub(crate) segments: BTreeMap<u64, u64>,
    pub(crate) next_sequence: u64,
    pub(crate) identity: Option<LogIdentity>,
}

/// Reads all segments, and cuts off what a loss of power tore.
///
/// # Errors
/// [`LogError`] when anything but the end of the last segment is damaged.
pub(crate) fn read_all(disk: &mut dyn Disk) -> Result<Found, LogError> {
    let names =
        disk.list().map_err(|source| LogError::io(DiskOperation::List, "the folder", source))?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| number_of(name)).collect();
    numbers.sort_unstable();
    let mut found = Found::default();
    let Some(last) = numbers.last().copied() else { return Ok(found) };
    for (number, expected) in numbers.iter().copied().zip(numbers[0]..) {
        ensure!(number == expected, MissingSegmentSnafu { name: file_name(expected) });
        read_segment(disk, number, number == last, &mut found)?;
    }
    sync_read(disk, last)?;
    Ok(found)
}

/// A process that died between a write and its sync leaves frames that a loss of power may still
/// take. What follows builds on them, so they must be as durable as all others.
fn sync_read(disk: &mut dyn Disk, last: u64) -> Result<(), LogError> {
    let name = file_name(last);
    disk.sync(&name).map_err(|source| LogError::io(DiskOperation::Sync, &name, source))
}

fn read_segment(
    disk: &mut dyn Disk,
    number: u64,
    is_last: bool,
    found: &mut Found,
) -> Result<(), LogError> {
    let name = file_name(number);
    let bytes =
        disk.read(&name).map_err(|source| LogError::io(DiskOperation::Read, &name, source))?;
    let header = match Header::decode(&bytes) {
        Ok(header) => header,
        Err(InvalidHeader::UnsupportedVersion(version)) => {
            return UnsupportedVersionSnafu { name, version }.fail();
        }
        Err(InvalidHeader::Damaged) => {
            ensure!(is_last && never_began(&bytes, number, found), InvalidHeaderSnafu { name });
            // Its name may stay, so that the next segment takes it over.
            return Ok(());
        }
    };
    let follows = found.identity.is_none() || header.first_sequence == found.next_sequence;
    // It rises only in a log without groups; see `DurableLog::advance_incarnation`.
    let rises = found.identity.is_none_or(|known| known.incarnation <= header.identity.incarnation);
    ensure!(header.number == number && follows && rises, InvalidHeaderSnafu { name });
    let read = read_frames(&bytes[HEADER_BYTES..], header.first_sequence);
    let (frames, taken) = read.context(DamagedSnafu { name: &name })?;
    let length = HEADER_BYTES + taken;
    if length < bytes.len() {
        ensure!(is_last, DamagedEndSnafu { name, offset: length });
        cut(disk, &name, length as u64)?;
    }
    found.identity = Some(header.identity);
    found.next_sequence = header.first_sequence + frames.len() as u64;
    found.segments.insert(number, length as u64);
    for change in frames.into_iter().flat_map(|frame| frame.records) {
        found.replay.take(change, number).context(ReplaySnafu { name: &name })?;
    }
    Ok(())
}

/// Whether a segment with a damaged header lost power before its header was synced: then no frame
/// was ever in it. The first of a log with removed segments was synced for certain.
fn never_began(bytes: &[u8], number: u64, found: &Found) -> bool {
    let is_first = found.identity.is_none();
    let frames = read_frames(bytes.get(HEADER_BYTES..).unwrap_or_default(), found.next_sequence);
    let is_empty = frames.is_ok_and(|(frames, _)| frames.is_empty());
    is_empty && (!is_first || number == 0)
}

/// Cuts off the torn end of a segment.
pub(crate) fn cut(disk: &mut dyn Disk, name: &str, length: u64) -> Result<(), LogError> {
    disk.truncate(name, length).map_err(|source| LogError::io(DiskOperation::Cut, name, source))
}

/// Who goes on with the log.
pub(crate) fn next_identity(found: Option<LogIdentity>, fresh: Incarnation) -> LogIdentity {
    found.map_or(LogIdentity { incarnation: fresh, start_count: 1 }, |known| LogIdentity {
        start_count: known.start_count.saturating_add(1),
        ..known
    })
}
