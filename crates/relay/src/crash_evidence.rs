//! Whether a server ended while it had a request, as far as its gateway can tell.
//!
//! A request is suspected on less than a proof, since a server that is missed may cost a further one. But a server that lives on must
//! not make a request suspect: what is uncertain is settled by what is heard of the server later.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use dahlia_backends::BackendAddress;
use http::HeaderMap;
use tokio::time::{Duration, Instant, sleep};

use crate::Service;
use crate::connection::{OpenError, ServerConnection};
use crate::counted_runs::PossibleRun;
use crate::counters::count;
use crate::fingerprint::RequestFingerprint;
use crate::liveness::{Reachability, probe_reachability};
use crate::pool::KeepAlive;
use crate::relay::Shared;
use crate::repeats::LossCause;

/// How long an uncertain end may still be settled. Discovery lists the next incarnation of a server within seconds.
const MAX_UNCERTAIN_TIME: Duration = Duration::from_secs(30);
/// How long after a loss its server is probed again when the request comes back. An ending process may have accepted the
/// first probe.
const REPROBE_TIME: Duration = Duration::from_secs(5);
/// How long a killed process may take to close what it has open.
const END_TIME: Duration = Duration::from_millis(5);
/// The most uncertain ends; the oldest are dropped first.
const MAX_UNCERTAIN_ENDS: usize = 1_024;

/// What is known of a server whose answer is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashEvidence {
    /// It has ended.
    Ended,
    /// Its system does not respond. It counts as ended until something comes from it.
    Silent,
    /// It ended the connection, and something accepts connections at its address: itself or its successor.
    Uncertain,
    /// It lives on, or was about to end anyway.
    None,
}

impl CrashEvidence {
    /// The evidence in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Silent => "silent",
            Self::Uncertain => "uncertain",
            Self::None => "none",
        }
    }

    /// Whether the server counts as ended.
    pub(crate) fn counts(self) -> bool {
        matches!(self, Self::Ended | Self::Silent)
    }
}

/// Finds out whether the server of a lost answer has ended.
pub(crate) async fn crash_evidence<L>(
    run: &PossibleRun,
    service: Option<&Service>,
    shared: &Shared<L>,
) -> CrashEvidence {
    if is_draining(&run.server, shared) {
        return CrashEvidence::None;
    }
    match run.cause {
        LossCause::InvalidAnswer => CrashEvidence::None,
        LossCause::Restarted => CrashEvidence::Ended,
        LossCause::Unresponsive => CrashEvidence::Silent,
        LossCause::ConnectionTimeout => {
            let liveness = &shared.liveness;
            let reachability = liveness.probe_after_timeout(&run.server, &shared.settings).await;
            evidence_of(reachability, &run.server, shared)
        }
        LossCause::Disconnected => {
            let reachability = probe_for_next_request(&run.server, service, shared).await;
            evidence_of(reachability, &run.server, shared)
        }
    }
}

/// What a new connection to the server of a lost answer shows.
fn evidence_of<L>(
    reachability: Reachability,
    server: &BackendAddress,
    shared: &Shared<L>,
) -> CrashEvidence {
    match reachability {
        Reachability::Refused => CrashEvidence::Ended,
        Reachability::Silent => CrashEvidence::Silent,
        Reachability::Alive if has_successor(server, shared) => CrashEvidence::Ended,
        Reachability::Alive => CrashEvidence::Uncertain,
    }
}

/// Probes a server, and keeps the connection for its next request.
async fn probe_for_next_request<L>(
    server: &BackendAddress,
    service: Option<&Service>,
    shared: &Shared<L>,
) -> Reachability {
    let reachability = match ServerConnection::open(server.address, &shared.settings).await {
        Err(OpenError::Timeout { .. }) => Reachability::Silent,
        Err(error) if error.is_refused() => Reachability::Refused,
        Err(OpenError::Connect { .. } | OpenError::Start { .. }) => Reachability::Alive,
        Ok(connection) => {
            count(&shared.counters.connections_to_servers);
            keep_if_alive(server, connection, service, shared).await
        }
    };
    log::info!(
        target: "relay",
        server:% = server.id, outcome:? = reachability;
        "Tried whether a server has ended."
    );
    reachability
}

/// Keeps a connection that is still open after a moment. A process that ends may close its connections before it stops
/// listening, and those that it has not accepted close with it.
async fn keep_if_alive<L>(
    server: &BackendAddress,
    mut connection: ServerConnection,
    service: Option<&Service>,
    shared: &Shared<L>,
) -> Reachability {
    sleep(END_TIME).await;
    if !connection.is_reusable() {
        return probe_reachability(server.address, &shared.settings).await;
    }
    if !is_evacuated(server, shared) {
        let keep_alive = KeepAlive::new(&HeaderMap::new(), service, &shared.settings);
        shared.pool.put(&server.id, connection, keep_alive);
    }
    Reachability::Alive
}

fn is_evacuated<L>(server: &BackendAddress, shared: &Shared<L>) -> bool {
    let backends = shared.backends.lock().unwrap_or_else(PoisonError::into_inner);
    backends.is_evacuated(&server.id)
}

fn is_draining<L>(server: &BackendAddress, shared: &Shared<L>) -> bool {
    let backends = shared.backends.lock().unwrap_or_else(PoisonError::into_inner);
    backends.is_draining(&server.id)
}

fn has_successor<L>(server: &BackendAddress, shared: &Shared<L>) -> bool {
    let backends = shared.backends.lock().unwrap_or_else(PoisonError::into_inner);
    backends.has_successor(&server.id, server.address)
}

/// A server that may have ended while it had a request.
#[derive(Debug, Clone)]
struct UncertainEnd {
    request: RequestFingerprint,
    server: BackendAddress,
    at: Instant,
    evidence: CrashEvidence,
}

/// Ends that are not settled.
#[derive(Debug, Default)]
pub(crate) struct UncertainEnds(Mutex<VecDeque<UncertainEnd>>);

impl UncertainEnds {
    pub(crate) fn add(
        &self,
        request: RequestFingerprint,
        server: &BackendAddress,
        evidence: CrashEvidence,
    ) {
        let end = UncertainEnd { request, server: server.clone(), at: Instant::now(), evidence };
        let mut ends = self.lock();
        ends.push_back(end);
        if ends.len() > MAX_UNCERTAIN_ENDS {
            ends.pop_front();
        }
    }

    /// Whether one of them concerns a request with a body of this length.
    pub(crate) fn have_body_length(&self, bytes: u64) -> bool {
        self.lock().iter().any(|end| end.request.body_bytes == bytes)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<UncertainEnd>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What is known of an uncertain end now.
enum Settlement {
    Ended,
    LivesOn,
    Open,
    /// It is too old to be settled.
    Expired,
}

impl<L> Shared<L> {
    /// Settles uncertain ends by what has been heard of their servers since.
    pub(crate) fn settle_uncertain_ends(&self) {
        let ends: Vec<UncertainEnd> = self.uncertain_ends.lock().drain(..).collect();
        let mut open = VecDeque::new();
        for end in ends {
            match self.settlement(&end) {
                Settlement::Open => open.push_back(end),
                Settlement::Expired => {}
                Settlement::Ended => self.settle_as_ended(&end),
                Settlement::LivesOn => self.settle_as_alive(&end),
            }
        }
        let mut ends = self.uncertain_ends.lock();
        open.append(&mut ends);
        *ends = open;
    }

    /// Probes again the servers that may have ended under a request a moment ago, unless something shows that they live.
    pub(crate) async fn probe_uncertain_ends(&self, request: RequestFingerprint) {
        let is_due = |end: &&UncertainEnd| {
            end.request == request
                && end.evidence == CrashEvidence::Uncertain
                && end.at.elapsed() < REPROBE_TIME
                && !self.was_heard_since(end)
                && !self.pool.has_open(&end.server.id)
        };
        let due: Vec<UncertainEnd> =
            self.uncertain_ends.lock().iter().filter(is_due).cloned().collect();
        for end in due {
            let reachability = probe_reachability(end.server.address, &self.settings).await;
            if reachability == Reachability::Refused && !is_draining(&end.server, self) {
                self.settle_as_ended(&end);
                self.uncertain_ends.lock().retain(|it| it.at != end.at || it.request != request);
            }
        }
    }

    fn settlement(&self, end: &UncertainEnd) -> Settlement {
        if has_successor(&end.server, self) {
            return Settlement::Ended;
        }
        if end.evidence == CrashEvidence::Silent && self.was_heard_since(end) {
            return Settlement::LivesOn;
        }
        match end.at.elapsed() < MAX_UNCERTAIN_TIME {
            true => Settlement::Open,
            false => Settlement::Expired,
        }
    }

    fn was_heard_since(&self, end: &UncertainEnd) -> bool {
        self.liveness.last_contact(&end.server.id).is_some_and(|contact| contact > end.at)
    }

    fn settle_as_ended(&self, end: &UncertainEnd) {
        if end.evidence == CrashEvidence::Uncertain {
            let now = (self.clock)();
            let counts = self.suspects.record_late_end(end.request, &end.server.id, now);
            log::warn!(
                target: "relay",
                server:% = end.server.id, request_hash:% = end.request, counts = counts;
                "A server had ended while it had a request."
            );
        }
    }

    fn settle_as_alive(&self, end: &UncertainEnd) {
        let is_retracted = self.suspects.retract(end.request, &end.server.id, (self.clock)());
        log::info!(
            target: "relay",
            server:% = end.server.id, request_hash:% = end.request, retracted = is_retracted;
            "A silent server responds again."
        );
    }
}
