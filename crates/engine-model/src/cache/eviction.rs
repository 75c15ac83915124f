//! Eviction: idle leaves shrink and are then removed, in the order of their eviction keys.

use dahlia_types::Timestamp;

use super::{NodeId, PrefixCache};
use crate::{CacheChange, SpanKind};

impl PrefixCache {
    /// Removes an idle node that has no memory, or that has no users and was never shared. Otherwise updates
    /// its eviction key.
    pub(super) fn remove_or_update(&mut self, id: NodeId, now: Timestamp) {
        let node = self.node(id);
        let idle = node.pin_count == 0 && node.child_count == 0;
        let unneeded = node.resident == 0 || (node.users.is_empty() && !node.ever_shared);
        if idle && unneeded {
            self.shrink(id, node.resident, now);
        } else {
            self.update_eviction_key(id);
        }
    }

    /// Shrinks idle leaves until `needed` more tokens fit, or until there is no idle leaf left.
    pub(super) fn make_room(&mut self, needed: u64, now: Timestamp) {
        loop {
            let shortage = (self.used + needed).saturating_sub(self.capacity);
            if shortage == 0 {
                return;
            }
            let Some((_, _, id)) = self.evictable.first().copied() else { return };
            self.shrink(id, shortage, now);
        }
    }

    /// Frees at least `amount` tokens from the tail of an idle leaf, or all of its tokens.
    fn shrink(&mut self, id: NodeId, amount: u64, now: Timestamp) {
        let node = self.node(id);
        let (resident, last_use) = (node.resident, node.last_use);
        let kept = resident.saturating_sub(amount) / self.block * self.block;
        self.used -= self.block_memory(resident) - kept;
        self.spans.record(resident - kept, last_use, now, SpanKind::Wasted);
        let node = self.node_mut(id);
        let lost = node.computed.saturating_sub(kept);
        node.resident = kept;
        node.computed = node.computed.min(kept);
        let users = &self.nodes[id].as_ref().expect("node is live").users;
        self.programs.remove_tokens(users, lost);
        for program in users {
            self.programs.record_change(*program, CacheChange::Removed);
        }
        if kept == 0 {
            self.remove(id, now);
        } else {
            self.update_eviction_key(id);
        }
    }

    fn remove(&mut self, id: NodeId, now: Timestamp) {
        let node = self.nodes[id].take().expect("node is live");
        self.free_slots.push(id);
        self.index.remove(&node.hash);
        if let Some(key) = node.eviction_key {
            self.evictable.remove(&key);
        }
        for program in &node.users {
            self.programs.remove_node(*program, id);
        }
        if let Some(parent) = node.parent {
            self.node_mut(parent).child_count -= 1;
            self.remove_or_update(parent, now);
        }
    }

    /// Updates the node's eviction key. Only idle leaves have one.
    pub(super) fn update_eviction_key(&mut self, id: NodeId) {
        let node = self.nodes[id].as_mut().expect("node is live");
        let is_idle_leaf = node.pin_count == 0 && node.child_count == 0 && node.resident > 0;
        let key = is_idle_leaf.then_some((node.hold_count > 0, node.last_use, id));
        if key == node.eviction_key {
            return;
        }
        if let Some(old) = node.eviction_key.take() {
            self.evictable.remove(&old);
        }
        if let Some(new) = key {
            self.evictable.insert(new);
            node.eviction_key = Some(new);
        }
    }
}
