//! Requests to the key-value service and their answers.

use std::fmt;

use dahlia_types::Duration;
use serde::{Deserialize, Serialize};

use crate::wire_text::base64_bytes;

macro_rules! number {
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

number!(
    /// The service's count of all changes, from 1; 0 stands before the first.
    Revision
);
number!(
    /// The revision at which a key was last changed; names one state of the key.
    Version
);
number!(
    /// A lease.
    LeaseId
);

/// A value with the version that names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// The value's version.
    pub version: Version,
    /// The bytes.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// The lease that the key lives by, if any.
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
    /// None when the key does not exist.
    pub found: Option<StoredValue>,
}

/// Reads all keys with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRequest {
    /// The prefix; empty for all.
    pub prefix: String,
}

/// The keys' state at one revision. Watch from it to miss nothing.
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
    /// The version expected; none expects that the key does not exist.
    pub expected: Option<Version>,
    /// The new value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// The lease that the key shall live by, if any.
    pub lease: Option<LeaseId>,
}

/// The change is committed.
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
    /// The version expected.
    pub expected: Version,
}

/// Done; there is nothing to tell.
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
    /// A key was deleted, by request or because its lease lapsed.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the change.
        revision: Revision,
    },
    /// Everything up to this revision was sent. Comes now and then as a sign of life.
    Progress {
        /// The service's revision.
        revision: Revision,
    },
}

/// Asks for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrantRequest {
    /// It lapses this long after the last keep-alive.
    pub time_to_live: Duration,
}

/// Names a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    pub lease: LeaseId,
}

/// A lease in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The lease.
    pub lease: LeaseId,
    /// It lapses this long after the service handled the request. The holder must count from
    /// when it sent the request.
    pub time_to_live: Duration,
}

/// Makes a key live by a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttachRequest {
    /// The key.
    pub key: String,
    /// The version expected.
    pub expected: Version,
    /// The lease.
    pub lease: LeaseId,
}
