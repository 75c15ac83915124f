//! A cache of decoded chunks.

use std::collections::BTreeMap;

use dahlia_types::{ChunkKey, Message, Timestamp};

#[derive(Debug)]
struct CachedChunk {
    messages: Vec<Message>,
    bytes: u64,
    last_used: Timestamp,
}

/// A cache that evicts the least recently used chunk when its limit is exceeded.
#[derive(Debug, Default)]
pub(crate) struct ChunkCache {
    chunks: BTreeMap<ChunkKey, CachedChunk>,
    bytes: u64,
}

impl ChunkCache {
    /// Returns a chunk's messages.
    pub(super) fn get(&self, key: &ChunkKey) -> Option<&[Message]> {
        self.chunks.get(key).map(|chunk| chunk.messages.as_slice())
    }

    /// Marks a chunk as used now.
    pub(super) fn touch(&mut self, key: &ChunkKey, now: Timestamp) {
        if let Some(chunk) = self.chunks.get_mut(key) {
            chunk.last_used = now;
        }
    }

    /// Inserts a chunk and evicts others above `limit` bytes. The new chunk always stays.
    pub(super) fn insert(
        &mut self,
        key: ChunkKey,
        messages: Vec<Message>,
        limit: u64,
        now: Timestamp,
    ) {
        let bytes = messages.iter().map(|message| message.content.len() as u64).sum();
        if let Some(replaced) =
            self.chunks.insert(key, CachedChunk { messages, bytes, last_used: now })
        {
            self.bytes -= replaced.bytes;
        }
        self.bytes += bytes;
        while self.bytes > limit && self.chunks.len() > 1 {
            let oldest = self.chunks.iter().filter(|(other, _)| **other != key);
            let Some(oldest) = oldest.min_by_key(|(_, chunk)| chunk.last_used).map(|(key, _)| *key)
            else {
                return;
            };
            if let Some(dropped) = self.chunks.remove(&oldest) {
                self.bytes -= dropped.bytes;
            }
        }
    }
}
