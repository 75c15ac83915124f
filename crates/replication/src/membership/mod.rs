//! Membership: failure detection and the spreading of small facts among all daemons.
//!
//! Failure detection follows SWIM (Das, Gupta and Motivala 2002): random probes, indirect probes,
//! and a suspicion before a member is declared dead. Updates spread by gossip within a byte budget
//! per second. Each daemon periodically compares hashes with a random member, which repairs what
//! gossip missed, also after a network partition.
//!
//! Each region detects its own failures. Only a share of the gossip and of the comparisons goes to
//! other regions. A region that is cut off is therefore not declared dead by the others.

mod buckets;
mod detector;
mod documents;
mod facts;
mod gossip;
mod members;
mod message;
mod previous_peers;
mod settings;
mod state;
mod sync;
mod types;

pub use facts::{FIRST_HOLDER_DOCUMENT, Fact, FactKey};
pub use message::{Envelope, MemberMessage, SyncChunk, SyncDigest};
pub use settings::MembershipSettings;
pub use state::{Action, Event, Membership};
pub use types::{Health, Member, MemberInfo, MemberRecord, MemberState};
