//! The files of the log: their names and headers.
//!
//! A segment begins with a header of 44 bytes; frames follow.
//!
//! | bytes | field |
//! |---|---|
//! | 8 | magic `DAHLGRPS` |
//! | 4 | format version |
//! | 8 | number of the segment |
//! | 8 | sequence number of its first frame |
//! | 8 | incarnation of the replicas |
//! | 4 | start count of the process that created it |
//! | 4 | CRC-32C over everything before it |

use dahlia_types::Incarnation;

use crate::frame::FORMAT_VERSION;

const MAGIC: &[u8; 8] = b"DAHLGRPS";
/// Size of a segment's header.
pub(crate) const HEADER_BYTES: usize = 44;
const CHECKSUM_OFFSET: usize = 40;
const PREFIX: &str = "segment-";
const SUFFIX: &str = ".groups";

/// The identity of the daemon process that owns a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogIdentity {
    /// The incarnation of the daemon's replicas. It is chosen when the folder is empty and kept
    /// afterwards.
    pub incarnation: Incarnation,
    /// How often the log was opened, from 1. It distinguishes the processes of one incarnation.
    pub start_count: u32,
}

/// The header of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) number: u64,
    pub(crate) first_sequence: u64,
    pub(crate) identity: LogIdentity,
}

/// Why a segment's header is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InvalidHeader {
    /// The header is torn or damaged.
    Damaged,
    /// The segment was written in another version of the format.
    UnsupportedVersion(u32),
}

/// The file name of a segment.
pub(crate) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:012}{SUFFIX}")
}

/// The number of the segment in a file of this name. None for other files.
pub(crate) fn parse_file_name(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?.parse().ok()
}

impl Header {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(FORMAT_VERSION.to_le_bytes());
        bytes.extend(self.number.to_le_bytes());
        bytes.extend(self.first_sequence.to_le_bytes());
        bytes.extend(self.identity.incarnation.0.to_le_bytes());
        bytes.extend(self.identity.start_count.to_le_bytes());
        bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
        bytes
    }

    pub(crate) fn decode(segment: &[u8]) -> Result<Self, InvalidHeader> {
        let bytes = segment.get(..HEADER_BYTES).ok_or(InvalidHeader::Damaged)?;
        let checksum = crc32c::crc32c(&bytes[..CHECKSUM_OFFSET]);
        if !bytes.starts_with(MAGIC)
            || read_uint::<4>(bytes, CHECKSUM_OFFSET) != u64::from(checksum)
        {
            return Err(InvalidHeader::Damaged);
        }
        let version = read_uint::<4>(bytes, 8) as u32;
        if version != FORMAT_VERSION {
            return Err(InvalidHeader::UnsupportedVersion(version));
        }
        let incarnation = Incarnation(read_uint::<8>(bytes, 28));
        let identity = LogIdentity { incarnation, start_count: read_uint::<4>(bytes, 36) as u32 };
        let first_sequence = read_uint::<8>(bytes, 20);
        Ok(Self { number: read_uint::<8>(bytes, 12), first_sequence, identity })
    }
}

/// Reads the little-endian number of `N` bytes at `offset`. The caller has checked the length.
fn read_uint<const N: usize>(bytes: &[u8], offset: usize) -> u64 {
    let digits = bytes[offset..offset + N].iter().rev();
    digits.fold(0, |number, digit| (number << 8) | u64::from(*digit))
}
