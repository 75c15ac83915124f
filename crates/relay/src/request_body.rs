//! The body of a caller's request while it arrives.
//!
//! Its memory grows with what arrives: a caller may announce much and send nothing. It grows in blocks of
//! one size, which are not copied before the body is complete, so that bodies that come and go leave no
//! gaps of many sizes in the process's memory.

use std::mem;

use bytes::Bytes;

use crate::memory::{CallerQuota, MemoryReservation, ReservationError, ReservedBody};

/// Bytes of each block but the last.
const BLOCK_BYTES: usize = 64 * 1_024;

/// A body in blocks.
#[derive(Debug)]
pub(crate) struct RequestBody {
    full_blocks: Vec<Vec<u8>>,
    last_block: Vec<u8>,
    /// The length that the head announced, or the most that the body may have.
    most_bytes: usize,
    is_length_known: bool,
    reservation: MemoryReservation,
}

impl RequestBody {
    /// Creates an empty body, which may have `limit` bytes.
    pub(crate) fn new(announced: Option<u64>, limit: usize, caller: &CallerQuota) -> Self {
        Self {
            full_blocks: Vec::new(),
            last_block: Vec::new(),
            most_bytes: announced.map_or(limit, |announced| (announced as usize).min(limit)),
            is_length_known: announced.is_some(),
            reservation: caller.empty_reservation(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.full_blocks.len() * BLOCK_BYTES + self.last_block.len()
    }

    /// Appends as much of a piece as there is memory for, and removes that from the piece.
    ///
    /// # Errors
    /// There is no memory for the rest of the piece.
    pub(crate) fn push(&mut self, piece: &mut Bytes) -> Result<(), ReservationError> {
        while !piece.is_empty() {
            if self.last_block.len() == BLOCK_BYTES {
                self.full_blocks.push(mem::take(&mut self.last_block));
            }
            let room = BLOCK_BYTES - self.last_block.len();
            let part_bytes = piece.len().min(room);
            self.grow_last_block(self.last_block.len() + part_bytes)?;
            self.last_block.extend_from_slice(&piece.split_to(part_bytes));
        }
        Ok(())
    }

    /// Reserves memory for the last block with this many bytes, and then allocates it.
    fn grow_last_block(&mut self, bytes: usize) -> Result<(), ReservationError> {
        let current = self.last_block.capacity();
        if bytes <= current {
            return Ok(());
        }
        let before = self.full_blocks.len() * BLOCK_BYTES;
        let most = self.most_bytes.saturating_sub(before).clamp(bytes, BLOCK_BYTES);
        let capacity = if self.is_length_known { most } else { bytes.max(most.min(2 * current)) };
        self.reservation.grow_arriving(before + capacity)?;
        // Allocate exactly what is reserved.
        self.last_block.reserve_exact(capacity - self.last_block.len());
        Ok(())
    }

    /// Returns the body in one piece. The blocks are freed as they are copied.
    pub(crate) fn finish(self) -> ReservedBody {
        let len = self.len();
        let Self { full_blocks, last_block, mut reservation, .. } = self;
        reservation.end_arrival();
        if full_blocks.is_empty() {
            return ReservedBody { bytes: last_block.into(), reservation };
        }
        let mut whole = Vec::with_capacity(len);
        for block in full_blocks.into_iter().chain([last_block]) {
            whole.extend_from_slice(&block);
        }
        ReservedBody { bytes: whole.into(), reservation }
    }
}
