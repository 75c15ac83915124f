//! The log on a disk that loses power, runs full and is emptied.

mod support;

use std::collections::BTreeMap;

use dahlia_durable::{Disk, DurableLog, FolderDisk, LogError, OpenedLog};
use dahlia_replication::group::{DurableChange, DurableReplica};
use dahlia_types::{GroupId, Incarnation};
use support::disk::MemoryDisk;
use support::{image, settings, update};

const GROUPS: u32 = 3;

/// What the log should hold, and the log.
struct Written {
    log: DurableLog,
    expected: BTreeMap<GroupId, DurableReplica>,
    /// The change that is being appended: it may or may not be there after a loss of power.
    in_flight: Option<DurableChange>,
}

fn open(disk: Box<dyn Disk>) -> OpenedLog {
    DurableLog::open(disk, settings(), Incarnation(7)).expect("the log opens")
}

impl Written {
    fn new(disk: Box<dyn Disk>) -> Self {
        Self::go_on(open(disk).log, BTreeMap::new())
    }

    fn go_on(log: DurableLog, expected: BTreeMap<GroupId, DurableReplica>) -> Self {
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

    /// Entry after entry, and images where the log wants them.
    fn step(&mut self, number: u64) -> Result<(), LogError> {
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
fn what_was_appended_comes_back_and_the_disk_stays_bounded() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("groups");
    let mut written = Written::new(Box::new(FolderDisk::open(&path).unwrap()));
    let identity = written.log.identity();
    let mut most = 0;
    for number in 0..600 {
        written.step(number).unwrap();
        most = most.max(written.log.bytes());
    }
    let files = std::fs::read_dir(&path).unwrap();
    let on_disk: u64 = files.map(|file| file.unwrap().metadata().unwrap().len()).sum();
    assert_eq!(on_disk, written.log.bytes());
    assert!(most < 16 * 1024, "{most} bytes of a limit of 8 KiB and one segment");
    drop(written.log);
    let opened = open(Box::new(FolderDisk::open(&path).unwrap()));
    assert_eq!(by_group(opened.replicas), written.expected);
    assert_eq!(opened.log.identity().incarnation, identity.incarnation);
    assert_eq!(opened.log.identity().start_count, identity.start_count + 1);
}

#[test]
fn a_loss_of_power_at_any_step_keeps_all_that_was_acknowledged() {
    for seed in 0..8 {
        for left in 0..400 {
            lose_power_once(seed, left);
        }
    }
}

fn lose_power_once(seed: u64, left: u64) {
    let disk = MemoryDisk::new(seed * 1_000 + left);
    let mut written = Written::new(disk.handle());
    disk.lose_power_after(left);
    let mut number = 0;
    while written.step(number).is_ok() {
        number += 1;
        if disk.is_dead() {
            break;
        }
    }
    disk.lose_power();
    let opened = open(disk.handle());
    let found = by_group(opened.replicas);
    if found != written.expected {
        let in_flight = written.in_flight.take();
        written.apply(in_flight.expect("without a change in flight all is known"));
        assert_eq!(found, written.expected, "seed {seed}, step {left}");
    }
    // It goes on from there, over a second loss while it is opened.
    let mut again = Written::go_on(opened.log, found);
    for number in 0..GROUPS {
        again.step(u64::from(number)).unwrap();
    }
    disk.lose_power_after(left % 5);
    let _ = DurableLog::open(disk.handle(), settings(), Incarnation(9));
    disk.lose_power();
    assert_eq!(by_group(open(disk.handle()).replicas), again.expected, "seed {seed}, {left}");
}

#[test]
fn a_death_of_the_process_and_then_a_loss_of_power_keep_all_that_was_read_back() {
    for seed in 0..8 {
        for left in 0..100 {
            die_then_lose_power(seed, left);
        }
    }
}

/// What a process wrote without a sync is there for its next life, which goes on from it.
fn die_then_lose_power(seed: u64, left: u64) {
    let disk = MemoryDisk::new(seed * 1_000 + left);
    let mut written = Written::new(disk.handle());
    disk.lose_power_after(left);
    let mut number = 0;
    while written.step(number).is_ok() {
        number += 1;
    }
    disk.kill();
    let opened = open(disk.handle());
    let found = by_group(opened.replicas);
    let mut again = Written::go_on(opened.log, found);
    for number in 0..GROUPS {
        again.step(u64::from(number)).unwrap();
    }
    disk.lose_power();
    assert_eq!(by_group(open(disk.handle()).replicas), again.expected, "seed {seed}, {left}");
}

#[test]
fn a_full_disk_loses_nothing_that_was_acknowledged_and_goes_on_when_there_is_room() {
    let disk = MemoryDisk::new(3);
    let mut written = Written::new(disk.handle());
    for number in 0..10 {
        written.step(number).unwrap();
    }
    disk.set_capacity(disk.bytes() + 100);
    let refused = written.step(10);
    assert!(matches!(refused, Err(LogError::Full { .. })), "{refused:?}");
    assert!(written.step(10).unwrap_err().is_full());
    let reopened = disk.clone();
    reopened.set_capacity(usize::MAX);
    written.step(10).unwrap();
    drop(written.log);
    disk.lose_power();
    assert_eq!(by_group(open(disk.handle()).replicas), written.expected);
}

#[test]
fn a_start_on_a_full_disk_waits_for_room_and_finds_everything() {
    let disk = MemoryDisk::new(3);
    let mut written = Written::new(disk.handle());
    for number in 0..10 {
        written.step(number).unwrap();
    }
    let life = written.log.identity().start_count;
    drop(written.log);
    // Room for a part of a segment's beginning only.
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
    assert_eq!(opened.log.identity().start_count, life + 1);
    assert_eq!(by_group(opened.replicas), written.expected);
}

#[test]
fn a_disk_that_was_emptied_begins_another_incarnation() {
    let disk = MemoryDisk::new(1);
    let first = open(disk.handle()).log.identity();
    disk.wipe();
    let opened = DurableLog::open(disk.handle(), settings(), Incarnation(8)).unwrap();
    assert!(opened.replicas.is_empty());
    assert!(opened.log.identity().incarnation > first.incarnation);
    assert_eq!(opened.log.identity().start_count, 1);
}

#[test]
fn a_missing_segment_and_changes_without_a_beginning_are_errors() {
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
    disk.clone().remove(&disk.names()[1]).unwrap();
    assert!(matches!(
        DurableLog::open(disk.handle(), settings(), Incarnation(7)),
        Err(LogError::MissingSegment { .. })
    ));
}

#[test]
fn a_log_without_groups_takes_a_later_incarnation_and_one_with_groups_does_not() {
    let disk = MemoryDisk::new(1);
    let mut log = open(disk.handle()).log;
    assert!(log.advance_incarnation(Incarnation(20)).unwrap());
    let mut log = open(disk.handle()).log;
    assert_eq!((log.identity().incarnation, log.identity().start_count), (Incarnation(21), 1));
    assert!(!log.advance_incarnation(Incarnation(20)).unwrap(), "it is later already");
    log.append(&[image(1, 0, 10)]).unwrap();
    assert!(!log.advance_incarnation(Incarnation(30)).unwrap());
    let opened = open(disk.handle());
    assert_eq!(opened.log.identity().incarnation, Incarnation(21));
    assert_eq!(opened.replicas.len(), 1);
}
