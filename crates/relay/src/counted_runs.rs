//! Counts the servers that may have run a request against the attempt limit of its route.

use std::sync::PoisonError;

use dahlia_backends::{BackendAddress, BackendId};

use crate::liveness::{Reachability, probe_reachability};
use crate::relay::Shared;
use crate::repeats::LossCause;
use crate::request_log::RequestLog;

/// A server that may have run a request.
#[derive(Debug, Clone)]
pub(crate) struct PossibleRun {
    pub(crate) server: BackendAddress,
    /// Why its answer is lost.
    pub(crate) cause: LossCause,
}

/// The servers that count against the attempt limit of a request's route. Servers that have
/// certainly ended or are cut off do not count; this is checked only if the answer depends on it.
#[derive(Debug, Default)]
pub(crate) struct CountedRuns {
    runs: Vec<PossibleRun>,
}

impl CountedRuns {
    pub(crate) fn add(&mut self, run: PossibleRun) {
        self.runs.push(run);
    }

    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether another server may run the request.
    pub(crate) async fn allow_another<L>(
        &mut self,
        max_attempts: u32,
        shared: &Shared<L>,
        log: &RequestLog,
    ) -> bool {
        let max = max_attempts as usize;
        let mut checked = 0;
        while self.runs.len() >= max && checked < self.runs.len() {
            if let Some(reachability) = self.runs[checked].end_evidence(shared).await {
                let ended = self.runs.swap_remove(checked);
                log.run_excluded(&ended, reachability);
            } else {
                checked += 1;
            }
        }
        self.runs.len() < max
    }
}

impl PossibleRun {
    /// What a new connection shows if the server has ended or is cut off; none if it counts. The
    /// connection timed out and a new one does too, or it ended and nothing listens at its address.
    /// Nothing less is a proof: a connection also times out while a living server does not read. A
    /// server that leaves or is not listed serves on, and one that accepts no connection may be
    /// paused or overloaded, but its system still acknowledges. What was sent to an earlier
    /// incarnation may run at the later one.
    async fn end_evidence<L>(&self, shared: &Shared<L>) -> Option<Reachability> {
        let reachability = match self.cause {
            LossCause::ConnectionTimeout => {
                shared.liveness.probe_after_timeout(&self.server, &shared.settings).await
            }
            // A server that leaves may stop listening and still work on what it has.
            LossCause::Disconnected if !may_be_leaving(&self.server.id, shared) => {
                probe_reachability(self.server.address, &shared.settings).await
            }
            _ => return None,
        };
        let has_ended = match (self.cause, reachability) {
            (_, Reachability::Alive) => false,
            (LossCause::ConnectionTimeout, Reachability::Refused) => {
                !may_be_leaving(&self.server.id, shared)
            }
            (LossCause::ConnectionTimeout, Reachability::Silent) => true,
            (_, reachability) => reachability == Reachability::Refused,
        };
        has_ended.then_some(reachability)
    }
}

/// Whether a server may be about to end, and has not ended as far as is known.
fn may_be_leaving<L>(server: &BackendId, shared: &Shared<L>) -> bool {
    let backends = shared.backends.lock().unwrap_or_else(PoisonError::into_inner);
    backends.is_leaving_or_gone(server) && !backends.has_later_incarnation(server)
}
