//! Requests under which servers ended, and how many more servers they may reach.
//!
//! A request that ends each server which reads it must not take down a service. So every server that ended under a request is
//! recorded by the request's fingerprint, and all gateways learn of it through the channel of
//! [`CrashSuspects::connect`] before the caller does. A request under which too many servers ended is refused, at any gateway and
//! in any later attempt. A whole answer shows that the request does not end its servers and voids its marks.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use dahlia_backends::{BackendId, ServerDigest};
use dahlia_types::{Duration, Timestamp};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{self, timeout};

use crate::RelaySettings;
use crate::crash_records::{CrashMark, CrashRecords};
use crate::fingerprint::{RequestContent, RequestFingerprint};

/// How long a request waits for what other gateways know. Longer than the daemon waits for them.
const CONSULTATION_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// The most consultations at a time. When many servers end at once, the others wait.
const MAX_CONSULTATIONS: usize = 64;
/// How long an answered request counts as one that does not end its servers.
const ANSWER_RETENTION: Duration = Duration::from_secs(60);
/// The most answered requests that are remembered.
const MAX_ANSWERED: usize = 8_192;

/// Which other gateways know what this one knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayReach {
    /// All.
    All,
    /// More than half, this one included. The others may be cut off, and servers may end there too.
    Majority,
    /// No more than half.
    Minority,
}

/// What other gateways know of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Consultation {
    /// Its marks.
    pub marks: Vec<CrashMark>,
    /// How many servers have it now, through other gateways.
    pub in_flight: u32,
    /// Which gateways have answered.
    pub reach: GatewayReach,
}

/// A request of a relay to its daemon.
#[derive(Debug)]
pub enum SuspectRequest {
    /// Tell all other gateways the marks of one request, and return what they know of it.
    Consult {
        /// The marks.
        marks: Vec<CrashMark>,
        /// For what they know.
        reply: oneshot::Sender<Consultation>,
    },
    /// Tell all other gateways these marks.
    Inform {
        /// The marks.
        marks: Vec<CrashMark>,
    },
}

/// What this gateway knows of the requests in a message of another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownMarks {
    /// Their marks.
    pub marks: Vec<CrashMark>,
    /// How many servers have them now, through this gateway.
    pub in_flight: u32,
}

/// The requests under which servers ended, as this gateway knows them.
#[derive(Debug)]
pub struct CrashSuspects {
    max_ended: usize,
    retention: Duration,
    records: Mutex<CrashRecords>,
    sent: Mutex<SentRequests>,
    answered: Mutex<AnsweredRequests>,
    daemon: OnceLock<mpsc::UnboundedSender<SuspectRequest>>,
    consultations: Semaphore,
}

impl CrashSuspects {
    pub(crate) fn new(settings: &RelaySettings) -> Arc<Self> {
        Arc::new(Self {
            max_ended: settings.most_ended_servers as usize,
            retention: Duration::from_secs(settings.ended_servers_retention_s),
            records: Mutex::default(),
            sent: Mutex::default(),
            answered: Mutex::default(),
            daemon: OnceLock::new(),
            consultations: Semaphore::new(MAX_CONSULTATIONS),
        })
    }

    /// Returns the requests of this relay from now on. Without a daemon, it knows only what it has seen itself. Later calls
    /// return a channel without requests.
    pub fn connect(&self) -> mpsc::UnboundedReceiver<SuspectRequest> {
        let (sender, requests) = mpsc::unbounded_channel();
        let _ = self.daemon.set(sender);
        requests
    }

    /// Learns marks of another gateway, and returns what this one knows of the same requests.
    pub fn learn(&self, marks: &[CrashMark], now: Timestamp) -> KnownMarks {
        let mut requests: Vec<RequestFingerprint> = marks.iter().map(|it| it.request).collect();
        requests.sort_unstable();
        requests.dedup();
        self.add_marks(marks, now);
        for request in &requests {
            // Nobody is told: all gateways that have answered the request do the same, and the one that asked gets the answer.
            self.void_if_answered(*request, now);
        }
        // Hashes requests that were sent before anything was suspect, so that their answers are noticed.
        let in_flight = requests.iter().map(|request| self.in_flight(*request) as u32).sum();
        let records = self.lock_records();
        let known = requests.iter().flat_map(|request| records.marks(*request, now)).collect();
        KnownMarks { marks: known, in_flight }
    }

    /// A hash of all marks, by which two gateways notice that they know different ones.
    pub fn digest(&self, now: Timestamp) -> u64 {
        self.lock_records().digest(now)
    }

    /// At most this many marks, those of the requests under which most servers ended first.
    pub fn worst_marks(&self, max: usize, now: Timestamp) -> Vec<CrashMark> {
        self.lock_records().worst(max, now)
    }

    /// Drops marks whose time is over.
    pub fn prune(&self, now: Timestamp) {
        self.lock_records().prune(now);
    }

    /// The requests under which servers ended, void marks included.
    pub fn known_requests(&self) -> usize {
        self.lock_records().len()
    }

    /// The requests that are refused now.
    pub fn refused_requests(&self, now: Timestamp) -> Vec<(RequestFingerprint, usize)> {
        let records = self.lock_records();
        let mut requests: Vec<RequestFingerprint> =
            records.all(now).into_iter().map(|mark| mark.request).collect();
        requests.sort_unstable();
        requests.dedup();
        let ended = requests.into_iter().map(|it| (it, records.ended_servers(it, now)));
        ended.filter(|(_, ended)| *ended >= self.max_ended).collect()
    }

    /// The requests that were answered whole a short time ago, as far as they are remembered.
    pub fn answered_requests(&self) -> Vec<RequestFingerprint> {
        self.lock_answered().answered_at.keys().copied().collect()
    }

    /// Voids all marks of a request, here and at all other gateways. Returns how many counted before.
    pub fn pardon(&self, request: RequestFingerprint, now: Timestamp) -> usize {
        let voided = self.lock_records().void(request, None, now);
        let count = voided.len();
        self.inform(voided);
        count
    }

    /// The servers that may end under one request before it is refused.
    pub(crate) fn max_ended(&self, reach: GatewayReach) -> usize {
        match reach {
            GatewayReach::All => self.max_ended,
            // One server is left to those that are cut off.
            GatewayReach::Majority => (self.max_ended - 1).max(1),
            GatewayReach::Minority => 1,
        }
    }

    /// Whether a request may be suspect. It need not be hashed otherwise.
    pub(crate) fn may_be_suspect(&self, content: &RequestContent) -> bool {
        self.lock_records().has_body_length(content.body_bytes())
    }

    pub(crate) fn ended_servers(&self, request: RequestFingerprint, now: Timestamp) -> usize {
        self.lock_records().ended_servers(request, now)
    }

    pub(crate) fn time_until_below(
        &self,
        request: RequestFingerprint,
        limit: usize,
        now: Timestamp,
    ) -> Duration {
        self.lock_records().time_until_below(request, limit, now)
    }

    /// Records that a server ended under a request. Returns whether this counts: not if the request was answered whole a
    /// short time ago.
    pub(crate) fn record_end(
        &self,
        request: RequestFingerprint,
        server: &BackendId,
        now: Timestamp,
    ) -> bool {
        let server = ServerDigest::of(server);
        let mark = CrashMark { request, server, is_void: false, lifetime: self.retention };
        self.add_marks(&[mark], now);
        let voided = self.void_if_answered(request, now);
        let counts = voided.is_empty();
        self.inform(voided);
        counts
    }

    /// Records an end that was uncertain before, here and at all other gateways. Returns whether it counts.
    pub(crate) fn record_late_end(
        &self,
        request: RequestFingerprint,
        server: &BackendId,
        now: Timestamp,
    ) -> bool {
        let counts = self.record_end(request, server, now);
        let marks = self.lock_records().marks(request, now);
        self.inform(marks);
        counts
    }

    /// Voids the mark of a server that turned out to live on.
    pub(crate) fn retract(
        &self,
        request: RequestFingerprint,
        server: &BackendId,
        now: Timestamp,
    ) -> bool {
        let server = ServerDigest::of(server);
        let voided = self.lock_records().void(request, Some(server), now);
        let is_voided = !voided.is_empty();
        self.inform(voided);
        is_voided
    }

    /// Records that a server answered a request whole.
    pub(crate) fn record_answer(&self, content: &RequestContent, now: Timestamp) {
        if content.is_short() {
            self.lock_answered().put(content.fingerprint(), now);
        }
        let Some(request) = content.known_fingerprint() else { return };
        let voided = self.lock_records().void(request, None, now);
        self.inform(voided);
    }

    /// Tells all other gateways the marks of a request, and learns what they know of it.
    pub(crate) async fn consult(
        &self,
        request: RequestFingerprint,
        now: Timestamp,
    ) -> (u32, GatewayReach) {
        let Some(daemon) = self.daemon.get() else { return (0, GatewayReach::All) };
        let (reply, consultation) = oneshot::channel();
        let asked = async {
            let _permit = self.consultations.acquire().await.ok()?;
            let marks = self.lock_records().marks(request, now);
            daemon.send(SuspectRequest::Consult { marks, reply }).ok()?;
            consultation.await.ok()
        };
        let Ok(Some(Consultation { marks, in_flight, reach })) =
            timeout(CONSULTATION_TIMEOUT, asked).await
        else {
            return (0, GatewayReach::Minority);
        };
        self.add_marks(&marks, now);
        (in_flight, reach)
    }

    /// Registers a request that is about to be sent to servers. It counts as sent from now on, since other gateways may ask
    /// before it is.
    pub(crate) fn register(self: &Arc<Self>, content: Arc<RequestContent>) -> SentRequest {
        let mut sent = self.lock_sent();
        let id = sent.next_id;
        sent.next_id += 1;
        sent.by_id.insert(id, InFlight { content, is_sent: true, server: None });
        SentRequest { suspects: Arc::clone(self), id }
    }

    /// How many servers have a request through this gateway, or are about to.
    pub(crate) fn in_flight(&self, request: RequestFingerprint) -> usize {
        let candidates: Vec<Arc<RequestContent>> = {
            let sent = self.lock_sent();
            let is_candidate =
                |it: &&InFlight| it.is_sent && it.content.body_bytes() == request.body_bytes;
            sent.by_id.values().filter(is_candidate).map(|it| Arc::clone(&it.content)).collect()
        };
        candidates.iter().filter(|content| content.fingerprint() == request).count()
    }

    /// The servers that have another suspect request through this gateway.
    pub(crate) fn servers_with_suspects(
        &self,
        except: RequestFingerprint,
        now: Timestamp,
    ) -> Vec<BackendId> {
        let at_servers: Vec<(RequestFingerprint, BackendId)> = {
            let sent = self.lock_sent();
            let known = sent
                .by_id
                .values()
                .filter_map(|it| Some((it.content.known_fingerprint()?, it.server.clone()?)));
            known.filter(|(request, _)| *request != except).collect()
        };
        let records = self.lock_records();
        let suspects = at_servers.into_iter().filter(|(it, _)| records.ended_servers(*it, now) > 0);
        suspects.map(|(_, server)| server).collect()
    }

    fn add_marks(&self, marks: &[CrashMark], now: Timestamp) {
        let mut records = self.lock_records();
        for mark in marks {
            records.add(*mark, now);
        }
    }

    /// Voids the marks of a request that was answered whole a short time ago. Returns those that counted before.
    fn void_if_answered(&self, request: RequestFingerprint, now: Timestamp) -> Vec<CrashMark> {
        match self.lock_answered().contains(request, now) {
            true => self.lock_records().void(request, None, now),
            false => Vec::new(),
        }
    }

    fn inform(&self, marks: Vec<CrashMark>) {
        if marks.is_empty() {
            return;
        }
        if let Some(daemon) = self.daemon.get() {
            // The daemon's task ends only with the process.
            let _ = daemon.send(SuspectRequest::Inform { marks });
        }
    }

    fn lock_records(&self) -> MutexGuard<'_, CrashRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_sent(&self) -> MutexGuard<'_, SentRequests> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_answered(&self) -> MutexGuard<'_, AnsweredRequests> {
        self.answered.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct InFlight {
    content: Arc<RequestContent>,
    /// Whether a server has it or is about to get it.
    is_sent: bool,
    server: Option<BackendId>,
}

#[derive(Debug, Default)]
struct SentRequests {
    by_id: HashMap<u64, InFlight>,
    next_id: u64,
}

/// A request of this gateway that goes to servers, until it is dropped.
#[derive(Debug)]
pub(crate) struct SentRequest {
    suspects: Arc<CrashSuspects>,
    id: u64,
}

impl SentRequest {
    /// Notes that a server is about to get it.
    pub(crate) fn mark_sent(&self, server: Option<&BackendId>) {
        self.set(true, server);
    }

    /// Notes that no server has it.
    pub(crate) fn mark_returned(&self) {
        self.set(false, None);
    }

    fn set(&self, is_sent: bool, server: Option<&BackendId>) {
        if let Some(request) = self.suspects.lock_sent().by_id.get_mut(&self.id) {
            request.is_sent = is_sent;
            request.server = server.cloned();
        }
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        self.suspects.lock_sent().by_id.remove(&self.id);
    }
}

/// Requests that were answered whole, for a short time.
#[derive(Debug, Default)]
struct AnsweredRequests {
    answered_at: HashMap<RequestFingerprint, Timestamp>,
    by_age: VecDeque<(Timestamp, RequestFingerprint)>,
}

impl AnsweredRequests {
    fn contains(&self, request: RequestFingerprint, now: Timestamp) -> bool {
        self.answered_at.get(&request).is_some_and(|at| now.since(*at) < ANSWER_RETENTION)
    }

    fn put(&mut self, request: RequestFingerprint, now: Timestamp) {
        self.answered_at.insert(request, now);
        self.by_age.push_back((now, request));
        while let Some(&(at, oldest)) = self.by_age.front() {
            if now.since(at) < ANSWER_RETENTION && self.by_age.len() <= MAX_ANSWERED {
                return;
            }
            self.by_age.pop_front();
            if self.answered_at.get(&oldest) == Some(&at) {
                self.answered_at.remove(&oldest);
            }
        }
    }
}
