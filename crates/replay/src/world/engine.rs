//! An engine's life: the engine model, what it remembers of attempts, and its faults.

use std::collections::{BTreeMap, VecDeque};

use dahlia_engine_model::EngineModel;
use dahlia_node::EngineReport;
use dahlia_types::{AttemptId, Duration, Incarnation, Timestamp, Tokens, Zone};
use rand::Rng;

use super::World;
use super::agenda::{Delivery, Target};
use super::calls::RpcError;
use super::observe::Observation;
use super::settings::{engine_name, engine_parameters, model, zone_index};
use super::streams::{Progress, Reader, Record};

/// Reports kept, so that late ones can be given.
const REPORTS_KEPT: usize = 400;

/// One engine over all its lives.
pub(crate) struct VirtualEngine {
    pub(crate) zone: usize,
    zone_name: Zone,
    pub(crate) life: u32,
    pub(crate) incarnation: Incarnation,
    /// None while the process is down.
    pub(crate) model: Option<EngineModel>,
    pub(crate) is_frozen: bool,
    pub(crate) backlog: Vec<Delivery>,
    pub(crate) records: BTreeMap<AttemptId, Record>,
    pub(crate) readers: BTreeMap<u64, Reader>,
    pub(crate) leaving_since: Option<Timestamp>,
    pub(crate) late: (Duration, Timestamp),
    pub(crate) lag: (Duration, Timestamp),
    pub(crate) crossed_until: Timestamp,
    pub(crate) lose_replies: u32,
    reports: VecDeque<(Timestamp, EngineReport)>,
    wakes_at: Timestamp,
}

impl VirtualEngine {
    /// Whether the process runs, frozen or not.
    pub(crate) fn is_up(&self) -> bool {
        self.model.is_some()
    }

    /// By how much its answers come late now.
    pub(crate) fn answer_delay(&self, now: Timestamp) -> Duration {
        let (by, until) = self.late;
        if until > now { by } else { Duration::ZERO }
    }
}

impl World {
    pub(crate) fn start_engines(&mut self) {
        for number in 1..=self.trace.deployment.engines {
            let zone = zone_index(&self.trace.deployment, number);
            let engine = VirtualEngine {
                zone,
                zone_name: Zone::new(self.trace.deployment.zones[zone].clone()),
                life: 0,
                incarnation: Incarnation(0),
                model: None,
                is_frozen: false,
                backlog: Vec::new(),
                records: BTreeMap::new(),
                readers: BTreeMap::new(),
                leaving_since: None,
                late: Default::default(),
                lag: Default::default(),
                crossed_until: Timestamp::ZERO,
                lose_replies: 0,
                reports: VecDeque::new(),
                wakes_at: Timestamp::ZERO,
            };
            self.engines.insert(number, engine);
            self.start_engine(number);
        }
    }

    /// Starts an engine with nothing in memory.
    pub(crate) fn start_engine(&mut self, number: u32) {
        let parameters = engine_parameters(&self.trace.deployment);
        let seed = self.random.random();
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&number).filter(|engine| !engine.is_up()) else {
            return;
        };
        engine.life += 1;
        engine.incarnation = Incarnation(now.0 / 1_000);
        let name = engine_name(number);
        let fresh = EngineModel::new(name, engine.incarnation, parameters, seed);
        engine.model = Some(fresh.with_model(model()));
        engine.is_frozen = false;
        engine.backlog.clear();
        engine.records.clear();
        engine.readers.clear();
        engine.reports.clear();
        engine.wakes_at = Timestamp::ZERO;
    }

    pub(crate) fn deliver_to_engine(&mut self, number: u32, life: u32, delivery: Delivery) {
        let Some(engine) = self.engines.get_mut(&number) else { return };
        if engine.life != life || !engine.is_up() {
            if let Delivery::EngineCall { path, .. } = delivery {
                let error = RpcError::Unknown;
                self.engine_replies(number, path, Err(error));
            }
            return;
        }
        if engine.is_frozen {
            engine.backlog.push(delivery);
            return;
        }
        match delivery {
            Delivery::EngineWakes => self.advance_engine(number),
            Delivery::EngineCall { request, path } => self.engine_call(number, *request, path),
            Delivery::StreamClosed { stream } => {
                engine.readers.remove(&stream);
            }
            other => unreachable!("not for an engine: {other:?}"),
        }
    }

    /// Kills an engine; what it ran is lost, and its connections break.
    pub(crate) fn kill_engine(&mut self, number: u32) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&number).filter(|engine| engine.is_up()) else {
            return;
        };
        engine.model = None;
        engine.is_frozen = false;
        engine.backlog.clear();
        let zone = engine.zone;
        let readers = std::mem::take(&mut engine.readers);
        let running: Vec<(AttemptId, Record)> = std::mem::take(&mut engine.records)
            .into_iter()
            .filter(|(_, record)| matches!(record.progress, Progress::Running { .. }))
            .collect();
        for (attempt, record) in running {
            let usage = record.usage();
            let ended = Observation::Ended { engine: number, attempt, usage, text: None };
            self.seen.note(now, ended);
        }
        for (stream, reader) in readers {
            self.break_stream(zone, stream, reader.path);
        }
        self.break_open_calls(number, zone);
    }

    /// Requests without a reply fail at their senders as soon as these hear of the death.
    fn break_open_calls(&mut self, number: u32, zone: usize) {
        let mut broken = Vec::new();
        for (id, daemon) in self.daemons.iter().filter(|(_, daemon)| daemon.is_up()) {
            let open = daemon.open_rpcs.iter().filter(|(_, open)| open.engine == number);
            broken.extend(open.map(|(rpc, _)| (*id, daemon.life, daemon.zone, *rpc)));
        }
        for (id, life, daemon_zone, rpc) in broken {
            let (from, to) = (Some(zone), Some(daemon_zone));
            if self.network.is_cut(from, to, self.now) {
                continue;
            }
            let latency = self.network.latency(from, to, self.now, &mut self.random);
            let error = RpcError::Unknown;
            let delivery = Delivery::Rpc { rpc, result: Box::new(Err(error)) };
            self.agenda.push(self.now + latency, Target::Daemon(id, life), delivery);
        }
    }

    /// A stopped engine goes on; time went on for it all the while.
    pub(crate) fn thaw_engine(&mut self, number: u32) {
        let Some(engine) = self.engines.get_mut(&number).filter(|engine| engine.is_frozen) else {
            return;
        };
        engine.is_frozen = false;
        let life = engine.life;
        let backlog = std::mem::take(&mut engine.backlog);
        self.advance_engine(number);
        for delivery in backlog {
            self.deliver_to_engine(number, life, delivery);
        }
    }

    /// Runs an engine's model up to now and asks to be woken when it next has something to do.
    pub(crate) fn advance_engine(&mut self, number: u32) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&number) else { return };
        let Some(model) = engine.model.as_mut() else { return };
        let events = model.advance(now);
        for event in events {
            self.engine_event(number, event);
        }
        let Some(engine) = self.engines.get_mut(&number) else { return };
        let Some(next) = engine.model.as_ref().and_then(EngineModel::next_wakeup) else { return };
        let next = next.max(now + Duration(1));
        if engine.wakes_at <= now || next < engine.wakes_at {
            engine.wakes_at = next;
            let target = Target::Engine(number, engine.life);
            self.agenda.push(next, target, Delivery::EngineWakes);
        }
    }

    /// The load report that readers see now.
    pub(crate) fn load(&mut self, number: u32) -> EngineReport {
        let now = self.now;
        let engine = self.engines.get_mut(&number).expect("an engine of this world");
        let load = engine.model.as_ref().expect("it is up").load_report(now);
        let report = EngineReport {
            engine: engine_name(number),
            incarnation: load.incarnation,
            zone: engine.zone_name.clone(),
            at: load.at,
            models: load.models,
            running: load.running,
            queued: load.waiting,
            prefill_backlog: load.prefill_backlog,
            cache_used: load.resident,
            cache_pinned: load.pinned,
            cache_capacity: load.capacity,
            leaving: engine.leaving_since.is_some(),
        };
        engine.reports.push_back((now, report.clone()));
        if engine.reports.len() > REPORTS_KEPT {
            engine.reports.pop_front();
        }
        let (by, until) = engine.lag;
        if until <= now {
            return report;
        }
        let old_enough = engine.reports.iter().rev().find(|(at, _)| now.since(*at) >= by);
        old_enough.or(engine.reports.front()).map_or(report, |(_, found)| found.clone())
    }

    /// Notes what engines hold now.
    pub(crate) fn sample_engines(&mut self) {
        let now = self.now;
        self.seen.held_now.clear();
        for (number, engine) in &self.engines {
            let Some(model) = &engine.model else { continue };
            for held in model.inventory(now).programs {
                if held.tokens > Tokens::ZERO {
                    self.seen.held_now.push((held.program, *number));
                    self.seen.last_held.insert(held.program, now);
                }
            }
        }
    }
}
