//! Chunks over restarts, torn writes, full disks and damage.

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
fn a_chunk_is_there_after_a_restart_on_a_real_folder() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let open = || {
        let disk = FolderDisk::open(folder.path()).expect("the folder is ours");
        ChunkStore::open(Box::new(disk), settings()).expect("readable")
    };
    let (mut store, recovery) = open();
    assert_eq!(recovery.chunks, 0);
    for chunk in 0..20 {
        store.put(key(1, chunk), &[chunk; 300]).expect("there is room");
    }
    assert!(store.remove(&key(1, 3)).expect("removable"));
    drop(store);
    let (mut store, recovery) = open();
    assert_eq!((recovery.chunks, recovery.torn_bytes, recovery.damaged_bytes), (19, 0, 0));
    assert_eq!(store.get(&key(1, 7)).expect("readable"), Some(vec![7; 300]));
    assert_eq!(store.get(&key(1, 3)).expect("readable"), None);
}

#[test]
fn programs_with_the_same_text_keep_a_chunk_each() {
    let disk = MemoryDisk::default();
    let mut store = open(&disk);
    store.put(key(1, 5), b"the same").expect("room");
    store.put(key(2, 5), b"the same").expect("room");
    store.remove(&key(1, 5)).expect("removable");
    assert_eq!(store.get(&key(2, 5)).expect("readable"), Some(b"the same".to_vec()));
}

/// What the caller of a store was told.
#[derive(Default)]
struct Told {
    held: BTreeMap<ChunkKey, Vec<u8>>,
    /// Put or removed without an answer when the power went: either state is right.
    unsure: BTreeMap<ChunkKey, Vec<u8>>,
}

fn random_step(store: &mut ChunkStore, told: &mut Told, random: &mut ChaCha8Rng) {
    let chosen = key(random.random_range(0..4), random.random_range(0..30));
    match random.random_range(0..10) {
        0..6 => {
            let data = vec![chosen.digest[0]; random.random_range(0..400)];
            let known = told.held.get(&chosen).cloned();
            match store.put(chosen, &data) {
                Ok(()) => drop(told.held.insert(chosen, known.unwrap_or(data))),
                Err(_) => drop(told.unsure.insert(chosen, data)),
            }
        }
        6..9 => match store.remove(&chosen) {
            Ok(_) => drop(told.held.remove(&chosen)),
            Err(_) => {
                if let Some(data) = told.held.remove(&chosen) {
                    told.unsure.insert(chosen, data);
                }
            }
        },
        _ => drop(store.compact()),
    }
}

fn check(store: &mut ChunkStore, told: &Told, seed: u64) {
    for (held, data) in &told.held {
        let found = store.get(held).expect("readable");
        assert_eq!(found.as_ref(), Some(data), "seed {seed}: {held:?}");
    }
    for found in store.keys(|_| true) {
        let data = store.get(&found).expect("readable").expect("it was listed");
        let known = told.held.get(&found).or(told.unsure.get(&found));
        assert_eq!(Some(&data), known, "seed {seed}: {found:?} should not be there");
    }
}

#[test]
fn what_was_acknowledged_survives_power_cuts_at_any_byte() {
    const SEEDS: u64 = 300;
    let mut torn = 0;
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let disk = MemoryDisk::default();
        let mut told = Told::default();
        for _ in 0..6 {
            let power = random.random_range(1..6_000);
            disk.with(|state| state.power = None);
            let (mut store, recovery) =
                ChunkStore::open(Box::new(disk.clone()), settings()).expect("readable");
            torn += u64::from(recovery.torn_bytes > 0);
            check(&mut store, &told, seed);
            // What was unsure has its state now.
            for (unsure, data) in std::mem::take(&mut told.unsure) {
                if store.contains(&unsure) {
                    told.held.insert(unsure, data);
                }
            }
            disk.with(|state| state.power = Some(power));
            while !disk.is_dead() {
                random_step(&mut store, &mut told, &mut random);
            }
        }
    }
    assert!(torn > SEEDS / 2, "only {torn} starts found a torn write");
}

#[test]
fn a_full_disk_refuses_new_chunks_and_serves_old_ones() {
    let disk = MemoryDisk::default();
    let mut store = open(&disk);
    store.put(key(1, 1), &[1; 300]).expect("room");
    disk.with(|state| state.room = Some(500));
    let refused = store.put(key(1, 2), &[2; 300]);
    assert!(matches!(refused, Err(StoreError::Full { .. })), "{refused:?}");
    assert_eq!(store.get(&key(1, 1)).expect("readable"), Some(vec![1; 300]));
    // The half record was cut off: once there is room, writing goes on in the same segment.
    disk.with(|state| state.room = None);
    store.put(key(1, 2), &[2; 300]).expect("room again");
    let mut again = open(&disk);
    assert_eq!(again.get(&key(1, 2)).expect("readable"), Some(vec![2; 300]));
    assert_eq!(again.get(&key(1, 1)).expect("readable"), Some(vec![1; 300]));
}

#[test]
fn a_store_at_its_limit_makes_room_by_removal_and_compaction() {
    let disk = MemoryDisk::default();
    let small = StoreSettings { max_bytes: 4_000, ..settings() };
    let (mut store, _) = ChunkStore::open(Box::new(disk), small).expect("empty");
    let mut stored = 0;
    while store.put(key(1, stored), &[stored; 300]).is_ok() {
        stored += 1;
    }
    assert!(stored > 8, "only {stored} fitted");
    for chunk in 0..stored - 1 {
        store.remove(&key(1, chunk)).expect("a full store removes");
    }
    while store.compact().expect("compactable") {}
    store.put(key(2, 1), &[9; 300]).expect("there is room again");
    assert_eq!(store.get(&key(1, stored - 1)).expect("kept"), Some(vec![stored - 1; 300]));
}

#[test]
fn a_flipped_bit_is_never_served() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let disk = MemoryDisk::default();
        let mut store = open(&disk);
        for chunk in 0..12 {
            store.put(key(1, chunk), &[chunk; 200]).expect("room");
        }
        let flip = |state: &mut common::State| {
            let file = state.files.values_mut().choose(&mut random).expect("files");
            let place = random.random_range(0..file.len());
            file[place] ^= 1 << random.random_range(0..8);
        };
        disk.with(flip);
        // Both a running store and a restarted one refuse what is damaged.
        for mut reader in [Some(store), reopen(&disk)].into_iter().flatten() {
            for chunk in 0..12 {
                if let Ok(Some(data)) = reader.get(&key(1, chunk)) {
                    assert_eq!(data, vec![chunk; 200], "seed {seed}");
                }
            }
        }
    }
}

/// None when the flipped bit made the version another one.
fn reopen(disk: &MemoryDisk) -> Option<ChunkStore> {
    match ChunkStore::open(Box::new(disk.clone()), settings()) {
        Ok((store, _)) => Some(store),
        Err(StoreError::UnsupportedFormat { .. }) => None,
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn a_segment_of_another_format_is_named_and_left_alone() {
    let disk = MemoryDisk::default();
    open(&disk).put(key(1, 1), b"text").expect("room");
    disk.with(|state| {
        let file = state.files.values_mut().next().expect("one segment");
        file[8] = 9;
    });
    let before = disk.with(|state| state.files.clone());
    let refused = ChunkStore::open(Box::new(disk.clone()), settings()).err();
    let text = refused.expect("another format").to_string();
    assert_eq!(text, "segment-000000000001.chunks has format 9; this build reads 1");
    assert_eq!(disk.with(|state| state.files.clone()), before);
}

#[test]
fn a_chunk_that_is_too_large_is_refused_with_the_limit() {
    let mut store = open(&MemoryDisk::default());
    let refused = store.put(key(1, 1), &[0; 401]).expect_err("too large");
    assert_eq!(refused.to_string(), "the chunk has 401 bytes; store.max_chunk_bytes is 400");
}
