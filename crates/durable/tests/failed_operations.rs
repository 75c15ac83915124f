//! The log after one failed disk operation, each test for a failure that was found.

mod support;

use std::io::ErrorKind;

use dahlia_durable::{DurableLog, LogError, OpenedLog};
use dahlia_types::Incarnation;
use support::disk::{FailedOperation, FailurePoint, MemoryDisk};
use support::{image, settings, update};

/// Each seed draws what a failed sync and a power loss leave.
const SEEDS: u64 = 100;
const POINTS: [FailurePoint; 3] = [FailurePoint::Before, FailurePoint::Midway, FailurePoint::After];

fn open(disk: &MemoryDisk) -> Result<OpenedLog, LogError> {
    DurableLog::open(disk.handle(), settings(), Incarnation(7))
}

fn fail_operation(disk: &MemoryDisk, operations_before: u64, point: FailurePoint) {
    let error = ErrorKind::Other;
    disk.fail_operation(Some(FailedOperation { operations_before, point, error }));
}

/// Guards against a log that does not open. A failed sync had dropped a frame or a header that the
/// next process still read and built on; the power loss then took it.
#[test]
fn what_was_read_after_a_failed_sync_survives_a_power_loss() {
    for seed in 0..SEEDS {
        let disk = MemoryDisk::new(seed);
        let mut log = open(&disk).unwrap().log;
        log.append(&[image(1, 0, 10)]).unwrap();
        // The first operation writes the frame, the second one syncs it.
        fail_operation(&disk, 1, FailurePoint::Midway);
        assert!(log.append(&[update(1, 1, 20)]).is_err());
        drop(log);
        let read = open(&disk).unwrap().replicas;
        disk.lose_power();
        let opened = open(&disk).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert_eq!(opened.replicas, read, "seed {seed}");
    }
}

/// Guards against a log that does not open. The start of a segment had failed after its header was
/// written, and appends went on in the segment before it.
#[test]
fn appends_after_a_failed_advance_of_the_incarnation_are_read_back() {
    for (operations, point) in (0..4).flat_map(|before| POINTS.map(|point| (before, point))) {
        let disk = MemoryDisk::new(1);
        let mut log = open(&disk).unwrap().log;
        fail_operation(&disk, operations, point);
        assert!(log.advance_incarnation(Incarnation(20)).is_err());
        log.append(&[image(1, 0, 10)]).unwrap();
        drop(log);
        let opened = open(&disk)
            .unwrap_or_else(|error| panic!("{operations} operations, {point:?}: {error}"));
        assert_eq!(opened.replicas.len(), 1);
        assert_eq!(opened.log.identity().incarnation, Incarnation(7));
    }
}

/// Guards against a log that does not open. The segment of a failed append still had its bytes when
/// the next segment was started.
#[test]
fn a_failed_advance_after_a_failed_append_leaves_a_log_that_opens() {
    for (operations, point) in (0..6).flat_map(|before| POINTS.map(|point| (before, point))) {
        let disk = MemoryDisk::new(1);
        let mut log = open(&disk).unwrap().log;
        fail_operation(&disk, 0, FailurePoint::Midway);
        assert!(log.append(&[image(1, 0, 10)]).is_err());
        fail_operation(&disk, operations, point);
        // It succeeds if the failed operation only removes the segment before.
        let _ = log.advance_incarnation(Incarnation(20));
        drop(log);
        open(&disk).unwrap_or_else(|error| panic!("{operations} operations, {point:?}: {error}"));
    }
}

/// Guards against a log that does not open. A power loss had brought back the torn end of a segment
/// whose truncation was read although its sync had failed.
#[test]
fn a_torn_end_that_comes_back_in_an_older_segment_is_ignored() {
    for seed in 0..SEEDS {
        let disk = MemoryDisk::new(seed);
        let mut log = open(&disk).unwrap().log;
        log.append(&[image(1, 0, 10)]).unwrap();
        fail_operation(&disk, 1, FailurePoint::Before);
        assert!(log.append(&[update(1, 1, 20)]).is_err());
        drop(log);
        disk.lose_power();
        // The first operation truncates the torn end, if there is one.
        fail_operation(&disk, 0, FailurePoint::Midway);
        assert!(open(&disk).is_err());
        let mut log = open(&disk).unwrap().log;
        log.append(&[image(2, 0, 10)]).unwrap();
        drop(log);
        disk.lose_power();
        let opened = open(&disk).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert_eq!(opened.replicas.len(), 2, "seed {seed}");
    }
}

/// Guards against a missing segment. The name of an unfinished segment was not durable when the next
/// one was created after it, and only the later name survived a power loss.
#[test]
fn a_power_loss_while_opening_after_an_unfinished_start_leaves_no_gap() {
    let cases = (0..SEEDS).flat_map(|seed| (0..8).map(move |operations| (seed, operations)));
    for (seed, operations) in cases {
        let disk = MemoryDisk::new(seed);
        let mut log = open(&disk).unwrap().log;
        // The operations create a file, write and sync its header, and sync the folder.
        fail_operation(&disk, 3, FailurePoint::Before);
        assert!(log.advance_incarnation(Incarnation(20)).is_err());
        drop(log);
        disk.lose_power_after(operations);
        let _ = open(&disk);
        disk.lose_power();
        open(&disk).unwrap_or_else(|error| panic!("seed {seed}, {operations} operations: {error}"));
    }
}
