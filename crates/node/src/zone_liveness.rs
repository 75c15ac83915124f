//! Which zones this daemon hears, and whether it is cut off from the owners of groups.
//!
//! One silent daemon may be slow, or dead; a zone of which nobody answers is cut off, or has lost its power. Any
//! message of any daemon is a sign of its zone. A zone without a sign for long, or one of which an answer
//! is overdue, is asked: several of its daemons at once, and only when none of them answers does it count
//! as silent, until the next sign. While zones are heard this costs nothing.
//!
//! A daemon is cut off when most groups have lost their majority to silent zones, and half of all zones are
//! silent. Where owners are down while their zones are heard, or most zones are, it is not: all others would
//! see the same.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_replication::directory::GroupDescription;
use dahlia_types::{DaemonId, Duration, GroupId, InvalidSetting, Timestamp, Zone, check_range};
use serde::{Deserialize, Serialize};

/// Settings of zone liveness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneLivenessSettings {
    /// Milliseconds without a sign of a zone after which one of its daemons is asked for one.
    pub quiet_ms: u64,
    /// Milliseconds that daemons have to answer. Longer than a round trip to the farthest zone, with
    /// a daemon there that is slow.
    pub answer_ms: u64,
    /// Daemons of a zone that are asked, and stay silent, before it counts as silent; all, where it has
    /// fewer.
    pub witnesses: usize,
    /// Milliseconds that zones must be heard again before a daemon that was cut off takes callers.
    pub settle_ms: u64,
}

impl Default for ZoneLivenessSettings {
    fn default() -> Self {
        Self { quiet_ms: 1_000, answer_ms: 100, witnesses: 3, settle_ms: 500 }
    }
}

impl ZoneLivenessSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("zone_liveness.quiet_ms", self.quiet_ms, 100, 60_000)?;
        // Two ticks and more: what came between two of them is read after the second.
        check_range("zone_liveness.answer_ms", self.answer_ms, 50, self.quiet_ms)?;
        check_range("zone_liveness.witnesses", self.witnesses, 1, 16)?;
        // A zone that is lost again is known to be before: three answers are waited for, and ticks.
        check_range("zone_liveness.settle_ms", self.settle_ms, self.answer_ms * 4, 60_000)
    }

    fn quiet(&self) -> Duration {
        Duration::from_millis(self.quiet_ms)
    }

    fn answer(&self) -> Duration {
        Duration::from_millis(self.answer_ms)
    }

    fn settle(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }
}

/// Whom this daemon reaches, as its other parts are told at each change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Other zones of which nobody answers.
    pub silent_zones: BTreeSet<Zone>,
    /// Set while this daemon is cut off: see the module.
    pub cut_off: Option<CutOff>,
}

/// What is known of the cut that this daemon is behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CutOff {
    /// Since when.
    pub since: Timestamp,
    /// Nobody of the own zone answers either: the others there may be better off.
    pub is_alone: bool,
}

/// How many groups count, and how many of them have lost their majority to silent zones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupCount {
    /// Groups known.
    pub all: usize,
    /// Those of them without a majority in zones that are heard.
    pub out_of_reach: usize,
}

impl GroupCount {
    /// Counts the groups that are at home in this region, on which its programs rest; all, where none is.
    pub fn of<'a>(
        groups: impl Iterator<Item = &'a GroupDescription>,
        at_home: &[GroupId],
        is_silent: impl Fn(DaemonId) -> bool,
    ) -> Self {
        let counts = |group| at_home.is_empty() || at_home.contains(&group);
        let mut count = Self::default();
        for group in groups.filter(|group| counts(group.group)) {
            count.all += 1;
            count.out_of_reach += usize::from(is_out_of_reach(group, &is_silent));
        }
        count
    }
}

/// Whether a group's majority lies in silent zones: nobody who is heard can own it.
fn is_out_of_reach(group: &GroupDescription, is_silent: impl Fn(DaemonId) -> bool) -> bool {
    let voters = &group.members;
    let silent = voters.iter().filter(|voter| is_silent(voter.daemon)).count();
    let majority = voters.len() / 2 + 1;
    voters.len() - silent < majority
}

/// How far a zone has been asked for a sign.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Heard,
    AskedOne { at: Timestamp },
    AskedWitnesses { at: Timestamp },
    Silent { asked: Timestamp },
}

#[derive(Debug, Clone)]
struct ZoneState {
    heard: Timestamp,
    step: Step,
}

/// What this daemon heard of each zone.
#[derive(Debug)]
pub struct ZoneLiveness {
    settings: ZoneLivenessSettings,
    own_zone: Zone,
    zones: BTreeMap<Zone, ZoneState>,
    ticked: Timestamp,
    /// Whom to ask next of a zone.
    turn: usize,
    cut_off: Option<CutOff>,
    /// Since when groups are within reach again.
    back_since: Option<Timestamp>,
    told: Reachability,
}

impl ZoneLiveness {
    /// A daemon in `own_zone` that has heard nobody. `seed` spreads whom daemons ask.
    pub fn new(settings: ZoneLivenessSettings, own_zone: Zone, seed: u64) -> Self {
        Self {
            settings,
            own_zone,
            zones: BTreeMap::new(),
            ticked: Timestamp::ZERO,
            turn: seed as u16 as usize,
            cut_off: None,
            back_since: None,
            told: Reachability::default(),
        }
    }

    /// A message of a daemon in a zone came.
    pub fn heard(&mut self, zone: &Zone, now: Timestamp) {
        match self.zones.get_mut(zone) {
            Some(state) => *state = ZoneState { heard: now, step: Step::Heard },
            None => {
                let state = ZoneState { heard: now, step: Step::Heard };
                self.zones.insert(zone.clone(), state);
            }
        }
    }

    /// An answer is overdue: zones without a fresh sign are asked at the next tick. `zone` says which
    /// one; none, that the answer might have come from any.
    pub fn doubt(&mut self, zone: Option<&Zone>, now: Timestamp) {
        let answer = self.settings.answer();
        for (name, state) in &mut self.zones {
            let is_meant = zone.is_none_or(|zone| zone == name);
            let is_unasked = matches!(state.step, Step::Heard | Step::AskedOne { .. });
            if is_meant && is_unasked && now.since(state.heard) >= answer {
                // One that was asked long ago: witnesses are next.
                state.step = Step::AskedOne { at: Timestamp::ZERO };
            }
        }
    }

    /// A zone from which something is due at least this often: it is asked when nothing came.
    pub fn doubt_quiet(&mut self, zone: &Zone, patience: Duration, now: Timestamp) {
        let state = self.zones.get(zone);
        if state.is_some_and(|state| now.since(state.heard) >= patience) {
            self.doubt(Some(zone), now);
        }
    }

    /// Whether a zone counts as silent.
    pub fn is_silent(&self, zone: &Zone) -> bool {
        self.zones.get(zone).is_some_and(|state| matches!(state.step, Step::Silent { .. }))
    }

    /// Whether a zone is being asked for a sign, or soon will be.
    pub fn is_asking(&self) -> bool {
        self.cut_off.is_some() || self.zones.values().any(|state| state.step != Step::Heard)
    }

    /// Takes in that time passed, with the other daemons known of each zone, the dead of late included;
    /// gives whom to ask for a sign.
    pub fn tick(
        &mut self,
        members: &BTreeMap<Zone, Vec<DaemonId>>,
        now: Timestamp,
    ) -> Vec<DaemonId> {
        // This process stood still: what answered meanwhile is not read yet.
        let was_paused = now.since(self.ticked) >= self.settings.answer();
        self.ticked = now;
        self.zones.retain(|zone, _| members.contains_key(zone));
        let patience = Patience::of(&self.settings, self.cut_off.is_some());
        let mut asked = Vec::new();
        for (zone, daemons) in members {
            let heard = ZoneState { heard: now, step: Step::Heard };
            let state = self.zones.entry(zone.clone()).or_insert(heard);
            let count = state.step_on(&patience, was_paused, now);
            let count = count.min(daemons.len());
            let first = self.turn;
            asked.extend((first..first + count).map(|place| daemons[place % daemons.len()]));
            self.turn = self.turn.wrapping_add(count);
        }
        asked
    }

    /// Whether at least half of the zones are silent. Where fewer are, stores that are down in zones of
    /// their own look the same from everywhere.
    fn hears_few_zones(&self) -> bool {
        let silent = self.zones.keys().filter(|zone| self.is_silent(zone)).count();
        let is_own_unlisted = !self.zones.contains_key(&self.own_zone);
        silent * 2 >= self.zones.len() + usize::from(is_own_unlisted)
    }

    /// Judges whether this daemon is cut off. Gives whom it reaches when that has changed.
    pub fn judge(&mut self, groups: GroupCount, now: Timestamp) -> Option<Reachability> {
        let is_out = groups.out_of_reach * 2 > groups.all && self.hears_few_zones();
        match (self.cut_off, is_out) {
            (None, true) => {
                let is_alone = self.is_silent(&self.own_zone);
                self.cut_off = Some(CutOff { since: now, is_alone });
                self.back_since = None;
            }
            (Some(cut), true) => {
                self.cut_off = Some(CutOff { is_alone: self.is_silent(&self.own_zone), ..cut });
                self.back_since = None;
            }
            (Some(_), false) => {
                let since = *self.back_since.get_or_insert(now);
                if now.since(since) >= self.settings.settle() {
                    self.cut_off = None;
                }
            }
            (None, false) => {}
        }
        // The others of the own zone may be down while what else is in it is there.
        let is_other = |zone: &&Zone| **zone != self.own_zone;
        let silent = self.zones.keys().filter(is_other).filter(|zone| self.is_silent(zone));
        let reach = Reachability { silent_zones: silent.cloned().collect(), cut_off: self.cut_off };
        if reach == self.told {
            return None;
        }
        self.told = reach.clone();
        Some(reach)
    }
}

/// How long zones are left before they are asked, and asked on.
struct Patience {
    heard: Duration,
    answer: Duration,
    silent: Duration,
    witnesses: usize,
}

impl Patience {
    /// A daemon that is cut off asks all zones without a pause: a single message that gets through
    /// must not pass for the end of the cut.
    fn of(settings: &ZoneLivenessSettings, is_cut_off: bool) -> Self {
        let answer = settings.answer();
        let silent = Duration::from_millis(settings.quiet_ms / 4);
        let (heard, silent) = match is_cut_off {
            true => (answer, answer.min(silent)),
            false => (settings.quiet(), silent),
        };
        Self { heard, answer, silent, witnesses: settings.witnesses }
    }
}

impl ZoneState {
    /// Goes on to what is due; gives how many daemons to ask for a sign.
    fn step_on(&mut self, patience: &Patience, was_paused: bool, now: Timestamp) -> usize {
        let is_over = |at: Timestamp| now.since(at) >= patience.answer;
        match self.step {
            Step::Heard if now.since(self.heard) >= patience.heard => {
                self.step = Step::AskedOne { at: now };
                1
            }
            Step::AskedOne { at } if is_over(at) => {
                self.step = Step::AskedWitnesses { at: now };
                patience.witnesses
            }
            Step::AskedWitnesses { at } if is_over(at) && was_paused => {
                self.step = Step::AskedWitnesses { at: now };
                patience.witnesses
            }
            Step::AskedWitnesses { at } if is_over(at) => {
                self.step = Step::Silent { asked: now };
                1
            }
            // Asked on, so that the end of a cut is known soon.
            Step::Silent { asked } if now.since(asked) >= patience.silent => {
                self.step = Step::Silent { asked: now };
                1
            }
            _ => 0,
        }
    }
}
