//! Performs the node's operations on the configuration's key in the key-value service.

use dahlia_adapters::key_value::{StoredValue, Version, WatchEvent};
use dahlia_adapters::{Certainty, KeyValueClient, KeyValueError};
use dahlia_configuration::{CONFIGURATION_KEY, ServiceUnavailable, SwapFailure, VersionedValue};
use dahlia_node::{Event, KeyValueEvent, KeyValueOperation};
use tokio::task::AbortHandle;

use crate::core_handle::CoreHandle;
use crate::logging::part;

/// Performs operations, each in its own task. At most one watch is open.
pub struct ConfigurationClient {
    client: Option<KeyValueClient>,
    core: CoreHandle,
    watch: Option<AbortHandle>,
}

impl ConfigurationClient {
    /// Uses `client`. Without one every operation fails.
    pub fn new(client: Option<KeyValueClient>, core: CoreHandle) -> Self {
        Self { client, core, watch: None }
    }

    /// Performs an operation. Its result goes to the node as an event.
    pub fn perform(&mut self, step: KeyValueOperation) {
        let client = self.client.clone();
        match step {
            KeyValueOperation::Read => self.spawn(async move {
                let found = read(client).await;
                KeyValueEvent::Read(found.map(|found| found.map(|found| found.value)))
            }),
            KeyValueOperation::ReadForChange(step) => self.spawn(async move {
                let found = read(client).await;
                let record = |found: StoredValue| VersionedValue {
                    version: found.version.0,
                    bytes: found.value,
                };
                let result = found.map(|found| found.map(record));
                KeyValueEvent::ReadForChange { step, result }
            }),
            KeyValueOperation::Swap { step, expected, value } => self.spawn(async move {
                let result = swap(client, expected, value).await;
                KeyValueEvent::Swapped { step, result }
            }),
            KeyValueOperation::OpenWatch => self.open_watch(),
            KeyValueOperation::CloseWatch => self.close_watch(),
        }
    }

    fn spawn(&self, operation: impl Future<Output = KeyValueEvent> + Send + 'static) {
        let core = self.core.clone();
        tokio::spawn(async move { core.send_event(Event::KeyValue(operation.await)).await });
    }

    fn open_watch(&mut self) {
        self.close_watch();
        let (client, core) = (self.client.clone(), self.core.clone());
        let task = tokio::spawn(async move {
            if let Some(client) = client
                && let Err(error) = watch_key(&client, &core).await
            {
                log::debug!(target: part::CONFIGURATION, "Watching the configuration: {error}.");
            }
            core.send_event(Event::KeyValue(KeyValueEvent::WatchEnded)).await;
        });
        self.watch = Some(task.abort_handle());
    }

    fn close_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }
}

async fn read(client: Option<KeyValueClient>) -> Result<Option<StoredValue>, ServiceUnavailable> {
    let client = client.ok_or(ServiceUnavailable)?;
    client.get(CONFIGURATION_KEY).await.map_err(|error| {
        log::debug!(target: part::CONFIGURATION, "Reading the configuration: {error}.");
        ServiceUnavailable
    })
}

async fn swap(
    client: Option<KeyValueClient>,
    expected: Option<u64>,
    value: Vec<u8>,
) -> Result<(), SwapFailure> {
    let client = client.ok_or(SwapFailure::NotRun)?;
    let swapped = client.compare_and_swap(CONFIGURATION_KEY, expected.map(Version), value).await;
    swapped.map(drop).map_err(|error| {
        log::debug!(target: part::CONFIGURATION, "Swapping the configuration: {error}.");
        match (&error, error.certainty()) {
            (KeyValueError::Conflict { .. }, _) => SwapFailure::Conflict,
            (_, Certainty::Unknown) => SwapFailure::Unknown,
            (_, Certainty::NotRun) => SwapFailure::NotRun,
        }
    })
}

/// Reports the key's value, then each later one, until the watch breaks.
async fn watch_key(client: &KeyValueClient, core: &CoreHandle) -> Result<(), KeyValueError> {
    let listed = client.list(CONFIGURATION_KEY).await?;
    for entry in listed.entries.into_iter().filter(|entry| entry.key == CONFIGURATION_KEY) {
        core.send_event(Event::KeyValue(KeyValueEvent::Watched(entry.versioned.value))).await;
    }
    // The watch starts at the revision of the list, so that no change in between is missed.
    let mut changes = client.watch(CONFIGURATION_KEY, listed.revision).await?;
    while let Some(change) = changes.next().await {
        if let WatchEvent::Put { entry } = change?
            && entry.key == CONFIGURATION_KEY
        {
            let value = entry.versioned.value;
            core.send_event(Event::KeyValue(KeyValueEvent::Watched(value))).await;
        }
    }
    Ok(())
}
