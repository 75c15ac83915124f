//! The key-value adapter: one method for each request.

use dahlia_types::Duration;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{
    AttachRequest, CompareAndSwapRequest, DeleteRequest, EmptyAnswer, GetAnswer, GetRequest,
    KeyValueError, KeyValueRefusal, LeaseAnswer, LeaseGrantRequest, LeaseId, LeaseRequest,
    ListAnswer, ListRequest, Revision, StoredValue, SwapAnswer, Version, WatchRequest, WatchStream,
    paths,
};
use crate::ClientSettings;
use crate::http::HttpPeer;

/// The adapter to the key-value service. Cheap to clone; clones share connections.
#[derive(Debug, Clone)]
pub struct KeyValueClient {
    peer: HttpPeer,
}

impl KeyValueClient {
    /// Prepares an adapter to the service at `address` (`address:port`). Nothing is sent yet.
    pub fn new(address: &str, settings: ClientSettings) -> Self {
        Self { peer: HttpPeer::new("key-value service", address, settings) }
    }

    /// Reads a key; returns `None` when it does not exist. The answer may be stale.
    ///
    /// # Errors
    /// [`KeyValueError`]
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
        let request = GetRequest { key: key.to_owned() };
        let answer: GetAnswer = self.post("get", paths::GET, &request).await?;
        Ok(answer.found)
    }

    /// Reads all keys with `prefix` at one revision. The answer may be stale.
    ///
    /// # Errors
    /// [`KeyValueError`]
    pub async fn list(&self, prefix: &str) -> Result<ListAnswer, KeyValueError> {
        let request = ListRequest { prefix: prefix.to_owned() };
        self.post("list", paths::LIST, &request).await
    }

    /// Sets `key` if its version is `expected` (`None`: it does not exist). Returns the new
    /// version.
    ///
    /// # Errors
    /// [`KeyValueError`]; after `Unknown` the change may have taken effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<Version>,
        value: Vec<u8>,
    ) -> Result<Version, KeyValueError> {
        self.swap(key, expected, value, None).await
    }

    /// Like [`Self::compare_and_swap`], but attaches the key to `lease`, which deletes it when it
    /// expires.
    ///
    /// # Errors
    /// [`KeyValueError`]; after `Unknown` the change may have taken effect.
    pub async fn compare_and_swap_with_lease(
        &self,
        key: &str,
        expected: Option<Version>,
        value: Vec<u8>,
        lease: LeaseId,
    ) -> Result<Version, KeyValueError> {
        self.swap(key, expected, value, Some(lease)).await
    }

    /// Deletes `key` if its version is `expected`.
    ///
    /// # Errors
    /// [`KeyValueError`]; after `Unknown` the change may have taken effect.
    pub async fn delete(&self, key: &str, expected: Version) -> Result<(), KeyValueError> {
        let request = DeleteRequest { key: key.to_owned(), expected };
        let _: EmptyAnswer = self.post("delete", paths::DELETE, &request).await?;
        Ok(())
    }

    /// Follows the changes of keys with `prefix` after `from_revision`.
    ///
    /// # Errors
    /// [`KeyValueError`], e.g. when that revision was compacted away.
    pub async fn watch(
        &self,
        prefix: &str,
        from_revision: Revision,
    ) -> Result<WatchStream, KeyValueError> {
        let step = "watch";
        let request = WatchRequest { prefix: prefix.to_owned(), from_revision };
        let answer =
            self.peer.post_stream::<_, KeyValueRefusal>(step, paths::WATCH, &request).await;
        let answer = answer.map_err(|error| self.transport_error(step, error))?;
        let lines = answer.map_err(|refusal| self.refusal_error(step, refusal))?;
        Ok(WatchStream::new(lines))
    }

    /// Requests a lease that expires `time_to_live` after its last keep-alive.
    ///
    /// # Errors
    /// [`KeyValueError`]; after `Unknown` a lease that no caller knows may exist until it expires.
    pub async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseAnswer, KeyValueError> {
        let request = LeaseGrantRequest { time_to_live };
        self.post("grant lease", paths::LEASE_GRANT, &request).await
    }

    /// Extends a lease by its time to live.
    ///
    /// # Errors
    /// [`KeyValueError`]; after `Unknown` the holder must assume the earlier expiry.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<LeaseAnswer, KeyValueError> {
        self.post("keep lease alive", paths::LEASE_KEEP_ALIVE, &LeaseRequest { lease }).await
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    /// [`KeyValueError`]
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        let request = LeaseRequest { lease };
        let _: EmptyAnswer = self.post("revoke lease", paths::LEASE_REVOKE, &request).await?;
        Ok(())
    }

    /// Attaches a key whose version is `expected` to `lease`. Returns the new version.
    ///
    /// # Errors
    /// [`KeyValueError`]; after `Unknown` the change may have taken effect.
    pub async fn attach(
        &self,
        key: &str,
        expected: Version,
        lease: LeaseId,
    ) -> Result<Version, KeyValueError> {
        let request = AttachRequest { key: key.to_owned(), expected, lease };
        let answer: SwapAnswer = self.post("attach lease", paths::LEASE_ATTACH, &request).await?;
        Ok(answer.version)
    }

    async fn swap(
        &self,
        key: &str,
        expected: Option<Version>,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Version, KeyValueError> {
        let request = CompareAndSwapRequest { key: key.to_owned(), expected, value, lease };
        let path = paths::COMPARE_AND_SWAP;
        let answer: SwapAnswer = self.post("compare and swap", path, &request).await?;
        Ok(answer.version)
    }

    async fn post<T: DeserializeOwned>(
        &self,
        step: &str,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, KeyValueError> {
        let answer = self.peer.post::<T, KeyValueRefusal>(step, path, request).await;
        let answer = answer.map_err(|error| self.transport_error(step, error))?;
        answer.map_err(|refusal| self.refusal_error(step, refusal))
    }

    fn transport_error(&self, step: &str, error: crate::TransportError) -> KeyValueError {
        KeyValueError::from_transport(step, self.peer.name(), error)
    }

    fn refusal_error(&self, step: &str, refusal: KeyValueRefusal) -> KeyValueError {
        KeyValueError::from_refusal(step, self.peer.name(), refusal)
    }
}
