//! Counts of bytes and messages sent to other daemons, by kind, without headers of TCP, UDP and IP.

use std::sync::atomic::{AtomicU64, Ordering};

use dahlia_node::wire::MessageKind;
use prometheus::core::Collector;
use prometheus::{IntCounter, IntCounterVec, Opts};

/// Counters of one kind of message.
#[derive(Debug)]
struct KindCounters {
    kind: MessageKind,
    bytes: IntCounter,
    messages: IntCounter,
}

/// Traffic sent to other daemons.
#[derive(Debug)]
pub struct Traffic {
    by_kind: Vec<KindCounters>,
    total_bytes: AtomicU64,
    collectors: [IntCounterVec; 2],
}

/// Bytes and messages of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindTotals {
    /// The kind.
    pub kind: MessageKind,
    /// Bytes sent so far.
    pub bytes: u64,
    /// Messages sent so far.
    pub messages: u64,
}

impl Traffic {
    /// Creates counters at zero.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a name is malformed.
    pub fn new() -> Result<Self, prometheus::Error> {
        let new_counter =
            |name: &str, help: &str| IntCounterVec::new(Opts::new(name, help), &["kind"]);
        let bytes = new_counter(
            "dahlialadder_control_bytes_total",
            "Bytes sent to other daemons, by what they are about.",
        )?;
        let messages = new_counter(
            "dahlialadder_control_messages_total",
            "Messages sent to other daemons, by what they are about.",
        )?;
        let of = |kind: MessageKind| KindCounters {
            kind,
            bytes: bytes.with_label_values(&[kind.name()]),
            messages: messages.with_label_values(&[kind.name()]),
        };
        let by_kind = MessageKind::ALL.into_iter().map(of).collect();
        Ok(Self { by_kind, total_bytes: AtomicU64::new(0), collectors: [bytes, messages] })
    }

    /// Counts a sent message.
    pub fn count(&self, kind: MessageKind, bytes: usize) {
        self.total_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if let Some(counters) = self.by_kind.get(kind as usize) {
            counters.bytes.inc_by(bytes as u64);
            counters.messages.inc();
        }
    }

    /// Bytes of all messages.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes.load(Ordering::Relaxed)
    }

    /// Totals of each kind.
    pub fn totals_by_kind(&self) -> impl Iterator<Item = KindTotals> {
        self.by_kind.iter().map(|counters| KindTotals {
            kind: counters.kind,
            bytes: counters.bytes.get(),
            messages: counters.messages.get(),
        })
    }

    /// The counters as metrics.
    pub fn collectors(&self) -> impl Iterator<Item = Box<dyn Collector>> {
        self.collectors.iter().map(|counters| -> Box<dyn Collector> { Box::new(counters.clone()) })
    }
}
