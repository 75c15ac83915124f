//! Virtual time from a leader's death until another leader is ready.

use dahlia_replication::group::GroupSettings;
use dahlia_types::{DaemonId, Duration};

use crate::support::cluster::Cluster;

const SEEDS: u64 = 500;
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Prints percentiles over seeds, with and without the report of a broken connection.
pub fn run() {
    println!("a leader's death to the next ready leader, ms, {SEEDS} seeds each");
    println!("voters  hint   p50   p99   most");
    for voters in [3, 5] {
        for has_hint in [false, true] {
            let mut times: Vec<u64> =
                (0..SEEDS).map(|seed| fail_over(voters, has_hint, seed).as_millis()).collect();
            times.sort_unstable();
            let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
            println!("{voters:6}  {has_hint:5}  {:4}  {:4}  {:5}", at(0.5), at(0.99), at(1.0));
        }
    }
}

fn fail_over(voters: u32, has_hint: bool, seed: u64) -> Duration {
    let mut cluster = Cluster::new(voters, voters, GroupSettings::default(), seed);
    assert!(cluster.run_until_holds(MAX_WAIT, |cluster| cluster.leader().is_some()));
    cluster.run_for(Duration::from_millis(1_000 + seed * 37 % 1_000));
    let leader = cluster.leader().expect("still there");
    let lost = cluster.nodes[&leader].replica.id();
    cluster.kill(leader);
    let start = cluster.now;
    if has_hint {
        let others: Vec<DaemonId> =
            cluster.nodes.keys().copied().filter(|d| *d != leader).collect();
        for daemon in others {
            cluster.replica_mut(daemon).peer_disconnected(lost, start);
        }
    }
    assert!(cluster.run_until_holds(MAX_WAIT, |cluster| cluster.leader().is_some()), "seed {seed}");
    cluster.assert_invariants_hold();
    cluster.now.since(start)
}
