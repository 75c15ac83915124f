//! Chunks over restarts, torn writes, full disks and damaged files.

mod common;

use std::collections::BTreeMap;

use common::{MemoryDisk, key};
use dahlia_store::{ChunkStore, FolderDisk, StoreError, StoreSettings};
use dahlia_types::ChunkKey;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn settings() -> StoreSettings {
    StoreSettings {
        max_bytes: 1 << 20,
        segment_bytes: 1_000,
        max_chunk_bytes: 400,
        compact_percent: 50,
    }
}

fn open(disk: &MemoryDisk) -> ChunkStore {
    ChunkStore::open(Box::new(disk.clone()), settings()).expect("the disk can be read").0
}

#[test]
fn a_chunk_survives_a_restart_on_a_real_folder() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let open = || {
        let disk = FolderDisk::open(folder.path()).expect("the folder can be opened");
        ChunkStore::open(Box::new(disk), settings()).expect("the store can be read")
    };
    let (mut store, recovery) = open();
    assert_eq!(recovery.chunks, 0);
    for chunk in 0..20 {
        store.put(key(1, chunk), &[chunk; 300]).expect("the store has space");
    }
    assert!(store.remove(&key(1, 3)).expect("the chunk can be removed"));
    drop(store);
    let (mut store, recovery) = open();
    assert_eq!((recovery.chunks, recovery.torn_bytes, recovery.damaged_bytes), (19, 0, 0));
    assert_eq!(store.get(&key(1, 7)).expect("the store can be read"), Some(vec![7; 300]));
    assert_eq!(store.get(&key(1, 3)).expect("the store can be read"), None);
}

#[test]
fn equal_chunks_of_two_programs_are_stored_separately() {
    let disk = MemoryDisk::default();
    let mut store = open(&disk);
    store.put(key(1, 5), b"the same").expect("the store has space");
    store.put(key(2, 5), b"the same").expect("the store has space");
    store.remove(&key(1, 5)).expect("the chunk can be removed");
    assert_eq!(store.get(&key(2, 5)).expect("the store can be read"), Some(b"the same".to_vec()));
}

/// The contents of a store as its caller knows them from the results.
#[derive(Default)]
struct KnownChunks {
    stored: BTreeMap<ChunkKey, Vec<u8>>,
    /// Chunks whose put or removal failed when the power was lost: they may be stored or not.
    unconfirmed: BTreeMap<ChunkKey, Vec<u8>>,
}

fn random_step(store: &mut ChunkStore, known: &mut KnownChunks, random: &mut ChaCha8Rng) {
    let chosen = key(random.random_range(0..4), random.random_range(0..30));
    match random.random_range(0..10) {
        0..6 => {
            let data = vec![chosen.digest[0]; random.random_range(0..400)];
            let current = known.stored.get(&chosen).cloned();
            match store.put(chosen, &data) {
                Ok(()) => drop(known.stored.insert(chosen, current.unwrap_or(data))),
                Err(_) => drop(known.unconfirmed.insert(chosen, data)),
            }
        }
        6..9 => match store.remove(&chosen) {
            Ok(_) => drop(known.stored.remove(&chosen)),
            Err(_) => {
                if let Some(data) = known.stored.remove(&chosen) {
                    known.unconfirmed.insert(chosen, data);
                }
            }
        },
        _ => drop(store.compact()),
    }
}

fn check_chunks(store: &mut ChunkStore, known: &KnownChunks, seed: u64) {
    for (chunk, data) in &known.stored {
        let found = store.get(chunk).expect("the store can be read");
        assert_eq!(found.as_ref(), Some(data), "seed {seed}: {chunk:?}");
    }
    for found in store.keys(|_| true) {
        let data = store.get(&found).expect("the store can be read").expect("it was listed");
        let expected = known.stored.get(&found).or(known.unconfirmed.get(&found));
        assert_eq!(Some(&data), expected, "seed {seed}: {found:?} should not be there");
    }
}

#[test]
fn acknowledged_writes_survive_a_power_loss_at_any_byte() {
    const SEEDS: u64 = 300;
    let mut torn_starts = 0;
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let disk = MemoryDisk::default();
        let mut known = KnownChunks::default();
        for _ in 0..6 {
            let written_bytes = random.random_range(1..6_000);
            disk.with_state(|state| state.bytes_until_power_loss = None);
            let (mut store, recovery) = ChunkStore::open(Box::new(disk.clone()), settings())
                .expect("the store can be read");
            torn_starts += u64::from(recovery.torn_bytes > 0);
            check_chunks(&mut store, &known, seed);
            // The store has now decided which of the unconfirmed chunks are stored.
            for (chunk, data) in std::mem::take(&mut known.unconfirmed) {
                if store.contains(&chunk) {
                    known.stored.insert(chunk, data);
                }
            }
            disk.with_state(|state| state.bytes_until_power_loss = Some(written_bytes));
            while !disk.has_no_power() {
                random_step(&mut store, &mut known, &mut random);
            }
        }
    }
    assert!(torn_starts > SEEDS / 2, "only {torn_starts} starts found a torn write");
}

#[test]
fn a_full_disk_refuses_new_chunks_and_serves_old_ones() {
    let disk = MemoryDisk::default();
    let mut store = open(&disk);
    store.put(key(1, 1), &[1; 300]).expect("the store has space");
    disk.with_state(|state| state.capacity = Some(500));
    let refused = store.put(key(1, 2), &[2; 300]);
    assert!(matches!(refused, Err(StoreError::Full { .. })), "{refused:?}");
    assert_eq!(store.get(&key(1, 1)).expect("the store can be read"), Some(vec![1; 300]));
    // The partial record was truncated, so writing continues in the same segment once there is
    // space.
    disk.with_state(|state| state.capacity = None);
    store.put(key(1, 2), &[2; 300]).expect("the store has space again");
    let mut reopened = open(&disk);
    assert_eq!(reopened.get(&key(1, 2)).expect("the store can be read"), Some(vec![2; 300]));
    assert_eq!(reopened.get(&key(1, 1)).expect("the store can be read"), Some(vec![1; 300]));
}

#[test]
fn removal_and_compaction_free_space_in_a_full_store() {
    let disk = MemoryDisk::default();
    let small = StoreSettings { max_bytes: 4_000, ..settings() };
    let (mut store, _) = ChunkStore::open(Box::new(disk), small).expect("the disk can be read");
    let mut stored = 0;
    while store.put(key(1, stored), &[stored; 300]).is_ok() {
        stored += 1;
    }
    assert!(stored > 8, "only {stored} fitted");
    for chunk in 0..stored - 1 {
        store.remove(&key(1, chunk)).expect("a full store removes");
    }
    while store.compact().expect("the segment can be compacted") {}
    store.put(key(2, 1), &[9; 300]).expect("the store has space again");
    assert_eq!(
        store.get(&key(1, stored - 1)).expect("the store can be read"),
        Some(vec![stored - 1; 300])
    );
}

#[test]
fn a_flipped_bit_is_never_served() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let disk = MemoryDisk::default();
        let mut store = open(&disk);
        for chunk in 0..12 {
            store.put(key(1, chunk), &[chunk; 200]).expect("the store has space");
        }
        let flip = |state: &mut common::DiskState| {
            let file = state.files.values_mut().choose(&mut random).expect("there is a file");
            let offset = random.random_range(0..file.len());
            file[offset] ^= 1 << random.random_range(0..8);
        };
        disk.with_state(flip);
        // Both the running store and a restarted one refuse damaged records.
        for mut reader in [Some(store), reopen(&disk)].into_iter().flatten() {
            for chunk in 0..12 {
                if let Ok(Some(data)) = reader.get(&key(1, chunk)) {
                    assert_eq!(data, vec![chunk; 200], "seed {seed}");
                }
            }
        }
    }
}

/// Opens the store again. None if the flipped bit changed the format version.
fn reopen(disk: &MemoryDisk) -> Option<ChunkStore> {
    match ChunkStore::open(Box::new(disk.clone()), settings()) {
        Ok((store, _)) => Some(store),
        Err(StoreError::UnsupportedFormat { .. }) => None,
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn a_segment_of_another_format_is_reported_and_left_unchanged() {
    let disk = MemoryDisk::default();
    open(&disk).put(key(1, 1), b"text").expect("the store has space");
    disk.with_state(|state| {
        let file = state.files.values_mut().next().expect("one segment");
        file[8] = 9;
    });
    let before = disk.with_state(|state| state.files.clone());
    let refused = ChunkStore::open(Box::new(disk.clone()), settings()).err();
    let text = refused.expect("another format").to_string();
    assert_eq!(text, "segment-000000000001.chunks has format 9; this build reads 1");
    assert_eq!(disk.with_state(|state| state.files.clone()), before);
}

#[test]
fn a_chunk_that_is_too_large_is_refused_with_the_limit() {
    let mut store = open(&MemoryDisk::default());
    let refused = store.put(key(1, 1), &[0; 401]).expect_err("too large");
    assert_eq!(refused.to_string(), "the chunk has 401 bytes; store.max_chunk_bytes is 400");
}
