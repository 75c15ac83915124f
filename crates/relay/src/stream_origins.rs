//! Where streams began: the software version of the server that made a stream's first event, by the attempt that
//! brought it. The daemon spreads it to other daemons and asks them, through the channel of [`StreamOrigins::connect`].

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use dahlia_backends::{ServiceName, VersionDigest, VersionView, stable_hash};
use dahlia_types::{Duration, TenantId, Timestamp};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{self, timeout};

/// The most streams that are kept, at some 150 bytes each: more than a gateway begins while their callers may come
/// back.
const MAX_STREAMS: usize = 16_384;
/// How long a caller that takes up a stream waits for the daemon's answer. Longer than the daemon asks others.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Identifies a stream at all daemons, by a hash of its service, tenant and first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

impl StreamId {
    /// The stream whose first event came with `attempt`.
    pub(crate) fn new(service: &ServiceName, tenant: Option<&TenantId>, attempt: &[u8]) -> Self {
        let tenant = tenant.map_or("", TenantId::as_str);
        // Lengths keep the parts apart.
        let parts = [service.0.as_bytes(), tenant.as_bytes(), attempt];
        let bytes = parts.into_iter().flat_map(|part| {
            (part.len() as u64).to_le_bytes().into_iter().chain(part.iter().copied())
        });
        Self(stable_hash(bytes))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// The version that began it.
    pub version: VersionDigest,
    /// How much longer its caller may come back.
    pub lifetime: Duration,
}

/// A request of a relay to its daemon.
#[derive(Debug)]
pub enum OriginRequest {
    /// Tell other daemons where this stream began.
    Share {
        /// The stream.
        origin: StreamOrigin,
        /// Told when this has been sent. Only then the caller gets the first event, since the stream may break at any
        /// moment after it.
        sent: oneshot::Sender<()>,
    },
    /// Find out where a stream of another daemon began.
    Find {
        /// The stream.
        stream: StreamId,
        /// Its service.
        service: ServiceName,
        /// For the answer: none if nobody can tell.
        reply: oneshot::Sender<Option<VersionDigest>>,
    },
}

/// The origins of this relay's streams, and the way to those of others.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    begun: Mutex<BegunStreams>,
    daemon: OnceLock<mpsc::UnboundedSender<OriginRequest>>,
    /// Until when each stream is shared, whatever versions are known; none if only several versions are a reason.
    share_all_until: OnceLock<Timestamp>,
}

impl StreamOrigins {
    /// Returns the requests of this relay from now on. Without a daemon, only its own streams are known. Later calls
    /// return a channel without requests.
    pub fn connect(&self) -> mpsc::UnboundedReceiver<OriginRequest> {
        let (sender, requests) = mpsc::unbounded_channel();
        let _ = self.daemon.set(sender);
        requests
    }

    /// Shares each stream until then: this process does not know which versions served before its start. Later calls
    /// change nothing.
    pub fn share_all_until(&self, until: Timestamp) {
        let _ = self.share_all_until.set(until);
    }

    /// Whether other daemons are to be told of the streams of a service with these versions.
    pub(crate) fn must_share(&self, versions: VersionView, now: Timestamp) -> bool {
        let knows_past = self.share_all_until.get().is_none_or(|until| now >= *until);
        versions == VersionView::Several || !knows_past
    }

    /// The streams of a service whose callers may still come back.
    pub fn begun(&self, service: &ServiceName, now: Timestamp) -> Vec<StreamOrigin> {
        let begun = self.lock();
        let streams = begun.by_id.iter().filter(|(_, it)| it.service == *service);
        let origin = |(stream, begun): (&StreamId, &BegunStream)| StreamOrigin {
            stream: *stream,
            version: begun.version,
            lifetime: begun.expires_at.since(now),
        };
        streams.map(origin).filter(|it| it.lifetime > Duration::ZERO).collect()
    }

    /// Records where a stream began.
    pub(crate) fn record(&self, origin: StreamOrigin, service: &ServiceName, now: Timestamp) {
        let StreamOrigin { stream, version, lifetime } = origin;
        let begun = BegunStream { service: service.clone(), version, expires_at: now + lifetime };
        self.lock().put(stream, begun, now);
    }

    /// Tells other daemons where a stream began. Returns what tells that they have been sent it.
    pub(crate) fn share(&self, origin: StreamOrigin) -> Option<oneshot::Receiver<()>> {
        let daemon = self.daemon.get()?;
        let (sent, is_sent) = oneshot::channel();
        daemon.send(OriginRequest::Share { origin, sent }).ok()?;
        Some(is_sent)
    }

    /// Finds out where a stream began; none if nobody can tell. `versions` are those of its service, as this relay
    /// knows them.
    pub(crate) async fn find(
        &self,
        stream: StreamId,
        service: &ServiceName,
        versions: VersionView,
        now: Timestamp,
    ) -> Option<VersionDigest> {
        if let Some(version) = self.lock().get(stream, now) {
            return Some(version);
        }
        let Some(daemon) = self.daemon.get() else {
            return match versions {
                VersionView::Only(version) => Some(version),
                VersionView::Nothing | VersionView::Several => None,
            };
        };
        let (reply, answer) = oneshot::channel();
        let request = OriginRequest::Find { stream, service: service.clone(), reply };
        daemon.send(request).ok()?;
        timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()?
    }

    fn lock(&self) -> MutexGuard<'_, BegunStreams> {
        self.begun.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct BegunStream {
    service: ServiceName,
    version: VersionDigest,
    expires_at: Timestamp,
}

/// This relay's streams until their callers cannot come back any more.
#[derive(Debug, Default)]
struct BegunStreams {
    by_id: BTreeMap<StreamId, BegunStream>,
    /// Oldest first. A stream that goes on stands here again.
    by_age: VecDeque<StreamId>,
}

impl BegunStreams {
    fn get(&self, stream: StreamId, now: Timestamp) -> Option<VersionDigest> {
        let begun = self.by_id.get(&stream).filter(|begun| now < begun.expires_at)?;
        Some(begun.version)
    }

    /// Adds a stream, and drops the oldest ones that have expired or are too many: a caller with a long deadline must
    /// not crowd out others.
    fn put(&mut self, stream: StreamId, begun: BegunStream, now: Timestamp) {
        self.by_id.insert(stream, begun);
        self.by_age.push_back(stream);
        while let Some(oldest) = self.by_age.front() {
            let begun = self.by_id.get(oldest);
            let is_current = begun.is_some_and(|begun| now < begun.expires_at);
            if is_current && self.by_age.len() <= MAX_STREAMS {
                return;
            }
            self.by_id.remove(oldest);
            self.by_age.pop_front();
        }
    }
}
