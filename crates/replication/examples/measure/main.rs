//! Measures what membership and replica groups cost, in virtual time on one core.
//!
//! `cargo run --release -p dahlia-replication --example measure -- SECTION`, where the section is
//! `membership`, `membership-memory`, `groups`, `group-memory`, `entries` or `fail-over`. Each runs
//! in a process of its own, so that memory freed by one does not hide the growth of another.
//!
//! Bytes are those of the encoded messages, without transport headers. Processor time is that of
//! the state machines and of encoding, measured over the whole process and divided by daemons
//! and virtual seconds, the simulator's own share included: an upper bound.

mod fail_over;
mod groups;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use dahlia_replication::membership::{FactKey, MembershipSettings};
use dahlia_types::{DaemonId, Duration, GroupId};
use support::swarm::{Shape, Swarm};

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
    let mut kept = Vec::new();
    for daemons in SIZES {
        let before = resident_bytes();
        let mut swarm = Swarm::new(shape(daemons), MembershipSettings::default(), 1);
        swarm.run_for(SECOND.times(300));
        println!("{daemons:7}  {:12}", (resident_bytes() - before) / u64::from(daemons));
        kept.push(swarm);
    }
}

fn shape(daemons: u32) -> Shape {
    Shape { daemons, regions: 2, zones_per_region: 4 }
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
    let mut swarm = Swarm::new(shape(daemons), MembershipSettings::default(), 1);
    let full = swarm.run_until_holds(SECOND.times(120), Swarm::is_complete);
    swarm.run_for(SECOND.times(120));
    swarm.reset_counters();
    let started = Instant::now();
    for second in 1..=MEASURED_SECONDS {
        if has_churn {
            churn(&mut swarm, second, daemons);
        }
        swarm.run_for(SECOND);
    }
    let cpu = started.elapsed().as_micros() as f64;
    let per = f64::from(daemons) * MEASURED_SECONDS as f64;
    let bytes: Vec<u64> = swarm.nodes.values().map(|node| node.bytes_sent).collect();
    let messages: u64 = swarm.nodes.values().map(|node| node.messages_sent).sum();
    println!(
        "{daemons:7}  {has_churn:5}  {:12.0}  {:3}  {:10.2}  {:8.0}  {:?}",
        bytes.iter().sum::<u64>() as f64 / per,
        bytes.iter().max().unwrap_or(&0) / MEASURED_SECONDS,
        messages as f64 / per,
        cpu / per,
        full.map(Duration::as_secs_f64),
    );
}

/// A restart a minute (17 times the target's 86 a day), a configuration every ten seconds (10
/// times its 830 a day) and a group description every two.
fn churn(swarm: &mut Swarm, second: u64, daemons: u32) {
    let number = second as u32;
    if second.is_multiple_of(60) {
        let daemon = DaemonId(4 + number % (daemons - 4));
        swarm.kill(daemon);
        swarm.start(daemon);
    }
    if second.is_multiple_of(10) {
        swarm.publish(1, FactKey::Configuration, second, 60);
    }
    if second.is_multiple_of(2) {
        swarm.publish(2, FactKey::Group(GroupId(number % 100)), second, 60);
    }
}
