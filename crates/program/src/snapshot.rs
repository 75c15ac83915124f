//! Snapshots: the whole state of a group as bytes, with a version in front.

use snafu::{ResultExt, Snafu, ensure};

use crate::GroupState;

/// The layout that this build writes and reads.
pub const SNAPSHOT_VERSION: u16 = 2;

/// Largest state that is read. A damaged length must not make the decoder take all memory.
const MOST_BYTES: usize = 1 << 30;

/// Length of the version in front of the state.
const VERSION_LENGTH: usize = 2;

/// A snapshot that cannot be restored.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// It ends before its version.
    #[snafu(display("the snapshot has {length} bytes, too few for its version"))]
    TooShort {
        /// Bytes found.
        length: usize,
    },
    /// It was written by a build with another layout.
    #[snafu(display("the snapshot has layout {found}; this build reads {SNAPSHOT_VERSION}"))]
    OtherVersion {
        /// The layout found.
        found: u16,
    },
    /// The bytes do not hold a state.
    #[snafu(display("the snapshot cannot be decoded: {source}"))]
    Malformed {
        /// What the decoder said.
        source: bincode::error::DecodeError,
    },
    /// Bytes follow the state.
    #[snafu(display("{length} bytes follow the snapshot's state"))]
    TrailingBytes {
        /// How many.
        length: usize,
    },
}

impl GroupState {
    /// The whole state. Equal states give equal bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = SNAPSHOT_VERSION.to_le_bytes().to_vec();
        bincode::serde::encode_into_std_write(self, &mut bytes, bincode::config::standard())
            .expect("the state holds only types that encode into memory");
        bytes
    }

    /// The state that [`Self::snapshot`] wrote.
    ///
    /// # Errors
    /// [`SnapshotError`] when the bytes are cut, damaged or of another layout.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        ensure!(bytes.len() >= VERSION_LENGTH, TooShortSnafu { length: bytes.len() });
        let (version, state) = bytes.split_at(VERSION_LENGTH);
        let found = u16::from_le_bytes([version[0], version[1]]);
        ensure!(found == SNAPSHOT_VERSION, OtherVersionSnafu { found });
        let config = bincode::config::standard().with_limit::<MOST_BYTES>();
        let (restored, read) =
            bincode::serde::decode_from_slice(state, config).context(MalformedSnafu)?;
        ensure!(read == state.len(), TrailingBytesSnafu { length: state.len() - read });
        Ok(restored)
    }
}
