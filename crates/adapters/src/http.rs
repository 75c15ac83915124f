//! HTTP/1.1 client of one peer with JSON bodies. It sends each request once and classifies the
//! answer.

use std::error::Error;
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{
    BrokenSnafu, BuildSnafu, ConnectSnafu, MalformedSnafu, ResponseTimeoutSnafu, StatusSnafu,
    TooLargeSnafu,
};
use crate::lines::JsonLines;
use crate::{ClientSettings, TransportError};

/// Number of bytes of an unexpected body that an error contains.
const MAX_DETAIL_BYTES: usize = 200;

/// Body of every answer with an error status: the peer's typed refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody<R> {
    /// Reason of the refusal.
    pub refusal: R,
}

/// A peer's answer: its success body or its typed refusal.
pub(crate) type Answer<T, R> = Result<Result<T, R>, TransportError>;

/// A peer and the pool of connections to it.
#[derive(Debug, Clone)]
pub(crate) struct HttpPeer {
    name: String,
    base: String,
    client: Client,
    settings: ClientSettings,
}

impl HttpPeer {
    /// Prepares connections to `address` (`host:port`). Nothing is sent yet.
    pub(crate) fn new(name: &str, address: &str, settings: ClientSettings) -> Self {
        let builder = Client::builder()
            .connect_timeout(settings.connect_timeout())
            .pool_max_idle_per_host(settings.idle_connections as usize)
            .tcp_nodelay(true)
            .http1_only()
            .no_proxy()
            // A redirect or an automatic retry could send a request twice.
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never());
        // Only TLS set-up can fail here, and no TLS backend is compiled in.
        let client = builder.build().expect("a client without TLS always builds");
        let name = format!("{name} at {address}");
        Self { name, base: format!("http://{address}"), client, settings }
    }

    /// Name and address of the peer, for errors.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Posts `request` and reads one JSON answer.
    pub(crate) async fn post<T, R>(
        &self,
        step: &str,
        path: &str,
        request: &impl Serialize,
    ) -> Answer<T, R>
    where
        T: DeserializeOwned,
        R: DeserializeOwned,
    {
        let exchange = async {
            let response = self.send(step, path, request).await?;
            let status = response.status();
            let body = self.read_body(step, response).await?;
            self.decode(step, status, &body)
        };
        self.within_response_timeout(step, exchange).await
    }

    /// Posts `request` and opens the stream of lines that answers it.
    pub(crate) async fn post_stream<T, R>(
        &self,
        step: &str,
        path: &str,
        request: &impl Serialize,
    ) -> Answer<JsonLines<T>, R>
    where
        T: DeserializeOwned,
        R: DeserializeOwned,
    {
        let exchange = async {
            let response = self.send(step, path, request).await?;
            let status = response.status();
            if status.is_success() {
                let lines = JsonLines::new(step, &self.name, response, &self.settings);
                return Ok(Ok(lines));
            }
            let body = self.read_body(step, response).await?;
            self.decode_refusal(step, status, &body).map(Err)
        };
        self.within_response_timeout(step, exchange).await
    }

    async fn within_response_timeout<T>(
        &self,
        step: &str,
        exchange: impl Future<Output = Result<T, TransportError>>,
    ) -> Result<T, TransportError> {
        let limit_ms = self.settings.response_timeout_ms;
        let limit = Duration::from_millis(limit_ms);
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => ResponseTimeoutSnafu { step, peer: &self.name, limit_ms }.fail(),
        }
    }

    async fn send(
        &self,
        step: &str,
        path: &str,
        request: &impl Serialize,
    ) -> Result<Response, TransportError> {
        let url = format!("{}{path}", self.base);
        let result = self.client.post(url).json(request).send().await;
        result.map_err(|error| self.classify(step, &error))
    }

    /// Only errors that the library reports from before the first byte count as not sent. When a
    /// pooled connection has closed, the library opens a new one only for a request that it had
    /// not begun to write.
    fn classify(&self, step: &str, error: &reqwest::Error) -> TransportError {
        let detail = format_with_sources(error);
        let peer = &self.name;
        if error.is_builder() {
            BuildSnafu { step, peer, detail }.build()
        } else if error.is_connect() {
            ConnectSnafu { step, peer, detail }.build()
        } else {
            BrokenSnafu { step, peer, detail }.build()
        }
    }

    async fn read_body(
        &self,
        step: &str,
        mut response: Response,
    ) -> Result<Vec<u8>, TransportError> {
        let limit = self.settings.max_body_bytes;
        let mut body = Vec::new();
        loop {
            let chunk = response.chunk().await.map_err(|error| self.classify(step, &error))?;
            let Some(chunk) = chunk else { return Ok(body) };
            if (body.len() + chunk.len()) as u64 > limit {
                let field = "max_body_bytes";
                return TooLargeSnafu { step, peer: &self.name, field, limit }.fail();
            }
            body.extend_from_slice(&chunk);
        }
    }

    fn decode<T, R>(&self, step: &str, status: StatusCode, body: &[u8]) -> Answer<T, R>
    where
        T: DeserializeOwned,
        R: DeserializeOwned,
    {
        if !status.is_success() {
            return self.decode_refusal(step, status, body).map(Err);
        }
        let decoded = serde_json::from_slice(body);
        let malformed = |error: serde_json::Error| {
            MalformedSnafu { step, peer: &self.name, detail: error.to_string() }.build()
        };
        decoded.map(Ok).map_err(malformed)
    }

    fn decode_refusal<R>(
        &self,
        step: &str,
        status: StatusCode,
        body: &[u8],
    ) -> Result<R, TransportError>
    where
        R: DeserializeOwned,
    {
        let decoded = serde_json::from_slice::<ErrorBody<R>>(body);
        decoded.map(|error| error.refusal).map_err(|_| {
            let kept = &body[..body.len().min(MAX_DETAIL_BYTES)];
            let detail = String::from_utf8_lossy(kept).into_owned();
            StatusSnafu { step, peer: &self.name, status: status.as_u16(), detail }.build()
        })
    }
}

/// Formats an error and its chain of sources on one line.
pub(crate) fn format_with_sources(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
