//! The parts of a daemon that log. Format, bounds and settings are in `dahlia_logging`.

pub use dahlia_logging::{LogSettings, LoggingError, dropped_lines, flush, install};

/// The parts of a daemon that log; each is a prefix of its lines.
pub mod part {
    /// Start, stop and assembly.
    pub const DAEMON: &str = "daemon";
    /// The task that drives the node.
    pub const CORE: &str = "core";
    /// Callers' HTTP.
    pub const GATEWAY: &str = "gateway";
    /// Operators' RPC.
    pub const OPERATORS: &str = "operators";
    /// Connections between daemons.
    pub const PEERS: &str = "peers";
    /// Model engines.
    pub const ENGINES: &str = "engines";
    /// The data folder.
    pub const STORE: &str = "store";
    /// The key-value service and the configuration.
    pub const CONFIGURATION: &str = "configuration";
}
