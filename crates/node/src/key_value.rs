//! Operations on the configuration key in the key-value service, and their results.

use dahlia_configuration::{ServiceUnavailable, SwapFailure, VersionedValue};

/// Identifies a step of a configuration change. Steps increase on each daemon. An answer to a step
/// before the last one is late and must be ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ChangeStep(pub u64);

/// An operation for the driver. The key is [`dahlia_configuration::CONFIGURATION_KEY`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyValueOperation {
    /// Read the key, to follow it. Answered by [`KeyValueEvent::Read`].
    Read,
    /// Read the key and watch it from that version. Answered by [`KeyValueEvent::Watched`] for each
    /// value and by [`KeyValueEvent::WatchEnded`].
    OpenWatch,
    /// End the watch.
    CloseWatch,
    /// Read the key for a change. Answered by [`KeyValueEvent::ReadForChange`].
    ReadForChange(ChangeStep),
    /// Swap the key's value. Answered by [`KeyValueEvent::Swapped`].
    Swap {
        /// The step to which the swap belongs.
        step: ChangeStep,
        /// The expected version; none if the key must not exist.
        expected: Option<u64>,
        /// The new value.
        value: Vec<u8>,
    },
}

/// A result from the service.
#[derive(Debug, Clone)]
pub enum KeyValueEvent {
    /// The key's value, which may be stale; none if the key does not exist.
    Read(Result<Option<Vec<u8>>, ServiceUnavailable>),
    /// The watch delivered a value.
    Watched(Vec<u8>),
    /// The watch could not be opened or was interrupted.
    WatchEnded,
    /// The key's value with its version.
    ReadForChange {
        /// The step that is answered.
        step: ChangeStep,
        /// The value, which may be stale; none if the key does not exist.
        result: Result<Option<VersionedValue>, ServiceUnavailable>,
    },
    /// The result of a swap.
    Swapped {
        /// The step that is answered.
        step: ChangeStep,
        /// Whether it took effect.
        result: Result<(), SwapFailure>,
    },
}
