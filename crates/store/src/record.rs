//! The format of segments and records, version 1. All numbers are little-endian.
//!
//! A segment begins with a header of 12 bytes: the magic `DAHLCHNK` and the version (u32). Records
//! follow:
//!
//! | bytes | field |
//! |---|---|
//! | 4 | CRC-32C (RFC 3720, appendix B.4) over everything after it |
//! | 1 | kind: 1 chunk, 2 removal |
//! | 4 | length of the data; 0 for a removal |
//! | 4 + 8 | program: group, number |
//! | 32 | digest of the chunk |
//! | n | data |

use dahlia_types::{ChunkKey, GroupId, ProgramId};

/// The format version that this build writes and reads.
pub const FORMAT_VERSION: u32 = 1;

const MAGIC: &[u8; 8] = b"DAHLCHNK";
/// Size of a segment's header.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 12;
/// Size of a record's header.
pub(crate) const RECORD_HEADER_BYTES: usize = 53;
const CHECKSUM_END: usize = 4;
const KIND_OFFSET: usize = 4;
const LENGTH_OFFSET: usize = 5;
const GROUP_OFFSET: usize = 9;
const NUMBER_OFFSET: usize = 13;
const DIGEST_OFFSET: usize = 21;
const KIND_CHUNK: u8 = 1;
const KIND_REMOVAL: u8 = 2;

/// The kind of a record: a chunk that was written or one that was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordKind {
    Chunk,
    Removal,
}

/// The header of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RecordHeader {
    pub(crate) kind: RecordKind,
    pub(crate) length: u32,
    pub(crate) key: ChunkKey,
    checksum: u32,
}

/// Encodes the header of a new segment.
pub(crate) fn encode_segment_header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    bytes
}

/// Reads the format version from a segment's header. None if it is not such a header.
pub(crate) fn decode_segment_version(header: &[u8]) -> Option<u32> {
    let version = header.strip_prefix(MAGIC.as_slice())?;
    Some(u32::from_le_bytes(version.try_into().ok()?))
}

/// Encodes a whole record.
pub(crate) fn encode_record(kind: RecordKind, key: &ChunkKey, data: &[u8]) -> Vec<u8> {
    let mut body = Vec::with_capacity(RECORD_HEADER_BYTES + data.len());
    body.push(match kind {
        RecordKind::Chunk => KIND_CHUNK,
        RecordKind::Removal => KIND_REMOVAL,
    });
    body.extend((data.len() as u32).to_le_bytes());
    body.extend(key.program.group.0.to_le_bytes());
    body.extend(key.program.number.to_le_bytes());
    body.extend(key.digest);
    body.extend(data);
    let mut record = crc32c::crc32c(&body).to_le_bytes().to_vec();
    record.extend(body);
    record
}

/// Decodes the header of a record. None if its kind is unknown or bytes are missing.
pub(crate) fn decode_header(bytes: &[u8]) -> Option<RecordHeader> {
    let field = |start: usize, end: usize| bytes.get(start..end);
    let kind = match *bytes.get(KIND_OFFSET)? {
        KIND_CHUNK => RecordKind::Chunk,
        KIND_REMOVAL => RecordKind::Removal,
        _ => return None,
    };
    let group = u32::from_le_bytes(field(GROUP_OFFSET, NUMBER_OFFSET)?.try_into().ok()?);
    let number = u64::from_le_bytes(field(NUMBER_OFFSET, DIGEST_OFFSET)?.try_into().ok()?);
    let program = ProgramId { group: GroupId(group), number };
    let digest = field(DIGEST_OFFSET, RECORD_HEADER_BYTES)?.try_into().ok()?;
    Some(RecordHeader {
        kind,
        length: u32::from_le_bytes(field(LENGTH_OFFSET, GROUP_OFFSET)?.try_into().ok()?),
        key: ChunkKey { program, digest },
        checksum: u32::from_le_bytes(field(0, CHECKSUM_END)?.try_into().ok()?),
    })
}

/// Whether the checksum of `record`, which is the whole record, is valid.
pub(crate) fn is_intact(header: &RecordHeader, record: &[u8]) -> bool {
    record.get(CHECKSUM_END..).is_some_and(|body| crc32c::crc32c(body) == header.checksum)
}
