//! Thin adapters to the services of the platform: engines, key-value service, weight store, tools,
//! machine list.
//!
//! Every adapter uses HTTP/1.1 with JSON bodies; streams are newline-delimited JSON. An adapter
//! never retries, caches or decides. It sends one request, checks the answer, and reports whether
//! a failed request may have taken effect ([`Certainty`]), so that its caller can decide.

pub mod engine;
mod error;
mod http;
pub mod key_value;
mod lines;
pub mod machines;
mod peer_error;
mod settings;
pub mod tool;
pub mod weights;
mod wire_text;

pub use engine::{EngineClient, EngineEndpoint, EngineError, EventStream};
pub use error::{Certainty, TransportError};
pub use http::ErrorBody;
pub use key_value::{KeyValueClient, KeyValueError};
pub use machines::MachineListClient;
pub use peer_error::{PeerError, TypedRefusal};
pub use settings::ClientSettings;
pub use tool::ToolClient;
pub use weights::WeightStoreClient;
pub use wire_text::attempt_text;
