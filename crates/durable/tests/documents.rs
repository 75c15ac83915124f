//! Copies of documents on a disk that loses power and contains invalid files.

mod support;

use std::io::ErrorKind;

use dahlia_durable::{CopyError, DocumentCopies, DocumentCopy, OpenedCopies};
use support::disk::{FailedOperation, FailurePoint, MemoryDisk};

fn document(number: u32, version: u64) -> DocumentCopy {
    let length = 100 + (version as usize * 37) % 900;
    DocumentCopy { number, version, bytes: vec![version as u8; length] }
}

fn open(disk: &MemoryDisk) -> OpenedCopies {
    DocumentCopies::open(disk.handle()).expect("the folder is read")
}

#[test]
fn the_newest_copy_of_each_document_is_found() {
    let disk = MemoryDisk::new(1);
    let mut copies = open(&disk).copies;
    for (number, version) in [(1, 4), (2, 9), (1, 7), (1, 6), (2, 10)] {
        copies.save(&document(number, version)).unwrap();
    }
    disk.lose_power();
    let opened = open(&disk);
    assert_eq!(opened.newest, vec![document(1, 7), document(2, 10)]);
    assert_eq!(opened.invalid, Vec::new());
}

/// Guards against a power loss during a write that destroys the current copy: it must stay until
/// the new one is durable.
#[test]
fn a_power_loss_keeps_the_last_saved_copy() {
    for seed in 0..200 {
        let disk = MemoryDisk::new(seed);
        let mut copies = open(&disk).copies;
        disk.lose_power_after(seed % 40);
        let mut durable = 0;
        for version in 1.. {
            if copies.save(&document(1, version)).is_err() {
                break;
            }
            durable = version;
        }
        disk.lose_power();
        let opened = open(&disk);
        let found = opened.newest.first();
        let version = found.map_or(0, |found| found.version);
        assert!(version == durable || version == durable + 1, "seed {seed}: {version}, {durable}");
        assert!(found.is_none_or(|found| *found == document(1, version)), "seed {seed}");
        // The next copy must not overwrite the one that was found.
        let mut copies = opened.copies;
        copies.save(&document(1, version + 5)).unwrap();
        assert_eq!(open(&disk).newest, vec![document(1, version + 5)], "seed {seed}");
    }
}

/// Guards against a copy that an ended process had not synced: the next process found it, overwrote the copy
/// before it, and a power loss took both.
#[test]
fn a_copy_found_at_the_start_survives_a_power_loss_during_the_next_write() {
    let source = MemoryDisk::new(1);
    let mut copies = open(&source).copies;
    copies.save(&document(1, 3)).unwrap();
    let unsynced = source.handle().read("document-1.a").unwrap();
    for seed in 0..200 {
        let disk = MemoryDisk::new(seed);
        let mut copies = open(&disk).copies;
        copies.save(&document(1, 1)).unwrap();
        copies.save(&document(1, 2)).unwrap();
        let mut handle = disk.handle();
        handle.create("document-1.a").unwrap();
        handle.append("document-1.a", &unsynced).unwrap();
        disk.restart_process();
        let OpenedCopies { mut copies, newest, .. } = open(&disk);
        assert_eq!(newest, vec![document(1, 3)], "seed {seed}");
        disk.lose_power_after(seed % 5);
        let _ = copies.save(&document(1, 4));
        disk.lose_power();
        let version = open(&disk).newest.first().map_or(0, |found| found.version);
        assert!(version >= 3, "seed {seed}: only version {version} is left");
    }
}

/// Guards against a copy whose sync had failed: the next process read it from the page cache, and its own sync did
/// not cover what the failed one had dropped.
#[test]
fn a_copy_found_after_a_failed_sync_survives_a_power_loss() {
    for seed in 0..200 {
        let disk = MemoryDisk::new(seed);
        let mut copies = open(&disk).copies;
        copies.save(&document(1, 1)).unwrap();
        copies.save(&document(1, 2)).unwrap();
        // The first operations create the file and write the copy, the next one syncs it.
        disk.fail_operation(Some(FailedOperation {
            operations_before: 2,
            point: FailurePoint::Midway,
            error: ErrorKind::Other,
        }));
        copies.save(&document(1, 3)).unwrap_err();
        let found = open(&disk).newest;
        disk.lose_power();
        assert_eq!(open(&disk).newest, found, "seed {seed}");
    }
}

struct InvalidFileCase {
    name: &'static str,
    file: &'static str,
    damage: fn(&mut Vec<u8>),
    expected: Option<CopyError>,
}

#[test]
fn invalid_files_are_reported_and_skipped() {
    let torn_error = || CopyError::Torn { name: "document-1.b".to_owned() };
    let cases = [
        InvalidFileCase {
            name: "truncated in the header",
            file: "document-1.b",
            damage: |bytes| bytes.truncate(11),
            expected: Some(torn_error()),
        },
        InvalidFileCase {
            name: "truncated in the body",
            file: "document-1.b",
            damage: |bytes| bytes.truncate(60),
            expected: Some(torn_error()),
        },
        InvalidFileCase {
            name: "of another build",
            file: "document-1.b",
            damage: |bytes| {
                bytes[4] = 9;
                update_checksum(bytes);
            },
            expected: Some(CopyError::UnsupportedFormat {
                name: "document-1.b".to_owned(),
                format: 9,
            }),
        },
        InvalidFileCase {
            name: "of another document",
            file: "document-1.b",
            damage: |bytes| {
                bytes[8] = 3;
                update_checksum(bytes);
            },
            expected: Some(CopyError::WrongDocument { name: "document-1.b".to_owned(), number: 3 }),
        },
        InvalidFileCase {
            name: "of another part of the daemon",
            file: "segment-1",
            damage: |bytes| bytes.truncate(3),
            expected: None,
        },
    ];
    for case in cases {
        let source = MemoryDisk::new(1);
        let mut copies = open(&source).copies;
        copies.save(&document(1, 5)).unwrap();
        copies.save(&document(1, 6)).unwrap();
        let mut bytes = source.handle().read("document-1.b").unwrap();
        (case.damage)(&mut bytes);

        let disk = MemoryDisk::new(2);
        open(&disk).copies.save(&document(1, 5)).unwrap();
        let mut handle = disk.handle();
        handle.create(case.file).unwrap();
        handle.append(case.file, &bytes).unwrap();
        let opened = open(&disk);
        assert_eq!(opened.newest, vec![document(1, 5)], "{}", case.name);
        assert_eq!(opened.invalid.first().cloned(), case.expected, "{}", case.name);
    }
}

fn update_checksum(bytes: &mut [u8]) {
    let checksum = crc32c::crc32c(&bytes[4..]).to_le_bytes();
    bytes[..4].copy_from_slice(&checksum);
}
