//! The order of member changes: decisions on stated situations, and repairs in virtual time.

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
use support::nemesis::{Nemesis, Schedule};

const NOW: Timestamp = Timestamp(1_000_000_000);

fn id(daemon: u32) -> ReplicaId {
    ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(1) }
}

/// A group led by daemon 1 among eight live daemons in four zones of one region.
struct Situation {
    status: GroupStatus,
    view: ClusterView,
    settings: MaintenanceSettings,
}

impl Situation {
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
        let mut situation = Self { status, view, settings };
        for voter in voters {
            situation.heard(id(*voter), Duration::ZERO, true);
        }
        situation
    }

    fn heard(&mut self, peer: ReplicaId, ago: Duration, caught_up: bool) {
        let in_contact = ago < Duration::from_secs(1);
        let last_contact = NOW - ago;
        let status = PeerStatus { matched: LogIndex(5), last_contact, in_contact, caught_up };
        if peer != self.status.id {
            self.status.peers.insert(peer, status);
        }
    }

    /// Neither the leader nor membership hears of it.
    fn lose(&mut self, daemon: u32) {
        self.heard(id(daemon), Duration::from_secs(20), false);
        self.daemon(daemon).liveness = Liveness::Dead;
    }

    /// Its process was started again.
    fn restart(&mut self, daemon: u32) {
        self.heard(id(daemon), Duration::from_millis(500), false);
        self.daemon(daemon).incarnation = Incarnation(2);
        self.daemon(daemon).replicas = 0;
    }

    fn learner(&mut self, daemon: u32, caught_up: bool) {
        self.status.members.learners.insert(id(daemon));
        self.heard(id(daemon), Duration::ZERO, caught_up);
    }

    fn daemon(&mut self, daemon: u32) -> &mut DaemonView {
        self.view.daemons.get_mut(&DaemonId(daemon)).expect("it exists")
    }

    fn next(&self) -> Option<MaintenanceStep> {
        let mut pace = BalanceRateLimit::new(&self.settings, Timestamp::ZERO);
        self.next_at(&mut pace, NOW)
    }

    fn next_at(&self, pace: &mut BalanceRateLimit, now: Timestamp) -> Option<MaintenanceStep> {
        let mut maintenance = Maintenance::new(self.settings.clone());
        maintenance.next_step(&self.status, &self.view, pace, now)
    }

    fn next_change(&self) -> Option<MemberChange> {
        match self.next()? {
            MaintenanceStep::Change(change) => Some(change),
            MaintenanceStep::Transfer(to) => panic!("hands over to {to}"),
        }
    }
}

#[test]
fn a_whole_group_is_left_alone() {
    assert_eq!(Situation::new(&[1, 2, 3]).next(), None);
}

#[test]
fn nothing_is_decided_while_a_change_is_under_way_or_the_leader_is_not_ready() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.restart(3);
    situation.status.change_in_progress = true;
    assert_eq!(situation.next(), None);
    situation.status.change_in_progress = false;
    situation.status.ready = false;
    assert_eq!(situation.next(), None);
}

#[test]
fn a_restarted_voter_is_removed_at_once_and_its_daemon_comes_back() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.restart(3);
    assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(3))));
    situation.status.members.voters.remove(&id(3));
    let again = ReplicaId { daemon: DaemonId(3), incarnation: Incarnation(2) };
    assert_eq!(situation.next_change(), Some(MemberChange::AddLearner(again)));
}

#[test]
fn a_lost_voter_stays_until_a_learner_is_caught_up() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.lose(3);
    let Some(MemberChange::AddLearner(learner)) = situation.next_change() else {
        panic!("{:?}", situation.next())
    };
    let number = learner.daemon.0;
    let zone = |daemon| daemon % 4;
    assert!(zone(number) != zone(1) && zone(number) != zone(2), "a zone of its own: {number}");
    situation.learner(number, false);
    assert_eq!(situation.next(), None);
    situation.learner(number, true);
    assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(3))));
    situation.status.members.voters.remove(&id(3));
    assert_eq!(situation.next_change(), Some(MemberChange::Promote(learner)));
}

#[test]
fn two_lost_of_five_are_removed_before_any_learner_is_there() {
    let mut situation = Situation::new(&[1, 2, 3, 4, 5]);
    situation.lose(4);
    assert!(matches!(situation.next_change(), Some(MemberChange::AddLearner(_))));
    situation.lose(5);
    assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(4))));
    situation.status.members.voters.remove(&id(4));
    assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(5))));
}

#[test]
fn a_voter_that_the_leader_hears_is_not_dead_by_membership_alone() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.daemon(3).liveness = Liveness::Dead;
    assert_eq!(situation.next(), None);
}

#[test]
fn a_silent_voter_that_membership_sees_is_replaced_after_a_longer_grace() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.heard(id(3), Duration::from_secs(30), false);
    assert_eq!(situation.next(), None);
    situation.heard(id(3), Duration::from_secs(61), false);
    assert!(matches!(situation.next_change(), Some(MemberChange::AddLearner(_))));
}

#[test]
fn a_silent_voter_is_replaced_early_only_where_another_daemon_has_room() {
    struct Case {
        name: &'static str,
        silence: Duration,
        hinder: fn(&mut Situation),
        is_replaced: bool,
    }
    let two_seconds = Duration::from_secs(2);
    let cases = [
        Case {
            name: "a daemon holds nothing",
            silence: two_seconds,
            hinder: |situation| situation.daemon(7).replicas = 0,
            is_replaced: true,
        },
        Case {
            name: "silent for a second only",
            silence: Duration::from_secs(1),
            hinder: |situation| situation.daemon(7).replicas = 0,
            is_replaced: false,
        },
        Case {
            name: "all hold their share",
            silence: two_seconds,
            hinder: |_| {},
            is_replaced: false,
        },
        Case {
            name: "the one that holds nothing may be dead",
            silence: two_seconds,
            hinder: |situation| {
                situation.daemon(7).replicas = 0;
                situation.daemon(7).liveness = Liveness::NotReady;
            },
            is_replaced: false,
        },
        Case {
            name: "the one that holds nothing is to hold nothing",
            silence: two_seconds,
            hinder: |situation| {
                situation.daemon(7).replicas = 0;
                situation.daemon(7).holds_groups = false;
            },
            is_replaced: false,
        },
    ];
    for Case { name, silence, hinder, is_replaced } in cases {
        let mut situation = Situation::new(&[1, 2, 3]);
        situation.heard(id(3), silence, false);
        hinder(&mut situation);
        let expected = is_replaced.then(|| MemberChange::AddLearner(id(7)));
        assert_eq!(situation.next_change(), expected, "{name}");
    }
}

#[test]
fn a_silent_voter_keeps_its_vote_until_a_learner_is_caught_up() {
    for keeps_lost_voters in [false, true] {
        let mut situation = Situation::new(&[1, 2, 3, 4, 5]);
        situation.settings.keeps_lost_voters = keeps_lost_voters;
        situation.daemon(8).replicas = 0;
        // Without them the rest would survive more deaths; but both may only be paused.
        situation.heard(id(4), Duration::from_secs(2), false);
        situation.heard(id(5), Duration::from_secs(2), false);
        assert_eq!(situation.next_change(), Some(MemberChange::AddLearner(id(8))));
        situation.learner(8, false);
        assert_eq!(situation.next(), None);
        situation.learner(8, true);
        assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(4))));
        // It answers again before that is done: it stays, and the learner goes.
        situation.heard(id(4), Duration::ZERO, true);
        situation.heard(id(5), Duration::ZERO, true);
        assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(8))));
    }
}

#[test]
fn the_list_of_machines_alone_removes_nobody() {
    let mut situation = Situation::new(&[1, 2, 3]);
    for daemon in 2..=8 {
        situation.view.mark_leaving(DaemonId(daemon));
    }
    assert_eq!(situation.next(), None);
}

#[test]
fn a_leaving_voter_goes_when_its_replacement_votes() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.view.mark_leaving(DaemonId(3));
    let Some(MemberChange::AddLearner(learner)) = situation.next_change() else {
        panic!("{:?}", situation.next())
    };
    situation.learner(learner.daemon.0, true);
    assert_eq!(situation.next_change(), Some(MemberChange::Promote(learner)));
    situation.status.members.learners.clear();
    situation.status.members.voters.insert(learner);
    assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(3))));
}

#[test]
fn a_leaving_leader_hands_over_first() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.view.mark_leaving(DaemonId(1));
    situation.heard(id(2), Duration::ZERO, false);
    assert_eq!(situation.next(), Some(MaintenanceStep::Transfer(id(3))));
}

#[test]
fn two_voters_of_one_zone_are_spread() {
    let mut situation = Situation::new(&[1, 2, 5]);
    let Some(MemberChange::AddLearner(learner)) = situation.next_change() else {
        panic!("{:?}", situation.next())
    };
    assert!(matches!(learner.daemon.0 % 4, 0 | 3));
    situation.learner(learner.daemon.0, true);
    assert_eq!(situation.next_change(), Some(MemberChange::Promote(learner)));
    situation.status.members.learners.clear();
    situation.status.members.voters.insert(learner);
    assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(5))));
    situation.status.members.voters.remove(&id(5));
    assert_eq!(situation.next(), None);
}

#[test]
fn a_daemon_of_another_region_joins_only_beside_a_majority_at_home() {
    let mut situation = Situation::new(&[1, 2, 3]);
    for daemon in 4..=8 {
        situation.daemon(daemon).region = Region("far".to_owned());
    }
    situation.lose(3);
    assert!(matches!(situation.next_change(), Some(MemberChange::AddLearner(_))));
    situation.daemon(2).region = Region("far".to_owned());
    assert_eq!(situation.next(), None);
}

#[test]
fn a_standby_learner_is_kept_and_not_promoted_without_need() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.settings.standby_learners = 1;
    let Some(MemberChange::AddLearner(standby)) = situation.next_change() else {
        panic!("{:?}", situation.next())
    };
    situation.learner(standby.daemon.0, true);
    assert_eq!(situation.next(), None);
    situation.lose(2);
    assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(2))));
}

#[test]
fn leadership_moves_to_a_daemon_that_leads_clearly_less() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.daemon(1).leaderships = 3;
    assert_eq!(situation.next(), Some(MaintenanceStep::Transfer(id(2))));
    situation.daemon(1).leaderships = 2;
    assert_eq!(situation.next(), None);
}

#[test]
fn one_leadership_moves_at_a_time_over_all_groups_of_a_daemon() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.daemon(1).leaderships = 6;
    let mut pace = BalanceRateLimit::new(&situation.settings, Timestamp::ZERO);
    let steps = [NOW, NOW, NOW + Duration::from_millis(900), NOW + Duration::from_secs(1)]
        .map(|now| situation.next_at(&mut pace, now).is_some());
    assert_eq!(steps, [true, false, false, true]);
}

#[test]
fn leadership_moves_only_to_a_daemon_that_can_take_it_at_once() {
    struct Case {
        name: &'static str,
        hinder: fn(&mut Situation),
    }
    let cases = [
        Case {
            name: "suspected by membership",
            hinder: |situation| situation.daemon(2).liveness = Liveness::NotReady,
        },
        Case {
            name: "silent for two seconds",
            hinder: |situation| situation.heard(id(2), Duration::from_secs(2), true),
        },
        Case {
            name: "behind the log",
            hinder: |situation| situation.heard(id(2), Duration::ZERO, false),
        },
    ];
    for Case { name, hinder } in cases {
        let mut situation = Situation::new(&[1, 2, 3]);
        situation.daemon(1).leaderships = 4;
        situation.daemon(2).leaderships = 0;
        hinder(&mut situation);
        let step = situation.next();
        assert_eq!(step, Some(MaintenanceStep::Transfer(id(3))), "with daemon 2 {name}");
    }
}

fn repairing(daemons: u32, voters: u32) -> Nemesis {
    let (length, settings) = (Duration::ZERO, GroupSettings::default());
    let schedule = Schedule { daemons, voters, length, settings };
    let mut nemesis = Nemesis::new(schedule, 5);
    nemesis.run_maintained(Duration::from_secs(3));
    nemesis
}

/// Live voters of the leader's group, and all its voters.
fn strength(cluster: &Cluster) -> Option<(usize, usize)> {
    let leader = cluster.leader()?;
    let voters = &cluster.nodes[&leader].replica.members().voters;
    let live = voters.iter().filter(|voter| {
        let node = &cluster.nodes[&voter.daemon];
        node.is_running && node.replica.id() == **voter
    });
    Some((live.count(), voters.len()))
}

/// Lets a group be repaired; returns how long it took.
fn repair(nemesis: &mut Nemesis, whole: usize) -> Duration {
    let start = nemesis.cluster.now;
    while strength(&nemesis.cluster) != Some((whole, whole)) {
        assert!(nemesis.cluster.now.since(start) < Duration::from_secs(60), "not repaired");
        nemesis.run_maintained(Duration::from_millis(100));
    }
    nemesis.cluster.now.since(start)
}

#[test]
fn three_voters_bear_death_after_death() {
    let mut nemesis = repairing(8, 3);
    for number in 0..5_u8 {
        let leader = nemesis.cluster.leader().expect("a leader");
        let proposal = nemesis.cluster.propose(leader, &[number]).expect("taken");
        nemesis.run_maintained(Duration::from_secs(1));
        assert!(nemesis.cluster.is_committed(proposal));
        nemesis.cluster.kill(leader);
        let took = repair(&mut nemesis, 3);
        println!("whole again {} ms after the leader's death", took.as_millis());
    }
    assert_eq!(nemesis.cluster.checker.committed.len(), 5);
    nemesis.cluster.assert_sound();
}

#[test]
fn five_voters_bear_two_deaths_at_once_again_and_again() {
    let mut nemesis = repairing(11, 5);
    for number in 0..3_u8 {
        let leader = nemesis.cluster.leader().expect("a leader");
        let proposal = nemesis.cluster.propose(leader, &[number]).expect("taken");
        nemesis.run_maintained(Duration::from_secs(1));
        assert!(nemesis.cluster.is_committed(proposal));
        let voters = nemesis.cluster.nodes[&leader].replica.members().voters.clone();
        let other = voters.iter().find(|voter| voter.daemon != leader).expect("five voters");
        nemesis.cluster.kill(leader);
        nemesis.cluster.kill(other.daemon);
        let took = repair(&mut nemesis, 5);
        println!("whole again {} ms after two deaths", took.as_millis());
    }
    nemesis.cluster.assert_sound();
}

#[test]
fn a_daemon_that_holds_no_groups_gets_no_replica() {
    let mut situation = Situation::new(&[1, 2, 3]);
    situation.restart(3);
    situation.status.members.voters.remove(&id(3));
    for daemon in 4..=8 {
        situation.daemon(daemon).holds_groups = daemon == 6;
    }
    situation.daemon(3).holds_groups = false;
    assert_eq!(situation.next_change(), Some(MemberChange::AddLearner(id(6))));
    situation.daemon(6).holds_groups = false;
    assert_eq!(situation.next(), None);
}

#[test]
fn a_lost_voter_with_a_disk_keeps_its_vote_until_another_takes_its_place() {
    let mut situation = Situation::new(&[1, 2, 3, 4, 5]);
    situation.settings.keeps_lost_voters = true;
    situation.lose(4);
    situation.lose(5);
    // Without its vote two more lost disks would leave one voter of three.
    assert!(matches!(situation.next_change(), Some(MemberChange::AddLearner(_))));
    situation.restart(4);
    // What the disk held is gone for certain: its vote protects nothing.
    assert_eq!(situation.next_change(), Some(MemberChange::Remove(id(4))));
}

#[test]
fn a_raised_target_adds_voters_one_at_a_time() {
    let mut situation = Situation::new(&[1, 2, 3]);
    let mut maintenance = Maintenance::new(situation.settings.clone());
    let mut pace = BalanceRateLimit::new(&situation.settings, Timestamp::ZERO);
    maintenance.set_voters(5);
    let step = maintenance.next_step(&situation.status, &situation.view, &mut pace, NOW);
    let Some(MaintenanceStep::Change(MemberChange::AddLearner(learner))) = step else {
        panic!("{step:?}")
    };
    situation.learner(learner.daemon.0, true);
    let step = maintenance.next_step(&situation.status, &situation.view, &mut pace, NOW);
    assert_eq!(step, Some(MaintenanceStep::Change(MemberChange::Promote(learner))));
}
