//! Reads one call's answer from its owner, across failover, without I/O.
//!
//! The reader keeps the text that it has delivered. When the owner or the attempt changes, it
//! compares the new text with the delivered text, so that nothing is missing or duplicated. If they
//! differ, it ends the answer with an error instead of joining two different texts.

use dahlia_api::{ApiError, ErrorKind};
use dahlia_program::CallOutcome;
use dahlia_types::{CallId, TenantId, Usage};

use crate::request::outcome_error;
use crate::wire::{AnswerFrame, ReadAnswer};

/// An event of an answer, for the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerEvent {
    /// The next part of the text.
    Text {
        /// The attempt that generated it.
        attempt: u32,
        /// Its start offset in bytes.
        offset: u64,
        /// The text.
        text: String,
    },
    /// The answer is complete and durable.
    End {
        /// Tokens used.
        usage: Usage,
    },
    /// The call has no answer, or the answer is not available here now.
    Failed(ApiError),
}

/// The position at which a reader starts.
#[derive(Debug, Clone, Copy, Default)]
pub struct StartPosition {
    /// The attempt whose text the caller has; 0 if unknown.
    pub attempt: u32,
    /// Number of bytes that the caller has.
    pub offset: u64,
}

/// The result of handling a frame.
#[derive(Debug, Clone, PartialEq)]
pub enum FrameOutcome {
    /// There is nothing to deliver.
    Nothing,
    /// Events to deliver to the caller, in order.
    Events(Vec<AnswerEvent>),
    /// The sender does not own the program: find the owner and send it
    /// [`AnswerReader::request`].
    FindOwner,
}

/// Assembles one call's answer from the frames of its owners.
#[derive(Debug, Clone)]
pub struct AnswerReader {
    tenant: TenantId,
    call: CallId,
    start: StartPosition,
    attempt: u32,
    delivered: String,
    ended: bool,
    #[cfg(feature = "test-switches")]
    is_comparison_disabled: bool,
}

impl AnswerReader {
    /// Creates a reader of the answer after `start`.
    pub fn new(tenant: TenantId, call: CallId, start: StartPosition) -> Self {
        Self {
            tenant,
            call,
            start,
            attempt: start.attempt,
            delivered: String::new(),
            ended: false,
            #[cfg(feature = "test-switches")]
            is_comparison_disabled: false,
        }
    }

    /// Disables the comparison of attempts, to test that a checker detects its absence.
    #[cfg(feature = "test-switches")]
    pub fn disable_comparison(&mut self) {
        self.is_comparison_disabled = true;
    }

    /// Returns the call whose answer is read.
    pub fn call(&self) -> CallId {
        self.call
    }

    /// Whether the answer has ended, so that no event follows.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns the request to send to the owner.
    pub fn request(&self) -> ReadAnswer {
        ReadAnswer {
            tenant: self.tenant.clone(),
            call: self.call,
            attempt: self.attempt,
            offset: self.position(),
        }
    }

    /// Handles a frame from the owner that was asked last.
    pub fn handle_frame(&mut self, frame: AnswerFrame) -> FrameOutcome {
        match frame {
            AnswerFrame::KeepAlive => FrameOutcome::Nothing,
            AnswerFrame::NotOwner { .. } => FrameOutcome::FindOwner,
            AnswerFrame::Failed(error) => FrameOutcome::Events(vec![self.fail(error)]),
            AnswerFrame::Piece { attempt, offset, text } => {
                match self.handle_piece(attempt, offset, &text) {
                    None => FrameOutcome::Nothing,
                    Some(event) => FrameOutcome::Events(vec![event]),
                }
            }
            AnswerFrame::End { attempt, outcome } => {
                FrameOutcome::Events(self.handle_end(attempt, outcome))
            }
        }
    }

    /// Ends the answer with an error.
    pub fn fail(&mut self, error: ApiError) -> AnswerEvent {
        self.ended = true;
        AnswerEvent::Failed(error)
    }

    fn position(&self) -> u64 {
        self.start.offset + self.delivered.len() as u64
    }

    fn handle_piece(&mut self, attempt: u32, offset: u64, text: &str) -> Option<AnswerEvent> {
        match self.unseen_part(attempt, offset, text) {
            Ok(unseen) => {
                let unseen = unseen.to_owned();
                self.attempt = attempt;
                self.deliver(unseen)
            }
            Err(error) => Some(self.fail(error)),
        }
    }

    /// Returns the part of `text` that was not delivered yet, after checking that the rest matches what
    /// was delivered.
    fn unseen_part<'a>(
        &self,
        attempt: u32,
        offset: u64,
        text: &'a str,
    ) -> Result<&'a str, ApiError> {
        let position = self.position();
        if offset > position || self.is_other_attempt(attempt) {
            return Err(replaced_answer_error());
        }
        let start = self.start.offset;
        let from = offset.max(start);
        let seen = &self.delivered[(from - start) as usize..];
        let comparable = text.get((from - offset) as usize..).unwrap_or_default();
        let length = seen.len().min(comparable.len());
        if seen.as_bytes()[..length] != comparable.as_bytes()[..length]
            && !self.is_comparison_disabled()
        {
            return Err(replaced_answer_error());
        }
        Ok(comparable.get(seen.len()..).unwrap_or_default())
    }

    /// Whether the caller's text is from another attempt than `attempt`. Only the caller has the text
    /// before the start, so it can be compared by the attempt's number alone.
    fn is_other_attempt(&self, attempt: u32) -> bool {
        let caller_attempt = self.start.attempt;
        self.start.offset > 0
            && caller_attempt != 0
            && attempt != caller_attempt
            && !self.is_comparison_disabled()
    }

    fn deliver(&mut self, text: String) -> Option<AnswerEvent> {
        if text.is_empty() {
            return None;
        }
        let offset = self.position();
        self.delivered.push_str(&text);
        Some(AnswerEvent::Text { attempt: self.attempt, offset, text })
    }

    fn handle_end(&mut self, attempt: u32, outcome: CallOutcome) -> Vec<AnswerEvent> {
        if let Some(error) = outcome_error(&outcome) {
            return vec![self.fail(error)];
        }
        let CallOutcome::Answered { answer, usage } = outcome else {
            let error = ApiError::new(ErrorKind::Internal, "an outcome without an answer");
            return vec![self.fail(error)];
        };
        if (answer.content.len() as u64) < self.position() {
            return vec![self.fail(replaced_answer_error())];
        }
        match self.unseen_part(attempt, 0, &answer.content).map(str::to_owned) {
            Err(error) => vec![self.fail(error)],
            Ok(rest) => {
                self.attempt = attempt;
                self.ended = true;
                let text = self.deliver(rest);
                text.into_iter().chain([AnswerEvent::End { usage }]).collect()
            }
        }
    }

    #[cfg(feature = "test-switches")]
    fn is_comparison_disabled(&self) -> bool {
        self.is_comparison_disabled
    }

    #[cfg(not(feature = "test-switches"))]
    fn is_comparison_disabled(&self) -> bool {
        false
    }
}

fn replaced_answer_error() -> ApiError {
    let message = "the attempt that you read was lost and another one answered differently; read \
                   the call's answer again from offset 0";
    ApiError::new(ErrorKind::AnswerReplaced, message)
}
