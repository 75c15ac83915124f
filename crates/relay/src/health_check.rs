//! Health checks of servers, which show that a process lives.

use std::sync::Arc;

use bytes::Bytes;
use dahlia_backends::BackendAddress;
use http::header::HOST;
use http::{HeaderName, HeaderValue, Request, StatusCode, Uri, response};
use http_body_util::Full;
use tokio::time::{Duration, timeout};

use crate::connection::ServerConnection;
use crate::pool::{IdleConnection, KeepAlive};
use crate::{HeaderNames, RelaySettings};

/// How much longer than unacknowledged bytes may stay so an answer is waited for. A connection that is open then has its
/// bytes acknowledged.
const ACKNOWLEDGEMENT_MARGIN: Duration = Duration::from_millis(500);
/// How long to wait for the body of an answer, so that the connection can be reused.
const BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// The most bytes of a body to read, so that the connection can be reused.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// What came of a health check on one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthReply {
    /// The expected instance answered, or one that does not tell its name.
    Expected,
    /// Another instance answered.
    OtherInstance,
    /// An answer to something else came.
    Unrelated,
    /// No answer came in time. The server's system has acknowledged the health check, and the connection is open.
    Pending,
    /// The connection ended.
    Closed,
}

/// The health check of a service.
#[derive(Debug, Clone)]
pub(crate) struct HealthCheck {
    path: Uri,
    attempt: HeaderName,
    instance: HeaderName,
    expected_instance: HeaderName,
    settings: Arc<RelaySettings>,
    keep_alive: KeepAlive,
}

impl HealthCheck {
    /// Prepares the health check at a path; none if the path is not valid. `keep_alive` says how the service's connections
    /// are kept.
    pub(crate) fn new(
        path: &str,
        names: &HeaderNames,
        settings: &Arc<RelaySettings>,
        keep_alive: KeepAlive,
    ) -> Option<Self> {
        let path = path.parse();
        let path = path.inspect_err(|error| {
            log::warn!(target: "relay", "a health check's path is not valid: {error}");
        });
        Some(Self {
            path: path.ok()?,
            attempt: names.attempt.clone(),
            instance: names.instance.clone(),
            expected_instance: names.expected_instance.clone(),
            settings: Arc::clone(settings),
            keep_alive,
        })
    }

    /// Sends the health check on an idle connection. Also returns the connection if the expected instance has left it open.
    pub(crate) async fn send(
        &self,
        server: &BackendAddress,
        mut connection: ServerConnection,
    ) -> (HealthReply, Option<IdleConnection>) {
        let unacknowledged = Duration::from_millis(self.settings.unacknowledged_timeout_ms);
        let limit = unacknowledged + ACKNOWLEDGEMENT_MARGIN;
        let answer = match connection.send_within(self.request(server), limit).await {
            Ok(Some(answer)) => answer,
            Ok(None) => return (HealthReply::Pending, None),
            Err(error) => {
                log::debug!(target: "relay", "a health check of {}: {error}", server.id);
                return (HealthReply::Closed, None);
            }
        };
        let (parts, mut body) = answer.into_parts();
        let reply = self.classify(&parts, server);
        if reply != HealthReply::Expected {
            return (reply, None);
        }
        let has_ended =
            timeout(BODY_TIMEOUT, connection.read_rest(&mut body, MAX_BODY_BYTES)).await;
        let keep_alive = self.keep_alive.with_answer(&parts.headers, &self.settings);
        let idle = IdleConnection::new(connection, keep_alive);
        (reply, Some(idle).filter(|_| has_ended == Ok(true)))
    }

    fn request(&self, server: &BackendAddress) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = self.path.clone();
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&server.address.to_string()) {
            headers.insert(HOST, host);
        }
        if let Ok(name) = HeaderValue::from_str(&server.id.name) {
            headers.insert(self.expected_instance.clone(), name);
        }
        request
    }

    fn classify(&self, parts: &response::Parts, server: &BackendAddress) -> HealthReply {
        // A health check has no attempt identifier, so an answer with one is a surplus answer to an earlier request.
        if parts.headers.get(&self.attempt).is_some_and(|attempt| !attempt.is_empty()) {
            return HealthReply::Unrelated;
        }
        let names_other = |name: &HeaderValue| name.as_bytes() != server.id.name.as_bytes();
        let is_other = parts.headers.get(&self.instance).is_some_and(names_other);
        match is_other || parts.status == StatusCode::MISDIRECTED_REQUEST {
            true => HealthReply::OtherInstance,
            false => HealthReply::Expected,
        }
    }
}
