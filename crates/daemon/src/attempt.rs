//! One attempt at its engine: send it, read the answer, and find out what happened when the
//! connection breaks.
//!
//! Every way out of here is one of four: ran, not run, cut, unknown. "Not run" is said only when
//! the engine itself said so in the life that the attempt was meant for.

use std::time::Duration;

use dahlia_adapters::engine::{
    AttemptState, EngineRefusal, EventStream, GenerateEvent, GenerateRequest, StopReason,
};
use dahlia_adapters::{Certainty, EngineClient, EngineError};
use dahlia_node::request::{AttemptEnd, NotRunCause};
use dahlia_node::{Event, StartAttempt};
use dahlia_types::{AttemptId, Usage};
use tokio::time::{Instant, sleep};

use crate::answers::AnswerBoard;
use crate::core_handle::CoreHandle;
use crate::logging::part;

/// Pause between enquiries at an engine that does not answer.
const ENQUIRY_PAUSE: Duration = Duration::from_millis(200);
/// An engine that could not be reached for so long cannot say what became of the attempt.
const ENQUIRY_LIMIT: Duration = Duration::from_secs(12);

/// What an enquiry found.
enum Found {
    /// The attempt can be read on.
    Stream(Box<EventStream>),
    /// It has ended so.
    End(AttemptEnd),
    /// Ask again.
    Later(String),
}

/// Runs one attempt.
pub struct AttemptTask {
    start: StartAttempt,
    client: Option<EngineClient>,
    core: CoreHandle,
    board: AnswerBoard,
    text: String,
}

impl AttemptTask {
    /// Prepares the attempt. Without a client the engine is unknown here.
    pub fn new(
        start: StartAttempt,
        client: Option<EngineClient>,
        core: CoreHandle,
        board: AnswerBoard,
    ) -> Self {
        Self { start, client, core, board, text: String::new() }
    }

    /// Sends the attempt and reads its answer.
    pub async fn start(mut self) {
        let end = match self.client.clone() {
            Some(client) => self.run(&client).await,
            None => not_run("the configuration in force here does not name the engine"),
        };
        self.finish(end).await;
    }

    /// Takes over an attempt that an earlier owner may have sent.
    pub async fn resume(mut self) {
        let end = match self.client.clone() {
            Some(client) => self.find_out(&client, "a new owner took over").await,
            None => unknown("the configuration in force here does not name the engine"),
        };
        self.finish(end).await;
    }

    async fn finish(self, end: AttemptEnd) {
        let (attempt, epoch) = (self.start.attempt.id, self.start.attempt.epoch);
        log::debug!(target: part::ENGINES, "{attempt} ended at {}: {end:?}.", self.start.engine);
        self.core.event(Event::AttemptEnded { attempt, epoch, end }).await;
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
            Err(error) if known_already(&error) => self.find_out(client, &error.to_string()).await,
            Err(error) if error.certainty() == Certainty::NotRun => {
                self.note_refusal(&error).await;
                refused(&error)
            }
            Err(error) => self.find_out(client, &error.to_string()).await,
        }
    }

    /// A refusal is the engine's own word, newer than its last report. The node hears of it before
    /// the end of the attempt, so that the next attempt does not go to the same engine.
    async fn note_refusal(&self, error: &EngineError) {
        if matches!(error.refusal(), Some(EngineRefusal::Leaving)) {
            let engine = self.start.engine.clone();
            let incarnation = self.start.attempt.engine_incarnation;
            self.core.event(Event::EngineRefusesWork { engine, incarnation }).await;
        }
    }

    async fn read(&mut self, client: &EngineClient, stream: EventStream) -> AttemptEnd {
        match self.read_stream(stream).await {
            Ok(end) => end,
            Err(error) => self.find_out(client, &error.to_string()).await,
        }
    }

    /// Reads to the attempt's end.
    ///
    /// # Errors
    /// [`EngineError`] when the stream breaks before it.
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
            self.core.event(Event::FirstToken { attempt: self.id() }).await;
        }
        self.text.push_str(text);
        self.board.append(self.id(), text);
    }

    fn ended(&mut self, usage: Usage, stop: StopReason) -> AttemptEnd {
        match stop {
            StopReason::End | StopReason::Length => {
                AttemptEnd::Ran { text: std::mem::take(&mut self.text), usage }
            }
            StopReason::Cancelled => AttemptEnd::Cut { usage },
        }
    }

    /// Finds out what became of the attempt, and reads on if it can.
    async fn find_out(&mut self, client: &EngineClient, cause: &str) -> AttemptEnd {
        log::info!(target: part::ENGINES, "Asking after {}: {cause}.", self.id());
        let mut silent_since = Instant::now();
        loop {
            match self.enquire(client).await {
                Found::End(end) => return end,
                Found::Stream(stream) => {
                    match self.read_stream(*stream).await {
                        Ok(end) => return end,
                        Err(error) => log::debug!(target: part::ENGINES, "Again: {error}."),
                    }
                    silent_since = Instant::now();
                }
                Found::Later(reason) if silent_since.elapsed() > ENQUIRY_LIMIT => {
                    return unknown(&reason);
                }
                Found::Later(_) => sleep(ENQUIRY_PAUSE).await,
            }
        }
    }

    async fn enquire(&mut self, client: &EngineClient) -> Found {
        let attempt = self.start.attempt;
        // The fence goes first: an earlier owner that is only paused must not start the attempt
        // after the engine has said that it did not.
        let fenced = match client.fence(attempt.id.call.program, attempt.epoch).await {
            Ok(fenced) => fenced,
            Err(error) => return later_or_ended(&error),
        };
        if fenced.incarnation != attempt.engine_incarnation {
            return Found::End(unknown("the engine has restarted since"));
        }
        match client.resume(attempt.id, self.text.len() as u64).await {
            Ok(stream) => Found::Stream(Box::new(stream)),
            Err(error) if unseen(&error) => self.rule_out(client).await,
            Err(error) => Found::Later(error.to_string()),
        }
    }

    /// The engine does not know the attempt. A cancel makes that final; a second look at the
    /// incarnation shows that the life that answered is the one that was meant.
    async fn rule_out(&self, client: &EngineClient) -> Found {
        let attempt = self.start.attempt;
        let state = match client.cancel(attempt.id, attempt.epoch).await {
            Ok(state) => state,
            Err(error) => return Found::Later(error.to_string()),
        };
        let still = match client.fence(attempt.id.call.program, attempt.epoch).await {
            Ok(fenced) => fenced.incarnation == attempt.engine_incarnation,
            Err(error) => return Found::Later(error.to_string()),
        };
        if !still {
            return Found::End(unknown("the engine has restarted since"));
        }
        match state {
            AttemptState::NeverStarted => {
                Found::End(not_run("the engine confirmed that it never started"))
            }
            AttemptState::Finished { usage, stop: StopReason::Cancelled } => {
                Found::End(AttemptEnd::Cut { usage })
            }
            AttemptState::Forgotten => {
                Found::End(unknown("the engine no longer has a record of it"))
            }
            _ => Found::Later("the engine knows the attempt after all".to_owned()),
        }
    }

    fn id(&self) -> AttemptId {
        self.start.attempt.id
    }
}

fn known_already(error: &EngineError) -> bool {
    matches!(error.refusal(), Some(EngineRefusal::AttemptExists { .. }))
}

fn unseen(error: &EngineError) -> bool {
    matches!(error.refusal(), Some(EngineRefusal::NoSuchAttempt { .. }))
}

/// A fence that was refused for a newer epoch means that this owner is none any more.
fn later_or_ended(error: &EngineError) -> Found {
    match error.refusal() {
        Some(EngineRefusal::StaleEpoch { .. }) => Found::End(unknown("a newer owner took over")),
        _ => Found::Later(error.to_string()),
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
