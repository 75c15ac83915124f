//! Damaged messages: a damaged message that still decodes must neither crash nor block a replica or
//! membership.

mod support;

use dahlia_replication::group::{GroupMessage, GroupSettings, Output, Replica};
use dahlia_replication::membership::{Envelope, Event, MembershipSettings};
use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, ReplicaId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::membership_cluster::{MembershipCluster, Topology};

const CONFIG: bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<1_000_000>,
> = bincode::config::standard().with_limit::<1_000_000>();

/// Changes a few bytes, and sometimes truncates the message.
fn damage(random: &mut ChaCha8Rng, mut bytes: Vec<u8>) -> Vec<u8> {
    for _ in 0..random.random_range(1..4) {
        let index = random.random_range(0..bytes.len());
        bytes[index] = random.random();
    }
    if random.random_bool(0.1) {
        bytes.truncate(random.random_range(1..=bytes.len()));
    }
    bytes
}

fn bootstrap_three_replicas() -> Vec<Replica> {
    let id = |daemon| ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(1) };
    let voters: Vec<ReplicaId> = (0..3).map(id).collect();
    let settings = GroupSettings { retained_entries: 4, ..GroupSettings::default() };
    let make = |voter| {
        Replica::bootstrap(voter, GroupId(1), voters.clone(), settings.clone(), 1, Timestamp::ZERO)
    };
    voters.iter().copied().map(make).collect()
}

#[test]
fn damaged_group_messages_do_not_crash_replicas() {
    const SEEDS: u64 = 120;
    const MIN_MESSAGES: u64 = 60_000;
    let mut handled = 0;
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut replicas = bootstrap_three_replicas();
        let mut now = Timestamp::ZERO;
        for _ in 0..200 {
            now = now + Duration::from_millis(50);
            let mut messages = Vec::new();
            for replica in &mut replicas {
                replica.tick(now);
                // All replicas except the leader reject it.
                let _rejected = replica.propose(vec![1; 20], now).err();
                messages.extend(take_messages(replica));
            }
            while let Some(message) = messages.pop() {
                let mut delivered = vec![message.clone()];
                if random.random_bool(0.3) {
                    let bytes = bincode::serde::encode_to_vec(&message, CONFIG).expect("encodes");
                    let damaged = damage(&mut random, bytes);
                    let decoded =
                        bincode::serde::decode_from_slice::<GroupMessage, _>(&damaged, CONFIG);
                    delivered.extend(decoded.map(|(message, _)| message));
                }
                for message in delivered {
                    let to = message.to.daemon.0 as usize % replicas.len();
                    handled += 1;
                    replicas[to].step(message, now);
                    messages.extend(take_messages(&mut replicas[to]));
                }
                messages.truncate(200);
            }
        }
    }
    assert!(handled > MIN_MESSAGES, "only {handled} messages");
}

fn take_messages(replica: &mut Replica) -> Vec<GroupMessage> {
    let mut messages = Vec::new();
    for output in replica.take_outputs() {
        match output {
            Output::Send(message) => messages.push(message),
            Output::SnapshotWanted => {
                replica.provide_snapshot(replica.applied(), vec![0; 50]);
            }
            _ => {}
        }
    }
    messages
}

#[test]
fn damaged_membership_messages_do_not_crash_membership() {
    let topology = Topology { daemons: 6, regions: 2, zones_per_region: 2 };
    let mut damaged_handled = 0;
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = MembershipCluster::new(topology, MembershipSettings::default(), seed);
        cluster.records_messages = true;
        for _ in 0..100 {
            cluster.run_for(Duration::from_millis(200));
            for message in std::mem::take(&mut cluster.recorded_messages) {
                let bytes = bincode::serde::encode_to_vec(&message, CONFIG).expect("encodes");
                let damaged = damage(&mut random, bytes);
                let decoded = bincode::serde::decode_from_slice::<Envelope, _>(&damaged, CONFIG);
                let Ok((message, _)) = decoded else { continue };
                let (now, daemon) = (cluster.now, random.random_range(1..=topology.daemons));
                damaged_handled += 1;
                let actions =
                    cluster.node_mut(daemon).membership.handle(Event::Received(message), now);
                assert!(actions.len() < 1_000, "seed {seed}");
            }
        }
    }
    assert!(damaged_handled > 1_000, "only {damaged_handled} messages");
}
