//! The platform's key-value service: compare-and-swap, leases and watches.

mod client;
mod error;
mod messages;
mod refusal;
mod watch;

pub use client::KeyValueClient;
pub use error::KeyValueError;
pub use messages::{
    AttachRequest, CompareAndSwapRequest, DeleteRequest, EmptyAnswer, GetAnswer, GetRequest,
    KeyValue, LeaseAnswer, LeaseGrantRequest, LeaseId, LeaseRequest, ListAnswer, ListRequest,
    Revision, StoredValue, SwapAnswer, Version, WatchEvent, WatchRequest,
};
pub use refusal::KeyValueRefusal;
pub use watch::WatchStream;

/// Paths of the service's requests. All are `POST` with a JSON body.
pub mod paths {
    /// [`super::KeyValueClient::get`].
    pub const GET: &str = "/v1/get";
    /// [`super::KeyValueClient::list`].
    pub const LIST: &str = "/v1/list";
    /// [`super::KeyValueClient::compare_and_swap`].
    pub const COMPARE_AND_SWAP: &str = "/v1/compare-and-swap";
    /// [`super::KeyValueClient::delete`].
    pub const DELETE: &str = "/v1/delete";
    /// [`super::KeyValueClient::watch`].
    pub const WATCH: &str = "/v1/watch";
    /// [`super::KeyValueClient::grant_lease`].
    pub const LEASE_GRANT: &str = "/v1/lease/grant";
    /// [`super::KeyValueClient::keep_alive`].
    pub const LEASE_KEEP_ALIVE: &str = "/v1/lease/keep-alive";
    /// [`super::KeyValueClient::revoke_lease`].
    pub const LEASE_REVOKE: &str = "/v1/lease/revoke";
    /// [`super::KeyValueClient::attach`].
    pub const LEASE_ATTACH: &str = "/v1/lease/attach";
}
