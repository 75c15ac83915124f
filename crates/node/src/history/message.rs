//! What owners and store daemons say to each other, and what a store daemon asks of its driver.

use dahlia_types::{ChunkKey, ProgramId, ReplicaId};
use serde::{Deserialize, Serialize};

/// A message about chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChunkMessage {
    /// Store this durably.
    Put {
        /// The chunk.
        key: ChunkKey,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// It is durable here.
    Stored {
        /// The chunk.
        key: ChunkKey,
    },
    /// Send me this.
    Get {
        /// The chunk.
        key: ChunkKey,
    },
    /// Here it is.
    Found {
        /// The chunk.
        key: ChunkKey,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// It is not here, or damaged.
    Missing {
        /// The chunk.
        key: ChunkKey,
    },
    /// Do you have these?
    Check {
        /// Chunks that the receiver should hold.
        keys: Vec<ChunkKey>,
    },
    /// These I do not have.
    MissingKeys {
        /// The chunks.
        keys: Vec<ChunkKey>,
    },
    /// The program is forgotten: remove its chunks.
    Forget {
        /// The program.
        program: ProgramId,
    },
}

/// An operation on the store of this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOperation {
    /// Write a chunk durably.
    Put {
        /// The chunk.
        key: ChunkKey,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// Read a chunk.
    Get {
        /// The chunk.
        key: ChunkKey,
    },
    /// Find out which of these are not held.
    Check {
        /// The chunks.
        keys: Vec<ChunkKey>,
    },
    /// Remove a program's chunks.
    Forget {
        /// The program.
        program: ProgramId,
    },
}

/// An operation with the daemon that its result goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// Who asked.
    pub requester: ReplicaId,
    /// What to do.
    pub operation: StoreOperation,
}

/// What came of an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreResult {
    /// Who asked.
    pub requester: ReplicaId,
    /// The answer to send; none when the operation failed, so that the requester goes elsewhere.
    pub answer: Option<ChunkMessage>,
}
