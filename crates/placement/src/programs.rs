//! The scheduler's records of programs: where their cache is, the service that they attained, and
//! their paused chains.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{CallId, ChainId, Duration, ProgramId, TenantId, Timestamp};

use crate::call::Call;
use crate::engine_table::EngineSlot;

/// Most prefixes recorded per program. The oldest is dropped first.
const MAX_PREFIXES: usize = 12;

/// A prefix that an engine computed for the program.
#[derive(Debug, Clone, Copy)]
struct CachedPrefix {
    slot: EngineSlot,
    chain: ChainId,
    /// Hash of the prompt.
    hash: u64,
    /// Number of segments of the prompt.
    segments: usize,
    /// Tokens of the prompt.
    prompt: u64,
    /// Tokens of the answer that follows it.
    answer: u64,
}

/// A chain that is paused, for example by a tool call.
#[derive(Debug, Clone)]
pub(crate) struct PausedChain {
    pub tool: Option<String>,
    pub paused_at: Timestamp,
    /// The engine with the chain's cache.
    pub engine: Option<EngineSlot>,
    /// Until when the cache is worth keeping there.
    pub keep_until: Timestamp,
}

/// A program's attempts and cache on one engine.
#[derive(Debug, Clone, Copy, Default)]
struct ProgramOnEngine {
    /// Attempts that have not ended.
    open_attempts: usize,
    /// Cached tokens by the engine's last report; none before the first.
    reported_tokens: Option<u64>,
}

/// An engine with the tokens of a prompt that it is expected to have cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CacheLocation {
    pub slot: EngineSlot,
    pub tokens: u64,
}

/// The record of one program.
#[derive(Debug)]
pub(crate) struct Program {
    pub tenant: TenantId,
    prefixes: Vec<CachedPrefix>,
    engines: BTreeMap<EngineSlot, ProgramOnEngine>,
    /// Service that each chain attained.
    chain_service: BTreeMap<ChainId, Duration>,
    paused: BTreeMap<ChainId, PausedChain>,
    /// Copies of chains' cache in the memory of engines' hosts.
    offloaded: BTreeMap<ChainId, CacheLocation>,
}

impl Program {
    pub(crate) fn new(tenant: TenantId) -> Self {
        Self {
            tenant,
            prefixes: Vec::new(),
            engines: BTreeMap::new(),
            chain_service: BTreeMap::new(),
            paused: BTreeMap::new(),
            offloaded: BTreeMap::new(),
        }
    }

    /// Service attained by the chain with the most: it bounds the program's latency.
    pub(crate) fn attained_service(&self) -> Duration {
        self.chain_service.values().max().copied().unwrap_or_default()
    }

    pub(crate) fn add_service(&mut self, chain: ChainId, service: Duration) {
        let known = self.chain_service.entry(chain).or_default();
        *known = Duration::from_micros(known.as_micros().saturating_add(service.as_micros()));
    }

    /// Raises a chain's service to what another scheduler recorded for the program.
    pub(crate) fn raise_service(&mut self, chain: ChainId, attained: Duration) {
        let known = self.chain_service.entry(chain).or_default();
        *known = (*known).max(attained);
    }

    /// The engines that are expected to have part of the call's prompt cached.
    pub(crate) fn cached_for(&self, call: &Call) -> Vec<CacheLocation> {
        let mut found: Vec<CacheLocation> = Vec::new();
        for prefix in &self.prefixes {
            let index = prefix.segments.wrapping_sub(1);
            if call.prefix_hashes.get(index) != Some(&prefix.hash) {
                continue;
            }
            let reported =
                self.engines.get(&prefix.slot).and_then(|on_engine| on_engine.reported_tokens);
            let expected = (prefix.prompt + prefix.answer).min(call.prompt_tokens());
            let tokens = expected.min(reported.unwrap_or(u64::MAX));
            match found.iter_mut().find(|cached| cached.slot == prefix.slot) {
                Some(cached) => cached.tokens = cached.tokens.max(tokens),
                None => found.push(CacheLocation { slot: prefix.slot, tokens }),
            }
        }
        found.retain(|cached| cached.tokens > 0);
        found
    }

    /// The engine that served the chain last.
    pub(crate) fn chain_engine(&self, chain: ChainId) -> Option<EngineSlot> {
        let last = self.prefixes.iter().rev().find(|prefix| prefix.chain == chain);
        last.map(|prefix| prefix.slot)
    }

    /// The engine that served the program last.
    pub(crate) fn last_engine(&self) -> Option<EngineSlot> {
        self.prefixes.last().map(|prefix| prefix.slot)
    }

    /// Records a dispatch. From now on the engine may hold cache that must be released.
    pub(crate) fn record_dispatch(&mut self, slot: EngineSlot) {
        self.engines.entry(slot).or_default().open_attempts += 1;
    }

    /// Records the end of an attempt.
    pub(crate) fn record_end(&mut self, slot: EngineSlot) {
        if let Some(on_engine) = self.engines.get_mut(&slot) {
            on_engine.open_attempts = on_engine.open_attempts.saturating_sub(1);
        }
    }

    /// Records that an engine computed a call's prompt and answer.
    pub(crate) fn record_prefix(&mut self, slot: EngineSlot, call: &Call, answer: u64) {
        let chain = call.id().chain;
        self.prefixes.retain(|prefix| prefix.slot != slot || prefix.chain != chain);
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.remove(0);
        }
        let prompt = call.prompt_tokens();
        let hash = call.prefix_hashes.last().copied().unwrap_or_default();
        let segments = call.prefix_hashes.len();
        self.prefixes.push(CachedPrefix { slot, chain, hash, segments, prompt, answer });
        if let Some(reported) = self.engines.entry(slot).or_default().reported_tokens.as_mut() {
            *reported = (*reported).max(prompt + answer);
        }
    }

    /// Records the cached tokens that an engine reported for the program.
    pub(crate) fn set_reported_tokens(&mut self, slot: EngineSlot, tokens: u64) {
        self.engines.entry(slot).or_default().reported_tokens = Some(tokens);
    }

    /// Records that an engine has none of the program's cache.
    pub(crate) fn clear_cache(&mut self, slot: EngineSlot) {
        self.prefixes.retain(|prefix| prefix.slot != slot);
        if let Some(on_engine) = self.engines.get_mut(&slot) {
            on_engine.reported_tokens = Some(0);
        }
    }

    /// Whether the program has open attempts on the engine.
    pub(crate) fn has_open_attempts_on(&self, slot: EngineSlot) -> bool {
        self.engines.get(&slot).is_some_and(|on_engine| on_engine.open_attempts > 0)
    }

    /// The engines that may hold cache of the program.
    pub(crate) fn engines(&self) -> impl Iterator<Item = EngineSlot> + '_ {
        self.engines.keys().copied()
    }

    /// The engines, besides `current`, whose cache neither an open attempt nor another chain uses.
    pub(crate) fn superseded_engines(
        &self,
        chain: ChainId,
        current: EngineSlot,
    ) -> Vec<EngineSlot> {
        let of_other_chains: BTreeSet<EngineSlot> = self
            .prefixes
            .iter()
            .filter(|prefix| prefix.chain != chain)
            .map(|prefix| prefix.slot)
            .collect();
        let unused = self.engines.iter().filter(|(slot, on_engine)| {
            **slot != current
                && on_engine.open_attempts == 0
                && on_engine.reported_tokens != Some(0)
                && !of_other_chains.contains(slot)
        });
        unused.map(|(slot, _)| *slot).collect()
    }

    /// The chain's copy in a host's memory.
    pub(crate) fn offloaded(&self, chain: ChainId) -> Option<CacheLocation> {
        self.offloaded.get(&chain).copied()
    }

    /// Records a copy of the chain's cache in a host's memory.
    pub(crate) fn set_offloaded(&mut self, chain: ChainId, copy: CacheLocation) {
        self.offloaded.insert(chain, copy);
    }

    /// Removes the record of the chain's copy in a host's memory.
    pub(crate) fn remove_offloaded(&mut self, chain: ChainId) {
        self.offloaded.remove(&chain);
    }

    /// The chain's pause, if it is the one that began at `paused_at`.
    pub(crate) fn find_pause(&self, chain: ChainId, paused_at: Timestamp) -> Option<&PausedChain> {
        self.paused.get(&chain).filter(|paused| paused.paused_at == paused_at)
    }

    /// The chain's pause, if it is paused.
    pub(crate) fn paused_mut(&mut self, chain: ChainId) -> Option<&mut PausedChain> {
        self.paused.get_mut(&chain)
    }

    /// Records a chain's pause.
    pub(crate) fn pause(&mut self, chain: ChainId, paused: PausedChain) {
        self.paused.insert(chain, paused);
    }

    /// Ends a chain's pause and returns it.
    pub(crate) fn resume(&mut self, chain: ChainId) -> Option<PausedChain> {
        self.paused.remove(&chain)
    }

    /// The paused chains.
    pub(crate) fn paused(&self) -> impl Iterator<Item = &PausedChain> {
        self.paused.values()
    }

    /// The latest time until which a paused chain's cache is worth keeping on the engine.
    pub(crate) fn keep_until(&self, slot: EngineSlot) -> Option<Timestamp> {
        let paused = self.paused.values().filter(|paused| paused.engine == Some(slot));
        paused.map(|paused| paused.keep_until).max()
    }

    /// Removes the records of a chain that issues no more calls.
    pub(crate) fn end_chain(&mut self, chain: ChainId) {
        self.prefixes.retain(|prefix| prefix.chain != chain);
        self.paused.remove(&chain);
        self.offloaded.remove(&chain);
    }
}

/// The records of a scheduler's programs.
#[derive(Debug, Default)]
pub(crate) struct Programs {
    live: BTreeMap<ProgramId, Program>,
    /// Ended programs, with the engines that have not confirmed the release and the time of the
    /// last request to each.
    unconfirmed_releases: BTreeMap<ProgramId, BTreeMap<EngineSlot, Timestamp>>,
}

impl Programs {
    pub(crate) fn get(&self, program: ProgramId) -> Option<&Program> {
        self.live.get(&program)
    }

    pub(crate) fn get_mut(&mut self, program: ProgramId) -> Option<&mut Program> {
        self.live.get_mut(&program)
    }

    /// The record of a call's program; a new one for an unknown program.
    pub(crate) fn get_or_insert(&mut self, call: CallId, tenant: &TenantId) -> &mut Program {
        self.live.entry(call.program).or_insert_with(|| Program::new(tenant.clone()))
    }

    pub(crate) fn remove(&mut self, program: ProgramId) -> Option<Program> {
        self.live.remove(&program)
    }

    pub(crate) fn len(&self) -> usize {
        self.live.len()
    }

    /// Number of releases that engines have not confirmed.
    pub(crate) fn unconfirmed_release_count(&self) -> usize {
        self.unconfirmed_releases.values().map(BTreeMap::len).sum()
    }

    /// Whether the program has ended and the engine has not confirmed its release.
    pub(crate) fn is_releasing(&self, program: ProgramId, slot: EngineSlot) -> bool {
        self.unconfirmed_releases.get(&program).is_some_and(|engines| engines.contains_key(&slot))
    }

    /// Records a request to an engine to release an ended program.
    pub(crate) fn record_release_request(
        &mut self,
        program: ProgramId,
        slot: EngineSlot,
        at: Timestamp,
    ) {
        self.unconfirmed_releases.entry(program).or_default().insert(slot, at);
    }

    /// Records that an engine confirmed the release of an ended program.
    pub(crate) fn confirm_release(&mut self, program: ProgramId, slot: EngineSlot) {
        let Some(engines) = self.unconfirmed_releases.get_mut(&program) else { return };
        engines.remove(&slot);
        if engines.is_empty() {
            self.unconfirmed_releases.remove(&program);
        }
    }

    /// The unconfirmed releases whose last request was at `limit` or before.
    pub(crate) fn releases_requested_until(
        &self,
        limit: Timestamp,
    ) -> Vec<(ProgramId, EngineSlot)> {
        let pending = self.unconfirmed_releases.iter().flat_map(|(program, engines)| {
            engines.iter().map(move |(slot, requested_at)| (*program, *slot, *requested_at))
        });
        let overdue = pending.filter(|(_, _, requested_at)| *requested_at <= limit);
        overdue.map(|(program, slot, _)| (program, slot)).collect()
    }

    /// Records that an engine lost its whole cache. Releases there are no longer needed.
    pub(crate) fn clear_engine_cache(&mut self, slot: EngineSlot) {
        for program in self.live.values_mut() {
            program.clear_cache(slot);
            program.offloaded.retain(|_, copy| copy.slot != slot);
        }
        self.unconfirmed_releases.retain(|_, engines| {
            engines.remove(&slot);
            !engines.is_empty()
        });
    }
}
