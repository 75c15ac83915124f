//! The keeper of some tenants' limits. It counts what gateways admit, and answers gateways that ask.
//!
//! Its state is not durable. A new keeper starts with a quarter of a burst, so that it and its
//! predecessor together admit no more than that above the limit.

use std::collections::{BTreeMap, HashMap};

use dahlia_types::{DaemonId, Duration, Incarnation, TenantId, Timestamp};

use crate::handover::ReportedMeans;
use crate::lost_history::RestartTracker;
use crate::programs::ProgramStats;
use crate::tenant_limit::TenantLimit;
use crate::window::CATCH_UP_TIME;
use crate::{
    ActiveProgramReport, KeeperTerm, LimitCommand, LimitReply, LimitSettings, ProgramHandover,
    ProgramKey, ProgramProgress, TenantUsage, UsageReport, Verdict, VersionedLimit,
};

/// The time after which the state of an idle tenant is removed. By then its bucket is full, unless its limit is
/// below one request in this time.
const TENANT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Enforces the limits of the tenants that belong to one replica group.
#[derive(Debug)]
pub struct LimitKeeper {
    settings: LimitSettings,
    term: KeeperTerm,
    started_at: Timestamp,
    tenants: BTreeMap<TenantId, TenantLimit>,
    /// The last report of each gateway.
    reports: HashMap<DaemonId, LastReport>,
    /// The number of gateways, reachable or not.
    gateways: usize,
    restarts: RestartTracker,
    /// The share of gateways that are unreachable, and since when.
    unreachable: Option<(f64, Timestamp)>,
    /// Since when all gateways are reachable again.
    all_reachable_since: Option<Timestamp>,
    program_stats: ProgramStats,
    reported_means: ReportedMeans,
    next_sweep: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct LastReport {
    incarnation: Incarnation,
    sequence: u64,
    received_at: Timestamp,
}

impl LimitKeeper {
    /// Creates a keeper that starts now. It knows of no earlier request.
    pub fn new(settings: LimitSettings, term: KeeperTerm, now: Timestamp) -> Self {
        let restarts = RestartTracker::new(now, settings.window());
        Self {
            settings,
            term,
            started_at: now,
            tenants: BTreeMap::new(),
            reports: HashMap::new(),
            restarts,
            gateways: 0,
            unreachable: None,
            all_reachable_since: None,
            program_stats: ProgramStats::default(),
            reported_means: ReportedMeans::default(),
            next_sweep: now,
        }
    }

    /// Answers a command.
    pub fn serve(&mut self, command: LimitCommand, now: Timestamp) -> LimitReply {
        self.remove_idle_tenants(now);
        match command {
            LimitCommand::Report(report) => self.count(report, now),
            LimitCommand::Ask { tenant, limit, program, max_wait, progress } => {
                self.answer(tenant, limit, program, progress, max_wait, now)
            }
        }
    }

    /// Sets the number of gateways, reachable or not.
    pub fn set_gateway_count(&mut self, gateways: usize) {
        self.gateways = gateways;
    }

    /// Sets the share of gateways that are unreachable. Each of them goes on with what passed there
    /// before, so the keeper reserves as much for them.
    pub fn set_unreachable_share(&mut self, share: f64, now: Timestamp) {
        if share <= 0.0 {
            // The reservation stays until these gateways have reported what passed there.
            let since = *self.all_reachable_since.get_or_insert(now);
            self.unreachable.take_if(|_| now.since(since) >= CATCH_UP_TIME);
            return;
        }
        self.all_reachable_since = None;
        let since = self.unreachable.map_or(now, |(_, since)| since);
        self.unreachable = Some((share, since));
    }

    /// Returns the permits of a tenant, for operators and tests, or none if it sent nothing recently.
    pub fn available_permits(&mut self, tenant: &TenantId, now: Timestamp) -> Option<f64> {
        self.tenants.get_mut(tenant).map(|limit| limit.available(now))
    }

    fn count(&mut self, report: UsageReport, now: Timestamp) -> LimitReply {
        let UsageReport { gateway, incarnation, sequence, .. } = report;
        let last = self.reports.get(&gateway);
        let is_repeated =
            last.is_some_and(|last| last.incarnation == incarnation && last.sequence >= sequence);
        if !is_repeated {
            self.reports.insert(gateway, LastReport { incarnation, sequence, received_at: now });
            self.restarts.record(&report, now);
        }
        let handover = report.handover;
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
        if !is_repeated {
            self.take_over(gateway, handover, now);
        }
        LimitReply::Counted { scarce, keeper: self.term, means: self.program_stats.means() }
    }

    /// Takes over what a gateway knows of programs from before this keeper.
    fn take_over(&mut self, gateway: DaemonId, handover: ProgramHandover, now: Timestamp) {
        for ActiveProgramReport { tenant, program, progress } in handover.programs {
            if let Some(tenant) = self.tenants.get_mut(&tenant) {
                tenant.resume_program(program, progress, now);
            }
        }
        let is_new = now.since(self.started_at) < CATCH_UP_TIME;
        if let Some(means) = handover.means.filter(|_| is_new) {
            self.reported_means.record(gateway, means);
            if let Some(means) = self.reported_means.median() {
                self.program_stats.inherit(means);
            }
        }
    }

    fn count_usage(&mut self, usage: TenantUsage, now: Timestamp) {
        let term = self.term;
        let tenant = self.tenants.entry(usage.tenant);
        let tenant = tenant
            .or_insert_with(|| TenantLimit::new(&self.settings, usage.limit, self.started_at, now));
        tenant.update_limit(usage.limit, now);
        tenant.set_lost_history(self.restarts.lost_history(now));
        tenant.set_unreachable(self.unreachable);
        let uncounted = usage.delayed.into_iter().filter(|request| request.counted_by != term);
        let uncounted = uncounted.map(|request| request.program);
        let passed: Vec<Option<ProgramKey>> = usage.requests.into_iter().chain(uncounted).collect();
        tenant.count_past(&usage.past, now);
        tenant.count(&passed, &usage.refunded, now);
        tenant.expire_programs(&self.settings, &mut self.program_stats, now);
    }

    fn answer(
        &mut self,
        tenant: TenantId,
        limit: VersionedLimit,
        program: Option<ProgramKey>,
        progress: Option<ProgramProgress>,
        max_wait: Duration,
        now: Timestamp,
    ) -> LimitReply {
        let tenant = self.tenants.entry(tenant);
        let tenant =
            tenant.or_insert_with(|| TenantLimit::new(&self.settings, limit, self.started_at, now));
        tenant.update_limit(limit, now);
        tenant.set_lost_history(self.restarts.lost_history(now));
        tenant.set_unreachable(self.unreachable);
        let unreported_share_since = unreported_share_since(&self.reports, self.gateways);
        tenant.update_reservation(&self.settings, self.gateways, unreported_share_since, now);
        tenant.expire_programs(&self.settings, &mut self.program_stats, now);
        let is_scarce = tenant.is_scarce(&self.settings, &self.program_stats, now);
        let is_scarce = is_scarce || tenant.is_catching_up(now);
        if let (Some(program), Some(progress)) = (program, progress)
            && !tenant.has_active_program(program)
        {
            tenant.resume_program(program, progress, now);
        }
        // To a keeper that has just started, no program is new unless the gateway says so: active ones
        // may not have sent it a request yet.
        let knows_programs = progress.is_some()
            || now.since(self.started_at) >= self.settings.program_idle_timeout();
        let limits_programs = self.settings.whole_programs && is_scarce && knows_programs;
        let turn = match program.filter(|_| limits_programs) {
            Some(program) => tenant.program_turn(program, &self.program_stats, &self.settings, now),
            None => tenant.next_permit(now),
        };
        let verdict = tenant.decide(program, turn, max_wait, now);
        // A refused program would have sent more than this request.
        let is_refused = matches!(verdict, Verdict::Refuse { .. });
        tenant.record_requested(if is_refused { self.program_stats.mean_requests() } else { 1.0 });
        LimitReply::Answer { verdict, is_scarce, keeper: self.term }
    }

    fn is_scarce(&mut self, tenant: &TenantId, now: Timestamp) -> bool {
        let (settings, stats) = (&self.settings, &self.program_stats);
        self.tenants.get_mut(tenant).is_some_and(|limit| limit.is_scarce(settings, stats, now))
    }

    fn remove_idle_tenants(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + TENANT_IDLE_TIMEOUT;
        self.tenants.retain(|_, limit| limit.was_used_within(TENANT_IDLE_TIMEOUT, now));
    }
}

/// Returns a function that gives the share of gateways that have not reported since a given time.
fn unreported_share_since(
    reports: &HashMap<DaemonId, LastReport>,
    gateways: usize,
) -> impl Fn(Timestamp) -> f64 {
    move |since| {
        let reported = reports.values().filter(|last| last.received_at >= since).count();
        gateways.saturating_sub(reported) as f64 / gateways.max(1) as f64
    }
}
