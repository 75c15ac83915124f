//! What the requesters of operations on a daemon's chunk store are told when an operation fails.

use std::fs;
use std::path::Path;

use dahlia_daemon::chunk_store::{ChunkStoreHandle, perform};
use dahlia_node::history::{ChunkMessage, StoreOperation, StoreRequest, StoreResult};
use dahlia_store::{ChunkStore, FolderDisk, StoreSettings};
use dahlia_types::{ChunkKey, DaemonId, GroupId, Incarnation, ProgramId, ReplicaId};
use tempfile::tempdir;

const REQUESTER: ReplicaId = ReplicaId { daemon: DaemonId(7), incarnation: Incarnation(3) };
/// Bytes of a segment before the data of its first record.
const BYTES_BEFORE_DATA: usize = 65;

fn key(chunk: u8) -> ChunkKey {
    ChunkKey { program: ProgramId { group: GroupId(1), number: 1 }, digest: [chunk; 32] }
}

fn open(folder: &Path, max_bytes: u64) -> ChunkStore {
    let disk = FolderDisk::open(folder).expect("the folder can be opened");
    let settings = StoreSettings { max_bytes, ..StoreSettings::default() };
    ChunkStore::open(Box::new(disk), settings).expect("the store can be read").0
}

fn put(chunk: u8) -> StoreRequest {
    let operation = StoreOperation::Put { key: key(chunk), bytes: vec![chunk; 100] };
    StoreRequest { requester: REQUESTER, operation }
}

fn get(chunk: u8) -> StoreRequest {
    StoreRequest { requester: REQUESTER, operation: StoreOperation::Get { key: key(chunk) } }
}

fn answer(message: ChunkMessage) -> StoreResult {
    StoreResult { requester: REQUESTER, answer: Some(message) }
}

/// Guards against owners that wait for a timeout although a full store has refused their chunk.
#[test]
fn a_refused_chunk_is_reported_at_once() {
    let folder = tempdir().expect("a temporary folder can be created");
    let mut store = open(folder.path(), 250);
    assert_eq!(perform(&mut store, put(1)), answer(ChunkMessage::Stored { key: key(1) }));
    assert_eq!(perform(&mut store, put(2)), answer(ChunkMessage::Missing { key: key(2) }));
}

/// Guards against readers that wait for a timeout although the store knows that it cannot read a chunk.
#[test]
fn an_unreadable_chunk_is_reported_at_once() {
    let folder = tempdir().expect("a temporary folder can be created");
    let mut store = open(folder.path(), 1 << 20);
    perform(&mut store, put(1));
    let file = fs::read_dir(folder.path()).expect("the folder can be read").next();
    let path = file.expect("one segment").expect("the folder can be read").path();
    let mut bytes = fs::read(&path).expect("the segment can be read");
    bytes[BYTES_BEFORE_DATA] ^= 1;
    fs::write(&path, bytes).expect("the segment can be written");
    assert_eq!(perform(&mut store, get(1)), answer(ChunkMessage::Missing { key: key(1) }));
    fs::remove_file(&path).expect("the segment can be removed");
    assert_eq!(perform(&mut store, get(1)), answer(ChunkMessage::Missing { key: key(1) }));
}

/// Guards against requesters that wait for a timeout at a daemon without a store.
#[test]
fn a_daemon_without_a_store_refuses_at_once() {
    let handle = ChunkStoreHandle::default();
    assert_eq!(handle.send(put(1)), Some(answer(ChunkMessage::Missing { key: key(1) })));
    assert_eq!(handle.send(get(1)), Some(answer(ChunkMessage::Missing { key: key(1) })));
}
