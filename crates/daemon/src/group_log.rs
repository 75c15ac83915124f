//! The log of this daemon's replica groups. One sync makes the changes of a batch durable, outside the
//! task that drives the node.

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
use crate::slow_steps::log_while_running;

/// The subfolder of the data folder that holds groups.
const FOLDER: &str = "groups";
/// A batch that waits longer than this for a writing thread is logged.
const SLOW_START_THRESHOLD: Duration = Duration::from_secs(1);
/// Time between retries on a full disk.
const FULL_DISK_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Why the log did not open.
#[derive(Debug, Snafu)]
pub enum OpenGroupsError {
    /// The folder cannot be created.
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

/// Why changes can permanently not be made durable.
#[derive(Debug, Snafu)]
pub enum SyncError {
    /// The disk failed. What it holds of the last batch is known only after a restart.
    #[snafu(display("making groups durable: {source}"))]
    Disk {
        /// Cause.
        source: LogError,
    },
    /// The writing thread panicked or was cancelled, or an earlier sync failed.
    #[snafu(display("the log of groups is lost"))]
    Lost,
}

/// Opens the log in a data folder, or creates one with the incarnation `new_incarnation`.
///
/// Blocks while the disk is full. The daemon cannot run before its identity is durable, and only
/// something outside can free space.
///
/// # Errors
/// [`OpenGroupsError`] when the folder cannot be used or the log is damaged.
pub fn open(
    folder: &Path,
    settings: DurableSettings,
    new_incarnation: Incarnation,
) -> Result<OpenedLog, OpenGroupsError> {
    let folder = folder.join(FOLDER);
    let disk = FolderDisk::open(&folder).context(FolderSnafu)?;
    let mut has_waited = false;
    let wait = |error: &LogError| {
        if !has_waited {
            log::error!(target: part::STORE, "Waiting for room before the start: {error}.");
        }
        has_waited = true;
        thread::sleep(FULL_DISK_RETRY_INTERVAL);
    };
    let disks = || -> Box<dyn Disk> { Box::new(disk.reopen()) };
    let opened = DurableLog::open_waiting_for_space(disks, &settings, new_incarnation, wait)
        .context(LogSnafu)?;
    let LogIdentity { incarnation, start_count } = opened.log.identity();
    log::info!(
        target: part::STORE,
        "{} groups and {} bytes in the log; incarnation {incarnation}, life {start_count}.",
        opened.replicas.len(),
        opened.log.bytes()
    );
    Ok(opened)
}

/// Makes changes durable. Without a data folder it does nothing.
#[derive(Default)]
pub struct GroupLog {
    log: Option<DurableLog>,
}

impl GroupLog {
    /// Wraps an open log.
    pub fn new(log: DurableLog) -> Self {
        Self { log: Some(log) }
    }

    /// Makes changes durable with one sync. Returns the groups that need a new image.
    ///
    /// Waits while the disk is full. Meanwhile this daemon sends nothing, so that others take over.
    ///
    /// # Errors
    /// [`SyncError`]. Nothing that depends on these or later changes may ever be sent.
    pub async fn sync(&mut self, changes: Vec<DurableChange>) -> Result<Vec<GroupId>, SyncError> {
        let mut task = AppendTask { log: self.log.take().ok_or(SyncError::Lost)?, changes };
        let mut is_full = false;
        loop {
            let result;
            let queued_at = Instant::now();
            let running = spawn_blocking(move || task.run(queued_at));
            let ended = log_while_running("making groups durable", running).await;
            (task, result) = ended.map_err(|_| SyncError::Lost)?;
            match result {
                Ok(groups_needing_image) => {
                    if is_full {
                        log::warn!(target: part::STORE, "The disk has room again.");
                    }
                    self.log = Some(task.log);
                    return Ok(groups_needing_image);
                }
                Err(error) if error.is_full() => {
                    if !is_full {
                        log::error!(target: part::STORE, "Waiting for room: {error}.");
                    }
                    is_full = true;
                    sleep(FULL_DISK_RETRY_INTERVAL).await;
                }
                Err(error) => return Err(error).context(DiskSnafu),
            }
        }
    }
}

impl GroupLog {
    /// Gives the next process of this daemon a later incarnation than `by`, if that loses nothing.
    pub async fn advance_incarnation(&mut self, by: Incarnation) {
        let Some(mut log) = self.log.take() else { return };
        match spawn_blocking(move || log.advance_incarnation(by)).await {
            Ok(Ok(true)) => {
                log::warn!(target: part::STORE, "The next start uses an incarnation after {by}.")
            }
            Ok(Ok(false)) => {
                log::error!(target: part::STORE, "The groups here belong to an incarnation before {by}.");
            }
            Ok(Err(error)) => {
                log::error!(target: part::STORE, "The incarnation could not be advanced: {error}.")
            }
            Err(error) => {
                log::error!(target: part::STORE, "The incarnation could not be advanced: {error}.")
            }
        }
    }
}

/// An append that runs on a blocking thread.
struct AppendTask {
    log: DurableLog,
    changes: Vec<DurableChange>,
}

impl AppendTask {
    fn run(mut self, queued_at: Instant) -> (Self, Result<Vec<GroupId>, LogError>) {
        let waited = queued_at.elapsed();
        if waited >= SLOW_START_THRESHOLD {
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
