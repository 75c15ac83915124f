//! The key-value service: one key, the layout of groups.

use dahlia_node::{Event as NodeEvent, LayoutStep};
use dahlia_types::{DaemonId, Duration, Timestamp};
use rand::Rng;

use super::World;
use super::agenda::{Delivery, Target};

/// Longest time from a request to its reply, in microseconds.
const REPLY_MICROS: std::ops::Range<u64> = 1_000..8_000;
/// A request without a reply is given up after this.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The service's state and faults.
#[derive(Debug, Default)]
pub(crate) struct KeyValue {
    layout: Option<Vec<u8>>,
    written_at: Timestamp,
    pub(crate) down_until: Timestamp,
    pub(crate) stale_until: Timestamp,
    pub(crate) lose_replies: u32,
}

impl World {
    /// A daemon's step with the service.
    pub(crate) fn layout_step(&mut self, daemon: DaemonId, life: u32, step: LayoutStep) {
        let service = &mut self.key_value;
        let (answer, after) = if service.down_until > self.now {
            (LayoutStep::Failed, TIMEOUT)
        } else {
            let changes = matches!(step, LayoutStep::Value(_)) && service.layout.is_none();
            if let LayoutStep::Value(value) = step
                && changes
            {
                service.layout = Some(value);
                service.written_at = self.now;
            }
            if changes && service.lose_replies > 0 {
                service.lose_replies -= 1;
                (LayoutStep::Failed, TIMEOUT)
            } else {
                // An older state of the service has no layout yet.
                let hidden = service.stale_until > self.now
                    && self.now.since(service.written_at) < Duration::from_secs(5);
                let value = service.layout.clone().filter(|_| !hidden);
                let answer = value.map_or(LayoutStep::Read, LayoutStep::Value);
                (answer, Duration(self.random.random_range(REPLY_MICROS)))
            }
        };
        let event = Box::new(NodeEvent::Layout(answer));
        self.agenda.push(self.now + after, Target::Daemon(daemon, life), Delivery::Node(event));
    }
}
