//! Stand-ins of the platform's services for tests and the demo, as libraries and as separate
//! processes.
//!
//! Each service speaks the wire forms of `dahlia-adapters`. With control switched on, faults are
//! set by `POST /control/faults` (the whole set at once) and what the service saw is read by
//! `POST /control/observations`: promises are judged by what engines, tools and the store saw.

pub mod cli;
mod clock;
pub mod control;
mod control_client;
pub mod engine;
pub mod key_value;
pub mod machines;
mod options;
mod rate;
mod reply;
mod server;
pub mod tool;
pub mod weights;

pub use control_client::{ControlClient, ControlError};
pub use engine::{EngineServer, EngineSettings};
pub use key_value::{KeyValueServer, KeyValueSettings};
pub use machines::{MachineListServer, MachineListSettings};
pub(crate) use reply::InputLimits;
pub use server::{RunningServer, ServerSettings, StartError};
pub use tool::{ToolServer, ToolSettings};
pub use weights::{WeightServer, WeightSettings};
