//! The format of frames, version 1. All fixed numbers are little-endian.
//!
//! | bytes | field |
//! |---|---|
//! | 4 | CRC-32C (RFC 3720, appendix B.4) over everything after it |
//! | 4 | length of the records |
//! | 8 | sequence of the frame, one more than that of the frame before it, over all segments |
//! | n | records, a list of [`DurableChange`]: bincode 2, standard configuration |
//!
//! A frame is written by one write and synced before the next one is written. So whatever a loss
//! of power leaves, an intact frame behind a damaged one shows that synced bytes were changed.

use bincode::config;
use bincode::error::{DecodeError, EncodeError};
use dahlia_replication::group::DurableChange;
use snafu::{ResultExt, Snafu};

/// The version that this build writes and reads.
pub const FORMAT_VERSION: u32 = 1;

/// Bytes in front of a frame's records.
const FRAME_HEADER: usize = 16;
const CHECKSUM_END: usize = 4;
const LENGTH_END: usize = 8;

/// A frame that was read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Its sequence.
    pub sequence: u64,
    /// What it says.
    pub records: Vec<DurableChange>,
    /// Bytes that it takes in the file.
    pub bytes: usize,
}

/// Why bytes are not frames that this build wrote.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// A frame is damaged and synced ones follow: this is no torn end.
    #[snafu(display("frame {sequence} at byte {offset} is damaged and later ones follow"))]
    Damaged {
        /// The frame that was expected.
        sequence: u64,
        /// Where.
        offset: usize,
    },
    /// The checksum is right and the records cannot be read.
    #[snafu(display("the records of frame {sequence} cannot be read: {source}"))]
    Malformed {
        /// The frame.
        sequence: u64,
        /// Cause.
        source: DecodeError,
    },
}

/// A frame as it stands in the file.
///
/// # Errors
/// An error of the encoder when a frame would be larger than its length field can say.
pub fn encode_frame(sequence: u64, records: &[DurableChange]) -> Result<Vec<u8>, EncodeError> {
    let mut frame = vec![0; FRAME_HEADER];
    bincode::serde::encode_into_std_write(records, &mut frame, config::standard())?;
    let length = u32::try_from(frame.len() - FRAME_HEADER)
        .map_err(|_| EncodeError::Other("the frame is longer than 4 GiB"))?;
    frame[CHECKSUM_END..LENGTH_END].copy_from_slice(&length.to_le_bytes());
    frame[LENGTH_END..FRAME_HEADER].copy_from_slice(&sequence.to_le_bytes());
    let checksum = crc32c::crc32c(&frame[CHECKSUM_END..]);
    frame[..CHECKSUM_END].copy_from_slice(&checksum.to_le_bytes());
    Ok(frame)
}

/// All intact frames of `bytes`, of which the first must have the sequence `first`, and the bytes
/// that they take. What follows is a torn end.
///
/// # Errors
/// [`FrameError`] when what follows is no torn end.
pub fn read_frames(bytes: &[u8], first: u64) -> Result<(Vec<Frame>, usize), FrameError> {
    let mut frames = Vec::new();
    let (mut offset, mut sequence) = (0, first);
    while let Some(body) = intact_body(&bytes[offset..], sequence) {
        let decoded = bincode::serde::decode_from_slice(body, config::standard());
        let (records, _) = decoded.context(MalformedSnafu { sequence })?;
        let taken = FRAME_HEADER + body.len();
        frames.push(Frame { sequence, records, bytes: taken });
        offset += taken;
        sequence += 1;
    }
    if has_later_frame(&bytes[offset..], sequence) {
        return DamagedSnafu { sequence, offset }.fail();
    }
    Ok((frames, offset))
}

/// The records of the frame at the start of `bytes`, if it is whole and has this sequence.
fn intact_body(bytes: &[u8], sequence: u64) -> Option<&[u8]> {
    let header = bytes.get(..FRAME_HEADER)?;
    let checksum = u32::from_le_bytes(header[..CHECKSUM_END].try_into().ok()?);
    let length = u32::from_le_bytes(header[CHECKSUM_END..LENGTH_END].try_into().ok()?);
    if header[LENGTH_END..] != sequence.to_le_bytes() {
        return None;
    }
    let end = FRAME_HEADER.checked_add(usize::try_from(length).ok()?)?;
    let whole = bytes.get(..end)?;
    (crc32c::crc32c(&whole[CHECKSUM_END..]) == checksum).then(|| &whole[FRAME_HEADER..])
}

/// Whether an intact frame begins anywhere behind the damaged one at the start of `bytes`. Its
/// sequence is larger by at most the number of frames that fit in between.
fn has_later_frame(bytes: &[u8], damaged: u64) -> bool {
    let starts = 1..bytes.len().saturating_sub(FRAME_HEADER - 1);
    starts.into_iter().any(|start| {
        let Ok(sequence) = bytes[start + LENGTH_END..start + FRAME_HEADER].try_into() else {
            return false;
        };
        let sequence = u64::from_le_bytes(sequence);
        let most = damaged + 1 + (start / FRAME_HEADER) as u64;
        let is_later = sequence > damaged && sequence <= most;
        is_later && intact_body(&bytes[start..], sequence).is_some()
    })
}
