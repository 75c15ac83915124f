//! Steps of a request under which servers ended: they are recorded, other gateways learn of them, and the request reaches
//! no further server once too many have ended.

use std::sync::Arc;

use dahlia_backends::BackendId;
use dahlia_types::Duration;
use tokio::time::{self, Instant, sleep};

use crate::TurnLedger;
use crate::counted_runs::PossibleRun;
use crate::crash_evidence::{CrashEvidence, crash_evidence};
use crate::crash_suspects::{CrashSuspects, GatewayReach, SentRequest};
use crate::exchange::Exchange;
use crate::fingerprint::{RequestContent, RequestFingerprint};
use crate::refusal::Refusal;
use crate::router::hash_key;

/// How long a suspect request waits while servers have the same request from elsewhere.
const MAX_CLEARANCE_TIME: time::Duration = time::Duration::from_secs(1);
/// The pause before it asks again, in milliseconds: the least, and the most above it. Two gateways that ask at the same moment
/// do not do so again.
const MIN_PAUSE_MILLIS: u64 = 15;
const PAUSE_SPREAD_MILLIS: u64 = 30;

/// A request's content, and its registration while it goes to servers.
pub(crate) struct Suspicion {
    pub(crate) content: Arc<RequestContent>,
    sent: SentRequest,
}

impl Suspicion {
    pub(crate) fn new(suspects: &Arc<CrashSuspects>, content: RequestContent) -> Self {
        let content = Arc::new(content);
        let sent = suspects.register(Arc::clone(&content));
        Self { content, sent }
    }

    /// Notes that a server is about to get the request.
    pub(crate) fn mark_sent(&self, server: &BackendId) {
        self.sent.mark_sent(Some(server));
    }

    /// Notes that no server has the request.
    pub(crate) fn mark_returned(&self) {
        self.sent.mark_returned();
    }
}

/// Whether a suspect request may go to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Clearance {
    Granted,
    /// Too many servers ended under it.
    Withheld {
        /// How long this holds.
        retry_after: Duration,
    },
    /// Servers have the same request from elsewhere, and more might end under it together.
    InUse,
}

impl<L: TurnLedger> Exchange<L> {
    /// Registers the request, whose content is complete now.
    pub(crate) fn begin_suspicion(&mut self) {
        let tenant = self.matched.tenant().map(|tenant| &tenant.name);
        let content =
            RequestContent::new(tenant, self.head(), &self.shared.headers, self.body_content());
        self.suspicion = Some(Suspicion::new(&self.shared.suspects, content));
    }

    /// Refuses a request under which too many servers ended, in whatever attempt and at whatever gateway.
    ///
    /// # Errors
    /// Too many servers ended under it, or might end.
    pub(crate) async fn refuse_if_withheld(&mut self) -> Result<(), Refusal> {
        self.settle_own_uncertain_ends().await;
        let Some(request) = self.suspect_fingerprint() else { return Ok(()) };
        match self.await_clearance(request).await {
            Clearance::Granted => Ok(()),
            Clearance::Withheld { retry_after } => Err(Refusal::EndsServers { retry_after }),
            Clearance::InUse => {
                let retry_after = Duration::from_millis(self.shared.settings.retry_after_ms);
                Err(Refusal::Busy { retry_after })
            }
        }
    }

    /// Records that the server of a lost answer has ended, if it has.
    pub(crate) async fn record_end(&mut self, run: &PossibleRun) {
        let Some(suspicion) = &self.suspicion else { return };
        let evidence = crash_evidence(run, self.matched.service(), &self.shared).await;
        if matches!(evidence, CrashEvidence::Silent | CrashEvidence::Uncertain) {
            let request = suspicion.content.fingerprint();
            self.shared.uncertain_ends.add(request, &run.server, evidence);
        }
        if evidence.counts() {
            let (request, now) = (suspicion.content.fingerprint(), (self.shared.clock)());
            self.shared.suspects.record_end(request, &run.server.id, now);
            let ended = self.shared.suspects.ended_servers(request, now);
            self.log.server_ended(run, request, evidence, ended);
        }
        // Only now: whoever asks in between must see the request at its server, or the mark.
        suspicion.mark_returned();
    }

    /// Whether the request may go to a further server although servers ended under it. Other gateways know of these
    /// afterwards.
    pub(crate) async fn may_reach_further_server(&mut self) -> bool {
        if self.lost_answers > 1 {
            self.settle_own_uncertain_ends().await;
        }
        let Some(request) = self.suspect_fingerprint() else { return true };
        self.await_clearance(request).await == Clearance::Granted
    }

    /// Tells other gateways of servers that ended under the request: its caller may come back at any of them.
    pub(crate) async fn tell_ended_servers(&self) {
        let Some(request) = self.suspect_fingerprint() else { return };
        self.shared.suspects.consult(request, (self.shared.clock)()).await;
    }

    /// The servers that the request should not go to: one end would cast suspicion on all requests there.
    pub(crate) fn servers_to_avoid(&self) -> Vec<BackendId> {
        let Some(request) = self.suspect_fingerprint() else { return Vec::new() };
        self.shared.suspects.servers_with_suspects(request, (self.shared.clock)())
    }

    /// Records that a server answered the request whole.
    pub(crate) fn record_whole_answer(&self) {
        if let Some(suspicion) = &self.suspicion {
            self.shared.suspects.record_answer(&suspicion.content, (self.shared.clock)());
        }
    }

    /// Settles uncertain ends of servers that had this request before.
    async fn settle_own_uncertain_ends(&self) {
        let Some(suspicion) = &self.suspicion else { return };
        if self.shared.uncertain_ends.have_body_length(suspicion.content.body_bytes()) {
            self.shared.settle_uncertain_ends();
            self.shared.probe_uncertain_ends(suspicion.content.fingerprint()).await;
        }
    }

    /// The request's fingerprint, if servers ended under it.
    fn suspect_fingerprint(&self) -> Option<RequestFingerprint> {
        let content = &self.suspicion.as_ref()?.content;
        let suspects = &self.shared.suspects;
        if !suspects.may_be_suspect(content) {
            return None;
        }
        let request = content.fingerprint();
        (suspects.ended_servers(request, (self.shared.clock)()) > 0).then_some(request)
    }

    /// Asks other gateways whether the request may go to a server, and waits while servers have it from elsewhere.
    async fn await_clearance(&self, request: RequestFingerprint) -> Clearance {
        let Some(suspicion) = &self.suspicion else { return Clearance::Granted };
        let started = Instant::now();
        let suspects = &self.shared.suspects;
        for round in 0.. {
            // Counted before the others are asked: of two gateways that ask at the same time, one at least sees the other.
            suspicion.sent.mark_sent(None);
            let (elsewhere, reach) = suspects.consult(request, (self.shared.clock)()).await;
            // Before the marks: a request that leaves its server in between is counted twice rather than not at all.
            let in_flight = suspects.in_flight(request) + elsewhere as usize;
            let ended = suspects.ended_servers(request, (self.shared.clock)());
            let max_ended = suspects.max_ended(reach);
            if ended == 0 || ended + in_flight <= max_ended {
                return Clearance::Granted;
            }
            suspicion.sent.mark_returned();
            if ended >= max_ended {
                self.log.withheld_from_servers(request, ended, reach);
                return Clearance::Withheld { retry_after: self.retry_after(request) };
            }
            if started.elapsed() >= MAX_CLEARANCE_TIME {
                self.log.withheld_from_servers(request, ended, reach);
                return Clearance::InUse;
            }
            sleep(self.pause(round)).await;
        }
        Clearance::InUse
    }

    /// When the request may be accepted again. Gateways that cannot be reached now may be soon.
    fn retry_after(&self, request: RequestFingerprint) -> Duration {
        let suspects = &self.shared.suspects;
        let max_ended = suspects.max_ended(GatewayReach::All);
        let wait = suspects.time_until_below(request, max_ended, (self.shared.clock)());
        wait.max(Duration::from_millis(self.shared.settings.retry_after_ms))
    }

    fn pause(&self, round: u64) -> time::Duration {
        let draw =
            hash_key(self.head().attempt.as_bytes()).wrapping_add(hash_key(&round.to_le_bytes()));
        time::Duration::from_millis(MIN_PAUSE_MILLIS + draw % PAUSE_SPREAD_MILLIS)
    }
}
