//! Single operations of the disk that fail while the store goes on: everything that was acknowledged stays
//! readable, in the running store and after it is opened again.

mod common;

use std::collections::BTreeSet;
use std::{env, fs};

use common::fault_disk::{Fault, FaultDisk, PowerLoss};
use common::{MemoryDisk, data, key, open, settings_of_small_segments};
use dahlia_store::fault_points::names_failure_file;
use dahlia_store::{ChunkStore, Disk, FolderDisk, StoreError};
use dahlia_types::ChunkKey;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The number of random sequences.
const CASES: u32 = 2_000;
/// The seed of the random sequences. `STORE_SEED` replaces it.
const SEED: u64 = 1;

/// Guards against a segment whose header is in the file although the store does not know it. The header was
/// written again behind the first one, and the reads of the whole segment failed.
#[test]
fn chunks_survive_a_full_disk_between_a_header_and_its_first_record() {
    let disk = MemoryDisk::default();
    let mut store = open(disk.clone());
    disk.with_state(|state| state.capacity = Some(100));
    let refused = store.put(key(1, 1), &data(1));
    assert!(matches!(refused, Err(StoreError::Full { .. })), "{refused:?}");
    disk.with_state(|state| state.capacity = None);
    for chunk in [1, 2] {
        store.put(key(1, chunk), &data(chunk)).expect("the disk has space again");
    }
    for mut reader in [store, open(disk)] {
        for chunk in [1, 2] {
            let found = reader.get(&key(1, chunk)).expect("the chunk was acknowledged");
            assert_eq!(found, Some(data(chunk)));
        }
    }
}

/// Guards against the same loss by any error: a failed operation at each position, with each effect.
#[test]
fn acknowledged_chunks_survive_one_failed_operation() {
    let effects = [0, 5, 12, 60, 200].map(|bytes| Fault::Partial { bytes });
    let full = [0, 5, 12, 60, 200].map(|bytes| Fault::Full { bytes });
    let faults = effects.into_iter().chain(full).chain([Fault::NoEffect, Fault::NotSynced]);
    for fault in faults {
        for position in 0..20 {
            let disk = FaultDisk::default();
            let mut store = open(disk.clone());
            disk.fail_after(position, fault);
            let stored: Vec<u8> =
                (0..12).filter(|chunk| store.put(key(1, *chunk), &data(*chunk)).is_ok()).collect();
            assert!(stored.len() >= 11, "{fault:?} at {position}: only {stored:?}");
            disk.clear_faults();
            let reopened = open(disk.clone());
            disk.lose_power(PowerLoss::DropsAll);
            for mut reader in [store, reopened, open(disk)] {
                for chunk in &stored {
                    let found = reader.get(&key(1, *chunk));
                    let case = format!("{fault:?} at {position}, chunk {chunk}");
                    assert_eq!(found.expect(&case), Some(data(*chunk)), "{case}");
                }
            }
        }
    }
}

/// Guards against a compaction that went on after a chunk could not be read, and then removed its segment.
#[test]
fn compaction_loses_no_chunk_that_cannot_be_read_at_the_moment() {
    for skipped in 0..4 {
        let disk = FaultDisk::default();
        let mut store = open(disk.clone());
        for chunk in 0..8 {
            store.put(key(1, chunk), &data(chunk)).expect("the disk works");
        }
        for chunk in [0, 1] {
            store.remove(&key(1, chunk)).expect("the disk works");
        }
        disk.fail_after(skipped, Fault::NoEffect);
        let compacted = store.compact();
        assert!(compacted.is_err(), "skipped {skipped}: {compacted:?}");
        for chunk in 2..8 {
            let found = store.get(&key(1, chunk)).expect("the disk works again");
            assert_eq!(found, Some(data(chunk)), "skipped {skipped}");
        }
        assert!(store.compact().expect("the disk works again"));
    }
}

/// Guards against segments that can never be compacted, because their file is gone and its removal was
/// reported as failed.
#[test]
fn compaction_goes_on_after_a_removal_that_was_reported_as_failed() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = folder.path().join("chunks");
    let mut store = open(FolderDisk::open(&folder).expect("the folder can be opened"));
    for chunk in 0..8 {
        store.put(key(1, chunk), &data(chunk)).expect("the disk works");
    }
    for chunk in 0..4 {
        store.remove(&key(1, chunk)).expect("the disk works");
    }
    let failure = names_failure_file(&folder);
    fs::write(&failure, "").expect("the file can be created");
    store.compact().expect_err("the removal of the file was not made durable");
    fs::remove_file(&failure).expect("the file can be removed");
    assert!(store.compact().expect("the disk works again"));
}

/// Guards against a segment whose name was never made durable, because the sync of the folder failed after the
/// file had been created. A power loss can take such a file with all of its chunks.
#[test]
fn a_file_is_appended_to_only_once_its_name_is_durable() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let folder = folder.path().join("chunks");
    let mut disk = FolderDisk::open(&folder).expect("the folder can be opened");
    let failure = names_failure_file(&folder);
    fs::write(&failure, "").expect("the file can be created");
    for attempt in 0..2 {
        let appended = disk.append("segment", &[1]);
        assert!(appended.is_err(), "attempt {attempt}: the name is not durable");
    }
    fs::remove_file(&failure).expect("the file can be removed");
    disk.append("segment", &[1]).expect("the disk works again");
}

/// Guards against a chunk that was acknowledged as stored while an unfinished removal of it was left in the
/// file. The next start applied the removal.
#[test]
fn a_failed_removal_does_not_remove_a_chunk_that_is_stored_again() {
    let disk = FaultDisk::default();
    let mut store = open(disk.clone());
    store.put(key(1, 1), &data(1)).expect("the disk works");
    disk.fail_after(0, Fault::NotSynced);
    disk.fail_after(1, Fault::NoEffect);
    store.remove(&key(1, 1)).expect_err("the removal was not made durable");
    store.put(key(1, 1), &data(1)).expect("the disk works again");
    assert_eq!(open(disk).get(&key(1, 1)).expect("the store can be read"), Some(data(1)));
}

/// Guards against a chunk that an ended process had not synced, or whose sync had failed, and that its successor acknowledged as stored.
#[test]
fn a_chunk_found_at_the_start_is_durable_before_it_is_acknowledged() {
    let disk = FaultDisk::default();
    let mut store = open(disk.clone());
    store.put(key(1, 0), &data(0)).expect("the disk works");
    disk.fail_after(0, Fault::NotSynced);
    disk.fail_after(1, Fault::NoEffect);
    store.put(key(1, 1), &data(1)).expect_err("the chunk was not made durable");
    let mut successor = open(disk.clone());
    successor.put(key(1, 1), &data(1)).expect("the disk works again");
    disk.lose_power(PowerLoss::DropsAll);
    assert_eq!(open(disk).get(&key(1, 1)).expect("the store can be read"), Some(data(1)));
}

/// Guards against the loss of chunks that earlier builds wrote behind a second header. Their offsets were
/// wrong in the process that wrote them, but the records are intact.
#[test]
fn chunks_behind_a_repeated_header_are_read() {
    let disk = MemoryDisk::default();
    let mut store = open(disk.clone());
    for chunk in [1, 2] {
        store.put(key(1, chunk), &data(chunk)).expect("the disk works");
    }
    drop(store);
    disk.with_state(|state| {
        let file = state.files.values_mut().next().expect("one segment");
        let header = file[..12].to_vec();
        file.splice(..0, header);
    });
    let mut reopened = open(disk);
    for chunk in [1, 2] {
        let found = reopened.get(&key(1, chunk)).expect("the store can be read");
        assert_eq!(found, Some(data(chunk)));
    }
}

/// Guards against a chunk whose bytes are gone and that the store keeps on calling stored, so that it is neither
/// written again nor copied from another store.
#[test]
fn a_chunk_whose_file_is_gone_can_be_stored_again() {
    let disk = MemoryDisk::default();
    let mut store = open(disk.clone());
    for chunk in 0..6 {
        store.put(key(1, chunk), &data(chunk)).expect("the disk works");
    }
    disk.with_state(|state| state.files.remove("segment-000000000001.chunks"));
    store.get(&key(1, 0)).expect_err("the file is gone");
    assert!(!store.contains(&key(1, 0)));
    store.put(key(1, 0), &data(0)).expect("the disk works");
    assert_eq!(store.get(&key(1, 0)).expect("it was stored again"), Some(data(0)));
}

/// Guards against files that pile up on a disk that stays full.
#[test]
fn refused_chunks_leave_no_files() {
    let disk = FaultDisk::default();
    let mut store = open(disk.clone());
    store.put(key(1, 0), &data(0)).expect("the disk works");
    for chunk in 1..50 {
        disk.fail_after(0, Fault::Full { bytes: usize::from(chunk) });
        store.put(key(1, chunk), &data(chunk)).expect_err("the disk is full");
    }
    assert_eq!(disk.names(), ["segment-000000000001.chunks"]);
}

/// A change of the store, or an end of its process.
#[derive(Debug, Clone, Copy)]
enum Step {
    Put(u8),
    Remove(u8),
    Compact,
    Read(u8),
    Restart,
    PowerLoss(PowerLoss),
}

/// A step, and the faults of its operations: how many operations come before, and what fails.
type FaultyStep = (Step, Vec<(u64, Fault)>);

fn any_step() -> impl Strategy<Value = Step> {
    let chunk = 0..12_u8;
    prop_oneof![
        8 => chunk.clone().prop_map(Step::Put),
        4 => chunk.clone().prop_map(Step::Remove),
        2 => Just(Step::Compact),
        1 => chunk.prop_map(Step::Read),
        1 => Just(Step::Restart),
        1 => any_power_loss().prop_map(Step::PowerLoss),
    ]
}

fn any_power_loss() -> impl Strategy<Value = PowerLoss> {
    prop_oneof![
        Just(PowerLoss::DropsAll),
        (0..200_usize).prop_map(|bytes| PowerLoss::KeepsPart { bytes }),
        Just(PowerLoss::KeepsAll),
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::NoEffect),
        (0..200_usize).prop_map(|bytes| Fault::Partial { bytes }),
        Just(Fault::NotSynced),
        (0..200_usize).prop_map(|bytes| Fault::Full { bytes }),
    ]
}

fn any_faulty_step() -> impl Strategy<Value = FaultyStep> {
    let faults = prop_oneof![
        2 => Just(Vec::new()),
        2 => vec((0..3_u64, any_fault()), 1..4),
    ];
    (any_step(), faults)
}

/// The chunks as a caller knows them from the results.
#[derive(Debug, Default)]
struct Known {
    stored: BTreeSet<ChunkKey>,
    /// Chunks whose put or removal failed after the last change that succeeded. Until then, the next start may
    /// find the failed change done.
    uncertain: BTreeSet<ChunkKey>,
}

impl Known {
    /// Applies the result of a put or removal of one chunk.
    fn record(&mut self, chunk: u8, is_put: bool, changed: &Result<bool, StoreError>) {
        let key = key(1, chunk);
        if changed.is_err() {
            self.uncertain.insert(key);
            return;
        }
        self.uncertain.clear();
        if is_put {
            self.stored.insert(key);
        } else {
            self.stored.remove(&key);
        }
    }

    /// Takes over what a store has found at its start.
    fn resolve(&mut self, store: &ChunkStore) {
        for key in std::mem::take(&mut self.uncertain) {
            if store.contains(&key) {
                self.stored.insert(key);
            } else {
                self.stored.remove(&key);
            }
        }
    }

    fn check(&self, store: &mut ChunkStore) -> Result<(), TestCaseError> {
        for chunk in 0..12 {
            let key = key(1, chunk);
            let expected = self.stored.contains(&key).then(|| data(chunk));
            let found = store.get(&key).map_err(|error| error.to_string());
            prop_assert_eq!(found, Ok(expected), "chunk {}", chunk);
        }
        Ok(())
    }
}

/// Opens the store, again after each failure.
fn reopen(disk: &FaultDisk) -> ChunkStore {
    loop {
        if let Ok((store, _)) =
            ChunkStore::open(Box::new(disk.clone()), settings_of_small_segments())
        {
            return store;
        }
    }
}

fn check_steps(steps: Vec<FaultyStep>) -> Result<(), TestCaseError> {
    let disk = FaultDisk::default();
    let mut store = open(disk.clone());
    let mut known = Known::default();
    for (step, faults) in steps {
        faults.into_iter().for_each(|(skipped, fault)| disk.fail_after(skipped, fault));
        match step {
            Step::Put(chunk) => {
                let put = store.put(key(1, chunk), &data(chunk));
                known.record(chunk, true, &put.map(|()| true));
            }
            Step::Remove(chunk) => {
                let removed = store.remove(&key(1, chunk));
                known.record(chunk, false, &removed);
            }
            Step::Compact => {
                if store.compact().is_ok() {
                    known.uncertain.clear();
                }
            }
            Step::Read(chunk) => drop(store.get(&key(1, chunk))),
            Step::Restart => {
                store = reopen(&disk);
                known.resolve(&store);
            }
            Step::PowerLoss(loss) => {
                disk.lose_power(loss);
                store = reopen(&disk);
                known.resolve(&store);
            }
        }
        disk.clear_faults();
        known.check(&mut store)?;
    }
    disk.lose_power(PowerLoss::DropsAll);
    store = reopen(&disk);
    known.resolve(&store);
    known.check(&mut store)
}

fn seed() -> u64 {
    let text = env::var("STORE_SEED").ok();
    text.map_or(SEED, |text| text.parse().expect("STORE_SEED is a whole number"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed()),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against any sequence of failed operations after which an acknowledged change is not what a
    /// reader finds.
    #[test]
    fn acknowledged_changes_hold_over_any_failed_operations(
        steps in vec(any_faulty_step(), 1..60)
    ) {
        check_steps(steps)?;
    }
}
