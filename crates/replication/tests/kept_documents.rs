//! Long documents that only daemons with groups keep: what a change costs, and who gets them.
//!
//! The pattern: a gateway reads ten thousand servers of an outside service, and others that cannot
//! read it need the list. Sent whole to everybody at each change it is gigabytes; beyond a
//! document's greatest length nobody gets it at all.

mod support;

use dahlia_replication::membership::{FIRST_HOLDER_DOCUMENT, FactKey, MembershipSettings};
use dahlia_types::{DaemonId, Duration};
use support::swarm::{Shape, Swarm};

const SECOND: Duration = Duration::from_secs(1);
const PARTS: u32 = 16;
/// Bytes of one part: a sixteenth of ten thousand records.
const PART_BYTES: usize = 44_000;

fn part(number: u32) -> FactKey {
    FactKey::Document(FIRST_HOLDER_DOCUMENT + number)
}

/// Daemons of which each eighth holds groups, known to each other.
fn fleet(daemons: u32, seed: u64) -> Swarm {
    let shape = Shape { daemons, regions: 1, zones_per_region: 3 };
    let settings = MembershipSettings { sync_interval_ms: 5_000, ..Default::default() };
    let mut swarm = Swarm::with_holders(shape, settings, seed, |daemon| daemon.0 % 8 == 0);
    swarm.run_for(SECOND.times(20));
    assert!(swarm.is_complete());
    swarm.reset_counters();
    swarm
}

fn holders_knowing(swarm: &Swarm, version: u64) -> usize {
    let knows = |node: &&support::swarm::Node| {
        let known = &node.membership;
        let all = |number| known.fact(&part(number)).is_some_and(|fact| fact.version == version);
        known.own().holds_groups && (0..PARTS).all(all)
    };
    swarm.running().filter(knows).count()
}

/// All parts are made anew by a daemon that holds no groups, some times.
#[test]
fn a_long_list_goes_to_those_that_keep_it_and_to_nobody_else() {
    for daemons in [48, 96, 192] {
        let mut swarm = fleet(daemons, 3);
        let holders = daemons as usize / 8;
        for version in 1..=3 {
            for number in 0..PARTS {
                assert!(swarm.publish(1, part(number), version, PART_BYTES));
            }
            let all = |swarm: &Swarm| holders_knowing(swarm, version) == holders;
            let took = swarm.run_until_holds(SECOND.times(20), all);
            assert!(took.is_some(), "{daemons}: {} know it", holders_knowing(&swarm, version));
        }
        let others = swarm.running().filter(|node| !node.membership.own().holds_groups);
        let knowing = others.filter(|node| node.membership.fact(&part(0)).is_some()).count();
        assert_eq!(knowing, 1, "only who made it");
        let sent: u64 = swarm.nodes.values().map(|node| node.bytes_sent).sum();
        let lists = sent as f64 / 3.0 / (holders * PARTS as usize * PART_BYTES) as f64;
        println!("{daemons} daemons: {lists:.2} lists sent for each that keeps one");
        // Once to each, and some twice: two may hand it to a third at the same moment.
        assert!(lists < 2.5, "{daemons} daemons: {lists:.2} lists for each");
    }
}

#[test]
fn who_lacks_it_asks_a_daemon_that_keeps_it() {
    let mut swarm = fleet(48, 4);
    for number in 0..PARTS {
        assert!(swarm.publish(1, part(number), 1, PART_BYTES));
    }
    swarm.run_for(SECOND.times(20));
    // It begins anew and cannot read the outside service.
    swarm.kill(DaemonId(5));
    swarm.kill(DaemonId(1));
    swarm.start(DaemonId(5));
    swarm.node_mut(5).membership.request_holder_documents();
    let has_all = |swarm: &Swarm| {
        let known = &swarm.node(5).membership;
        (0..PARTS).all(|number| known.fact(&part(number)).is_some())
    };
    let took = swarm.run_until_holds(SECOND.times(5), has_all);
    // It starts within a second, and asks with the next round of gossip once it knows somebody.
    assert!(took.is_some_and(|took| took <= SECOND.times(2)), "{took:?}");
}
