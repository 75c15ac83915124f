//! Faults begin and end.

use dahlia_types::{DaemonId, Duration, GroupId, Timestamp};

use super::World;
use super::agenda::{Delivery, Target};
use crate::trace::{CrashPoint, Fault, Subject};

/// The end of a fault that does not end by time alone.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FaultEnd {
    StartDaemon(DaemonId),
    StartEngine(u32),
    Thaw(DaemonId, u32),
    ThawEngine(u32, u32),
    Serve(u32),
}

/// A crash that waits for a daemon to come to its point.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ArmedCrash {
    point: CrashPoint,
    skip: u32,
    length: Duration,
    until: Timestamp,
    /// It stops the process instead of ending it.
    pauses: bool,
}

/// A crash whose point is not passed within this time does not come.
pub const CRASH_WINDOW: Duration = Duration::from_secs(20);

impl World {
    pub(crate) fn begin_fault(&mut self, fault: &Fault) {
        let now = self.now;
        let end = now + fault.length();
        match fault {
            Fault::Kill { subject, length } => self.begin_kill(subject, *length),
            Fault::Freeze { subject, length } => self.begin_freeze(subject, *length),
            Fault::Crash { point, skip, length } => {
                self.arm(*point, *skip, *length, false);
            }
            Fault::Pause { point, skip, length } => self.arm(*point, *skip, *length, true),
            Fault::Cut { from, to, .. } => {
                if let (Some(from), Some(to)) = (self.zone(from), self.zone(to)) {
                    self.network.cut(from, to, end);
                }
            }
            Fault::Isolate { zone, .. } => {
                let zones = self.trace.deployment.zones.len();
                if let Some(zone) = self.zone(zone) {
                    for other in (0..zones).filter(|other| *other != zone) {
                        self.network.cut(zone, other, end);
                        self.network.cut(other, zone, end);
                    }
                }
            }
            Fault::Slow { zone, by, .. } => {
                if let Some(zone) = self.zone(zone) {
                    self.network.slow(zone, *by, end);
                }
            }
            Fault::Outage { .. } => self.begin_outage(end),
            Fault::LostReply { count } => self.key_value.lose_replies += count,
            Fault::Stale { .. } => self.key_value.stale_until = end,
            Fault::Stop { daemon, length } => self.drain_daemon(DaemonId(*daemon), *length),
            Fault::Leave { engine, .. }
            | Fault::Lag { engine, .. }
            | Fault::Late { engine, .. }
            | Fault::Crossed { engine, .. }
            | Fault::LoseReplies { engine, .. } => self.begin_engine_fault(*engine, fault),
        }
    }

    fn arm(&mut self, point: CrashPoint, skip: u32, length: Duration, pauses: bool) {
        let until = self.now + CRASH_WINDOW;
        self.armed_crashes.push(ArmedCrash { point, skip, length, until, pauses });
    }

    fn begin_engine_fault(&mut self, number: u32, fault: &Fault) {
        let now = self.now;
        let end = now + fault.length();
        let Some(engine) = self.engines.get_mut(&number) else { return };
        match fault {
            Fault::Leave { length, .. } => {
                engine.leaving_since = Some(now);
                if *length > Duration::ZERO {
                    self.end_fault_after(*length, FaultEnd::Serve(number));
                }
            }
            Fault::Lag { by, .. } => engine.lag = (*by, end),
            Fault::Late { by, .. } => engine.late = (*by, end),
            Fault::Crossed { .. } => engine.crossed_until = end,
            Fault::LoseReplies { count, .. } => engine.lose_replies += count,
            _ => {}
        }
    }

    fn begin_kill(&mut self, subject: &Subject, length: Duration) {
        match self.resolve(subject) {
            Some(Hit::Daemon(daemon)) => self.kill_daemon(daemon, length),
            Some(Hit::Engine(engine)) => {
                self.kill_engine(engine);
                if length > Duration::ZERO {
                    self.end_fault_after(length, FaultEnd::StartEngine(engine));
                }
            }
            None => {}
        }
    }

    fn begin_freeze(&mut self, subject: &Subject, length: Duration) {
        match self.resolve(subject) {
            Some(Hit::Daemon(daemon)) => {
                self.freeze_daemon(daemon);
                let life = self.daemons.get(&daemon).map_or(0, |held| held.life);
                self.end_fault_after(length, FaultEnd::Thaw(daemon, life));
            }
            Some(Hit::Engine(number)) => {
                let Some(engine) = self.engines.get_mut(&number) else { return };
                engine.is_frozen = engine.is_up();
                let life = engine.life;
                self.end_fault_after(length, FaultEnd::ThawEngine(number, life));
            }
            None => {}
        }
    }

    fn resolve(&self, subject: &Subject) -> Option<Hit> {
        match subject {
            Subject::Daemon(daemon) => Some(Hit::Daemon(DaemonId(*daemon))),
            Subject::Engine(engine) => Some(Hit::Engine(*engine)),
            Subject::OwnerOf(group) => {
                let group = GroupId(*group);
                let owner = self
                    .daemons
                    .iter()
                    .find(|(_, daemon)| daemon.node.as_ref().is_some_and(|node| node.owns(group)));
                owner.map(|(id, _)| Hit::Daemon(*id))
            }
        }
    }

    fn zone(&self, name: &str) -> Option<usize> {
        self.trace.deployment.zones.iter().position(|zone| zone == name)
    }

    fn end_fault_after(&mut self, after: Duration, end: FaultEnd) {
        self.agenda.push(self.now + after, Target::World, Delivery::FaultEnds(end));
    }

    pub(crate) fn start_again_after(&mut self, id: DaemonId, down: Duration) {
        self.end_fault_after(down, FaultEnd::StartDaemon(id));
    }

    pub(crate) fn end_fault(&mut self, end: FaultEnd) {
        match end {
            FaultEnd::StartDaemon(daemon) => self.start_daemon(daemon),
            FaultEnd::StartEngine(engine) => self.start_engine(engine),
            FaultEnd::Thaw(daemon, life) => {
                if self.daemons.get(&daemon).is_some_and(|held| held.life == life) {
                    self.thaw_daemon(daemon);
                }
            }
            FaultEnd::ThawEngine(engine, life) => {
                if self.engines.get(&engine).is_some_and(|held| held.life == life) {
                    self.thaw_engine(engine);
                }
            }
            FaultEnd::Serve(engine) => {
                if let Some(engine) = self.engines.get_mut(&engine) {
                    engine.leaving_since = None;
                }
            }
        }
    }

    /// Kills or stops a daemon that comes to a durable step if a fault waits for that. Gives
    /// whether it did: what the daemon was about to do is then not done now.
    pub(crate) fn crash_here(&mut self, id: DaemonId, point: CrashPoint) -> bool {
        let now = self.now;
        self.armed_crashes.retain(|armed| armed.until > now);
        let Some(place) = self.armed_crashes.iter().position(|armed| armed.point == point) else {
            return false;
        };
        if self.armed_crashes[place].skip > 0 {
            self.armed_crashes[place].skip -= 1;
            return false;
        }
        let armed = self.armed_crashes.remove(place);
        if armed.pauses {
            self.freeze_daemon(id);
            let life = self.daemons.get(&id).map_or(0, |held| held.life);
            self.end_fault_after(armed.length, FaultEnd::Thaw(id, life));
        } else {
            self.kill_daemon(id, armed.length);
        }
        true
    }
}

/// A process that a fault hits.
enum Hit {
    Daemon(DaemonId),
    Engine(u32),
}
