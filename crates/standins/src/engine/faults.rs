//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// Breaks token streams in the middle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamCut {
    /// After this many bytes of text on one stream.
    pub after_bytes: u64,
    /// True ends the body in good order but for its last event; false breaks the connection.
    pub clean: bool,
}

/// Every fault that is in force. The default has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// The engine stands still: nothing is computed, answered or sent. Time goes on, so that it
    /// catches up at once when it wakes.
    pub frozen: bool,
    /// The engine says that it is leaving and refuses new attempts.
    pub leaving: bool,
    /// Each answer leaves this much after its effect, in milliseconds.
    pub answer_delay_ms: u64,
    /// This many requests take effect and their answers are lost.
    pub lose_replies: u32,
    /// Streams carry the text of another live attempt, where there is one.
    pub cross_streams: bool,
    /// Streams break in the middle; the attempts go on.
    pub cut_streams: Option<StreamCut>,
    /// Cache events appear this much later, in milliseconds.
    pub cache_event_delay_ms: u64,
    /// Each event whose sequence number is a multiple of this is lost; 0 loses none.
    pub cache_event_gap: u64,
    /// Load reports are at least this old, in milliseconds.
    pub load_report_delay_ms: u64,
}
