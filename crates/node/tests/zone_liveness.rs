//! Detection of silent zones and of cuts: a case for each kind of cut, and for faults that only look like one.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_node::zone_liveness::{GroupCount, ZoneLiveness};
use dahlia_node::{Reachability, ZoneLivenessSettings};
use dahlia_replication::directory::GroupDescription;
use dahlia_types::{
    DaemonId, Duration, GroupHomes, GroupId, Incarnation, LogIndex, Region, ReplicaId, Term,
    Timestamp, Zone,
};

const TICK: Duration = Duration::from_millis(20);
const START: Timestamp = Timestamp(1_000_000);
/// Each group has a voter in each of these zones and a second one in the first.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const DAEMONS_OF_ZONE: u32 = 4;

struct Case {
    name: &'static str,
    /// Zones of the deployment.
    zones: &'static [&'static str],
    /// Zones whose daemons answer probes after the cut.
    answering: &'static [&'static str],
    /// Other zones expected to count as silent.
    expected_silent: &'static [&'static str],
    /// Whether the daemon is expected to be cut off, and if so, whether alone.
    expected_alone: Option<bool>,
}

/// Simulation of zone liveness at a daemon of zone `a`.
struct Simulation {
    zone_liveness: ZoneLiveness,
    members: BTreeMap<Zone, Vec<DaemonId>>,
    /// The zones of each group's voters.
    voters: Vec<Zone>,
    now: Timestamp,
    reach: Reachability,
    probes_sent: usize,
}

impl Simulation {
    fn new(zones: &[&str]) -> Self {
        let settings = ZoneLivenessSettings::default();
        let zone_liveness = ZoneLiveness::new(settings, Zone::new("a"), 7);
        let number = |zone: usize| (zone as u32 * DAEMONS_OF_ZONE) + 1;
        let daemons = |zone: usize| (number(zone)..).take(DAEMONS_OF_ZONE as usize).map(DaemonId);
        let members = zones.iter().enumerate();
        let members =
            members.map(|(place, zone)| (Zone::new(*zone), daemons(place).collect())).collect();
        // Five voters: two in the first zone and one in each other; all in the same zone if there is one only.
        let voters = zones.iter().cycle().take(4).chain(zones.first());
        let voters = voters.map(|zone| Zone::new(*zone)).collect();
        Self {
            zone_liveness,
            members,
            voters,
            now: START,
            reach: Reachability::default(),
            probes_sent: 0,
        }
    }

    /// Lets time pass while the daemons of some zones answer probes. There are no other messages.
    fn pass(&mut self, length: Duration, answering: &[&str]) {
        let end = self.now + length;
        while self.now < end {
            self.step(answering);
            self.now = self.now + TICK;
        }
    }

    fn step(&mut self, answering: &[&str]) {
        let probed = self.zone_liveness.tick(&self.members, self.now);
        self.probes_sent += probed.len();
        for daemon in probed {
            let zone = self.members.iter().find(|(_, daemons)| daemons.contains(&daemon));
            let zone = zone.expect("only members are probed").0;
            if answering.contains(&zone.as_str()) {
                self.zone_liveness.record_message(zone, self.now);
            }
        }
        if let Some(reach) = self.zone_liveness.update_reachability(self.groups(), self.now) {
            self.reach = reach;
        }
    }

    fn groups(&self) -> GroupCount {
        let silent = self.voters.iter().filter(|zone| self.zone_liveness.is_silent(zone)).count();
        let is_out = self.voters.len() - silent < self.voters.len() / 2 + 1;
        let total = if self.voters.is_empty() { 0 } else { 8 };
        GroupCount { total, out_of_reach: if is_out { total } else { 0 } }
    }

    /// Lets time pass until the reachability satisfies `is_done`; returns how long it took.
    fn run_until(
        &mut self,
        limit: Duration,
        answering: &[&str],
        is_done: impl Fn(&Reachability) -> bool,
    ) -> Duration {
        let started_at = self.now;
        while !is_done(&self.reach) {
            assert!(self.now.since(started_at) <= limit, "not within {limit:?}: {:?}", self.reach);
            self.pass(TICK, answering);
        }
        self.now.since(started_at)
    }
}

fn zones(names: &[&str]) -> BTreeSet<Zone> {
    names.iter().map(|name| Zone::new(*name)).collect()
}

#[test]
fn cuts_are_distinguished_from_faults_that_look_like_one() {
    let cases = [
        Case {
            name: "all zones answer",
            zones: &ZONES,
            answering: &ZONES,
            expected_silent: &[],
            expected_alone: None,
        },
        Case {
            name: "the own zone is cut off",
            zones: &ZONES,
            answering: &["a"],
            expected_silent: &["b", "c", "d"],
            expected_alone: Some(false),
        },
        Case {
            name: "this gateway alone is cut off from all others",
            zones: &ZONES,
            answering: &[],
            expected_silent: &["b", "c", "d"],
            expected_alone: Some(true),
        },
        Case {
            name: "another zone is cut off",
            zones: &ZONES,
            answering: &["a", "b", "c"],
            expected_silent: &["d"],
            expected_alone: None,
        },
        Case {
            name: "the zones split into halves, and the majority is here",
            zones: &ZONES,
            answering: &["a", "b"],
            expected_silent: &["c", "d"],
            expected_alone: None,
        },
        Case {
            name: "the zones split into halves, and the majority is there",
            zones: &ZONES,
            answering: &["c", "d"],
            expected_silent: &["b"],
            expected_alone: Some(true),
        },
        Case {
            name: "one zone, and this gateway is cut off in it",
            zones: &["a"],
            answering: &[],
            expected_silent: &[],
            expected_alone: Some(true),
        },
        Case {
            name: "all stores are down while gateways of all zones answer",
            zones: &ZONES,
            answering: &ZONES,
            expected_silent: &[],
            expected_alone: None,
        },
        Case {
            name: "a gateway that has just started knows no zones",
            zones: &[],
            answering: &[],
            expected_silent: &[],
            expected_alone: None,
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(case.zones);
        simulation.pass(Duration::from_secs(3), case.zones);
        assert_eq!(simulation.reach, Reachability::default(), "{}: before", case.name);
        simulation.pass(Duration::from_secs(2), case.answering);
        assert_eq!(simulation.reach.silent_zones, zones(case.expected_silent), "{}", case.name);
        let is_alone = simulation.reach.cut_off.map(|cut| cut.is_alone);
        assert_eq!(is_alone, case.expected_alone, "{}", case.name);
        simulation.pass(Duration::from_secs(1), case.zones);
        assert_eq!(simulation.reach, Reachability::default(), "{}: after the cut", case.name);
    }
}

#[test]
fn an_overdue_answer_shows_a_cut_within_a_third_of_a_second() {
    /// Answer timeout of the witnesses, and ticks.
    const DETECTION_LIMIT: Duration = Duration::from_millis(300);
    let mut simulation = Simulation::new(&ZONES);
    simulation.pass(Duration::from_millis(500), &ZONES);
    ZONES.iter().for_each(|zone| {
        simulation.zone_liveness.record_message(&Zone::new(*zone), simulation.now)
    });
    // The answer to a command becomes overdue after a while.
    simulation.pass(Duration::from_millis(150), &["a"]);
    simulation.zone_liveness.suspect(None, simulation.now);
    let took = simulation.run_until(DETECTION_LIMIT, &["a"], |reach| reach.cut_off.is_some());
    assert!(took < Duration::from_millis(200), "{took:?} after the answer was overdue");
}

#[test]
fn an_overdue_answer_alone_is_no_cut() {
    let mut simulation = Simulation::new(&ZONES);
    for _ in 0..20 {
        simulation.zone_liveness.suspect(None, simulation.now);
        simulation.pass(Duration::from_millis(200), &ZONES);
    }
    assert_eq!(simulation.reach, Reachability::default());
}

/// All gateways see that these stores are down, so turning callers away would gain nothing.
#[test]
fn no_gateway_is_cut_off_when_stores_in_zones_of_their_own_are_down() {
    const WITH_STORES: [&str; 6] = ["a", "b", "c", "s", "t", "u"];
    let mut simulation = Simulation::new(&WITH_STORES);
    simulation.voters = ["s", "t", "u"].map(Zone::new).into();
    simulation.pass(Duration::from_secs(3), &WITH_STORES);
    let end = simulation.now + Duration::from_secs(2);
    while simulation.now < end {
        simulation.pass(TICK, &["a", "b", "c", "s"]);
        assert_eq!(simulation.reach.cut_off, None);
    }
    assert_eq!(simulation.groups().out_of_reach, 8, "they have no majority");
    assert_eq!(simulation.reach.silent_zones, zones(&["t", "u"]));
}

#[test]
fn zones_must_answer_for_the_settling_time_before_a_cut_ends() {
    let mut simulation = Simulation::new(&ZONES);
    simulation.pass(Duration::from_secs(2), &["a"]);
    let since = simulation.reach.cut_off.expect("cut off").since;
    // A single message from each zone gets through, followed by silence: the same cut continues.
    for zone in ["b", "c", "d"] {
        simulation.zone_liveness.record_message(&Zone::new(zone), simulation.now);
    }
    simulation.pass(Duration::from_millis(100), &["a"]);
    assert_eq!(simulation.reach.silent_zones, BTreeSet::new());
    let end = simulation.now + Duration::from_secs(2);
    while simulation.now < end {
        let cut = simulation.reach.cut_off.expect("a single message ends no cut");
        assert_eq!(cut.since, since);
        simulation.pass(TICK, &["a"]);
    }
    let took =
        simulation.run_until(Duration::from_secs(1), &ZONES, |reach| reach.cut_off.is_none());
    assert!(took <= Duration::from_millis(700), "{took:?}");
}

#[test]
fn a_process_that_was_paused_probes_again_before_zones_count_as_silent() {
    let mut simulation = Simulation::new(&ZONES);
    simulation.pass(Duration::from_millis(1_100), &[]);
    // The process is paused right after its probes. Answers that arrived meanwhile are read after the tick.
    simulation.now = simulation.now + Duration::from_secs(5);
    simulation.step(&ZONES);
    simulation.pass(Duration::from_millis(60), &ZONES);
    assert_eq!(simulation.reach, Reachability::default());
}

/// An isolated region loses the groups of other regions, but its own groups still work.
#[test]
fn groups_of_other_regions_do_not_count_if_the_region_has_groups() {
    const GROUPS: u32 = 9;
    const VOTERS: u32 = 3;
    let regions = ["north", "south", "west"].map(Region::new);
    let homes = GroupHomes::new(regions.clone());
    // Daemons are numbered region by region.
    let region_of = |daemon: DaemonId| &regions[(daemon.0 / VOTERS) as usize];
    let describe = |group| {
        let home = homes.home_of(group).expect("each group has a home");
        let daemons = (0..GROUPS).map(DaemonId).filter(|daemon| region_of(*daemon) == home);
        let voter = |daemon| ReplicaId { daemon, incarnation: Incarnation(1) };
        let members = daemons.map(voter).collect();
        GroupDescription { group, members, leader: None, term: Term(1), index: LogIndex(1) }
    };
    let groups: Vec<GroupDescription> = (0..GROUPS).map(GroupId).map(describe).collect();
    for own in &regions {
        let at_home = homes.groups_at(own, GROUPS);
        let isolated =
            GroupCount::count(groups.iter(), &at_home, |daemon| region_of(daemon) != own);
        assert_eq!(isolated, GroupCount { total: 3, out_of_reach: 0 });
        let alone = GroupCount::count(groups.iter(), &at_home, |_| true);
        assert_eq!(alone, GroupCount { total: 3, out_of_reach: 3 });
        let no_homes = GroupCount::count(groups.iter(), &[], |daemon| region_of(daemon) != own);
        assert_eq!(no_homes, GroupCount { total: 9, out_of_reach: 6 });
    }
}

#[test]
fn zones_that_send_messages_are_not_probed_and_quiet_ones_rarely() {
    let mut simulation = Simulation::new(&ZONES);
    for _ in 0..100 {
        ZONES.iter().for_each(|zone| {
            simulation.zone_liveness.record_message(&Zone::new(*zone), simulation.now)
        });
        simulation.pass(Duration::from_millis(500), &ZONES);
    }
    assert_eq!(simulation.probes_sent, 0);
    simulation.pass(Duration::from_secs(10), &ZONES);
    assert!(
        simulation.probes_sent <= 40,
        "{} probes in 10 s to four quiet zones",
        simulation.probes_sent
    );
}

#[test]
fn settings_out_of_range_are_named() {
    let wrong = ZoneLivenessSettings { answer_ms: 5_000, ..ZoneLivenessSettings::default() };
    let error = wrong.check().expect_err("longer than the quiet time").to_string();
    assert!(error.contains("zone_liveness.answer_ms"), "{error}");
    let wrong = ZoneLivenessSettings { settle_ms: 399, ..ZoneLivenessSettings::default() };
    let error =
        wrong.check().expect_err("a zone may fall silent again within that time").to_string();
    assert!(error.contains("zone_liveness.settle_ms"), "{error}");
}
