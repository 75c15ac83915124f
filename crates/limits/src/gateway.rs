//! A gateway's side of rate limiting. It admits requests, reports what it admitted, and asks the keeper
//! while permits are scarce.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, TenantId, Timestamp};

use crate::bucket::TokenBucket;
use crate::history::RequestHistory;
use crate::local_quota::{FreePermits, LocalQuota};
use crate::{
    ActiveProgramReport, DelayedRequest, KeeperTerm, LimitCommand, LimitReply, LimitSettings,
    PastRequests, ProgramHandover, ProgramKey, ProgramMeans, ProgramProgress, ProgramRequest,
    RateLimit, TenantUsage, Tolerance, UsageReport, Verdict, VersionedLimit,
};

/// Unreported requests after which a gateway reports at once, whatever the limit. Most gateways see few
/// requests of a small tenant, so waiting for more of them saves little: with 15 requests a second at
/// each of 73 gateways and eight keepers, some 11 instead of 15 reports a second.
const MIN_UNREPORTED_REQUESTS: f64 = 1.0;
/// Time constant in seconds of the average of a gateway's own request rate.
const RATE_AVERAGING_S: f64 = 4.0;
/// The time after which the state of a tenant that sent nothing here is removed.
const TENANT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The burst of a gateway that decides without the keeper, in seconds of its own usual rate.
const FALLBACK_BURST_S: f64 = 0.2;
/// The age from which admitted requests are no longer reported, unless the deployment's window is longer.
/// No window of a few seconds holds them, and a keeper that comes back after an outage would charge them
/// to current requests.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(5);
/// How long a keeper's answer that permits are not scarce holds for a small tenant. One request admitted
/// without asking at each gateway would be more than is tolerated above its limit. It would also cost as many
/// messages as asking, since each such request is reported at once.
const NOT_SCARCE_VALIDITY: Duration = Duration::from_millis(500);
/// The time after which a keeper that has not answered is sent an empty report, as long as this gateway
/// remembers requests of the window. A new term in the answer shows that there is a successor, which
/// must be told of them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// The time after which a lower number of gateways takes effect. Partitions of a zone are shorter, and a
/// planned change of so many gateways takes longer.
const GATEWAY_DECREASE_DELAY: Duration = Duration::from_secs(60);
/// The time after which a report without an answer is sent again, so that the keeper learns soon after a
/// partition what passed without it.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The age from which requests are reported with the time at which they passed. Newer ones are counted at
/// the time of their report.
const LATE_REPORT_AGE: Duration = Duration::from_millis(1_000);
/// The shortest retry time that callers are given by a gateway that decides without the keeper.
const FALLBACK_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A gateway's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may pass, and is in the next report.
    Pass {
        /// Whether that report is due at once.
        report_now: bool,
    },
    /// The request may pass after this time, and is counted already.
    PassAfter(Duration),
    /// The keeper must be asked.
    Ask,
    /// The request may not pass.
    Refuse {
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
}

/// A keeper's answer to a gateway that asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperAnswer {
    /// Whether the request may pass.
    pub verdict: Verdict,
    /// Whether permits are scarce.
    pub is_scarce: bool,
    /// The keeper that answered.
    pub keeper: KeeperTerm,
}

/// One gateway's state of all limits.
#[derive(Debug)]
pub struct LimitGateway {
    settings: LimitSettings,
    id: DaemonId,
    incarnation: Incarnation,
    /// When the gateway restarted. What it admitted before is unknown. None if it has not restarted.
    restarted_at: Option<Timestamp>,
    /// The number of gateways that share the limits, including this one.
    gateways: u32,
    /// Since when fewer gateways are seen.
    fewer_since: Option<Timestamp>,
    keepers: BTreeMap<GroupId, KeeperState>,
}

/// What a gateway knows of one keeper and its tenants.
#[derive(Debug, Default)]
struct KeeperState {
    tenants: BTreeMap<TenantId, TenantState>,
    /// The report that has no answer yet, and when it was made.
    pending_report: Option<(UsageReport, Timestamp)>,
    /// When a report was sent that may still be answered.
    sent_at: Option<Timestamp>,
    /// When the first report since the last answer was sent.
    unanswered_since: Option<Timestamp>,
    last_sequence: u64,
    /// The keeper that answered last.
    term: Option<KeeperTerm>,
    /// The keeper that has been told what others before it counted, and whether this gateway restarted.
    informed_term: Option<KeeperTerm>,
    last_answer_at: Timestamp,
    /// What programs need, as a keeper last told.
    means: Option<ProgramMeans>,
}

impl KeeperState {
    /// Whether a new keeper may have started that does not know what passed here.
    fn needs_keepalive(&self, window: Duration, now: Timestamp) -> bool {
        let may_be_new =
            now.since(self.last_answer_at) >= KEEPALIVE_INTERVAL && self.term.is_some();
        may_be_new
            && self.tenants.values().any(|tenant| tenant.history.has_requests_within(window, now))
    }

    /// Returns what passed of a program, without what the keeper is yet to be told in a report. None if
    /// nothing did.
    fn progress(
        &self,
        tenant: &TenantId,
        program: ProgramKey,
        now: Timestamp,
    ) -> Option<ProgramProgress> {
        let state = self.tenants.get(tenant)?;
        let progress = state.quota.progress_of(program, now)?;
        let is_of_program = |other: &&Option<ProgramKey>| **other == Some(program);
        let unreported = state.admitted.iter().map(|(_, program)| program);
        let reports = self.pending_report.iter().flat_map(|(report, _)| &report.usage);
        let in_flight = reports.filter(|usage| usage.tenant == *tenant);
        let in_flight = in_flight.flat_map(|usage| &usage.requests);
        let untold = unreported.chain(in_flight).filter(is_of_program).count() as u32;
        let requests = progress.requests.saturating_sub(untold).max(1);
        Some(ProgramProgress { requests, ..progress })
    }

    /// Returns what to tell a keeper that is new to this gateway.
    fn handover(&self, idle_timeout: Duration, now: Timestamp) -> ProgramHandover {
        let mut programs = Vec::new();
        for (id, tenant) in &self.tenants {
            let active = tenant.quota.active_programs(idle_timeout, now).into_iter();
            programs.extend(active.map(|(program, progress)| ActiveProgramReport {
                tenant: id.clone(),
                program,
                progress,
            }));
        }
        ProgramHandover { means: self.means, programs }
    }

    /// Whether a report was sent that may still be answered.
    fn is_report_in_flight(&self, now: Timestamp) -> bool {
        self.sent_at.is_some_and(|sent_at| now.since(sent_at) < REPORT_RETRY_DELAY)
    }

    /// Records that a keeper answered.
    fn record_answer(&mut self, term: KeeperTerm, now: Timestamp) {
        self.last_answer_at = now;
        self.term = Some(term);
    }

    /// Whether the keeper that answered last has not been told yet what it cannot know.
    fn is_uninformed(&self) -> bool {
        self.term.is_some() && self.informed_term != self.term
    }
}

/// What a gateway knows of one tenant.
#[derive(Debug)]
struct TenantState {
    limit: VersionedLimit,
    admitted: Vec<(Timestamp, Option<ProgramKey>)>,
    /// Requests that the unanswered report lists with their times.
    reported_late: Vec<Timestamp>,
    delayed: Vec<DelayedRequest>,
    refunded: Vec<Option<ProgramKey>>,
    scarce_until: Timestamp,
    /// Until when permits are known not to be scarce.
    not_scarce_until: Timestamp,
    /// The rate of requests here, if the deployment sets no window.
    usual_rate: AverageRate,
    history: RequestHistory,
    /// Used if the deployment sets a window.
    quota: LocalQuota,
    /// Used while the keeper is unresponsive, if the deployment sets no window.
    fallback: Option<TokenBucket>,
    used_at: Timestamp,
}

/// An exponentially decaying average of requests a second.
#[derive(Debug, Default)]
struct AverageRate {
    per_second: f64,
    updated_at: Timestamp,
}

impl AverageRate {
    fn record(&mut self, now: Timestamp) {
        self.per_second = self.current(now) + 1.0 / RATE_AVERAGING_S;
        self.updated_at = now;
    }

    fn current(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / RATE_AVERAGING_S).exp()
    }
}

/// The permits that a keeper leaves free to all gateways.
struct FreeCapacity {
    tolerance: Option<Tolerance>,
    /// The share of a window's requests that is free while permits are not scarce.
    free_share: f64,
    gateways: f64,
}

impl FreeCapacity {
    fn per_gateway(&self, tolerance: &Tolerance, limit: RateLimit, is_scarce: bool) -> FreePermits {
        let free = if is_scarce { 0.0 } else { tolerance.allowance(limit) * self.free_share };
        let margin = tolerance.margin(limit);
        FreePermits {
            during_reservation: (free + margin) / self.gateways,
            after_reservation: margin / self.gateways,
            is_scarce,
        }
    }
}

impl TenantState {
    fn new(limit: VersionedLimit, now: Timestamp) -> Self {
        Self {
            limit,
            admitted: Vec::new(),
            reported_late: Vec::new(),
            delayed: Vec::new(),
            refunded: Vec::new(),
            scarce_until: Timestamp::ZERO,
            not_scarce_until: Timestamp::ZERO,
            usual_rate: AverageRate::default(),
            history: RequestHistory::default(),
            quota: LocalQuota::default(),
            fallback: None,
            used_at: now,
        }
    }

    /// Whether so many requests are unreported that a report cannot wait.
    fn is_report_due(&self, report_share: f64) -> bool {
        let max_unreported =
            (report_share * self.limit.limit.per_second()).max(MIN_UNREPORTED_REQUESTS);
        self.admitted.len() as f64 >= max_unreported
    }

    /// Whether requests of a program have passed here and it may not have ended.
    fn has_started(&self, program: Option<ProgramKey>, now: Timestamp) -> bool {
        program.is_some_and(|program| self.quota.progress_of(program, now).is_some())
    }

    fn has_unreported(&self) -> bool {
        !self.admitted.is_empty() || !self.delayed.is_empty() || !self.refunded.is_empty()
    }

    /// Takes the requests to report that were admitted without asking: first the recent ones, then those
    /// that passed longer ago while there was no keeper to report them to.
    fn take_admitted(
        &mut self,
        max_age: Duration,
        now: Timestamp,
    ) -> (Vec<Option<ProgramKey>>, Vec<PastRequests>) {
        let mut admitted = std::mem::take(&mut self.admitted);
        admitted.retain(|(at, _)| now.since(*at) < max_age);
        let is_late =
            |at: &Timestamp| self.quota.has_requests() && now.since(*at) >= LATE_REPORT_AGE;
        let reported_late: Vec<_> = admitted.iter().map(|(at, _)| *at).filter(is_late).collect();
        admitted.retain(|(at, _)| !is_late(at));
        let past = reported_late.iter().map(|at| PastRequests { age: now.since(*at), requests: 1 });
        let past = past.collect();
        self.reported_late = reported_late;
        (admitted.into_iter().map(|(_, program)| program).collect(), past)
    }

    fn admit(&mut self, program: Option<ProgramKey>, window: Option<Duration>, now: Timestamp) {
        self.admitted.push((now, program));
        self.record(program, window, now);
    }

    /// Records a request that passes, whether the gateway or the keeper decided it.
    fn record(&mut self, program: Option<ProgramKey>, window: Option<Duration>, now: Timestamp) {
        match window {
            Some(window) => self.quota.record(program, window, now),
            None => self.usual_rate.record(now),
        }
    }

    /// Takes a permit from the fallback bucket, which refills at a little more than the usual rate here.
    /// Returns the time until there is a permit, or zero if one was taken.
    fn take_fallback_permit(
        &mut self,
        limit: RateLimit,
        factor: f64,
        gateways: u32,
        now: Timestamp,
    ) -> Duration {
        let usual_rate = self.usual_rate.current(now);
        let bucket = self.fallback.get_or_insert_with(|| {
            let per_second = limit.per_second();
            let share = (usual_rate * factor).max(per_second / f64::from(gateways)).min(per_second);
            let own_limit = RateLimit::new(share, share * FALLBACK_BURST_S);
            // Near the limit, one request of each gateway would be too many.
            let filled_share = if now < self.scarce_until { 0.0 } else { 1.0 };
            TokenBucket::new(own_limit.ok().flatten().unwrap_or(limit), filled_share, now)
        });
        let wait = bucket.time_until(1.0, now);
        if wait == Duration::ZERO {
            bucket.take(1.0, now);
        }
        wait
    }

    /// Renews what may pass without the keeper after an answer of the keeper, by what it left free.
    fn renew_quota(&mut self, free: &FreeCapacity, now: Timestamp) {
        self.fallback = None;
        if let Some(tolerance) = &free.tolerance {
            let is_scarce = now < self.scarce_until;
            let permits = free.per_gateway(tolerance, self.limit.limit, is_scarce);
            self.quota.renew(permits, tolerance.window, now);
        }
    }
}

impl LimitGateway {
    /// Creates a gateway that has admitted nothing.
    pub fn new(settings: LimitSettings, id: DaemonId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            id,
            incarnation,
            restarted_at: None,
            gateways: 1,
            fewer_since: None,
            keepers: BTreeMap::new(),
        }
    }

    /// Marks the gateway as restarted now: an earlier incarnation may have admitted requests.
    pub fn after_restart(self, now: Timestamp) -> Self {
        Self { restarted_at: Some(now), ..self }
    }

    /// Returns the time since the restart, if requests admitted before it may still be in a window.
    fn time_since_restart(&self, now: Timestamp) -> Option<Duration> {
        let age = self.restarted_at.map(|restarted_at| now.since(restarted_at));
        age.filter(|age| *age < self.settings.window())
    }

    /// Returns how long a request waits for the keeper's verdict. A restarted gateway that has had no
    /// answer of a keeper yet could only refuse the request, so the request waits as long as it may.
    pub fn answer_timeout(&self, keeper: GroupId, max_wait: Duration, now: Timestamp) -> Duration {
        let usual = Duration::from_millis(self.settings.answer_timeout_ms);
        match self.knows_nothing(keeper, now) {
            true => usual.max(max_wait),
            false => usual,
        }
    }

    /// Returns how long a request waits for the keeper's verdict. If its program has started here and the
    /// gateway has no room for it, it waits until there is room, or as long as it may: callers try a few
    /// times only, and would have spent all tries before the next keeper starts.
    pub fn program_answer_timeout(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        program: Option<ProgramKey>,
        max_wait: Duration,
        now: Timestamp,
    ) -> Duration {
        let usual = self.answer_timeout(keeper, max_wait, now);
        let window = self.settings.window();
        let state = self.keepers.get_mut(&keeper).and_then(|keeper| keeper.tenants.get_mut(tenant));
        let state = state.filter(|state| state.has_started(program, now));
        let room = state.map(|state| state.quota.time_until_room(program, window, now));
        usual.max(room.unwrap_or(Duration::ZERO).min(max_wait))
    }

    /// Whether neither this gateway nor the keeper may know what passed within the window.
    fn knows_nothing(&self, keeper: GroupId, now: Timestamp) -> bool {
        let has_answered = self.keepers.get(&keeper).is_some_and(|state| state.term.is_some());
        self.time_since_restart(now).is_some() && !has_answered
    }

    /// Sets how many gateways share the limits, for the time when the keeper is unresponsive. A lower
    /// number takes effect only after some time: gateways that are not seen may still be running, cut off
    /// from the keeper like this one.
    pub fn set_gateway_count(&mut self, gateways: u32, now: Timestamp) {
        let gateways = gateways.max(1);
        if gateways >= self.gateways {
            self.fewer_since = None;
            self.gateways = gateways;
            return;
        }
        let since = *self.fewer_since.get_or_insert(now);
        if now.since(since) >= GATEWAY_DECREASE_DELAY {
            self.gateways = gateways;
        }
    }

    /// Decides a request.
    pub fn admit(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        limit: VersionedLimit,
        program: Option<ProgramKey>,
        now: Timestamp,
    ) -> Admission {
        let admission = self.decide(keeper, tenant, limit, program, now);
        let state = self.tenant_state(keeper, tenant, limit, now);
        match admission {
            // The next keeper may start while the request waits.
            Admission::Refuse { .. } if state.has_started(program, now) => Admission::Ask,
            other => other,
        }
    }

    /// Decides a request by itself, whether or not its program has started.
    fn decide(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        limit: VersionedLimit,
        program: Option<ProgramKey>,
        now: Timestamp,
    ) -> Admission {
        if self.is_keeper_unresponsive(keeper, now) {
            return self.admit_without_keeper(keeper, tenant, limit, program, now);
        }
        let report_share = self.settings.report_share;
        let must_ask = self.is_small(limit) || self.time_since_restart(now).is_some();
        let window = self.settings.tolerance().map(|tolerance| tolerance.window);
        let is_answer_overdue = self.is_answer_overdue(keeper, now);
        let state = self.tenant_state(keeper, tenant, limit, now);
        if now < state.scarce_until || (must_ask && now >= state.not_scarce_until) {
            return Admission::Ask;
        }
        let has_room = |window| state.quota.time_until_room(program, window, now) == Duration::ZERO;
        if is_answer_overdue && !window.is_none_or(has_room) {
            return Admission::Ask;
        }
        state.admit(program, window, now);
        Admission::Pass { report_now: state.is_report_due(report_share) }
    }

    fn free_capacity(&self) -> FreeCapacity {
        let Self { settings, gateways, .. } = self;
        let free_share = settings.scarce_window_share;
        FreeCapacity { tolerance: settings.tolerance(), free_share, gateways: f64::from(*gateways) }
    }

    /// Whether one request at each gateway that the keeper does not know of would be too many.
    fn is_small(&self, limit: VersionedLimit) -> bool {
        self.unreported_per_gateway(limit) < 1.0
    }

    /// Returns how many requests each gateway may admit without the keeper's knowledge.
    fn unreported_per_gateway(&self, limit: VersionedLimit) -> f64 {
        let margin = self.settings.tolerance().map(|tolerance| tolerance.margin(limit.limit));
        margin.map_or(1.0, |margin| margin / f64::from(self.gateways))
    }

    /// Returns the question to the keeper about a request that [`Admission::Ask`] was returned for.
    pub fn question(
        &self,
        keeper: GroupId,
        tenant: &TenantId,
        limit: VersionedLimit,
        request: Option<ProgramRequest>,
        max_wait: Duration,
        now: Timestamp,
    ) -> LimitCommand {
        let progress = request.and_then(|request| self.progress(keeper, tenant, request, now));
        let program = request.map(|request| request.program);
        LimitCommand::Ask { tenant: tenant.clone(), limit, program, max_wait, progress }
    }

    /// Returns what passed of a program. None if requests may have passed here that this gateway does not
    /// remember.
    fn progress(
        &self,
        keeper: GroupId,
        tenant: &TenantId,
        request: ProgramRequest,
        now: Timestamp,
    ) -> Option<ProgramProgress> {
        self.settings.tolerance()?;
        let keeper = self.keepers.get(&keeper);
        let recorded = keeper.and_then(|keeper| keeper.progress(tenant, request.program, now));
        let unrecorded = request.continues.then_some(ProgramProgress::UNRECORDED);
        let starts = self.time_since_restart(now).is_none().then(ProgramProgress::default);
        recorded.or(unrecorded).or(starts)
    }

    /// Decides a request without the keeper. As many requests pass as usual here, and a little more, so
    /// that all gateways together stay near what they admitted before.
    pub fn admit_without_keeper(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        limit: VersionedLimit,
        program: Option<ProgramKey>,
        now: Timestamp,
    ) -> Admission {
        if self.knows_nothing(keeper, now) {
            return Admission::Refuse { retry_after: FALLBACK_RETRY_AFTER };
        }
        let (factor, gateways) = (self.settings.silent_factor, self.gateways);
        let window = self.settings.tolerance().map(|tolerance| tolerance.window);
        let state = self.tenant_state(keeper, tenant, limit, now);
        let wait = match window {
            Some(window) => state.quota.time_until_room(program, window, now),
            None => state.take_fallback_permit(limit.limit, factor, gateways, now),
        };
        if wait > Duration::ZERO {
            return Admission::Refuse { retry_after: wait.max(FALLBACK_RETRY_AFTER) };
        }
        state.admit(program, window, now);
        Admission::Pass { report_now: false }
    }

    /// Decides a request by the keeper's answer. The keeper has counted a request that it lets pass.
    pub fn handle_answer(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        program: Option<ProgramKey>,
        answer: KeeperAnswer,
        now: Timestamp,
    ) -> Admission {
        let KeeperAnswer { verdict, is_scarce, keeper: term } = answer;
        let (scarce_duration, window) = (self.settings.scarce_duration(), self.settings.window());
        let free = self.free_capacity();
        let state = self.keepers.get_mut(&keeper).and_then(|keeper| {
            keeper.record_answer(term, now);
            keeper.tenants.get_mut(tenant)
        });
        if let Some(state) = state {
            state.scarce_until = if is_scarce { now + scarce_duration } else { Timestamp::ZERO };
            state.not_scarce_until =
                if is_scarce { Timestamp::ZERO } else { now + NOT_SCARCE_VALIDITY };
            if matches!(verdict, Verdict::Pass { .. }) {
                state.record(program, free.tolerance.map(|tolerance| tolerance.window), now);
            }
            state.renew_quota(&free, now);
            // Requests that wait are reported once they have passed.
            if verdict == (Verdict::Pass { after: Duration::ZERO }) {
                state.history.record(1, term, window, now);
            }
        }
        match verdict {
            Verdict::Pass { after } => Admission::PassAfter(after),
            Verdict::Refuse { retry_after } => Admission::Refuse { retry_after },
        }
    }

    /// Records that a request which waited for its turn has passed.
    pub fn record_delayed(&mut self, keeper: GroupId, tenant: &TenantId, request: DelayedRequest) {
        let state = self.keepers.get_mut(&keeper).and_then(|keeper| keeper.tenants.get_mut(tenant));
        if let Some(state) = state {
            state.delayed.push(request);
        }
    }

    /// Refunds the permit of an admitted request that has not run and never will. Returns whether to
    /// report at once, since others wait for permits.
    pub fn refund(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        program: Option<ProgramKey>,
        now: Timestamp,
    ) -> bool {
        let state = self.keepers.get_mut(&keeper).and_then(|keeper| keeper.tenants.get_mut(tenant));
        let Some(state) = state else { return false };
        state.refunded.push(program);
        now < state.scarce_until
    }

    /// Returns the reports that are due: to each keeper what is new, or the report that it has not
    /// answered.
    pub fn due_reports(&mut self, now: Timestamp) -> Vec<(GroupId, UsageReport)> {
        let keepers: Vec<GroupId> = self.keepers.keys().copied().collect();
        keepers
            .into_iter()
            .filter_map(|keeper| Some((keeper, self.due_report(keeper, now)?)))
            .collect()
    }

    /// Returns the report that is due to one keeper.
    pub fn due_report(&mut self, keeper: GroupId, now: Timestamp) -> Option<UsageReport> {
        let (gateway, incarnation, window) = (self.id, self.incarnation, self.settings.window());
        let max_age = window.max(MAX_REPORTED_AGE);
        let restart = self.time_since_restart(now).map(PastRequests::restart_marker);
        let state = self.keepers.get_mut(&keeper)?;
        if state.is_report_in_flight(now) {
            return None;
        }
        state.pending_report.take_if(|(_, made_at)| now.since(*made_at) >= max_age);
        if state.pending_report.is_none() {
            let may_be_new = state.term.is_none() || state.is_uninformed();
            let unknown = UnknownToKeeper {
                keeper: state.term.filter(|_| may_be_new),
                restart: restart.filter(|_| may_be_new),
            };
            let usage = take_usage(&mut state.tenants, &unknown, max_age, now);
            if usage.is_empty() && !state.is_uninformed() && !state.needs_keepalive(window, now) {
                return None;
            }
            state.informed_term = state.term;
            state.last_sequence += 1;
            let idle_timeout = self.settings.program_idle_timeout();
            let handover = match unknown.keeper {
                Some(_) => state.handover(idle_timeout, now),
                None => ProgramHandover::default(),
            };
            let sequence = state.last_sequence;
            let report = UsageReport { gateway, incarnation, sequence, usage, handover };
            state.pending_report = Some((report, now));
        }
        state.sent_at = Some(now);
        state.unanswered_since.get_or_insert(now);
        state.pending_report.as_ref().map(|(report, _)| report.clone())
    }

    /// Whether a report is due at once, on requests that were admitted while the last one was in flight.
    /// Calls of one program come many at a time, and the keeper must learn of all of them.
    pub fn is_report_due(&self, keeper: GroupId, now: Timestamp) -> bool {
        let report_share = self.settings.report_share;
        let state = self.keepers.get(&keeper).filter(|state| !state.is_report_in_flight(now));
        state.is_some_and(|state| {
            state.is_uninformed()
                || state.tenants.values().any(|tenant| tenant.is_report_due(report_share))
        })
    }

    /// Marks the last report as failed. It is due again, under the same sequence number.
    pub fn mark_report_failed(&mut self, keeper: GroupId) {
        if let Some(state) = self.keepers.get_mut(&keeper) {
            state.sent_at = None;
        }
    }

    /// Handles a keeper's acknowledgement of a report.
    pub fn handle_acknowledgement(
        &mut self,
        keeper: GroupId,
        sequence: u64,
        reply: &LimitReply,
        now: Timestamp,
    ) {
        let (scarce_duration, window) = (self.settings.scarce_duration(), self.settings.window());
        let free = self.free_capacity();
        let Some(state) = self.keepers.get_mut(&keeper) else { return };
        state.unanswered_since = None;
        state.sent_at = None;
        let counted = state.pending_report.take_if(|(report, _)| report.sequence <= sequence);
        let LimitReply::Counted { scarce, keeper, means } = reply else { return };
        state.means = means.or(state.means);
        // The first report tells everything, before the keeper's term is known.
        state.informed_term = state.informed_term.or(Some(*keeper));
        state.record_answer(*keeper, now);
        for usage in counted.into_iter().flat_map(|(report, _)| report.usage) {
            let passed = (usage.requests.len() + usage.delayed.len()) as u32;
            if let Some(tenant) = state.tenants.get_mut(&usage.tenant) {
                for at in std::mem::take(&mut tenant.reported_late) {
                    tenant.history.record_late(at, *keeper);
                }
                tenant.history.record(passed, *keeper, window, now);
                tenant.not_scarce_until = now + NOT_SCARCE_VALIDITY;
            }
        }
        for tenant in scarce {
            if let Some(tenant) = state.tenants.get_mut(tenant) {
                tenant.scarce_until = now + scarce_duration;
            }
        }
        state.tenants.values_mut().for_each(|tenant| tenant.renew_quota(&free, now));
    }

    /// Whether the keeper should have answered a report by now. Until it counts as unresponsive, the
    /// gateway admits requests within its own quota without asking.
    fn is_answer_overdue(&self, keeper: GroupId, now: Timestamp) -> bool {
        let since = self.keepers.get(&keeper).and_then(|keeper| keeper.unanswered_since);
        let answer_timeout = Duration::from_millis(self.settings.answer_timeout_ms);
        since.is_some_and(|since| now.since(since) >= answer_timeout)
    }

    /// Whether a keeper has not answered for so long that the gateway decides without it.
    pub fn is_keeper_unresponsive(&self, keeper: GroupId, now: Timestamp) -> bool {
        let since = self.keepers.get(&keeper).and_then(|keeper| keeper.unanswered_since);
        since.is_some_and(|since| now.since(since) >= self.settings.unresponsive_timeout())
    }

    /// Returns the time between reports, for the caller's timer.
    pub fn report_interval(&self) -> Duration {
        self.settings.report_interval()
    }

    /// Returns a tenant's state, after creating it or updating its limit if needed.
    fn tenant_state(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        limit: VersionedLimit,
        now: Timestamp,
    ) -> &mut TenantState {
        let free = self.free_capacity();
        let tenants = &mut self.keepers.entry(keeper).or_default().tenants;
        if !tenants.contains_key(tenant) {
            let mut new = TenantState::new(limit, now);
            new.renew_quota(&free, now);
            tenants.insert(tenant.clone(), new);
        }
        let state = tenants.get_mut(tenant).expect("it was put there");
        state.used_at = now;
        if state.limit.generation < limit.generation {
            let factor = limit.limit.per_second() / state.limit.limit.per_second();
            state.quota.scale(factor.min(1.0));
            state.limit = limit;
            state.fallback = None;
        }
        state
    }
}

/// What a new keeper cannot know and must be told.
struct UnknownToKeeper {
    /// The keeper that is to be told what others counted.
    keeper: Option<KeeperTerm>,
    /// The marker of this gateway's restart.
    restart: Option<PastRequests>,
}

impl UnknownToKeeper {
    fn past_requests(&self, tenant: &TenantState, now: Timestamp) -> Vec<PastRequests> {
        let counted =
            self.keeper.map_or(Vec::new(), |term| tenant.history.not_counted_by(term, now));
        self.restart.into_iter().chain(counted).collect()
    }
}

/// Takes what is not reported yet, and adds what a new keeper cannot know. Tenants that have been
/// idle for long are removed.
fn take_usage(
    tenants: &mut BTreeMap<TenantId, TenantState>,
    unknown: &UnknownToKeeper,
    max_age: Duration,
    now: Timestamp,
) -> Vec<TenantUsage> {
    tenants.retain(|_, tenant| {
        tenant.has_unreported() || now.since(tenant.used_at) < TENANT_IDLE_TIMEOUT
    });
    let usage = tenants.iter_mut().map(|(id, tenant)| {
        let (requests, late) = tenant.take_admitted(max_age, now);
        TenantUsage {
            tenant: id.clone(),
            limit: tenant.limit,
            requests,
            delayed: std::mem::take(&mut tenant.delayed),
            refunded: std::mem::take(&mut tenant.refunded),
            past: unknown.past_requests(tenant, now).into_iter().chain(late).collect(),
        }
    });
    usage.filter(|usage| !usage.is_empty()).collect()
}
