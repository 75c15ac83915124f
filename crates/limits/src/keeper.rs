//! The keeper of some tenants' limits: counts what gateways let pass, and decides what they ask.
//!
//! Nothing of it is durable. A new keeper takes half of a burst to be there, so that two lives
//! together let pass no more than half a burst beyond the limit.

use std::collections::{BTreeMap, HashMap};

use dahlia_types::{DaemonId, Duration, Incarnation, TenantId, Timestamp};

use crate::bucket::Bucket;
use crate::programs::{Needs, Programs};
use crate::{
    KnownLimit, LimitCommand, LimitReply, LimitSettings, ProgramKey, RateLimit, Report, Usage,
    Verdict,
};

/// How far ahead a permit is set aside for a program that is told to come back. Callers wait for a
/// third of the time that they have left: those with three seconds, this long.
const PROMISED_AHEAD: Duration = Duration::from_millis(1_000);
/// How long a permit stays set aside after its time.
const LATENESS: Duration = Duration::from_millis(500);
/// The shortest time that a caller is told: less than this is lost on the way.
const SHORTEST_WAIT: Duration = Duration::from_millis(20);
/// Seconds that a program takes at least, for what is divided by them.
const SHORTEST_LIFE_S: f64 = 0.1;
/// A tenant that sent nothing for so long is forgotten. Its bucket is full by then, unless its limit
/// is below one request in this time.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Keeps the limits of the tenants that fall to one replica group.
#[derive(Debug)]
pub struct LimitKeeper {
    settings: LimitSettings,
    since: Timestamp,
    tenants: BTreeMap<TenantId, Kept>,
    /// The last report of each gateway.
    reports: HashMap<DaemonId, (Incarnation, u64)>,
    needs: Needs,
    next_sweep: Timestamp,
}

#[derive(Debug)]
struct Kept {
    generation: u64,
    bucket: Bucket,
    programs: Programs,
    /// When programs were told to come back. A permit is set aside for each time.
    promised: HashMap<ProgramKey, Vec<Timestamp>>,
    /// From then on the next program may begin that was not told a time.
    next_begin: Timestamp,
    used_at: Timestamp,
}

impl LimitKeeper {
    /// A keeper from now on. It knows of no request before.
    pub fn new(settings: LimitSettings, now: Timestamp) -> Self {
        Self {
            settings,
            since: now,
            tenants: BTreeMap::new(),
            reports: HashMap::new(),
            needs: Needs::default(),
            next_sweep: now,
        }
    }

    /// Answers a command.
    pub fn serve(&mut self, command: LimitCommand, now: Timestamp) -> LimitReply {
        self.forget_idle(now);
        match command {
            LimitCommand::Report(report) => self.count(report, now),
            LimitCommand::Ask { tenant, limit, program } => {
                self.answer(tenant, limit, program, now)
            }
        }
    }

    /// Permits of a tenant now, for operators and tests; none when it sent nothing of late.
    pub fn level(&mut self, tenant: &TenantId, now: Timestamp) -> Option<f64> {
        self.tenants.get_mut(tenant).map(|kept| kept.bucket.level(now))
    }

    fn count(&mut self, report: Report, now: Timestamp) -> LimitReply {
        let last = self.reports.insert(report.from, (report.life, report.number));
        let is_repeated =
            last.is_some_and(|(life, number)| life == report.life && number >= report.number);
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
        LimitReply::Counted { scarce }
    }

    fn count_usage(&mut self, usage: Usage, now: Timestamp) {
        let rest = self.settings.program_rest();
        let mut needs = std::mem::take(&mut self.needs);
        let kept = self.kept(usage.tenant, usage.limit, now);
        kept.bucket.take(usage.requests.len() as f64, now);
        kept.bucket.put_back(usage.unused.len() as f64, now);
        for program in usage.requests.into_iter().flatten() {
            kept.programs.note(program, now);
        }
        for program in usage.unused.into_iter().flatten() {
            kept.programs.take_back(program);
        }
        kept.programs.sweep(rest, &mut needs, now);
        self.needs = needs;
    }

    fn answer(
        &mut self,
        tenant: TenantId,
        limit: KnownLimit,
        program: Option<ProgramKey>,
        now: Timestamp,
    ) -> LimitReply {
        let settings = self.settings.clone();
        let mut needs = std::mem::take(&mut self.needs);
        let is_scarce = self.is_scarce(&tenant, now);
        let counts_programs = self.settings.whole_programs && is_scarce;
        let kept = self.kept(tenant.clone(), limit, now);
        kept.programs.sweep(settings.program_rest(), &mut needs, now);
        kept.drop_late(now);
        let verdict = kept.keep_promise(program, now).unwrap_or_else(|| {
            let room = match program.filter(|_| counts_programs) {
                Some(program) => kept.room(program, &needs, &settings, now),
                None => kept.permits(now),
            };
            match room {
                Room::Now => kept.pass(program, now),
                Room::After { wait, spacing } => kept.hold_place(program, wait, spacing, now),
            }
        });
        self.needs = needs;
        LimitReply::Answer { verdict, is_scarce }
    }

    fn is_scarce(&mut self, tenant: &TenantId, now: Timestamp) -> bool {
        let share = self.settings.scarce_share;
        self.tenants.get_mut(tenant).is_some_and(|kept| {
            let burst = kept.bucket.limit().burst();
            kept.bucket.level(now) < burst * share
        })
    }

    /// What is kept of a tenant, with the newest limit in force.
    fn kept(&mut self, tenant: TenantId, known: KnownLimit, now: Timestamp) -> &mut Kept {
        let (since, first_share) = (self.since, self.settings.first_share);
        let kept = self.tenants.entry(tenant).or_insert_with(|| Kept {
            generation: known.generation,
            bucket: first_bucket(known.limit, first_share, since, now),
            programs: Programs::default(),
            promised: HashMap::new(),
            next_begin: Timestamp::ZERO,
            used_at: now,
        });
        if kept.generation < known.generation {
            kept.generation = known.generation;
            kept.bucket.set_limit(known.limit, now);
        }
        kept.used_at = now;
        kept
    }

    fn forget_idle(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + FORGOTTEN_AFTER;
        self.tenants.retain(|_, kept| now.since(kept.used_at) < FORGOTTEN_AFTER);
    }
}

/// The bucket of a tenant that nothing is known of. What a keeper before may have let pass has been
/// made up for by the time that this one has kept its limits.
fn first_bucket(limit: RateLimit, share: f64, since: Timestamp, now: Timestamp) -> Bucket {
    let refilled = now.since(since).as_secs_f64() * limit.per_second() / limit.burst();
    Bucket::new(limit, (share + refilled).min(1.0), now)
}

/// Whether there is room for a request.
enum Room {
    Now,
    /// There will be.
    After {
        wait: Duration,
        /// How much later the next caller of the same kind may come.
        spacing: Duration,
    },
}

impl Kept {
    /// Each request by itself.
    fn permits(&mut self, now: Timestamp) -> Room {
        if self.bucket.level(now) >= 1.0 {
            return Room::Now;
        }
        // Places are promised out of the bucket, so the next one is behind them by itself.
        Room::After { wait: self.bucket.time_until(1.0, now), spacing: Duration::ZERO }
    }

    /// Requests of programs under way pass while there are permits. Another program begins where
    /// the limit leaves room for its further requests beside those of the others.
    fn room(
        &mut self,
        program: ProgramKey,
        needs: &Needs,
        settings: &LimitSettings,
        now: Timestamp,
    ) -> Room {
        if self.programs.is_under_way(program) {
            return self.permits(now);
        }
        let reserve = self.bucket.limit().burst() * settings.reserve_share;
        let places = self.places(needs, settings.program_rest(), reserve, now);
        let beyond = (self.programs.len() as f64 + 1.0 - places).max(0.0);
        let has_reserve = self.bucket.level(now) >= reserve.max(1.0);
        if beyond == 0.0 && has_reserve && self.next_begin <= now {
            return Room::Now;
        }
        let time_of = |programs: f64| {
            let requests = programs * needs.requests();
            Duration::from_secs_f64(requests / self.bucket.limit().per_second())
        };
        let (wait, spacing) = (time_of(beyond), time_of(1.0));
        let wait = wait.max(self.next_begin.since(now));
        Room::After { wait: wait.max(self.bucket.time_until(reserve.max(1.0), now)), spacing }
    }

    /// How many programs may be under way at once: those whose requests a second come to the rate,
    /// and to what the bucket holds over the time that they still take, half of a program's in the
    /// mean. A program counts until its rest shows that it has ended.
    fn places(&mut self, needs: &Needs, rest: Duration, reserve: f64, now: Timestamp) -> f64 {
        let life = needs.life().as_secs_f64().max(SHORTEST_LIFE_S);
        let held = (self.bucket.level(now) - reserve).max(0.0) / (life / 2.0);
        let per_second = self.bucket.limit().per_second() + held;
        per_second * (life + rest.as_secs_f64()) / needs.requests()
    }

    fn pass(&mut self, program: Option<ProgramKey>, now: Timestamp) -> Verdict {
        self.bucket.take(1.0, now);
        if let Some(program) = program {
            self.programs.note(program, now);
        }
        Verdict::Pass
    }

    /// A request of a program that was told to come back: it passes at its time, on the permit that
    /// was set aside for it.
    fn keep_promise(&mut self, program: Option<ProgramKey>, now: Timestamp) -> Option<Verdict> {
        let program = program?;
        let places = self.promised.get_mut(&program)?;
        let place = *places.first()?;
        if place > now + SHORTEST_WAIT {
            return Some(Verdict::Wait { retry_after: place.since(now) });
        }
        places.remove(0);
        if places.is_empty() {
            self.promised.remove(&program);
        }
        self.programs.note(program, now);
        Some(Verdict::Pass)
    }

    /// Tells a caller when to come back. A permit is set aside for it if that is soon.
    fn hold_place(
        &mut self,
        program: Option<ProgramKey>,
        wait: Duration,
        spacing: Duration,
        now: Timestamp,
    ) -> Verdict {
        let retry_after = wait.max(SHORTEST_WAIT);
        let place = now + retry_after;
        if let Some(program) = program.filter(|_| retry_after <= PROMISED_AHEAD) {
            if spacing > Duration::ZERO {
                self.next_begin = place + spacing;
            }
            self.bucket.take(1.0, now);
            self.promised.entry(program).or_default().push(place);
        }
        Verdict::Wait { retry_after }
    }

    /// Callers that did not come back at their time: what was set aside for them is free.
    fn drop_late(&mut self, now: Timestamp) {
        let mut dropped = 0;
        self.promised.retain(|_, places| {
            let before = places.len();
            places.retain(|place| now.since(*place) < LATENESS);
            dropped += before - places.len();
            !places.is_empty()
        });
        self.bucket.put_back(dropped as f64, now);
    }
}
