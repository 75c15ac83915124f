//! Machines with one group in virtual time, with power losses, lost disks and member replacement.

use std::collections::BTreeMap;

use dahlia_replication::group::{GroupMessage, Members};
use dahlia_replication::maintenance::{
    BalanceRateLimit, ClusterView, DaemonView, Liveness, Maintenance, MaintenanceSettings,
    MaintenanceStep,
};
use dahlia_types::{DaemonId, Duration, LogIndex, Region, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::machine::{InjectedFaults, Machine};

const STEP: Duration = Duration::from_millis(1);
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
const STEPS_PER_PROPOSAL: u64 = 7;
/// Share of syncs that are slow.
const SLOW_SYNC_SHARE: f64 = 0.15;
/// A machine whose disk has nothing to write loses its power after at most this time.
const MAX_POWER_LOSS_DELAY: Duration = Duration::from_millis(40);
/// A run without progress ends with a violation after this time.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Cluster {
    pub now: Timestamp,
    pub machines: Vec<Machine>,
    pub violation: Option<String>,
    /// Entries that any machine acknowledged or applied as committed.
    pub committed: BTreeMap<LogIndex, Vec<u8>>,
    /// Longest time from a restore until the group has all its voters.
    pub max_repair_time: Duration,
    /// Longest time from a restore until the next commit.
    pub max_commit_delay: Duration,
    random: ChaCha8Rng,
    seed: u64,
    voters: Vec<DaemonId>,
    network: BTreeMap<(Timestamp, u64), GroupMessage>,
    next_message: u64,
    next_payload: u64,
    next_maintenance_at: Timestamp,
    last_commit: Timestamp,
    maintenance: BTreeMap<DaemonId, Maintenance>,
}

impl Cluster {
    /// Creates machines 1 to `machines`, of which the first `voters` are voters of the group.
    pub fn new(machines: u32, voters: u32, seed: u64, faults: InjectedFaults) -> Self {
        let now = Timestamp(1_000_000);
        let voters: Vec<DaemonId> = (1..=voters).map(DaemonId).collect();
        let mut cluster = Self {
            now,
            machines: (1..=machines).map(|number| Machine::new(number, seed, faults)).collect(),
            violation: None,
            committed: BTreeMap::new(),
            max_repair_time: Duration::ZERO,
            max_commit_delay: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            seed,
            voters,
            network: BTreeMap::new(),
            next_message: 0,
            next_payload: 0,
            next_maintenance_at: now,
            last_commit: now,
            maintenance: BTreeMap::new(),
        };
        for index in 0..cluster.machines.len() {
            cluster.start(index);
        }
        cluster
    }

    fn start(&mut self, index: usize) {
        let (seed, now) = (self.seed ^ self.now.0, self.now);
        self.machines[index].start(&self.voters, seed, now);
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end && self.violation.is_none() {
            self.step();
        }
    }

    /// Runs until `holds` returns true. Returns how long that took.
    pub fn run_until(&mut self, what: &str, holds: impl Fn(&mut Self) -> bool) -> Duration {
        let begin = self.now;
        while !holds(self) && self.violation.is_none() {
            self.step();
            if self.now.since(begin) > PROGRESS_TIMEOUT {
                self.report_violation(format!("{what} was not reached"));
            }
        }
        self.now.since(begin)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(((at, number), _)) = self.network.first_key_value() {
            if *at > self.now {
                break;
            }
            let key = (*at, *number);
            if let Some(message) = self.network.remove(&key) {
                self.machines[message.to.daemon.0 as usize - 1].deliver(message);
            }
        }
        if (self.now.0 / STEP.0).is_multiple_of(STEPS_PER_PROPOSAL) {
            self.propose();
        }
        if self.now >= self.next_maintenance_at {
            self.next_maintenance_at = self.now + MAINTENANCE_INTERVAL;
            self.run_maintenance();
        }
        for machine_index in 0..self.machines.len() {
            let sync_time = self.sync_time();
            let output = self.machines[machine_index].run(sync_time, self.now);
            output.messages.into_iter().for_each(|message| self.send(message));
            for (index, payload) in output.committed {
                self.record_commit(index, payload);
            }
        }
    }

    /// Draws the duration of a sync, which is slow in a share of [`SLOW_SYNC_SHARE`].
    fn sync_time(&mut self) -> Duration {
        let is_slow = self.random.random_bool(SLOW_SYNC_SHARE);
        let micros = if is_slow { 20_000..60_000 } else { 500..6_000 };
        Duration(self.random.random_range(micros))
    }

    fn send(&mut self, message: GroupMessage) {
        if self.random.random_bool(0.01) {
            return;
        }
        self.next_message += 1;
        let at = self.now + Duration(self.random.random_range(500..4_000));
        self.network.insert((at, self.next_message), message);
    }

    fn record_commit(&mut self, index: LogIndex, payload: Vec<u8>) {
        let first = self.committed.entry(index).or_insert_with(|| payload.clone());
        if *first != payload {
            let text = format!("entry {index} is {payload:?} and was {first:?}");
            self.report_violation(text);
        }
        self.last_commit = self.now;
    }

    fn report_violation(&mut self, text: String) {
        self.violation.get_or_insert(format!("{text}; seed {}", self.seed));
    }

    fn propose(&mut self) {
        self.next_payload += 1;
        let mut payload = self.next_payload.to_le_bytes().to_vec();
        payload.resize(self.random.random_range(8..120), 0);
        let now = self.now;
        let replicas = self.machines.iter_mut().filter_map(Machine::replica);
        for replica in replicas.filter(|replica| replica.is_leader_ready()) {
            let _ = replica.propose(payload.clone(), now);
        }
    }

    fn run_maintenance(&mut self) {
        let mut view = ClusterView::default();
        for machine in &self.machines {
            let is_up = machine.is_running();
            let entry = DaemonView {
                incarnation: machine.identity.incarnation,
                zone: Zone::new(format!("zone-{}", machine.daemon)),
                region: Region::new("region"),
                liveness: if is_up { Liveness::Live } else { Liveness::NotReady },
                holds_groups: true,
                replicas: 0,
                leaderships: 0,
            };
            view.daemons.insert(machine.daemon, entry);
        }
        let now = self.now;
        for machine in &mut self.machines {
            let settings = MaintenanceSettings::default();
            let daemon = machine.daemon;
            let Some(replica) = machine.replica() else { continue };
            let mut rate_limit = BalanceRateLimit::new(&settings, now);
            let maintenance =
                self.maintenance.entry(daemon).or_insert_with(|| Maintenance::new(settings));
            let step = maintenance.next_step(&replica.status(), &view, &mut rate_limit, now);
            if let Some(MaintenanceStep::Change(change)) = step {
                let _ = replica.change_members(change);
            }
        }
    }

    /// Lets machines lose their power within the next `operations` disk operations. The machine
    /// `wiped` also loses its disk.
    pub fn lose_power(&mut self, machines: &[usize], wiped: Option<usize>, operations: u64) {
        for index in machines {
            let operations_left = self.random.random_range(0..=operations);
            self.machines[*index].disk.lose_power_after(operations_left);
        }
        let pause = Duration(self.random.random_range(0..=MAX_POWER_LOSS_DELAY.0));
        self.run(pause);
        for index in machines {
            let machine = &mut self.machines[*index];
            machine.stop();
            machine.is_wiped = wiped == Some(*index);
            if machine.is_wiped { machine.disk.wipe() } else { machine.disk.lose_power() }
        }
    }

    /// Restarts machines one after the other and waits until the group has all its voters.
    pub fn restore(&mut self, machines: &[usize]) {
        for index in machines {
            let pause = Duration(self.random.random_range(0..400_000));
            self.run(pause);
            self.start(*index);
        }
        let restored_at = self.now;
        let commit_delay = self.run_until("a commit after the power loss", |cluster| {
            cluster.last_commit > restored_at
        });
        self.max_commit_delay = self.max_commit_delay.max(commit_delay);
        self.run_until("a group with all voters", Self::has_all_voters);
        self.max_repair_time = self.max_repair_time.max(self.now.since(restored_at));
    }

    fn has_all_voters(&mut self) -> bool {
        let identities: Vec<_> = self.machines.iter().map(|machine| machine.identity).collect();
        let voters = self.voters.len();
        let has_all_voters = |members: &Members| {
            members.voters.len() == voters
                && members.voters.iter().all(|voter| identities.contains(voter))
        };
        let mut replicas = self.machines.iter_mut().filter_map(Machine::replica);
        replicas.any(|replica| {
            let status = replica.status();
            status.ready && !status.change_in_progress && has_all_voters(&status.members)
        })
    }

    /// Waits until the logs converge, then checks that every acknowledged entry is present.
    pub fn check_nothing_lost(&mut self) {
        self.run(Duration::from_secs(3));
        let voters = self.machines.iter_mut().filter_map(Machine::replica);
        let leader = voters.filter(|replica| replica.is_leader_ready()).max_by_key(|it| it.term());
        let leader = leader.map(|replica| replica.id().daemon);
        let Some(leader) = leader else {
            self.report_violation("there is no leader at the end".to_owned());
            return;
        };
        let state = self.machines[leader.0 as usize - 1].state().cloned().unwrap_or_default();
        let missing =
            self.committed.iter().find(|(index, payload)| state.get(index) != Some(payload));
        if let Some((index, payload)) = missing {
            let text = format!("entry {index} of {} is lost: {payload:?}", state.len());
            self.report_violation(text);
        }
    }
}
