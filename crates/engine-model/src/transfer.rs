//! Export and import of KV. Transfers share one link and run one after another.

use std::collections::VecDeque;

use dahlia_types::{Bytes, Duration, Timestamp};

use crate::cache::NodeId;
use crate::{EngineParameters, KvImage};

/// The direction of a transfer.
#[derive(Debug)]
pub(crate) enum Direction {
    /// Out of the engine. The nodes are pinned until the transfer ends.
    Export(Vec<NodeId>),
    /// Into the engine.
    Import,
}

/// A transfer that is queued or in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub image: KvImage,
    pub direction: Direction,
    pub ends: Timestamp,
}

/// The link over which the engine transfers KV.
#[derive(Debug)]
pub(crate) struct TransferLink {
    bytes_per_second: f64,
    setup: Duration,
    queue: VecDeque<Transfer>,
}

impl TransferLink {
    pub(crate) fn new(parameters: &EngineParameters) -> Self {
        Self {
            bytes_per_second: parameters.transfer_bytes_per_second,
            setup: parameters.transfer_setup,
            queue: VecDeque::new(),
        }
    }

    /// Queues a transfer behind the earlier ones.
    pub(crate) fn begin(&mut self, image: KvImage, direction: Direction, now: Timestamp) {
        let free = self.queue.back().map_or(now, |last| last.ends.max(now));
        let ends = free + self.setup + self.transfer_time(image.bytes);
        self.queue.push_back(Transfer { image, direction, ends });
    }

    /// Returns when the next transfer ends.
    pub(crate) fn next_end(&self) -> Option<Timestamp> {
        self.queue.front().map(|transfer| transfer.ends)
    }

    /// Removes and returns the next transfer that has ended by `now`.
    pub(crate) fn take_ended(&mut self, now: Timestamp) -> Option<Transfer> {
        if self.next_end()? > now {
            return None;
        }
        self.queue.pop_front()
    }

    fn transfer_time(&self, bytes: Bytes) -> Duration {
        Duration::from_secs_f64(bytes.0 as f64 / self.bytes_per_second)
    }
}
