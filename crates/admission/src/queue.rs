//! The queue of requests that wait for one service at one gateway.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use dahlia_types::{Duration, Timestamp};
use snafu::Snafu;

use crate::drain_rate::DrainRate;
use crate::fair_share::FairShares;
use crate::program_pacing::ProgramPacing;
use crate::returns::ScheduledReturns;
use crate::{QueuedRequest, Stage, TenantKey, Ticket, WaitingSettings};

/// Why a request does not wait, or no longer. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum QueueRejection {
    /// The queue is full, and the request would be the last in it.
    #[snafu(display("as many requests wait as may, and all go before it"))]
    QueueFull,
    /// At the rate at which the queue empties, its turn would not come in time.
    #[snafu(display("its turn would come too late"))]
    TooLate,
    /// It waited for as long as its caller can spare.
    #[snafu(display("it waited for as long as it may"))]
    WaitTimeout,
    /// A request that goes before it took its place.
    #[snafu(display("a more urgent request took its place"))]
    Displaced,
}

impl QueueRejection {
    /// Returns its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "queue-full",
            Self::TooLate => "turn-too-late",
            Self::WaitTimeout => "waited",
            Self::Displaced => "displaced",
        }
    }
}

/// The place of a request that was added to a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry {
    /// The ticket that identifies it.
    pub ticket: Ticket,
    /// The requests that were removed to make room for it.
    pub displaced: Vec<Ticket>,
}

/// Sort key of waiting requests, the next one first: class, start tag of the tenant, due time, ticket.
type DispatchOrder = (PriorityClass, u64, Timestamp, Ticket);

/// Tenants take turns within a class: rank, whether the tenant is far above its share, stage, whether the
/// request is late.
type PriorityClass = (u32, bool, Stage, bool);

/// The requests that wait for one service, and what decides their order.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    settings: WaitingSettings,
    waiting: BTreeMap<Ticket, QueuedRequest>,
    bytes: usize,
    last_ticket: u64,
    shares: FairShares,
    drain_rate: DrainRate,
    pacing: ProgramPacing,
    /// The time until which no more programs start than can be served to their end.
    paced_until: Timestamp,
    returns: ScheduledReturns,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: WaitingSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            bytes: 0,
            last_ticket: 0,
            shares: FairShares::default(),
            drain_rate: DrainRate::default(),
            pacing: ProgramPacing::default(),
            paced_until: Timestamp::ZERO,
            returns: ScheduledReturns::default(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests of each rank.
    pub fn len_by_rank(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        self.waiting.values().for_each(|request| *counts.entry(request.rank).or_default() += 1);
        counts
    }

    /// Whether a request may go at once, since all waiting requests go after it.
    pub fn may_skip_queue(&self, request: &QueuedRequest, now: Timestamp) -> bool {
        if !self.may_go(request, now) {
            return false;
        }
        let order = self.order(request, self.next_ticket(), now);
        let mut waiting = self.waiting.iter().filter(|(_, other)| self.may_go(other, now));
        waiting.all(|(ticket, other)| self.order(other, *ticket, now) > order)
    }

    /// Records the arrival of a request that has not been here before.
    pub fn record_arrival(&mut self, request: &QueuedRequest, now: Timestamp) {
        if request.stage == Stage::First {
            self.pacing.record_arrival(request.rank, request.due.since(now));
        }
    }

    /// Records that a request goes to a server, whether it waited or not.
    pub fn record_dispatch(&mut self, request: &QueuedRequest, now: Timestamp) {
        self.pacing.record_dispatch(request, self.settings.programs_half_life(), now);
    }

    /// Records that all servers were full for a request.
    pub fn record_servers_full(&mut self, now: Timestamp) {
        self.paced_until = now + self.settings.pacing_duration();
    }

    /// Adds a request that no server takes now.
    ///
    /// # Errors
    /// [`QueueRejection`] if it is better refused at once.
    pub fn enqueue(
        &mut self,
        request: QueuedRequest,
        now: Timestamp,
    ) -> Result<QueueEntry, QueueRejection> {
        if self.expected_wait(&request, now) > request.leave_by.since(now) {
            return Err(QueueRejection::TooLate);
        }
        let displaced = self.displaced_by(&request, now).ok_or(QueueRejection::QueueFull)?;
        for ticket in &displaced {
            self.take(*ticket);
        }
        let ticket = self.next_ticket();
        self.last_ticket = ticket.0;
        self.bytes += request.bytes;
        self.waiting.insert(ticket, request);
        Ok(QueueEntry { ticket, displaced })
    }

    /// Removes the request that goes next and charges its tenant.
    pub fn dequeue(&mut self, now: Timestamp) -> Option<Ticket> {
        let order =
            |(ticket, request): &(&Ticket, &QueuedRequest)| self.order(request, **ticket, now);
        let may_go = self.waiting.iter().filter(|(_, request)| self.may_go(request, now));
        let ticket = *may_go.min_by_key(order)?.0;
        let request = self.take(ticket)?;
        self.shares.charge(request.tenant, request.cost);
        self.reset_shares_if_empty();
        Some(ticket)
    }

    /// Whether a waiting request goes next.
    pub fn is_next(&self, ticket: Ticket, now: Timestamp) -> bool {
        let Some(request) = self.waiting.get(&ticket).filter(|request| self.may_go(request, now))
        else {
            return false;
        };
        let order = self.order(request, ticket, now);
        let mut others = self.waiting.iter().filter(|(_, other)| self.may_go(other, now));
        others.all(|(other_ticket, other)| self.order(other, *other_ticket, now) >= order)
    }

    /// Removes a waiting request, served or not. Returns whether it was still there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let was_there = self.take(ticket).is_some();
        self.reset_shares_if_empty();
        was_there
    }

    /// Records that an attempt at a server ended, and how long it took.
    pub fn record_attempt_end(&mut self, duration: Duration, now: Timestamp) {
        self.drain_rate.record_end(duration, self.settings.drain_half_life(), now);
        self.pacing.record_end(self.settings.programs_half_life(), now);
    }

    /// Returns the time after which a request that is refused now should come back: after those of its
    /// rank and earlier ones that wait or were told to come back. `min_wait` is a lower bound known from
    /// elsewhere.
    pub fn retry_after(
        &mut self,
        request: &QueuedRequest,
        min_wait: Duration,
        now: Timestamp,
    ) -> Duration {
        let (first, last) = self.settings.return_bounds();
        let first = first.max(min_wait).min(last);
        let Some(rate) = self.drain_per_second(now) else { return first };
        let waiting = self.waiting.values().filter(|other| other.rank <= request.rank);
        let waiting: f64 = waiting.map(|other| self.turns_of(other, now)).sum();
        let returning = self.returns.count_ahead(request.rank, now) + 1;
        let returning = returning as f64 * self.turns_of(request, now) / self.settings.return_share;
        let wait = (waiting + self.turns_before(request, now) + returning) / rate;
        let wait = Duration::from_secs_f64(wait).clamp(first, last);
        self.returns.record(request.rank, now + wait);
        wait
    }

    /// Returns how long a request would wait, by the turns that go before it: all of its own tenant, and
    /// of each other tenant as many again at most, since tenants take turns. Turns that were promised to
    /// others go before a first turn.
    fn expected_wait(&self, request: &QueuedRequest, now: Timestamp) -> Duration {
        let Some(rate) = self.drain_per_second(now) else { return Duration::ZERO };
        let class = |request: &QueuedRequest| self.class(request, now);
        let own_class = class(request);
        let earlier = self.waiting.values().filter(|other| class(other) < own_class);
        let earlier: f64 = earlier.map(|other| self.turns_of(other, now)).sum();
        let mut by_tenant: HashMap<TenantKey, f64> = HashMap::new();
        for other in self.waiting.values().filter(|other| class(other) == own_class) {
            *by_tenant.entry(other.tenant).or_default() += self.turns_of(other, now);
        }
        let own =
            by_tenant.get(&request.tenant).copied().unwrap_or(0.0) + self.turns_of(request, now);
        let in_turns: f64 = by_tenant
            .iter()
            .map(|(tenant, turns)| if *tenant == request.tenant { *turns } else { turns.min(own) })
            .sum();
        Duration::from_secs_f64((earlier + in_turns + self.turns_before(request, now)) / rate)
    }

    /// Returns the turns of active programs that must end before a request may go.
    fn turns_before(&self, request: &QueuedRequest, now: Timestamp) -> f64 {
        match self.is_paced(request, now) {
            true => self.pacing.turns_before_start(request.rank, request.tenant),
            false => 0.0,
        }
    }

    /// Returns the turns that a request stands for: while programs are paced, all turns of the program
    /// that it starts.
    fn turns_of(&self, request: &QueuedRequest, now: Timestamp) -> f64 {
        if self.is_paced(request, now) { self.pacing.turns_per_program(request.rank) } else { 1.0 }
    }

    /// Whether a request would start a program while programs are paced.
    fn is_paced(&self, request: &QueuedRequest, now: Timestamp) -> bool {
        now < self.paced_until && !request.stage.is_under_way()
    }

    /// Whether a request may go as far as pacing is concerned.
    fn may_go(&self, request: &QueuedRequest, now: Timestamp) -> bool {
        !self.is_paced(request, now) || self.pacing.may_go(request)
    }

    /// Returns the requests to remove so that a new one fits, or none if all of them go before it.
    fn displaced_by(&self, request: &QueuedRequest, now: Timestamp) -> Option<Vec<Ticket>> {
        let (mut count, mut bytes) = (self.waiting.len() + 1, self.bytes + request.bytes);
        let fits = |count, bytes| {
            count <= self.settings.most_waiting && bytes <= self.settings.max_bytes()
        };
        if fits(count, bytes) {
            return Some(Vec::new());
        }
        let mut queued_cost: HashMap<TenantKey, u64> = HashMap::new();
        for other in self.waiting.values().chain([request]) {
            *queued_cost.entry(other.tenant).or_default() += other.cost.0;
        }
        // Within a class, the tenant with the highest queued cost gives way first.
        let key = |other: &QueuedRequest, ticket: Ticket| {
            (self.class(other, now), queued_cost[&other.tenant], other.due, ticket)
        };
        let own = key(request, self.next_ticket());
        let others = self.waiting.iter().map(|(ticket, other)| (key(other, *ticket), other.bytes));
        let mut behind: Vec<_> = others.filter(|(key, _)| *key > own).collect();
        behind.sort_unstable_by_key(|(key, _)| Reverse(*key));
        let mut displaced = Vec::new();
        for ((.., ticket), freed) in behind {
            displaced.push(ticket);
            (count, bytes) = (count - 1, bytes - freed);
            if fits(count, bytes) {
                return Some(displaced);
            }
        }
        None
    }

    fn order(&self, request: &QueuedRequest, ticket: Ticket, now: Timestamp) -> DispatchOrder {
        let start = self.shares.start(request.tenant);
        (self.class(request, now), start, request.due, ticket)
    }

    fn class(&self, request: &QueuedRequest, now: Timestamp) -> PriorityClass {
        let QueuedRequest { rank, stage, tenant, .. } = *request;
        let is_over_share = self.pacing.is_over_share(tenant);
        (rank, is_over_share, stage, self.is_late(request, now))
    }

    /// Whether a request, or its program, would be late if it started now.
    fn is_late(&self, request: &QueuedRequest, now: Timestamp) -> bool {
        now + self.expected_duration(request) > request.due
    }

    /// Returns how long a request takes, or the program that it starts. Programs of a rank are assumed to
    /// need about the same time.
    fn expected_duration(&self, request: &QueuedRequest) -> Duration {
        let attempt = self.drain_rate.mean_duration();
        if request.stage.is_under_way() {
            return attempt;
        }
        let time = self.pacing.mean_time(request.rank).as_secs_f64();
        attempt.max(Duration::from_secs_f64(time * self.settings.needed_share))
    }

    fn drain_per_second(&self, now: Timestamp) -> Option<f64> {
        self.drain_rate.per_second(self.settings.drain_half_life(), now)
    }

    fn next_ticket(&self) -> Ticket {
        Ticket(self.last_ticket + 1)
    }

    fn reset_shares_if_empty(&mut self) {
        if self.is_empty() {
            self.shares.reset();
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let request = self.waiting.remove(&ticket)?;
        self.bytes -= request.bytes;
        Some(request)
    }
}
