//! Storage of the first layout of groups: what a daemon needs from an external store to form its
//! groups. Each platform has its own implementation.

use std::sync::Arc;

use dahlia_adapters::KeyValueClient;
use dahlia_node::LAYOUT_KEY;
use futures::future::BoxFuture;
use snafu::Snafu;

/// An operation on the external store failed. It may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{step} the layout of groups: {detail}"))]
pub struct LayoutStoreError {
    /// `reading` or `writing`.
    pub step: &'static str,
    /// The error of the store's client.
    pub detail: String,
}

/// Stores one value that is created once and never changed.
pub trait LayoutStore: Send + Sync + 'static {
    /// Reads the value; none when it was never created.
    fn read(&self) -> BoxFuture<'_, Result<Option<Vec<u8>>, LayoutStoreError>>;

    /// Creates the value if there is none. An error does not tell whether the value exists now, so the
    /// caller reads it back.
    fn create(&self, value: Vec<u8>) -> BoxFuture<'_, Result<(), LayoutStoreError>>;
}

/// A layout store shared by several parts of a daemon.
pub type SharedLayoutStore = Arc<dyn LayoutStore>;

impl LayoutStore for KeyValueClient {
    fn read(&self) -> BoxFuture<'_, Result<Option<Vec<u8>>, LayoutStoreError>> {
        Box::pin(async move {
            let found = self.get(LAYOUT_KEY).await;
            let value = found.map(|found| found.map(|versioned| versioned.value));
            value.map_err(|error| store_error("reading", &error))
        })
    }

    fn create(&self, value: Vec<u8>) -> BoxFuture<'_, Result<(), LayoutStoreError>> {
        Box::pin(async move {
            let swapped = self.compare_and_swap(LAYOUT_KEY, None, value).await;
            swapped.map(drop).map_err(|error| store_error("writing", &error))
        })
    }
}

fn store_error(step: &'static str, error: &dyn std::error::Error) -> LayoutStoreError {
    LayoutStoreError { step, detail: error.to_string() }
}
