//! A circuit breaker for each group's ledger: callers are not held for a group without an owner.
//!
//! Without I/O and without time of its own: admissions, answers and silences go in; what may be
//! asked, and for how long, comes out. A group counts as silent from a command without an answer
//! on. While its members may still be electing an owner, callers are held, up to a number: the
//! owner is most likely there before they could come back. Later one command at a time is let through
//! to find out when the group answers again. Ends of turns are always let through, and their answers
//! count as well.

use std::collections::BTreeMap;

use dahlia_types::{Duration, GroupId, InvalidSetting, Timestamp, check_range};
use serde::{Deserialize, Serialize};

/// Settings of the breaker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerBreakerSettings {
    /// Milliseconds that a caller is held for an answer of a ledger.
    pub answer_timeout_ms: u64,
    /// The most of a caller's remaining time that it is held for one.
    pub most_of_patience: f64,
    /// Milliseconds after which a caller may come back to a group that may be electing an owner.
    pub retry_after_ms: u64,
    /// Milliseconds that a silent group may take to elect an owner: two rounds of votes.
    pub succession_ms: u64,
    /// Callers that are held meanwhile for one group; first turns get half of the places, since a
    /// program that has turns behind it loses more.
    pub most_held: u32,
    /// Milliseconds after which a caller may come back to a group that is silent for longer.
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

/// How far a turn's program is, as the places for held callers count it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It is its program's first.
    First,
    /// Its program has turns behind it, or may have.
    UnderWay,
}

/// Whether a command may be put to a group that a caller is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Yes, for this long.
    Ask {
        /// How long the caller is held.
        wait: Duration,
    },
    /// Yes, in the hope of a new owner. [`LedgerBreaker::end_hold`] must follow, whatever came
    /// of it.
    Hold {
        /// How long the caller is held.
        wait: Duration,
    },
    /// Yes, to find out whether the group answers again. [`LedgerBreaker::end_probe`] must
    /// follow, whatever came of it.
    Probe {
        /// How long the caller is held.
        wait: Duration,
    },
    /// No: the group is silent.
    Refuse {
        /// When it is worth coming back.
        retry_after: Duration,
    },
}

/// What a silent group is being asked.
#[derive(Debug, Clone, Copy)]
struct Silence {
    since: Timestamp,
    is_probed: bool,
}

/// The breakers of all groups. Groups that answer need no entry.
#[derive(Debug)]
pub struct LedgerBreaker {
    settings: LedgerBreakerSettings,
    silent: BTreeMap<GroupId, Silence>,
    held: BTreeMap<GroupId, u32>,
}

impl LedgerBreaker {
    /// Breakers that are all closed.
    pub fn new(settings: LedgerBreakerSettings) -> Self {
        Self { settings, silent: BTreeMap::new(), held: BTreeMap::new() }
    }

    /// When it is worth coming back to a silent group.
    pub fn retry_after(&self, group: GroupId, now: Timestamp) -> Duration {
        let is_outage =
            self.silent.get(&group).is_some_and(|silence| !self.may_elect(silence, now));
        let settings = &self.settings;
        let millis = if is_outage { settings.outage_retry_ms } else { settings.retry_after_ms };
        Duration::from_millis(millis)
    }

    /// Whether a group counts as silent.
    pub fn is_unresponsive(&self, group: GroupId) -> bool {
        self.silent.contains_key(&group)
    }

    /// Asks to put a command to a group for a caller that waits `patience` at most.
    pub fn admit(
        &mut self,
        group: GroupId,
        stage: Stage,
        patience: Duration,
        now: Timestamp,
    ) -> Admission {
        let wait = self.wait(patience);
        let Some(silence) = self.silent.get(&group).copied() else {
            return Admission::Ask { wait };
        };
        if self.may_elect(&silence, now) && self.has_place(group, stage) {
            *self.held.entry(group).or_default() += 1;
            return Admission::Hold { wait };
        }
        if silence.is_probed {
            return Admission::Refuse { retry_after: self.retry_after(group, now) };
        }
        self.silent.insert(group, Silence { is_probed: true, ..silence });
        Admission::Probe { wait }
    }

    /// A caller that was held was answered, went without an answer, or left.
    pub fn end_hold(&mut self, group: GroupId) {
        if let Some(held) = self.held.get_mut(&group) {
            *held = held.saturating_sub(1);
        }
    }

    /// A probe was answered, went without an answer, or lost its caller.
    pub fn end_probe(&mut self, group: GroupId) {
        if let Some(silence) = self.silent.get_mut(&group) {
            silence.is_probed = false;
        }
    }

    /// A command of any kind was answered, however late.
    pub fn record_answer(&mut self, group: GroupId) {
        self.silent.remove(&group);
    }

    /// A command had no answer for `waited`. A caller in a hurry waits less than an answer may
    /// well take: that says nothing about the group.
    pub fn record_timeout(&mut self, group: GroupId, waited: Duration, now: Timestamp) {
        if waited.times(2) >= self.answer_timeout() {
            self.record_missing_owner(group, now);
        }
    }

    /// The owner's part of the system said that nobody answers for a group.
    pub fn record_missing_owner(&mut self, group: GroupId, now: Timestamp) {
        self.silent.entry(group).or_insert(Silence { since: now, is_probed: false });
    }

    /// Whether a group's members may still be electing an owner.
    fn may_elect(&self, silence: &Silence, now: Timestamp) -> bool {
        now.since(silence.since) < Duration::from_millis(self.settings.succession_ms)
    }

    fn has_place(&self, group: GroupId, stage: Stage) -> bool {
        let most = match stage {
            Stage::First => self.settings.most_held / 2,
            Stage::UnderWay => self.settings.most_held,
        };
        self.held.get(&group).copied().unwrap_or_default() < most
    }

    fn wait(&self, patience: Duration) -> Duration {
        let share = patience.as_secs_f64() * self.settings.most_of_patience;
        Duration::from_secs_f64(share).min(self.answer_timeout())
    }

    fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.answer_timeout_ms)
    }
}
