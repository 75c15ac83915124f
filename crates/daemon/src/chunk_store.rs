//! The chunk store of this daemon: one thread owns the folder and performs the node's requests.

use std::path::Path;
use std::sync::mpsc as blocking;
use std::thread;
use std::time::Duration;

use dahlia_node::Event;
use dahlia_node::history::{ChunkMessage, StoreOperation, StoreRequest, StoreResult};
use dahlia_store::{ChunkStore, FolderDisk, StoreError, StoreSettings};
use snafu::{ResultExt, Snafu};

use crate::core_handle::CoreHandle;
use crate::logging::part;

/// The subfolder of the data folder that holds chunks.
const FOLDER: &str = "chunks";
/// Most queued requests. Further ones fail at once, so that their requesters use another store.
const QUEUE_CAPACITY: usize = 1_024;
/// Time without a request after which the thread compacts the store.
const IDLE_BEFORE_COMPACTION: Duration = Duration::from_millis(500);

/// Why the store did not open.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// The folder cannot be created.
    #[snafu(display("opening the data folder: {source}"))]
    Folder {
        /// Cause.
        source: std::io::Error,
    },
    /// Its contents cannot be read.
    #[snafu(display("opening the chunk store: {source}"))]
    Store {
        /// Cause.
        source: StoreError,
    },
    /// The thread cannot be started.
    #[snafu(display("starting the chunk store's thread: {source}"))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
}

/// Passes requests to the store's thread. Without a data folder every request fails.
#[derive(Default)]
pub struct ChunkStoreHandle {
    requests: Option<blocking::SyncSender<StoreRequest>>,
}

impl ChunkStoreHandle {
    /// Opens the store in the data folder.
    ///
    /// # Errors
    /// [`OpenError`] when the folder cannot be used.
    pub fn open(
        folder: &Path,
        settings: StoreSettings,
        core: CoreHandle,
    ) -> Result<Self, OpenError> {
        let disk = FolderDisk::open(&folder.join(FOLDER)).context(FolderSnafu)?;
        let (store, recovery) = ChunkStore::open(Box::new(disk), settings).context(StoreSnafu)?;
        log::info!(
            target: part::STORE,
            "Open with {} chunks. Cut off {} torn bytes, lost {} damaged bytes.",
            recovery.chunks,
            recovery.torn_bytes,
            recovery.damaged_bytes
        );
        let (requests, receiver) = blocking::sync_channel(QUEUE_CAPACITY);
        let thread = thread::Builder::new().name("chunk-store".to_owned());
        thread.spawn(move || run(store, &receiver, &core)).context(ThreadSnafu)?;
        Ok(Self { requests: Some(requests) })
    }

    /// Queues a request. If the queue is full or there is no store, returns the result to report instead, so that
    /// the requester uses another store without waiting for a timeout.
    #[must_use]
    pub fn send(&self, request: StoreRequest) -> Option<StoreResult> {
        let Some(requests) = &self.requests else {
            log::warn!(target: part::STORE, "Refused an operation. This daemon has no store.");
            return Some(refusal(request));
        };
        let request = match requests.try_send(request) {
            Ok(()) => return None,
            Err(blocking::TrySendError::Full(request)) => {
                log::warn!(target: part::STORE, "Refused an operation. The queue is full.");
                request
            }
            Err(blocking::TrySendError::Disconnected(request)) => {
                log::error!(target: part::STORE, "Refused an operation. The store's thread has ended.");
                request
            }
        };
        Some(refusal(request))
    }
}

/// The result of an operation that was not performed.
fn refusal(request: StoreRequest) -> StoreResult {
    StoreResult { requester: request.requester, answer: failure_answer(&request.operation) }
}

fn run(mut store: ChunkStore, receiver: &blocking::Receiver<StoreRequest>, core: &CoreHandle) {
    loop {
        match receiver.recv_timeout(IDLE_BEFORE_COMPACTION) {
            Ok(request) => {
                let result = perform(&mut store, request);
                core.send_event_blocking(Event::StoreEnded(Box::new(result)));
            }
            Err(blocking::RecvTimeoutError::Timeout) => {
                if let Err(error) = store.compact() {
                    log::warn!(target: part::STORE, "Making room failed. {error}.");
                }
            }
            Err(blocking::RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Performs an operation. A failed one is logged and reported to the requester.
pub fn perform(store: &mut ChunkStore, request: StoreRequest) -> StoreResult {
    let StoreRequest { requester, operation } = request;
    let answer_to_failure = failure_answer(&operation);
    let answer = perform_operation(store, operation).unwrap_or_else(|error| {
        log::warn!(target: part::STORE, "An operation failed. {error}.");
        answer_to_failure
    });
    StoreResult { requester, answer }
}

/// What the requester of a failed operation is told: a chunk that was not stored or cannot be read is missing
/// here. None for operations whose requesters await nothing.
fn failure_answer(operation: &StoreOperation) -> Option<ChunkMessage> {
    match operation {
        StoreOperation::Put { key, .. } | StoreOperation::Get { key } => {
            Some(ChunkMessage::Missing { key: *key })
        }
        StoreOperation::Check { .. } | StoreOperation::Forget { .. } => None,
    }
}

fn perform_operation(
    store: &mut ChunkStore,
    operation: StoreOperation,
) -> Result<Option<ChunkMessage>, StoreError> {
    match operation {
        StoreOperation::Put { key, bytes } => {
            store.put(key, &bytes)?;
            Ok(Some(ChunkMessage::Stored { key }))
        }
        StoreOperation::Get { key } => Ok(Some(match store.get(&key)? {
            Some(bytes) => ChunkMessage::Found { key, bytes },
            None => ChunkMessage::Missing { key },
        })),
        StoreOperation::Check { keys } => {
            let lacking: Vec<_> = keys.into_iter().filter(|key| !store.contains(key)).collect();
            let any = !lacking.is_empty();
            Ok(any.then_some(ChunkMessage::MissingKeys { keys: lacking }))
        }
        StoreOperation::Forget { program } => forget(store, program).map(|()| None),
    }
}

fn forget(store: &mut ChunkStore, program: dahlia_types::ProgramId) -> Result<(), StoreError> {
    for key in store.keys(|key| key.program == program) {
        store.remove(&key)?;
    }
    Ok(())
}
