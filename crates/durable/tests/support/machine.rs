//! One machine: a disk, a log and a replica, driven as the daemon's core does.

use std::collections::BTreeMap;

use dahlia_durable::{DurableLog, LogError};
use dahlia_replication::group::{
    DurableChange, GroupMessage, GroupSettings, Output, Replica, Snapshot,
};
use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, LogIndex, ReplicaId, Timestamp};

use super::disk::MemoryDisk;
use super::settings;

pub const GROUP: GroupId = GroupId(7);
const CONFIG: bincode::config::Configuration = bincode::config::standard();

/// Mechanisms that a test takes away to show that the checker notices.
#[derive(Debug, Clone, Copy, Default)]
pub struct Switches {
    /// Messages and acknowledgements leave before the sync that they depend on.
    pub acknowledge_before_sync: bool,
    /// Events are handled while the sync of the batch before them is under way.
    pub overlap_batches: bool,
    /// A machine that lost its disk speaks as the replica that it was.
    pub keep_identity_after_wipe: bool,
}

/// Entries by place: the whole state machine.
pub type State = BTreeMap<LogIndex, Vec<u8>>;

/// What left a machine.
#[derive(Debug, Default)]
pub struct Left {
    pub messages: Vec<GroupMessage>,
    /// Entries that it answers its callers for, or has applied for good.
    pub committed: Vec<(LogIndex, Vec<u8>)>,
}

struct Batch {
    synced_at: Timestamp,
    changes: Vec<DurableChange>,
    left: Left,
}

struct Process {
    replica: Replica,
    log: DurableLog,
    state: State,
    inbox: Vec<GroupMessage>,
    syncing: Vec<Batch>,
    wants_image: bool,
}

pub struct Machine {
    pub daemon: DaemonId,
    pub disk: MemoryDisk,
    pub is_wiped: bool,
    pub identity: ReplicaId,
    switches: Switches,
    process: Option<Process>,
}

impl Machine {
    pub fn new(number: u32, seed: u64, switches: Switches) -> Self {
        let daemon = DaemonId(number);
        let identity = ReplicaId { daemon, incarnation: Incarnation(0) };
        let disk = MemoryDisk::new(seed ^ u64::from(number) << 32);
        Self { daemon, disk, is_wiped: false, identity, switches, process: None }
    }

    /// Starts the process with what is on the disk.
    pub fn start(&mut self, first: &[DaemonId], seed: u64, now: Timestamp) {
        let fresh = Incarnation(now.0);
        let opened = DurableLog::open(self.disk.handle(), settings(), fresh).expect("it opens");
        let mut incarnation = opened.log.identity().incarnation;
        if self.is_wiped && self.switches.keep_identity_after_wipe {
            incarnation = self.identity.incarnation;
        }
        self.identity = ReplicaId { daemon: self.daemon, incarnation };
        let group_settings = GroupSettings { is_durable: true, ..GroupSettings::default() };
        let mut state = State::new();
        let replica = match opened.replicas.into_iter().next() {
            Some(durable) => {
                if !durable.base.data.is_empty() {
                    state = decode(&durable.base.data);
                }
                Replica::recover(self.identity, durable, group_settings, seed, now)
            }
            None if first.contains(&self.daemon) && !self.is_wiped => {
                // The layout names first incarnations, which all began at the same time.
                let voter = |daemon: &DaemonId| ReplicaId { daemon: *daemon, incarnation };
                let voters = first.iter().map(voter).collect();
                Replica::bootstrap(self.identity, GROUP, voters, group_settings, seed, now)
            }
            None => Replica::join(self.identity, GROUP, group_settings, seed, now),
        };
        let log = opened.log;
        let (inbox, syncing) = (Vec::new(), Vec::new());
        self.process = Some(Process { replica, log, state, inbox, syncing, wants_image: false });
    }

    pub fn stop(&mut self) {
        self.process = None;
    }

    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    pub fn replica(&mut self) -> Option<&mut Replica> {
        self.process.as_mut().map(|process| &mut process.replica)
    }

    pub fn state(&self) -> Option<&State> {
        self.process.as_ref().map(|process| &process.state)
    }

    pub fn deliver(&mut self, message: GroupMessage) {
        if let Some(process) = &mut self.process {
            process.inbox.push(message);
        }
    }

    /// Ends a due sync, then handles what waits as one batch. The process ends with its power.
    pub fn run(&mut self, sync_time: Duration, now: Timestamp) -> Left {
        let switches = self.switches;
        let Some(process) = &mut self.process else { return Left::default() };
        let mut left = Left::default();
        let result = process
            .end_syncs(now, &mut left)
            .map(|()| process.begin_batch(switches, sync_time, now, &mut left));
        if result.is_err() {
            assert!(self.disk.is_dead(), "{result:?}");
            self.process = None;
        }
        left
    }
}

impl Process {
    fn end_syncs(&mut self, now: Timestamp, left: &mut Left) -> Result<(), LogError> {
        while self.syncing.first().is_some_and(|batch| batch.synced_at <= now) {
            let batch = self.syncing.remove(0);
            self.log.append(&batch.changes)?;
            left.messages.extend(batch.left.messages);
            left.committed.extend(batch.left.committed);
            self.wants_image = !self.log.groups_needing_image().is_empty();
        }
        Ok(())
    }

    fn begin_batch(
        &mut self,
        switches: Switches,
        sync_time: Duration,
        now: Timestamp,
        left: &mut Left,
    ) {
        if !self.syncing.is_empty() && !switches.overlap_batches {
            return;
        }
        for message in std::mem::take(&mut self.inbox) {
            self.replica.step(message, now);
        }
        if self.replica.next_deadline() <= now {
            self.replica.tick(now);
        }
        let mut batch =
            Batch { synced_at: now + sync_time, changes: Vec::new(), left: Left::default() };
        self.take(&mut batch, left);
        if std::mem::take(&mut self.wants_image) {
            let snapshot = bincode::serde::encode_to_vec(&self.state, CONFIG).unwrap();
            batch.changes.extend(self.replica.durable_image(snapshot));
        }
        if batch.changes.is_empty() || switches.acknowledge_before_sync {
            left.messages.append(&mut batch.left.messages);
            left.committed.append(&mut batch.left.committed);
        }
        if !batch.changes.is_empty() {
            self.syncing.push(batch);
        }
    }

    fn take(&mut self, batch: &mut Batch, left: &mut Left) {
        batch.changes.extend(self.replica.take_durable_change());
        let outputs = self.replica.take_outputs();
        let mut is_changed = false;
        for output in outputs {
            match output {
                Output::Send(message) if self.replica.may_send_unsynced(&message) => {
                    left.messages.push(message);
                }
                Output::Send(message) => batch.left.messages.push(message),
                Output::Committed(entry) => {
                    let payload = entry.payload.to_vec();
                    self.state.insert(entry.index, payload.clone());
                    batch.left.committed.push((entry.index, payload));
                }
                Output::Restore(Snapshot { data, .. }) => self.state = decode(&data),
                Output::SnapshotWanted => {
                    let applied = self.replica.applied();
                    let snapshot = bincode::serde::encode_to_vec(&self.state, CONFIG).unwrap();
                    self.replica.provide_snapshot(applied, snapshot);
                    is_changed = true;
                }
                Output::Removed { .. } => {
                    self.replica.retire(Timestamp::ZERO.max(batch.synced_at));
                    self.state.clear();
                    is_changed = true;
                }
                Output::RoleChanged { .. } | Output::MembersChanged { .. } => {}
            }
        }
        if is_changed {
            self.take(batch, left);
        }
    }
}

fn decode(data: &[u8]) -> State {
    bincode::serde::decode_from_slice(data, CONFIG).expect("a state").0
}
