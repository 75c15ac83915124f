//! The queue of news to spread, and the budget of bytes for it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Timestamp};

use super::facts::Facts;
use super::members::Members;
use super::{Fact, FactKey, MemberRecord};

/// What a piece of news is about. A newer one on the same subject replaces it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    Member(DaemonId),
    Fact(FactKey),
}

impl Subject {
    /// Load reports leave only after everything else. A failing back end loses requests until
    /// others hear of it.
    fn class(&self) -> u8 {
        match self {
            Self::Fact(FactKey::BackendFailure { .. }) => URGENT_CLASS,
            Self::Fact(key) if key.is_load() => LOAD_CLASS,
            Self::Fact(_) | Self::Member(_) => URGENT_CLASS,
        }
    }

    /// How often it leaves a daemon.
    fn transmissions(&self, limits: Limits) -> u32 {
        match self {
            Self::Fact(key) if key.is_load() => limits.loads,
            Self::Fact(_) | Self::Member(_) => limits.others,
        }
    }
}

/// Class, times sent, latest arrival first: what is new never waits behind a backlog.
type Rank = (u8, u32, Reverse<u64>);

/// The class of members and lasting facts.
const URGENT_CLASS: u8 = 0;

/// The class of load reports.
const LOAD_CLASS: u8 = 1;

/// How often a piece of news leaves a daemon.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    pub loads: u32,
    pub others: u32,
}

/// A piece of news in full.
enum Item<'a> {
    Member(&'a MemberRecord),
    Fact(&'a Fact),
}

impl Item<'_> {
    fn wire_bytes(&self) -> usize {
        match self {
            Self::Member(record) => record.wire_bytes(),
            Self::Fact(fact) => fact.wire_bytes(),
        }
    }
}

/// Where the queue looks its subjects up.
pub(super) struct Known<'a> {
    pub own: &'a MemberRecord,
    pub members: &'a Members,
    pub facts: &'a Facts,
}

impl<'a> Known<'a> {
    fn item(&self, subject: &Subject) -> Option<Item<'a>> {
        match subject {
            Subject::Member(daemon) if *daemon == self.own.info.daemon => {
                Some(Item::Member(self.own))
            }
            Subject::Member(daemon) => {
                self.members.get(*daemon).map(|member| Item::Member(&member.record))
            }
            Subject::Fact(key) => self.facts.get(key).map(Item::Fact),
        }
    }
}

/// News that fits into one message.
#[derive(Debug, Default)]
pub(super) struct News {
    pub members: Vec<MemberRecord>,
    pub facts: Vec<Fact>,
    pub bytes: usize,
}

impl News {
    fn push(&mut self, item: Item<'_>) {
        self.bytes += item.wire_bytes();
        match item {
            Item::Member(record) => self.members.push(record.clone()),
            Item::Fact(fact) => self.facts.push(fact.clone()),
        }
    }
}

/// News to spread: least often sent first.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    ranks: BTreeMap<Subject, Rank>,
    order: BTreeMap<Rank, Subject>,
    arrivals: u64,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds news, or starts spreading anew what is newer on the same subject.
    pub fn push(&mut self, subject: Subject) {
        self.remove(&subject);
        self.arrivals += 1;
        let rank = (subject.class(), 0, Reverse(self.arrivals));
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

    /// Takes what fits into `room` bytes; each piece leaves a limited number of times in all.
    pub fn take(&mut self, room: usize, limits: Limits, known: &Known<'_>) -> News {
        let mut news = News::default();
        let mut taken = Vec::new();
        for (rank, subject) in &self.order {
            let Some(item) = known.item(subject) else {
                taken.push((*rank, subject.clone(), true));
                continue;
            };
            if news.bytes + item.wire_bytes() > room {
                break;
            }
            news.push(item);
            taken.push((*rank, subject.clone(), false));
        }
        self.count_sent(taken, limits);
        news
    }

    fn count_sent(&mut self, taken: Vec<(Rank, Subject, bool)>, limits: Limits) {
        for ((class, sent, arrival), subject, is_gone) in taken {
            self.remove(&subject);
            if !is_gone && sent + 1 < subject.transmissions(limits) {
                self.insert(subject, (class, sent + 1, arrival));
            }
        }
    }
}

/// A budget of bytes that refills with time (token bucket).
#[derive(Debug, Clone)]
pub(super) struct Budget {
    bytes_per_second: u64,
    most: f64,
    left: f64,
    filled_at: Timestamp,
}

impl Budget {
    pub fn new(bytes_per_second: u64, now: Timestamp) -> Self {
        const BURST_SECONDS: f64 = 2.0;
        let most = bytes_per_second as f64 * BURST_SECONDS;
        Self { bytes_per_second, most, left: most, filled_at: now }
    }

    /// Bytes that may be used now.
    pub fn room(&mut self, now: Timestamp) -> usize {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.left = (self.left + passed * self.bytes_per_second as f64).min(self.most);
        self.left.max(0.0) as usize
    }

    pub fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}
