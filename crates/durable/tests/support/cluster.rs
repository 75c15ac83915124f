//! Machines with one group, in virtual time: power goes, a disk is lost, members are replaced.

use std::collections::BTreeMap;

use dahlia_replication::group::{GroupMessage, Members};
use dahlia_replication::maintenance::{
    BalanceRateLimit, ClusterView, DaemonView, Liveness, Maintenance, MaintenanceSettings,
    MaintenanceStep,
};
use dahlia_types::{DaemonId, Duration, LogIndex, Region, Timestamp, Zone};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::machine::{Machine, Switches};

const STEP: Duration = Duration::from_millis(1);
const UPKEEP: Duration = Duration::from_millis(200);
const PROPOSE_EVERY: u64 = 7;
/// Share of syncs that are held up.
const SLOW_SYNCS: f64 = 0.15;
/// A machine whose disk has nothing to write loses its power after this time.
const POWER_LIMIT: Duration = Duration::from_millis(40);
/// A day on which nothing works ends with a violation instead of never.
const PATIENCE: Duration = Duration::from_secs(20);

pub struct Cluster {
    pub now: Timestamp,
    pub machines: Vec<Machine>,
    pub violation: Option<String>,
    /// Entries that any machine answered for or applied for good.
    pub committed: BTreeMap<LogIndex, Vec<u8>>,
    pub slowest_repair: Duration,
    pub slowest_lead: Duration,
    random: ChaCha8Rng,
    seed: u64,
    voters: Vec<DaemonId>,
    network: BTreeMap<(Timestamp, u64), GroupMessage>,
    next_message: u64,
    next_payload: u64,
    next_upkeep: Timestamp,
    last_commit: Timestamp,
    maintenance: BTreeMap<DaemonId, Maintenance>,
}

impl Cluster {
    /// Machines 1 to `machines`, of which the first `voters` have the group.
    pub fn new(machines: u32, voters: u32, seed: u64, switches: Switches) -> Self {
        let now = Timestamp(1_000_000);
        let voters: Vec<DaemonId> = (1..=voters).map(DaemonId).collect();
        let mut cluster = Self {
            now,
            machines: (1..=machines).map(|number| Machine::new(number, seed, switches)).collect(),
            violation: None,
            committed: BTreeMap::new(),
            slowest_repair: Duration::ZERO,
            slowest_lead: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            seed,
            voters,
            network: BTreeMap::new(),
            next_message: 0,
            next_payload: 0,
            next_upkeep: now,
            last_commit: now,
            maintenance: BTreeMap::new(),
        };
        for place in 0..cluster.machines.len() {
            cluster.start(place);
        }
        cluster
    }

    fn start(&mut self, place: usize) {
        let (seed, now) = (self.seed ^ self.now.0, self.now);
        self.machines[place].start(&self.voters, seed, now);
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end && self.violation.is_none() {
            self.step();
        }
    }

    /// Runs until something holds. Returns how long that took.
    pub fn run_until(&mut self, what: &str, holds: impl Fn(&mut Self) -> bool) -> Duration {
        let begin = self.now;
        while !holds(self) && self.violation.is_none() {
            self.step();
            if self.now.since(begin) > PATIENCE {
                self.report(format!("{what} did not come about"));
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
        if (self.now.0 / STEP.0).is_multiple_of(PROPOSE_EVERY) {
            self.propose();
        }
        if self.now >= self.next_upkeep {
            self.next_upkeep = self.now + UPKEEP;
            self.upkeep();
        }
        for place in 0..self.machines.len() {
            let sync_time = self.sync_time();
            let left = self.machines[place].run(sync_time, self.now);
            left.messages.into_iter().for_each(|message| self.send(message));
            for (index, payload) in left.committed {
                self.note_committed(index, payload);
            }
        }
    }

    /// Mostly what a disk takes; now and then it is held up.
    fn sync_time(&mut self) -> Duration {
        let is_slow = self.random.random_bool(SLOW_SYNCS);
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

    fn note_committed(&mut self, index: LogIndex, payload: Vec<u8>) {
        let first = self.committed.entry(index).or_insert_with(|| payload.clone());
        if *first != payload {
            let text = format!("entry {index} is {payload:?} and was {first:?}");
            self.report(text);
        }
        self.last_commit = self.now;
    }

    fn report(&mut self, text: String) {
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

    fn upkeep(&mut self) {
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
            let mut pace = BalanceRateLimit::new(&settings, now);
            let maintenance =
                self.maintenance.entry(daemon).or_insert_with(|| Maintenance::new(settings));
            let step = maintenance.next_step(&replica.status(), &view, &mut pace, now);
            if let Some(MaintenanceStep::Change(change)) = step {
                let _ = replica.change_members(change);
            }
        }
    }

    /// Machines lose their power within the next disk operations; those in `wiped` their disk.
    pub fn lose_power(&mut self, places: &[usize], wiped: Option<usize>, steps: u64) {
        for place in places {
            let left = self.random.random_range(0..=steps);
            self.machines[*place].disk.lose_power_after(left);
        }
        let pause = Duration(self.random.random_range(0..=POWER_LIMIT.0));
        self.run(pause);
        for place in places {
            let machine = &mut self.machines[*place];
            machine.stop();
            machine.is_wiped = wiped == Some(*place);
            if machine.is_wiped { machine.disk.wipe() } else { machine.disk.lose_power() }
        }
    }

    /// Starts machines again one after the other, and waits until the group is whole.
    pub fn restore(&mut self, places: &[usize]) {
        for place in places {
            let pause = Duration(self.random.random_range(0..400_000));
            self.run(pause);
            self.start(*place);
        }
        let back = self.now;
        let led = self.run_until("an entry after the loss", |cluster| cluster.last_commit > back);
        self.slowest_lead = self.slowest_lead.max(led);
        self.run_until("a whole group", Self::is_whole);
        self.slowest_repair = self.slowest_repair.max(self.now.since(back));
    }

    fn is_whole(&mut self) -> bool {
        let identities: Vec<_> = self.machines.iter().map(|machine| machine.identity).collect();
        let voters = self.voters.len();
        let is_whole = |members: &Members| {
            members.voters.len() == voters
                && members.voters.iter().all(|voter| identities.contains(voter))
        };
        let mut replicas = self.machines.iter_mut().filter_map(Machine::replica);
        replicas.any(|replica| {
            let status = replica.status();
            status.ready && !status.change_in_progress && is_whole(&status.members)
        })
    }

    /// Lets all logs become equal and looks for everything that was acknowledged.
    pub fn check_nothing_lost(&mut self) {
        self.run(Duration::from_secs(3));
        let voters = self.machines.iter_mut().filter_map(Machine::replica);
        let leader = voters.filter(|replica| replica.is_leader_ready()).max_by_key(|it| it.term());
        let leader = leader.map(|replica| replica.id().daemon);
        let Some(leader) = leader else {
            self.report("nobody leads at the end".to_owned());
            return;
        };
        let state = self.machines[leader.0 as usize - 1].state().cloned().unwrap_or_default();
        let missing =
            self.committed.iter().find(|(index, payload)| state.get(index) != Some(payload));
        if let Some((index, payload)) = missing {
            let text = format!("entry {index} of {} is lost: {payload:?}", state.len());
            self.report(text);
        }
    }
}
