//! What is known of each program: where its cache is, what service it had, what it waits for.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{CallId, ChainId, Duration, ProgramId, TenantId, Timestamp};

use crate::call::Call;
use crate::view::EngineSlot;

/// Prefixes remembered per program; the oldest goes first.
const MOST_PREFIXES: usize = 12;

/// A prefix that an engine computed for the program.
#[derive(Debug, Clone, Copy)]
struct CachedPrefix {
    slot: EngineSlot,
    chain: ChainId,
    /// Hash and number of segments of the prompt.
    hash: u64,
    segments: usize,
    /// Tokens of the prompt, and of the answer that follows it.
    prompt: u64,
    answer: u64,
}

/// A chain that waits for something other than an engine.
#[derive(Debug, Clone)]
pub(crate) struct Paused {
    pub tool: Option<String>,
    pub since: Timestamp,
    /// The engine with the chain's cache, and how long it is worth keeping.
    pub home: Option<EngineSlot>,
    pub keep_until: Timestamp,
}

/// What an engine has of the program.
#[derive(Debug, Clone, Copy, Default)]
struct Presence {
    /// Attempts under way.
    open: usize,
    /// Tokens cached as the engine told last; none while it told nothing.
    told: Option<u64>,
}

/// Expected cached tokens of a prompt on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CachedOn {
    pub slot: EngineSlot,
    pub tokens: u64,
}

/// One program.
#[derive(Debug)]
pub(crate) struct Program {
    pub tenant: TenantId,
    prefixes: Vec<CachedPrefix>,
    engines: BTreeMap<EngineSlot, Presence>,
    service: BTreeMap<ChainId, Duration>,
    paused: BTreeMap<ChainId, Paused>,
    /// Copies in hosts' memories.
    offloaded: BTreeMap<ChainId, CachedOn>,
}

impl Program {
    pub(crate) fn new(tenant: TenantId) -> Self {
        Self {
            tenant,
            prefixes: Vec::new(),
            engines: BTreeMap::new(),
            service: BTreeMap::new(),
            paused: BTreeMap::new(),
            offloaded: BTreeMap::new(),
        }
    }

    /// Service along the longest chain: the part that bounds the program's latency.
    pub(crate) fn attained(&self) -> Duration {
        self.service.values().max().copied().unwrap_or_default()
    }

    pub(crate) fn add_service(&mut self, chain: ChainId, service: Duration) {
        let known = self.service.entry(chain).or_default();
        *known = Duration::from_micros(known.as_micros().saturating_add(service.as_micros()));
    }

    /// Takes over what another scheduler recorded for the program.
    pub(crate) fn raise_service(&mut self, chain: ChainId, attained: Duration) {
        let known = self.service.entry(chain).or_default();
        *known = (*known).max(attained);
    }

    /// Engines that have part of the call's prompt cached, as far as is known.
    pub(crate) fn cached_for(&self, call: &Call) -> Vec<CachedOn> {
        let mut found: Vec<CachedOn> = Vec::new();
        for prefix in &self.prefixes {
            let place = prefix.segments.wrapping_sub(1);
            if call.prefixes.get(place) != Some(&prefix.hash) {
                continue;
            }
            let told = self.engines.get(&prefix.slot).and_then(|presence| presence.told);
            let expected = (prefix.prompt + prefix.answer).min(call.prompt_tokens());
            let tokens = expected.min(told.unwrap_or(u64::MAX));
            match found.iter_mut().find(|cached| cached.slot == prefix.slot) {
                Some(cached) => cached.tokens = cached.tokens.max(tokens),
                None => found.push(CachedOn { slot: prefix.slot, tokens }),
            }
        }
        found.retain(|cached| cached.tokens > 0);
        found
    }

    /// The engine that served the chain last.
    pub(crate) fn home(&self, chain: ChainId) -> Option<EngineSlot> {
        let last = self.prefixes.iter().rev().find(|prefix| prefix.chain == chain);
        last.map(|prefix| prefix.slot)
    }

    /// The engine that served the program last.
    pub(crate) fn last_engine(&self) -> Option<EngineSlot> {
        self.prefixes.last().map(|prefix| prefix.slot)
    }

    /// Notes a dispatch: the obligation to release begins here.
    pub(crate) fn dispatched(&mut self, slot: EngineSlot) {
        self.engines.entry(slot).or_default().open += 1;
    }

    /// Notes the end of an attempt.
    pub(crate) fn ended(&mut self, slot: EngineSlot) {
        if let Some(presence) = self.engines.get_mut(&slot) {
            presence.open = presence.open.saturating_sub(1);
        }
    }

    /// Notes that an engine computed a call's prompt and answer.
    pub(crate) fn computed(&mut self, slot: EngineSlot, call: &Call, answer: u64) {
        let chain = call.id().chain;
        self.prefixes.retain(|prefix| prefix.slot != slot || prefix.chain != chain);
        if self.prefixes.len() >= MOST_PREFIXES {
            self.prefixes.remove(0);
        }
        let prompt = call.prompt_tokens();
        let hash = call.prefixes.last().copied().unwrap_or_default();
        let segments = call.prefixes.len();
        self.prefixes.push(CachedPrefix { slot, chain, hash, segments, prompt, answer });
        if let Some(told) = self.engines.entry(slot).or_default().told.as_mut() {
            *told = (*told).max(prompt + answer);
        }
    }

    /// Takes in what an engine told of the program's cache there.
    pub(crate) fn told(&mut self, slot: EngineSlot, tokens: u64) {
        self.engines.entry(slot).or_default().told = Some(tokens);
    }

    /// Forgets the cache on an engine.
    pub(crate) fn forget_cache(&mut self, slot: EngineSlot) {
        self.prefixes.retain(|prefix| prefix.slot != slot);
        if let Some(presence) = self.engines.get_mut(&slot) {
            presence.told = Some(0);
        }
    }

    /// Whether attempts are under way on the engine.
    pub(crate) fn is_open_on(&self, slot: EngineSlot) -> bool {
        self.engines.get(&slot).is_some_and(|presence| presence.open > 0)
    }

    /// Engines that may hold something of the program.
    pub(crate) fn engines(&self) -> impl Iterator<Item = EngineSlot> + '_ {
        self.engines.keys().copied()
    }

    /// Engines with cache that no attempt, no paused chain and no chain's last call points to.
    pub(crate) fn superseded(&self, chain: ChainId, current: EngineSlot) -> Vec<EngineSlot> {
        let of_others: BTreeSet<EngineSlot> = self
            .prefixes
            .iter()
            .filter(|prefix| prefix.chain != chain)
            .map(|prefix| prefix.slot)
            .collect();
        let old = self.engines.iter().filter(|(slot, presence)| {
            **slot != current
                && presence.open == 0
                && presence.told != Some(0)
                && !of_others.contains(slot)
        });
        old.map(|(slot, _)| *slot).collect()
    }

    /// The chain's copy in a host's memory.
    pub(crate) fn offloaded(&self, chain: ChainId) -> Option<CachedOn> {
        self.offloaded.get(&chain).copied()
    }

    /// Notes a copy in a host's memory.
    pub(crate) fn set_offloaded(&mut self, chain: ChainId, copy: CachedOn) {
        self.offloaded.insert(chain, copy);
    }

    /// Forgets the chain's copy in a host's memory.
    pub(crate) fn forget_offloaded(&mut self, chain: ChainId) {
        self.offloaded.remove(&chain);
    }

    /// What a paused chain waits for, if it is the pause that began at `since`.
    pub(crate) fn paused_since(&self, chain: ChainId, since: Timestamp) -> Option<&Paused> {
        self.paused.get(&chain).filter(|paused| paused.since == since)
    }

    /// The paused chain's entry.
    pub(crate) fn paused_mut(&mut self, chain: ChainId) -> Option<&mut Paused> {
        self.paused.get_mut(&chain)
    }

    /// Notes that a chain waits.
    pub(crate) fn pause(&mut self, chain: ChainId, paused: Paused) {
        self.paused.insert(chain, paused);
    }

    /// Notes that a chain is back; gives what it waited for.
    pub(crate) fn resume(&mut self, chain: ChainId) -> Option<Paused> {
        self.paused.remove(&chain)
    }

    /// The chains that wait.
    pub(crate) fn paused(&self) -> impl Iterator<Item = &Paused> {
        self.paused.values()
    }

    /// Until when the paused chains want their cache on the engine.
    pub(crate) fn keep_until(&self, slot: EngineSlot) -> Option<Timestamp> {
        let wanted = self.paused.values().filter(|paused| paused.home == Some(slot));
        wanted.map(|paused| paused.keep_until).max()
    }

    /// Forgets a chain that issues no more calls.
    pub(crate) fn end_chain(&mut self, chain: ChainId) {
        self.prefixes.retain(|prefix| prefix.chain != chain);
        self.paused.remove(&chain);
        self.offloaded.remove(&chain);
    }
}

/// The programs of this scheduler.
#[derive(Debug, Default)]
pub(crate) struct Programs {
    live: BTreeMap<ProgramId, Program>,
    /// Ended programs and the engines that have not confirmed their release, with the time of
    /// the last request.
    releasing: BTreeMap<ProgramId, BTreeMap<EngineSlot, Timestamp>>,
}

impl Programs {
    pub(crate) fn get(&self, program: ProgramId) -> Option<&Program> {
        self.live.get(&program)
    }

    pub(crate) fn get_mut(&mut self, program: ProgramId) -> Option<&mut Program> {
        self.live.get_mut(&program)
    }

    /// The program of a call, as new when it is not known.
    pub(crate) fn of_call(&mut self, call: CallId, tenant: &TenantId) -> &mut Program {
        self.live.entry(call.program).or_insert_with(|| Program::new(tenant.clone()))
    }

    pub(crate) fn remove(&mut self, program: ProgramId) -> Option<Program> {
        self.live.remove(&program)
    }

    pub(crate) fn len(&self) -> usize {
        self.live.len()
    }

    /// Releases that no engine has confirmed yet.
    pub(crate) fn unconfirmed(&self) -> usize {
        self.releasing.values().map(BTreeMap::len).sum()
    }

    /// Whether the program has ended and an engine may still hold it.
    pub(crate) fn is_releasing(&self, program: ProgramId, slot: EngineSlot) -> bool {
        self.releasing.get(&program).is_some_and(|engines| engines.contains_key(&slot))
    }

    /// Notes that an engine was asked to release an ended program.
    pub(crate) fn release_asked(&mut self, program: ProgramId, slot: EngineSlot, at: Timestamp) {
        self.releasing.entry(program).or_default().insert(slot, at);
    }

    /// Notes that an engine holds nothing of an ended program.
    pub(crate) fn release_confirmed(&mut self, program: ProgramId, slot: EngineSlot) {
        let Some(engines) = self.releasing.get_mut(&program) else { return };
        engines.remove(&slot);
        if engines.is_empty() {
            self.releasing.remove(&program);
        }
    }

    /// Releases that were asked for before `since` and are not confirmed.
    pub(crate) fn overdue(&self, since: Timestamp) -> Vec<(ProgramId, EngineSlot)> {
        let pending = self.releasing.iter().flat_map(|(program, engines)| {
            engines.iter().map(move |(slot, asked)| (*program, *slot, *asked))
        });
        let late = pending.filter(|(_, _, asked)| *asked <= since);
        late.map(|(program, slot, _)| (program, slot)).collect()
    }

    /// An engine's cache is gone: nothing of any program is there.
    pub(crate) fn forget_engine(&mut self, slot: EngineSlot) {
        for program in self.live.values_mut() {
            program.forget_cache(slot);
            program.offloaded.retain(|_, copy| copy.slot != slot);
        }
        self.releasing.retain(|_, engines| {
            engines.remove(&slot);
            !engines.is_empty()
        });
    }
}
