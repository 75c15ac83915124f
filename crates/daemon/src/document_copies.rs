//! Copies of shared documents under the data folder.
//!
//! When all daemons end while the outside source of the documents is away, nobody could tell the
//! next lives which routes and servers there are. A daemon with a disk keeps the newest it has
//! seen, and shares it again at its start. A newer version of anybody always wins. Beside them it
//! keeps where the others listen.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::Duration;

use dahlia_durable::{DocumentCopies, DocumentCopy, FolderDisk, LogError, OpenedCopies};
use dahlia_node::{Event, SharedDocument};
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

use crate::core_handle::CoreHandle;
use crate::known_peers::{self, KnownPeers};
use crate::logging::part;

/// The part of the data folder that holds documents.
const FOLDER: &str = "documents";
/// Changes are gathered for so long: a list of servers changes several times in a second while a
/// service is replaced, and each copy costs two syncs.
const GATHER_TIME: Duration = Duration::from_millis(500);

/// Why copies cannot be kept.
#[derive(Debug, Snafu)]
pub enum KeepError {
    /// The folder cannot be made.
    #[snafu(display("opening the folder of documents: {source}"))]
    Folder {
        /// Cause.
        source: io::Error,
    },
    /// Its contents cannot be read.
    #[snafu(display("reading kept documents: {source}"))]
    Read {
        /// Cause.
        source: LogError,
    },
}

/// Shares the documents that are kept under a data folder, and keeps those that come.
///
/// # Errors
/// [`KeepError`]; the daemon can go on without copies.
pub async fn start(
    folder: &Path,
    core: CoreHandle,
    documents: UnboundedReceiver<SharedDocument>,
) -> Result<(), KeepError> {
    let disk = FolderDisk::open(&folder.join(FOLDER)).context(FolderSnafu)?;
    let opened = DocumentCopies::open(Box::new(disk)).context(ReadSnafu)?;
    let OpenedCopies { copies: kept, newest, invalid } = opened;
    for error in invalid {
        log::warn!(target: part::STORE, cause:% = error; "A kept document is passed over.");
    }
    let mut addresses = KnownPeers::new(core.clone());
    for DocumentCopy { number, version, bytes } in newest {
        if number == known_peers::NUMBER {
            addresses.recall(&SharedDocument { number, version, bytes }).await;
            continue;
        }
        log::info!(
            target: part::STORE,
            number = number, version = version, bytes = bytes.len();
            "A kept document is shared."
        );
        core.send_event(Event::ShareDocument(SharedDocument { number, version, bytes })).await;
    }
    tokio::spawn(keep(kept, documents, addresses));
    Ok(())
}

async fn keep(
    mut kept: DocumentCopies,
    mut documents: UnboundedReceiver<SharedDocument>,
    mut addresses: KnownPeers,
) {
    loop {
        let next = tokio::select! {
            document = documents.recv() => document,
            list = addresses.changed() => Some(list),
        };
        let Some(first) = next else { return };
        sleep(GATHER_TIME).await;
        let mut newest = BTreeMap::from([(first.number, first)]);
        while let Ok(next) = documents.try_recv() {
            let held = newest.get(&next.number).map(|held| held.version);
            if held.is_none_or(|held| held < next.version) {
                newest.insert(next.number, next);
            }
        }
        let written = spawn_blocking(move || {
            let results: Vec<_> =
                newest.into_values().map(|one| keep_one(&mut kept, one)).collect();
            (kept, results)
        });
        let Ok((returned, results)) = written.await else {
            log::error!(target: part::STORE, "Documents are not kept any more: the writer ended.");
            return;
        };
        kept = returned;
        // A disk that is full now may have room when the next document comes.
        for error in results.into_iter().filter_map(Result::err) {
            log::warn!(target: part::STORE, cause:% = error; "A document is not kept.");
        }
    }
}

fn keep_one(kept: &mut DocumentCopies, document: SharedDocument) -> Result<(), LogError> {
    let SharedDocument { number, version, bytes } = document;
    kept.save(&DocumentCopy { number, version, bytes })
}
