//! Follows a call's answer at its owner, from any daemon, across fail-over.
//!
//! The follower keeps the text it has passed on. When the owner changes, or another attempt
//! takes over, it compares the new text with what was passed on: nothing is missing or doubled,
//! and an answer that turns out different is ended with an error instead of being glued.

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_api::{ApiError, ErrorKind};
use dahlia_node::request::outcome_error;
use dahlia_node::wire::{AnswerFrame, Purpose, ReadAnswer};
use dahlia_program::CallOutcome;
use dahlia_types::{CallId, TenantId, Usage};
use tokio::time::{Instant, sleep, timeout};

use crate::core::CoreHandle;
use crate::frames::FrameStream;
use crate::handshake::Identity;
use crate::logging::part;

/// Pause before asking again who owns the program.
const RELOCATE_PAUSE: Duration = Duration::from_millis(50);
/// Longest time without any owner before the follower gives up. Longer than a fail-over.
const OWNERLESS_LIMIT: Duration = Duration::from_secs(20);
/// An owner that says nothing for so long is asked anew: it may be frozen.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// When a caller may come back after the follower gave up.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(2);

/// What a follower yields.
#[derive(Debug, Clone, PartialEq)]
pub enum Followed {
    /// Text that comes right after what was yielded before.
    Text {
        /// The attempt it is of.
        attempt: u32,
        /// Its offset in the whole answer, in bytes.
        offset: u64,
        /// The text.
        text: String,
    },
    /// The answer is whole and durable.
    End {
        /// Tokens used.
        usage: Usage,
    },
    /// The call has no answer, or it cannot be had here now.
    Failed(ApiError),
}

/// Where a reader starts.
#[derive(Debug, Clone, Copy, Default)]
pub struct StartPosition {
    /// The attempt whose text the caller has; 0 when unknown.
    pub attempt: u32,
    /// Bytes that the caller has.
    pub offset: u64,
}

/// Reads one call's answer.
pub struct Follower {
    core: CoreHandle,
    identity: Identity,
    tenant: TenantId,
    call: CallId,
    skip: u64,
    attempt: u32,
    passed_on: String,
    source: Option<FrameStream>,
    last_contact: Instant,
    pending_end: Option<Usage>,
    ended: bool,
}

impl Follower {
    /// A follower that will yield what comes after `start`.
    pub fn new(
        core: CoreHandle,
        identity: Identity,
        tenant: TenantId,
        call: CallId,
        start: StartPosition,
    ) -> Self {
        Self {
            core,
            identity,
            tenant,
            call,
            skip: start.offset,
            attempt: start.attempt,
            passed_on: String::new(),
            source: None,
            last_contact: Instant::now(),
            pending_end: None,
            ended: false,
        }
    }

    /// The next event; `None` after the end.
    pub async fn next(&mut self) -> Option<Followed> {
        if let Some(usage) = self.pending_end.take() {
            self.ended = true;
            return Some(Followed::End { usage });
        }
        while !self.ended {
            let Some(frame) = self.next_frame().await else {
                if self.last_contact.elapsed() > OWNERLESS_LIMIT {
                    return Some(self.fail(unavailable()));
                }
                sleep(RELOCATE_PAUSE).await;
                continue;
            };
            if let Some(followed) = self.take(frame) {
                return Some(followed);
            }
        }
        None
    }

    /// One frame from the present owner, or `None` when there is none to ask at the moment.
    async fn next_frame(&mut self) -> Option<AnswerFrame> {
        if self.source.is_none() {
            self.source = self.connect().await;
        }
        let source = self.source.as_mut()?;
        match timeout(SILENCE_LIMIT, source.receive::<AnswerFrame>()).await {
            Ok(Ok(frame)) => {
                self.last_contact = Instant::now();
                Some(frame)
            }
            Ok(Err(error)) => {
                log::debug!(target: part::GATEWAY, "Lost the answer of {}. {error}.", self.call);
                self.source = None;
                None
            }
            Err(_) => {
                self.source = None;
                None
            }
        }
    }

    async fn connect(&self) -> Option<FrameStream> {
        let owner: SocketAddr = self.core.owner(self.call.program.group).await?;
        let read = ReadAnswer {
            tenant: self.tenant.clone(),
            call: self.call,
            attempt: self.attempt,
            offset: self.position(),
        };
        let connected = self.identity.connect(owner, Purpose::Answer(read)).await;
        connected
            .inspect_err(|error| {
                log::debug!(target: part::GATEWAY, "No answer of {}. {error}.", self.call);
            })
            .ok()
    }

    fn position(&self) -> u64 {
        self.skip + self.passed_on.len() as u64
    }

    fn take(&mut self, frame: AnswerFrame) -> Option<Followed> {
        match frame {
            AnswerFrame::KeepAlive => None,
            AnswerFrame::Piece { attempt, offset, text } => self.take_piece(attempt, offset, &text),
            AnswerFrame::End(outcome) => Some(self.take_end(outcome)),
            AnswerFrame::NotOwner { .. } => {
                self.source = None;
                None
            }
            AnswerFrame::Failed(error) => Some(self.fail(error)),
        }
    }

    fn take_piece(&mut self, attempt: u32, offset: u64, text: &str) -> Option<Followed> {
        self.attempt = attempt;
        match self.unseen_part(offset, text) {
            Ok(unseen) => self.pass_on(unseen.to_owned()),
            Err(error) => Some(self.fail(error)),
        }
    }

    /// The end of `text` that was not passed on yet, after checking the part that was.
    fn unseen_part<'a>(&self, offset: u64, text: &'a str) -> Result<&'a str, ApiError> {
        let position = self.position();
        if offset > position {
            return Err(replaced());
        }
        // The part before `skip` is held by the caller only and cannot be compared here.
        let from = offset.max(self.skip);
        let seen = &self.passed_on[(from - self.skip) as usize..];
        let comparable = text.get((from - offset) as usize..).unwrap_or_default();
        let length = seen.len().min(comparable.len());
        if seen.as_bytes()[..length] != comparable.as_bytes()[..length] {
            return Err(replaced());
        }
        Ok(comparable.get(seen.len()..).unwrap_or_default())
    }

    fn pass_on(&mut self, text: String) -> Option<Followed> {
        if text.is_empty() {
            return None;
        }
        let offset = self.position();
        self.passed_on.push_str(&text);
        Some(Followed::Text { attempt: self.attempt, offset, text })
    }

    fn take_end(&mut self, outcome: CallOutcome) -> Followed {
        if let Some(error) = outcome_error(&outcome) {
            return self.fail(error);
        }
        let CallOutcome::Answered { answer, usage } = outcome else {
            return self.fail(ApiError::new(ErrorKind::Internal, "an outcome without an answer"));
        };
        if (answer.content.len() as u64) < self.position() {
            return self.fail(replaced());
        }
        match self.unseen_part(0, &answer.content).map(str::to_owned) {
            Err(error) => self.fail(error),
            Ok(rest) => match self.pass_on(rest) {
                Some(text) => {
                    self.pending_end = Some(usage);
                    text
                }
                None => {
                    self.ended = true;
                    Followed::End { usage }
                }
            },
        }
    }

    fn fail(&mut self, error: ApiError) -> Followed {
        self.ended = true;
        Followed::Failed(error)
    }
}

fn unavailable() -> ApiError {
    let message = "no owner of the program can be reached; the call keeps its place: ask again \
                   with the same key or number, or read on from your offset";
    ApiError::new(ErrorKind::Unavailable, message).with_retry_after(UNAVAILABLE_RETRY)
}

fn replaced() -> ApiError {
    let message = "the attempt that you read was lost and another one answered differently; read \
                   the call's answer again from offset 0";
    ApiError::new(ErrorKind::AnswerReplaced, message)
}
