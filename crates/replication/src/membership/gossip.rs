//! The queue of updates to gossip, and the byte budget for them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Timestamp};

use super::facts::Facts;
use super::members::Members;
use super::{Fact, FactKey, MemberRecord};

/// The subject of an update. A newer update on the same subject replaces an older one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    Member(DaemonId),
    Fact(FactKey),
}

impl Subject {
    /// The priority class. Load reports are sent only after everything else, except reports of a
    /// failing back end: requests sent to it fail until the other daemons have the report.
    fn priority_class(&self) -> u8 {
        match self {
            Self::Fact(FactKey::BackendFailure { .. }) => URGENT_CLASS,
            Self::Fact(key) if key.is_load() => LOAD_CLASS,
            Self::Fact(_) | Self::Member(_) => URGENT_CLASS,
        }
    }

    /// How often each daemon transmits an update on this subject.
    fn transmissions(&self, limits: TransmissionLimits) -> u32 {
        match self {
            Self::Fact(key) if key.is_load() => limits.loads,
            Self::Fact(_) | Self::Member(_) => limits.others,
        }
    }
}

/// Class, number of transmissions, latest arrival first: a new update never waits behind a backlog.
type Rank = (u8, u32, Reverse<u64>);

/// The class of members, of failing back ends, and of facts that do not expire.
const URGENT_CLASS: u8 = 0;

/// The class of load reports.
const LOAD_CLASS: u8 = 1;

/// How often each daemon transmits an update.
#[derive(Debug, Clone, Copy)]
pub(super) struct TransmissionLimits {
    pub loads: u32,
    pub others: u32,
}

/// The content of an update.
enum UpdateContent<'a> {
    Member(&'a MemberRecord),
    Fact(&'a Fact),
}

impl UpdateContent<'_> {
    fn wire_bytes(&self) -> usize {
        match self {
            Self::Member(record) => record.wire_bytes(),
            Self::Fact(fact) => fact.wire_bytes(),
        }
    }
}

/// The records and facts from which updates are built.
pub(super) struct LocalState<'a> {
    pub own: &'a MemberRecord,
    pub members: &'a Members,
    pub facts: &'a Facts,
}

impl<'a> LocalState<'a> {
    fn look_up(&self, subject: &Subject) -> Option<UpdateContent<'a>> {
        match subject {
            Subject::Member(daemon) if *daemon == self.own.info.daemon => {
                Some(UpdateContent::Member(self.own))
            }
            Subject::Member(daemon) => {
                self.members.get(*daemon).map(|member| UpdateContent::Member(&member.record))
            }
            Subject::Fact(key) => self.facts.get(key).map(UpdateContent::Fact),
        }
    }
}

/// Updates that fit into one message.
#[derive(Debug, Default)]
pub(super) struct Updates {
    pub members: Vec<MemberRecord>,
    pub facts: Vec<Fact>,
    pub bytes: usize,
}

impl Updates {
    fn push(&mut self, content: UpdateContent<'_>) {
        self.bytes += content.wire_bytes();
        match content {
            UpdateContent::Member(record) => self.members.push(record.clone()),
            UpdateContent::Fact(fact) => self.facts.push(fact.clone()),
        }
    }
}

/// Queued updates. Those with the fewest transmissions are sent first.
#[derive(Debug, Clone, Default)]
pub(super) struct UpdateQueue {
    ranks: BTreeMap<Subject, Rank>,
    order: BTreeMap<Rank, Subject>,
    arrivals: u64,
}

impl UpdateQueue {
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Queues an update. A newer update on the same subject starts again with no transmissions.
    pub fn push(&mut self, subject: Subject) {
        self.remove(&subject);
        self.arrivals += 1;
        let rank = (subject.priority_class(), 0, Reverse(self.arrivals));
        self.insert(subject, rank);
    }

    fn insert(&mut self, subject: Subject, rank: Rank) {
        self.ranks.insert(subject.clone(), rank);
        self.order.insert(rank, subject);
    }

    fn remove(&mut self, subject: &Subject) {
        if let Some(rank) = self.ranks.remove(subject) {
            self.order.remove(&rank);
        }
    }

    /// Takes the updates that fit into `room` bytes and drops those that were sent often enough.
    pub fn take(
        &mut self,
        room: usize,
        limits: TransmissionLimits,
        local: &LocalState<'_>,
    ) -> Updates {
        let mut updates = Updates::default();
        let mut sent_updates = Vec::new();
        for (rank, subject) in &self.order {
            let Some(content) = local.look_up(subject) else {
                sent_updates.push((*rank, subject.clone(), true));
                continue;
            };
            if updates.bytes + content.wire_bytes() > room {
                break;
            }
            updates.push(content);
            sent_updates.push((*rank, subject.clone(), false));
        }
        self.count_sent(sent_updates, limits);
        updates
    }

    fn count_sent(&mut self, sent_updates: Vec<(Rank, Subject, bool)>, limits: TransmissionLimits) {
        for ((class, sent, arrival), subject, is_missing) in sent_updates {
            self.remove(&subject);
            if !is_missing && sent + 1 < subject.transmissions(limits) {
                self.insert(subject, (class, sent + 1, arrival));
            }
        }
    }
}

/// A token bucket of bytes.
#[derive(Debug, Clone)]
pub(super) struct ByteBudget {
    bytes_per_second: u64,
    capacity: f64,
    available: f64,
    refilled_at: Timestamp,
}

impl ByteBudget {
    pub fn new(bytes_per_second: u64, now: Timestamp) -> Self {
        const BURST_SECONDS: f64 = 2.0;
        let capacity = bytes_per_second as f64 * BURST_SECONDS;
        Self { bytes_per_second, capacity, available: capacity, refilled_at: now }
    }

    /// Bytes that may be sent now.
    pub fn room(&mut self, now: Timestamp) -> usize {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.available =
            (self.available + elapsed * self.bytes_per_second as f64).min(self.capacity);
        self.available.max(0.0) as usize
    }

    pub fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
