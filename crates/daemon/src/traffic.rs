//! What a daemon has sent to others, by kind of message, without headers of TCP, UDP and IP.

use std::sync::atomic::{AtomicU64, Ordering};

use dahlia_node::wire::MessageKind;
use prometheus::core::Collector;
use prometheus::{IntCounter, IntCounterVec, Opts};

/// Counts of one kind of message.
#[derive(Debug)]
struct Sent {
    kind: MessageKind,
    bytes: IntCounter,
    messages: IntCounter,
}

/// What a daemon has sent to others.
#[derive(Debug)]
pub struct Traffic {
    by_kind: Vec<Sent>,
    all_bytes: AtomicU64,
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
    /// Nothing sent yet.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a name is malformed.
    pub fn new() -> Result<Self, prometheus::Error> {
        let counters =
            |name: &str, help: &str| IntCounterVec::new(Opts::new(name, help), &["kind"]);
        let bytes = counters(
            "dahlialadder_control_bytes_total",
            "Bytes sent to other daemons, by what they are about.",
        )?;
        let messages = counters(
            "dahlialadder_control_messages_total",
            "Messages sent to other daemons, by what they are about.",
        )?;
        let of = |kind: MessageKind| Sent {
            kind,
            bytes: bytes.with_label_values(&[kind.name()]),
            messages: messages.with_label_values(&[kind.name()]),
        };
        let by_kind = MessageKind::ALL.into_iter().map(of).collect();
        Ok(Self { by_kind, all_bytes: AtomicU64::new(0), collectors: [bytes, messages] })
    }

    /// Counts a message.
    pub fn count(&self, kind: MessageKind, bytes: usize) {
        self.all_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if let Some(sent) = self.by_kind.get(kind as usize) {
            sent.bytes.inc_by(bytes as u64);
            sent.messages.inc();
        }
    }

    /// Bytes of all messages.
    pub fn total_bytes(&self) -> u64 {
        self.all_bytes.load(Ordering::Relaxed)
    }

    /// What was sent of each kind.
    pub fn totals_by_kind(&self) -> impl Iterator<Item = KindTotals> {
        self.by_kind.iter().map(|sent| KindTotals {
            kind: sent.kind,
            bytes: sent.bytes.get(),
            messages: sent.messages.get(),
        })
    }

    /// The counters as metrics.
    pub fn collectors(&self) -> impl Iterator<Item = Box<dyn Collector>> {
        self.collectors.iter().map(|counters| -> Box<dyn Collector> { Box::new(counters.clone()) })
    }
}
