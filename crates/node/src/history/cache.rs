//! Chunks that were read lately, decoded.

use std::collections::BTreeMap;

use dahlia_types::{ChunkKey, Message, Timestamp};

#[derive(Debug)]
struct Held {
    messages: Vec<Message>,
    bytes: u64,
    used: Timestamp,
}

/// The least recently used goes first when the limit is reached.
#[derive(Debug, Default)]
pub(crate) struct ChunkCache {
    held: BTreeMap<ChunkKey, Held>,
    bytes: u64,
}

impl ChunkCache {
    /// A chunk's messages.
    pub(super) fn get(&self, key: &ChunkKey) -> Option<&[Message]> {
        self.held.get(key).map(|held| held.messages.as_slice())
    }

    /// Notes that a chunk was of use.
    pub(super) fn touch(&mut self, key: &ChunkKey, now: Timestamp) {
        if let Some(held) = self.held.get_mut(key) {
            held.used = now;
        }
    }

    /// Takes a chunk in and drops others above `limit` bytes. The new one stays in any case.
    pub(super) fn insert(
        &mut self,
        key: ChunkKey,
        messages: Vec<Message>,
        limit: u64,
        now: Timestamp,
    ) {
        let bytes = messages.iter().map(|message| message.content.len() as u64).sum();
        if let Some(before) = self.held.insert(key, Held { messages, bytes, used: now }) {
            self.bytes -= before.bytes;
        }
        self.bytes += bytes;
        while self.bytes > limit && self.held.len() > 1 {
            let oldest = self.held.iter().filter(|(held, _)| **held != key);
            let Some(oldest) = oldest.min_by_key(|(_, held)| held.used).map(|(key, _)| *key) else {
                return;
            };
            if let Some(dropped) = self.held.remove(&oldest) {
                self.bytes -= dropped.bytes;
            }
        }
    }
}
