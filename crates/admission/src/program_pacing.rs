//! How many programs may start. A program's first turn promises to serve the turns that follow. If more
//! programs start than can be served to their end, all of them are late. So a first turn reserves the
//! turns that its program is expected to have, and each attempt that ends gives credit for one more turn.
//!
//! Credit is counted twice: by rank, where later ranks have what earlier ones leave; and by tenant, where
//! all tenants that promised turns recently have even shares. Credit of either kind lets a program start,
//! so a tenant within its share need not wait until the excess of others is served.

use std::collections::BTreeMap;

use dahlia_types::{Duration, Timestamp};

use crate::{QueuedRequest, TenantKey};

/// The most turns that may be promised in advance: the credit that a quiet period saves up.
const MAX_CREDIT_TURNS: f64 = 4.0;
/// The weight of the newest sample in the mean time that programs have.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.1;
/// The turns that a tenant may have promised above its share before it goes behind others.
const MAX_EXCESS_TURNS: f64 = 16.0;
/// The decayed number of started programs below which the turns of a program are unknown.
const MIN_STARTED_PROGRAMS: f64 = 3.0;

/// Decaying counts of the turns of one rank's programs.
#[derive(Debug, Clone, Copy, Default)]
struct RankTurns {
    started_programs: f64,
    turns: f64,
    /// Turns that this rank may promise: those that ended, less those that this rank and earlier ones
    /// promised. Negative if more were promised than were served meanwhile.
    credit: f64,
    /// Mean time that programs have when they start, in seconds.
    mean_time_s: f64,
}

/// Turns that were promised and served.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProgramPacing {
    by_rank: BTreeMap<u32, RankTurns>,
    /// Turns that each tenant's share has given credit for.
    served_per_share: f64,
    /// Turns that each tenant has promised, on the same scale.
    promised: BTreeMap<TenantKey, f64>,
    updated_at: Timestamp,
}

impl ProgramPacing {
    /// Records that a request goes to a server.
    pub(crate) fn record_dispatch(
        &mut self,
        request: &QueuedRequest,
        half_life: Duration,
        now: Timestamp,
    ) {
        self.decay(half_life, now);
        let counts = self.by_rank.entry(request.rank).or_default();
        counts.turns += 1.0;
        if request.stage.is_under_way() {
            return;
        }
        counts.started_programs += 1.0;
        let turns = self.turns_per_program(request.rank);
        for (_, counts) in self.by_rank.range_mut(request.rank..) {
            counts.credit -= turns;
        }
        let before = self.promised_by(request.tenant);
        self.promised.insert(request.tenant, before + turns);
    }

    /// Records that an attempt ended.
    pub(crate) fn record_end(&mut self, half_life: Duration, now: Timestamp) {
        self.decay(half_life, now);
        for counts in self.by_rank.values_mut() {
            counts.credit = (counts.credit + 1.0).min(MAX_CREDIT_TURNS);
        }
        self.served_per_share += 1.0 / self.promised.len().max(1) as f64;
        let least = self.served_per_share - MAX_CREDIT_TURNS;
        self.promised.retain(|_, promised| *promised > least);
    }

    /// Whether a request may go without too many programs being started.
    pub(crate) fn may_go(&self, request: &QueuedRequest) -> bool {
        request.stage.is_under_way()
            || self.credit(request.rank) > 0.0
            || self.excess_turns(request.tenant) == 0.0
    }

    /// Whether a tenant has promised far more than its share.
    pub(crate) fn is_over_share(&self, tenant: TenantKey) -> bool {
        self.promised.len() > 1 && self.excess_turns(tenant) > MAX_EXCESS_TURNS
    }

    /// Returns the turns of a tenant's share that must end before it may start a program.
    fn excess_turns(&self, tenant: TenantKey) -> f64 {
        (self.promised_by(tenant) - self.served_per_share).max(0.0)
    }

    /// Returns the turns that must end before a tenant may start a program of this rank.
    pub(crate) fn turns_before_start(&self, rank: u32, tenant: TenantKey) -> f64 {
        let by_share = self.excess_turns(tenant) * self.promised.len().max(1) as f64;
        by_share.min((-self.credit(rank)).max(0.0))
    }

    /// Records that a new program arrived, and the time until it should be over.
    pub(crate) fn record_arrival(&mut self, rank: u32, time: Duration) {
        let counts = self.by_rank.entry(rank).or_default();
        let time_s = time.as_secs_f64();
        let before = if counts.mean_time_s > 0.0 { counts.mean_time_s } else { time_s };
        counts.mean_time_s = before + (time_s - before) * NEWEST_SAMPLE_WEIGHT;
    }

    /// Returns the mean time that programs of this rank have when they start.
    pub(crate) fn mean_time(&self, rank: u32) -> Duration {
        let counts = self.by_rank.get(&rank).copied().unwrap_or_default();
        Duration::from_secs_f64(counts.mean_time_s)
    }

    fn credit(&self, rank: u32) -> f64 {
        self.by_rank.get(&rank).map_or(MAX_CREDIT_TURNS, |counts| counts.credit)
    }

    fn promised_by(&self, tenant: TenantKey) -> f64 {
        let least = self.served_per_share - MAX_CREDIT_TURNS;
        self.promised.get(&tenant).copied().unwrap_or(least).max(least)
    }

    /// Returns the mean turns of a program of this rank, or one while too few programs have started.
    pub(crate) fn turns_per_program(&self, rank: u32) -> f64 {
        let counts = self.by_rank.get(&rank).copied().unwrap_or_default();
        if counts.started_programs < MIN_STARTED_PROGRAMS {
            return 1.0;
        }
        (counts.turns / counts.started_programs).max(1.0)
    }

    fn decay(&mut self, half_life: Duration, now: Timestamp) {
        let half_lives = now.since(self.updated_at).as_secs_f64() / half_life.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        self.updated_at = now;
        // Programs that end early, or never, leave reserved turns that never come.
        for counts in self.by_rank.values_mut() {
            counts.credit *= factor;
            counts.started_programs *= factor;
            counts.turns *= factor;
        }
    }
}
