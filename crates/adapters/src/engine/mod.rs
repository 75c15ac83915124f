//! Model engines: generate, resume, cancel, fence, release, cache transfer, reports and orders.

mod client;
mod error;
mod messages;
mod orders;
mod refusal;
mod reports;
mod stream;

pub use client::{EngineClient, EngineEndpoint};
pub use error::EngineError;
pub use messages::{
    AfterHold, AttemptState, AttemptStateRequest, CacheImage, CancelRequest, ExportRequest,
    FenceConfirmed, FenceRequest, GenerateEvent, GenerateLine, GenerateRequest, HoldRequest,
    ImageSegment, ImportConfirmed, ImportRequest, ReleaseConfirmed, ReleaseRequest, ReleaseScope,
    ResumeRequest, StopReason,
};
pub use orders::{EngineOrder, EngineRole, FencedOrder, OrderAccepted};
pub use refusal::EngineRefusal;
pub use reports::{
    CacheChange, CacheEvent, CacheEvents, CacheEventsRequest, Inventory, InventoryEntry,
    LoadReport, ModelState, ModelStatus, ReportRequest,
};
pub use stream::EventStream;

/// Paths of an engine's requests. All are `POST` with a JSON body.
pub mod paths {
    /// [`super::EngineClient::generate`].
    pub const GENERATE: &str = "/v1/generate";
    /// [`super::EngineClient::resume`].
    pub const RESUME: &str = "/v1/resume";
    /// [`super::EngineClient::cancel`].
    pub const CANCEL: &str = "/v1/cancel";
    /// [`super::EngineClient::attempt`].
    pub const ATTEMPT: &str = "/v1/attempt";
    /// [`super::EngineClient::fence`].
    pub const FENCE: &str = "/v1/fence";
    /// [`super::EngineClient::hold`].
    pub const HOLD: &str = "/v1/hold";
    /// [`super::EngineClient::release`].
    pub const RELEASE: &str = "/v1/release";
    /// [`super::EngineClient::inventory`].
    pub const INVENTORY: &str = "/v1/inventory";
    /// [`super::EngineClient::load`].
    pub const LOAD: &str = "/v1/load";
    /// [`super::EngineClient::cache_events`].
    pub const CACHE_EVENTS: &str = "/v1/cache-events";
    /// [`super::EngineClient::order`].
    pub const ORDER: &str = "/v1/order";
    /// [`super::EngineClient::export`].
    pub const EXPORT: &str = "/v1/export";
    /// [`super::EngineClient::import`].
    pub const IMPORT: &str = "/v1/import";
}
