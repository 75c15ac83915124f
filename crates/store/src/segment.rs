//! Reads a segment back at the start.

use std::io;

use dahlia_types::ChunkKey;

use crate::disk::Disk;
use crate::record::{
    RECORD_HEADER_BYTES, RecordHeader, RecordKind, SEGMENT_HEADER_BYTES, decode_header,
    decode_segment_version, is_intact,
};

/// The number of a segment; later segments have larger numbers.
pub(crate) type SegmentNumber = u64;

const PREFIX: &str = "segment-";
const SUFFIX: &str = ".chunks";

/// The file name of a segment.
pub(crate) fn file_name(number: SegmentNumber) -> String {
    format!("{PREFIX}{number:012}{SUFFIX}")
}

/// The number of the segment in a file of this name. None for other files.
pub(crate) fn parse_file_name(name: &str) -> Option<SegmentNumber> {
    name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?.parse().ok()
}

/// A record found in a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RecordLocation {
    pub(crate) kind: RecordKind,
    pub(crate) key: ChunkKey,
    pub(crate) offset: u64,
    pub(crate) length: u32,
}

/// The result of reading a segment.
#[derive(Debug, Default)]
pub(crate) struct SegmentScan {
    /// The intact records before the first torn or damaged one.
    pub(crate) records: Vec<RecordLocation>,
    /// Where the last intact record ends.
    pub(crate) intact_bytes: u64,
    /// Bytes after the last intact record.
    pub(crate) damaged_bytes: u64,
    /// The format version of the segment, if this build does not read it.
    pub(crate) unsupported_version: Option<u32>,
}

/// Reads the records of a segment before the first one that is torn or damaged. The records after
/// that one cannot be located.
///
/// # Errors
/// An I/O error when the file cannot be read.
pub(crate) fn scan_segment(disk: &dyn Disk, name: &str) -> io::Result<SegmentScan> {
    let length = disk.length(name)?;
    let mut scan = SegmentScan::default();
    if length < SEGMENT_HEADER_BYTES as u64 {
        scan.damaged_bytes = length;
        return Ok(scan);
    }
    match decode_segment_version(&disk.read(name, 0, SEGMENT_HEADER_BYTES)?) {
        Some(crate::FORMAT_VERSION) => {}
        Some(version) => {
            scan.unsupported_version = Some(version);
            return Ok(scan);
        }
        None => {
            scan.damaged_bytes = length;
            return Ok(scan);
        }
    }
    scan.intact_bytes = first_record_offset(disk, name, length)?;
    while let Some(record) = next_record(disk, name, scan.intact_bytes, length)? {
        scan.intact_bytes += RECORD_HEADER_BYTES as u64 + u64::from(record.length);
        scan.records.push(record);
    }
    scan.damaged_bytes = length - scan.intact_bytes;
    Ok(scan)
}

/// Returns where the records begin. Earlier builds could write the header of a segment twice.
fn first_record_offset(disk: &dyn Disk, name: &str, length: u64) -> io::Result<u64> {
    let header_bytes = SEGMENT_HEADER_BYTES as u64;
    if length < 2 * header_bytes {
        return Ok(header_bytes);
    }
    let repeated = disk.read(name, header_bytes, SEGMENT_HEADER_BYTES)?;
    let is_repeated = decode_segment_version(&repeated) == Some(crate::FORMAT_VERSION);
    Ok(if is_repeated { 2 * header_bytes } else { header_bytes })
}

fn next_record(
    disk: &dyn Disk,
    name: &str,
    offset: u64,
    length: u64,
) -> io::Result<Option<RecordLocation>> {
    let remaining = length - offset;
    if remaining < RECORD_HEADER_BYTES as u64 {
        return Ok(None);
    }
    let Some(header) = decode_header(&disk.read(name, offset, RECORD_HEADER_BYTES)?) else {
        return Ok(None);
    };
    let record_bytes = RECORD_HEADER_BYTES as u64 + u64::from(header.length);
    // A damaged length must not cause an allocation larger than the file.
    if record_bytes > remaining {
        return Ok(None);
    }
    let record = disk.read(name, offset, record_bytes as usize)?;
    if !is_intact(&header, &record) {
        return Ok(None);
    }
    let RecordHeader { kind, key, length, .. } = header;
    Ok(Some(RecordLocation { kind, key, offset, length }))
}
