//! The keeper of some tenants' limits: counts what gateways let pass, and decides what they ask.
//!
//! Nothing of it is durable. A new keeper takes a quarter of a burst to be there, so that two lives
//! together let pass no more than that beyond the limit.

use std::collections::{BTreeMap, HashMap};

use dahlia_types::{DaemonId, Duration, Incarnation, TenantId, Timestamp};

use crate::kept::Kept;
use crate::memory::Memories;
use crate::programs::Needs;
use crate::window::TOLD_AFTER;
use crate::{
    KeeperTerm, LimitCommand, LimitReply, LimitSettings, ProgramKey, TenantUsage, UsageReport,
    Verdict, VersionedLimit,
};

/// A tenant that sent nothing for so long is forgotten. Its bucket is full by then, unless its limit
/// is below one request in this time.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Keeps the limits of the tenants that fall to one replica group.
#[derive(Debug)]
pub struct LimitKeeper {
    settings: LimitSettings,
    term: KeeperTerm,
    since: Timestamp,
    tenants: BTreeMap<TenantId, Kept>,
    /// The last report of each gateway.
    reports: HashMap<DaemonId, LastReport>,
    /// Gateways that there are, heard or not.
    gateways: usize,
    memories: Memories,
    /// The share of gateways that are out of reach, and since when.
    lost: Option<(f64, Timestamp)>,
    /// Since when all are there again.
    all_heard_since: Option<Timestamp>,
    needs: Needs,
    next_sweep: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct LastReport {
    incarnation: Incarnation,
    sequence: u64,
    heard_at: Timestamp,
}

impl LimitKeeper {
    /// A keeper from now on. It knows of no request before.
    pub fn new(settings: LimitSettings, term: KeeperTerm, now: Timestamp) -> Self {
        let memories = Memories::new(now, settings.window());
        Self {
            settings,
            term,
            since: now,
            tenants: BTreeMap::new(),
            reports: HashMap::new(),
            memories,
            gateways: 0,
            lost: None,
            all_heard_since: None,
            needs: Needs::default(),
            next_sweep: now,
        }
    }

    /// Answers a command.
    pub fn serve(&mut self, command: LimitCommand, now: Timestamp) -> LimitReply {
        self.forget_idle(now);
        match command {
            LimitCommand::Report(report) => self.count(report, now),
            LimitCommand::Ask { tenant, limit, program, max_wait } => {
                self.answer(tenant, limit, program, max_wait, now)
            }
        }
    }

    /// How many gateways there are, whether they are heard or not.
    pub fn set_gateway_count(&mut self, gateways: usize) {
        self.gateways = gateways;
    }

    /// Which share of the gateways is out of reach. They go on with what passed at each of them before,
    /// so that much is left to them.
    pub fn set_unreachable_share(&mut self, share: f64, now: Timestamp) {
        if share <= 0.0 {
            // Until they have told what passed there.
            let since = *self.all_heard_since.get_or_insert(now);
            self.lost.take_if(|_| now.since(since) >= TOLD_AFTER);
            return;
        }
        self.all_heard_since = None;
        let since = self.lost.map_or(now, |(_, since)| since);
        self.lost = Some((share, since));
    }

    /// Permits of a tenant now, for operators and tests; none when it sent nothing of late.
    pub fn available_permits(&mut self, tenant: &TenantId, now: Timestamp) -> Option<f64> {
        self.tenants.get_mut(tenant).map(|kept| kept.level(now))
    }

    fn count(&mut self, report: UsageReport, now: Timestamp) -> LimitReply {
        let UsageReport { gateway, incarnation, sequence, .. } = report;
        let last = self.reports.get(&gateway);
        let is_repeated =
            last.is_some_and(|last| last.incarnation == incarnation && last.sequence >= sequence);
        if !is_repeated {
            self.reports.insert(gateway, LastReport { incarnation, sequence, heard_at: now });
            self.memories.note(&report, now);
        }
        let mut scarce = Vec::new();
        for usage in report.usage {
            let tenant = usage.tenant.clone();
            if !is_repeated {
                self.count_usage(usage, now);
            }
            if self.is_scarce(&tenant, now) {
                scarce.push(tenant);
            }
        }
        LimitReply::Counted { scarce, keeper: self.term }
    }

    fn count_usage(&mut self, usage: TenantUsage, now: Timestamp) {
        let term = self.term;
        let kept = self.tenants.entry(usage.tenant);
        let kept = kept.or_insert_with(|| Kept::new(&self.settings, usage.limit, self.since, now));
        kept.learn_limit(usage.limit, now);
        kept.set_forgotten(self.memories.forgotten(now));
        kept.set_lost(self.lost);
        let others = usage.delayed.into_iter().filter(|waited| waited.counted_by != term);
        let others = others.map(|waited| waited.program);
        let passed: Vec<Option<ProgramKey>> = usage.requests.into_iter().chain(others).collect();
        kept.count_earlier(&usage.past, now);
        kept.count(&passed, &usage.refunded, now);
        kept.forget_ended(&self.settings, &mut self.needs, now);
    }

    fn answer(
        &mut self,
        tenant: TenantId,
        limit: VersionedLimit,
        program: Option<ProgramKey>,
        max_wait: Duration,
        now: Timestamp,
    ) -> LimitReply {
        let kept = self.tenants.entry(tenant);
        let kept = kept.or_insert_with(|| Kept::new(&self.settings, limit, self.since, now));
        kept.learn_limit(limit, now);
        kept.set_forgotten(self.memories.forgotten(now));
        kept.set_lost(self.lost);
        let untold_since = untold_since(&self.reports, self.gateways);
        kept.set_untold(&self.settings, self.gateways, untold_since, now);
        kept.forget_ended(&self.settings, &mut self.needs, now);
        let is_scarce = kept.is_scarce(&self.settings, &self.needs, now);
        let is_scarce = is_scarce || kept.is_catching_up(now);
        // A keeper that has just begun takes nobody for new: programs under way have not come by yet.
        let knows_programs = now.since(self.since) >= self.settings.program_rest();
        let counts_programs = self.settings.whole_programs && is_scarce && knows_programs;
        let place = match program.filter(|_| counts_programs) {
            Some(program) => kept.place(program, &self.needs, &self.settings, now),
            None => kept.next_permit(now),
        };
        let verdict = kept.decide(program, place, max_wait, now);
        // A refused program would have sent more than the request that asked for it.
        let is_refused = matches!(verdict, Verdict::Refuse { .. });
        kept.note_asked(if is_refused { self.needs.requests() } else { 1.0 });
        LimitReply::Answer { verdict, is_scarce, keeper: self.term }
    }

    fn is_scarce(&mut self, tenant: &TenantId, now: Timestamp) -> bool {
        let (settings, needs) = (&self.settings, &self.needs);
        self.tenants.get_mut(tenant).is_some_and(|kept| kept.is_scarce(settings, needs, now))
    }

    fn forget_idle(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + FORGOTTEN_AFTER;
        self.tenants.retain(|_, kept| kept.was_used_within(FORGOTTEN_AFTER, now));
    }
}

/// The share of gateways that have not reported since a moment.
fn untold_since(
    reports: &HashMap<DaemonId, LastReport>,
    gateways: usize,
) -> impl Fn(Timestamp) -> f64 {
    move |since| {
        let told = reports.values().filter(|last| last.heard_at >= since).count();
        gateways.saturating_sub(told) as f64 / gateways.max(1) as f64
    }
}
