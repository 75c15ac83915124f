//! Reading a segment back at the start.

use std::io;

use dahlia_types::ChunkKey;

use crate::disk::Disk;
use crate::record::{
    RECORD_HEADER, RecordHeader, RecordKind, SEGMENT_HEADER, decode_header, is_intact,
    segment_version,
};

/// Number of a segment; later ones are larger.
pub(crate) type SegmentNumber = u64;

const PREFIX: &str = "segment-";
const SUFFIX: &str = ".chunks";

/// The file of a segment.
pub(crate) fn file_name(number: SegmentNumber) -> String {
    format!("{PREFIX}{number:012}{SUFFIX}")
}

/// The number of a segment's file. None for other files.
pub(crate) fn number_of(name: &str) -> Option<SegmentNumber> {
    name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?.parse().ok()
}

/// A record found in a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FoundRecord {
    pub(crate) kind: RecordKind,
    pub(crate) key: ChunkKey,
    pub(crate) offset: u64,
    pub(crate) length: u32,
}

/// What reading a segment gave.
#[derive(Debug, Default)]
pub(crate) struct Scan {
    /// Intact records up to the first that is not.
    pub(crate) records: Vec<FoundRecord>,
    /// Where the last intact record ends.
    pub(crate) intact_bytes: u64,
    /// Bytes behind it.
    pub(crate) damaged_bytes: u64,
    /// A version that this build does not read.
    pub(crate) other_version: Option<u32>,
}

/// Reads all records of a segment, up to the first that is torn or damaged: what follows it has
/// no known place.
///
/// # Errors
/// An I/O error when the file cannot be read.
pub(crate) fn scan(disk: &dyn Disk, name: &str) -> io::Result<Scan> {
    let length = disk.length(name)?;
    let mut scan = Scan::default();
    if length < SEGMENT_HEADER as u64 {
        scan.damaged_bytes = length;
        return Ok(scan);
    }
    match segment_version(&disk.read(name, 0, SEGMENT_HEADER)?) {
        Some(crate::FORMAT_VERSION) => {}
        Some(version) => {
            scan.other_version = Some(version);
            return Ok(scan);
        }
        None => {
            scan.damaged_bytes = length;
            return Ok(scan);
        }
    }
    scan.intact_bytes = SEGMENT_HEADER as u64;
    while let Some(found) = next_record(disk, name, scan.intact_bytes, length)? {
        scan.intact_bytes += RECORD_HEADER as u64 + u64::from(found.length);
        scan.records.push(found);
    }
    scan.damaged_bytes = length - scan.intact_bytes;
    Ok(scan)
}

fn next_record(
    disk: &dyn Disk,
    name: &str,
    offset: u64,
    length: u64,
) -> io::Result<Option<FoundRecord>> {
    let left = length - offset;
    if left < RECORD_HEADER as u64 {
        return Ok(None);
    }
    let Some(header) = decode_header(&disk.read(name, offset, RECORD_HEADER)?) else {
        return Ok(None);
    };
    let whole = RECORD_HEADER as u64 + u64::from(header.length);
    // A damaged length must not make us allocate more than the file holds.
    if whole > left {
        return Ok(None);
    }
    let record = disk.read(name, offset, whole as usize)?;
    if !is_intact(&header, &record) {
        return Ok(None);
    }
    let RecordHeader { kind, key, length, .. } = header;
    Ok(Some(FoundRecord { kind, key, offset, length }))
}
