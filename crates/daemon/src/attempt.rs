//! Runs one attempt at its engine: sends it, reads the answer, and resolves the outcome when the
//! connection breaks.
//!
//! An attempt ends in one of four outcomes: ran, not run, cut or unknown. "Not run" is reported only
//! when the engine confirmed it in the incarnation that the attempt was meant for.

use std::time::Duration;

use dahlia_adapters::engine::{
    AttemptState, EngineRefusal, EventStream, GenerateEvent, GenerateRequest, StopReason,
};
use dahlia_adapters::{Certainty, EngineClient, EngineError};
use dahlia_node::request::{AttemptEnd, NotRunCause};
use dahlia_node::{Event, StartAttempt};
use dahlia_types::{AttemptId, Usage};
use tokio::time::{Instant, sleep};

use crate::answers::AnswerBuffers;
use crate::core_handle::CoreHandle;
use crate::logging::part;

/// Time between enquiries to an engine that does not answer.
const ENQUIRY_INTERVAL: Duration = Duration::from_millis(200);
/// After an engine was unreachable for this long, the outcome of the attempt is unknown.
const ENQUIRY_TIMEOUT: Duration = Duration::from_secs(12);

/// The result of an enquiry about an attempt.
enum EnquiryResult {
    /// The attempt's stream was resumed.
    Stream(Box<EventStream>),
    /// The attempt has ended.
    End(AttemptEnd),
    /// The outcome is not known yet, for this reason.
    Retry(String),
}

/// Runs one attempt.
pub struct AttemptTask {
    start: StartAttempt,
    client: Option<EngineClient>,
    core: CoreHandle,
    answers: AnswerBuffers,
    text: String,
}

impl AttemptTask {
    /// Prepares the attempt. Without a client the attempt ends at once, since its engine is unknown
    /// here.
    pub fn new(
        start: StartAttempt,
        client: Option<EngineClient>,
        core: CoreHandle,
        answers: AnswerBuffers,
    ) -> Self {
        Self { start, client, core, answers, text: String::new() }
    }

    /// Sends the attempt and reads its answer.
    pub async fn start(mut self) {
        let end = match self.client.clone() {
            Some(client) => self.run(&client).await,
            None => not_run("the configuration in force here does not name the engine"),
        };
        self.finish(end).await;
    }

    /// Takes over an attempt that a previous owner may have sent.
    pub async fn resume(mut self) {
        let end = match self.client.clone() {
            Some(client) => self.resolve_outcome(&client, "a new owner took over").await,
            None => unknown("the configuration in force here does not name the engine"),
        };
        self.finish(end).await;
    }

    async fn finish(self, end: AttemptEnd) {
        let (attempt, epoch) = (self.start.attempt.id, self.start.attempt.epoch);
        log::debug!(target: part::ENGINES, "{attempt} ended at {}: {end:?}.", self.start.engine);
        self.core.send_event(Event::AttemptEnded { attempt, epoch, end }).await;
    }

    async fn run(&mut self, client: &EngineClient) -> AttemptEnd {
        let request = GenerateRequest {
            attempt: self.start.attempt,
            tenant: self.start.tenant.clone(),
            model: self.start.model.clone(),
            messages: std::mem::take(&mut self.start.messages),
            prompt_bound: self.start.prompt_bound,
            max_generated: self.start.max_generated,
            priority: self.start.priority,
        };
        match client.generate(&request).await {
            Ok(stream) => self.read(client, stream).await,
            Err(error) if is_duplicate_attempt(&error) => {
                self.resolve_outcome(client, &error.to_string()).await
            }
            Err(error) if error.certainty() == Certainty::NotRun => {
                self.report_refusal(&error).await;
                refused(&error)
            }
            Err(error) => self.resolve_outcome(client, &error.to_string()).await,
        }
    }

    /// Reports a refusal by a leaving engine to the node. It is newer than the engine's last load
    /// report, and the node gets it before the end of the attempt, so that the next attempt does not go
    /// to the same engine.
    async fn report_refusal(&self, error: &EngineError) {
        if matches!(error.refusal(), Some(EngineRefusal::Leaving)) {
            let engine = self.start.engine.clone();
            let incarnation = self.start.attempt.engine_incarnation;
            self.core.send_event(Event::EngineRefusesWork { engine, incarnation }).await;
        }
    }

    async fn read(&mut self, client: &EngineClient, stream: EventStream) -> AttemptEnd {
        match self.read_stream(stream).await {
            Ok(end) => end,
            Err(error) => self.resolve_outcome(client, &error.to_string()).await,
        }
    }

    /// Reads the stream to the attempt's end.
    ///
    /// # Errors
    /// [`EngineError`] when the stream breaks before the end.
    async fn read_stream(&mut self, mut stream: EventStream) -> Result<AttemptEnd, EngineError> {
        while let Some(event) = stream.next().await {
            match event? {
                GenerateEvent::Accepted { .. }
                | GenerateEvent::Started { .. }
                | GenerateEvent::Alive => {}
                GenerateEvent::NeverStarted => {
                    return Ok(not_run("the engine took it off its queue unrun"));
                }
                GenerateEvent::Token { text, .. } => self.append(&text).await,
                GenerateEvent::Finished { usage, stop } => {
                    tokio::spawn(stream.finish());
                    return Ok(self.ended(usage, stop));
                }
            }
        }
        Ok(unknown("the engine's stream ended without an end"))
    }

    async fn append(&mut self, text: &str) {
        if self.text.is_empty() {
            self.core.send_event(Event::FirstToken { attempt: self.id() }).await;
        }
        self.text.push_str(text);
        self.answers.append(self.id(), text);
    }

    fn ended(&mut self, usage: Usage, stop: StopReason) -> AttemptEnd {
        match stop {
            StopReason::End | StopReason::Length => {
                AttemptEnd::Ran { text: std::mem::take(&mut self.text), usage }
            }
            StopReason::Cancelled => AttemptEnd::Cut { usage },
        }
    }

    /// Asks the engine for the attempt's outcome, and resumes its stream if possible.
    async fn resolve_outcome(&mut self, client: &EngineClient, cause: &str) -> AttemptEnd {
        log::info!(target: part::ENGINES, "Checking the outcome of {}: {cause}.", self.id());
        let mut unreachable_since = Instant::now();
        loop {
            match self.enquire(client).await {
                EnquiryResult::End(end) => return end,
                EnquiryResult::Stream(stream) => {
                    match self.read_stream(*stream).await {
                        Ok(end) => return end,
                        Err(error) => {
                            log::debug!(target: part::ENGINES, "Reading the resumed stream failed: {error}.")
                        }
                    }
                    unreachable_since = Instant::now();
                }
                EnquiryResult::Retry(reason) if unreachable_since.elapsed() > ENQUIRY_TIMEOUT => {
                    return unknown(&reason);
                }
                EnquiryResult::Retry(_) => sleep(ENQUIRY_INTERVAL).await,
            }
        }
    }

    async fn enquire(&mut self, client: &EngineClient) -> EnquiryResult {
        let attempt = self.start.attempt;
        // The fence goes first: a previous owner that is only paused must not start the attempt
        // after the engine reported that it never started.
        let fenced = match client.fence(attempt.id.call.program, attempt.epoch).await {
            Ok(fenced) => fenced,
            Err(error) => return fence_error_result(&error),
        };
        if fenced.incarnation != attempt.engine_incarnation {
            return EnquiryResult::End(unknown("the engine has restarted since"));
        }
        match client.resume(attempt.id, self.text.len() as u64).await {
            Ok(stream) => EnquiryResult::Stream(Box::new(stream)),
            Err(error) if is_unknown_attempt(&error) => self.confirm_not_started(client).await,
            Err(error) => EnquiryResult::Retry(error.to_string()),
        }
    }

    /// Confirms that an attempt which the engine does not know never started. A cancel makes that
    /// final, and a second check of the incarnation shows that the intended one answered.
    async fn confirm_not_started(&self, client: &EngineClient) -> EnquiryResult {
        let attempt = self.start.attempt;
        let state = match client.cancel(attempt.id, attempt.epoch).await {
            Ok(state) => state,
            Err(error) => return EnquiryResult::Retry(error.to_string()),
        };
        let is_same_incarnation = match client.fence(attempt.id.call.program, attempt.epoch).await {
            Ok(fenced) => fenced.incarnation == attempt.engine_incarnation,
            Err(error) => return EnquiryResult::Retry(error.to_string()),
        };
        if !is_same_incarnation {
            return EnquiryResult::End(unknown("the engine has restarted since"));
        }
        match state {
            AttemptState::NeverStarted => {
                EnquiryResult::End(not_run("the engine confirmed that it never started"))
            }
            AttemptState::Finished { usage, stop: StopReason::Cancelled } => {
                EnquiryResult::End(AttemptEnd::Cut { usage })
            }
            AttemptState::Forgotten => {
                EnquiryResult::End(unknown("the engine no longer has a record of it"))
            }
            _ => EnquiryResult::Retry("the engine knows the attempt after all".to_owned()),
        }
    }

    fn id(&self) -> AttemptId {
        self.start.attempt.id
    }
}

fn is_duplicate_attempt(error: &EngineError) -> bool {
    matches!(error.refusal(), Some(EngineRefusal::AttemptExists { .. }))
}

fn is_unknown_attempt(error: &EngineError) -> bool {
    matches!(error.refusal(), Some(EngineRefusal::NoSuchAttempt { .. }))
}

/// A fence refused for a newer epoch means that another daemon owns the program now.
fn fence_error_result(error: &EngineError) -> EnquiryResult {
    match error.refusal() {
        Some(EngineRefusal::StaleEpoch { .. }) => {
            EnquiryResult::End(unknown("a newer owner took over"))
        }
        _ => EnquiryResult::Retry(error.to_string()),
    }
}

fn not_run(reason: &str) -> AttemptEnd {
    let cause = NotRunCause::Engine;
    AttemptEnd::NotRun { cause, reason: reason.to_owned(), retry_after: None }
}

fn refused(error: &EngineError) -> AttemptEnd {
    let cause = match error.refusal() {
        Some(EngineRefusal::Overloaded { .. }) => NotRunCause::Overloaded,
        Some(EngineRefusal::PromptTooLong { .. }) => NotRunCause::Call,
        _ => NotRunCause::Engine,
    };
    AttemptEnd::NotRun { cause, reason: error.to_string(), retry_after: None }
}

fn unknown(reason: &str) -> AttemptEnd {
    AttemptEnd::Unknown { reason: reason.to_owned() }
}
