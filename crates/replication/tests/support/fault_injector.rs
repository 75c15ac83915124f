//! Seeded random schedules of faults, member changes and proposals for one group.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_replication::group::{GroupSettings, Members, Proposal, Role};
use dahlia_replication::maintenance::{
    BalanceRateLimit, ClusterView, DaemonView, Liveness, Maintenance, MaintenanceSettings,
    MaintenanceStep,
};
use dahlia_types::{DaemonId, Duration, LogIndex, Region, ReplicaId, Timestamp, Zone};
use rand::Rng;

use super::cluster::{Cluster, Counts};

const ZONES: u32 = 3;
/// A leader detects a death within this time: two heartbeats of 100 ms, a tick and the latency.
const DEATH_DETECTION_TIME: Duration = Duration::from_millis(300);
/// A daemon counts as disturbed for this long after a pause or cut.
const DISTURBANCE_DURATION: Duration = Duration::from_millis(1_500);
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// The parameters of a schedule.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub daemons: u32,
    pub voters: u32,
    pub length: Duration,
    pub settings: GroupSettings,
}

pub struct FaultInjector {
    pub cluster: Cluster,
    schedule: Schedule,
    maintenance: BTreeMap<DaemonId, Maintenance>,
    /// The true views of the past.
    past_views: Vec<(Timestamp, ClusterView)>,
    next_maintenance: Timestamp,
    /// When a daemon last lost its memory.
    memory_lost_at: Timestamp,
    /// When each daemon was last paused, cut off or empty.
    disturbed_at: BTreeMap<DaemonId, Timestamp>,
    proposals: Vec<Proposal>,
    next_payload: u64,
}

impl FaultInjector {
    pub fn new(schedule: Schedule, seed: u64) -> Self {
        let settings = schedule.settings.clone();
        let cluster = Cluster::new(schedule.daemons, schedule.voters, settings, seed);
        Self {
            maintenance: BTreeMap::new(),
            past_views: Vec::new(),
            next_maintenance: cluster.now,
            memory_lost_at: Timestamp::ZERO,
            disturbed_at: BTreeMap::new(),
            proposals: Vec::new(),
            next_payload: 0,
            schedule,
            cluster,
        }
    }

    /// Runs the schedule; returns the first violation.
    pub fn run(&mut self) -> Option<String> {
        let end = self.cluster.now + self.schedule.length;
        while self.cluster.now < end && self.cluster.checker.violation.is_none() {
            let pause = Duration(self.cluster.random.random_range(5_000..300_000));
            self.run_with_maintenance(pause);
            self.record_disturbances();
            self.perform_random_action();
        }
        self.end_faults_and_check();
        let violation = self.cluster.checker.violation.clone();
        violation.map(|text| text + &self.cluster.describe())
    }

    /// Runs with maintenance, which replaces members.
    pub fn run_with_maintenance(&mut self, length: Duration) {
        let end = self.cluster.now + length;
        while self.cluster.now < end && self.cluster.checker.violation.is_none() {
            let next = end.min(self.next_maintenance.max(self.cluster.now));
            self.cluster.run_until(next);
            if self.cluster.now >= self.next_maintenance {
                self.next_maintenance = self.cluster.now + MAINTENANCE_INTERVAL;
                self.run_maintenance();
            }
        }
    }

    fn perform_random_action(&mut self) {
        match self.cluster.random.random_range(0..100) {
            0..45 => self.propose_to_leaders(),
            45..52 => self.cut_random_link(),
            52..55 => self.isolate_random_daemon(),
            55..70 => self.cluster.network.heal(),
            70..73 => self.degrade_links(),
            73..77 => self.pause_random_daemon(),
            77..93 => self.lose_memory_of_random_daemon(),
            93..97 => self.restart_dead_daemons(),
            _ => self.transfer_leadership(),
        }
    }

    fn random_daemon(&mut self) -> DaemonId {
        DaemonId(self.cluster.random.random_range(1..=self.schedule.daemons))
    }

    fn propose_to_leaders(&mut self) {
        let count = self.cluster.random.random_range(1..6);
        let leads = |daemon: &DaemonId| self.cluster.nodes[daemon].replica.role() == Role::Leader;
        let leaders: Vec<DaemonId> = self.cluster.nodes.keys().copied().filter(leads).collect();
        for leader in leaders {
            if !self.is_active(leader) {
                continue;
            }
            for _ in 0..count {
                self.next_payload += 1;
                let payload = self.next_payload.to_le_bytes();
                let proposal = self.cluster.propose(leader, &payload);
                self.proposals.extend(proposal);
            }
        }
    }

    fn is_active(&self, daemon: DaemonId) -> bool {
        let node = &self.cluster.nodes[&daemon];
        node.is_running && node.paused_until <= self.cluster.now
    }

    fn cut_random_link(&mut self) {
        let (one, other) = (self.random_daemon(), self.random_daemon());
        self.cluster.network.cut_one_way(one, other);
        if self.cluster.random.random_bool(0.5) {
            self.cluster.network.cut_one_way(other, one);
        }
    }

    /// Cuts one daemon off, in both directions or only for sending or receiving.
    fn isolate_random_daemon(&mut self) {
        let one = self.random_daemon();
        let (can_receive, can_send) =
            (self.cluster.random.random_bool(0.3), self.cluster.random.random_bool(0.3));
        for other in (1..=self.schedule.daemons).map(DaemonId).filter(|other| *other != one) {
            if !can_send {
                self.cluster.network.cut_one_way(one, other);
            }
            if !can_receive {
                self.cluster.network.cut_one_way(other, one);
            }
        }
    }

    fn degrade_links(&mut self) {
        let random = &mut self.cluster.random;
        self.cluster.network.loss = random.random_range(0.0..0.3);
        self.cluster.network.duplication = random.random_range(0.0..0.3);
        self.cluster.network.max_delay = Duration::from_millis(random.random_range(2..400));
    }

    fn pause_random_daemon(&mut self) {
        let daemon = self.random_daemon();
        let length = Duration::from_millis(self.cluster.random.random_range(100..4_000));
        self.cluster.pause(daemon, length);
    }

    fn lose_memory_of_random_daemon(&mut self) {
        let daemon = self.random_daemon();
        if !self.may_lose_memory(daemon) {
            return;
        }
        self.cluster.counts.memory_losses += 1;
        self.memory_lost_at = self.cluster.now;
        self.cluster.kill(daemon);
        if self.cluster.random.random_bool(0.7) {
            self.cluster.restart_empty(daemon);
        }
    }

    /// Whether each configuration that a replica uses retains a quorum of voters that are intact and not
    /// disturbed: at most a minority of voters may be dead, cut off or paused when a daemon loses its
    /// memory.
    ///
    /// Soon after another loss, each learner counts as a voter too: a leader that has not detected the
    /// death yet may be about to promote a dead learner. See docs/design/replication.md.
    fn may_lose_memory(&self, daemon: DaemonId) -> bool {
        let is_soon_after_loss = self.cluster.now.since(self.memory_lost_at) < DEATH_DETECTION_TIME;
        let mut configurations: BTreeSet<BTreeSet<ReplicaId>> = BTreeSet::new();
        for node in self.cluster.nodes.values().filter(|node| node.is_running) {
            let Members { voters, learners } = node.replica.members();
            configurations.insert(voters.clone());
            for learner in learners.iter().filter(|_| is_soon_after_loss) {
                configurations.insert(voters.iter().chain([learner]).copied().collect());
            }
        }
        configurations.into_iter().filter(|voters| !voters.is_empty()).all(|voters| {
            let intact = voters.iter().filter(|voter| {
                let node = &self.cluster.nodes[&voter.daemon];
                let is_same = node.is_running && node.replica.id() == **voter;
                voter.daemon != daemon && is_same && !self.was_recently_disturbed(voter.daemon)
            });
            intact.count() >= Members::of_voters(voters.iter().copied()).quorum()
        })
    }

    /// Whether a daemon is or recently was paused, or cut off from another one.
    fn was_recently_disturbed(&self, daemon: DaemonId) -> bool {
        let disturbed_at = self.disturbed_at.get(&daemon).copied();
        disturbed_at.is_some_and(|at| self.cluster.now.since(at) < DISTURBANCE_DURATION)
    }

    fn record_disturbances(&mut self) {
        let now = self.cluster.now;
        for (one, other) in &self.cluster.network.cuts {
            self.disturbed_at.insert(*one, now);
            self.disturbed_at.insert(*other, now);
        }
        for (daemon, node) in &self.cluster.nodes {
            let is_new = node.replica.committed() == LogIndex(0);
            if node.paused_until > now || is_new || self.cluster.network.loss > 0.0 {
                self.disturbed_at.insert(*daemon, now);
            }
        }
    }

    fn restart_dead_daemons(&mut self) {
        let dead = self.cluster.nodes.iter().filter(|(_, node)| !node.is_running);
        let dead: Vec<DaemonId> = dead.map(|(daemon, _)| *daemon).collect();
        for daemon in dead {
            self.cluster.restart_empty(daemon);
        }
    }

    fn transfer_leadership(&mut self) {
        let Some(leader) = self.cluster.leader() else { return };
        let voters = self.cluster.nodes[&leader].replica.members().voters.clone();
        let index = self.cluster.random.random_range(0..voters.len());
        let Some(to) = voters.into_iter().nth(index) else { return };
        // Rejected if the target is the leader itself.
        if self.cluster.replica_mut(leader).transfer_leadership(to).is_ok() {
            self.cluster.process(leader);
        }
    }

    fn run_maintenance(&mut self) {
        self.past_views.push((self.cluster.now, self.current_view()));
        let now = self.cluster.now;
        for daemon in self.cluster.nodes.keys().copied().collect::<Vec<DaemonId>>() {
            if !self.is_active(daemon) {
                continue;
            }
            let status = self.cluster.nodes[&daemon].replica.status();
            let view = self.stale_view();
            let settings = MaintenanceSettings {
                voters: self.schedule.voters as usize,
                dead_grace_ms: 1_000,
                silent_grace_ms: 4_000,
                ..MaintenanceSettings::default()
            };
            let mut rate_limit = BalanceRateLimit::new(&settings, now);
            let maintenance =
                self.maintenance.entry(daemon).or_insert_with(|| Maintenance::new(settings));
            let Some(step) = maintenance.next_step(&status, &view, &mut rate_limit, now) else {
                continue;
            };
            let replica = self.cluster.replica_mut(daemon);
            // A rejected step is part of the schedule; it is returned again later.
            let _rejection = match step {
                MaintenanceStep::Change(change) => replica.change_members(change).err().map(drop),
                MaintenanceStep::Transfer(to) => replica.transfer_leadership(to).err().map(drop),
            };
            self.cluster.process(daemon);
        }
    }

    fn current_view(&self) -> ClusterView {
        let mut view = ClusterView::default();
        for (daemon, node) in &self.cluster.nodes {
            let liveness = if node.is_running { Liveness::Live } else { Liveness::Dead };
            let entry = DaemonView {
                incarnation: node.replica.id().incarnation,
                zone: Zone(format!("zone-{}", daemon.0 % ZONES)),
                region: Region("region".to_owned()),
                liveness,
                holds_groups: true,
                replicas: 0,
                leaderships: 0,
            };
            view.daemons.insert(*daemon, entry);
        }
        view
    }

    /// The true view of up to five seconds ago. Sometimes it wrongly declares a daemon dead.
    fn stale_view(&mut self) -> ClusterView {
        let lag = Duration::from_millis(self.cluster.random.random_range(0..5_000));
        let limit = self.cluster.now - lag;
        let seen = self.past_views.iter().rev().find(|(at, _)| *at <= limit);
        let mut view = seen.map(|(_, view)| view.clone()).unwrap_or_default();
        let count_wrongly_dead = self.random_daemon();
        if self.cluster.random.random_bool(0.1)
            && let Some(daemon) = view.daemons.get_mut(&count_wrongly_dead)
        {
            daemon.liveness = Liveness::Dead;
        }
        view
    }

    /// Ends all faults. The group must then have a leader, commit, and agree on all voters.
    fn end_faults_and_check(&mut self) {
        self.cluster.network.heal();
        self.restart_dead_daemons();
        for node in self.cluster.nodes.values_mut() {
            node.paused_until = Timestamp::ZERO;
        }
        self.run_with_maintenance(Duration::from_secs(12));
        let Some(leader) = self.cluster.leader() else {
            self.cluster.checker.report("no leader after all faults ended".to_owned());
            return;
        };
        let Ok(last) = self.cluster.propose(leader, b"last") else {
            self.cluster
                .checker
                .report("the leader rejects proposals after all faults ended".to_owned());
            return;
        };
        self.run_with_maintenance(Duration::from_secs(2));
        if !self.cluster.is_committed(last) {
            self.cluster.checker.report("nothing is committed after all faults ended".to_owned());
        }
        self.check_agreement(leader);
    }

    fn check_agreement(&mut self, leader: DaemonId) {
        let checker = &mut self.cluster.checker;
        let replica = &self.cluster.nodes[&leader].replica;
        for voter in &replica.members().voters {
            let node = &self.cluster.nodes[&voter.daemon];
            if node.replica.id() != *voter {
                checker.report(format!("{voter} votes although its incarnation ended"));
            } else if node.machine != checker.committed {
                checker.report(format!("{voter} lacks or changed committed entries"));
            }
        }
    }

    /// The event counts of the run.
    pub fn counts(&self) -> Counts {
        let committed =
            self.proposals.iter().filter(|proposal| self.cluster.is_committed(**proposal));
        let committed = committed.count() as u64;
        Counts { proposed: self.proposals.len() as u64, committed, ..self.cluster.counts }
    }
}
