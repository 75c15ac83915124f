//! Messages between owners and store daemons, and store operations for the driver.

use dahlia_types::{ChunkKey, ProgramId, ReplicaId};
use serde::{Deserialize, Serialize};

/// A message about chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChunkMessage {
    /// Request: store a chunk durably.
    Put {
        /// The chunk.
        key: ChunkKey,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// Response: the chunk is durable here.
    Stored {
        /// The chunk.
        key: ChunkKey,
    },
    /// Request: send a chunk.
    Get {
        /// The chunk.
        key: ChunkKey,
    },
    /// Response: the requested chunk.
    Found {
        /// The chunk.
        key: ChunkKey,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// Response: the chunk is missing, damaged or unreadable here. Also the response to a refused
    /// [`ChunkMessage::Put`].
    Missing {
        /// The chunk.
        key: ChunkKey,
    },
    /// Request: report which of these chunks are missing.
    Check {
        /// Chunks that the receiver should hold.
        keys: Vec<ChunkKey>,
    },
    /// Response: the checked chunks that are missing here.
    MissingKeys {
        /// The chunks.
        keys: Vec<ChunkKey>,
    },
    /// Request: remove the chunks of a program that was deleted.
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
    /// Find out which of these chunks are missing.
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

/// A store operation and the daemon that receives its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// The daemon that requested it.
    pub requester: ReplicaId,
    /// The operation to perform.
    pub operation: StoreOperation,
}

/// The result of a store operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreResult {
    /// The daemon that requested the operation.
    pub requester: ReplicaId,
    /// The response to send; none if the requester awaits none.
    pub answer: Option<ChunkMessage>,
}
