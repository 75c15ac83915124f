//! Requests to the key-value service and their answers.

use std::fmt;

use dahlia_types::Duration;
use serde::{Deserialize, Serialize};

use crate::wire_text::base64_bytes;

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

number_type!(
    /// Counts all changes of the service's data, from 1; 0 is the state before the first.
    Revision
);
number_type!(
    /// The revision at which a key was last changed. It identifies one state of the key.
    Version
);
number_type!(
    /// Identifies a lease.
    LeaseId
);

/// A key's value with its version and lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// The value's version.
    pub version: Version,
    /// The bytes.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// The lease that the key is attached to, if any.
    pub lease: Option<LeaseId>,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub versioned: StoredValue,
}

/// Reads one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GetRequest {
    /// The key.
    pub key: String,
}

/// The key's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GetAnswer {
    /// The service's revision of the state that was read.
    pub revision: Revision,
    /// The value; `None` when the key does not exist.
    pub found: Option<StoredValue>,
}

/// Reads all keys with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRequest {
    /// The prefix; empty for all.
    pub prefix: String,
}

/// The keys' state at one revision. A watch from this revision misses no change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListAnswer {
    /// The service's revision of the state that was read.
    pub revision: Revision,
    /// The keys, in order.
    pub entries: Vec<KeyValue>,
}

/// Sets a key if it is in the expected state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareAndSwapRequest {
    /// The key.
    pub key: String,
    /// The expected version; `None` means that the key must not exist.
    pub expected: Option<Version>,
    /// The new value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// The lease to attach the key to, if any.
    pub lease: Option<LeaseId>,
}

/// Confirms that the change is committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwapAnswer {
    /// The key's new version.
    pub version: Version,
}

/// Deletes a key if it is in the expected state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// The key.
    pub key: String,
    /// The expected version.
    pub expected: Version,
}

/// Confirms a request that has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EmptyAnswer {}

/// Follows the changes of keys with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The prefix; empty for all.
    pub prefix: String,
    /// Changes after this revision are sent.
    pub from_revision: Revision,
}

/// One line of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchEvent {
    /// A key was set.
    Put {
        /// The key and its new state; the version is the revision of the change.
        entry: KeyValue,
    },
    /// A key was deleted, by request or because its lease expired.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the change.
        revision: Revision,
    },
    /// All changes up to this revision were sent. Also serves as a periodic heartbeat.
    Progress {
        /// The service's revision.
        revision: Revision,
    },
}

/// Asks for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// Time from the last keep-alive to the expiry.
    pub time_to_live: Duration,
}

/// A request about one lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    pub lease: LeaseId,
}

/// Confirms a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The lease.
    pub lease: LeaseId,
    /// Time from when the service handled the request to the expiry. The holder must count from
    /// when it sent the request.
    pub time_to_live: Duration,
}

/// Attaches a key to a lease, which deletes the key when it expires.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttachRequest {
    /// The key.
    pub key: String,
    /// The expected version.
    pub expected: Version,
    /// The lease.
    pub lease: LeaseId,
}
