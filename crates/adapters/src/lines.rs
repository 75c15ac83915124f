//! Reads newline-delimited JSON from a response, with a maximum line length and an idle timeout.

use std::marker::PhantomData;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use reqwest::Response;
use serde::de::DeserializeOwned;

use crate::error::{BrokenSnafu, IdleTimeoutSnafu, MalformedSnafu, TooLargeSnafu};
use crate::http::format_with_sources;
use crate::{ClientSettings, TransportError};

const NEWLINE_BYTES: usize = 1;

/// The lines of a streamed answer.
pub(crate) struct JsonLines<T> {
    step: String,
    peer: String,
    response: Response,
    buffer: BytesMut,
    scanned: usize,
    idle_timeout: Duration,
    max_line_bytes: u64,
    content: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> JsonLines<T> {
    pub(crate) fn new(
        step: &str,
        peer: &str,
        response: Response,
        settings: &ClientSettings,
    ) -> Self {
        Self {
            step: step.to_owned(),
            peer: peer.to_owned(),
            response,
            buffer: BytesMut::new(),
            scanned: 0,
            idle_timeout: settings.idle_timeout(),
            max_line_bytes: settings.max_line_bytes,
            content: PhantomData,
        }
    }

    pub(crate) fn step(&self) -> &str {
        &self.step
    }

    pub(crate) fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns the next line, or `None` at the end of the body. A last line without newline is a
    /// truncation and is not returned.
    pub(crate) async fn next(&mut self) -> Result<Option<T>, TransportError> {
        loop {
            if let Some(line) = self.take_line()? {
                return self.decode(&line).map(Some);
            }
            if !self.read_more().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the rest of the body, up to `limit` bytes. A body that was read to its end
    /// leaves its connection open for the next request.
    pub(crate) async fn read_to_end(mut self, limit: usize) {
        let mut read = 0;
        while let Ok(Some(chunk)) = self.response.chunk().await {
            read += chunk.len();
            if read > limit {
                return;
            }
        }
    }

    fn take_line(&mut self) -> Result<Option<Bytes>, TransportError> {
        let unscanned = &self.buffer[self.scanned..];
        let newline = unscanned.iter().position(|byte| *byte == b'\n');
        let length = newline.map_or(self.buffer.len(), |offset| self.scanned + offset);
        if length as u64 > self.max_line_bytes {
            let field = "max_line_bytes";
            let limit = self.max_line_bytes;
            return TooLargeSnafu { step: &self.step, peer: &self.peer, field, limit }.fail();
        }
        if newline.is_none() {
            self.scanned = length;
            return Ok(None);
        }
        self.scanned = 0;
        let line = self.buffer.split_to(length).freeze();
        self.buffer.advance(NEWLINE_BYTES);
        Ok(Some(line))
    }

    async fn read_more(&mut self) -> Result<bool, TransportError> {
        let step = &self.step;
        let peer = &self.peer;
        let limit_ms = self.idle_timeout.as_millis() as u64;
        let read = tokio::time::timeout(self.idle_timeout, self.response.chunk()).await;
        let chunk = match read {
            Err(_) => return IdleTimeoutSnafu { step, peer, limit_ms }.fail(),
            Ok(Err(error)) => {
                return BrokenSnafu { step, peer, detail: format_with_sources(&error) }.fail();
            }
            Ok(Ok(chunk)) => chunk,
        };
        let Some(chunk) = chunk else { return Ok(false) };
        self.buffer.extend_from_slice(&chunk);
        Ok(true)
    }

    fn decode(&self, line: &[u8]) -> Result<T, TransportError> {
        serde_json::from_slice(line).map_err(|error| self.malformed_error(error.to_string()))
    }

    /// Builds the error for a line that does not have the documented form.
    pub(crate) fn malformed_error(&self, detail: String) -> TransportError {
        MalformedSnafu { step: &self.step, peer: &self.peer, detail }.build()
    }
}
