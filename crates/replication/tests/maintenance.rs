//! The order of member changes: decisions in given scenarios, and repairs in virtual time.

mod support;

use std::collections::BTreeMap;

use dahlia_replication::group::{
    GroupSettings, GroupStatus, MemberChange, Members, PeerStatus, Role,
};
use dahlia_replication::maintenance::{
    BalanceRateLimit, ClusterView, DaemonView, Liveness, Maintenance, MaintenanceSettings,
    MaintenanceStep,
};
use dahlia_types::{
    DaemonId, Duration, GroupId, Incarnation, LogIndex, Region, ReplicaId, Term, Timestamp, Zone,
};
use support::cluster::Cluster;
use support::fault_injector::{FaultInjector, Schedule};

const NOW: Timestamp = Timestamp(1_000_000_000);

fn id(daemon: u32) -> ReplicaId {
    ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(1) }
}

/// A group led by daemon 1, among eight live daemons in four zones of one region.
struct Scenario {
    status: GroupStatus,
    view: ClusterView,
    settings: MaintenanceSettings,
}

impl Scenario {
    fn new(voters: &[u32]) -> Self {
        let mut view = ClusterView::default();
        for daemon in 1..=8 {
            let entry = DaemonView {
                incarnation: Incarnation(1),
                zone: Zone(format!("zone-{}", daemon % 4)),
                region: Region("near".to_owned()),
                liveness: Liveness::Live,
                holds_groups: true,
                replicas: 1,
                leaderships: 1,
            };
            view.daemons.insert(DaemonId(daemon), entry);
        }
        let status = GroupStatus {
            group: GroupId(1),
            id: id(1),
            role: Role::Leader,
            term: Term(3),
            ready: true,
            members: Members::of_voters(voters.iter().copied().map(id)),
            change_in_progress: false,
            transferring: false,
            peers: BTreeMap::new(),
        };
        let settings = MaintenanceSettings { voters: voters.len(), ..Default::default() };
        let mut scenario = Self { status, view, settings };
        for voter in voters {
            scenario.set_contact(id(*voter), Duration::ZERO, true);
        }
        scenario
    }

    fn set_contact(&mut self, peer: ReplicaId, contact_age: Duration, caught_up: bool) {
        let in_contact = contact_age < Duration::from_secs(1);
        let last_contact = NOW - contact_age;
        let status = PeerStatus { matched: LogIndex(5), last_contact, in_contact, caught_up };
        if peer != self.status.id {
            self.status.peers.insert(peer, status);
        }
    }

    /// The voter does not answer the leader, and membership declares its daemon dead.
    fn mark_lost(&mut self, daemon: u32) {
        self.set_contact(id(daemon), Duration::from_secs(20), false);
        self.daemon_mut(daemon).liveness = Liveness::Dead;
    }

    /// The daemon runs in a new incarnation, without replicas.
    fn restart(&mut self, daemon: u32) {
        self.set_contact(id(daemon), Duration::from_millis(500), false);
        self.daemon_mut(daemon).incarnation = Incarnation(2);
        self.daemon_mut(daemon).replicas = 0;
    }

    fn add_learner(&mut self, daemon: u32, caught_up: bool) {
        self.status.members.learners.insert(id(daemon));
        self.set_contact(id(daemon), Duration::ZERO, caught_up);
    }

    fn daemon_mut(&mut self, daemon: u32) -> &mut DaemonView {
        self.view.daemons.get_mut(&DaemonId(daemon)).expect("it exists")
    }

    fn next_step(&self) -> Option<MaintenanceStep> {
        let mut rate_limit = BalanceRateLimit::new(&self.settings, Timestamp::ZERO);
        self.next_step_at(&mut rate_limit, NOW)
    }

    fn next_step_at(
        &self,
        rate_limit: &mut BalanceRateLimit,
        now: Timestamp,
    ) -> Option<MaintenanceStep> {
        let mut maintenance = Maintenance::new(self.settings.clone());
        maintenance.next_step(&self.status, &self.view, rate_limit, now)
    }

    fn next_change(&self) -> Option<MemberChange> {
        match self.next_step()? {
            MaintenanceStep::Change(change) => Some(change),
            MaintenanceStep::Transfer(to) => panic!("transfers leadership to {to}"),
        }
    }
}

#[test]
fn a_healthy_group_needs_no_step() {
    assert_eq!(Scenario::new(&[1, 2, 3]).next_step(), None);
}

#[test]
fn no_step_while_a_change_is_in_progress_or_the_leader_is_not_ready() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.restart(3);
    scenario.status.change_in_progress = true;
    assert_eq!(scenario.next_step(), None);
    scenario.status.change_in_progress = false;
    scenario.status.ready = false;
    assert_eq!(scenario.next_step(), None);
}

#[test]
fn a_restarted_voter_is_removed_at_once_and_its_daemon_rejoins() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.restart(3);
    assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(3))));
    scenario.status.members.voters.remove(&id(3));
    let again = ReplicaId { daemon: DaemonId(3), incarnation: Incarnation(2) };
    assert_eq!(scenario.next_change(), Some(MemberChange::AddLearner(again)));
}

#[test]
fn a_lost_voter_stays_until_a_learner_is_caught_up() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.mark_lost(3);
    let Some(MemberChange::AddLearner(learner)) = scenario.next_change() else {
        panic!("{:?}", scenario.next_step())
    };
    let number = learner.daemon.0;
    let zone = |daemon| daemon % 4;
    assert!(
        zone(number) != zone(1) && zone(number) != zone(2),
        "the learner is in a third zone: {number}"
    );
    scenario.add_learner(number, false);
    assert_eq!(scenario.next_step(), None);
    scenario.add_learner(number, true);
    assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(3))));
    scenario.status.members.voters.remove(&id(3));
    assert_eq!(scenario.next_change(), Some(MemberChange::Promote(learner)));
}

#[test]
fn two_lost_of_five_voters_are_removed_before_a_learner_is_added() {
    let mut scenario = Scenario::new(&[1, 2, 3, 4, 5]);
    scenario.mark_lost(4);
    assert!(matches!(scenario.next_change(), Some(MemberChange::AddLearner(_))));
    scenario.mark_lost(5);
    assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(4))));
    scenario.status.members.voters.remove(&id(4));
    assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(5))));
}

#[test]
fn a_voter_in_contact_is_kept_although_membership_declares_it_dead() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.daemon_mut(3).liveness = Liveness::Dead;
    assert_eq!(scenario.next_step(), None);
}

#[test]
fn an_unresponsive_voter_alive_in_membership_is_replaced_after_a_longer_grace() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.set_contact(id(3), Duration::from_secs(30), false);
    assert_eq!(scenario.next_step(), None);
    scenario.set_contact(id(3), Duration::from_secs(61), false);
    assert!(matches!(scenario.next_change(), Some(MemberChange::AddLearner(_))));
}

#[test]
fn an_unresponsive_voter_is_replaced_early_only_if_another_daemon_has_room() {
    struct Case {
        name: &'static str,
        contact_age: Duration,
        prepare: fn(&mut Scenario),
        is_replaced: bool,
    }
    let two_seconds = Duration::from_secs(2);
    let cases = [
        Case {
            name: "a daemon without replicas",
            contact_age: two_seconds,
            prepare: |scenario| scenario.daemon_mut(7).replicas = 0,
            is_replaced: true,
        },
        Case {
            name: "no answer for only one second",
            contact_age: Duration::from_secs(1),
            prepare: |scenario| scenario.daemon_mut(7).replicas = 0,
            is_replaced: false,
        },
        Case {
            name: "all daemons hold their share",
            contact_age: two_seconds,
            prepare: |_| {},
            is_replaced: false,
        },
        Case {
            name: "the daemon without replicas may be dead",
            contact_age: two_seconds,
            prepare: |scenario| {
                scenario.daemon_mut(7).replicas = 0;
                scenario.daemon_mut(7).liveness = Liveness::NotReady;
            },
            is_replaced: false,
        },
        Case {
            name: "the daemon without replicas may hold none",
            contact_age: two_seconds,
            prepare: |scenario| {
                scenario.daemon_mut(7).replicas = 0;
                scenario.daemon_mut(7).holds_groups = false;
            },
            is_replaced: false,
        },
    ];
    for Case { name, contact_age, prepare, is_replaced } in cases {
        let mut scenario = Scenario::new(&[1, 2, 3]);
        scenario.set_contact(id(3), contact_age, false);
        prepare(&mut scenario);
        let expected = is_replaced.then(|| MemberChange::AddLearner(id(7)));
        assert_eq!(scenario.next_change(), expected, "{name}");
    }
}

#[test]
fn an_unresponsive_voter_keeps_its_vote_until_a_learner_is_caught_up() {
    for keeps_lost_voters in [false, true] {
        let mut scenario = Scenario::new(&[1, 2, 3, 4, 5]);
        scenario.settings.keeps_lost_voters = keeps_lost_voters;
        scenario.daemon_mut(8).replicas = 0;
        // Without them the other voters would survive more deaths, but both may only be paused.
        scenario.set_contact(id(4), Duration::from_secs(2), false);
        scenario.set_contact(id(5), Duration::from_secs(2), false);
        assert_eq!(scenario.next_change(), Some(MemberChange::AddLearner(id(8))));
        scenario.add_learner(8, false);
        assert_eq!(scenario.next_step(), None);
        scenario.add_learner(8, true);
        assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(4))));
        // Both answer again before the removal: they stay, and the learner is removed.
        scenario.set_contact(id(4), Duration::ZERO, true);
        scenario.set_contact(id(5), Duration::ZERO, true);
        assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(8))));
    }
}

#[test]
fn the_list_of_machines_alone_removes_no_member() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    for daemon in 2..=8 {
        scenario.view.mark_leaving(DaemonId(daemon));
    }
    assert_eq!(scenario.next_step(), None);
}

#[test]
fn a_leaving_voter_is_removed_when_its_replacement_votes() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.view.mark_leaving(DaemonId(3));
    let Some(MemberChange::AddLearner(learner)) = scenario.next_change() else {
        panic!("{:?}", scenario.next_step())
    };
    scenario.add_learner(learner.daemon.0, true);
    assert_eq!(scenario.next_change(), Some(MemberChange::Promote(learner)));
    scenario.status.members.learners.clear();
    scenario.status.members.voters.insert(learner);
    assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(3))));
}

#[test]
fn a_leaving_leader_transfers_leadership_first() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.view.mark_leaving(DaemonId(1));
    scenario.set_contact(id(2), Duration::ZERO, false);
    assert_eq!(scenario.next_step(), Some(MaintenanceStep::Transfer(id(3))));
}

#[test]
fn two_voters_in_one_zone_are_spread_over_zones() {
    let mut scenario = Scenario::new(&[1, 2, 5]);
    let Some(MemberChange::AddLearner(learner)) = scenario.next_change() else {
        panic!("{:?}", scenario.next_step())
    };
    assert!(matches!(learner.daemon.0 % 4, 0 | 3));
    scenario.add_learner(learner.daemon.0, true);
    assert_eq!(scenario.next_change(), Some(MemberChange::Promote(learner)));
    scenario.status.members.learners.clear();
    scenario.status.members.voters.insert(learner);
    assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(5))));
    scenario.status.members.voters.remove(&id(5));
    assert_eq!(scenario.next_step(), None);
}

#[test]
fn a_daemon_of_another_region_joins_only_with_a_majority_at_home() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    for daemon in 4..=8 {
        scenario.daemon_mut(daemon).region = Region("far".to_owned());
    }
    scenario.mark_lost(3);
    assert!(matches!(scenario.next_change(), Some(MemberChange::AddLearner(_))));
    scenario.daemon_mut(2).region = Region("far".to_owned());
    assert_eq!(scenario.next_step(), None);
}

#[test]
fn a_standby_learner_is_kept_and_not_promoted_without_need() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.settings.standby_learners = 1;
    let Some(MemberChange::AddLearner(standby)) = scenario.next_change() else {
        panic!("{:?}", scenario.next_step())
    };
    scenario.add_learner(standby.daemon.0, true);
    assert_eq!(scenario.next_step(), None);
    scenario.mark_lost(2);
    assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(2))));
}

#[test]
fn leadership_moves_to_a_daemon_that_leads_clearly_fewer_groups() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.daemon_mut(1).leaderships = 3;
    assert_eq!(scenario.next_step(), Some(MaintenanceStep::Transfer(id(2))));
    scenario.daemon_mut(1).leaderships = 2;
    assert_eq!(scenario.next_step(), None);
}

#[test]
fn one_leadership_moves_at_a_time_over_all_groups_of_a_daemon() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.daemon_mut(1).leaderships = 6;
    let mut rate_limit = BalanceRateLimit::new(&scenario.settings, Timestamp::ZERO);
    let steps = [NOW, NOW, NOW + Duration::from_millis(900), NOW + Duration::from_secs(1)]
        .map(|now| scenario.next_step_at(&mut rate_limit, now).is_some());
    assert_eq!(steps, [true, false, false, true]);
}

#[test]
fn leadership_moves_only_to_a_daemon_that_can_take_it_at_once() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Scenario),
    }
    let cases = [
        Case {
            name: "suspected by membership",
            prepare: |scenario| scenario.daemon_mut(2).liveness = Liveness::NotReady,
        },
        Case {
            name: "out of contact for two seconds",
            prepare: |scenario| scenario.set_contact(id(2), Duration::from_secs(2), true),
        },
        Case {
            name: "behind the log",
            prepare: |scenario| scenario.set_contact(id(2), Duration::ZERO, false),
        },
    ];
    for Case { name, prepare } in cases {
        let mut scenario = Scenario::new(&[1, 2, 3]);
        scenario.daemon_mut(1).leaderships = 4;
        scenario.daemon_mut(2).leaderships = 0;
        prepare(&mut scenario);
        let step = scenario.next_step();
        assert_eq!(step, Some(MaintenanceStep::Transfer(id(3))), "with daemon 2 {name}");
    }
}

fn start_fault_injector(daemons: u32, voters: u32) -> FaultInjector {
    let (length, settings) = (Duration::ZERO, GroupSettings::default());
    let schedule = Schedule { daemons, voters, length, settings };
    let mut injector = FaultInjector::new(schedule, 5);
    injector.run_with_maintenance(Duration::from_secs(3));
    injector
}

/// The numbers of live voters and of all voters in the leader's configuration.
fn count_live_and_all_voters(cluster: &Cluster) -> Option<(usize, usize)> {
    let leader = cluster.leader()?;
    let voters = &cluster.nodes[&leader].replica.members().voters;
    let live = voters.iter().filter(|voter| {
        let node = &cluster.nodes[&voter.daemon];
        node.is_running && node.replica.id() == **voter
    });
    Some((live.count(), voters.len()))
}

/// Runs until all of `voters` voters are live. Returns the time that it took.
fn run_until_repaired(injector: &mut FaultInjector, voters: usize) -> Duration {
    let start = injector.cluster.now;
    while count_live_and_all_voters(&injector.cluster) != Some((voters, voters)) {
        assert!(injector.cluster.now.since(start) < Duration::from_secs(60), "not repaired");
        injector.run_with_maintenance(Duration::from_millis(100));
    }
    injector.cluster.now.since(start)
}

#[test]
fn three_voters_survive_repeated_deaths() {
    let mut injector = start_fault_injector(8, 3);
    for number in 0..5_u8 {
        let leader = injector.cluster.leader().expect("a leader");
        let proposal = injector.cluster.propose(leader, &[number]).expect("taken");
        injector.run_with_maintenance(Duration::from_secs(1));
        assert!(injector.cluster.is_committed(proposal));
        injector.cluster.kill(leader);
        let repair_time = run_until_repaired(&mut injector, 3);
        println!("repaired {} ms after the leader's death", repair_time.as_millis());
    }
    assert_eq!(injector.cluster.checker.committed.len(), 5);
    injector.cluster.assert_invariants_hold();
}

#[test]
fn five_voters_survive_repeated_double_deaths() {
    let mut injector = start_fault_injector(11, 5);
    for number in 0..3_u8 {
        let leader = injector.cluster.leader().expect("a leader");
        let proposal = injector.cluster.propose(leader, &[number]).expect("taken");
        injector.run_with_maintenance(Duration::from_secs(1));
        assert!(injector.cluster.is_committed(proposal));
        let voters = injector.cluster.nodes[&leader].replica.members().voters.clone();
        let other = voters.iter().find(|voter| voter.daemon != leader).expect("five voters");
        injector.cluster.kill(leader);
        injector.cluster.kill(other.daemon);
        let repair_time = run_until_repaired(&mut injector, 5);
        println!("repaired {} ms after two deaths", repair_time.as_millis());
    }
    injector.cluster.assert_invariants_hold();
}

#[test]
fn a_daemon_that_holds_no_groups_gets_no_replica() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    scenario.restart(3);
    scenario.status.members.voters.remove(&id(3));
    for daemon in 4..=8 {
        scenario.daemon_mut(daemon).holds_groups = daemon == 6;
    }
    scenario.daemon_mut(3).holds_groups = false;
    assert_eq!(scenario.next_change(), Some(MemberChange::AddLearner(id(6))));
    scenario.daemon_mut(6).holds_groups = false;
    assert_eq!(scenario.next_step(), None);
}

#[test]
fn a_lost_voter_with_a_disk_keeps_its_vote_until_it_is_replaced() {
    let mut scenario = Scenario::new(&[1, 2, 3, 4, 5]);
    scenario.settings.keeps_lost_voters = true;
    scenario.mark_lost(4);
    scenario.mark_lost(5);
    // Without its vote, two more lost disks would leave one of three voters.
    assert!(matches!(scenario.next_change(), Some(MemberChange::AddLearner(_))));
    scenario.restart(4);
    // The data of its disk is certainly lost, so its vote protects nothing.
    assert_eq!(scenario.next_change(), Some(MemberChange::Remove(id(4))));
}

#[test]
fn a_raised_target_adds_voters_one_at_a_time() {
    let mut scenario = Scenario::new(&[1, 2, 3]);
    let mut maintenance = Maintenance::new(scenario.settings.clone());
    let mut rate_limit = BalanceRateLimit::new(&scenario.settings, Timestamp::ZERO);
    maintenance.set_voters(5);
    let step = maintenance.next_step(&scenario.status, &scenario.view, &mut rate_limit, NOW);
    let Some(MaintenanceStep::Change(MemberChange::AddLearner(learner))) = step else {
        panic!("{step:?}")
    };
    scenario.add_learner(learner.daemon.0, true);
    let step = maintenance.next_step(&scenario.status, &scenario.view, &mut rate_limit, NOW);
    assert_eq!(step, Some(MaintenanceStep::Change(MemberChange::Promote(learner))));
}
