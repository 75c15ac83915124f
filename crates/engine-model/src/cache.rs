//! The prefix cache: a tree of segments in limited memory, evicted leaf by leaf.
//!
//! Each node is one segment that follows its parent's prefix, and is found by its [`ChainHash`]
//! (radix-tree caching, SGLang 2024). Memory is allocated in blocks; a leaf shrinks from its tail.

mod eviction;
mod programs;
mod spans;

use std::collections::{BTreeSet, HashMap};

use dahlia_types::{ProgramId, Timestamp, Tokens};

pub(crate) use self::programs::CachedPrograms;
pub(crate) use self::spans::SpanRecorder;
use crate::{ChainHash, SpanKind};

/// Index of a node in the cache's table.
pub(crate) type NodeId = usize;

/// One segment of a prompt: the hash of the prefix that it ends, and its own length.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChainLink {
    pub hash: ChainHash,
    pub tokens: u64,
}

/// Order of eviction: nodes that are not held come first, then the least recently used.
type EvictionKey = (bool, Timestamp, NodeId);

#[derive(Debug)]
struct Node {
    hash: ChainHash,
    parent: Option<NodeId>,
    depth: usize,
    tokens: u64,
    /// Tokens that have memory allocated.
    resident: u64,
    /// Tokens whose KV is computed; equal to `resident` while nothing pins the node.
    computed: u64,
    child_count: u32,
    pin_count: u32,
    users: BTreeSet<ProgramId>,
    hold_count: u32,
    /// Whether two programs have used it at the same time. If so, it stays cached without users.
    ever_shared: bool,
    last_use: Timestamp,
    active_since: Timestamp,
    eviction_key: Option<EvictionKey>,
}

/// The tree of cached nodes, its memory, and the programs that use each node.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    block: u64,
    capacity: u64,
    /// Memory in use, both cached and private to attempts, in tokens.
    used: u64,
    /// Memory that running attempts and transfers use, in tokens.
    pinned: u64,
    nodes: Vec<Option<Node>>,
    free_slots: Vec<NodeId>,
    index: HashMap<ChainHash, NodeId>,
    evictable: BTreeSet<EvictionKey>,
    pub(crate) programs: CachedPrograms,
    pub(crate) spans: SpanRecorder,
}

impl PrefixCache {
    pub(crate) fn new(capacity: Tokens, block: Tokens) -> Self {
        Self {
            block: block.0,
            capacity: capacity.0,
            used: 0,
            pinned: 0,
            nodes: Vec::new(),
            free_slots: Vec::new(),
            index: HashMap::new(),
            evictable: BTreeSet::new(),
            programs: CachedPrograms::default(),
            spans: SpanRecorder::default(),
        }
    }

    pub(crate) fn capacity(&self) -> u64 {
        self.capacity
    }

    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    pub(crate) fn pinned(&self) -> u64 {
        self.pinned
    }

    /// Returns the tokens at the start of `links` whose KV is computed.
    pub(crate) fn computed_prefix(&self, links: &[ChainLink]) -> u64 {
        let mut total = 0;
        for link in links {
            let Some(node) = self.find(link.hash) else { break };
            total += node.computed;
            if node.computed < link.tokens {
                break;
            }
        }
        total
    }

    /// Pins the prompt's nodes for an attempt and allocates memory for the missing ones.
    /// Returns `None`, and changes nothing, if the memory not pinned is less than the missing
    /// memory and `headroom` together.
    pub(crate) fn acquire(
        &mut self,
        program: ProgramId,
        links: &[ChainLink],
        headroom: u64,
        now: Timestamp,
    ) -> Option<Vec<NodeId>> {
        if self.missing_memory(links) + headroom > self.available_after_pinning(links) {
            return None;
        }
        let mut path = Vec::with_capacity(links.len());
        for link in links {
            let Some(id) = self.index.get(&link.hash).copied() else { break };
            self.pin(id, now);
            path.push(id);
        }
        for (depth, link) in links.iter().enumerate() {
            let id = match path.get(depth) {
                Some(id) => *id,
                None => {
                    let id =
                        self.insert(*link, depth.checked_sub(1).map(|parent| path[parent]), now);
                    self.pin(id, now);
                    path.push(id);
                    id
                }
            };
            self.allocate(id);
            self.add_user(id, program);
        }
        Some(path)
    }

    /// Pins all nodes of a path that already exists.
    pub(crate) fn pin_path(&mut self, path: &[NodeId], now: Timestamp) {
        for id in path {
            self.pin(*id, now);
        }
    }

    /// Unpins all nodes of a path. Nodes without users are freed.
    pub(crate) fn unpin_path(&mut self, path: &[NodeId], now: Timestamp) {
        for id in path.iter().rev() {
            self.unpin_node(*id, now);
        }
    }

    /// Caches a finished answer as a child of `parent`, if there is enough memory.
    pub(crate) fn store_answer(
        &mut self,
        program: ProgramId,
        parent: Option<NodeId>,
        link: ChainLink,
        now: Timestamp,
    ) {
        if self.index.contains_key(&link.hash)
            || self.block_memory(link.tokens) > self.available_memory()
        {
            return;
        }
        let id = self.insert(link, parent, now);
        self.pin(id, now);
        self.allocate(id);
        self.add_user(id, program);
        self.set_computed(id, link.tokens);
        self.unpin_node(id, now);
    }

    /// Allocates memory for generated tokens and evicts idle nodes if necessary.
    ///
    /// It may exceed the capacity by the few tokens of one step: the last attempt in the batch is
    /// never preempted, because it could not be served better later.
    pub(crate) fn grow_private(&mut self, tokens: u64, now: Timestamp) {
        self.make_room(tokens, now);
        self.used += tokens;
        self.pinned += tokens;
    }

    /// Frees memory that was reserved for tokens which were not generated.
    pub(crate) fn refund_private(&mut self, tokens: u64) {
        self.used -= tokens;
        self.pinned -= tokens;
    }

    /// Frees the memory of tokens generated since `since`.
    pub(crate) fn shrink_private(&mut self, tokens: u64, since: Timestamp, now: Timestamp) {
        self.used -= tokens;
        self.pinned -= tokens;
        // The memory grew evenly from zero, so on average half of it was in use.
        self.spans.record(tokens / 2, since, now, SpanKind::Active);
    }

    /// Marks the node's first `tokens` as computed.
    pub(crate) fn set_computed(&mut self, id: NodeId, tokens: u64) {
        let node = self.node_mut(id);
        let computed = tokens.min(node.resident);
        let gained = computed.saturating_sub(node.computed);
        node.computed = node.computed.max(computed);
        let users = &self.nodes[id].as_ref().expect("node is live").users;
        self.programs.add_tokens(users, gained);
    }

    /// Returns the tokens of the node whose KV is computed.
    pub(crate) fn computed(&self, id: NodeId) -> u64 {
        self.node(id).computed
    }

    /// Frees the nodes that only `program` uses. Pinned nodes are freed when their attempts end.
    /// Returns the memory freed, in tokens.
    pub(crate) fn free_program(&mut self, program: ProgramId, now: Timestamp) -> u64 {
        let Some((nodes, held)) = self.programs.remove(program) else { return 0 };
        let before = self.used;
        let mut by_depth: Vec<_> = nodes.iter().map(|id| (self.node(*id).depth, *id)).collect();
        by_depth.sort_unstable();
        for (_, id) in by_depth.into_iter().rev() {
            let node = self.node_mut(id);
            node.users.remove(&program);
            node.hold_count -= u32::from(held);
            self.remove_or_update(id, now);
        }
        before - self.used
    }

    /// Marks the program's nodes as held or not held.
    pub(crate) fn set_held(&mut self, program: ProgramId, held: bool) {
        let changed = self.programs.set_held(program, held);
        for id in changed {
            let node = self.node_mut(id);
            if held {
                node.hold_count += 1;
            } else {
                node.hold_count -= 1;
            }
            self.update_eviction_key(id);
        }
    }

    /// Records the idle spans of nodes that are still cached as wasted, because the run ends here.
    pub(crate) fn close_spans(&mut self, now: Timestamp) {
        for node in self.nodes.iter().flatten().filter(|node| node.pin_count == 0) {
            self.spans.record(node.resident, node.last_use, now, SpanKind::Wasted);
        }
    }

    fn find(&self, hash: ChainHash) -> Option<&Node> {
        self.index.get(&hash).map(|id| self.node(*id))
    }

    fn node(&self, id: NodeId) -> &Node {
        self.nodes[id].as_ref().expect("node is live")
    }

    fn node_mut(&mut self, id: NodeId) -> &mut Node {
        self.nodes[id].as_mut().expect("node is live")
    }

    fn block_memory(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.block) * self.block
    }

    /// Returns the memory, in tokens, that is free or can be evicted.
    pub(crate) fn available_memory(&self) -> u64 {
        self.capacity.saturating_sub(self.pinned)
    }

    fn missing_memory(&self, links: &[ChainLink]) -> u64 {
        let missing = links.iter().map(|link| {
            let resident = self.find(link.hash).map_or(0, |node| self.block_memory(node.resident));
            self.block_memory(link.tokens) - resident
        });
        missing.sum()
    }

    /// Returns the memory that remains available once the cached part of `links` is pinned.
    fn available_after_pinning(&self, links: &[ChainLink]) -> u64 {
        let matched = links.iter().map_while(|link| self.find(link.hash));
        let idle = matched.filter(|node| node.pin_count == 0);
        let reserved: u64 = idle.map(|node| self.block_memory(node.resident)).sum();
        self.available_memory().saturating_sub(reserved)
    }

    fn insert(&mut self, link: ChainLink, parent: Option<NodeId>, now: Timestamp) -> NodeId {
        let depth = parent.map_or(0, |id| self.node(id).depth + 1);
        let node = Node {
            hash: link.hash,
            parent,
            depth,
            tokens: link.tokens,
            resident: 0,
            computed: 0,
            child_count: 0,
            pin_count: 0,
            users: BTreeSet::new(),
            hold_count: 0,
            ever_shared: false,
            last_use: now,
            active_since: now,
            eviction_key: None,
        };
        let id = self.free_slots.pop().unwrap_or_else(|| {
            self.nodes.push(None);
            self.nodes.len() - 1
        });
        self.nodes[id] = Some(node);
        self.index.insert(link.hash, id);
        if let Some(parent) = parent {
            self.node_mut(parent).child_count += 1;
            self.update_eviction_key(parent);
        }
        id
    }

    /// Allocates memory for all tokens of the node. The caller has checked that there is enough.
    fn allocate(&mut self, id: NodeId) {
        let (resident, tokens) = (self.node(id).resident, self.node(id).tokens);
        let grown = self.block_memory(tokens) - self.block_memory(resident);
        if grown > 0 {
            let now = self.node(id).active_since;
            self.make_room(grown, now);
            self.used += grown;
            self.pinned += grown;
        }
        self.node_mut(id).resident = tokens;
    }

    fn add_user(&mut self, id: NodeId, program: ProgramId) {
        let node = self.nodes[id].as_mut().expect("node is live");
        if !node.users.insert(program) {
            return;
        }
        node.ever_shared |= node.users.len() > 1;
        let held = self.programs.add_node(program, id, node.computed);
        node.hold_count += u32::from(held);
    }

    fn pin(&mut self, id: NodeId, now: Timestamp) {
        let node = self.nodes[id].as_mut().expect("node is live");
        node.pin_count += 1;
        if node.pin_count > 1 {
            return;
        }
        self.spans.record(node.resident, node.last_use, now, SpanKind::Reused);
        node.active_since = now;
        let resident = node.resident;
        self.pinned += self.block_memory(resident);
        self.update_eviction_key(id);
    }

    fn unpin_node(&mut self, id: NodeId, now: Timestamp) {
        let node = self.node_mut(id);
        node.pin_count -= 1;
        if node.pin_count > 0 {
            return;
        }
        let (resident, computed, since) = (node.resident, node.computed, node.active_since);
        node.last_use = now;
        node.resident = computed;
        self.pinned -= self.block_memory(resident);
        self.used -= self.block_memory(resident) - self.block_memory(computed);
        self.spans.record(resident, since, now, SpanKind::Active);
        self.remove_or_update(id, now);
    }
}
