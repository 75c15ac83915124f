//! Performs the node's reads and writes of the layout of groups in its store.

use dahlia_node::{Event, LayoutStep};

use crate::core_handle::CoreHandle;
use crate::layout_store::{LayoutStore, LayoutStoreError, SharedLayoutStore};
use crate::logging::part;

/// Performs steps on the layout's store, each in its own task.
pub struct LayoutClient {
    store: Option<SharedLayoutStore>,
    core: CoreHandle,
}

impl LayoutClient {
    /// A client of `store`. Without a store every step fails.
    pub fn new(store: Option<SharedLayoutStore>, core: CoreHandle) -> Self {
        Self { store, core }
    }

    /// Reads or writes the layout of groups.
    pub fn perform(&self, step: LayoutStep) {
        let core = self.core.clone();
        let Some(store) = self.store.clone() else {
            tokio::spawn(async move { core.send_event(Event::Layout(LayoutStep::Failed)).await });
            return;
        };
        tokio::spawn(async move {
            let result = match step {
                LayoutStep::Value(layout) => create(store.as_ref(), layout).await,
                LayoutStep::Read | LayoutStep::Failed => read(store.as_ref()).await,
            };
            let answer = result.unwrap_or_else(|error| {
                log::debug!(target: part::CONFIGURATION, "Layout of groups: {error}.");
                LayoutStep::Failed
            });
            core.send_event(Event::Layout(answer)).await;
        });
    }
}

async fn read(store: &dyn LayoutStore) -> Result<LayoutStep, LayoutStoreError> {
    let found = store.read().await?;
    Ok(found.map_or(LayoutStep::Read, LayoutStep::Value))
}

/// Creates the value if it is missing, then reads it back. Only the value read back counts: the reply
/// may be lost after the write took effect, or another daemon may have created the value first.
async fn create(store: &dyn LayoutStore, layout: Vec<u8>) -> Result<LayoutStep, LayoutStoreError> {
    if let Err(error) = store.create(layout).await {
        log::debug!(target: part::CONFIGURATION, "Writing the layout of groups: {error}.");
    }
    read(store).await
}
