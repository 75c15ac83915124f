//! Cuts in one direction: a group keeps working if one voter still reaches a quorum in both directions.

mod support;

use std::collections::BTreeSet;

use dahlia_replication::group::{Faults, GroupSettings};
use dahlia_types::{DaemonId, Duration};
use support::cluster::Cluster;

const VOTERS: u32 = 3;
/// Two election timeouts until the old leader is replaced, and two more election rounds.
const LIMIT: Duration = Duration::from_secs(8);

/// All ordered pairs of different voters.
fn links() -> Vec<(DaemonId, DaemonId)> {
    let all = || (1..=VOTERS).map(DaemonId);
    all().flat_map(|one| all().map(move |other| (one, other))).filter(|(a, b)| a != b).collect()
}

/// Whether some link works in both directions: two of three voters are a quorum.
fn has_working_pair(cuts: &BTreeSet<(DaemonId, DaemonId)>) -> bool {
    links()
        .iter()
        .any(|(one, other)| !cuts.contains(&(*one, *other)) && !cuts.contains(&(*other, *one)))
}

/// The time from the cuts until a command is committed that was proposed after them.
fn time_to_commit(cuts: &BTreeSet<(DaemonId, DaemonId)>, seed: u64) -> Option<Duration> {
    let mut cluster = Cluster::new(VOTERS, VOTERS, GroupSettings::default(), seed);
    assert!(cluster.run_until_holds(LIMIT, |cluster| cluster.leader().is_some()));
    cluster.run_for(Duration::from_secs(1));
    cluster.network.cuts = cuts.clone();
    let start = cluster.now;
    let mut proposals = Vec::new();
    while cluster.now.since(start) < LIMIT {
        let leaders: Vec<DaemonId> = cluster.nodes.keys().copied().collect();
        for daemon in leaders {
            proposals.extend(cluster.propose(daemon, b"after the cut"));
        }
        cluster.run_for(Duration::from_millis(50));
        if proposals.iter().any(|proposal| cluster.is_committed(*proposal)) {
            cluster.assert_invariants_hold();
            return Some(cluster.now.since(start));
        }
    }
    None
}

#[test]
fn every_pattern_of_one_way_cuts_among_three_leaves_a_working_leader() {
    let links = links();
    let mut longest = (Duration::ZERO, 0, 0);
    for pattern in 0..1_u32 << links.len() {
        let is_cut = |index: &usize| pattern & (1 << index) != 0;
        let cuts: BTreeSet<(DaemonId, DaemonId)> =
            (0..links.len()).filter(is_cut).map(|index| links[index]).collect();
        for seed in 0..10 {
            let delay = time_to_commit(&cuts, seed);
            if has_working_pair(&cuts) {
                let delay = delay.unwrap_or_else(|| panic!("pattern {pattern:#b}, seed {seed}"));
                longest = longest.max((delay, pattern, seed));
            } else {
                assert_eq!(
                    delay, None,
                    "pattern {pattern:#b}, seed {seed}: no quorum is connected"
                );
            }
        }
    }
    println!("longest time to a commit: {} ms, pattern {:#b}", longest.0.as_millis(), longest.1);
}

/// Whether a leader that receives no messages is replaced by one that can commit.
fn unanswered_leader_is_replaced(faults: Faults) -> bool {
    let settings = GroupSettings { faults, ..GroupSettings::default() };
    let mut cluster = Cluster::new(VOTERS, VOTERS, settings, 3);
    assert!(cluster.run_until_holds(LIMIT, |cluster| cluster.leader().is_some()));
    let first = cluster.leader().expect("just seen");
    for other in (1..=VOTERS).map(DaemonId).filter(|other| *other != first) {
        cluster.network.cut_one_way(other, first);
    }
    cluster.run_for(LIMIT);
    cluster.leader().is_some_and(|leader| leader != first)
}

#[test]
fn a_leader_that_receives_nothing_is_replaced() {
    assert!(unanswered_leader_is_replaced(Faults::default()));
}

#[test]
fn without_check_quorum_a_leader_that_receives_nothing_stays() {
    assert!(!unanswered_leader_is_replaced(Faults { no_check_quorum: true, ..Faults::default() }));
}
