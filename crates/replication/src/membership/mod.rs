//! Membership: failure detection and the spreading of small facts among all daemons.
//!
//! Failure detection follows SWIM (Das, Gupta and Motivala 2002): random probes, indirect probes
//! and suspicion before a death is declared. Updates spread by gossip within a budget of bytes
//! per second. Periodic comparison of hashes with a random member repairs what gossip missed,
//! also after a cut.
//!
//! Each region detects its own failures; across regions go only a share of the gossip and of
//! the comparisons. A region that is cut off is therefore not declared dead by the others.

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
