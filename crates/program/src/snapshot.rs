//! Snapshots: the entire state of a group as bytes, preceded by a version.

use snafu::{ResultExt, Snafu, ensure};

use crate::GroupState;

/// The version of the layout that this build writes and reads.
pub const SNAPSHOT_VERSION: u16 = 2;

/// Largest state that is decoded. A damaged length must not make the decoder exhaust the memory.
const MAX_STATE_BYTES: usize = 1 << 30;

/// Length of the version, which precedes the state.
const VERSION_BYTES: usize = 2;

/// Why a snapshot cannot be restored.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The snapshot is shorter than its version.
    #[snafu(display("the snapshot has {length} bytes, too few for its version"))]
    TooShort {
        /// Length of the snapshot in bytes.
        length: usize,
    },
    /// The snapshot was written by a build with another layout.
    #[snafu(display("the snapshot has layout {found}; this build reads {SNAPSHOT_VERSION}"))]
    OtherVersion {
        /// The version of its layout.
        found: u16,
    },
    /// The bytes are not an encoded state.
    #[snafu(display("the snapshot cannot be decoded: {source}"))]
    Malformed {
        /// The decoder's error.
        source: bincode::error::DecodeError,
    },
    /// There are more bytes after the state.
    #[snafu(display("{length} bytes follow the snapshot's state"))]
    TrailingBytes {
        /// Number of these bytes.
        length: usize,
    },
}

impl GroupState {
    /// Encodes the entire state. Equal states give equal bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = SNAPSHOT_VERSION.to_le_bytes().to_vec();
        bincode::serde::encode_into_std_write(self, &mut bytes, bincode::config::standard())
            .expect("the state holds only types that encode into memory");
        bytes
    }

    /// Decodes a state that [`Self::snapshot`] wrote.
    ///
    /// # Errors
    /// [`SnapshotError`] if the bytes are truncated, damaged or of another layout.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        ensure!(bytes.len() >= VERSION_BYTES, TooShortSnafu { length: bytes.len() });
        let (version, state) = bytes.split_at(VERSION_BYTES);
        let found = u16::from_le_bytes([version[0], version[1]]);
        ensure!(found == SNAPSHOT_VERSION, OtherVersionSnafu { found });
        let config = bincode::config::standard().with_limit::<MAX_STATE_BYTES>();
        let (restored, read) =
            bincode::serde::decode_from_slice(state, config).context(MalformedSnafu)?;
        ensure!(read == state.len(), TrailingBytesSnafu { length: state.len() - read });
        Ok(restored)
    }
}
