//! One tenant's limit: its permits, its programs under way, and which request may pass when.
//!
//! Requests of programs under way go first. Another program begins where the limit leaves room for
//! its further requests, since one that loses its seventh turn has wasted six.

use std::collections::HashMap;

use dahlia_types::{Duration, Timestamp};

use crate::memory::Forgotten;
use crate::permits::Permits;
use crate::programs::{Needs, Programs};
use crate::{LimitSettings, PastRequests, ProgramKey, Verdict, VersionedLimit};

/// The longest time that a caller is told. Callers that are told a later one do not come at it.
const LONGEST_TOLD: Duration = Duration::from_secs(60);
/// How much before its time a program may come: clocks and links are not exact.
const EARLINESS: Duration = Duration::from_millis(20);
/// How long after its time it still goes before others.
const LATENESS: Duration = Duration::from_millis(500);
/// How far apart programs begin, as a multiple of the time in which the permits for one come. Above
/// one, so that requests that wait become fewer: in a model of 73 gateways 0.97 instead of 0.95 of
/// those who come back when they were told to are served.
const BEGIN_SPACING: f64 = 1.1;
/// The part of a program's usual time that it may wait to begin. Callers want programs done within
/// some two fifths more than their time without waits, and turns wait too.
const PATIENT_PART: f64 = 0.3;
/// Seconds that a program takes at least, for what is divided by them.
const SHORTEST_LIFE_S: f64 = 0.1;

#[derive(Debug)]
pub(crate) struct Kept {
    generation: u64,
    permits: Permits,
    programs: Programs,
    /// From then on another program may begin: some that wait begin before.
    next_begin: Timestamp,
    /// Programs that were told when they may begin.
    told: HashMap<ProgramKey, Timestamp>,
    /// The earliest time that the next refused program is told to begin.
    next_told_begin: Timestamp,
    /// The earliest time that the next other refused request is told.
    next_told: Timestamp,
    used_at: Timestamp,
}

/// When a request may pass.
pub(crate) struct Place {
    wait: Duration,
    /// How much later the next one of the same kind may.
    spacing: Duration,
    /// Whether a program begins with it.
    begins: bool,
    /// How long it may wait at most: a program that waits longer ends too late to be of use.
    most_wait: Duration,
}

impl Place {
    fn begin(wait: Duration, spacing: Duration) -> Self {
        Self { wait, spacing, begins: true, most_wait: LONGEST_TOLD }
    }
}

impl Kept {
    /// A tenant that nothing is known of, by a keeper that has been there since a moment.
    pub(crate) fn new(
        settings: &LimitSettings,
        known: VersionedLimit,
        since: Timestamp,
        now: Timestamp,
    ) -> Self {
        Self {
            generation: known.generation,
            permits: Permits::new(settings, known.limit, since, now),
            programs: Programs::default(),
            next_begin: Timestamp::ZERO,
            told: HashMap::new(),
            next_told_begin: Timestamp::ZERO,
            next_told: Timestamp::ZERO,
            used_at: now,
        }
    }

    /// The newest limit is in force, whoever names it.
    pub(crate) fn learn_limit(&mut self, known: VersionedLimit, now: Timestamp) {
        self.used_at = now;
        if self.generation < known.generation {
            self.generation = known.generation;
            self.permits.set_limit(known.limit, now);
        }
    }

    pub(crate) fn was_used_within(&self, time: Duration, now: Timestamp) -> bool {
        now.since(self.used_at) < time
    }

    /// Permits at this moment.
    pub(crate) fn level(&mut self, now: Timestamp) -> f64 {
        self.permits.level(now)
    }

    /// What passed before this keeper that nobody remembers.
    pub(crate) fn set_forgotten(&mut self, forgotten: Option<Forgotten>) {
        self.permits.set_forgotten(forgotten);
    }

    /// Gateways asked for so many requests.
    pub(crate) fn note_asked(&mut self, requests: f64) {
        self.permits.note_asked(requests);
    }

    /// So large a share of gateways is out of reach since a moment.
    pub(crate) fn set_lost(&mut self, lost: Option<(f64, Timestamp)>) {
        if let Some(unheard) = self.permits.unheard() {
            unheard.set_lost(lost);
        }
    }

    /// Gateways that have not reported since permits became scarce go by their part of what was free before.
    pub(crate) fn set_untold(
        &mut self,
        settings: &LimitSettings,
        gateways: usize,
        untold_since: impl Fn(Timestamp) -> f64,
        now: Timestamp,
    ) {
        let (limit, Some(tolerance)) = (self.permits.limit(), settings.tolerance()) else { return };
        let Permits::Window(window) = &mut self.permits else { return };
        let free = tolerance.allowance(limit) * settings.scarce_window_share;
        window.unheard().set_free_each((free + tolerance.spare(limit)) / gateways.max(1) as f64);
        if let Some((since, told_at)) = window.unheard().scarce_of_late(now) {
            let may_run_out = window.may_run_out(told_at, now);
            window.unheard().set_untold(untold_since(since), may_run_out);
        }
    }

    /// Keepers before this one counted requests.
    pub(crate) fn count_earlier(&mut self, earlier: &[PastRequests], now: Timestamp) {
        for passed in earlier.iter().filter(|earlier| !earlier.is_forgotten()) {
            self.permits.take_earlier(f64::from(passed.requests), passed.age, now);
        }
    }

    /// Whether gateways may not have told yet what they let pass under the keeper before.
    pub(crate) fn is_catching_up(&self, now: Timestamp) -> bool {
        self.permits.is_catching_up(now)
    }

    /// Requests passed without a question, and others were not used.
    pub(crate) fn count(
        &mut self,
        passed: &[Option<ProgramKey>],
        unused: &[Option<ProgramKey>],
        now: Timestamp,
    ) {
        self.permits.take(passed.len() as f64, Duration::ZERO, now);
        self.permits.put_back(unused.len() as f64, now);
        for program in passed.iter().flatten() {
            self.programs.note(*program, now);
        }
        for program in unused.iter().flatten() {
            self.programs.take_back(*program);
        }
    }

    /// Forgets programs that have ended, and learns from them.
    pub(crate) fn forget_ended(
        &mut self,
        settings: &LimitSettings,
        needs: &mut Needs,
        now: Timestamp,
    ) {
        self.programs.sweep(settings.program_rest(), needs, now);
    }

    /// Whether gateways are to ask. In a window, what programs under way still need is set aside.
    pub(crate) fn is_scarce(
        &mut self,
        settings: &LimitSettings,
        needs: &Needs,
        now: Timestamp,
    ) -> bool {
        let most = self.permits.most();
        let level = self.permits.known_level(now);
        if matches!(self.permits, Permits::Bucket(_)) {
            return level < self.permits.limit().burst() * settings.scarce_share;
        }
        let share = most * settings.scarce_window_share;
        let needed = self.programs.needed(needs, settings.program_rest(), now);
        let is_scarce = level < share || level - needed < share;
        if let Some(unheard) = self.permits.unheard() {
            unheard.note_scarcity(is_scarce, now);
        }
        is_scarce
    }

    /// When there is a permit. Requests that wait have theirs already, so they are counted in.
    pub(crate) fn next_permit(&mut self, now: Timestamp) -> Place {
        let wait = self.permits.time_until(1.0, now);
        Place { wait, spacing: self.time_of(1.0), begins: false, most_wait: LONGEST_TOLD }
    }

    /// Requests of programs under way pass while there are permits. Another program begins where
    /// the limit leaves room for its further requests beside those of the others.
    pub(crate) fn place(
        &mut self,
        program: ProgramKey,
        needs: &Needs,
        settings: &LimitSettings,
        now: Timestamp,
    ) -> Place {
        if self.programs.is_under_way(program) {
            return self.next_permit(now);
        }
        if matches!(self.permits, Permits::Window(_)) {
            return self.place_in_window(program, needs, settings, now);
        }
        let spacing = self.time_of(needs.requests() * BEGIN_SPACING);
        if self.was_told_now(program, now) {
            let wait = self.permits.time_until(1.0, now);
            return Place::begin(wait, spacing);
        }
        let reserve = (self.permits.limit().burst() * settings.reserve_share).max(1.0);
        let places = self.places(needs, settings.program_rest(), reserve, now);
        let beyond = (self.programs.len() as f64 + 1.0 - places).max(0.0);
        let wait = self.time_of(beyond * needs.requests());
        let wait = wait.max(self.permits.time_until(reserve, now));
        Place::begin(wait.max(self.next_begin.since(now)), spacing)
    }

    /// A program begins in a window where there is room for all its requests beside those that programs
    /// under way still need, by the time that it takes.
    fn place_in_window(
        &mut self,
        program: ProgramKey,
        needs: &Needs,
        settings: &LimitSettings,
        now: Timestamp,
    ) -> Place {
        let spacing = self.time_of(needs.requests() * BEGIN_SPACING);
        let one = self.permits.time_until(1.0, now);
        if self.was_told_now(program, now) {
            return Place::begin(one, spacing);
        }
        let needed = self.programs.needed(needs, settings.program_rest(), now);
        let room = self.permits.time_until(needed + needs.requests(), now);
        let wait = Duration::from_micros(room.as_micros().saturating_sub(needs.life().as_micros()));
        let wait = wait.max(one);
        let patience = Duration::from_secs_f64(needs.life().as_secs_f64() * PATIENT_PART);
        Place { most_wait: patience, ..Place::begin(wait, spacing) }
    }

    /// Whether a program comes back at the time that it was told. It goes before others then, which
    /// makes the time true; they are told one in turn, as far apart as programs can begin.
    fn was_told_now(&mut self, program: ProgramKey, now: Timestamp) -> bool {
        self.told.retain(|_, told| now.since(*told) < LATENESS);
        self.told.get(&program).is_some_and(|told| *told <= now + EARLINESS)
    }

    /// How many programs may be under way at once: those whose requests a second come to the rate,
    /// and to what the bucket holds, or lacks, over the time that they still take: half of a program's
    /// in the mean. A program counts until its rest shows that it has ended.
    fn places(&mut self, needs: &Needs, rest: Duration, reserve: f64, now: Timestamp) -> f64 {
        let life = needs.life().as_secs_f64().max(SHORTEST_LIFE_S);
        let held = (self.permits.level(now) - reserve) / (life / 2.0);
        let per_second = self.permits.limit().per_second() + held;
        per_second * (life + rest.as_secs_f64()) / needs.requests()
    }

    /// In how long as many permits come.
    fn time_of(&self, requests: f64) -> Duration {
        Duration::from_secs_f64(requests / self.permits.limit().per_second())
    }

    /// A request whose turn comes soon enough has its permit from now on. Another one is told a time
    /// behind that of those who were told one before.
    pub(crate) fn decide(
        &mut self,
        program: Option<ProgramKey>,
        place: Place,
        most_wait: Duration,
        now: Timestamp,
    ) -> Verdict {
        let Place { wait, spacing, begins, .. } = place;
        if wait > most_wait.min(place.most_wait) {
            return Verdict::Refuse { retry_after: self.tell(program, place, now) };
        }
        let was_told = program.is_some_and(|program| self.told.remove(&program).is_some());
        if begins && (was_told || wait > Duration::ZERO) {
            self.next_begin = self.next_begin.max(now + wait) + spacing;
        }
        self.permits.take(1.0, wait, now);
        if let Some(program) = program {
            self.programs.note(program, now + wait);
        }
        Verdict::Pass { after: wait }
    }

    /// The time that a refused caller is told: behind those that were told one before.
    fn tell(&mut self, program: Option<ProgramKey>, place: Place, now: Timestamp) -> Duration {
        let Place { wait, spacing, begins, .. } = place;
        let earlier = program.and_then(|program| self.told.get(&program)).copied();
        if let Some(earlier) = earlier.filter(|_| begins) {
            return earlier.max(now + wait).since(now);
        }
        let next = if begins { &mut self.next_told_begin } else { &mut self.next_told };
        let told = (*next).max(now + wait);
        if told.since(now) > LONGEST_TOLD {
            return LONGEST_TOLD;
        }
        *next = told + spacing;
        if let Some(program) = program {
            self.told.insert(program, told);
        }
        told.since(now)
    }
}
