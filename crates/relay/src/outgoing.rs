//! Builds a request as one server receives it.

use bytes::Bytes;
use dahlia_backends::BackendId;
use dahlia_types::TenantId;
use http::{HeaderValue, Request, Version};
use http_body_util::Full;
use tokio::time::Instant;

use crate::HeaderNames;
use crate::request::RequestHead;

/// The parts of a request to one server.
#[derive(Clone, Copy)]
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) names: &'a HeaderNames,
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a Bytes,
    pub(crate) expected_instance: &'a BackendId,
    pub(crate) priority: u32,
    /// The tenant of the request, if callers need a key.
    pub(crate) tenant: Option<&'a TenantId>,
    /// Identifier of the last event that the caller has, if this request resumes a stream.
    pub(crate) last_event: Option<&'a Bytes>,
    pub(crate) deadline: Instant,
}

impl OutgoingRequest<'_> {
    /// Builds the request. Its deadline header is the time left now.
    pub(crate) fn build(&self) -> Request<Full<Bytes>> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.version_mut() = Version::HTTP_11;
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.target.clone().into();
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        headers.insert(self.names.deadline.clone(), HeaderValue::from(left.as_millis() as u64));
        headers.insert(self.names.priority.clone(), self.priority.into());
        if let Some(tenant) = self.tenant
            && let Ok(tenant) = HeaderValue::from_str(tenant.as_str())
        {
            headers.insert(self.names.tenant.clone(), tenant);
        }
        if let Ok(server) = HeaderValue::from_str(&self.expected_instance.name) {
            headers.insert(self.names.expected_instance.clone(), server);
        }
        if let Some(last) = self.last_event.cloned()
            && let Ok(last) = HeaderValue::from_maybe_shared(last)
        {
            headers.insert(self.names.last_event.clone(), last);
        }
        request
    }
}
