//! The service's records of attempts, its faults and what it saw.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dahlia_adapters::attempt_text;
use dahlia_adapters::tool::{InvokeRequest, ToolAttemptState, ToolCancelRequest, ToolRefusal};
use dahlia_types::{AttemptId, ProgramId, TenantId, Term};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use super::ToolSettings;
use crate::control::{Witness, lock};

const DELAY_DIRECTIVE: &str = "[[delay=";
const HANG_DIRECTIVE: &str = "[[hang]]";
const DIRECTIVE_END: &str = "]]";
const RETRY_AFTER: dahlia_types::Duration = dahlia_types::Duration::from_millis(200);
const DIGEST_BYTES: usize = 4;

/// Every fault that is in force. The default has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ToolFaults {
    /// Invocations start and never end.
    pub hang: bool,
    /// Running invocations give no sign of life.
    pub silent: bool,
    /// This many invocations run to their end and their results are lost.
    pub lose_replies: u32,
    /// Every invocation is refused as overloaded.
    pub overloaded: bool,
}

/// Something that the service saw: the outside evidence on what ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToolObservation {
    /// An attempt began to run: its effect counts from here on.
    Started {
        /// The attempt.
        #[serde(with = "attempt_text")]
        attempt: AttemptId,
        /// The owner's epoch.
        epoch: Term,
        /// Whose program it is.
        tenant: TenantId,
        /// The service.
        service: String,
        /// What it ran.
        body: String,
    },
    /// It ran to its end.
    Ended {
        /// The attempt.
        #[serde(with = "attempt_text")]
        attempt: AttemptId,
        /// Whether its result was lost on purpose.
        reply_lost: bool,
    },
    /// An attempt was kept from starting.
    NeverStarted {
        /// The attempt.
        #[serde(with = "attempt_text")]
        attempt: AttemptId,
    },
    /// An attempt was refused.
    Refused {
        /// The attempt.
        #[serde(with = "attempt_text")]
        attempt: AttemptId,
        /// Why.
        reason: String,
    },
}

/// The result of a body: says which service ran what.
pub fn tool_result(service: &str, body: &str) -> String {
    let digest = Sha256::digest(body.as_bytes());
    let digits: String =
        digest.iter().take(DIGEST_BYTES).map(|byte| format!("{byte:02x}")).collect();
    format!("{service} ran {digits}")
}

#[derive(Debug, Default)]
struct State {
    attempts: BTreeMap<AttemptId, ToolAttemptState>,
    epochs: BTreeMap<ProgramId, Term>,
    running: u64,
}

/// The running service.
pub(super) struct Service {
    pub(super) settings: ToolSettings,
    pub(super) witness: Witness<ToolObservation>,
    state: Mutex<State>,
    faults: watch::Sender<ToolFaults>,
}

impl Service {
    pub(super) fn new(settings: ToolSettings) -> Self {
        Self {
            settings,
            witness: Witness::new(),
            state: Mutex::new(State::default()),
            faults: watch::Sender::new(ToolFaults::default()),
        }
    }

    pub(super) fn faults(&self) -> ToolFaults {
        *self.faults.borrow()
    }

    pub(super) fn set_faults(&self, faults: ToolFaults) {
        self.faults.send_replace(faults);
    }

    /// Starts an attempt: it runs to its end whether or not anybody waits for the result. The
    /// receiver gets the result; it gets none when the result is lost on purpose.
    pub(super) fn start(
        self: &Arc<Self>,
        request: InvokeRequest,
    ) -> Result<watch::Receiver<Option<Outcome>>, ToolRefusal> {
        let attempt = request.attempt.id;
        if let Err(refusal) = self.admit(&request) {
            let reason = refusal.to_string();
            self.witness.note(ToolObservation::Refused { attempt, reason });
            return Err(refusal);
        }
        let (outcome, result) = watch::channel(None);
        let service = Arc::clone(self);
        tokio::spawn(async move {
            service.run(&request).await;
            outcome.send_replace(Some(service.finish(&request)));
        });
        Ok(result)
    }

    /// Where an attempt stands.
    pub(super) fn state(&self, attempt: AttemptId) -> ToolAttemptState {
        if !self.settings.keeps_records {
            return ToolAttemptState::CannotTell;
        }
        lock(&self.state).attempts.get(&attempt).cloned().unwrap_or(ToolAttemptState::Unseen)
    }

    /// Keeps an attempt from starting.
    pub(super) fn cancel(
        &self,
        request: ToolCancelRequest,
    ) -> Result<ToolAttemptState, ToolRefusal> {
        let ToolCancelRequest { attempt, epoch } = request;
        let mut state = lock(&self.state);
        observe(&mut state, attempt.call.program, epoch)?;
        if !self.settings.keeps_records {
            return Ok(ToolAttemptState::CannotTell);
        }
        let known = state.attempts.entry(attempt).or_insert_with(|| {
            self.witness.note(ToolObservation::NeverStarted { attempt });
            ToolAttemptState::NeverStarted
        });
        Ok(known.clone())
    }

    fn admit(&self, request: &InvokeRequest) -> Result<(), ToolRefusal> {
        let attempt = request.attempt.id;
        let offered = &self.settings.services;
        if !offered.is_empty() && !offered.contains(&request.service) {
            return Err(ToolRefusal::NoSuchService { service: request.service.clone() });
        }
        let overloaded = self.faults().overloaded;
        let mut state = lock(&self.state);
        observe(&mut state, attempt.call.program, request.attempt.epoch)?;
        match state.attempts.get(&attempt) {
            None => {}
            Some(ToolAttemptState::NeverStarted) => {
                return Err(ToolRefusal::NeverStarts { attempt });
            }
            Some(_) => return Err(ToolRefusal::AttemptExists { attempt }),
        }
        if overloaded || state.running >= self.settings.max_running {
            return Err(ToolRefusal::Overloaded { retry_after: RETRY_AFTER });
        }
        state.running += 1;
        state.attempts.insert(attempt, ToolAttemptState::Running);
        self.witness.note(ToolObservation::Started {
            attempt,
            epoch: request.attempt.epoch,
            tenant: request.tenant.clone(),
            service: request.service.clone(),
            body: request.body.clone(),
        });
        Ok(())
    }

    async fn run(&self, request: &InvokeRequest) {
        if request.body.contains(HANG_DIRECTIVE) {
            return std::future::pending().await;
        }
        let milliseconds = asked_delay(&request.body).unwrap_or(self.settings.default_run_ms);
        tokio::time::sleep(Duration::from_millis(milliseconds)).await;
        let mut faults = self.faults.subscribe();
        // The sender lives as long as the service, so this waits for nothing but the fault's end.
        let _ = faults.wait_for(|faults| !faults.hang).await;
    }

    fn finish(&self, request: &InvokeRequest) -> Outcome {
        let attempt = request.attempt.id;
        let body = tool_result(&request.service, &request.body);
        let reply_lost = self.faults.send_if_modified(|faults| {
            let lose = faults.lose_replies > 0;
            faults.lose_replies = faults.lose_replies.saturating_sub(1);
            lose
        });
        let mut state = lock(&self.state);
        state.running -= 1;
        state.attempts.insert(attempt, ToolAttemptState::Ran { body: body.clone() });
        self.witness.note(ToolObservation::Ended { attempt, reply_lost });
        if reply_lost { Outcome::Lost } else { Outcome::Result(body) }
    }
}

/// What a caller gets of a finished invocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The result.
    Result(String),
    /// Nothing.
    Lost,
}

fn observe(state: &mut State, program: ProgramId, epoch: Term) -> Result<(), ToolRefusal> {
    let seen = state.epochs.entry(program).or_insert(epoch);
    if *seen > epoch {
        return Err(ToolRefusal::StaleEpoch { program, epoch, seen: *seen });
    }
    *seen = epoch;
    Ok(())
}

fn asked_delay(body: &str) -> Option<u64> {
    let (_, rest) = body.split_once(DELAY_DIRECTIVE)?;
    let (number, _) = rest.split_once(DIRECTIVE_END)?;
    number.trim().parse().ok()
}
