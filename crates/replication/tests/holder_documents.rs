//! Holder documents, which only daemons with groups store: the cost of a change, and who receives them.
//!
//! In production, a gateway reads ten thousand servers from an outside service, and gateways that cannot
//! read it need the list. Sending the whole list to every daemon at each change would cost gigabytes,
//! and a list that exceeds the maximum length of a document would reach no daemon at all.

mod support;

use dahlia_replication::membership::{FIRST_HOLDER_DOCUMENT, FactKey, MembershipSettings};
use dahlia_types::{DaemonId, Duration};
use support::membership_cluster::{MembershipCluster, Topology};

const SECOND: Duration = Duration::from_secs(1);
const PARTS: u32 = 16;
/// Bytes of one part, which is a sixteenth of ten thousand records.
const PART_BYTES: usize = 44_000;

fn part(number: u32) -> FactKey {
    FactKey::Document(FIRST_HOLDER_DOCUMENT + number)
}

/// Creates a cluster in which every eighth daemon holds groups and all daemons know each other.
fn complete_cluster(daemons: u32, seed: u64) -> MembershipCluster {
    let topology = Topology { daemons, regions: 1, zones_per_region: 3 };
    let settings = MembershipSettings { sync_interval_ms: 5_000, ..Default::default() };
    let mut cluster =
        MembershipCluster::with_holders(topology, settings, seed, |daemon| daemon.0 % 8 == 0);
    cluster.run_for(SECOND.times(20));
    assert!(cluster.is_complete());
    cluster.reset_counters();
    cluster
}

fn count_holders_with_all_parts(cluster: &MembershipCluster, version: u64) -> usize {
    let knows = |node: &&support::membership_cluster::Node| {
        let known = &node.membership;
        let all = |number| known.fact(&part(number)).is_some_and(|fact| fact.version == version);
        known.own().holds_groups && (0..PARTS).all(all)
    };
    cluster.running().filter(knows).count()
}

/// A daemon that holds no groups publishes new versions of all parts, several times.
#[test]
fn holder_documents_reach_all_holders_and_no_other_daemon() {
    for daemons in [48, 96, 192] {
        let mut cluster = complete_cluster(daemons, 3);
        let holders = daemons as usize / 8;
        for version in 1..=3 {
            for number in 0..PARTS {
                assert!(cluster.publish(1, part(number), version, PART_BYTES));
            }
            let all = |cluster: &MembershipCluster| {
                count_holders_with_all_parts(cluster, version) == holders
            };
            let elapsed = cluster.run_until_holds(SECOND.times(20), all);
            assert!(
                elapsed.is_some(),
                "{daemons}: {} have it",
                count_holders_with_all_parts(&cluster, version)
            );
        }
        let others = cluster.running().filter(|node| !node.membership.own().holds_groups);
        let count_knowing = others.filter(|node| node.membership.fact(&part(0)).is_some()).count();
        assert_eq!(count_knowing, 1, "only the daemon that created it");
        let sent: u64 = cluster.nodes.values().map(|node| node.bytes_sent).sum();
        let lists = sent as f64 / 3.0 / (holders * PARTS as usize * PART_BYTES) as f64;
        println!("{daemons} daemons: {lists:.2} lists sent for each holder");
        // Once to each, and twice to some: two holders may send it to a third at the same moment.
        assert!(lists < 2.5, "{daemons} daemons: {lists:.2} lists for each");
    }
}

#[test]
fn a_daemon_without_holder_documents_requests_them_from_a_holder() {
    let mut cluster = complete_cluster(48, 4);
    for number in 0..PARTS {
        assert!(cluster.publish(1, part(number), 1, PART_BYTES));
    }
    cluster.run_for(SECOND.times(20));
    // Daemon 5 restarts and cannot read the outside service.
    cluster.kill(DaemonId(5));
    cluster.kill(DaemonId(1));
    cluster.start(DaemonId(5));
    cluster.node_mut(5).membership.request_holder_documents();
    let has_all = |cluster: &MembershipCluster| {
        let known = &cluster.node(5).membership;
        (0..PARTS).all(|number| known.fact(&part(number)).is_some())
    };
    let elapsed = cluster.run_until_holds(SECOND.times(5), has_all);
    // It starts within a second, and requests them in the next gossip round after it knows a holder.
    assert!(elapsed.is_some_and(|elapsed| elapsed <= SECOND.times(2)), "{elapsed:?}");
}
