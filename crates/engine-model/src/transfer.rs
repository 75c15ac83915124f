//! Export and import of KV: transfers share one link and run one after another.

use std::collections::VecDeque;

use dahlia_types::{Bytes, Duration, Timestamp};

use crate::cache::NodeId;
use crate::{EngineParameters, KvImage};

/// Which way a transfer goes.
#[derive(Debug)]
pub(crate) enum Direction {
    /// Out; the nodes are pinned until it ends.
    Export(Vec<NodeId>),
    /// In.
    Import,
}

/// A transfer under way.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub image: KvImage,
    pub direction: Direction,
    pub ends: Timestamp,
}

/// The engine's link for KV.
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

    /// Adds a transfer behind the ones under way.
    pub(crate) fn begin(&mut self, image: KvImage, direction: Direction, now: Timestamp) {
        let free = self.queue.back().map_or(now, |last| last.ends.max(now));
        let ends = free + self.setup + self.time_for(image.bytes);
        self.queue.push_back(Transfer { image, direction, ends });
    }

    /// When the next transfer ends.
    pub(crate) fn next_end(&self) -> Option<Timestamp> {
        self.queue.front().map(|transfer| transfer.ends)
    }

    /// Takes the next transfer that has ended by `now`.
    pub(crate) fn take_ended(&mut self, now: Timestamp) -> Option<Transfer> {
        if self.next_end()? > now {
            return None;
        }
        self.queue.pop_front()
    }

    fn time_for(&self, bytes: Bytes) -> Duration {
        Duration::from_secs_f64(bytes.0 as f64 / self.bytes_per_second)
    }
}
