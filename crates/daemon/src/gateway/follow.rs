//! Follows a call's answer at its owner, from any daemon and across fail-over. It manages the
//! connections of an [`AnswerReader`].

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use dahlia_api::{ApiError, ErrorKind};
use dahlia_node::wire::{AnswerFrame, ConnectionPurpose};
use dahlia_node::{AnswerReader, FrameOutcome};
use dahlia_types::{CallId, TenantId};
use tokio::time::{Instant, sleep, timeout};

use super::Gateway;
use super::source::AnswerSource;
use crate::answers::AnswerBuffers;
use crate::core_handle::CoreHandle;
use crate::handshake::Identity;
use crate::logging::part;
use crate::serve_answers;

pub use dahlia_node::{AnswerEvent, StartPosition};

/// Time between lookups of the program's owner.
const OWNER_LOOKUP_INTERVAL: Duration = Duration::from_millis(50);
/// Time without any owner after which the follower gives up. Longer than a fail-over.
const OWNERLESS_TIMEOUT: Duration = Duration::from_secs(20);
/// After this long without a frame the owner is contacted again, since it may be frozen.
const OWNER_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry delay for a caller after the follower gave up.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Reads one call's answer.
pub struct AnswerFollower {
    core: CoreHandle,
    identity: Identity,
    answers: AnswerBuffers,
    reader: AnswerReader,
    source: Option<AnswerSource>,
    last_contact: Instant,
    pending_events: VecDeque<AnswerEvent>,
}

impl AnswerFollower {
    /// Creates a follower of the answer from `start` on.
    pub fn new(gateway: &Gateway, tenant: TenantId, call: CallId, start: StartPosition) -> Self {
        Self {
            core: gateway.core.clone(),
            identity: gateway.identity.clone(),
            answers: gateway.answers.clone(),
            reader: AnswerReader::new(tenant, call, start),
            source: None,
            last_contact: Instant::now(),
            pending_events: VecDeque::new(),
        }
    }

    /// Returns the next event, or `None` after the end.
    pub async fn next(&mut self) -> Option<AnswerEvent> {
        loop {
            if let Some(event) = self.pending_events.pop_front() {
                return Some(event);
            }
            if self.reader.is_ended() {
                return None;
            }
            let Some(frame) = self.next_frame().await else {
                if self.last_contact.elapsed() > OWNERLESS_TIMEOUT {
                    return Some(self.reader.fail(unavailable()));
                }
                sleep(OWNER_LOOKUP_INTERVAL).await;
                continue;
            };
            match self.reader.handle_frame(frame) {
                FrameOutcome::Nothing => {}
                FrameOutcome::Events(event) => self.pending_events.extend(event),
                FrameOutcome::FindOwner => {
                    self.source = None;
                    sleep(OWNER_LOOKUP_INTERVAL).await;
                }
            }
        }
    }

    /// Returns one frame from the current owner, or `None` when no owner answers.
    async fn next_frame(&mut self) -> Option<AnswerFrame> {
        if self.source.is_none() {
            self.source = self.connect().await;
        }
        let source = self.source.as_mut()?;
        match timeout(OWNER_RESPONSE_TIMEOUT, source.receive()).await {
            Ok(Ok(frame)) => {
                self.last_contact = Instant::now();
                Some(frame)
            }
            Ok(Err(error)) => {
                log::debug!(target: part::GATEWAY, "Lost the answer of {}. {error}.", self.reader.call());
                self.source = None;
                None
            }
            Err(_) => {
                self.source = None;
                None
            }
        }
    }

    async fn connect(&self) -> Option<AnswerSource> {
        let group = self.reader.call().program.group;
        let read = self.reader.request();
        if self.core.owns(group).await {
            let frames = serve_answers::open_local(&self.core, &self.answers, read);
            return Some(AnswerSource::Local(frames));
        }
        let owner: SocketAddr = self.core.owner(group).await?;
        let connected = self.identity.connect(owner, ConnectionPurpose::Answer(read)).await;
        connected
            .inspect_err(|error| {
                log::debug!(target: part::GATEWAY, "No answer of {}. {error}.", self.reader.call());
            })
            .ok()
            .map(|frames| AnswerSource::Peer(Box::new(frames)))
    }
}

fn unavailable() -> ApiError {
    let message = "no owner of the program can be reached; the call keeps its place: ask again \
                   with the same key or number, or read on from your offset";
    ApiError::new(ErrorKind::Unavailable, message).with_retry_after(UNAVAILABLE_RETRY_DELAY)
}
