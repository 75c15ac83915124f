//! Handles messages about chunks: requests at a store daemon and responses at an owner.

use dahlia_types::{DaemonId, ProgramId, ReplicaId, Timestamp};

use super::message::{ChunkMessage, StoreOperation, StoreRequest, StoreResult};
use crate::Action;
use crate::node::Node;
use crate::wire::PeerMessage;

impl Node {
    /// Handles a message about chunks.
    pub(crate) fn handle_chunk_message(
        &mut self,
        from: ReplicaId,
        message: ChunkMessage,
        now: Timestamp,
    ) {
        match message {
            ChunkMessage::Put { key, bytes } => {
                self.request_store_operation(from, StoreOperation::Put { key, bytes });
            }
            ChunkMessage::Get { key } => {
                self.request_store_operation(from, StoreOperation::Get { key })
            }
            ChunkMessage::Check { keys } => {
                self.request_store_operation(from, StoreOperation::Check { keys })
            }
            ChunkMessage::Forget { program } => {
                self.request_store_operation(from, StoreOperation::Forget { program });
            }
            ChunkMessage::Stored { key } => self.chunk_stored(from.daemon, key, now),
            ChunkMessage::Found { key, bytes } => {
                self.forward_chunk(key, &bytes);
                self.chunk_found(key, &bytes, now);
            }
            ChunkMessage::Missing { key } => {
                self.move_to_next_store(from.daemon, key);
                self.chunk_missing(key, now);
            }
            ChunkMessage::MissingKeys { keys } => self.copy_missing_chunks(from.daemon, keys, now),
        }
    }

    fn request_store_operation(&mut self, requester: ReplicaId, operation: StoreOperation) {
        if self.settings.has_store {
            self.actions.push(Action::Store(Box::new(StoreRequest { requester, operation })));
        }
    }

    /// Sends the response of a finished operation on this daemon's store.
    pub(crate) fn store_ended(&mut self, result: StoreResult) {
        if let Some(answer) = result.answer {
            self.send_chunk(result.requester.daemon, answer);
        }
    }

    /// Tells every store daemon to remove the chunks of a deleted program.
    pub(crate) fn forget_chunks(&mut self, program: ProgramId) {
        let stores = self.store_daemons();
        for store in stores {
            self.send_chunk(store.daemon, ChunkMessage::Forget { program });
        }
    }

    pub(super) fn send_chunk(&mut self, to: DaemonId, message: ChunkMessage) {
        if let Some(to) = self.address(to) {
            let message = PeerMessage::Chunks(Box::new(message));
            self.actions.push(Action::Send { to, message });
        }
    }
}
