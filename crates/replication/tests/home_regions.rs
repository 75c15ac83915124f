//! Home regions of groups: the initial layout, and the maintenance of groups whose members are elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_replication::directory::{GroupDescription, initial_layout, initial_layout_with_homes};
use dahlia_replication::group::{GroupStatus, MemberChange, Members, PeerStatus, Role};
use dahlia_replication::maintenance::{
    BalanceRateLimit, ClusterView, DaemonView, Liveness, Maintenance, MaintenanceSettings,
    MaintenanceStep,
};
use dahlia_replication::membership::{MemberInfo, MemberState};
use dahlia_types::{
    DaemonId, Duration, GroupHomes, GroupId, Incarnation, LogIndex, Region, ReplicaId, Term,
    Timestamp, Zone,
};

const GROUPS: u32 = 8;
const VOTERS: usize = 5;
const REGIONS: [&str; 3] = ["east", "north", "south"];
const NOW: Timestamp = Timestamp(1_000_000_000);
/// More steps than any of these cases needs.
const MAX_STEPS: usize = 400;

fn homes() -> GroupHomes {
    GroupHomes::new(REGIONS.map(Region::new))
}

fn id(daemon: DaemonId) -> ReplicaId {
    ReplicaId { daemon, incarnation: Incarnation(1) }
}

/// Creates so many daemons in each region, alternating between its two zones. The hundreds of the
/// identifier are the region: 1xx, 2xx, 3xx.
fn members(counts: [u32; 3]) -> Vec<MemberInfo> {
    let mut members = Vec::new();
    for (index, (region, count)) in REGIONS.iter().zip(counts).enumerate() {
        for number in 0..count {
            members.push(MemberInfo {
                daemon: DaemonId(100 * (index as u32 + 1) + number),
                incarnation: Incarnation(1),
                address: ([127, 0, 0, 1], 1).into(),
                zone: Zone::new(format!("{region}-{}", number % 2)),
                region: Region::new(*region),
                state: MemberState::Live,
                holds_groups: true,
            });
        }
    }
    members
}

fn region_of(daemon: DaemonId) -> &'static str {
    REGIONS[daemon.0 as usize / 100 - 1]
}

fn home_of(group: GroupId) -> &'static str {
    REGIONS[group.0 as usize % 3]
}

fn count_at_home(group: GroupId, members: &[ReplicaId]) -> usize {
    members.iter().filter(|member| region_of(member.daemon) == home_of(group)).count()
}

#[test]
fn the_initial_layout_places_groups_in_their_home_region() {
    struct Case {
        name: &'static str,
        counts: [u32; 3],
        /// Voters in the home region for groups of each region; none if they are placed elsewhere.
        home_voters: [Option<usize>; 3],
    }
    for Case { name, counts, home_voters } in [
        Case {
            name: "all regions large",
            counts: [4, 4, 3],
            home_voters: [Some(4), Some(4), Some(3)],
        },
        Case { name: "room for all voters at home", counts: [6, 6, 6], home_voters: [Some(5); 3] },
        Case {
            name: "one region too small",
            counts: [4, 4, 2],
            home_voters: [Some(4), Some(4), None],
        },
        Case {
            name: "one region without daemons",
            counts: [0, 5, 5],
            home_voters: [None, Some(5), Some(5)],
        },
        Case { name: "all regions too small", counts: [2, 2, 1], home_voters: [None; 3] },
    ] {
        let members = members(counts);
        let layout = initial_layout_with_homes(&members, GROUPS, VOTERS, &homes());
        assert_eq!(layout.len(), GROUPS as usize, "{name}");
        let mut leaders: BTreeMap<DaemonId, u32> = BTreeMap::new();
        for GroupDescription { group, members, leader, .. } in &layout {
            let leader = leader.expect("a leader");
            *leaders.entry(leader.daemon).or_default() += 1;
            assert_eq!(members.len(), VOTERS, "{name}: {group}");
            let Some(voters) = home_voters[group.0 as usize % 3] else { continue };
            assert_eq!(count_at_home(*group, members), voters, "{name}: {group}");
            assert_eq!(region_of(leader.daemon), home_of(*group), "{name}: {group}");
            assert_eq!(members.first(), Some(&leader), "{name}: {group}");
            let zones: BTreeSet<u32> = members.iter().map(|m| m.daemon.0 % 2).collect();
            assert_eq!(zones.len(), 2, "{name}: {group} is in both zones");
        }
        let most = leaders.values().max().copied();
        assert!(most <= Some(2), "{name}: leaders {leaders:?}");
    }
}

#[test]
fn homes_have_no_effect_with_fewer_than_two_regions() {
    for homes in [GroupHomes::default(), GroupHomes::new([Region::new("east")])] {
        let members = members([4, 4, 3]);
        let layout = initial_layout_with_homes(&members, GROUPS, VOTERS, &homes);
        assert_eq!(layout, initial_layout(&members, GROUPS, VOTERS));
    }
}

/// A group and the daemons, without a network: each step takes effect at once.
struct SimulatedGroup {
    homes: GroupHomes,
    view: ClusterView,
    group: GroupId,
    leader: ReplicaId,
    members: Members,
    caught_up: bool,
}

impl SimulatedGroup {
    /// Creates a group that the first of `voters` leads.
    fn new(group: u32, counts: [u32; 3], voters: &[u32]) -> Self {
        let mut view = ClusterView::default();
        for info in members(counts) {
            let entry = DaemonView {
                incarnation: info.incarnation,
                zone: info.zone,
                region: info.region,
                liveness: Liveness::Live,
                holds_groups: true,
                replicas: 1,
                leaderships: 1,
            };
            view.daemons.insert(info.daemon, entry);
        }
        let voters: Vec<ReplicaId> = voters.iter().map(|voter| id(DaemonId(*voter))).collect();
        let (leader, members) = (voters[0], Members::of_voters(voters));
        Self { homes: homes(), view, group: GroupId(group), leader, members, caught_up: true }
    }

    fn set_liveness(&mut self, daemons: &[u32], liveness: Liveness) {
        for daemon in daemons {
            let view = self.view.daemons.get_mut(&DaemonId(*daemon)).expect("it exists");
            view.liveness = liveness;
        }
    }

    fn status(&self) -> GroupStatus {
        let is_live = |daemon| self.view.daemons[&daemon].liveness == Liveness::Live;
        let peer = |member: ReplicaId| {
            let in_contact = is_live(member.daemon);
            let ago = Duration::from_secs(if in_contact { 0 } else { 20 });
            let caught_up = self.caught_up && in_contact;
            (
                member,
                PeerStatus { matched: LogIndex(5), last_contact: NOW - ago, in_contact, caught_up },
            )
        };
        let others = self.members.all().filter(|member| *member != self.leader);
        GroupStatus {
            group: self.group,
            id: self.leader,
            role: Role::Leader,
            term: Term(3),
            ready: true,
            members: self.members.clone(),
            change_in_progress: false,
            transferring: false,
            peers: others.map(peer).collect(),
        }
    }

    fn next(&self) -> Option<MaintenanceStep> {
        let homes = self.homes.clone();
        let settings = MaintenanceSettings { voters: VOTERS, homes, ..Default::default() };
        let mut rate_limit = BalanceRateLimit::new(&settings, Timestamp::ZERO);
        Maintenance::new(settings).next_step(&self.status(), &self.view, &mut rate_limit, NOW)
    }

    /// Applies steps until there are none. Returns their number.
    fn apply_all_steps(&mut self) -> usize {
        for taken in 0..MAX_STEPS {
            match self.next() {
                None => return taken,
                Some(MaintenanceStep::Transfer(to)) => self.leader = to,
                Some(MaintenanceStep::Change(change)) => self.change(change),
            }
        }
        panic!("the steps do not end: {:?}", self.members);
    }

    fn change(&mut self, change: MemberChange) {
        match change {
            MemberChange::AddLearner(member) => drop(self.members.learners.insert(member)),
            MemberChange::Promote(member) => {
                self.members.learners.remove(&member);
                self.members.voters.insert(member);
            }
            MemberChange::Remove(member) => {
                self.members.learners.remove(&member);
                self.members.voters.remove(&member);
            }
        }
    }

    fn home_voters(&self) -> usize {
        let voters: Vec<ReplicaId> = self.members.voters.iter().copied().collect();
        count_at_home(self.group, &voters)
    }

    fn has_leader_at_home(&self) -> bool {
        region_of(self.leader.daemon) == home_of(self.group)
    }
}

#[test]
fn a_group_moves_to_its_home_region_and_stays_there() {
    struct Case {
        name: &'static str,
        counts: [u32; 3],
        voters: [u32; 5],
        home_voters: usize,
    }
    for Case { name, counts, voters, home_voters } in [
        Case {
            name: "all voters elsewhere",
            counts: [4, 4, 3],
            voters: [200, 201, 202, 203, 300],
            home_voters: 4,
        },
        Case {
            name: "the leader elsewhere",
            counts: [4, 4, 3],
            voters: [200, 100, 101, 102, 103],
            home_voters: 4,
        },
        Case {
            name: "room for all voters",
            counts: [5, 4, 3],
            voters: [200, 201, 300, 301, 100],
            home_voters: 5,
        },
    ] {
        let mut group = SimulatedGroup::new(0, counts, &voters);
        let steps = group.apply_all_steps();
        assert!(steps <= 16, "{name}: {steps} steps");
        assert!(group.has_leader_at_home(), "{name}: led by {}", group.leader);
        assert_eq!(group.members.voters.len(), VOTERS, "{name}");
        assert_eq!(group.home_voters(), home_voters, "{name}: {:?}", group.members.voters);
        assert_eq!(group.next(), None, "{name}");
    }
}

#[test]
fn losses_in_the_home_region_are_replaced_and_the_group_moves_back() {
    struct Case {
        name: &'static str,
        dead: &'static [u32],
        /// Voters in the home region while these daemons are dead.
        home_voters: usize,
    }
    for Case { name, dead, home_voters } in [
        Case { name: "one machine", dead: &[103], home_voters: 3 },
        Case { name: "a zone", dead: &[101, 103], home_voters: 2 },
    ] {
        let mut group = SimulatedGroup::new(0, [4, 4, 3], &[100, 101, 102, 103, 200]);
        assert_eq!(group.next(), None, "{name}");
        group.set_liveness(dead, Liveness::Dead);
        group.apply_all_steps();
        assert_eq!(group.members.voters.len(), VOTERS, "{name}: all voters are replaced");
        assert_eq!(group.home_voters(), home_voters, "{name}: {:?}", group.members.voters);
        assert!(group.has_leader_at_home(), "{name}: led by {}", group.leader);
        group.set_liveness(dead, Liveness::Live);
        group.apply_all_steps();
        assert_eq!(group.home_voters(), 4, "{name}: {:?}", group.members.voters);
        assert!(group.has_leader_at_home(), "{name}: led by {}", group.leader);
    }
}

#[test]
fn a_leader_outside_the_home_region_transfers_leadership_only_when_safe() {
    struct Case {
        name: &'static str,
        change: fn(&mut SimulatedGroup),
        is_transferred: bool,
    }
    for Case { name, change, is_transferred } in [
        Case { name: "all daemons live", change: |_| (), is_transferred: true },
        Case {
            name: "none is caught up",
            change: |group| group.caught_up = false,
            is_transferred: false,
        },
        Case {
            name: "all at home are suspected",
            change: |group| group.set_liveness(&[100, 101, 102, 103], Liveness::NotReady),
            is_transferred: false,
        },
        Case {
            name: "a voter is missing and none can take its place",
            change: |group| {
                group.members.voters.remove(&id(DaemonId(103)));
                group.set_liveness(&[103, 201, 202, 203, 300, 301, 302], Liveness::NotReady);
            },
            is_transferred: false,
        },
        Case {
            name: "no home configured",
            change: |group| group.homes = GroupHomes::default(),
            is_transferred: false,
        },
    ] {
        let mut group = SimulatedGroup::new(0, [4, 4, 3], &[200, 100, 101, 102, 103]);
        change(&mut group);
        let step = group.next();
        let is_transfer_home =
            matches!(step, Some(MaintenanceStep::Transfer(to)) if region_of(to.daemon) == "east");
        assert_eq!(is_transfer_home, is_transferred, "{name}: {step:?}");
    }
}

#[test]
fn balance_keeps_the_leader_in_the_home_region() {
    let mut group = SimulatedGroup::new(0, [4, 4, 3], &[100, 101, 102, 103, 200]);
    group.view.daemons.get_mut(&DaemonId(200)).expect("it exists").leaderships = 0;
    group.view.daemons.get_mut(&DaemonId(100)).expect("it exists").leaderships = 2;
    assert_eq!(group.next(), None, "only a daemon of another region leads clearly fewer groups");
    group.view.daemons.get_mut(&DaemonId(102)).expect("it exists").leaderships = 0;
    assert_eq!(group.next(), Some(MaintenanceStep::Transfer(id(DaemonId(102)))));
}

#[test]
fn a_region_too_small_for_a_majority_is_no_home_region() {
    // The third region has two daemons: its groups stay where most of their voters are.
    let mut group = SimulatedGroup::new(2, [4, 5, 2], &[200, 201, 202, 203, 300]);
    group.apply_all_steps();
    let voters: Vec<ReplicaId> = group.members.voters.iter().copied().collect();
    let north = voters.iter().filter(|voter| region_of(voter.daemon) == "north").count();
    assert_eq!((north, region_of(group.leader.daemon)), (5, "north"), "{voters:?}");
}
