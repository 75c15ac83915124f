//! The node's steps with the key-value service.

use dahlia_node::{Event, LAYOUT_KEY, LayoutStep};
use dahlia_platform::{KeyValueClient, KeyValueError};

use crate::core::CoreHandle;
use crate::logging::part;

/// Carries out steps with the key-value service, each in a task of its own.
pub struct PlatformState {
    client: Option<KeyValueClient>,
    core: CoreHandle,
}

impl PlatformState {
    /// Uses `client`; without one every step fails.
    pub fn new(client: Option<KeyValueClient>, core: CoreHandle) -> Self {
        Self { client, core }
    }

    /// Reads or writes the layout of groups.
    pub fn layout(&self, step: LayoutStep) {
        let core = self.core.clone();
        let Some(client) = self.client.clone() else {
            tokio::spawn(async move { core.event(Event::Layout(LayoutStep::Failed)).await });
            return;
        };
        tokio::spawn(async move {
            let result = match step {
                LayoutStep::Value(layout) => create(&client, layout).await,
                LayoutStep::Read | LayoutStep::Failed => read(&client).await,
            };
            let answer = result.unwrap_or_else(|error| {
                log::debug!(target: part::CONFIGURATION, "Layout of groups: {error}.");
                LayoutStep::Failed
            });
            core.event(Event::Layout(answer)).await;
        });
    }
}

async fn read(client: &KeyValueClient) -> Result<LayoutStep, KeyValueError> {
    let found = client.get(LAYOUT_KEY).await?;
    Ok(found.map_or(LayoutStep::Read, |versioned| LayoutStep::Value(versioned.value)))
}

/// Creates the key if it is missing. Whatever the answer was, the value read back afterwards
/// decides: the answer may be lost after the change took effect, and another daemon may have won.
async fn create(client: &KeyValueClient, layout: Vec<u8>) -> Result<LayoutStep, KeyValueError> {
    if let Err(error) = client.compare_and_swap(LAYOUT_KEY, None, layout).await {
        log::debug!(target: part::CONFIGURATION, "Writing the layout of groups: {error}.");
    }
    read(client).await
}
