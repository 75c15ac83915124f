//! What daemons send each other about the source, and the orders to the driver.

use std::net::SocketAddr;

use dahlia_types::{Duration, Timestamp};
use serde::{Deserialize, Serialize};

/// Changes read from the source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceReport {
    /// The contents are all changes after this revision.
    pub after: u64,
    /// The contents are all changes up to this revision.
    pub at: u64,
    /// How long ago the call that read them began.
    pub age: Duration,
    /// The driver's encoding of the changes.
    pub contents: Vec<u8>,
}

/// When a call to the source began, as far as its subscriber can tell by its own clock.
///
/// The subscription arrived after it was sent. So the call began at `sent_at` plus `call_began_after` or later,
/// however long the subscription and the report were on their way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscriptionEcho {
    /// When the subscription was sent, by the subscriber's clock.
    pub sent_at: Timestamp,
    /// Microseconds from the arrival of the subscription to the begin of the call; negative if the call began
    /// first.
    pub call_began_after: i64,
}

impl SubscriptionEcho {
    /// The earliest time at which the call can have begun, by the subscriber's clock.
    pub(super) fn call_began_at(self) -> Timestamp {
        Timestamp(self.sent_at.0.saturating_add_signed(self.call_began_after))
    }
}

/// A message about the source between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// The sender subscribes to reports for the next few renewal intervals.
    Subscribe {
        /// The revision up to which the sender knows all changes.
        known: u64,
        /// Address to send reports to.
        reply_to: SocketAddr,
        /// When the subscription is sent, by the sender's clock. None from a build that does not tell. The wire
        /// format carries it beside the message.
        #[serde(skip)]
        sent_at: Option<Timestamp>,
    },
    /// A report.
    Report {
        /// What was read.
        report: SourceReport,
        /// When it was read, in relation to the receiver's last subscription. None if that had no time. The wire
        /// format carries it beside the message.
        #[serde(skip)]
        echo: Option<SubscriptionEcho>,
    },
}

/// Whether and how this daemon should read the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceReading {
    /// It need not: reports of another daemon are enough.
    Paused,
    /// It should read for itself.
    ForItself,
    /// It should read often enough that its reports to others stay fresh.
    ForOthers,
}

/// An order about the source to the driver, the code outside the node that does its I/O, such as reads of the
/// source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedOrder {
    /// Read the source in this way from now on.
    Read(SourceReading),
    /// Apply what another daemon read. It continues from the revision known here.
    Apply {
        /// What was read.
        report: SourceReport,
        /// How long ago the call that read it began, at most; none if that is not known.
        age: Option<Duration>,
        /// How long the report, and the subscription that it answers, were on their way; none if the reader does
        /// not tell.
        way: Option<Duration>,
    },
    /// The source answered another daemon, whose report cannot be applied here.
    SourceAnswered {
        /// How long ago the call began, at most.
        age: Duration,
    },
    /// Read the changes up to now at once. The reports of the reader begin after the revision known here, and
    /// so will all its later ones.
    CatchUp,
}
