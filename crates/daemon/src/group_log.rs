//! The log of this daemon's replica groups: changes of a batch become durable by one sync, off
//! the task that drives the node.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use dahlia_durable::{
    Disk, DurableLog, DurableSettings, FolderDisk, LogError, LogIdentity, OpenedLog,
};
use dahlia_replication::group::DurableChange;
use dahlia_types::{GroupId, Incarnation};
use snafu::{ResultExt, Snafu};
use tokio::task::spawn_blocking;
use tokio::time::sleep;

use crate::logging::part;

/// The part of the data folder that holds groups.
const FOLDER: &str = "groups";
/// A batch that waits longer for a thread to write it is logged.
const SLOW_START: Duration = Duration::from_secs(1);
/// How often a full disk is tried again.
const FULL_RETRY: Duration = Duration::from_millis(200);

/// Why the log did not open.
#[derive(Debug, Snafu)]
pub enum OpenGroupsError {
    /// The folder cannot be made.
    #[snafu(display("opening the folder of groups: {source}"))]
    Folder {
        /// Cause.
        source: std::io::Error,
    },
    /// Its contents cannot be read.
    #[snafu(display("opening the log of groups: {source}"))]
    Log {
        /// Cause.
        source: LogError,
    },
}

/// Why changes are not durable, for good.
#[derive(Debug, Snafu)]
pub enum SyncError {
    /// The disk failed. What it holds of the last batch is known only after a new start.
    #[snafu(display("making groups durable: {source}"))]
    Disk {
        /// Cause.
        source: LogError,
    },
    /// The thread that wrote did not end as it should, or an earlier sync has failed.
    #[snafu(display("the log of groups is lost"))]
    Lost,
}

/// Opens the log under a data folder, or begins one with the incarnation `fresh`.
///
/// Blocks while the disk is full. Nothing of this daemon can run before: who it is must be
/// durable first, and the room may come from outside only.
///
/// # Errors
/// [`OpenGroupsError`] when the folder cannot be used or the log is damaged.
pub fn open(
    folder: &Path,
    settings: DurableSettings,
    fresh: Incarnation,
) -> Result<OpenedLog, OpenGroupsError> {
    let folder = folder.join(FOLDER);
    let disk = FolderDisk::open(&folder).context(FolderSnafu)?;
    let mut has_waited = false;
    let wait = |error: &LogError| {
        if !has_waited {
            log::error!(target: part::STORE, "Waiting for room before the start: {error}.");
        }
        has_waited = true;
        thread::sleep(FULL_RETRY);
    };
    let disks = || -> Box<dyn Disk> { Box::new(disk.reopen()) };
    let opened =
        DurableLog::open_waiting_for_space(disks, &settings, fresh, wait).context(LogSnafu)?;
    let LogIdentity { incarnation, start_count } = opened.log.identity();
    log::info!(
        target: part::STORE,
        "{} groups and {} bytes in the log; incarnation {incarnation}, life {start_count}.",
        opened.replicas.len(),
        opened.log.bytes()
    );
    Ok(opened)
}

/// Makes changes durable. Without a data folder there are none.
#[derive(Default)]
pub struct GroupLog {
    log: Option<DurableLog>,
}

impl GroupLog {
    /// Writes to this log.
    pub fn new(log: DurableLog) -> Self {
        Self { log: Some(log) }
    }

    /// Makes changes durable by one sync. Returns the groups that should be recorded anew.
    ///
    /// A full disk is waited for: meanwhile this daemon says nothing, so that others take over.
    ///
    /// # Errors
    /// [`SyncError`]; nothing that depends on these or later changes may ever leave.
    pub async fn sync(&mut self, changes: Vec<DurableChange>) -> Result<Vec<GroupId>, SyncError> {
        let mut work = Work { log: self.log.take().ok_or(SyncError::Lost)?, changes };
        let mut is_full = false;
        loop {
            let result;
            let queued_at = Instant::now();
            (work, result) =
                spawn_blocking(move || work.run(queued_at)).await.map_err(|_| SyncError::Lost)?;
            match result {
                Ok(wanted) => {
                    if is_full {
                        log::warn!(target: part::STORE, "The disk has room again.");
                    }
                    self.log = Some(work.log);
                    return Ok(wanted);
                }
                Err(error) if error.is_full() => {
                    if !is_full {
                        log::error!(target: part::STORE, "Waiting for room: {error}.");
                    }
                    is_full = true;
                    sleep(FULL_RETRY).await;
                }
                Err(error) => return Err(error).context(DiskSnafu),
            }
        }
    }
}

impl GroupLog {
    /// Lets the next process of this daemon be a later life than `by`, if nothing is lost by it.
    pub async fn begin_anew(&mut self, by: Incarnation) {
        let Some(mut log) = self.log.take() else { return };
        match spawn_blocking(move || log.advance_incarnation(by)).await {
            Ok(Ok(true)) => log::warn!(target: part::STORE, "The next start is a life after {by}."),
            Ok(Ok(false)) => {
                log::error!(target: part::STORE, "The groups here belong to a life before {by}.");
            }
            Ok(Err(error)) => log::error!(target: part::STORE, "No later life: {error}."),
            Err(error) => log::error!(target: part::STORE, "No later life: {error}."),
        }
    }
}

/// One append on a thread that may block.
struct Work {
    log: DurableLog,
    changes: Vec<DurableChange>,
}

impl Work {
    fn run(mut self, queued_at: Instant) -> (Self, Result<Vec<GroupId>, LogError>) {
        let waited = queued_at.elapsed();
        if waited >= SLOW_START {
            log::warn!(
                target: part::STORE,
                waited_ms = waited.as_millis() as u64;
                "A batch waited long for a thread to write it."
            );
        }
        let result = self.log.append(&self.changes).map(|()| self.log.groups_needing_image());
        (self, result)
    }
}
