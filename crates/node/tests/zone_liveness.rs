//! Who counts as silent and as cut off: a case for each kind of cut, and for what only looks like one.

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
    /// Zones that the deployment has.
    zones: &'static [&'static str],
    /// Zones whose daemons answer when asked, after the cut began.
    answering: &'static [&'static str],
    /// Other zones that count as silent.
    silent: &'static [&'static str],
    /// Whether the daemon counts as cut off, and whether as alone.
    cut_off: Option<bool>,
}

/// A daemon of zone `a`.
struct Bed {
    zone_liveness: ZoneLiveness,
    members: BTreeMap<Zone, Vec<DaemonId>>,
    /// The zones of each group's voters.
    voters: Vec<Zone>,
    now: Timestamp,
    reach: Reachability,
    asked: usize,
}

impl Bed {
    fn new(zones: &[&str]) -> Self {
        let settings = ZoneLivenessSettings::default();
        let zone_liveness = ZoneLiveness::new(settings, Zone::new("a"), 7);
        let number = |zone: usize| (zone as u32 * DAEMONS_OF_ZONE) + 1;
        let daemons = |zone: usize| (number(zone)..).take(DAEMONS_OF_ZONE as usize).map(DaemonId);
        let members = zones.iter().enumerate();
        let members =
            members.map(|(place, zone)| (Zone::new(*zone), daemons(place).collect())).collect();
        // Five: two in the first zone, one in each other; all in one where there is one.
        let voters = zones.iter().cycle().take(4).chain(zones.first());
        let voters = voters.map(|zone| Zone::new(*zone)).collect();
        Self {
            zone_liveness,
            members,
            voters,
            now: START,
            reach: Reachability::default(),
            asked: 0,
        }
    }

    /// Lets time pass while the daemons of some zones answer, and nobody sends of its own accord.
    fn pass(&mut self, length: Duration, answering: &[&str]) {
        let end = self.now + length;
        while self.now < end {
            self.step(answering);
            self.now = self.now + TICK;
        }
    }

    fn step(&mut self, answering: &[&str]) {
        let asked = self.zone_liveness.tick(&self.members, self.now);
        self.asked += asked.len();
        for daemon in asked {
            let zone = self.members.iter().find(|(_, daemons)| daemons.contains(&daemon));
            let zone = zone.expect("a member is asked").0;
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

    /// Until the reach is as wanted; gives how long it took.
    fn until(
        &mut self,
        limit: Duration,
        answering: &[&str],
        is_done: impl Fn(&Reachability) -> bool,
    ) -> Duration {
        let began = self.now;
        while !is_done(&self.reach) {
            assert!(self.now.since(began) <= limit, "not within {limit:?}: {:?}", self.reach);
            self.pass(TICK, answering);
        }
        self.now.since(began)
    }
}

fn zones(names: &[&str]) -> BTreeSet<Zone> {
    names.iter().map(|name| Zone::new(*name)).collect()
}

#[test]
fn a_cut_is_told_from_what_looks_like_one() {
    let cases = [
        Case {
            name: "all is well, and nobody asks",
            zones: &ZONES,
            answering: &ZONES,
            silent: &[],
            cut_off: None,
        },
        Case {
            name: "the own zone is cut off",
            zones: &ZONES,
            answering: &["a"],
            silent: &["b", "c", "d"],
            cut_off: Some(false),
        },
        Case {
            name: "this gateway alone is cut off from everybody",
            zones: &ZONES,
            answering: &[],
            silent: &["b", "c", "d"],
            cut_off: Some(true),
        },
        Case {
            name: "another zone is cut off",
            zones: &ZONES,
            answering: &["a", "b", "c"],
            silent: &["d"],
            cut_off: None,
        },
        Case {
            name: "the zones split into halves, and the majority is here",
            zones: &ZONES,
            answering: &["a", "b"],
            silent: &["c", "d"],
            cut_off: None,
        },
        Case {
            name: "the zones split into halves, and the majority is there",
            zones: &ZONES,
            answering: &["c", "d"],
            silent: &["b"],
            cut_off: Some(true),
        },
        Case {
            name: "one zone, and this gateway is cut off in it",
            zones: &["a"],
            answering: &[],
            silent: &[],
            cut_off: Some(true),
        },
        Case {
            name: "all stores are down while gateways of all zones answer",
            zones: &ZONES,
            answering: &ZONES,
            silent: &[],
            cut_off: None,
        },
        Case {
            name: "a gateway that starts knows nobody",
            zones: &[],
            answering: &[],
            silent: &[],
            cut_off: None,
        },
    ];
    for case in cases {
        let mut bed = Bed::new(case.zones);
        bed.pass(Duration::from_secs(3), case.zones);
        assert_eq!(bed.reach, Reachability::default(), "{}: before", case.name);
        bed.pass(Duration::from_secs(2), case.answering);
        assert_eq!(bed.reach.silent_zones, zones(case.silent), "{}", case.name);
        let alone = bed.reach.cut_off.map(|cut| cut.is_alone);
        assert_eq!(alone, case.cut_off, "{}", case.name);
        bed.pass(Duration::from_secs(1), case.zones);
        assert_eq!(bed.reach, Reachability::default(), "{}: after the cut", case.name);
    }
}

#[test]
fn an_overdue_answer_shows_a_cut_within_a_third_of_a_second() {
    /// An answer's time for one question, and ticks.
    const BUSY: Duration = Duration::from_millis(300);
    let mut bed = Bed::new(&ZONES);
    bed.pass(Duration::from_millis(500), &ZONES);
    ZONES.iter().for_each(|zone| bed.zone_liveness.record_message(&Zone::new(*zone), bed.now));
    // The command that waits is doubted after a while.
    bed.pass(Duration::from_millis(150), &["a"]);
    bed.zone_liveness.suspect(None, bed.now);
    let took = bed.until(BUSY, &["a"], |reach| reach.cut_off.is_some());
    assert!(took < Duration::from_millis(200), "{took:?} after the doubt");
}

#[test]
fn an_overdue_answer_alone_is_no_cut() {
    let mut bed = Bed::new(&ZONES);
    for _ in 0..20 {
        bed.zone_liveness.suspect(None, bed.now);
        bed.pass(Duration::from_millis(200), &ZONES);
    }
    assert_eq!(bed.reach, Reachability::default());
}

/// All gateways see these stores down: none of them would gain by turning callers away.
#[test]
fn stores_in_zones_of_their_own_that_are_down_cut_no_gateway_off() {
    const WITH_STORES: [&str; 6] = ["a", "b", "c", "s", "t", "u"];
    let mut bed = Bed::new(&WITH_STORES);
    bed.voters = ["s", "t", "u"].map(Zone::new).into();
    bed.pass(Duration::from_secs(3), &WITH_STORES);
    let end = bed.now + Duration::from_secs(2);
    while bed.now < end {
        bed.pass(TICK, &["a", "b", "c", "s"]);
        assert_eq!(bed.reach.cut_off, None);
    }
    assert_eq!(bed.groups().out_of_reach, 8, "they have no majority");
    assert_eq!(bed.reach.silent_zones, zones(&["t", "u"]));
}

#[test]
fn zones_are_heard_again_for_a_while_before_callers_are_taken() {
    let mut bed = Bed::new(&ZONES);
    bed.pass(Duration::from_secs(2), &["a"]);
    let since = bed.reach.cut_off.expect("cut off").since;
    // A single message gets through, and again silence: the cut goes on as the same one.
    for zone in ["b", "c", "d"] {
        bed.zone_liveness.record_message(&Zone::new(zone), bed.now);
    }
    bed.pass(Duration::from_millis(100), &["a"]);
    assert_eq!(bed.reach.silent_zones, BTreeSet::new());
    let end = bed.now + Duration::from_secs(2);
    while bed.now < end {
        let cut = bed.reach.cut_off.expect("a single message ends no cut");
        assert_eq!(cut.since, since);
        bed.pass(TICK, &["a"]);
    }
    let back = bed.until(Duration::from_secs(1), &ZONES, |reach| reach.cut_off.is_none());
    assert!(back <= Duration::from_millis(700), "{back:?}");
}

#[test]
fn a_process_that_stood_still_asks_anew_before_it_takes_zones_for_silent() {
    let mut bed = Bed::new(&ZONES);
    bed.pass(Duration::from_millis(1_100), &[]);
    // It has just asked, and stands still; what came meanwhile is read after the tick.
    bed.now = bed.now + Duration::from_secs(5);
    bed.step(&ZONES);
    bed.pass(Duration::from_millis(60), &ZONES);
    assert_eq!(bed.reach, Reachability::default());
}

/// An isolated region loses the groups of other regions, and its own work.
#[test]
fn groups_that_other_regions_keep_don_t_count_where_some_are_at_home() {
    const GROUPS: u32 = 9;
    const VOTERS: u32 = 3;
    let regions = ["north", "south", "west"].map(Region::new);
    let homes = GroupHomes::new(regions.clone());
    // The daemons of the first region have the lowest numbers, and so on.
    let region_of = |daemon: DaemonId| &regions[(daemon.0 / VOTERS) as usize];
    let describe = |group| {
        let home = homes.home_of(group).expect("each has one");
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
fn zones_that_talk_are_not_asked_and_quiet_ones_seldom() {
    let mut bed = Bed::new(&ZONES);
    for _ in 0..100 {
        ZONES.iter().for_each(|zone| bed.zone_liveness.record_message(&Zone::new(*zone), bed.now));
        bed.pass(Duration::from_millis(500), &ZONES);
    }
    assert_eq!(bed.asked, 0);
    bed.pass(Duration::from_secs(10), &ZONES);
    assert!(bed.asked <= 40, "{} questions in 10 s to four quiet zones", bed.asked);
}

#[test]
fn settings_out_of_range_are_named() {
    let wrong = ZoneLivenessSettings { answer_ms: 5_000, ..ZoneLivenessSettings::default() };
    let error = wrong.check().expect_err("longer than a zone may be quiet").to_string();
    assert!(error.contains("zone_liveness.answer_ms"), "{error}");
    let wrong = ZoneLivenessSettings { settle_ms: 399, ..ZoneLivenessSettings::default() };
    let error = wrong.check().expect_err("a zone may fall silent again meanwhile").to_string();
    assert!(error.contains("zone_liveness.settle_ms"), "{error}");
}
