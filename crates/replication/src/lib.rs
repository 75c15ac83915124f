//! Membership, failure detection and replica groups as state machines without I/O.
