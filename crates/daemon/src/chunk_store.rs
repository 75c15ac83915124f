//! The store of this daemon: one thread that owns the folder, fed by the node's orders.

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

/// The part of the data folder that holds chunks.
const FOLDER: &str = "chunks";
/// Orders that may wait; later ones fail at once, so that their askers go elsewhere.
const QUEUE: usize = 1_024;
/// After so long without an order the thread makes room.
const IDLE: Duration = Duration::from_millis(500);

/// Why the store did not open.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// The folder cannot be made.
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

/// Passes orders to the store's thread. Without a data folder every order fails.
#[derive(Default)]
pub struct StoreTasks {
    orders: Option<blocking::SyncSender<StoreRequest>>,
}

impl StoreTasks {
    /// Opens the store under the data folder.
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
        let (orders, waiting) = blocking::sync_channel(QUEUE);
        let thread = thread::Builder::new().name("chunk-store".to_owned());
        thread.spawn(move || run(store, &waiting, &core)).context(ThreadSnafu)?;
        Ok(Self { orders: Some(orders) })
    }

    /// Queues an order. One that finds no place is dropped: its requester goes elsewhere.
    pub fn order(&self, order: StoreRequest) {
        let queued = self.orders.as_ref().is_some_and(|orders| orders.try_send(order).is_ok());
        if !queued {
            log::warn!(target: part::STORE, "Dropped an order. The queue is full.");
        }
    }
}

fn run(mut store: ChunkStore, waiting: &blocking::Receiver<StoreRequest>, core: &CoreHandle) {
    loop {
        match waiting.recv_timeout(IDLE) {
            Ok(order) => {
                let requester = order.requester;
                let answer = carry_out(&mut store, order.operation);
                let result = StoreResult { requester, answer };
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

fn carry_out(store: &mut ChunkStore, operation: StoreOperation) -> Option<ChunkMessage> {
    let result = match operation {
        StoreOperation::Put { key, bytes } => {
            store.put(key, &bytes).map(|()| Some(ChunkMessage::Stored { key }))
        }
        StoreOperation::Get { key } => store.get(&key).map(|found| {
            Some(match found {
                Some(bytes) => ChunkMessage::Found { key, bytes },
                None => ChunkMessage::Missing { key },
            })
        }),
        StoreOperation::Check { keys } => {
            let lacking: Vec<_> = keys.into_iter().filter(|key| !store.contains(key)).collect();
            let any = !lacking.is_empty();
            Ok(any.then_some(ChunkMessage::MissingKeys { keys: lacking }))
        }
        StoreOperation::Forget { program } => forget(store, program).map(|()| None),
    };
    result.unwrap_or_else(|error| {
        log::warn!(target: part::STORE, "An operation failed. {error}.");
        None
    })
}

fn forget(store: &mut ChunkStore, program: dahlia_types::ProgramId) -> Result<(), StoreError> {
    for key in store.keys(|key| key.program == program) {
        store.remove(&key)?;
    }
    Ok(())
}
