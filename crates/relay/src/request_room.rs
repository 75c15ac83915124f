//! Makes room for requests while uploads that have stalled occupy the memory for them.

use tokio::time::{Duration, Instant};

use crate::caller_connections::CallerConnections;
use crate::memory::MemoryQuota;

/// How long an upload that was told to end may take to release its memory.
const RELEASE_LIMIT: Duration = Duration::from_millis(50);

/// What requests need room in, and who may have to give it up.
#[derive(Clone, Copy)]
pub(crate) struct RequestRoom<'a> {
    pub(crate) memory: &'a MemoryQuota,
    pub(crate) connections: &'a CallerConnections,
}

impl RequestRoom<'_> {
    /// Ends the upload that has stalled for longest, other than the one on this connection, and waits for
    /// its memory. Returns whether there was any.
    pub(crate) async fn make(&self, connection: u64) -> bool {
        let mut has_ended_one = false;
        let end_one = || {
            has_ended_one = self.connections.displace_upload(Instant::now(), connection);
            has_ended_one
        };
        self.memory.released_after(end_one, RELEASE_LIMIT).await;
        has_ended_one
    }
}
