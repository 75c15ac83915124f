//! Tool and application services: run a call's body, ask later what came of it.

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
    /// The attempt with the owner's epoch; the engine's life in it is not read.
    pub attempt: Attempt,
    /// Whose program it is.
    pub tenant: TenantId,
    /// The service's name.
    pub service: String,
    /// What to run, UTF-8.
    pub body: String,
    /// Whether the call may run again; the service may take more care with one that may not.
    pub repeatability: Repeatability,
}

/// One line of an invocation's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum InvokeEvent {
    /// It runs from here on. Always first.
    Started,
    /// A sign of life.
    Alive,
    /// It ran to its end. Always last.
    Done {
        /// The result, UTF-8.
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

/// Asks where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToolStateRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
}

/// Keeps an attempt from starting if it has not; one that runs is not undone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToolCancelRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// The owner's epoch.
    pub epoch: Term,
}

/// Where an attempt stands at its tool service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToolAttemptState {
    /// Not seen. It may still arrive: only a cancel makes this final.
    Unseen,
    /// It did not start and never will.
    NeverStarted,
    /// It runs.
    Running,
    /// It ran.
    Ran {
        /// The result.
        body: String,
    },
    /// The service keeps no record and cannot say.
    CannotTell,
}

/// Why a tool service did not do as asked.
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
    /// The attempt was cancelled before it started and never will.
    #[snafu(display("attempt {attempt} was cancelled before it arrived"))]
    NeverStarts {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt was taken before; it is not run twice.
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
    /// Too much is under way.
    #[snafu(display("the service is overloaded"))]
    Overloaded {
        /// When to come back at the earliest.
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

    /// Runs an attempt and waits for its result, however long the service shows signs of life.
    /// Whoever drops the future must ask later what came of the attempt.
    ///
    /// # Errors
    /// [`ToolError`]; its certainty says whether the attempt may have run.
    pub async fn invoke(&self, request: &InvokeRequest) -> Result<String, ToolError> {
        let step = "invoke";
        let answer = self.peer.post_stream::<_, ToolRefusal>(step, paths::INVOKE, request).await?;
        let lines = answer.map_err(|refusal| self.refused(step, refusal))?;
        self.read_result(lines, request.attempt.id).await
    }

    /// Asks where an attempt stands, without changing it.
    ///
    /// # Errors
    /// [`ToolError`]
    pub async fn attempt(&self, attempt: AttemptId) -> Result<ToolAttemptState, ToolError> {
        let step = "enquire about attempt";
        let answer = self.peer.post(step, paths::ATTEMPT, &ToolStateRequest { attempt }).await?;
        answer.map_err(|refusal| self.refused(step, refusal))
    }

    /// Keeps an attempt from starting; tells where it stands. A running one goes on.
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
        answer.map_err(|refusal| self.refused(step, refusal))
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
            // Results are matched by attempt alone: the connection proves nothing.
            if line.attempt != attempt {
                return Err(lines.malformed(format!("an event of {}", line.attempt)).into());
            }
            if let InvokeEvent::Done { body } = line.event {
                return Ok(body);
            }
        }
    }

    fn refused(&self, step: &str, refusal: ToolRefusal) -> ToolError {
        PeerError::refused(step, self.peer.name(), refusal)
    }
}
