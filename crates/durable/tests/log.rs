//! The log on a disk that loses power, becomes full or is replaced by an empty one.

mod support;

use std::collections::BTreeMap;

use dahlia_durable::{Disk, DurableLog, FolderDisk, LogError, OpenedLog};
use dahlia_replication::group::{DurableChange, DurableReplica};
use dahlia_types::{GroupId, Incarnation};
use support::disk::MemoryDisk;
use support::{image, settings, update};

const GROUPS: u32 = 3;

/// A log with the replicas that it should contain.
struct TrackedLog {
    log: DurableLog,
    expected: BTreeMap<GroupId, DurableReplica>,
    /// The change that is being appended, which may or may not survive a power loss.
    in_flight: Option<DurableChange>,
}

fn open(disk: Box<dyn Disk>) -> OpenedLog {
    DurableLog::open(disk, settings(), Incarnation(7)).expect("the log opens")
}

impl TrackedLog {
    fn new(disk: Box<dyn Disk>) -> Self {
        Self::with_replicas(open(disk).log, BTreeMap::new())
    }

    fn with_replicas(log: DurableLog, expected: BTreeMap<GroupId, DurableReplica>) -> Self {
        Self { log, expected, in_flight: None }
    }

    fn apply(&mut self, change: DurableChange) {
        match change {
            DurableChange::Image(image) => drop(self.expected.insert(image.group, *image)),
            DurableChange::Update { group, update } => {
                self.expected.get_mut(&group).unwrap().apply(update).unwrap();
            }
        }
    }

    fn append(&mut self, change: DurableChange) -> Result<(), LogError> {
        self.in_flight = Some(change.clone());
        self.log.append(std::slice::from_ref(&change))?;
        self.in_flight = None;
        self.apply(change);
        Ok(())
    }

    /// Appends the images that the log needs, then the next entry of a group.
    fn append_next(&mut self, number: u64) -> Result<(), LogError> {
        for group in self.log.groups_needing_image() {
            let last = self.expected[&group].last_index().0;
            self.append(image(group.0, last, 200))?;
        }
        let group = (number % u64::from(GROUPS)) as u32;
        let Some(replica) = self.expected.get(&GroupId(group)) else {
            return self.append(image(group, 0, 0));
        };
        let next = replica.last_index().0 + 1;
        self.append(update(group, next, 150))
    }
}

fn by_group(replicas: Vec<DurableReplica>) -> BTreeMap<GroupId, DurableReplica> {
    replicas.into_iter().map(|replica| (replica.group, replica)).collect()
}

#[test]
fn appended_changes_are_read_back_and_the_log_size_is_bounded() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("groups");
    let mut tracked = TrackedLog::new(Box::new(FolderDisk::open(&path).unwrap()));
    let identity = tracked.log.identity();
    let mut max_bytes = 0;
    for number in 0..600 {
        tracked.append_next(number).unwrap();
        max_bytes = max_bytes.max(tracked.log.bytes());
    }
    let files = std::fs::read_dir(&path).unwrap();
    let on_disk: u64 = files.map(|file| file.unwrap().metadata().unwrap().len()).sum();
    assert_eq!(on_disk, tracked.log.bytes());
    assert!(max_bytes < 16 * 1024, "{max_bytes} bytes of a limit of 8 KiB and one segment");
    drop(tracked.log);
    let opened = open(Box::new(FolderDisk::open(&path).unwrap()));
    assert_eq!(by_group(opened.replicas), tracked.expected);
    assert_eq!(opened.log.identity().incarnation, identity.incarnation);
    assert_eq!(opened.log.identity().start_count, identity.start_count + 1);
}

#[test]
fn a_power_loss_at_any_operation_keeps_acknowledged_changes() {
    for seed in 0..8 {
        for operations in 0..400 {
            lose_power_once(seed, operations);
        }
    }
}

fn lose_power_once(seed: u64, operations: u64) {
    let disk = MemoryDisk::new(seed * 1_000 + operations);
    let mut tracked = TrackedLog::new(disk.handle());
    disk.lose_power_after(operations);
    let mut number = 0;
    while tracked.append_next(number).is_ok() {
        number += 1;
        if disk.has_no_power() {
            break;
        }
    }
    disk.lose_power();
    let opened = open(disk.handle());
    let found = by_group(opened.replicas);
    if found != tracked.expected {
        let in_flight = tracked.in_flight.take();
        tracked.apply(in_flight.expect("only a change in flight explains a difference"));
        assert_eq!(found, tracked.expected, "seed {seed}, {operations} operations");
    }
    // Appends continue from there, also over a second power loss while the log is opened.
    let mut resumed = TrackedLog::with_replicas(opened.log, found);
    for number in 0..GROUPS {
        resumed.append_next(u64::from(number)).unwrap();
    }
    disk.lose_power_after(operations % 5);
    let _ = DurableLog::open(disk.handle(), settings(), Incarnation(9));
    disk.lose_power();
    assert_eq!(
        by_group(open(disk.handle()).replicas),
        resumed.expected,
        "seed {seed}, {operations} operations"
    );
}

#[test]
fn a_restart_and_then_a_power_loss_keep_all_changes_read_back() {
    for seed in 0..8 {
        for operations in 0..100 {
            restart_then_lose_power(seed, operations);
        }
    }
}

/// Writes without a sync survive a restart of the process, so the new process builds on them. A
/// power loss after that must not erase them.
fn restart_then_lose_power(seed: u64, operations: u64) {
    let disk = MemoryDisk::new(seed * 1_000 + operations);
    let mut tracked = TrackedLog::new(disk.handle());
    disk.lose_power_after(operations);
    let mut number = 0;
    while tracked.append_next(number).is_ok() {
        number += 1;
    }
    disk.restart_process();
    let opened = open(disk.handle());
    let found = by_group(opened.replicas);
    let mut resumed = TrackedLog::with_replicas(opened.log, found);
    for number in 0..GROUPS {
        resumed.append_next(u64::from(number)).unwrap();
    }
    disk.lose_power();
    assert_eq!(
        by_group(open(disk.handle()).replicas),
        resumed.expected,
        "seed {seed}, {operations} operations"
    );
}

#[test]
fn a_full_disk_keeps_acknowledged_changes_and_accepts_more_once_it_has_space() {
    let disk = MemoryDisk::new(3);
    let mut tracked = TrackedLog::new(disk.handle());
    for number in 0..10 {
        tracked.append_next(number).unwrap();
    }
    disk.set_capacity(disk.bytes() + 100);
    let refused = tracked.append_next(10);
    assert!(matches!(refused, Err(LogError::Full { .. })), "{refused:?}");
    assert!(tracked.append_next(10).unwrap_err().is_full());
    let disk_handle = disk.clone();
    disk_handle.set_capacity(usize::MAX);
    tracked.append_next(10).unwrap();
    drop(tracked.log);
    disk.lose_power();
    assert_eq!(by_group(open(disk.handle()).replicas), tracked.expected);
}

#[test]
fn a_start_on_a_full_disk_waits_for_space_and_reads_everything() {
    let disk = MemoryDisk::new(3);
    let mut tracked = TrackedLog::new(disk.handle());
    for number in 0..10 {
        tracked.append_next(number).unwrap();
    }
    let start_count = tracked.log.identity().start_count;
    drop(tracked.log);
    // There is space for a part of a segment's header only.
    disk.set_capacity(disk.bytes() + 5);
    let refused = DurableLog::open(disk.handle(), settings(), Incarnation(9)).err();
    assert!(refused.is_some_and(|error| error.is_full()));
    let mut waits = 0;
    let wait = |error: &LogError| {
        assert!(error.is_full(), "{error}");
        waits += 1;
        if waits == 3 {
            disk.set_capacity(usize::MAX);
        }
    };
    let handle = || disk.handle();
    let opened =
        DurableLog::open_waiting_for_space(handle, &settings(), Incarnation(9), wait).unwrap();
    assert_eq!(waits, 3);
    assert_eq!(opened.log.identity().start_count, start_count + 1);
    assert_eq!(by_group(opened.replicas), tracked.expected);
}

#[test]
fn an_emptied_disk_starts_a_new_incarnation() {
    let disk = MemoryDisk::new(1);
    let first = open(disk.handle()).log.identity();
    disk.wipe();
    let opened = DurableLog::open(disk.handle(), settings(), Incarnation(8)).unwrap();
    assert!(opened.replicas.is_empty());
    assert!(opened.log.identity().incarnation > first.incarnation);
    assert_eq!(opened.log.identity().start_count, 1);
}

#[test]
fn a_missing_segment_and_updates_without_an_image_are_errors() {
    let disk = MemoryDisk::new(1);
    drop(open(disk.handle()).log.append(&[update(1, 1, 10)]));
    assert!(matches!(
        DurableLog::open(disk.handle(), settings(), Incarnation(7)),
        Err(LogError::Replay { .. })
    ));
    let disk = MemoryDisk::new(1);
    let mut log = open(disk.handle()).log;
    log.append(&[image(1, 0, 10)]).unwrap();
    drop(open(disk.handle()));
    drop(open(disk.handle()));
    disk.clone().remove(&disk.file_names()[1]).unwrap();
    assert!(matches!(
        DurableLog::open(disk.handle(), settings(), Incarnation(7)),
        Err(LogError::MissingSegment { .. })
    ));
}

#[test]
fn only_a_log_without_groups_advances_its_incarnation() {
    let disk = MemoryDisk::new(1);
    let mut log = open(disk.handle()).log;
    assert!(log.advance_incarnation(Incarnation(20)).unwrap());
    let mut log = open(disk.handle()).log;
    assert_eq!((log.identity().incarnation, log.identity().start_count), (Incarnation(21), 1));
    assert!(!log.advance_incarnation(Incarnation(20)).unwrap(), "the incarnation is already later");
    log.append(&[image(1, 0, 10)]).unwrap();
    assert!(!log.advance_incarnation(Incarnation(30)).unwrap());
    let opened = open(disk.handle());
    assert_eq!(opened.log.identity().incarnation, Incarnation(21));
    assert_eq!(opened.replicas.len(), 1);
}
