//! Mechanisms that a test can switch off, to show that its checker notices their absence.

/// One mechanism that a promise rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mechanism {
    /// Budget is set aside at the intent.
    Reservation,
    /// A call at most once is not attempted again after an attempt that may have run.
    AtMostOnce,
    /// Only the first open call of a chain may be attempted.
    OrderGate,
    /// A key or number used again must come with the same content.
    DigestCheck,
    /// An intent records the obligation to release.
    Obligation,
    /// A confirmed release ends only the obligations that it covers.
    ReleaseCover,
    /// A call that may have run is never recorded as not run.
    NotRunRule,
    /// An outcome counts only for the attempt that it names.
    AttemptMatch,
    /// A charge is limited to the reservation.
    ChargeLimit,
}

/// The mechanisms switched off. Always empty outside of test builds.
pub(crate) type Switches = dahlia_types::Switches<Mechanism>;
