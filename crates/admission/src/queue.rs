//! Those that wait for one service at one gateway.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use dahlia_types::{Duration, Timestamp};
use snafu::Snafu;

use crate::drain::Drain;
use crate::fair_share::FairShares;
use crate::programs::Programs;
use crate::returns::Returns;
use crate::{QueuedRequest, Stage, TenantKey, Ticket, WaitingSettings};

/// Why a request does not wait. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum QueueRejection {
    /// As many wait as may, and it would be the last of them.
    #[snafu(display("as many requests wait as may, and all go before it"))]
    QueueFull,
    /// By how fast the queue empties, it would not get its turn in time.
    #[snafu(display("its turn would come too late"))]
    TooLate,
    /// It waited for as long as its caller can do without.
    #[snafu(display("it waited for as long as it may"))]
    WaitTimeout,
    /// One that goes before it took its place.
    #[snafu(display("a more urgent request took its place"))]
    Displaced,
}

impl QueueRejection {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::TooLate => "turn-too-late",
            Self::WaitTimeout => "waited",
            Self::Displaced => "displaced",
        }
    }
}

/// A request has joined a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry {
    /// Its place.
    pub ticket: Ticket,
    /// Those that had to leave for it.
    pub displaced: Vec<Ticket>,
}

/// The order of those that wait, the next one first.
type Order = (Class, u64, Timestamp, Ticket);

/// Those of one class go in turns by tenant: rank, far beyond its tenant's share, stage, late.
type Class = (u32, bool, Stage, bool);

/// A queue.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    settings: WaitingSettings,
    waiting: BTreeMap<Ticket, QueuedRequest>,
    bytes: usize,
    last_ticket: u64,
    shares: FairShares,
    drain: Drain,
    programs: Programs,
    /// Until then no more programs begin than can be served to their end.
    scarce_until: Timestamp,
    returns: Returns,
}

impl AdmissionQueue {
    /// A queue in which nobody waits.
    pub fn new(settings: WaitingSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            bytes: 0,
            last_ticket: 0,
            shares: FairShares::default(),
            drain: Drain::default(),
            programs: Programs::default(),
            scarce_until: Timestamp::ZERO,
            returns: Returns::default(),
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many wait of each rank.
    pub fn len_by_rank(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        self.waiting.values().for_each(|request| *counts.entry(request.rank).or_default() += 1);
        counts
    }

    /// Whether a request may try to go at once: all that wait go after it.
    pub fn may_skip_queue(&self, request: &QueuedRequest, now: Timestamp) -> bool {
        if !self.may_go(request, now) {
            return false;
        }
        let order = self.order(request, self.ticket_after_all(), now);
        let mut waiting = self.waiting.iter().filter(|(_, other)| self.may_go(other, now));
        waiting.all(|(ticket, other)| self.order(other, *ticket, now) > order)
    }

    /// A request arrived that has not been here before.
    pub fn record_arrival(&mut self, request: &QueuedRequest, now: Timestamp) {
        if request.stage == Stage::First {
            self.programs.came(request.rank, request.due.since(now));
        }
    }

    /// A request goes to a server, whether it waited or not.
    pub fn record_dispatch(&mut self, request: &QueuedRequest, now: Timestamp) {
        self.programs.went(request, self.settings.programs_half_life(), now);
    }

    /// All servers were full for a request.
    pub fn record_servers_full(&mut self, now: Timestamp) {
        self.scarce_until = now + self.settings.scarce();
    }

    /// A request that no server takes now wants to wait.
    ///
    /// # Errors
    /// It is better refused at once.
    pub fn enqueue(
        &mut self,
        request: QueuedRequest,
        now: Timestamp,
    ) -> Result<QueueEntry, QueueRejection> {
        if self.expected_wait(&request, now) > request.leave_by.since(now) {
            return Err(QueueRejection::TooLate);
        }
        let leaving = self.leaving_for(&request, now).ok_or(QueueRejection::QueueFull)?;
        for ticket in &leaving {
            self.take_out(*ticket);
        }
        let ticket = self.ticket_after_all();
        self.last_ticket = ticket.0;
        self.bytes += request.bytes;
        self.waiting.insert(ticket, request);
        Ok(QueueEntry { ticket, displaced: leaving })
    }

    /// The one that goes next leaves the queue, at its tenant's cost.
    pub fn dequeue(&mut self, now: Timestamp) -> Option<Ticket> {
        let order =
            |(ticket, request): &(&Ticket, &QueuedRequest)| self.order(request, **ticket, now);
        let may_go = self.waiting.iter().filter(|(_, request)| self.may_go(request, now));
        let ticket = *may_go.min_by_key(order)?.0;
        let request = self.take_out(ticket)?;
        self.shares.charge(request.tenant, request.cost);
        self.forget_shares_if_empty();
        Some(ticket)
    }

    /// Whether one that waits goes next.
    pub fn is_next(&self, ticket: Ticket, now: Timestamp) -> bool {
        let Some(request) = self.waiting.get(&ticket).filter(|request| self.may_go(request, now))
        else {
            return false;
        };
        let order = self.order(request, ticket, now);
        let mut others = self.waiting.iter().filter(|(_, other)| self.may_go(other, now));
        others.all(|(other_ticket, other)| self.order(other, *other_ticket, now) >= order)
    }

    /// One that waits leaves, served or not. Gives whether it was still there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let was_there = self.take_out(ticket).is_some();
        self.forget_shares_if_empty();
        was_there
    }

    /// An attempt at a server ended after so long.
    pub fn record_attempt_end(&mut self, took: Duration, now: Timestamp) {
        self.drain.ended(took, self.settings.drain_half_life(), now);
        self.programs.ended(self.settings.programs_half_life(), now);
    }

    /// When a request that is refused now should come back: behind those that wait and those that were
    /// told to come back, of its rank and earlier ones. `least` is what is known from elsewhere.
    pub fn retry_after(
        &mut self,
        request: &QueuedRequest,
        least: Duration,
        now: Timestamp,
    ) -> Duration {
        let (first, last) = self.settings.return_bounds();
        let first = first.max(least).min(last);
        let Some(rate) = self.rate(now) else { return first };
        let waiting = self.waiting.values().filter(|other| other.rank <= request.rank);
        let waiting: f64 = waiting.map(|other| self.turns(other, now)).sum();
        let returning = self.returns.ahead_of(request.rank, now) + 1;
        let returning = returning as f64 * self.turns(request, now) / self.settings.return_share;
        let wait = (waiting + self.owed(request, now) + returning) / rate;
        let wait = Duration::from_secs_f64(wait).clamp(first, last);
        self.returns.note(request.rank, now + wait);
        wait
    }

    /// How long a request would wait, by the turns that go before it: of its tenant all, of each other
    /// tenant as many as go in turns with them. Before a first turn go those promised to others.
    fn expected_wait(&self, request: &QueuedRequest, now: Timestamp) -> Duration {
        let Some(rate) = self.rate(now) else { return Duration::ZERO };
        let class = |request: &QueuedRequest| self.class(request, now);
        let own_class = class(request);
        let earlier = self.waiting.values().filter(|other| class(other) < own_class);
        let earlier: f64 = earlier.map(|other| self.turns(other, now)).sum();
        let mut by_tenant: HashMap<TenantKey, f64> = HashMap::new();
        for other in self.waiting.values().filter(|other| class(other) == own_class) {
            *by_tenant.entry(other.tenant).or_default() += self.turns(other, now);
        }
        let own = by_tenant.get(&request.tenant).copied().unwrap_or(0.0) + self.turns(request, now);
        let in_turns: f64 = by_tenant
            .iter()
            .map(|(tenant, turns)| if *tenant == request.tenant { *turns } else { turns.min(own) })
            .sum();
        Duration::from_secs_f64((earlier + in_turns + self.owed(request, now)) / rate)
    }

    /// Turns of programs under way that have to end before a request may go.
    fn owed(&self, request: &QueuedRequest, now: Timestamp) -> f64 {
        match self.is_paced(request, now) {
            true => self.programs.turns_before(request.rank, request.tenant),
            false => 0.0,
        }
    }

    /// Turns that a request stands for: where programs are paced, all of the program that it begins.
    fn turns(&self, request: &QueuedRequest, now: Timestamp) -> f64 {
        if self.is_paced(request, now) { self.programs.turns_of(request.rank) } else { 1.0 }
    }

    fn is_paced(&self, request: &QueuedRequest, now: Timestamp) -> bool {
        now < self.scarce_until && !request.stage.is_under_way()
    }

    fn may_go(&self, request: &QueuedRequest, now: Timestamp) -> bool {
        !self.is_paced(request, now) || self.programs.may_go(request)
    }

    /// Who has to leave so that a request can join; none if all of them go before it.
    fn leaving_for(&self, request: &QueuedRequest, now: Timestamp) -> Option<Vec<Ticket>> {
        let (mut count, mut bytes) = (self.waiting.len() + 1, self.bytes + request.bytes);
        let fits = |count, bytes| {
            count <= self.settings.most_waiting && bytes <= self.settings.most_bytes()
        };
        if fits(count, bytes) {
            return Some(Vec::new());
        }
        let mut wanted: HashMap<TenantKey, u64> = HashMap::new();
        for other in self.waiting.values().chain([request]) {
            *wanted.entry(other.tenant).or_default() += other.cost.0;
        }
        // The tenant that wants most gives way first within a class.
        let rank = |other: &QueuedRequest, ticket: Ticket| {
            (self.class(other, now), wanted[&other.tenant], other.due, ticket)
        };
        let own = rank(request, self.ticket_after_all());
        let others = self.waiting.iter().map(|(ticket, other)| (rank(other, *ticket), other.bytes));
        let mut behind: Vec<_> = others.filter(|(rank, _)| *rank > own).collect();
        behind.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        let mut leaving = Vec::new();
        for ((.., ticket), freed) in behind {
            leaving.push(ticket);
            (count, bytes) = (count - 1, bytes - freed);
            if fits(count, bytes) {
                return Some(leaving);
            }
        }
        None
    }

    fn order(&self, request: &QueuedRequest, ticket: Ticket, now: Timestamp) -> Order {
        let share = self.shares.start(request.tenant);
        (self.class(request, now), share, request.due, ticket)
    }

    fn class(&self, request: &QueuedRequest, now: Timestamp) -> Class {
        let QueuedRequest { rank, stage, tenant, .. } = *request;
        let is_over_share = self.programs.is_over_share(tenant);
        (rank, is_over_share, stage, self.is_late(request, now))
    }

    /// Whether it, or its program, would be late if it began now.
    fn is_late(&self, request: &QueuedRequest, now: Timestamp) -> bool {
        now + self.needs(request) > request.due
    }

    /// How long it takes, or its program if it begins one: of a kind, all need about as much.
    fn needs(&self, request: &QueuedRequest) -> Duration {
        let usual = self.drain.usual();
        if request.stage.is_under_way() {
            return usual;
        }
        let time = self.programs.usual_time(request.rank).as_secs_f64();
        usual.max(Duration::from_secs_f64(time * self.settings.needed_share))
    }

    fn rate(&self, now: Timestamp) -> Option<f64> {
        self.drain.per_second(self.settings.drain_half_life(), now)
    }

    fn ticket_after_all(&self) -> Ticket {
        Ticket(self.last_ticket + 1)
    }

    fn forget_shares_if_empty(&mut self) {
        if self.is_empty() {
            self.shares.forget();
        }
    }

    fn take_out(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let request = self.waiting.remove(&ticket)?;
        self.bytes -= request.bytes;
        Some(request)
    }
}
