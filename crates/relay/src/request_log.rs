//! Logs and counts the decisions on one request: one line for each, with the request's identifier,
//! what decided it, and the outcome.
//!
//! Decisions on successful requests have the level info, refusals and failures the level warn.
//! Bodies, headers other than identifiers, and addresses of callers are never logged.

use std::fmt;
use std::sync::Arc;

use dahlia_admission::QueuedRequest;
use dahlia_backends::{
    AttemptEnd, BackendId, ChoiceBasis, ServiceName, SoftwareVersion, TurnEstimate, VersionDigest,
};
use dahlia_types::Duration;
use http::{HeaderValue, StatusCode};
use tokio::time::Instant;

use crate::counted_runs::PossibleRun;
use crate::crash_evidence::CrashEvidence;
use crate::crash_suspects::GatewayReach;
use crate::end_confirmation::EndEvidence;
use crate::fingerprint::RequestFingerprint;
use crate::liveness::Reachability;
use crate::metrics::RelayMetrics;
use crate::received_answer::ReceivedAnswer;
use crate::refusal::Refusal;
use crate::repeats::{RepeatCause, WithheldReason};
use crate::request::RequestHead;
use crate::router::RouteMatch;

/// Stands for a missing value, or an identifier that is not text.
const MISSING: &str = "-";

/// The log of one request. Cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct RequestLog {
    metrics: Arc<RelayMetrics>,
    service: Option<ServiceName>,
    attempt: Option<HeaderValue>,
    arrived: Instant,
}

impl RequestLog {
    /// Creates the log of a request whose head was not read yet.
    pub(crate) fn new(metrics: Arc<RelayMetrics>, arrived: Instant) -> Self {
        Self { metrics, service: None, attempt: None, arrived }
    }

    /// Sets the request's identifier for all further lines.
    pub(crate) fn set_attempt(&mut self, head: &RequestHead) {
        self.attempt = Some(head.attempt.clone());
    }

    fn request(&self) -> &str {
        let text = self.attempt.as_ref().and_then(|attempt| attempt.to_str().ok());
        text.unwrap_or(MISSING)
    }

    fn answer_began(&self) {
        if let Some(service) = &self.service {
            self.metrics.observe_answer_begin(service, self.arrived.elapsed());
        }
    }

    fn answer_ended(&self) {
        if let Some(service) = &self.service {
            self.metrics.observe_answer_end(service, self.arrived.elapsed());
        }
    }

    fn count_whole_answer(&self, received: Option<&ReceivedAnswer>) {
        if let (Some(service), Some(received)) = (&self.service, received) {
            self.metrics.count_whole_answer(service, received.framing);
        }
    }

    fn age_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// The request matched a route.
    pub(crate) fn routed(
        &mut self,
        matched: &RouteMatch,
        program: Option<&str>,
        deadline: Instant,
    ) {
        self.service = Some(matched.service_name().clone());
        log::info!(
            target: "relay",
            request = self.request(),
            program = program.unwrap_or(MISSING),
            tenant = matched.tenant().map_or(MISSING, |tenant| tenant.name.as_str()),
            route = matched.route().name.as_str(),
            service = matched.service_name().0.as_str(),
            generation = matched.generation(),
            deadline_ms = deadline.saturating_duration_since(self.arrived).as_millis() as u64;
            "Taken."
        );
    }

    /// Its tenant's rate limit admits it, after a delay if the limit was near.
    pub(crate) fn permitted(&self, has_limit: bool) {
        if has_limit {
            log::info!(
                target: "relay",
                request = self.request(),
                age_ms = self.age_ms();
                "Within its tenant's limit."
            );
        }
    }

    /// The ledger opened its turn.
    pub(crate) fn turn_opened(&self, history_bytes: usize, served_by: Option<&str>) {
        self.metrics.observe_turn_open(self.arrived.elapsed());
        log::info!(
            target: "relay",
            request = self.request(),
            history_bytes = history_bytes,
            last_server = served_by.unwrap_or(MISSING),
            age_ms = self.age_ms();
            "Turn opened."
        );
    }

    /// All servers are full, and the request starts to wait.
    pub(crate) fn wait_started(&self, queued: &QueuedRequest) {
        log::info!(
            target: "relay",
            request = self.request(),
            rank = queued.rank,
            stage:? = queued.stage,
            tokens = queued.cost.0,
            age_ms = self.age_ms();
            "Waits for a server."
        );
    }

    /// The wait ended, with or without a server.
    pub(crate) fn wait_ended(&self, time: tokio::time::Duration) {
        self.metrics.observe_wait(time);
        log::info!(
            target: "relay",
            request = self.request(),
            waited_ms = time.as_millis() as u64,
            age_ms = self.age_ms();
            "Waited."
        );
    }

    /// A server was chosen for a request with this many bytes of body.
    pub(crate) fn chosen(
        &self,
        server: &BackendId,
        basis: &ChoiceBasis,
        sends_before: usize,
        bytes: usize,
    ) {
        self.metrics.count_choice(basis.reason, basis.distance, bytes);
        self.metrics.observe_list_age(basis.list_age);
        let expected = basis.estimate;
        let view_age = expected.and_then(|expected| expected.view_age);
        log::info!(
            target: "relay",
            request = self.request(),
            server:% = server,
            way = basis.reason.name(),
            reach = basis.distance.name(),
            in_flight = basis.in_flight,
            sound = basis.healthy,
            usable = basis.usable,
            listed = basis.listed,
            expected_ms:% = OrMissing(expected.map(|expected| expected.duration.as_millis())),
            token_us:% = OrMissing(expected.map(|expected| expected.time_per_token.as_micros())),
            attempts:% = OrMissing(expected.map(|expected| expected.attempts)),
            keeps_prompt:% = OrMissing(expected.map(|expected| expected.holds_prompt)),
            view_age_ms:% = OrMissing(view_age.map(Duration::as_millis)),
            list_age_ms:% = OrMissing(basis.list_age.map(Duration::as_millis)),
            listed_again_ms:% = OrMissing(basis.listed_again.map(Duration::as_millis)),
            sends_before = sends_before,
            age_ms = self.age_ms();
            "Server chosen."
        );
    }

    /// An attempt waited for a newer list of servers before it was sent.
    pub(crate) fn list_awaited(&self, server: &BackendId, waited: Duration) {
        log::info!(
            target: "relay",
            request = self.request(),
            server:% = server,
            waited_ms = waited.as_millis(),
            age_ms = self.age_ms();
            "Waited for a newer list of servers."
        );
    }

    /// An answer was complete after this time, and the choice had estimated another.
    pub(crate) fn turn_ended(&self, expected: TurnEstimate, time: Duration) {
        if let Some(service) = &self.service {
            self.metrics.observe_turn(service, expected.duration, time);
        }
    }

    /// An attempt did not produce an answer.
    pub(crate) fn attempt_failed(
        &self,
        server: &BackendId,
        end: AttemptEnd,
        cause: &str,
        received: Option<&ReceivedAnswer>,
    ) {
        self.metrics.count_failed_attempt(end);
        log::warn!(
            target: "relay",
            request = self.request(),
            server:% = server,
            end = end.name(),
            cause = cause,
            framing = framing(received),
            bytes:% = OrMissing(received.map(|received| received.bytes)),
            events:% = OrMissing(received.and_then(ReceivedAnswer::events)),
            inside_event:% = OrMissing(received.map(ReceivedAnswer::is_inside_event)),
            age_ms = self.age_ms();
            "An attempt failed."
        );
    }

    /// The request is sent to a server: for the first time, or again because of `repeat`. The
    /// server gets the time left until `deadline`.
    pub(crate) fn sent(&self, server: &BackendId, repeat: Option<RepeatCause>, deadline: Instant) {
        let Some(service) = &self.service else { return };
        let Some(cause) = repeat else {
            self.metrics.count_first_send(service);
            return;
        };
        self.metrics.count_repeat(service, cause);
        log::warn!(
            target: "relay",
            request = self.request(),
            server:% = server,
            service = service.0.as_str(),
            cause = cause.name(),
            deadline_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u64,
            age_ms = self.age_ms();
            "Sent again."
        );
    }

    /// The answer of a server that may have run the request is lost. `counted` servers count
    /// against the route's limit, this one included if it counts. `withheld` says why no other
    /// server gets the request.
    pub(crate) fn answer_lost(
        &self,
        run: &PossibleRun,
        counted: usize,
        max_attempts: u32,
        withheld: Option<WithheldReason>,
    ) {
        if let (Some(service), Some(reason)) = (&self.service, withheld) {
            self.metrics.count_withheld_repeat(service, reason);
        }
        log::warn!(
            target: "relay",
            request = self.request(),
            server:% = run.server.id,
            cause = run.cause.name(),
            counted = counted,
            most = max_attempts,
            withheld = withheld.map_or(MISSING, WithheldReason::name),
            age_ms = self.age_ms();
            "An answer is lost."
        );
    }

    /// A server that may have run the request has ended or is cut off, so that it does not count
    /// against the route's limit.
    pub(crate) fn run_excluded(&self, run: &PossibleRun, reachability: Reachability) {
        if let Some(service) = &self.service {
            self.metrics.count_excluded_run(service);
        }
        log::warn!(
            target: "relay",
            request = self.request(),
            server:% = run.server.id,
            cause = run.cause.name(),
            new_connection:? = reachability,
            age_ms = self.age_ms();
            "A server is lost and does not count against the attempt limit."
        );
    }

    /// The server of a lost answer has ended, or may have. `ended` servers count as ended under the request, in all of its
    /// attempts that this gateway knows of.
    pub(crate) fn server_ended(
        &self,
        run: &PossibleRun,
        request: RequestFingerprint,
        evidence: CrashEvidence,
        ended: usize,
    ) {
        if let Some(service) = &self.service {
            self.metrics.count_ended_server(service, evidence);
        }
        log::warn!(
            target: "relay",
            request = self.request(),
            request_hash:% = request,
            server:% = run.server.id,
            cause = run.cause.name(),
            evidence = evidence.name(),
            ended = ended,
            age_ms = self.age_ms();
            "A server ended while it had the request."
        );
    }

    /// No further server gets the request, under which `ended` servers ended.
    pub(crate) fn withheld_from_servers(
        &self,
        request: RequestFingerprint,
        ended: usize,
        reach: GatewayReach,
    ) {
        log::warn!(
            target: "relay",
            request = self.request(),
            request_hash:% = request,
            ended = ended,
            gateways:? = reach,
            age_ms = self.age_ms();
            "No further server gets the request: too many ended under it."
        );
    }

    /// A complete answer of a server is forwarded. `received` is what arrived of it.
    pub(crate) fn answered(
        &self,
        server: &BackendId,
        status: StatusCode,
        bytes: usize,
        received: Option<&ReceivedAnswer>,
    ) {
        self.answer_began();
        self.answer_ended();
        self.count_whole_answer(received);
        log::info!(
            target: "relay",
            request = self.request(),
            server:% = server,
            status = status.as_u16(),
            framing = framing(received),
            bytes = bytes,
            age_ms = self.age_ms();
            "Answered."
        );
    }

    /// An answer has ended with its connection, and its server was checked for this long.
    pub(crate) fn end_checked(
        &self,
        server: &BackendId,
        evidence: EndEvidence,
        time: tokio::time::Duration,
    ) {
        if let Some(service) = &self.service {
            self.metrics.count_checked_end(service, evidence, time);
        }
        log::info!(
            target: "relay",
            request = self.request(),
            server:% = server,
            evidence = evidence.name(),
            took_ms = time.as_millis() as u64,
            age_ms = self.age_ms();
            "Checked whether a server lived past its answer."
        );
    }

    /// A server's stream begins.
    pub(crate) fn stream_began(
        &self,
        server: &BackendId,
        version: &SoftwareVersion,
        status: StatusCode,
    ) {
        self.answer_began();
        log::info!(
            target: "relay",
            request = self.request(),
            server:% = server,
            version = version.name(),
            status = status.as_u16(),
            age_ms = self.age_ms();
            "Stream began."
        );
    }

    /// The caller takes up a stream, and this version began it; none if nobody can tell.
    pub(crate) fn stream_taken_up(
        &self,
        first_attempt: Option<&str>,
        version: Option<VersionDigest>,
    ) {
        log::info!(
            target: "relay",
            request = self.request(),
            first_attempt = first_attempt.unwrap_or(MISSING),
            version:% = OrMissing(version.map(|version| version.0)),
            age_ms = self.age_ms();
            "Stream taken up."
        );
    }

    /// Other daemons have not been sent in time where the stream began.
    pub(crate) fn origin_not_sent(&self) {
        log::warn!(
            target: "relay",
            request = self.request(),
            age_ms = self.age_ms();
            "An event did not wait longer until other daemons know its stream."
        );
    }

    /// A broken stream resumes at another server.
    pub(crate) fn stream_resumed(&self, server: &BackendId, version: &SoftwareVersion) {
        log::warn!(
            target: "relay",
            request = self.request(),
            server:% = server,
            version = version.name(),
            age_ms = self.age_ms();
            "Stream resumed."
        );
    }

    /// The stream was complete. `received` is the answer of the last server.
    pub(crate) fn stream_ended(&self, server: &str, received: Option<&ReceivedAnswer>) {
        self.answer_ended();
        self.count_whole_answer(received);
        log::info!(
            target: "relay",
            request = self.request(),
            server = server,
            framing = framing(received),
            bytes:% = OrMissing(received.map(|received| received.bytes)),
            events:% = OrMissing(received.and_then(ReceivedAnswer::events)),
            age_ms = self.age_ms();
            "Stream ended whole."
        );
    }

    /// The stream is broken off.
    pub(crate) fn stream_broken(&self, cause: &str) {
        log::warn!(
            target: "relay",
            request = self.request(),
            cause = cause,
            age_ms = self.age_ms();
            "Stream broken off."
        );
    }

    /// The relay refuses the request.
    pub(crate) fn refused(&self, refusal: &Refusal) {
        self.metrics.count_refusal(refusal.name());
        log::warn!(
            target: "relay",
            request = self.request(),
            status = refusal.status().as_u16(),
            cause:% = refusal,
            retry_after_ms = refusal.retry_after().map_or(0, Duration::as_millis),
            age_ms = self.age_ms();
            "Refused."
        );
    }

    /// The caller disconnected before its answer, or before the end of its stream.
    fn caller_left(&self) {
        log::warn!(
            target: "relay",
            request = self.request(),
            age_ms = self.age_ms();
            "The caller left."
        );
    }
}

fn framing(received: Option<&ReceivedAnswer>) -> &'static str {
    received.map_or(MISSING, |received| received.framing.name())
}

/// A value of a log line that may be missing.
struct OrMissing<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for OrMissing<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str(MISSING),
        }
    }
}

/// Logs on drop that the caller disconnected, unless the request ended before.
#[derive(Default)]
pub(crate) struct DisconnectGuard {
    log: Option<RequestLog>,
}

impl DisconnectGuard {
    /// Starts watching a request.
    pub(crate) fn start(&mut self, log: RequestLog) {
        self.log = Some(log);
    }

    /// Records that the request has ended.
    pub(crate) fn finish(&mut self) {
        self.log = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(log) = &self.log {
            log.caller_left();
        }
    }
}
