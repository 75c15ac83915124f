//! The engine adapter: one method for each request.

use dahlia_types::{AttemptId, EngineId, ProgramId, Term};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::error::RefusedSnafu;
use super::{
    AttemptState, AttemptStateRequest, CacheEvents, CacheEventsRequest, CacheImage, CancelRequest,
    EngineError, EngineRefusal, EventStream, ExportRequest, FenceConfirmed, FenceRequest,
    FencedOrder, GenerateRequest, HoldRequest, ImportConfirmed, ImportRequest, Inventory,
    LoadReport, OrderAccepted, ReleaseConfirmed, ReleaseRequest, ReportRequest, ResumeRequest,
    paths,
};
use crate::ClientSettings;
use crate::http::HttpPeer;

/// Address of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEndpoint {
    /// The engine.
    pub engine: EngineId,
    /// `address:port`.
    pub address: String,
}

/// The adapter to one engine. Cheap to clone; clones share connections.
#[derive(Debug, Clone)]
pub struct EngineClient {
    engine: EngineId,
    peer: HttpPeer,
}

impl EngineClient {
    /// Prepares an adapter. Nothing is sent yet.
    pub fn new(endpoint: EngineEndpoint, settings: ClientSettings) -> Self {
        let name = format!("engine {}", endpoint.engine);
        let peer = HttpPeer::new(&name, &endpoint.address, settings);
        Self { engine: endpoint.engine, peer }
    }

    /// The engine.
    pub fn engine(&self) -> &EngineId {
        &self.engine
    }

    /// Starts an attempt and follows it. Dropping the stream leaves the attempt running.
    ///
    /// # Errors
    /// [`EngineError`]; its certainty says whether the attempt may have started.
    pub async fn generate(&self, request: &GenerateRequest) -> Result<EventStream, EngineError> {
        let attempt = request.attempt.id;
        self.open_stream("generate", paths::GENERATE, request, attempt, 0).await
    }

    /// Follows a known attempt from byte `from_offset` of its answer, to its end.
    ///
    /// # Errors
    /// [`EngineError`], e.g. when this incarnation of the engine does not know the attempt.
    pub async fn resume(
        &self,
        attempt: AttemptId,
        from_offset: u64,
    ) -> Result<EventStream, EngineError> {
        let request = ResumeRequest { attempt, from_offset };
        self.open_stream("resume", paths::RESUME, &request, attempt, from_offset).await
    }

    /// Ends an attempt. One that has not started answers [`AttemptState::NeverStarted`] and
    /// never starts in this incarnation; a running one is cut off and answers with its usage.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn cancel(
        &self,
        attempt: AttemptId,
        epoch: Term,
    ) -> Result<AttemptState, EngineError> {
        let request = CancelRequest { attempt, epoch, only_waiting: false };
        self.post("cancel", paths::CANCEL, &request).await
    }

    /// Like [`Self::cancel`], but does not end an attempt that has started. Used to take back work
    /// that another engine can do as well.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn recall(
        &self,
        attempt: AttemptId,
        epoch: Term,
    ) -> Result<AttemptState, EngineError> {
        let request = CancelRequest { attempt, epoch, only_waiting: true };
        self.post("recall", paths::CANCEL, &request).await
    }

    /// Reads the state of an attempt without changing it.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn attempt(&self, attempt: AttemptId) -> Result<AttemptState, EngineError> {
        self.post("enquire about attempt", paths::ATTEMPT, &AttemptStateRequest { attempt }).await
    }

    /// Makes the engine refuse older epochs of a program.
    ///
    /// # Errors
    /// [`EngineError`], e.g. when a newer epoch is in force.
    pub async fn fence(
        &self,
        program: ProgramId,
        epoch: Term,
    ) -> Result<FenceConfirmed, EngineError> {
        self.post("fence", paths::FENCE, &FenceRequest { program, epoch }).await
    }

    /// Keeps a program's cache for a limited time.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn hold(&self, request: &HoldRequest) -> Result<FenceConfirmed, EngineError> {
        self.post("hold", paths::HOLD, request).await
    }

    /// Frees the memory that the engine holds for a program. The request is idempotent.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn release(&self, request: &ReleaseRequest) -> Result<ReleaseConfirmed, EngineError> {
        self.post("release", paths::RELEASE, request).await
    }

    /// Lists every program for which the engine holds anything.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn inventory(&self) -> Result<Inventory, EngineError> {
        self.post("read inventory", paths::INVENTORY, &ReportRequest {}).await
    }

    /// Reads the engine's latest load report.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn load(&self) -> Result<LoadReport, EngineError> {
        self.post("read load", paths::LOAD, &ReportRequest {}).await
    }

    /// Reads the published cache events after a sequence number.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        let request = CacheEventsRequest { after };
        self.post("read cache events", paths::CACHE_EVENTS, &request).await
    }

    /// Sends an order of the operators' configuration.
    ///
    /// # Errors
    /// [`EngineError`], e.g. when a newer generation was seen.
    pub async fn order(&self, order: &FencedOrder) -> Result<OrderAccepted, EngineError> {
        self.post("give order", paths::ORDER, order).await
    }

    /// Exports a program's cached prefix so that another engine can import it.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn export(&self, request: &ExportRequest) -> Result<CacheImage, EngineError> {
        self.post("export cache", paths::EXPORT, request).await
    }

    /// Imports an exported prefix; returns when it is cached.
    ///
    /// # Errors
    /// [`EngineError`]
    pub async fn import(&self, request: &ImportRequest) -> Result<ImportConfirmed, EngineError> {
        self.post("import cache", paths::IMPORT, request).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        step: &str,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, EngineError> {
        let answer = self.peer.post::<T, EngineRefusal>(step, path, request).await?;
        answer.map_err(|refusal| self.refusal_error(step, refusal))
    }

    async fn open_stream(
        &self,
        step: &str,
        path: &str,
        request: &impl Serialize,
        attempt: AttemptId,
        offset: u64,
    ) -> Result<EventStream, EngineError> {
        let answer = self.peer.post_stream::<_, EngineRefusal>(step, path, request).await?;
        let lines = answer.map_err(|refusal| self.refusal_error(step, refusal))?;
        Ok(EventStream::new(lines, attempt, offset))
    }

    fn refusal_error(&self, step: &str, refusal: EngineRefusal) -> EngineError {
        RefusedSnafu { step, peer: self.peer.name(), refusal }.build()
    }
}
