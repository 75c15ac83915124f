//! Streams that their callers may take up, or take up now: binds them to the software version that began them.

use std::sync::PoisonError;

use dahlia_backends::VersionView;
use dahlia_types::{Duration, Timestamp};
use tokio::time::{self, timeout};

use crate::TurnLedger;
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::stream_origins::{StreamId, StreamOrigin};
use crate::version_bound::VersionBound;

/// How long after its deadline a caller counts as one that may come back, since clocks and links differ.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
/// The longest time for which an origin is kept: as long as versions of a service are.
const MAX_ORIGIN_LIFETIME: Duration = Duration::from_secs(600);
/// The longest that an event waits until other daemons have been sent where its stream began. Usually this takes
/// some tens of microseconds; a caller notices a pause.
const MAX_SEND_TIME: time::Duration = time::Duration::from_millis(50);

impl<L: TurnLedger> Exchange<L> {
    /// Binds a stream that its caller takes up to the version that began it.
    ///
    /// # Errors
    /// Nobody knows the version, and servers of several serve.
    pub(crate) async fn bind_taken_up_stream(&mut self) -> Result<(), Refusal> {
        let taken_up = self.head().taken_up_stream(&self.shared.headers);
        let Some(taken_up) =
            taken_up.filter(|_| self.route().is_stream && self.route().is_resumable)
        else {
            return Ok(());
        };
        let first_attempt = taken_up.first_attempt.and_then(|it| std::str::from_utf8(it).ok());
        let (versions, now) = self.service_versions();
        let service = self.matched.service_name();
        let version = self.shared.origins.find(self.stream_id(), service, versions, now).await;
        self.log.stream_taken_up(first_attempt, version);
        let Some(version) = version else {
            let retry_after = Duration::from_millis(self.shared.settings.retry_after_ms);
            return Err(Refusal::UnknownOrigin { retry_after });
        };
        self.bound_version = VersionBound::At(version);
        Ok(())
    }

    /// Records where the stream began, for as long as its caller may come back.
    pub(crate) fn record_origin(&mut self) {
        let Some(version) = self.bound_version.required() else { return };
        let now = (self.shared.clock)();
        let lifetime = (self.caller_deadline + DEADLINE_MARGIN).since(now);
        let lifetime = lifetime.min(MAX_ORIGIN_LIFETIME);
        let origin = StreamOrigin { stream: self.stream_id(), version, lifetime };
        self.shared.origins.record(origin, self.matched.service_name(), now);
        // Read after the record is there: when a second version appears, the daemon shares the streams that it finds.
        let (versions, _) = self.service_versions();
        if self.shared.origins.must_share(versions, now) {
            self.origin_sent = self.shared.origins.share(origin);
        }
    }

    /// Waits until other daemons have been sent where the stream began, if that is under way.
    pub(crate) async fn await_origin_sent(&mut self) {
        let Some(is_sent) = self.origin_sent.take() else { return };
        if timeout(MAX_SEND_TIME, is_sent).await.is_err() {
            self.log.origin_not_sent();
        }
    }

    /// The stream, by the attempt that brought its first event.
    fn stream_id(&self) -> StreamId {
        let head = self.head();
        let taken_up = head.taken_up_stream(&self.shared.headers);
        let attempt = taken_up.and_then(|it| it.first_attempt).unwrap_or(head.attempt.as_bytes());
        let tenant = self.matched.tenant().map(|tenant| &tenant.name);
        StreamId::new(self.matched.service_name(), tenant, attempt)
    }

    /// The versions of the request's service now.
    fn service_versions(&self) -> (VersionView, Timestamp) {
        let now = (self.shared.clock)();
        let backends = self.shared.backends.lock().unwrap_or_else(PoisonError::into_inner);
        (backends.versions(self.matched.service_name(), now), now)
    }
}
