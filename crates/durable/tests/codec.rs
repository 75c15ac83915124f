//! The format of the log, truncated at any byte or with any byte flipped.

mod support;

use dahlia_durable::{DurableLog, LogError, encode_frame, read_frames};
use dahlia_types::Incarnation;
use proptest::prelude::*;
use support::disk::MemoryDisk;
use support::{changes, image, settings, update};

/// Consecutive encoded frames, with 0 and the offset at which each frame ends.
fn encode_frames(frames: usize, seed: u64) -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut ends) = (Vec::new(), vec![0]);
    for sequence in 0..frames as u64 {
        bytes.extend(encode_frame(sequence, &changes(seed + sequence)).unwrap());
        ends.push(bytes.len());
    }
    (bytes, ends)
}

proptest! {
    #[test]
    fn truncation_keeps_the_whole_frames(frames in 1_usize..6, seed: u64, at: prop::sample::Index) {
        let (bytes, ends) = encode_frames(frames, seed % 1_000);
        let cut = at.index(bytes.len() + 1);
        let (read, frame_bytes) = read_frames(&bytes[..cut], 0).unwrap();
        let whole = ends.iter().filter(|end| **end <= cut).count() - 1;
        prop_assert_eq!(read.len(), whole);
        prop_assert_eq!(frame_bytes, ends[whole]);
        for (frame, sequence) in read.iter().zip(0..) {
            prop_assert_eq!(&frame.records, &changes(seed % 1_000 + sequence));
        }
    }

    #[test]
    fn a_flipped_byte_is_an_error_or_tears_the_last_frame(
        frames in 2_usize..6,
        seed: u64,
        at: prop::sample::Index,
        mask in 1_u8..,
    ) {
        let (mut bytes, ends) = encode_frames(frames, seed % 1_000);
        let offset = at.index(bytes.len());
        bytes[offset] ^= mask;
        let read = read_frames(&bytes, 0);
        if offset < ends[frames - 1] {
            prop_assert!(read.is_err(), "byte {} of {:?}", offset, ends);
        } else {
            let (read, frame_bytes) = read.unwrap();
            prop_assert_eq!((read.len(), frame_bytes), (frames - 1, ends[frames - 1]));
        }
    }

    #[test]
    fn arbitrary_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = read_frames(&bytes, 0);
    }

    #[test]
    fn a_flipped_byte_in_an_older_segment_is_an_error(at: prop::sample::Index, mask in 1_u8..) {
        let disk = MemoryDisk::new(1);
        let mut log = DurableLog::open(disk.handle(), settings(), Incarnation(7)).unwrap().log;
        log.append(&[image(1, 0, 10)]).unwrap();
        log.append(&[update(1, 1, 20)]).unwrap();
        drop(DurableLog::open(disk.handle(), settings(), Incarnation(8)).unwrap());
        let first = disk.file_names().into_iter().min().unwrap();
        disk.flip_bits(&first, at.index(disk.file_length(&first)), mask);
        prop_assert!(DurableLog::open(disk.handle(), settings(), Incarnation(9)).is_err());
    }
}

#[test]
fn an_unsupported_format_version_is_reported() {
    let disk = MemoryDisk::new(1);
    drop(DurableLog::open(disk.handle(), settings(), Incarnation(7)).unwrap());
    let name = disk.file_names().remove(0);
    disk.set_version(&name, 9);
    let opened = DurableLog::open(disk.handle(), settings(), Incarnation(7));
    assert!(matches!(opened, Err(LogError::UnsupportedVersion { version: 9, .. })));
}
