//! The names of a real folder, and changes that a running store refused.

mod common;

use std::fs;

use common::fault_disk::{Fault, FaultDisk};
use common::key;
use dahlia_store::fault_points::names_failure_file;
use dahlia_store::{ChunkStore, Disk, FolderDisk, StoreSettings};

fn open(disk: &FaultDisk) -> ChunkStore {
    ChunkStore::open(Box::new(disk.clone()), StoreSettings::default())
        .expect("the disk can be read")
        .0
}

/// Guards against a file whose removal an ended process saw but never made durable. Its successor does not see
/// the file, so it removes the records behind it, and a power loss brings the file back.
#[test]
fn a_folder_opens_only_once_its_names_are_durable() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = folder.path().join("chunks");
    drop(FolderDisk::open(&folder).expect("the folder can be opened"));
    let failure = names_failure_file(&folder);
    fs::write(&failure, "").expect("the file can be created");
    assert!(FolderDisk::open(&folder).is_err(), "the names are not durable");
    fs::remove_file(&failure).expect("the file can be removed");
    FolderDisk::open(&folder).expect("the folder can be opened again");
}

/// Guards against a write to a file that has been removed: an open file outlives its name.
#[test]
fn a_file_is_written_anew_after_its_removal() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let mut disk = FolderDisk::open(folder.path()).expect("the folder can be opened");
    disk.append("segment", &[1, 2]).expect("the disk works");
    disk.remove("segment").expect("the disk works");
    disk.append("segment", &[3]).expect("the disk works");
    assert_eq!(disk.read("segment", 0, 1).expect("the file was written"), [3]);
}

/// Guards against a refused change that the running store has taken over: a refused chunk that it calls stored,
/// or a refused removal that it calls done.
#[test]
fn a_refused_change_has_no_effect_in_the_running_store() {
    let faults = [
        Fault::NoEffect,
        Fault::Partial { bytes: 60 },
        Fault::NotSynced,
        Fault::Full { bytes: 60 },
        Fault::Full { bytes: 1_000 },
    ];
    for fault in faults {
        for undo_fails in [false, true] {
            let case = format!("{fault:?}, undo fails: {undo_fails}");
            let disk = FaultDisk::default();
            let mut store = open(&disk);
            let fail = || {
                disk.fail_after(0, fault);
                if undo_fails {
                    disk.fail_after(1, Fault::NoEffect);
                }
            };
            store.put(key(1, 1), &[1; 100]).expect("the disk works");
            fail();
            store.put(key(1, 2), &[2; 100]).expect_err(&case);
            assert_eq!(store.get(&key(1, 2)).expect(&case), None, "{case}");
            store.put(key(1, 1), &[1; 100]).expect("the disk works again");
            fail();
            store.remove(&key(1, 1)).expect_err(&case);
            assert_eq!(store.get(&key(1, 1)).expect(&case), Some(vec![1; 100]), "{case}");
        }
    }
}

/// Guards against a write to a file whose sync has failed: a later sync of it may succeed although bytes are
/// missing. A full disk is no such error, so that its refusals do not start a segment each.
#[test]
fn only_a_full_disk_lets_a_file_be_written_again_after_an_error() {
    let errors = [Fault::NoEffect, Fault::Partial { bytes: 60 }, Fault::NotSynced];
    let expected =
        errors.map(|error| (error, 2)).into_iter().chain([(Fault::Full { bytes: 60 }, 1)]);
    for (fault, files) in expected {
        let disk = FaultDisk::default();
        let mut store = open(&disk);
        store.put(key(1, 1), &[1; 100]).expect("the disk works");
        disk.fail_after(0, fault);
        store.put(key(1, 2), &[2; 100]).expect_err("the write failed");
        store.put(key(1, 2), &[2; 100]).expect("the disk works again");
        assert_eq!(disk.names().len(), files, "{fault:?}");
    }
}

/// Guards against a header that is written before its first record, so that a process that ends in between leaves
/// a file without records.
#[test]
fn a_segment_is_started_by_one_write() {
    let disk = FaultDisk::default();
    let mut store = open(&disk);
    disk.fail_after(1, Fault::NoEffect);
    store.put(key(1, 1), &[1; 100]).expect("only a second operation fails");
}
