//! Measures the cost of membership and of replica groups, in virtual time on one core.
//!
//! `cargo run --release -p dahlia-replication --example measure -- SECTION`, where the section is
//! `membership`, `membership-memory`, `groups`, `group-memory`, `entries` or `fail-over`. Each section
//! runs in its own process, so that memory freed by one does not hide the growth of another.
//!
//! Bytes are counted on the encoded messages, without transport headers. Processor time is measured over
//! the whole process and divided by daemons and virtual seconds. It covers the state machines and the
//! encoding, and also the simulator, so it is an upper bound.

mod fail_over;
mod groups;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use dahlia_replication::membership::{FactKey, MembershipSettings};
use dahlia_types::{DaemonId, Duration, GroupId};
use support::membership_cluster::{MembershipCluster, Topology};

const SECOND: Duration = Duration::from_secs(1);
const SIZES: [u32; 4] = [40, 100, 200, 370];
const MEASURED_SECONDS: u64 = 300;

fn main() {
    let section = std::env::args().nth(1).unwrap_or_default();
    match section.as_str() {
        "membership" => membership(),
        "membership-memory" => membership_memory(),
        "groups" => groups::heartbeats(),
        "group-memory" => groups::memory(),
        "entries" => groups::committed_entries(),
        "fail-over" => fail_over::run(),
        _ => {
            eprintln!(
                "usage: measure membership|membership-memory|groups|group-memory|entries|fail-over"
            );
            std::process::exit(2);
        }
    }
}

/// Resident bytes of this process.
pub fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

fn membership_memory() {
    println!("membership, resident bytes after 300 s of virtual time");
    println!("daemons  bytes/daemon");
    let mut clusters = Vec::new();
    for daemons in SIZES {
        let before = resident_bytes();
        let mut cluster =
            MembershipCluster::new(topology(daemons), MembershipSettings::default(), 1);
        cluster.run_for(SECOND.times(300));
        println!("{daemons:7}  {:12}", (resident_bytes() - before) / u64::from(daemons));
        clusters.push(cluster);
    }
}

fn topology(daemons: u32) -> Topology {
    Topology { daemons, regions: 2, zones_per_region: 4 }
}

fn membership() {
    println!("membership, {MEASURED_SECONDS} s of virtual time each");
    println!("daemons  churn  bytes/s mean  max  messages/s  cpu us/s  full view s");
    for daemons in SIZES {
        for has_churn in [false, true] {
            membership_at(daemons, has_churn);
        }
    }
}

fn membership_at(daemons: u32, has_churn: bool) {
    let mut cluster = MembershipCluster::new(topology(daemons), MembershipSettings::default(), 1);
    let full = cluster.run_until_holds(SECOND.times(120), MembershipCluster::is_complete);
    cluster.run_for(SECOND.times(120));
    cluster.reset_counters();
    let started = Instant::now();
    for second in 1..=MEASURED_SECONDS {
        if has_churn {
            churn(&mut cluster, second, daemons);
        }
        cluster.run_for(SECOND);
    }
    let cpu = started.elapsed().as_micros() as f64;
    let per = f64::from(daemons) * MEASURED_SECONDS as f64;
    let bytes: Vec<u64> = cluster.nodes.values().map(|node| node.bytes_sent).collect();
    let messages: u64 = cluster.nodes.values().map(|node| node.messages_sent).sum();
    println!(
        "{daemons:7}  {has_churn:5}  {:12.0}  {:3}  {:10.2}  {:8.0}  {:?}",
        bytes.iter().sum::<u64>() as f64 / per,
        bytes.iter().max().unwrap_or(&0) / MEASURED_SECONDS,
        messages as f64 / per,
        cpu / per,
        full.map(Duration::as_secs_f64),
    );
}

/// Causes a restart every minute (17 times the target of 86 a day), a configuration every ten seconds (10
/// times the target of 830 a day) and a group description every two seconds.
fn churn(cluster: &mut MembershipCluster, second: u64, daemons: u32) {
    let number = second as u32;
    if second.is_multiple_of(60) {
        let daemon = DaemonId(4 + number % (daemons - 4));
        cluster.kill(daemon);
        cluster.start(daemon);
    }
    if second.is_multiple_of(10) {
        cluster.publish(1, FactKey::Configuration, second, 60);
    }
    if second.is_multiple_of(2) {
        cluster.publish(2, FactKey::Group(GroupId(number % 100)), second, 60);
    }
}
