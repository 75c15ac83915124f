//! A machine with a disk, a log and a replica, driven like the daemon's core.

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

/// Faults that a test injects to show that the checker detects them.
#[derive(Debug, Clone, Copy, Default)]
pub struct InjectedFaults {
    /// Messages and acknowledgements are sent before the sync that they depend on.
    pub acknowledge_before_sync: bool,
    /// Events are handled while the sync of the previous batch is in progress.
    pub overlap_batches: bool,
    /// A machine that lost its disk keeps its earlier replica identity.
    pub keep_identity_after_wipe: bool,
}

/// The state machine: all committed entries by log index.
pub type State = BTreeMap<LogIndex, Vec<u8>>;

/// The output of a machine.
#[derive(Debug, Default)]
pub struct MachineOutput {
    pub messages: Vec<GroupMessage>,
    /// Entries that it acknowledges to callers or has applied as committed.
    pub committed: Vec<(LogIndex, Vec<u8>)>,
}

struct Batch {
    synced_at: Timestamp,
    changes: Vec<DurableChange>,
    output: MachineOutput,
}

struct Process {
    replica: Replica,
    log: DurableLog,
    state: State,
    inbox: Vec<GroupMessage>,
    syncing: Vec<Batch>,
    needs_image: bool,
}

pub struct Machine {
    pub daemon: DaemonId,
    pub disk: MemoryDisk,
    pub is_wiped: bool,
    pub identity: ReplicaId,
    faults: InjectedFaults,
    process: Option<Process>,
}

impl Machine {
    pub fn new(number: u32, seed: u64, faults: InjectedFaults) -> Self {
        let daemon = DaemonId(number);
        let identity = ReplicaId { daemon, incarnation: Incarnation(0) };
        let disk = MemoryDisk::new(seed ^ u64::from(number) << 32);
        Self { daemon, disk, is_wiped: false, identity, faults, process: None }
    }

    /// Starts the process with the log on the disk.
    pub fn start(&mut self, initial_voters: &[DaemonId], seed: u64, now: Timestamp) {
        let new_incarnation = Incarnation(now.0);
        let opened = DurableLog::open(self.disk.handle(), settings(), new_incarnation)
            .expect("the log opens");
        let mut incarnation = opened.log.identity().incarnation;
        if self.is_wiped && self.faults.keep_identity_after_wipe {
            incarnation = self.identity.incarnation;
        }
        self.identity = ReplicaId { daemon: self.daemon, incarnation };
        let group_settings = GroupSettings { is_durable: true, ..GroupSettings::default() };
        let mut state = State::new();
        let replica = match opened.replicas.into_iter().next() {
            Some(durable) => {
                if !durable.base.data.is_empty() {
                    state = decode_state(&durable.base.data);
                }
                Replica::recover(self.identity, durable, group_settings, seed, now)
            }
            None if initial_voters.contains(&self.daemon) && !self.is_wiped => {
                // The layout names the first incarnations, which all start at the same time.
                let voter = |daemon: &DaemonId| ReplicaId { daemon: *daemon, incarnation };
                let voters = initial_voters.iter().map(voter).collect();
                Replica::bootstrap(self.identity, GROUP, voters, group_settings, seed, now)
            }
            None => Replica::join(self.identity, GROUP, group_settings, seed, now),
        };
        let log = opened.log;
        let (inbox, syncing) = (Vec::new(), Vec::new());
        self.process = Some(Process { replica, log, state, inbox, syncing, needs_image: false });
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

    /// Completes due syncs, then handles all waiting events as one batch. The process ends when the
    /// disk loses its power.
    pub fn run(&mut self, sync_time: Duration, now: Timestamp) -> MachineOutput {
        let faults = self.faults;
        let Some(process) = &mut self.process else { return MachineOutput::default() };
        let mut output = MachineOutput::default();
        let result = process
            .complete_syncs(now, &mut output)
            .map(|()| process.begin_batch(faults, sync_time, now, &mut output));
        if result.is_err() {
            assert!(self.disk.has_no_power(), "{result:?}");
            self.process = None;
        }
        output
    }
}

impl Process {
    fn complete_syncs(
        &mut self,
        now: Timestamp,
        output: &mut MachineOutput,
    ) -> Result<(), LogError> {
        while self.syncing.first().is_some_and(|batch| batch.synced_at <= now) {
            let batch = self.syncing.remove(0);
            self.log.append(&batch.changes)?;
            output.messages.extend(batch.output.messages);
            output.committed.extend(batch.output.committed);
            self.needs_image = !self.log.groups_needing_image().is_empty();
        }
        Ok(())
    }

    fn begin_batch(
        &mut self,
        faults: InjectedFaults,
        sync_time: Duration,
        now: Timestamp,
        output: &mut MachineOutput,
    ) {
        if !self.syncing.is_empty() && !faults.overlap_batches {
            return;
        }
        for message in std::mem::take(&mut self.inbox) {
            self.replica.step(message, now);
        }
        if self.replica.next_deadline() <= now {
            self.replica.tick(now);
        }
        let mut batch = Batch {
            synced_at: now + sync_time,
            changes: Vec::new(),
            output: MachineOutput::default(),
        };
        self.collect_outputs(&mut batch, output);
        if std::mem::take(&mut self.needs_image) {
            let snapshot = bincode::serde::encode_to_vec(&self.state, CONFIG).unwrap();
            batch.changes.extend(self.replica.durable_image(snapshot));
        }
        if batch.changes.is_empty() || faults.acknowledge_before_sync {
            output.messages.append(&mut batch.output.messages);
            output.committed.append(&mut batch.output.committed);
        }
        if !batch.changes.is_empty() {
            self.syncing.push(batch);
        }
    }

    fn collect_outputs(&mut self, batch: &mut Batch, output: &mut MachineOutput) {
        batch.changes.extend(self.replica.take_durable_change());
        let outputs = self.replica.take_outputs();
        let mut has_more_outputs = false;
        for replica_output in outputs {
            match replica_output {
                Output::Send(message) if self.replica.may_send_unsynced(&message) => {
                    output.messages.push(message);
                }
                Output::Send(message) => batch.output.messages.push(message),
                Output::Committed(entry) => {
                    let payload = entry.payload.to_vec();
                    self.state.insert(entry.index, payload.clone());
                    batch.output.committed.push((entry.index, payload));
                }
                Output::Restore(Snapshot { data, .. }) => self.state = decode_state(&data),
                Output::SnapshotWanted => {
                    let applied = self.replica.applied();
                    let snapshot = bincode::serde::encode_to_vec(&self.state, CONFIG).unwrap();
                    self.replica.provide_snapshot(applied, snapshot);
                    has_more_outputs = true;
                }
                Output::Removed { .. } => {
                    self.replica.retire(Timestamp::ZERO.max(batch.synced_at));
                    self.state.clear();
                    has_more_outputs = true;
                }
                Output::RoleChanged { .. } | Output::MembersChanged { .. } => {}
            }
        }
        if has_more_outputs {
            self.collect_outputs(batch, output);
        }
    }
}

fn decode_state(data: &[u8]) -> State {
    bincode::serde::decode_from_slice(data, CONFIG).expect("the state can be decoded").0
}
