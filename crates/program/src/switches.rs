//! Mechanisms that a test can switch off, to show that its checker notices their absence.

/// A mechanism that a promise to callers depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mechanism {
    /// An intent reserves tokens of the budget.
    Reservation,
    /// An at-most-once call is not attempted again after an attempt that may have run.
    AtMostOnce,
    /// Only the first open call of a chain may be attempted.
    OrderGate,
    /// A key or number that is used again must come with the same content.
    DigestCheck,
    /// An intent records the obligation to release.
    Obligation,
    /// A confirmed release removes only the obligations that it covers.
    ReleaseCover,
    /// A call that may have run is never recorded as not run.
    NotRunRule,
    /// An outcome counts only for the attempt that it names.
    AttemptMatch,
    /// A charge is limited to the reservation.
    ChargeLimit,
}

/// The mechanisms that are switched off. Always empty outside of test builds.
pub(crate) type Switches = dahlia_types::Switches<Mechanism>;
