//! The files of the log: their names and what each begins with.
//!
//! A segment begins with 44 bytes; frames follow.
//!
//! | bytes | field |
//! |---|---|
//! | 8 | magic `DAHLGRPS` |
//! | 4 | format version |
//! | 8 | number of the segment |
//! | 8 | sequence of its first frame |
//! | 8 | incarnation of the replicas |
//! | 4 | life of the process that began it |
//! | 4 | CRC-32C over everything before it |

use dahlia_types::Incarnation;

use crate::frame::FORMAT_VERSION;

const MAGIC: &[u8; 8] = b"DAHLGRPS";
/// Bytes in front of a segment's frames.
pub(crate) const HEADER_BYTES: usize = 44;
const CHECKSUM_AT: usize = 40;
const PREFIX: &str = "segment-";
const SUFFIX: &str = ".groups";

/// Whose log it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogIdentity {
    /// The incarnation of the daemon's replicas. Drawn when the folder was empty, kept since.
    pub incarnation: Incarnation,
    /// How often the log was opened, from 1: tells the processes of one incarnation apart.
    pub start_count: u32,
}

/// What a segment begins with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) number: u64,
    pub(crate) first_sequence: u64,
    pub(crate) identity: LogIdentity,
}

/// A header that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InvalidHeader {
    /// Torn or damaged.
    Damaged,
    /// Written by another version of the format.
    UnsupportedVersion(u32),
}

/// The file of a segment.
pub(crate) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:012}{SUFFIX}")
}

/// The number of a segment's file. None for other files.
pub(crate) fn number_of(name: &str) -> Option<u64> {
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
        let checksum = crc32c::crc32c(&bytes[..CHECKSUM_AT]);
        if !bytes.starts_with(MAGIC) || number_at::<4>(bytes, CHECKSUM_AT) != u64::from(checksum) {
            return Err(InvalidHeader::Damaged);
        }
        let version = number_at::<4>(bytes, 8) as u32;
        if version != FORMAT_VERSION {
            return Err(InvalidHeader::UnsupportedVersion(version));
        }
        let incarnation = Incarnation(number_at::<8>(bytes, 28));
        let identity = LogIdentity { incarnation, start_count: number_at::<4>(bytes, 36) as u32 };
        let first_sequence = number_at::<8>(bytes, 20);
        Ok(Self { number: number_at::<8>(bytes, 12), first_sequence, identity })
    }
}

/// The little-endian number of `N` bytes at `at`. The caller has checked the length.
fn number_at<const N: usize>(bytes: &[u8], at: usize) -> u64 {
    let digits = bytes[at..at + N].iter().rev();
    digits.fold(0, |number, digit| (number << 8) | u64::from(*digit))
}
