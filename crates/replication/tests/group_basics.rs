//! A group without faults or with single faults: elections, proposals, member changes, snapshots and
//! leadership transfer.

mod support;

use dahlia_replication::group::{ChangeError, GroupSettings, MemberChange, ProposeError, Role};
use dahlia_types::{DaemonId, Duration, LogIndex};
use support::cluster::Cluster;

const SECOND: Duration = Duration::from_secs(1);

fn cluster_with_leader(daemons: u32, voters: u32, settings: GroupSettings) -> (Cluster, DaemonId) {
    let mut cluster = Cluster::new(daemons, voters, settings, 11);
    assert!(cluster.run_until_holds(SECOND.times(10), |cluster| cluster.leader().is_some()));
    let leader = cluster.leader().expect("just seen");
    (cluster, leader)
}

fn commit(cluster: &mut Cluster, leader: DaemonId, payload: &[u8]) {
    let proposal = cluster.propose(leader, payload).expect("the leader accepts it");
    let is_done = cluster.run_until_holds(SECOND, |cluster| cluster.is_committed(proposal));
    assert!(is_done, "proposal at {} is not committed", proposal.index);
}

fn change(cluster: &mut Cluster, leader: DaemonId, change: MemberChange) {
    let index = cluster.replica_mut(leader).change_members(change).expect("the change is valid");
    cluster.process(leader);
    let is_done = cluster
        .run_until_holds(SECOND, |cluster| cluster.nodes[&leader].replica.committed() >= index);
    assert!(is_done, "change at {index} is not committed");
}

#[test]
fn a_leader_commits_on_all_voters_in_order() {
    let (mut cluster, leader) = cluster_with_leader(3, 3, GroupSettings::default());
    for number in 0..200_u8 {
        cluster.propose(leader, &[number]).expect("the leader accepts it");
    }
    cluster.run_for(SECOND);
    for node in cluster.nodes.values() {
        let payloads: Vec<u8> = node.machine.values().map(|applied| applied.payload[0]).collect();
        assert_eq!(payloads, (0..200).collect::<Vec<u8>>());
    }
    cluster.assert_invariants_hold();
}

#[test]
fn a_group_of_one_commits_at_once() {
    let (mut cluster, leader) = cluster_with_leader(1, 1, GroupSettings::default());
    let proposal = cluster.propose(leader, b"alone").expect("the leader accepts it");
    assert!(cluster.is_committed(proposal));
}

#[test]
fn a_follower_names_the_leader_when_it_rejects_a_proposal() {
    let (mut cluster, leader) = cluster_with_leader(3, 3, GroupSettings::default());
    cluster.run_for(SECOND);
    let other = *cluster.nodes.keys().find(|daemon| **daemon != leader).expect("three daemons");
    let error = cluster.propose(other, b"x").expect_err("no leader");
    let expected = cluster.nodes[&leader].replica.id();
    let ProposeError::NotLeader { leader: named, .. } = error else { panic!("{error}") };
    assert_eq!(named, Some(expected));
}

#[test]
fn a_dead_leader_is_replaced_and_nothing_is_lost() {
    let (mut cluster, leader) = cluster_with_leader(3, 3, GroupSettings::default());
    commit(&mut cluster, leader, b"kept");
    cluster.kill(leader);
    let has_new = |cluster: &Cluster| cluster.leader().is_some();
    assert!(cluster.run_until_holds(SECOND.times(5), has_new));
    let next = cluster.leader().expect("just seen");
    assert_ne!(next, leader);
    let kept: Vec<&[u8]> =
        cluster.nodes[&next].machine.values().map(|applied| applied.payload.as_slice()).collect();
    assert_eq!(kept, [b"kept"]);
    cluster.assert_invariants_hold();
}

#[test]
fn a_broken_connection_shortens_the_time_to_a_new_leader() {
    let (mut cluster, leader) = cluster_with_leader(3, 3, GroupSettings::default());
    let lost = cluster.nodes[&leader].replica.id();
    cluster.kill(leader);
    let others: Vec<DaemonId> = cluster.nodes.keys().copied().filter(|d| *d != leader).collect();
    let now = cluster.now;
    for daemon in others {
        cluster.replica_mut(daemon).peer_disconnected(lost, now);
    }
    let within = GroupSettings::default().election_timeout();
    assert!(cluster.run_until_holds(within, |cluster| cluster.leader().is_some()));
}

#[test]
fn a_learner_catches_up_by_snapshot_and_is_promoted() {
    let settings = GroupSettings {
        retained_entries: 10,
        snapshot_chunk_bytes: 64,
        ..GroupSettings::default()
    };
    let (mut cluster, leader) = cluster_with_leader(4, 3, settings);
    for number in 0..100_u8 {
        commit(&mut cluster, leader, &[number; 20]);
    }
    let learner = cluster.nodes[&DaemonId(4)].replica.id();
    let early = cluster.replica_mut(leader).change_members(MemberChange::Promote(learner));
    assert!(matches!(early, Err(ChangeError::NotLearner { .. })));
    change(&mut cluster, leader, MemberChange::AddLearner(learner));
    cluster.run_for(SECOND);
    assert_eq!(cluster.nodes[&DaemonId(4)].replica.role(), Role::Learner);
    assert_eq!(cluster.nodes[&DaemonId(4)].machine.len(), 100);
    change(&mut cluster, leader, MemberChange::Promote(learner));
    cluster.run_for(SECOND);
    assert_eq!(cluster.nodes[&DaemonId(4)].replica.role(), Role::Follower);
    cluster.assert_invariants_hold();
}

#[test]
fn a_removed_replica_is_notified_and_may_be_added_again() {
    let (mut cluster, leader) = cluster_with_leader(4, 4, GroupSettings::default());
    commit(&mut cluster, leader, b"one");
    let other = *cluster.nodes.keys().find(|daemon| **daemon != leader).expect("four daemons");
    let id = cluster.nodes[&other].replica.id();
    change(&mut cluster, leader, MemberChange::Remove(id));
    cluster.run_for(SECOND.times(5));
    assert_eq!(cluster.nodes[&other].replica.role(), Role::Learner);
    assert_eq!(cluster.nodes[&other].replica.last_index(), LogIndex(0));
    change(&mut cluster, leader, MemberChange::AddLearner(id));
    cluster.run_for(SECOND);
    change(&mut cluster, leader, MemberChange::Promote(id));
    cluster.run_for(SECOND);
    assert_eq!(cluster.nodes[&other].replica.role(), Role::Follower);
    assert_eq!(cluster.nodes[&other].machine.len(), 1);
    cluster.assert_invariants_hold();
}

#[test]
fn leadership_is_transferred_without_an_election_timeout() {
    let (mut cluster, leader) = cluster_with_leader(3, 3, GroupSettings::default());
    let other = *cluster.nodes.keys().find(|daemon| **daemon != leader).expect("three daemons");
    let id = cluster.nodes[&other].replica.id();
    cluster.run_for(SECOND);
    cluster.replica_mut(leader).transfer_leadership(id).expect("a ready leader");
    let error = cluster.propose(leader, b"x").expect_err("leadership is being transferred");
    assert!(matches!(error, ProposeError::NotLeader { leader: Some(to), .. } if to == id));
    let is_done = cluster
        .run_until_holds(Duration::from_millis(100), |cluster| cluster.leader() == Some(other));
    assert!(is_done);
    cluster.assert_invariants_hold();
}

#[test]
fn changes_that_endanger_the_quorum_are_rejected() {
    let (mut cluster, leader) = cluster_with_leader(3, 3, GroupSettings::default());
    let own = cluster.nodes[&leader].replica.id();
    let others: Vec<DaemonId> = cluster.nodes.keys().copied().filter(|d| *d != leader).collect();
    let replica = cluster.replica_mut(leader);
    assert_eq!(replica.change_members(MemberChange::Remove(own)), Err(ChangeError::IsLeader));
    cluster.kill(others[0]);
    cluster.run_for(SECOND.times(2));
    let alive = cluster.nodes[&others[1]].replica.id();
    let error = cluster.replica_mut(leader).change_members(MemberChange::Remove(alive));
    assert_eq!(error, Err(ChangeError::QuorumAtRisk { in_contact: 1, needed: 2 }));
}

#[test]
fn limits_on_proposals_are_enforced() {
    let settings = GroupSettings {
        max_payload_bytes: 100,
        max_uncommitted_bytes: 250,
        ..GroupSettings::default()
    };
    let (mut cluster, leader) = cluster_with_leader(3, 3, settings);
    let error = cluster.propose(leader, &[0; 101]).expect_err("too large");
    assert_eq!(error, ProposeError::TooLarge { size: 101, limit: 100 });
    cluster.propose(leader, &[0; 100]).expect("fits");
    cluster.propose(leader, &[0; 100]).expect("fits");
    let error = cluster.propose(leader, &[0; 100]).expect_err("too much is uncommitted");
    assert_eq!(error, ProposeError::Overloaded { uncommitted: 200, limit: 250 });
    cluster.run_for(SECOND);
    cluster.propose(leader, &[0; 100]).expect("fits again");
}

/// Milliseconds from the leader's death until another replica leads.
fn fail_over_ms(seed: u64) -> u64 {
    let mut cluster = Cluster::new(3, 3, GroupSettings::default(), seed);
    assert!(cluster.run_until_holds(SECOND.times(10), |cluster| cluster.leader().is_some()));
    cluster.run_for(SECOND);
    let leader = cluster.leader().expect("just seen");
    // The latency includes a disk sync and the wait for the processor.
    cluster.network.min_delay = Duration::from_millis(5);
    cluster.network.max_delay = Duration::from_millis(15);
    let died = cluster.now;
    cluster.kill(leader);
    let has_leader =
        cluster.run_until_holds(SECOND.times(10), |cluster| cluster.leader().is_some());
    assert!(has_leader, "seed {seed}: no leader");
    cluster.assert_invariants_hold();
    cluster.now.since(died).as_millis()
}

#[test]
fn two_candidates_at_the_same_time_cost_no_second_election_timeout() {
    let longest_timeout = 2 * GroupSettings::default().election_timeout_ms;
    // The clock's resolution, votes, and a second, short round.
    let allowance = 2 * GroupSettings::default().heartbeat_interval_ms;
    for seed in 0..300 {
        let delay = fail_over_ms(seed);
        assert!(delay <= longest_timeout + allowance, "seed {seed}: {delay} ms");
    }
}
