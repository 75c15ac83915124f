//! Reads the log back when it is opened.

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
use crate::segment::{
    HEADER_BYTES, Header, InvalidHeader, LogIdentity, file_name, parse_file_name,
};

/// The contents of all segments.
#[derive(Debug, Default)]
pub(crate) struct LogContents {
    pub(crate) replay: Replay,
    /// The size of each segment in bytes.
    pub(crate) segments: BTreeMap<u64, u64>,
    pub(crate) next_sequence: u64,
    pub(crate) identity: Option<LogIdentity>,
    /// Whether bytes follow the last intact frame of the last segment.
    has_torn_end: bool,
}

/// The bytes of one segment's file.
struct SegmentFile {
    number: u64,
    name: String,
    bytes: Vec<u8>,
}

/// Reads all segments and truncates a torn end of the last one that a power loss left.
///
/// # Errors
/// [`LogError`] when anything else is damaged.
pub(crate) fn read_segments(disk: &mut dyn Disk) -> Result<LogContents, LogError> {
    let mut numbers = segment_numbers(disk)?.into_iter();
    let mut contents = LogContents::default();
    let mut next = read_next_file(disk, &mut numbers)?;
    while let Some(segment) = next {
        next = read_next_file(disk, &mut numbers)?;
        read_segment(&segment, next.as_ref(), &mut contents)?;
    }
    let Some((last, length)) = contents.segments.last_key_value() else { return Ok(contents) };
    let name = file_name(*last);
    if contents.has_torn_end {
        truncate_segment(disk, &name, *length)?;
    }
    make_durable(disk, &name)?;
    // The next segment's name must not outlive the names before it.
    let synced = disk.sync_folder();
    synced.map_err(|source| LogError::io(DiskOperation::Sync, "the folder", source))?;
    Ok(contents)
}

/// The numbers of all segments in order, without a gap.
fn segment_numbers(disk: &dyn Disk) -> Result<Vec<u64>, LogError> {
    let names =
        disk.list().map_err(|source| LogError::io(DiskOperation::List, "the folder", source))?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| parse_file_name(name)).collect();
    numbers.sort_unstable();
    let first = numbers.first().copied().unwrap_or(0);
    for (number, expected) in numbers.iter().copied().zip(first..) {
        ensure!(number == expected, MissingSegmentSnafu { name: file_name(expected) });
    }
    Ok(numbers)
}

fn read_next_file(
    disk: &dyn Disk,
    numbers: &mut impl Iterator<Item = u64>,
) -> Result<Option<SegmentFile>, LogError> {
    let Some(number) = numbers.next() else { return Ok(None) };
    let name = file_name(number);
    let bytes = read_file(disk, &name)?;
    Ok(Some(SegmentFile { number, name, bytes }))
}

fn read_file(disk: &dyn Disk, name: &str) -> Result<Vec<u8>, LogError> {
    disk.read(name).map_err(|source| LogError::io(DiskOperation::Read, name, source))
}

/// Makes the last segment durable. A process that ended between a write and its sync, or after a
/// failed sync, leaves bytes that can be read and that a power loss can still erase. Later frames and
/// segments depend on them. After a failed sync another one does not cover them, so they are written
/// again.
fn make_durable(disk: &mut dyn Disk, name: &str) -> Result<(), LogError> {
    let bytes = read_file(disk, name)?;
    let rewritten = disk.rewrite(name, &bytes);
    rewritten.map_err(|source| LogError::io(DiskOperation::Write, name, source))?;
    disk.sync(name).map_err(|source| LogError::io(DiskOperation::Sync, name, source))
}

fn read_segment(
    segment: &SegmentFile,
    next: Option<&SegmentFile>,
    contents: &mut LogContents,
) -> Result<(), LogError> {
    let SegmentFile { number, name, bytes } = segment;
    let header = match Header::decode(bytes) {
        Ok(header) => header,
        Err(InvalidHeader::UnsupportedVersion(version)) => {
            return UnsupportedVersionSnafu { name, version }.fail();
        }
        Err(InvalidHeader::Damaged) => {
            ensure!(
                next.is_none() && is_unsynced_segment(bytes, *number, contents),
                InvalidHeaderSnafu { name }
            );
            // The file may stay: the next segment gets the same number and overwrites it.
            return Ok(());
        }
    };
    let is_contiguous =
        contents.identity.is_none() || header.first_sequence == contents.next_sequence;
    // The incarnation increases only in a log without groups; see
    // `DurableLog::advance_incarnation`.
    let is_ordered =
        contents.identity.is_none_or(|known| known.incarnation <= header.identity.incarnation);
    ensure!(header.number == *number && is_contiguous && is_ordered, InvalidHeaderSnafu { name });
    let read = read_frames(&bytes[HEADER_BYTES..], header.first_sequence);
    let (mut frames, _) = read.context(DamagedSnafu { name })?;
    let end =
        next.and_then(|next| Header::decode(&next.bytes).ok()).map(|next| next.first_sequence);
    // What follows the frames before the next segment was cut off before that segment was created.
    // A power loss can undo the cut if its sync failed.
    frames.retain(|frame| end.is_none_or(|end| frame.sequence < end));
    let length = HEADER_BYTES + frames.iter().map(|frame| frame.bytes).sum::<usize>();
    let next_sequence = header.first_sequence + frames.len() as u64;
    let is_torn = length < bytes.len();
    let is_complete = end.is_none_or(|end| next_sequence == end);
    ensure!(is_complete || !is_torn, DamagedEndSnafu { name, offset: length });
    contents.has_torn_end = is_torn && end.is_none();
    contents.identity = Some(header.identity);
    contents.next_sequence = next_sequence;
    contents.segments.insert(*number, length as u64);
    for change in frames.into_iter().flat_map(|frame| frame.records) {
        contents.replay.apply(change, *number).context(ReplaySnafu { name })?;
    }
    Ok(())
}

/// Whether a power loss damaged a segment's header before the header was synced. Such a segment
/// never held a frame. The first segment of a log with removed segments was certainly synced.
fn is_unsynced_segment(bytes: &[u8], number: u64, contents: &LogContents) -> bool {
    let is_first = contents.identity.is_none();
    let frames = read_frames(bytes.get(HEADER_BYTES..).unwrap_or_default(), contents.next_sequence);
    let is_empty = frames.is_ok_and(|(frames, _)| frames.is_empty());
    is_empty && (!is_first || number == 0)
}

/// Truncates a segment to `length` bytes, which removes its torn end.
pub(crate) fn truncate_segment(
    disk: &mut dyn Disk,
    name: &str,
    length: u64,
) -> Result<(), LogError> {
    disk.truncate(name, length).map_err(|source| LogError::io(DiskOperation::Cut, name, source))
}

/// The identity of the process that opens the log: one more start of the same incarnation, or the
/// first start of `new_incarnation` if the log is empty.
pub(crate) fn next_identity(
    previous: Option<LogIdentity>,
    new_incarnation: Incarnation,
) -> LogIdentity {
    previous.map_or(LogIdentity { incarnation: new_incarnation, start_count: 1 }, |previous| {
        LogIdentity { start_count: previous.start_count.saturating_add(1), ..previous }
    })
}
