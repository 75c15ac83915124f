//! Replica groups: agreement on one log of commands by Raft (Ongaro and Ousterhout 2014).
//!
//! From Ongaro's thesis (2014) come pre-vote, check-quorum, learners, single-server membership
//! changes and leadership transfer. Storage is memory only, so the failure model is crash-stop:
//! a daemon that restarts is a new [`ReplicaId`](dahlia_types::ReplicaId) and starts as an empty
//! learner. What a replica promised (term, vote, log) lives exactly as long as its identifier.

mod coalescer;
mod election;
mod faults;
mod follower;
mod leader;
mod log;
mod members;
mod message;
mod output;
mod progress;
mod replica;
mod settings;
mod snapshot;
mod status;

pub use coalescer::{Beat, BeatRun, Coalescer, PeerBatch};
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
