//! Tool and application services: run a call's body, and read its state later.

use dahlia_types::{Attempt, AttemptId, Duration, ProgramId, Repeatability, TenantId, Term};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::error::TruncatedSnafu;
use crate::http::HttpPeer;
use crate::lines::JsonLines;
use crate::peer_error::{PeerError, TypedRefusal};
use crate::{Certainty, ClientSettings, attempt_text};

/// Paths of a tool service's requests. All are `POST` with a JSON body.
pub mod paths {
    /// [`super::ToolClient::invoke`].
    pub const INVOKE: &str = "/v1/invoke";
    /// [`super::ToolClient::attempt`].
    pub const ATTEMPT: &str = "/v1/attempt";
    /// [`super::ToolClient::cancel`].
    pub const CANCEL: &str = "/v1/cancel";
}

/// Asks a tool service to run an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvokeRequest {
    /// The attempt with the owner's epoch; its engine incarnation is ignored.
    pub attempt: Attempt,
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// The service's name.
    pub service: String,
    /// The input to run, in UTF-8.
    pub body: String,
    /// Whether the call may run again; a service may handle one that may not with more
    /// care.
    pub repeatability: Repeatability,
}

/// One line of an invocation's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum InvokeEvent {
    /// The attempt started. Always the first event.
    Started,
    /// Heartbeat.
    Alive,
    /// The attempt ran to its end. Always the last event.
    Done {
        /// The result, in UTF-8.
        body: String,
    },
}

/// One line with the attempt that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvokeLine {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// The event.
    pub event: InvokeEvent,
}

/// Asks for the state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToolStateRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
}

/// Prevents an attempt from starting if it has not started; a running one is not undone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToolCancelRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// The owner's epoch.
    pub epoch: Term,
}

/// State of an attempt at its tool service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToolAttemptState {
    /// The service has not seen it. It may still arrive: only a cancel makes this final.
    Unseen,
    /// It did not start and never will.
    NeverStarted,
    /// It is running.
    Running,
    /// It ran to its end.
    Ran {
        /// The result.
        body: String,
    },
    /// The service keeps no record, so the state is unknown.
    CannotTell,
}

/// Reasons for which a tool service refuses a request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum ToolRefusal {
    /// A newer owner of the program was seen.
    #[snafu(display("epoch {epoch} of {program} is older than {seen}"))]
    StaleEpoch {
        /// The program.
        program: ProgramId,
        /// The epoch refused.
        epoch: Term,
        /// The newest epoch seen.
        seen: Term,
    },
    /// The attempt was cancelled before it started, so it never starts.
    #[snafu(display("attempt {attempt} was cancelled before it arrived"))]
    NeverStarts {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt was accepted before; it is not run twice.
    #[snafu(display("attempt {attempt} is known already"))]
    AttemptExists {
        /// The attempt.
        attempt: AttemptId,
    },
    /// There is no such service here.
    #[snafu(display("there is no service {service:?}"))]
    NoSuchService {
        /// The name.
        service: String,
    },
    /// Too many attempts are in progress.
    #[snafu(display("the service is overloaded"))]
    Overloaded {
        /// Minimum delay before a retry.
        retry_after: Duration,
    },
    /// The request is malformed or exceeds a limit.
    #[snafu(display("`{field}` is not acceptable: {detail}"))]
    Invalid {
        /// The field.
        field: String,
        /// What is wrong, with the limit if there is one.
        detail: String,
    },
}

impl TypedRefusal for ToolRefusal {
    fn certainty(&self) -> Certainty {
        match self {
            // This request did nothing, but an earlier one with the same attempt did.
            Self::AttemptExists { .. } => Certainty::Unknown,
            _ => Certainty::NotRun,
        }
    }
}

/// A request to a tool service that failed.
pub type ToolError = PeerError<ToolRefusal>;

/// The adapter to one tool service. Cheap to clone; clones share connections.
#[derive(Debug, Clone)]
pub struct ToolClient {
    peer: HttpPeer,
}

impl ToolClient {
    /// Prepares an adapter to the service at `address` (`address:port`). Nothing is sent yet.
    pub fn new(address: &str, settings: ClientSettings) -> Self {
        Self { peer: HttpPeer::new("tool service", address, settings) }
    }

    /// Runs an attempt and waits for its result as long as the service sends heartbeats. A caller
    /// that drops the future must read the attempt's state later.
    ///
    /// # Errors
    /// [`ToolError`]; its certainty says whether the attempt may have run.
    pub async fn invoke(&self, request: &InvokeRequest) -> Result<String, ToolError> {
        let step = "invoke";
        let answer = self.peer.post_stream::<_, ToolRefusal>(step, paths::INVOKE, request).await?;
        let lines = answer.map_err(|refusal| self.refusal_error(step, refusal))?;
        self.read_result(lines, request.attempt.id).await
    }

    /// Reads the state of an attempt without changing it.
    ///
    /// # Errors
    /// [`ToolError`]
    pub async fn attempt(&self, attempt: AttemptId) -> Result<ToolAttemptState, ToolError> {
        let step = "enquire about attempt";
        let answer = self.peer.post(step, paths::ATTEMPT, &ToolStateRequest { attempt }).await?;
        answer.map_err(|refusal| self.refusal_error(step, refusal))
    }

    /// Prevents an attempt from starting and returns its state. A running one continues.
    ///
    /// # Errors
    /// [`ToolError`]
    pub async fn cancel(
        &self,
        attempt: AttemptId,
        epoch: Term,
    ) -> Result<ToolAttemptState, ToolError> {
        let step = "cancel";
        let answer =
            self.peer.post(step, paths::CANCEL, &ToolCancelRequest { attempt, epoch }).await?;
        answer.map_err(|refusal| self.refusal_error(step, refusal))
    }

    async fn read_result(
        &self,
        mut lines: JsonLines<InvokeLine>,
        attempt: AttemptId,
    ) -> Result<String, ToolError> {
        loop {
            let Some(line) = lines.next().await? else {
                let (step, peer) = (lines.step(), lines.peer());
                return Err(TruncatedSnafu { step, peer }.build().into());
            };
            // Only the attempt identifies a result; the connection does not.
            if line.attempt != attempt {
                return Err(lines.malformed_error(format!("an event of {}", line.attempt)).into());
            }
            if let InvokeEvent::Done { body } = line.event {
                return Ok(body);
            }
        }
    }

    fn refusal_error(&self, step: &str, refusal: ToolRefusal) -> ToolError {
        PeerError::refused(step, self.peer.name(), refusal)
    }
}
