//! An in-memory disk whose single operations fail, and which keeps what is durable apart from what a running
//! process reads.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex};

use dahlia_store::Disk;

/// How an operation fails. An error may come before, in the middle of or after its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing happens.
    NoEffect,
    /// A write leaves this many bytes in the file; other operations have their whole effect. None of it is
    /// durable.
    Partial {
        /// Bytes that are written.
        bytes: usize,
    },
    /// The whole effect is visible, but making it durable failed. What a write left in the file is not made
    /// durable by a later operation, as where the kernel drops pages that it could not write.
    NotSynced,
    /// The disk is full after this many bytes of a write; other operations have no effect.
    Full {
        /// Bytes that are written.
        bytes: usize,
    },
}

/// What is left of changes that were not durable when the power is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PowerLoss {
    /// Nothing of them.
    DropsAll,
    /// Names and lengths stay, and this many bytes of what was written after the durable part.
    KeepsPart {
        /// Bytes that are kept.
        bytes: usize,
    },
    /// All of them.
    KeepsAll,
}

#[derive(Debug, Default)]
struct State {
    /// What a process reads.
    visible: BTreeMap<String, Vec<u8>>,
    /// What certainly survives a power loss.
    durable: BTreeMap<String, Vec<u8>>,
    /// The parts of files that a failed sync dropped: they are read, but no sync covers them.
    dropped: BTreeMap<String, Range<usize>>,
    /// The faults of coming operations, by the number of the operation.
    faults: BTreeMap<u64, Fault>,
    operations: u64,
}

impl State {
    /// Counts an operation and returns its fault.
    fn next_fault(&mut self) -> Option<Fault> {
        let number = self.operations;
        self.operations += 1;
        self.faults.remove(&number)
    }

    fn make_durable(&mut self, name: &str) {
        let Some(visible) = self.visible.get(name) else {
            self.durable.remove(name);
            return;
        };
        let mut bytes = visible.clone();
        if let Some(dropped) = self.dropped.get(name) {
            bytes[dropped.clone()].fill(0);
        }
        self.durable.insert(name.to_owned(), bytes);
    }
}

/// A handle to the disk; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct FaultDisk(Arc<Mutex<State>>);

impl FaultDisk {
    fn with_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.0.lock().expect("no test panics while it holds the lock"))
    }

    /// Lets the operation after the next `skipped` ones fail.
    pub fn fail_after(&self, skipped: u64, fault: Fault) {
        self.with_state(|state| {
            let number = state.operations + skipped;
            state.faults.insert(number, fault);
        });
    }

    /// Ends all faults of operations that have not come yet.
    pub fn clear_faults(&self) {
        self.with_state(|state| state.faults.clear());
    }

    /// Loses the power, which ends the process that uses the disk.
    pub fn lose_power(&self, loss: PowerLoss) {
        self.with_state(|state| {
            let names: BTreeSet<String> =
                state.visible.keys().chain(state.durable.keys()).cloned().collect();
            let after = names.into_iter().filter_map(|name| {
                let (visible, durable) = (state.visible.get(&name), state.durable.get(&name));
                let kept = bytes_after(loss, visible, durable)?;
                Some((name, kept))
            });
            let after: BTreeMap<String, Vec<u8>> = after.collect();
            state.durable.clone_from(&after);
            state.dropped.clear();
            state.visible = after;
        });
    }

    /// Returns the names of all files that a process sees.
    pub fn names(&self) -> Vec<String> {
        self.with_state(|state| state.visible.keys().cloned().collect())
    }
}

/// Returns the contents of a file after a power loss, or none if there is no such file.
fn bytes_after(
    loss: PowerLoss,
    visible: Option<&Vec<u8>>,
    durable: Option<&Vec<u8>>,
) -> Option<Vec<u8>> {
    match loss {
        PowerLoss::DropsAll => durable.cloned(),
        PowerLoss::KeepsAll => visible.cloned(),
        PowerLoss::KeepsPart { bytes } => {
            let Some(visible) = visible else { return durable.cloned() };
            let certain = durable.cloned().unwrap_or_default();
            if certain.len() > visible.len() {
                return Some(certain);
            }
            let mut kept = visible.clone();
            kept.truncate(certain.len() + bytes);
            Some(kept)
        }
    }
}

fn injected() -> io::Error {
    io::Error::other("an injected fault")
}

impl Disk for FaultDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        self.with_state(|state| match state.next_fault() {
            Some(_) => Err(injected()),
            None => Ok(state.visible.keys().cloned().collect()),
        })
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        self.with_state(|state| {
            if state.next_fault().is_some() {
                return Err(injected());
            }
            let length = state.visible.get(name).map(Vec::len);
            length.map(|length| length as u64).ok_or_else(|| io::ErrorKind::NotFound.into())
        })
    }

    fn read(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.with_state(|state| {
            if state.next_fault().is_some() {
                return Err(injected());
            }
            let file = state.visible.get(name).ok_or(io::ErrorKind::NotFound)?;
            let start = offset as usize;
            let bytes = file.get(start..start + length).map(<[u8]>::to_vec);
            bytes.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.with_state(|state| {
            let fault = state.next_fault();
            let written = match fault {
                Some(Fault::NoEffect) => return Err(injected()),
                Some(Fault::Partial { bytes: kept } | Fault::Full { bytes: kept }) => {
                    kept.min(bytes.len())
                }
                Some(Fault::NotSynced) | None => bytes.len(),
            };
            let file = state.visible.entry(name.to_owned()).or_default();
            let length_before = file.len();
            file.extend(&bytes[..written]);
            if fault == Some(Fault::NotSynced) {
                state.dropped.insert(name.to_owned(), length_before..file.len());
            }
            match fault {
                None => {
                    state.make_durable(name);
                    Ok(())
                }
                Some(Fault::Full { .. }) => Err(io::ErrorKind::StorageFull.into()),
                Some(_) => Err(injected()),
            }
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.with_state(|state| {
            let fault = state.next_fault();
            if matches!(fault, Some(Fault::NoEffect | Fault::Full { .. })) {
                return Err(injected());
            }
            let file = state.visible.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
            file.truncate(length as usize);
            let length = file.len();
            if let Some(dropped) = state.dropped.get_mut(name) {
                *dropped = dropped.start.min(length)..dropped.end.min(length);
            }
            if fault.is_some() {
                return Err(injected());
            }
            state.make_durable(name);
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.with_state(|state| {
            let fault = state.next_fault();
            if matches!(fault, Some(Fault::NoEffect | Fault::Full { .. })) {
                return Err(injected());
            }
            // A missing file counts as removed: an earlier call may have removed it without making that durable.
            state.visible.remove(name);
            state.dropped.remove(name);
            if fault.is_some() {
                return Err(injected());
            }
            state.make_durable(name);
            Ok(())
        })
    }

    fn rewrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.with_state(|state| {
            if state.next_fault().is_some() {
                return Err(injected());
            }
            assert!(state.visible[name].starts_with(bytes), "other bytes are written");
            state.dropped.remove(name);
            Ok(())
        })
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.with_state(|state| {
            if state.next_fault().is_some() {
                return Err(injected());
            }
            // The contents of files are not made durable by their names.
            let State { visible, durable, .. } = state;
            durable.retain(|name, _| visible.contains_key(name));
            for name in visible.keys() {
                durable.entry(name.clone()).or_default();
            }
            Ok(())
        })
    }
}
