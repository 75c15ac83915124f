//! Monotonic counters that fence stale holders. All compare by plain integer order.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value after this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

counter!(
    /// One run of a process, named by its start in milliseconds since 1970: a later run has a
    /// larger number.
    Incarnation
);
counter!(
    /// A leader's term in a replica group (Raft, Ongaro and Ousterhout 2014). It is the owner's
    /// epoch: engines refuse effects that carry an older one.
    Term
);
counter!(
    /// A position in a replica group's log, from 1; 0 is the position before the first entry.
    LogIndex
);
counter!(
    /// A generation of the operators' configuration. It only increases.
    Generation
);
