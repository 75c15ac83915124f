//! Copies of shared documents in the data folder.
//!
//! When all daemons stop while the external source of the documents is unavailable, no daemon could
//! learn the routes and servers after the restart. A daemon with a disk therefore saves the newest
//! version of each document and shares it again at its start. A newer version from any daemon always
//! wins. The addresses of the other daemons, and the software versions that gateways told of, are saved in the same way.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::Duration;

use dahlia_durable::{DocumentCopies, DocumentCopy, FolderDisk, LogError, OpenedCopies};
use dahlia_node::stream_origins::VIEWS_DOCUMENT;
use dahlia_node::{Event, SharedDocument};
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

use crate::core_handle::CoreHandle;
use crate::known_peers::{self, KnownPeers};
use crate::logging::part;
use crate::slow_steps::log_while_running;

/// The subfolder of the data folder that holds documents.
const FOLDER: &str = "documents";
/// Time for which changes are gathered before they are saved. A list of servers changes several times
/// a second while a service is replaced, and each copy costs two syncs.
const GATHER_INTERVAL: Duration = Duration::from_millis(500);

/// Why copies cannot be opened.
#[derive(Debug, Snafu)]
pub enum CopiesError {
    /// The folder cannot be created.
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

/// Shares the documents that are saved in a data folder, and saves those that arrive.
///
/// # Errors
/// [`CopiesError`]; the daemon can go on without copies.
pub async fn start(
    folder: &Path,
    core: CoreHandle,
    documents: UnboundedReceiver<SharedDocument>,
) -> Result<(), CopiesError> {
    let disk = FolderDisk::open(&folder.join(FOLDER)).context(FolderSnafu)?;
    let opened = DocumentCopies::read(Box::new(disk)).context(ReadSnafu)?;
    let OpenedCopies { copies, newest, invalid } = opened;
    for error in invalid {
        log::warn!(target: part::STORE, cause:% = error; "A kept document is passed over.");
    }
    let mut peers = KnownPeers::new(core.clone());
    for DocumentCopy { number, version, bytes } in newest {
        if number == known_peers::DOCUMENT_NUMBER {
            peers.restore(&SharedDocument { number, version, bytes }).await;
            continue;
        }
        if number == VIEWS_DOCUMENT {
            let document = SharedDocument { number, version, bytes };
            core.send_event(Event::RestoreOriginViews(document)).await;
            continue;
        }
        log::info!(
            target: part::STORE,
            number = number, version = version, bytes = bytes.len();
            "A kept document is shared."
        );
        core.send_event(Event::ShareDocument(SharedDocument { number, version, bytes })).await;
    }
    tokio::spawn(run(copies, documents, peers));
    Ok(())
}

async fn run(
    mut copies: DocumentCopies,
    mut documents: UnboundedReceiver<SharedDocument>,
    mut peers: KnownPeers,
) {
    // Done beside the start: others wait for what is shared, and for the groups here.
    let synced = spawn_blocking(move || {
        let result = copies.make_durable();
        (copies, result)
    });
    let synced = log_while_running("making kept documents durable", synced).await;
    let Ok((returned, result)) = synced else {
        return log_ended_writer();
    };
    copies = returned;
    if let Err(error) = result {
        log::warn!(target: part::STORE, cause:% = error; "Kept documents may not be durable.");
    }
    loop {
        let next = tokio::select! {
            document = documents.recv() => document,
            list = peers.changed() => Some(list),
        };
        let Some(first) = next else { return };
        sleep(GATHER_INTERVAL).await;
        let mut newest = BTreeMap::from([(first.number, first)]);
        while let Ok(next) = documents.try_recv() {
            let gathered = newest.get(&next.number).map(|gathered| gathered.version);
            if gathered.is_none_or(|gathered| gathered < next.version) {
                newest.insert(next.number, next);
            }
        }
        let written = spawn_blocking(move || {
            let results: Vec<_> =
                newest.into_values().map(|document| save_copy(&mut copies, document)).collect();
            (copies, results)
        });
        let written = log_while_running("saving documents", written).await;
        let Ok((returned, results)) = written else {
            return log_ended_writer();
        };
        copies = returned;
        // A disk that is full now may have space when the next document arrives.
        for error in results.into_iter().filter_map(Result::err) {
            log::warn!(target: part::STORE, cause:% = error; "A document is not kept.");
        }
    }
}

fn log_ended_writer() {
    log::error!(target: part::STORE, "Documents are not kept any more: the writer ended.");
}

fn save_copy(copies: &mut DocumentCopies, document: SharedDocument) -> Result<(), LogError> {
    let SharedDocument { number, version, bytes } = document;
    copies.save(&DocumentCopy { number, version, bytes })
}
