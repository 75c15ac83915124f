//! A question where a stream began, and what has been answered.

use std::collections::BTreeSet;

use dahlia_types::{DaemonId, Timestamp};

use super::{OriginService, OriginView, StreamKey, WitnessCandidate};

/// A question of this daemon's gateway.
#[derive(Debug)]
pub(super) struct Question {
    pub stream: StreamKey,
    pub service: OriginService,
    /// Daemons that have not answered.
    pub unanswered: Vec<WitnessCandidate>,
    /// The daemons asked that serve streams.
    pub serving: BTreeSet<DaemonId>,
    /// Their views, if they know nothing of the stream, and that of this daemon.
    pub views: Vec<OriginView>,
    /// The daemons asked that keep the views of the service.
    pub keepers: BTreeSet<DaemonId>,
    /// Their views, if they know nothing of the stream.
    pub keeper_views: Vec<OriginView>,
    pub repeat_at: Option<Timestamp>,
    pub give_up_at: Timestamp,
}
