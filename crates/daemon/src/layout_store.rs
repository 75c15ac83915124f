//! Where the first layout of groups is kept: the part of an outside store that a daemon needs to
//! form its groups. Each platform has its own.

use std::sync::Arc;

use dahlia_adapters::KeyValueClient;
use dahlia_node::LAYOUT_KEY;
use futures::future::BoxFuture;
use snafu::Snafu;

/// The outside store did not answer as needed. What was asked may have been done.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{step} the layout of groups: {detail}"))]
pub struct LayoutStoreError {
    /// `reading` or `writing`.
    pub step: &'static str,
    /// What the store's client saw.
    pub detail: String,
}

/// Holds one value that is created once and never changed.
pub trait LayoutStore: Send + Sync + 'static {
    /// The value; none when it was never created.
    fn read(&self) -> BoxFuture<'_, Result<Option<Vec<u8>>, LayoutStoreError>>;

    /// Creates the value if there is none. An error says nothing of what is there now: the caller
    /// reads the value back.
    fn create(&self, value: Vec<u8>) -> BoxFuture<'_, Result<(), LayoutStoreError>>;
}

/// A layout store that daemon parts share.
pub type SharedLayoutStore = Arc<dyn LayoutStore>;

impl LayoutStore for KeyValueClient {
    fn read(&self) -> BoxFuture<'_, Result<Option<Vec<u8>>, LayoutStoreError>> {
        Box::pin(async move {
            let found = self.get(LAYOUT_KEY).await;
            let value = found.map(|found| found.map(|versioned| versioned.value));
            value.map_err(|error| failed("reading", &error))
        })
    }

    fn create(&self, value: Vec<u8>) -> BoxFuture<'_, Result<(), LayoutStoreError>> {
        Box::pin(async move {
            let swapped = self.compare_and_swap(LAYOUT_KEY, None, value).await;
            swapped.map(drop).map_err(|error| failed("writing", &error))
        })
    }
}

fn failed(step: &'static str, error: &dyn std::error::Error) -> LayoutStoreError {
    LayoutStoreError { step, detail: error.to_string() }
}
