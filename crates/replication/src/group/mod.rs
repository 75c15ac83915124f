//! Replica groups: agreement on one log of commands by Raft (Ongaro and Ousterhout 2014).
//!
//! Pre-vote, check-quorum, learners, single-server membership changes and leadership transfer follow
//! Ongaro's thesis (2014). The persistent state of a replica (term, vote, log) has exactly the
//! lifetime of its identifier. On a daemon without a disk that is the lifetime of the process: after
//! a restart, the replica has a new [`ReplicaId`](dahlia_types::ReplicaId) and starts as an empty
//! learner. With a disk, [`Replica::take_durable_change`] returns what must be synced, and
//! [`Replica::recover`] continues with the same identifier.

mod coalescer;
mod delivery;
mod durable;
mod election;
mod faults;
mod follower;
mod leader;
mod log;
mod members;
mod message;
mod output;
mod progress;
mod recovery;
mod replica;
mod settings;
mod snapshot;
mod status;

pub use coalescer::{Coalescer, GroupHeartbeat, HeartbeatBatch, PeerBatch};
pub use durable::{DurableChange, DurableReplica, DurableUpdate, GapError, HardState};
#[doc(hidden)]
pub use faults::Faults;
pub use log::{EntryData, LogEntry};
pub use members::{ChangeError, MemberChange, Members, TransferError};
pub use message::{
    Append, AppendResponse, AppendResult, GroupBody, GroupMessage, Heartbeat, HeartbeatResponse,
    SnapshotChunk, SnapshotResponse, VoteRequest,
};
pub use output::{Entry, Output, Proposal, ProposeError, Role, Snapshot};
pub use replica::Replica;
pub use settings::GroupSettings;
pub use status::{GroupStatus, PeerStatus};
