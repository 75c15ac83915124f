//! Detects silent zones, and whether this daemon is cut off from the owners of groups.
//!
//! A single silent daemon may be slow or dead. A zone whose daemons all fail to answer is cut off or has lost
//! its power. Any message of any daemon shows that its zone is alive. A zone without messages for the quiet
//! time, or one whose answer is overdue, is probed: several of its daemons at once. It counts as silent only if
//! none of them answers, until its next message. While messages arrive from all zones this costs nothing.
//!
//! A daemon is cut off when most groups have lost their majority to silent zones and at least half of all zones
//! are silent. It is not cut off if owners are down while their zones answer, or if most zones answer: then all
//! other daemons see the same.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_replication::directory::GroupDescription;
use dahlia_types::{DaemonId, Duration, GroupId, InvalidSetting, Timestamp, Zone, check_range};
use serde::{Deserialize, Serialize};

/// Settings of zone liveness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneLivenessSettings {
    /// Milliseconds without a message of a zone after which one of its daemons is probed.
    pub quiet_ms: u64,
    /// Milliseconds that a probed daemon has to answer. Longer than a round trip to a slow daemon in the
    /// farthest zone.
    pub answer_ms: u64,
    /// Number of daemons of a zone that must fail to answer before it counts as silent; all if it has fewer.
    pub witnesses: usize,
    /// Milliseconds that zones must answer again before a daemon that was cut off takes callers.
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
        // More than two ticks: a message that arrives between two ticks is read after the second.
        check_range("zone_liveness.answer_ms", self.answer_ms, 50, self.quiet_ms)?;
        check_range("zone_liveness.witnesses", self.witnesses, 1, 16)?;
        // Long enough to detect that a zone is lost again, which takes three answer timeouts and some ticks.
        check_range("zone_liveness.settle_ms", self.settle_ms, self.answer_ms * 4, 60_000)
    }

    fn quiet_time(&self) -> Duration {
        Duration::from_millis(self.quiet_ms)
    }

    fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.answer_ms)
    }

    fn settle_time(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }
}

/// The reachability of other zones, which the driver gets at each change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reachability {
    /// Other zones whose daemons all fail to answer.
    pub silent_zones: BTreeSet<Zone>,
    /// Set while this daemon is cut off, as the module documentation defines it.
    pub cut_off: Option<CutOff>,
}

/// The network cut that separates this daemon from the owners of groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CutOff {
    /// When the cut was detected.
    pub since: Timestamp,
    /// Whether no daemon of the own zone answers either. Then the other daemons there may not be cut off.
    pub is_alone: bool,
}

/// The number of groups that matter here, and of those that have lost their majority to silent zones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupCount {
    /// Groups counted.
    pub total: usize,
    /// Groups without a majority in zones that answer.
    pub out_of_reach: usize,
}

impl GroupCount {
    /// Counts the groups whose home is this region, since its programs depend on them. If it has none, counts
    /// all groups.
    pub fn count<'a>(
        groups: impl Iterator<Item = &'a GroupDescription>,
        at_home: &[GroupId],
        is_silent: impl Fn(DaemonId) -> bool,
    ) -> Self {
        let counts = |group| at_home.is_empty() || at_home.contains(&group);
        let mut count = Self::default();
        for group in groups.filter(|group| counts(group.group)) {
            count.total += 1;
            count.out_of_reach += usize::from(is_out_of_reach(group, &is_silent));
        }
        count
    }
}

/// Whether a group has lost its majority to silent zones, so that no reachable daemon can own it.
fn is_out_of_reach(group: &GroupDescription, is_silent: impl Fn(DaemonId) -> bool) -> bool {
    let voters = &group.members;
    let silent = voters.iter().filter(|voter| is_silent(voter.daemon)).count();
    let majority = voters.len() / 2 + 1;
    voters.len() - silent < majority
}

/// The state of probing a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeState {
    Heard,
    ProbedOne { at: Timestamp },
    ProbedWitnesses { at: Timestamp },
    Silent { probed_at: Timestamp },
}

#[derive(Debug, Clone)]
struct ZoneState {
    last_heard_at: Timestamp,
    probe: ProbeState,
}

/// Tracks which zones answer.
#[derive(Debug)]
pub struct ZoneLiveness {
    settings: ZoneLivenessSettings,
    own_zone: Zone,
    zones: BTreeMap<Zone, ZoneState>,
    last_tick_at: Timestamp,
    /// Index of the next daemon of a zone to probe, modulo the number of its daemons.
    next_probed: usize,
    cut_off: Option<CutOff>,
    /// When groups came within reach again; none while they are out of reach.
    reachable_since: Option<Timestamp>,
    last_reported: Reachability,
}

impl ZoneLiveness {
    /// Creates the state of a daemon in `own_zone` that has received no message. Different seeds make daemons
    /// probe different ones.
    pub fn new(settings: ZoneLivenessSettings, own_zone: Zone, seed: u64) -> Self {
        Self {
            settings,
            own_zone,
            zones: BTreeMap::new(),
            last_tick_at: Timestamp::ZERO,
            next_probed: seed as u16 as usize,
            cut_off: None,
            reachable_since: None,
            last_reported: Reachability::default(),
        }
    }

    /// Records a message of a daemon in a zone.
    pub fn record_message(&mut self, zone: &Zone, now: Timestamp) {
        match self.zones.get_mut(zone) {
            Some(state) => *state = ZoneState { last_heard_at: now, probe: ProbeState::Heard },
            None => {
                let state = ZoneState { last_heard_at: now, probe: ProbeState::Heard };
                self.zones.insert(zone.clone(), state);
            }
        }
    }

    /// Handles an overdue answer: zones without a recent message are probed at the next tick. `zone` is the
    /// zone that should have answered; none if any zone might have.
    pub fn suspect(&mut self, zone: Option<&Zone>, now: Timestamp) {
        let answer_timeout = self.settings.answer_timeout();
        for (name, state) in &mut self.zones {
            let is_suspected = zone.is_none_or(|zone| zone == name);
            let is_unprobed =
                matches!(state.probe, ProbeState::Heard | ProbeState::ProbedOne { .. });
            if is_suspected && is_unprobed && now.since(state.last_heard_at) >= answer_timeout {
                // As if its first probe had timed out: witnesses are probed next.
                state.probe = ProbeState::ProbedOne { at: Timestamp::ZERO };
            }
        }
    }

    /// Suspects a zone that has sent nothing for `timeout`, although some message was due.
    pub fn suspect_if_quiet(&mut self, zone: &Zone, timeout: Duration, now: Timestamp) {
        let state = self.zones.get(zone);
        if state.is_some_and(|state| now.since(state.last_heard_at) >= timeout) {
            self.suspect(Some(zone), now);
        }
    }

    /// Whether a zone counts as silent.
    pub fn is_silent(&self, zone: &Zone) -> bool {
        self.zones.get(zone).is_some_and(|state| matches!(state.probe, ProbeState::Silent { .. }))
    }

    /// Whether a zone is being probed, or soon will be.
    pub fn is_probing(&self) -> bool {
        self.cut_off.is_some() || self.zones.values().any(|state| state.probe != ProbeState::Heard)
    }

    /// Advances the probes of all zones. `members` are the other daemons known of each zone, including those
    /// that died recently. Returns the daemons to probe.
    pub fn tick(
        &mut self,
        members: &BTreeMap<Zone, Vec<DaemonId>>,
        now: Timestamp,
    ) -> Vec<DaemonId> {
        // After a pause of this process, answers that arrived in the meantime are still unread.
        let was_paused = now.since(self.last_tick_at) >= self.settings.answer_timeout();
        self.last_tick_at = now;
        self.zones.retain(|zone, _| members.contains_key(zone));
        let timeouts = ProbeTimeouts::new(&self.settings, self.cut_off.is_some());
        let mut probed = Vec::new();
        for (zone, daemons) in members {
            let heard = ZoneState { last_heard_at: now, probe: ProbeState::Heard };
            let state = self.zones.entry(zone.clone()).or_insert(heard);
            let count = state.advance(&timeouts, was_paused, now);
            let count = count.min(daemons.len());
            let first = self.next_probed;
            probed.extend((first..first + count).map(|index| daemons[index % daemons.len()]));
            self.next_probed = self.next_probed.wrapping_add(count);
        }
        probed
    }

    /// Whether at least half of the zones are silent. If fewer are, the cause may be stores that are down in
    /// zones of their own, which looks the same from everywhere.
    fn is_half_silent(&self) -> bool {
        let silent = self.zones.keys().filter(|zone| self.is_silent(zone)).count();
        let is_own_unlisted = !self.zones.contains_key(&self.own_zone);
        silent * 2 >= self.zones.len() + usize::from(is_own_unlisted)
    }

    /// Updates whether this daemon is cut off. Returns the reachability if it has changed.
    pub fn update_reachability(
        &mut self,
        groups: GroupCount,
        now: Timestamp,
    ) -> Option<Reachability> {
        let is_out = groups.out_of_reach * 2 > groups.total && self.is_half_silent();
        match (self.cut_off, is_out) {
            (None, true) => {
                let is_alone = self.is_silent(&self.own_zone);
                self.cut_off = Some(CutOff { since: now, is_alone });
                self.reachable_since = None;
            }
            (Some(cut), true) => {
                self.cut_off = Some(CutOff { is_alone: self.is_silent(&self.own_zone), ..cut });
                self.reachable_since = None;
            }
            (Some(_), false) => {
                let since = *self.reachable_since.get_or_insert(now);
                if now.since(since) >= self.settings.settle_time() {
                    self.cut_off = None;
                }
            }
            (None, false) => {}
        }
        // The own zone is never listed: its other daemons may be down while its servers are up.
        let is_other = |zone: &&Zone| **zone != self.own_zone;
        let silent = self.zones.keys().filter(is_other).filter(|zone| self.is_silent(zone));
        let reach = Reachability { silent_zones: silent.cloned().collect(), cut_off: self.cut_off };
        if reach == self.last_reported {
            return None;
        }
        self.last_reported = reach.clone();
        Some(reach)
    }
}

/// Timeouts and intervals of probes.
struct ProbeTimeouts {
    /// Time without a message after which a zone is probed.
    quiet: Duration,
    /// Time that probed daemons have to answer.
    answer: Duration,
    /// Interval between probes of a silent zone.
    silent_interval: Duration,
    witnesses: usize,
}

impl ProbeTimeouts {
    /// A daemon that is cut off probes all zones continuously: a single message that gets through must not
    /// count as the end of the cut.
    fn new(settings: &ZoneLivenessSettings, is_cut_off: bool) -> Self {
        let answer = settings.answer_timeout();
        let silent_interval = Duration::from_millis(settings.quiet_ms / 4);
        let (quiet, silent_interval) = match is_cut_off {
            true => (answer, answer.min(silent_interval)),
            false => (settings.quiet_time(), silent_interval),
        };
        Self { quiet, answer, silent_interval, witnesses: settings.witnesses }
    }
}

impl ZoneState {
    /// Advances the probe state; returns how many daemons to probe.
    fn advance(&mut self, timeouts: &ProbeTimeouts, was_paused: bool, now: Timestamp) -> usize {
        let is_over = |at: Timestamp| now.since(at) >= timeouts.answer;
        match self.probe {
            ProbeState::Heard if now.since(self.last_heard_at) >= timeouts.quiet => {
                self.probe = ProbeState::ProbedOne { at: now };
                1
            }
            ProbeState::ProbedOne { at } if is_over(at) => {
                self.probe = ProbeState::ProbedWitnesses { at: now };
                timeouts.witnesses
            }
            ProbeState::ProbedWitnesses { at } if is_over(at) && was_paused => {
                self.probe = ProbeState::ProbedWitnesses { at: now };
                timeouts.witnesses
            }
            ProbeState::ProbedWitnesses { at } if is_over(at) => {
                self.probe = ProbeState::Silent { probed_at: now };
                1
            }
            // Probed further, so that the end of a cut is detected soon.
            ProbeState::Silent { probed_at }
                if now.since(probed_at) >= timeouts.silent_interval =>
            {
                self.probe = ProbeState::Silent { probed_at: now };
                1
            }
            _ => 0,
        }
    }
}
