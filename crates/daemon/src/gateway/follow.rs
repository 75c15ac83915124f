//! Follows a call's answer at its owner, from any daemon, across fail-over: the connections of
//! an [`AnswerReader`].

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
use crate::answers::AnswerBoard;
use crate::core_handle::CoreHandle;
use crate::handshake::Identity;
use crate::logging::part;
use crate::serve_answers;

pub use dahlia_node::{AnswerEvent, StartPosition};

/// Pause before asking again who owns the program.
const RELOCATE_PAUSE: Duration = Duration::from_millis(50);
/// Longest time without any owner before the follower gives up. Longer than a fail-over.
const OWNERLESS_LIMIT: Duration = Duration::from_secs(20);
/// An owner that says nothing for so long is asked anew: it may be frozen.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// When a caller may come back after the follower gave up.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(2);

/// Reads one call's answer.
pub struct Follower {
    core: CoreHandle,
    identity: Identity,
    board: AnswerBoard,
    reader: AnswerReader,
    source: Option<AnswerSource>,
    last_contact: Instant,
    waiting: VecDeque<AnswerEvent>,
}

impl Follower {
    /// A follower that will yield what comes after `start`.
    pub fn new(gateway: &Gateway, tenant: TenantId, call: CallId, start: StartPosition) -> Self {
        Self {
            core: gateway.core.clone(),
            identity: gateway.identity.clone(),
            board: gateway.board.clone(),
            reader: AnswerReader::new(tenant, call, start),
            source: None,
            last_contact: Instant::now(),
            waiting: VecDeque::new(),
        }
    }

    /// The next event; `None` after the end.
    pub async fn next(&mut self) -> Option<AnswerEvent> {
        loop {
            if let Some(followed) = self.waiting.pop_front() {
                return Some(followed);
            }
            if self.reader.is_ended() {
                return None;
            }
            let Some(frame) = self.next_frame().await else {
                if self.last_contact.elapsed() > OWNERLESS_LIMIT {
                    return Some(self.reader.fail(unavailable()));
                }
                sleep(RELOCATE_PAUSE).await;
                continue;
            };
            match self.reader.handle_frame(frame) {
                FrameOutcome::Nothing => {}
                FrameOutcome::Events(followed) => self.waiting.extend(followed),
                FrameOutcome::FindOwner => {
                    self.source = None;
                    sleep(RELOCATE_PAUSE).await;
                }
            }
        }
    }

    /// One frame from the present owner, or `None` when there is none to ask at the moment.
    async fn next_frame(&mut self) -> Option<AnswerFrame> {
        if self.source.is_none() {
            self.source = self.connect().await;
        }
        let source = self.source.as_mut()?;
        match timeout(SILENCE_LIMIT, source.receive()).await {
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
            let frames = serve_answers::open_here(&self.core, &self.board, read);
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
    ApiError::new(ErrorKind::Unavailable, message).with_retry_after(UNAVAILABLE_RETRY)
}
