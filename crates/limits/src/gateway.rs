//! A gateway's part: admits, reports what it admitted, and asks while permits are scarce.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, TenantId, Timestamp};

use crate::bucket::Bucket;
use crate::history::History;
use crate::own::{FreeEach, Own};
use crate::{
    DelayedRequest, KeeperTerm, LimitReply, LimitSettings, PastRequests, ProgramKey, RateLimit,
    TenantUsage, Tolerance, UsageReport, Verdict, VersionedLimit,
};

/// Requests after which a gateway reports at once, whatever the limit. Most gateways see few of a small
/// tenant's requests, so that waiting for more of them saves little: with 15 requests a second at each of
/// 73 gateways and eight keepers, some 11 instead of 15 reports a second.
const LEAST_UNREPORTED: f64 = 1.0;
/// Time over which a gateway's own usual requests are averaged.
const USUAL_TIME_S: f64 = 4.0;
/// A tenant that sent nothing here for so long is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);
/// Seconds of its own usual requests that a gateway that decides alone lets pass at once.
const ALONE_BURST_S: f64 = 0.2;
/// Requests that were admitted longer ago are not reported any more, unless the deployment's window is
/// longer: no window of a few seconds holds them, and a keeper that comes back after an outage would
/// take their permits from those of now.
const TOO_OLD_TO_COUNT: Duration = Duration::from_secs(5);
/// How long the word that permits are not scarce holds for a small tenant. One request unasked at each
/// gateway would be more than is tolerated beyond its limit, and would cost as many messages as a
/// question, since each is reported at once.
const NOT_SCARCE_VALID_FOR: Duration = Duration::from_millis(500);
/// A keeper that has not answered for so long is sent an empty report while this gateway remembers
/// requests of the window: a successor's term in the answer says that it must be told of them.
const KEEPALIVE_AFTER: Duration = Duration::from_millis(500);
/// Cuts of a zone are shorter, and a planned change of so many gateways takes longer.
const FEWER_SHARERS_AFTER: Duration = Duration::from_secs(60);
/// A report that had no answer for so long is sent once more: after a cut the keeper is to know soon what
/// passed without it.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Requests that passed longer ago than this are reported with their time. Those of late are counted as of
/// their report.
const REPORTED_LATE: Duration = Duration::from_millis(1_000);
/// What a gateway that decides alone tells callers when its own bucket does not say.
const ALONE_RETRY: Duration = Duration::from_millis(500);

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may pass, and is in the next report.
    Pass {
        /// Whether that is due at once.
        report_now: bool,
    },
    /// It may pass in so long, and is counted already.
    PassAfter(Duration),
    /// The keeper decides.
    Ask,
    /// It may not pass.
    Refuse {
        /// When it is worth coming back.
        retry_after: Duration,
    },
}

/// What a keeper said to a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperAnswer {
    /// Whether the request may pass.
    pub verdict: Verdict,
    /// Whether permits are scarce.
    pub is_scarce: bool,
    /// Who answered.
    pub keeper: KeeperTerm,
}

/// A gateway's view of all limits.
#[derive(Debug)]
pub struct LimitGateway {
    settings: LimitSettings,
    own: DaemonId,
    life: Incarnation,
    /// When this life began, if it is not the first: what passed before is forgotten.
    forgot_at: Option<Timestamp>,
    /// Gateways that share the limits, this one included.
    sharers: u32,
    /// Since when there seem to be fewer.
    fewer_since: Option<Timestamp>,
    keepers: BTreeMap<GroupId, Keeper>,
}

/// What is known of one keeper and its tenants.
#[derive(Debug, Default)]
struct Keeper {
    tenants: BTreeMap<TenantId, Held>,
    /// The report that has no answer yet, and when it was made.
    unanswered: Option<(UsageReport, Timestamp)>,
    /// Since when it is on its way.
    sent_at: Option<Timestamp>,
    /// Since when nothing was answered.
    silent_since: Option<Timestamp>,
    last_number: u64,
    /// Who answered last.
    term: Option<KeeperTerm>,
    /// Who has been told what others before it counted, and what is forgotten here.
    told: Option<KeeperTerm>,
    heard_at: Timestamp,
}

impl Keeper {
    /// Whether another keeper may have begun that does not know what passed here.
    fn needs_keepalive(&self, window: Duration, now: Timestamp) -> bool {
        let may_be_new = now.since(self.heard_at) >= KEEPALIVE_AFTER && self.term.is_some();
        may_be_new && self.tenants.values().any(|held| held.history.is_within(window, now))
    }

    /// Whether a report is on its way that may still be answered.
    fn is_under_way(&self, now: Timestamp) -> bool {
        self.sent_at.is_some_and(|sent_at| now.since(sent_at) < LOST_AFTER)
    }

    /// An answer came from a keeper.
    fn heard(&mut self, term: KeeperTerm, now: Timestamp) {
        self.heard_at = now;
        self.term = Some(term);
    }

    /// Whether the keeper that answered last is still to be told what it cannot know.
    fn is_new(&self) -> bool {
        self.term.is_some() && self.told != self.term
    }
}

#[derive(Debug)]
struct Held {
    limit: VersionedLimit,
    admitted: Vec<(Timestamp, Option<ProgramKey>)>,
    /// Those that the unanswered report tells with their time.
    told_late: Vec<Timestamp>,
    waited: Vec<DelayedRequest>,
    unused: Vec<Option<ProgramKey>>,
    scarce_until: Timestamp,
    /// Until then, permits are known not to be scarce.
    free_until: Timestamp,
    usual: Usual,
    history: History,
    /// Kept where the deployment names a window.
    own: Own,
    /// In use while the keeper is silent.
    alone: Option<Bucket>,
    used_at: Timestamp,
}

/// Requests a second, averaged.
#[derive(Debug, Default)]
struct Usual {
    per_second: f64,
    at: Timestamp,
}

impl Usual {
    fn note(&mut self, now: Timestamp) {
        self.per_second = self.at(now) + 1.0 / USUAL_TIME_S;
        self.at = now;
    }

    fn at(&self, now: Timestamp) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.per_second * (-passed / USUAL_TIME_S).exp()
    }
}

/// A gateway's part of what a keeper leaves free.
struct FreeShare {
    tolerance: Option<Tolerance>,
    /// The share of a window's requests that is free while permits are not scarce.
    free: f64,
    sharers: f64,
}

impl FreeShare {
    fn each(&self, tolerance: &Tolerance, limit: RateLimit, is_scarce: bool) -> FreeEach {
        let free = if is_scarce { 0.0 } else { tolerance.allowance(limit) * self.free };
        let spare = tolerance.spare(limit);
        FreeEach { now: (free + spare) / self.sharers, spare: spare / self.sharers, is_scarce }
    }
}

impl Held {
    fn new(limit: VersionedLimit, now: Timestamp) -> Self {
        Self {
            limit,
            admitted: Vec::new(),
            told_late: Vec::new(),
            waited: Vec::new(),
            unused: Vec::new(),
            scarce_until: Timestamp::ZERO,
            free_until: Timestamp::ZERO,
            usual: Usual::default(),
            history: History::default(),
            own: Own::default(),
            alone: None,
            used_at: now,
        }
    }

    /// Whether so much is not reported that it cannot wait.
    fn is_due(&self, report_share: f64) -> bool {
        let most_unreported = (report_share * self.limit.limit.per_second()).max(LEAST_UNREPORTED);
        self.admitted.len() as f64 >= most_unreported
    }

    fn has_news(&self) -> bool {
        !self.admitted.is_empty() || !self.waited.is_empty() || !self.unused.is_empty()
    }

    /// What is to be reported of the requests that passed unasked: of late, and longer ago while there
    /// was no keeper to hear of them.
    fn take_admitted(
        &mut self,
        too_old: Duration,
        now: Timestamp,
    ) -> (Vec<Option<ProgramKey>>, Vec<PastRequests>) {
        let mut admitted = std::mem::take(&mut self.admitted);
        admitted.retain(|(at, _)| now.since(*at) < too_old);
        let is_late = |at: &Timestamp| self.own.is_kept() && now.since(*at) >= REPORTED_LATE;
        let told_late: Vec<_> = admitted.iter().map(|(at, _)| *at).filter(is_late).collect();
        admitted.retain(|(at, _)| !is_late(at));
        let told = told_late.iter().map(|at| PastRequests { age: now.since(*at), requests: 1 });
        let late = told.collect();
        self.told_late = told_late;
        (admitted.into_iter().map(|(_, program)| program).collect(), late)
    }

    fn admit(&mut self, program: Option<ProgramKey>, window: Option<Duration>, now: Timestamp) {
        self.admitted.push((now, program));
        self.passed(program, window, now);
    }

    /// A request passes, whoever decided it.
    fn passed(&mut self, program: Option<ProgramKey>, window: Option<Duration>, now: Timestamp) {
        match window {
            Some(window) => self.own.note(program, window, now),
            None => self.usual.note(now),
        }
    }

    /// When one more request passes of as many as usual here, and a little more; takes its place.
    fn time_until_usual(
        &mut self,
        limit: RateLimit,
        factor: f64,
        sharers: u32,
        now: Timestamp,
    ) -> Duration {
        let usual = self.usual.at(now);
        let bucket = self.alone.get_or_insert_with(|| {
            let per_second = limit.per_second();
            let share = (usual * factor).max(per_second / f64::from(sharers)).min(per_second);
            let own = RateLimit::new(share, share * ALONE_BURST_S);
            // Near the limit, one request of each gateway would be too many.
            let filled = if now < self.scarce_until { 0.0 } else { 1.0 };
            Bucket::new(own.ok().flatten().unwrap_or(limit), filled, now)
        });
        let wait = bucket.time_until(1.0, now);
        if wait == Duration::ZERO {
            bucket.take(1.0, now);
        }
        wait
    }

    /// The keeper was heard. What it left free then is what may pass without it.
    fn heard(&mut self, free: &FreeShare, now: Timestamp) {
        self.alone = None;
        if let Some(tolerance) = &free.tolerance {
            let is_scarce = now < self.scarce_until;
            let each = free.each(tolerance, self.limit.limit, is_scarce);
            self.own.heard(each, tolerance.window, now);
        }
    }
}

impl LimitGateway {
    /// A gateway that has admitted nothing.
    pub fn new(settings: LimitSettings, own: DaemonId, life: Incarnation) -> Self {
        Self {
            settings,
            own,
            life,
            forgot_at: None,
            sharers: 1,
            fewer_since: None,
            keepers: BTreeMap::new(),
        }
    }

    /// The same that begins now, after an earlier life may have let requests pass.
    pub fn after_restart(self, now: Timestamp) -> Self {
        Self { forgot_at: Some(now), ..self }
    }

    /// How long ago an earlier life may have let requests pass that some window still holds.
    fn forgot_ago(&self, now: Timestamp) -> Option<Duration> {
        let ago = self.forgot_at.map(|forgot_at| now.since(forgot_at));
        ago.filter(|ago| *ago < self.settings.window())
    }

    /// How long a request waits for the keeper's verdict. A gateway that has forgotten what passed
    /// and has not heard a keeper since could only refuse it, so it waits as long as it may.
    pub fn answer_timeout(&self, keeper: GroupId, most_wait: Duration, now: Timestamp) -> Duration {
        let usual = Duration::from_millis(self.settings.answer_timeout_ms);
        match self.knows_nothing(keeper, now) {
            true => usual.max(most_wait),
            false => usual,
        }
    }

    /// Whether all may be forgotten that passed, here and at the keeper.
    fn knows_nothing(&self, keeper: GroupId, now: Timestamp) -> bool {
        let has_heard = self.keepers.get(&keeper).is_some_and(|known| known.term.is_some());
        self.forgot_ago(now).is_some() && !has_heard
    }

    /// How many gateways share the limits, for the time when the keeper is silent. Fewer count only
    /// after some time: those that are not heard of may be as many beside this one behind a cut.
    pub fn set_gateway_count(&mut self, sharers: u32, now: Timestamp) {
        let sharers = sharers.max(1);
        if sharers >= self.sharers {
            self.fewer_since = None;
            self.sharers = sharers;
            return;
        }
        let since = *self.fewer_since.get_or_insert(now);
        if now.since(since) >= FEWER_SHARERS_AFTER {
            self.sharers = sharers;
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
        if self.is_keeper_unresponsive(keeper, now) {
            return self.admit_without_keeper(keeper, tenant, limit, program, now);
        }
        let report_share = self.settings.report_share;
        let must_ask = self.is_small(limit) || self.forgot_ago(now).is_some();
        let window = self.settings.tolerance().map(|tolerance| tolerance.window);
        let is_overdue = self.is_overdue(keeper, now);
        let held = self.held(keeper, tenant, limit, now);
        if now < held.scarce_until || (must_ask && now >= held.free_until) {
            return Admission::Ask;
        }
        let has_room = |window| held.own.time_until_room(program, window, now) == Duration::ZERO;
        if is_overdue && !window.is_none_or(has_room) {
            return Admission::Ask;
        }
        held.admit(program, window, now);
        Admission::Pass { report_now: held.is_due(report_share) }
    }

    fn free_share(&self) -> FreeShare {
        let Self { settings, sharers, .. } = self;
        let free = settings.scarce_window_share;
        FreeShare { tolerance: settings.tolerance(), free, sharers: f64::from(*sharers) }
    }

    /// Whether one request of each gateway that the keeper does not know of would be too many.
    fn is_small(&self, limit: VersionedLimit) -> bool {
        self.unseen_each(limit) < 1.0
    }

    /// Requests that each gateway may let pass unknown to the keeper.
    fn unseen_each(&self, limit: VersionedLimit) -> f64 {
        let spare = self.settings.tolerance().map(|tolerance| tolerance.spare(limit.limit));
        spare.map_or(1.0, |spare| spare / f64::from(self.sharers))
    }

    /// Decides a request without the keeper: as many pass as usual here, and a little more. What all
    /// gateways let pass so stays near what they did before.
    pub fn admit_without_keeper(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        limit: VersionedLimit,
        program: Option<ProgramKey>,
        now: Timestamp,
    ) -> Admission {
        if self.knows_nothing(keeper, now) {
            return Admission::Refuse { retry_after: ALONE_RETRY };
        }
        let (factor, sharers) = (self.settings.silent_factor, self.sharers);
        let window = self.settings.tolerance().map(|tolerance| tolerance.window);
        let held = self.held(keeper, tenant, limit, now);
        let wait = match window {
            Some(window) => held.own.time_until_room(program, window, now),
            None => held.time_until_usual(limit.limit, factor, sharers, now),
        };
        if wait > Duration::ZERO {
            return Admission::Refuse { retry_after: wait.max(ALONE_RETRY) };
        }
        held.admit(program, window, now);
        Admission::Pass { report_now: false }
    }

    /// A keeper answered a question. It has counted a request that it lets pass.
    pub fn handle_answer(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        program: Option<ProgramKey>,
        answer: KeeperAnswer,
        now: Timestamp,
    ) -> Admission {
        let KeeperAnswer { verdict, is_scarce, keeper: term } = answer;
        let (scarce_time, window) = (self.settings.scarce_time(), self.settings.window());
        let free = self.free_share();
        let known = self.keepers.get_mut(&keeper).and_then(|known| {
            known.heard(term, now);
            known.tenants.get_mut(tenant)
        });
        if let Some(held) = known {
            held.scarce_until = if is_scarce { now + scarce_time } else { Timestamp::ZERO };
            held.free_until = if is_scarce { Timestamp::ZERO } else { now + NOT_SCARCE_VALID_FOR };
            if matches!(verdict, Verdict::Pass { .. }) {
                held.passed(program, free.tolerance.map(|tolerance| tolerance.window), now);
            }
            held.heard(&free, now);
            // Those that wait are told once they have passed.
            if verdict == (Verdict::Pass { after: Duration::ZERO }) {
                held.history.note(1, term, window, now);
            }
        }
        match verdict {
            Verdict::Pass { after } => Admission::PassAfter(after),
            Verdict::Refuse { retry_after } => Admission::Refuse { retry_after },
        }
    }

    /// A request that was to wait for its turn has passed.
    pub fn record_delayed(&mut self, keeper: GroupId, tenant: &TenantId, request: DelayedRequest) {
        let known = self.keepers.get_mut(&keeper).and_then(|keeper| keeper.tenants.get_mut(tenant));
        if let Some(held) = known {
            held.waited.push(request);
        }
    }

    /// A request that was let pass has not run and never will: its permit goes back. Gives whether
    /// to report at once, since others wait for permits.
    pub fn refund(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        program: Option<ProgramKey>,
        now: Timestamp,
    ) -> bool {
        let known = self.keepers.get_mut(&keeper).and_then(|keeper| keeper.tenants.get_mut(tenant));
        let Some(held) = known else { return false };
        held.unused.push(program);
        now < held.scarce_until
    }

    /// The reports that are due: to each keeper what is new, or what it has not answered.
    pub fn due_reports(&mut self, now: Timestamp) -> Vec<(GroupId, UsageReport)> {
        let keepers: Vec<GroupId> = self.keepers.keys().copied().collect();
        keepers
            .into_iter()
            .filter_map(|keeper| Some((keeper, self.due_report(keeper, now)?)))
            .collect()
    }

    /// The report that is due to one keeper.
    pub fn due_report(&mut self, keeper: GroupId, now: Timestamp) -> Option<UsageReport> {
        let (gateway, incarnation, window) = (self.own, self.life, self.settings.window());
        let too_old = window.max(TOO_OLD_TO_COUNT);
        let forgotten = self.forgot_ago(now).map(PastRequests::forgotten_before);
        let known = self.keepers.get_mut(&keeper)?;
        if known.is_under_way(now) {
            return None;
        }
        known.unanswered.take_if(|(_, made)| now.since(*made) >= too_old);
        if known.unanswered.is_none() {
            let is_new = known.term.is_none() || known.is_new();
            let untold = Untold {
                keeper: known.term.filter(|_| is_new),
                forgotten: forgotten.filter(|_| is_new),
            };
            let usage = take_usage(&mut known.tenants, &untold, too_old, now);
            if usage.is_empty() && !known.is_new() && !known.needs_keepalive(window, now) {
                return None;
            }
            known.told = known.term;
            known.last_number += 1;
            let report = UsageReport { gateway, incarnation, sequence: known.last_number, usage };
            known.unanswered = Some((report, now));
        }
        known.sent_at = Some(now);
        known.silent_since.get_or_insert(now);
        known.unanswered.as_ref().map(|(report, _)| report.clone())
    }

    /// Whether a report is due at once: of what was admitted while the last one was on its way.
    /// Calls of one program come many at a time, and the keeper is to know of all of them.
    pub fn is_report_due(&self, keeper: GroupId, now: Timestamp) -> bool {
        let report_share = self.settings.report_share;
        let known = self.keepers.get(&keeper).filter(|known| !known.is_under_way(now));
        known.is_some_and(|known| {
            known.is_new() || known.tenants.values().any(|held| held.is_due(report_share))
        })
    }

    /// A report had no answer: it is due again, under the same number.
    pub fn mark_report_failed(&mut self, keeper: GroupId) {
        if let Some(known) = self.keepers.get_mut(&keeper) {
            known.sent_at = None;
        }
    }

    /// A keeper has counted a report.
    pub fn handle_acknowledgement(
        &mut self,
        keeper: GroupId,
        number: u64,
        reply: &LimitReply,
        now: Timestamp,
    ) {
        let (scarce_time, window) = (self.settings.scarce_time(), self.settings.window());
        let free = self.free_share();
        let Some(known) = self.keepers.get_mut(&keeper) else { return };
        known.silent_since = None;
        known.sent_at = None;
        let counted = known.unanswered.take_if(|(report, _)| report.sequence <= number);
        let LimitReply::Counted { scarce, keeper } = reply else { return };
        // The first report says everything, before it is known to whom.
        known.told = known.told.or(Some(*keeper));
        known.heard(*keeper, now);
        for usage in counted.into_iter().flat_map(|(report, _)| report.usage) {
            let passed = (usage.requests.len() + usage.delayed.len()) as u32;
            if let Some(held) = known.tenants.get_mut(&usage.tenant) {
                for at in std::mem::take(&mut held.told_late) {
                    held.history.note_late(at, *keeper);
                }
                held.history.note(passed, *keeper, window, now);
                held.free_until = now + NOT_SCARCE_VALID_FOR;
            }
        }
        for tenant in scarce {
            if let Some(held) = known.tenants.get_mut(tenant) {
                held.scarce_until = now + scarce_time;
            }
        }
        known.tenants.values_mut().for_each(|held| held.heard(&free, now));
    }

    /// Whether the keeper should have answered a report by now. Until it is silent for longer, what is
    /// this gateway's own passes unasked.
    fn is_overdue(&self, keeper: GroupId, now: Timestamp) -> bool {
        let since = self.keepers.get(&keeper).and_then(|keeper| keeper.silent_since);
        let answer_timeout = Duration::from_millis(self.settings.answer_timeout_ms);
        since.is_some_and(|since| now.since(since) >= answer_timeout)
    }

    /// Whether a keeper has said nothing for too long to go by.
    pub fn is_keeper_unresponsive(&self, keeper: GroupId, now: Timestamp) -> bool {
        let since = self.keepers.get(&keeper).and_then(|keeper| keeper.silent_since);
        since.is_some_and(|since| now.since(since) >= self.settings.silence())
    }

    /// Milliseconds between reports, for the driver's timer.
    pub fn report_interval(&self) -> Duration {
        self.settings.report_interval()
    }

    fn held(
        &mut self,
        keeper: GroupId,
        tenant: &TenantId,
        limit: VersionedLimit,
        now: Timestamp,
    ) -> &mut Held {
        let free = self.free_share();
        let tenants = &mut self.keepers.entry(keeper).or_default().tenants;
        if !tenants.contains_key(tenant) {
            let mut new = Held::new(limit, now);
            new.heard(&free, now);
            tenants.insert(tenant.clone(), new);
        }
        let held = tenants.get_mut(tenant).expect("it was put there");
        held.used_at = now;
        if held.limit.generation < limit.generation {
            let part = limit.limit.per_second() / held.limit.limit.per_second();
            held.own.lowered_to(part.min(1.0));
            held.limit = limit;
            held.alone = None;
        }
        held
    }
}

/// What a new keeper cannot know.
struct Untold {
    /// Who is to be told what others counted.
    keeper: Option<KeeperTerm>,
    /// What this gateway cannot tell it.
    forgotten: Option<PastRequests>,
}

impl Untold {
    fn of(&self, held: &Held, now: Timestamp) -> Vec<PastRequests> {
        let counted = self.keeper.map_or(Vec::new(), |term| held.history.unknown_to(term, now));
        self.forgotten.into_iter().chain(counted).collect()
    }
}

/// What is not reported yet, and for a new keeper what it cannot know. Tenants that sent nothing for
/// long are forgotten.
fn take_usage(
    tenants: &mut BTreeMap<TenantId, Held>,
    untold: &Untold,
    too_old: Duration,
    now: Timestamp,
) -> Vec<TenantUsage> {
    tenants.retain(|_, held| held.has_news() || now.since(held.used_at) < FORGOTTEN_AFTER);
    let usage = tenants.iter_mut().map(|(tenant, held)| {
        let (requests, late) = held.take_admitted(too_old, now);
        TenantUsage {
            tenant: tenant.clone(),
            limit: held.limit,
            requests,
            delayed: std::mem::take(&mut held.waited),
            refunded: std::mem::take(&mut held.unused),
            past: untold.of(held, now).into_iter().chain(late).collect(),
        }
    });
    usage.filter(|usage| !usage.is_empty()).collect()
}
