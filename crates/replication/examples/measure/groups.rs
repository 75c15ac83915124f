//! Cost of the heartbeats of many groups, of committed entries, and memory of replicas.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use dahlia_replication::directory::initial_layout;
use dahlia_replication::group::{Coalescer, GroupSettings, Output, PeerBatch, Replica, Role};
use dahlia_replication::membership::{MemberInfo, MemberState};
use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, Region, ReplicaId, Timestamp, Zone};

use crate::resident_bytes;

const CONFIG: bincode::config::Configuration = bincode::config::standard();
const START: Timestamp = Timestamp(1_800_000_000_000_000);
const TICK: Duration = Duration::from_millis(50);

fn id(daemon: u32) -> ReplicaId {
    ReplicaId { daemon: DaemonId(daemon), incarnation: Incarnation(START.0 / 1_000) }
}

/// Daemons with all their replicas. Messages arrive within one tick.
struct Fleet {
    now: Timestamp,
    replicas: BTreeMap<DaemonId, BTreeMap<GroupId, Replica>>,
    coalescers: BTreeMap<DaemonId, Coalescer>,
    in_flight: VecDeque<(DaemonId, PeerBatch)>,
    bytes: u64,
    batches: u64,
    committed: u64,
}

impl Fleet {
    fn new(daemons: u32, groups: u32, voters: usize) -> Self {
        let mut fleet = Self {
            now: START,
            replicas: BTreeMap::new(),
            coalescers: BTreeMap::new(),
            in_flight: VecDeque::new(),
            bytes: 0,
            batches: 0,
            committed: 0,
        };
        let members: Vec<MemberInfo> = (0..daemons).map(member).collect();
        for description in initial_layout(&members, groups, voters) {
            for member in &description.members {
                let voters = description.members.clone();
                let settings = GroupSettings::default();
                let group = description.group;
                let replica = Replica::bootstrap(*member, group, voters, settings, 1, START);
                fleet.replicas.entry(member.daemon).or_default().insert(group, replica);
            }
        }
        fleet
    }

    fn run_for(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + TICK;
            self.tick();
            self.deliver_all();
        }
    }

    fn tick(&mut self) {
        for (daemon, replicas) in &mut self.replicas {
            let coalescer = self.coalescers.entry(*daemon).or_default();
            for replica in replicas.values_mut() {
                replica.tick(self.now);
                self.committed += coalesce_outputs(replica, coalescer);
            }
        }
    }

    /// Delivers messages until none is left.
    fn deliver_all(&mut self) {
        loop {
            for coalescer in self.coalescers.values_mut() {
                for (to, batch) in coalescer.take() {
                    let encoded = bincode::serde::encode_to_vec(&batch, CONFIG).expect("encodes");
                    self.bytes += encoded.len() as u64;
                    self.batches += 1;
                    let decoded = bincode::serde::decode_from_slice(&encoded, CONFIG);
                    self.in_flight.push_back((to, decoded.expect("decodes").0));
                }
            }
            if self.in_flight.is_empty() {
                return;
            }
            while let Some((daemon, batch)) = self.in_flight.pop_front() {
                self.deliver(daemon, batch);
            }
        }
    }

    fn deliver(&mut self, daemon: DaemonId, batch: PeerBatch) {
        let coalescer = self.coalescers.entry(daemon).or_default();
        let replicas = self.replicas.get_mut(&daemon).expect("daemon exists");
        for message in batch.into_messages() {
            let Some(replica) = replicas.get_mut(&message.group) else { continue };
            replica.step(message, self.now);
            self.committed += coalesce_outputs(replica, coalescer);
        }
    }

    fn leader(&mut self, group: GroupId) -> Option<&mut Replica> {
        let replicas = self.replicas.values_mut().filter_map(|replicas| replicas.get_mut(&group));
        replicas.into_iter().find(|replica| replica.role() == Role::Leader)
    }

    fn reset_counters(&mut self) {
        (self.bytes, self.batches, self.committed) = (0, 0, 0);
    }
}

/// Adds a replica's messages to the coalescer. Returns the number of its committed commands.
fn coalesce_outputs(replica: &mut Replica, coalescer: &mut Coalescer) -> u64 {
    let mut committed = 0;
    for output in replica.take_outputs() {
        match output {
            Output::Send(message) => coalescer.push(message),
            Output::Committed(_) => committed += 1,
            _ => {}
        }
    }
    committed
}

fn member(daemon: u32) -> MemberInfo {
    const REGIONS: u32 = 2;
    const ZONES: u32 = 7;
    let zone = daemon % ZONES;
    MemberInfo {
        daemon: DaemonId(daemon),
        incarnation: id(daemon).incarnation,
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone(format!("zone-{zone}")),
        region: Region(format!("region-{}", zone % REGIONS)),
        state: MemberState::Live,
        holds_groups: true,
    }
}

/// Measures the memory of idle replicas, and of replicas with a full log.
pub fn memory() {
    const GROUPS: u32 = 740;
    const PAYLOAD: usize = 200;
    let before = resident_bytes();
    let mut fleet = Fleet::new(370, GROUPS, 3);
    fleet.run_for(Duration::from_secs(10));
    let replicas = u64::from(GROUPS) * 3;
    let idle = resident_bytes();
    println!("groups, resident bytes per replica");
    println!("idle {}", (idle - before) / replicas);
    for number in 0..GROUPS {
        let now = fleet.now;
        let leader = fleet.leader(GroupId(number)).expect("a leader");
        for _ in 0..GroupSettings::default().retained_entries {
            leader.propose(vec![7; PAYLOAD], now).expect("taken");
        }
    }
    fleet.run_for(Duration::from_secs(5));
    let full = (resident_bytes() - idle) / replicas;
    println!(
        "further, with {} entries of {PAYLOAD} bytes kept: {full}",
        GroupSettings::default().retained_entries
    );
}

/// Measures the heartbeats of idle groups.
pub fn heartbeats() {
    const SECONDS: u64 = 30;
    println!("idle groups of three, {SECONDS} s of virtual time each");
    println!("daemons  groups  bytes/s/daemon  batches/s/daemon  cpu us/s/daemon");
    for (daemons, groups) in [(40, 80), (100, 200), (200, 400), (370, 740), (370, 2_960)] {
        let mut fleet = Fleet::new(daemons, groups, 3);
        fleet.run_for(Duration::from_secs(5));
        fleet.reset_counters();
        let started = Instant::now();
        fleet.run_for(Duration::from_secs(SECONDS));
        let cpu = started.elapsed().as_micros() as f64;
        let per = f64::from(daemons) * SECONDS as f64;
        println!(
            "{daemons:7}  {groups:6}  {:14.0}  {:16.1}  {:15.0}",
            fleet.bytes as f64 / per,
            fleet.batches as f64 / per,
            cpu / per,
        );
    }
}

/// Measures one busy group with proposals in bursts of different sizes.
pub fn committed_entries() {
    const ENTRIES: usize = 100_000;
    const PAYLOAD: usize = 200;
    println!("one group, {ENTRIES} entries of {PAYLOAD} bytes, all replicas on one core");
    println!("voters  burst  us/entry  bytes/entry  batches/entry");
    for voters in [3, 5] {
        for burst in [1, 16, 64] {
            let mut fleet = Fleet::new(14, 1, voters);
            fleet.run_for(Duration::from_secs(5));
            fleet.reset_counters();
            let started = Instant::now();
            for _ in 0..ENTRIES / burst {
                fleet.now = fleet.now + Duration::from_micros(100);
                propose(&mut fleet, burst, PAYLOAD);
                fleet.deliver_all();
            }
            let cpu = started.elapsed().as_micros() as f64;
            fleet.run_for(Duration::from_secs(1));
            let expected = (ENTRIES / burst * burst * voters) as u64;
            assert_eq!(fleet.committed, expected, "every replica delivers every entry");
            let per = (ENTRIES / burst * burst) as f64;
            println!(
                "{voters:6}  {burst:5}  {:8.2}  {:11.0}  {:13.2}",
                cpu / per,
                fleet.bytes as f64 / per,
                fleet.batches as f64 / per,
            );
        }
    }
}

fn propose(fleet: &mut Fleet, burst: usize, payload: usize) {
    let now = fleet.now;
    let leader = fleet.leader(GroupId(0)).expect("a leader");
    let daemon = leader.id().daemon;
    for _ in 0..burst {
        leader.propose(vec![7; payload], now).expect("taken");
    }
    let mut coalescer = fleet.coalescers.remove(&daemon).unwrap_or_default();
    let leader = fleet.leader(GroupId(0)).expect("a leader");
    let committed = coalesce_outputs(leader, &mut coalescer);
    fleet.committed += committed;
    fleet.coalescers.insert(daemon, coalescer);
}
