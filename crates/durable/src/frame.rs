//! The format of frames, version 1. All fixed numbers are little-endian.
//!
//! | bytes | field |
//! |---|---|
//! | 4 | CRC-32C (RFC 3720, appendix B.4) over everything after it |
//! | 4 | length of the records |
//! | 8 | sequence number of the frame; it counts up by one over all segments |
//! | n | records, a list of [`DurableChange`]: bincode 2, standard configuration |
//!
//! A frame is written by one write and synced before the next one is written. A power loss can
//! therefore only tear the last frame. An intact frame after a damaged one shows that synced bytes
//! were changed.

use bincode::config;
use bincode::error::{DecodeError, EncodeError};
use dahlia_replication::group::DurableChange;
use snafu::{ResultExt, Snafu};

/// The format version that this build writes and reads.
pub const FORMAT_VERSION: u32 = 1;

/// Size of a frame's header.
const HEADER_BYTES: usize = 16;
const CHECKSUM_END: usize = 4;
const LENGTH_END: usize = 8;

/// A frame that was read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Its sequence number.
    pub sequence: u64,
    /// The changes that it records.
    pub records: Vec<DurableChange>,
    /// Its size in the file in bytes.
    pub bytes: usize,
}

/// Why bytes cannot be read as frames.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// A frame is damaged although synced frames follow it, so it is not a torn end.
    #[snafu(display("frame {sequence} at byte {offset} is damaged and later ones follow"))]
    Damaged {
        /// The sequence number of the expected frame.
        sequence: u64,
        /// Where the frame begins, in bytes.
        offset: usize,
    },
    /// The checksum is valid, but the records cannot be decoded.
    #[snafu(display("the records of frame {sequence} cannot be read: {source}"))]
    Malformed {
        /// The sequence number of the frame.
        sequence: u64,
        /// The cause.
        source: DecodeError,
    },
}

/// Encodes a frame as it is written to the file.
///
/// # Errors
/// An error of the encoder, e.g. if the frame's length does not fit its length field.
pub fn encode_frame(sequence: u64, records: &[DurableChange]) -> Result<Vec<u8>, EncodeError> {
    let mut frame = vec![0; HEADER_BYTES];
    bincode::serde::encode_into_std_write(records, &mut frame, config::standard())?;
    let length = u32::try_from(frame.len() - HEADER_BYTES)
        .map_err(|_| EncodeError::Other("the frame is longer than 4 GiB"))?;
    frame[CHECKSUM_END..LENGTH_END].copy_from_slice(&length.to_le_bytes());
    frame[LENGTH_END..HEADER_BYTES].copy_from_slice(&sequence.to_le_bytes());
    let checksum = crc32c::crc32c(&frame[CHECKSUM_END..]);
    frame[..CHECKSUM_END].copy_from_slice(&checksum.to_le_bytes());
    Ok(frame)
}

/// Decodes all intact frames of `bytes` and returns them with their total size. The first one must
/// have the sequence number `first_sequence`. The bytes after them are a torn end.
///
/// # Errors
/// [`FrameError`] if the remaining bytes are not a torn end, or records cannot be decoded.
pub fn read_frames(bytes: &[u8], first_sequence: u64) -> Result<(Vec<Frame>, usize), FrameError> {
    let mut frames = Vec::new();
    let (mut offset, mut sequence) = (0, first_sequence);
    while let Some(body) = intact_body(&bytes[offset..], sequence) {
        let decoded = bincode::serde::decode_from_slice(body, config::standard());
        let (records, _) = decoded.context(MalformedSnafu { sequence })?;
        let frame_bytes = HEADER_BYTES + body.len();
        frames.push(Frame { sequence, records, bytes: frame_bytes });
        offset += frame_bytes;
        sequence += 1;
    }
    if has_later_frame(&bytes[offset..], sequence) {
        return DamagedSnafu { sequence, offset }.fail();
    }
    Ok((frames, offset))
}

/// The encoded records of the frame at the start of `bytes`, if it is intact and has this sequence
/// number.
fn intact_body(bytes: &[u8], sequence: u64) -> Option<&[u8]> {
    let header = bytes.get(..HEADER_BYTES)?;
    let checksum = u32::from_le_bytes(header[..CHECKSUM_END].try_into().ok()?);
    let length = u32::from_le_bytes(header[CHECKSUM_END..LENGTH_END].try_into().ok()?);
    if header[LENGTH_END..] != sequence.to_le_bytes() {
        return None;
    }
    let end = HEADER_BYTES.checked_add(usize::try_from(length).ok()?)?;
    let frame = bytes.get(..end)?;
    (crc32c::crc32c(&frame[CHECKSUM_END..]) == checksum).then(|| &frame[HEADER_BYTES..])
}

/// Whether an intact frame begins anywhere after the damaged one at the start of `bytes`. Its
/// sequence number is larger by at most the number of frames that fit in between.
fn has_later_frame(bytes: &[u8], damaged_sequence: u64) -> bool {
    let starts = 1..bytes.len().saturating_sub(HEADER_BYTES - 1);
    starts.into_iter().any(|start| {
        let Ok(sequence) = bytes[start + LENGTH_END..start + HEADER_BYTES].try_into() else {
            return false;
        };
        let sequence = u64::from_le_bytes(sequence);
        let max_sequence = damaged_sequence + 1 + (start / HEADER_BYTES) as u64;
        let is_later = sequence > damaged_sequence && sequence <= max_sequence;
        is_later && intact_body(&bytes[start..], sequence).is_some()
    })
}
