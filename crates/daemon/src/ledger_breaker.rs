//! A circuit breaker for each group's ledger, so that callers do not wait for a group without an owner.
//!
//! It has no I/O and no clock of its own. Its inputs are admissions, answers and time-outs; its output
//! is which commands may be sent, and how long to wait for them. A group counts as unresponsive after a
//! command without an answer. While its members may still be electing an owner, a limited number of
//! callers is held, because the new owner is probably there before they could retry. Later one probe at
//! a time finds out when the group answers again. Commands that end turns are always sent, and their
//! answers count as well.

use std::collections::BTreeMap;

use dahlia_types::{Duration, GroupId, InvalidSetting, Timestamp, check_range};
use serde::{Deserialize, Serialize};

/// Settings of the breaker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerBreakerSettings {
    /// Milliseconds that a caller waits for an answer of a ledger.
    pub answer_timeout_ms: u64,
    /// Largest share of a caller's remaining time that it waits for an answer.
    pub most_of_patience: f64,
    /// Milliseconds after which a caller may retry at a group that may be electing an owner.
    pub retry_after_ms: u64,
    /// Milliseconds that an unresponsive group may take to elect an owner: two rounds of votes.
    pub succession_ms: u64,
    /// Most callers held for one group during an election. First turns get at most half of it, since a
    /// program with earlier turns loses more.
    pub most_held: u32,
    /// Milliseconds after which a caller may retry at a group that is unresponsive for longer.
    pub outage_retry_ms: u64,
}

impl Default for LedgerBreakerSettings {
    fn default() -> Self {
        Self {
            answer_timeout_ms: 1_200,
            most_of_patience: 0.35,
            retry_after_ms: 400,
            succession_ms: 2_000,
            most_held: 64,
            outage_retry_ms: 1_000,
        }
    }
}

impl LedgerBreakerSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("ledger_breaker.answer_timeout_ms", self.answer_timeout_ms, 1, 60_000)?;
        check_range("ledger_breaker.most_of_patience", self.most_of_patience, 0.01, 1.0)?;
        check_range("ledger_breaker.retry_after_ms", self.retry_after_ms, 1, 60_000)?;
        check_range("ledger_breaker.succession_ms", self.succession_ms, 0, 60_000)?;
        check_range("ledger_breaker.most_held", self.most_held, 0, 1_000_000)?;
        check_range("ledger_breaker.outage_retry_ms", self.outage_retry_ms, 1, 60_000)
    }
}

/// The stage of a turn's program, which decides how many callers may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The turn is its program's first.
    First,
    /// The program has earlier turns, or may have.
    UnderWay,
}

/// Whether a command for which a caller waits may be sent to a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Yes.
    Ask {
        /// How long the caller waits.
        wait: Duration,
    },
    /// Yes, since a new owner is probably elected soon. [`LedgerBreaker::end_hold`] must follow, whatever
    /// the result.
    Hold {
        /// How long the caller waits.
        wait: Duration,
    },
    /// Yes, as a probe whether the group answers again. [`LedgerBreaker::end_probe`] must follow, whatever
    /// the result.
    Probe {
        /// How long the caller waits.
        wait: Duration,
    },
    /// No: the group is unresponsive.
    Refuse {
        /// When a retry is worthwhile.
        retry_after: Duration,
    },
}

/// An outage of one group.
#[derive(Debug, Clone, Copy)]
struct Outage {
    since: Timestamp,
    is_probed: bool,
}

/// The breakers of all groups. Only unresponsive groups have an entry.
#[derive(Debug)]
pub struct LedgerBreaker {
    settings: LedgerBreakerSettings,
    outages: BTreeMap<GroupId, Outage>,
    held_callers: BTreeMap<GroupId, u32>,
}

impl LedgerBreaker {
    /// Creates breakers that are all closed.
    pub fn new(settings: LedgerBreakerSettings) -> Self {
        Self { settings, outages: BTreeMap::new(), held_callers: BTreeMap::new() }
    }

    /// The retry delay for an unresponsive group.
    pub fn retry_after(&self, group: GroupId, now: Timestamp) -> Duration {
        let is_outage =
            self.outages.get(&group).is_some_and(|outage| !self.may_be_electing(outage, now));
        let settings = &self.settings;
        let millis = if is_outage { settings.outage_retry_ms } else { settings.retry_after_ms };
        Duration::from_millis(millis)
    }

    /// Whether a group counts as unresponsive.
    pub fn is_unresponsive(&self, group: GroupId) -> bool {
        self.outages.contains_key(&group)
    }

    /// Decides whether to send a command to a group for a caller that waits at most `patience`.
    pub fn admit(
        &mut self,
        group: GroupId,
        stage: Stage,
        patience: Duration,
        now: Timestamp,
    ) -> Admission {
        let wait = self.wait(patience);
        let Some(outage) = self.outages.get(&group).copied() else {
            return Admission::Ask { wait };
        };
        if self.may_be_electing(&outage, now) && self.has_hold_capacity(group, stage) {
            *self.held_callers.entry(group).or_default() += 1;
            return Admission::Hold { wait };
        }
        if outage.is_probed {
            return Admission::Refuse { retry_after: self.retry_after(group, now) };
        }
        self.outages.insert(group, Outage { is_probed: true, ..outage });
        Admission::Probe { wait }
    }

    /// Ends a hold, after an answer or a time-out or because the caller left.
    pub fn end_hold(&mut self, group: GroupId) {
        if let Some(held_callers) = self.held_callers.get_mut(&group) {
            *held_callers = held_callers.saturating_sub(1);
        }
    }

    /// Ends a probe, after an answer or a time-out or because the caller left.
    pub fn end_probe(&mut self, group: GroupId) {
        if let Some(outage) = self.outages.get_mut(&group) {
            outage.is_probed = false;
        }
    }

    /// Records an answer to a command of any kind, however late.
    pub fn record_answer(&mut self, group: GroupId) {
        self.outages.remove(&group);
    }

    /// Records that a command had no answer for `waited`. A wait shorter than half of the answer timeout
    /// is ignored, since a healthy group may take longer to answer.
    pub fn record_timeout(&mut self, group: GroupId, waited: Duration, now: Timestamp) {
        if waited.times(2) >= self.answer_timeout() {
            self.record_missing_owner(group, now);
        }
    }

    /// Records the routing layer's report that a group has no owner.
    pub fn record_missing_owner(&mut self, group: GroupId, now: Timestamp) {
        self.outages.entry(group).or_insert(Outage { since: now, is_probed: false });
    }

    /// Whether a group's members may still be electing an owner.
    fn may_be_electing(&self, outage: &Outage, now: Timestamp) -> bool {
        now.since(outage.since) < Duration::from_millis(self.settings.succession_ms)
    }

    fn has_hold_capacity(&self, group: GroupId, stage: Stage) -> bool {
        let most = match stage {
            Stage::First => self.settings.most_held / 2,
            Stage::UnderWay => self.settings.most_held,
        };
        self.held_callers.get(&group).copied().unwrap_or_default() < most
    }

    fn wait(&self, patience: Duration) -> Duration {
        let share = patience.as_secs_f64() * self.settings.most_of_patience;
        Duration::from_secs_f64(share).min(self.answer_timeout())
    }

    fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.answer_timeout_ms)
    }
}
