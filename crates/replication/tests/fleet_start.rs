//! All daemons of a fleet start at the same moment and know three seeds. The cost per daemon must grow
//! with the size of the membership table, not with its square.

mod support;

use dahlia_replication::membership::{FactKey, MembershipSettings};
use dahlia_types::{DaemonId, Duration};
use support::membership_cluster::{MembershipCluster, Topology};

/// The approximate encoded size of a member's record.
const RECORD_BYTES: u64 = 75;
const SECOND: Duration = Duration::from_secs(1);

/// The cost of a simultaneous start of all daemons.
#[derive(Debug)]
struct StartCost {
    /// The time until every daemon knows every other, rounded up to seconds.
    completed_after: Option<Duration>,
    /// Mean bytes sent by a daemon, as a multiple of the whole table.
    sent_tables: f64,
    /// The most bytes that one daemon sent in a second.
    max_bytes_per_second: u64,
    /// Mean bytes sent by a daemon to other zones, as a multiple of the whole table.
    cross_zone_tables: f64,
}

fn measure_start(daemons: u32) -> StartCost {
    let topology = Topology { daemons, regions: 1, zones_per_region: 6 };
    let settings = MembershipSettings { sync_interval_ms: 5_000, ..Default::default() };
    let mut cluster = MembershipCluster::new(topology, settings, 7);
    cluster.loss = 0.005;
    let (mut completed_after, mut max_bytes_per_second, mut sent_before) =
        (None, 0, vec![0; daemons as usize + 1]);
    for second in 1..=20 {
        cluster.run_for(SECOND);
        for (daemon, node) in &cluster.nodes {
            let before = &mut sent_before[daemon.0 as usize];
            max_bytes_per_second = max_bytes_per_second.max(node.bytes_sent - *before);
            *before = node.bytes_sent;
        }
        if cluster.is_complete() {
            completed_after.get_or_insert(SECOND.times(second));
        }
    }
    let sent: u64 = cluster.nodes.values().map(|node| node.bytes_sent).sum();
    let table = RECORD_BYTES * u64::from(daemons);
    let all_tables = (u64::from(daemons) * table) as f64;
    StartCost {
        completed_after,
        sent_tables: sent as f64 / all_tables,
        max_bytes_per_second,
        cross_zone_tables: cluster.cross_zone_bytes as f64 / all_tables,
    }
}

/// A gateway's link carries 3.75 MB/s, and every byte that waits to be sent uses memory. A seed that sends
/// its whole table to hundreds of daemons at once would send 33 MB in a second.
#[test]
fn a_simultaneous_start_costs_each_daemon_a_few_tables() {
    for daemons in [100, 300, 600] {
        let cost = measure_start(daemons);
        println!("{daemons} daemons: {cost:?}");
        assert!(
            cost.completed_after.is_some(),
            "{daemons} daemons: not every daemon knows all after 20 s"
        );
        assert!(
            cost.sent_tables < 6.0,
            "{daemons} daemons: {:.1} tables sent each",
            cost.sent_tables
        );
        // Half of the link if a thousand daemons start.
        let bytes = cost.max_bytes_per_second;
        assert!(bytes < 1_900 * u64::from(daemons), "{daemons} daemons: {bytes} bytes in a second");
        let cross_zone = cost.cross_zone_tables;
        assert!(
            cross_zone < 4.0,
            "{daemons} daemons: {cross_zone:.1} tables sent to other zones each"
        );
    }
}

/// Each daemon reads a configuration of hundreds of routes from another source soon after its start.
/// Daemons that have it send it to daemons that lack it, but only within the budget for answers: on a
/// link that is full of copies, the first copy arrives late, and each further request causes another.
#[test]
fn a_simultaneous_start_sends_few_copies_of_a_document() {
    const DOCUMENT_BYTES: usize = 37_000;
    let daemons = 300;
    let topology = Topology { daemons, regions: 1, zones_per_region: 6 };
    let settings = MembershipSettings { sync_interval_ms: 5_000, ..Default::default() };
    let mut cluster = MembershipCluster::new(topology, settings, 9);
    let key = FactKey::Document(1);
    for daemon in 1..=3 {
        assert!(cluster.publish(daemon, key.clone(), 4, DOCUMENT_BYTES));
    }
    // Documents arrive two seconds after they are sent.
    cluster.document_delay = SECOND.times(2);
    cluster.run_for(SECOND.times(2));
    for daemon in 4..=daemons {
        cluster.publish(daemon, key.clone(), 4, DOCUMENT_BYTES);
    }
    cluster.run_for(SECOND.times(10));
    let copies = cluster.documents_sent as f64 / f64::from(daemons);
    println!("{copies:.1} copies sent by each daemon");
    // Twice the initial budget, which is 3.5 copies, plus its refill within two seconds.
    assert!(copies < 2.0 * (3.5 + 3.5), "{copies:.1} copies sent by each");
}

/// A daemon that restarts alone learns the whole table at once, while the others have few updates to send.
#[test]
fn a_daemon_that_starts_alone_soon_knows_all_members() {
    let topology = Topology { daemons: 500, regions: 1, zones_per_region: 6 };
    let settings = MembershipSettings { sync_interval_ms: 5_000, ..Default::default() };
    let mut cluster = MembershipCluster::new(topology, settings, 8);
    cluster.run_for(SECOND.times(20));
    cluster.kill(DaemonId(400));
    cluster.run_for(SECOND.times(2));
    cluster.start(DaemonId(400));
    let knows_all =
        |cluster: &MembershipCluster| cluster.node(400).membership.members().len() == 500;
    let elapsed = cluster.run_until_holds(SECOND.times(5), knows_all);
    println!("{elapsed:?}");
    assert!(elapsed.is_some_and(|elapsed| elapsed <= SECOND.times(2)), "{elapsed:?}");
}
