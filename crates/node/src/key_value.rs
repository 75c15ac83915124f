//! Steps with the configuration's key in the key-value service, asked and answered.

use dahlia_configuration::{ServiceUnavailable, SwapFailure, VersionedValue};

/// Names a step of an operator's change. Rises on one daemon; an answer to an earlier step than
/// the last is late and says nothing about the last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ChangeStep(pub u64);

/// A step for the driver. The key is [`dahlia_configuration::CONFIGURATION_KEY`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyValueOperation {
    /// Read the key, to follow it. Answered by [`KeyValueEvent::Read`].
    Read,
    /// Read the key and watch it from there. Answered by [`KeyValueEvent::Watched`] for each
    /// value and by [`KeyValueEvent::WatchEnded`].
    OpenWatch,
    /// End the watch.
    CloseWatch,
    /// Read the key for a change. Answered by [`KeyValueEvent::ReadForChange`].
    ReadForChange(ChangeStep),
    /// Swap the key's value. Answered by [`KeyValueEvent::Swapped`].
    Swap {
        /// Names the step.
        step: ChangeStep,
        /// The version expected; none expects that the key does not exist.
        expected: Option<u64>,
        /// The new value.
        value: Vec<u8>,
    },
}

/// What the service said.
#[derive(Debug, Clone)]
pub enum KeyValueEvent {
    /// The key's value, perhaps an older one; none when it does not exist.
    Read(Result<Option<Vec<u8>>, ServiceUnavailable>),
    /// The watch delivered a value.
    Watched(Vec<u8>),
    /// The watch could not be opened or broke.
    WatchEnded,
    /// The key's value with its version.
    ReadForChange {
        /// The step that is answered.
        step: ChangeStep,
        /// The value, perhaps an older one; none when the key does not exist.
        result: Result<Option<VersionedValue>, ServiceUnavailable>,
    },
    /// What came of a swap.
    Swapped {
        /// The step that is answered.
        step: ChangeStep,
        /// Whether it took effect.
        result: Result<(), SwapFailure>,
    },
}
