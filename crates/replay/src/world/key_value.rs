//! The key-value service: the layout of groups and the configuration.

use dahlia_configuration::{ServiceUnavailable, SwapFailure, VersionedValue};
use dahlia_node::{Event as NodeEvent, KeyValueEvent, KeyValueOperation, LayoutStep};
use dahlia_types::{DaemonId, Duration, Timestamp};
use rand::Rng;

use super::World;
use super::agenda::{Delivery, Target};

/// Longest time from a request to its reply, in microseconds.
const REPLY_MICROS: std::ops::Range<u64> = 1_000..8_000;
/// A request without a reply is given up after this.
const TIMEOUT: Duration = Duration::from_secs(2);
/// While the service answers from an older state, it is this old.
const STALE_BY: Duration = Duration::from_secs(5);

/// A key with all values it ever had; the version is the place from 1.
#[derive(Debug, Default)]
struct Key {
    values: Vec<(Timestamp, Vec<u8>)>,
}

impl Key {
    /// The newest value that was there at `at`, with its version.
    fn at(&self, at: Timestamp) -> Option<(u64, &Vec<u8>)> {
        let place = self.values.iter().rposition(|(written, _)| *written <= at)?;
        Some((place as u64 + 1, &self.values[place].1))
    }
}

/// The service's state and faults.
#[derive(Debug, Default)]
pub(crate) struct KeyValue {
    layout: Key,
    configuration: Key,
    pub(crate) down_until: Timestamp,
    pub(crate) stale_until: Timestamp,
    pub(crate) lose_replies: u32,
}

impl KeyValue {
    fn is_down(&self, now: Timestamp) -> bool {
        self.down_until > now
    }

    /// The state that readers see.
    fn read_at(&self, now: Timestamp) -> Timestamp {
        if self.stale_until > now { now - STALE_BY } else { now }
    }

    /// Whether this reply is lost on purpose.
    fn loses_reply(&mut self) -> bool {
        let loses = self.lose_replies > 0;
        self.lose_replies = self.lose_replies.saturating_sub(1);
        loses
    }
}

impl World {
    /// A daemon's step with the layout of groups.
    pub(crate) fn layout_step(&mut self, daemon: DaemonId, life: u32, step: LayoutStep) {
        let now = self.now;
        let service = &mut self.key_value;
        let mut answer = LayoutStep::Failed;
        if !service.is_down(now) {
            let mut lost = false;
            if let LayoutStep::Value(value) = step
                && service.layout.values.is_empty()
            {
                service.layout.values.push((now, value));
                lost = service.loses_reply();
            }
            if !lost {
                let value = service.layout.at(service.read_at(now));
                answer =
                    value.map_or(LayoutStep::Read, |(_, value)| LayoutStep::Value(value.clone()));
            }
        }
        let failed = answer == LayoutStep::Failed;
        self.service_replies(daemon, life, failed, NodeEvent::Layout(answer));
    }

    /// A daemon's step with the configuration's key.
    pub(crate) fn key_value_step(&mut self, id: DaemonId, step: KeyValueOperation) {
        let now = self.now;
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let life = daemon.life;
        let service = &mut self.key_value;
        let down = service.is_down(now);
        let read = service.configuration.at(service.read_at(now));
        let event = match step {
            KeyValueOperation::Read => {
                let found = read.map(|(_, value)| value.clone());
                KeyValueEvent::Read(if down { Err(ServiceUnavailable) } else { Ok(found) })
            }
            KeyValueOperation::ReadForChange(step) => {
                let found =
                    read.map(|(version, value)| VersionedValue { version, bytes: value.clone() });
                let result = if down { Err(ServiceUnavailable) } else { Ok(found) };
                KeyValueEvent::ReadForChange { step, result }
            }
            KeyValueOperation::OpenWatch => {
                daemon.watches = !down;
                match read {
                    Some((_, value)) if !down => KeyValueEvent::Watched(value.clone()),
                    None if !down => return,
                    _ => KeyValueEvent::WatchEnded,
                }
            }
            KeyValueOperation::CloseWatch => {
                daemon.watches = false;
                return;
            }
            KeyValueOperation::Swap { step, expected, value } => {
                let result = self.swap(expected, value);
                KeyValueEvent::Swapped { step, result }
            }
        };
        let lost =
            matches!(event, KeyValueEvent::Swapped { result: Err(SwapFailure::Unknown), .. });
        self.service_replies(id, life, down || lost, NodeEvent::KeyValue(event));
    }

    fn swap(&mut self, expected: Option<u64>, value: Vec<u8>) -> Result<(), SwapFailure> {
        let now = self.now;
        let service = &mut self.key_value;
        if service.is_down(now) {
            // Nobody can tell an outage from a lost reply.
            return Err(SwapFailure::Unknown);
        }
        if expected.unwrap_or(0) != service.configuration.values.len() as u64 {
            return Err(SwapFailure::Conflict);
        }
        service.configuration.values.push((now, value.clone()));
        let lost = service.loses_reply();
        self.tell_watchers(&value);
        if lost { Err(SwapFailure::Unknown) } else { Ok(()) }
    }

    fn tell_watchers(&mut self, value: &[u8]) {
        let watchers: Vec<(DaemonId, u32)> = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.watches)
            .map(|(id, daemon)| (*id, daemon.life))
            .collect();
        for (id, life) in watchers {
            let event = KeyValueEvent::Watched(value.to_vec());
            self.service_replies(id, life, false, NodeEvent::KeyValue(event));
        }
    }

    /// The service goes down: watches break.
    pub(crate) fn begin_outage(&mut self, end: Timestamp) {
        self.key_value.down_until = end;
        let mut watchers = Vec::new();
        for (id, daemon) in &mut self.daemons {
            if std::mem::take(&mut daemon.watches) {
                watchers.push((*id, daemon.life));
            }
        }
        for (id, life) in watchers {
            let event = NodeEvent::KeyValue(KeyValueEvent::WatchEnded);
            self.service_replies(id, life, false, event);
        }
    }

    fn service_replies(&mut self, id: DaemonId, life: u32, late: bool, event: NodeEvent) {
        let after = if late { TIMEOUT } else { Duration(self.random.random_range(REPLY_MICROS)) };
        let delivery = Delivery::Node(Box::new(event));
        self.agenda.push(self.now + after, Target::Daemon(id, life), delivery);
    }
}
