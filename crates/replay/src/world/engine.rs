//! An engine's life: the engine model, what it remembers of attempts, and its faults.

use std::collections::{BTreeMap, VecDeque};

use dahlia_engine_model::{
    AfterHold, Cancel, EngineCommand, EngineModel, EngineRefusal, EngineReply, Fence, Hold,
    Priority, Release, Submit,
};
use dahlia_node::{EngineReport, StartAttempt};
use dahlia_platform::engine::{AttemptState, Stop};
use dahlia_standins::engine::{AnswerText, answer_length, count_message};
use dahlia_types::{
    AttemptId, Bytes, Duration, Incarnation, Message, Role, Term, Timestamp, Tokens, Zone,
};
use rand::Rng;

use super::World;
use super::agenda::{Delivery, Target};
use super::calls::{EngineAnswer, EngineRequest, ReplyPath, RpcError, RpcResult};
use super::observe::Observation;
use super::settings::{engine_name, engine_parameters, model, zone_index};
use super::streams::{Progress, Reader, Record, segment, wanted};
use crate::switches::Switch;

/// Reports kept, so that late ones can be given.
const REPORTS_KEPT: usize = 400;

/// One engine over all its lives.
pub(crate) struct VirtualEngine {
    pub(crate) zone: usize,
    zone_name: Zone,
    pub(crate) life: u32,
    incarnation: Incarnation,
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

    fn engine_call(&mut self, number: u32, request: EngineRequest, path: ReplyPath) {
        self.advance_engine(number);
        let is_load = matches!(request, EngineRequest::Load);
        let result = self.carry_out(number, request, path);
        self.advance_engine(number);
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&number) else { return };
        if !is_load && engine.lose_replies > 0 {
            engine.lose_replies -= 1;
            if let Some(reader) = engine.readers.remove(&path.rpc) {
                let zone = engine.zone;
                self.break_stream(zone, path.rpc, reader.path);
            }
            let error = RpcError::Unknown;
            self.engine_replies(number, path, Err(error));
            return;
        }
        let _ = now;
        self.engine_replies(number, path, result);
        self.tell_reader(number, path.rpc);
    }

    fn carry_out(&mut self, number: u32, request: EngineRequest, path: ReplyPath) -> RpcResult {
        match request {
            EngineRequest::Generate(start) => self.generate(number, *start, path),
            EngineRequest::Resume { attempt, offset } => {
                self.resume_stream(number, attempt, offset, path)
            }
            EngineRequest::Cancel { attempt, epoch, only_waiting } => {
                self.cancel(number, attempt, epoch, only_waiting)
            }
            EngineRequest::Fence { program, epoch } => {
                let epoch = self.epoch(epoch);
                self.command(number, EngineCommand::Fence(Fence { program, epoch }))?;
                let incarnation = self.engines[&number].incarnation;
                Ok(EngineAnswer::Fenced { incarnation })
            }
            EngineRequest::Hold { program, epoch, length } => {
                let (epoch, until) = (self.epoch(epoch), self.now + length);
                let hold = Hold { program, epoch, until, after: AfterHold::Free };
                self.command(number, EngineCommand::Hold(hold))?;
                Ok(EngineAnswer::Done)
            }
            EngineRequest::Release { program, epoch, ended } => {
                self.release(number, program, epoch, ended)
            }
            EngineRequest::Load => Ok(EngineAnswer::Load(Box::new(self.load(number)))),
        }
    }

    /// The epoch that the engine sees; the same for all when it does not check.
    fn epoch(&self, epoch: Term) -> Term {
        if self.switches.is_on(Switch::EpochCheck) { epoch } else { Term(1) }
    }

    fn command(&mut self, number: u32, command: EngineCommand) -> Result<EngineReply, RpcError> {
        let now = self.now;
        let engine = self.engines.get_mut(&number);
        let model = engine.and_then(|engine| engine.model.as_mut());
        let Some(model) = model else {
            return Err(RpcError::Unknown);
        };
        match model.handle(command, now) {
            EngineReply::Refused(EngineRefusal::StaleEpoch { .. }) => Err(RpcError::StaleEpoch),
            EngineReply::Refused(refusal) => Err(RpcError::NotRun(refusal.to_string())),
            reply => Ok(reply),
        }
    }

    fn generate(&mut self, number: u32, start: StartAttempt, path: ReplyPath) -> RpcResult {
        let now = self.now;
        let attempt = start.attempt.id;
        let (life, known, leaving) = {
            let engine = &self.engines[&number];
            let known = engine.records.get(&attempt).map(|record| record.progress);
            (engine.life, known, engine.leaving_since)
        };
        // A request that a cut link held up was sent before its engine was known to leave.
        let leaving_for = leaving.map(|since| path.sent.since(since));
        self.seen.note(now, Observation::Received { engine: number, attempt, leaving_for });
        match known {
            Some(Progress::NeverStarted) => {
                return Err(RpcError::NotRun("it was cancelled before it arrived".to_owned()));
            }
            Some(_) => return Err(RpcError::Known),
            None => {}
        }
        let record = self.new_record(&start, life);
        let submit = self.submit_command(&start, &record);
        self.command(number, EngineCommand::Submit(submit))?;
        self.seen.note(
            now,
            Observation::Accepted {
                engine: number,
                life,
                attempt,
                tenant: start.tenant.as_str().to_owned(),
                messages: start.messages,
            },
        );
        let Some(engine) = self.engines.get_mut(&number) else {
            return Err(RpcError::Unknown);
        };
        engine.records.insert(attempt, record);
        engine.readers.insert(path.rpc, Reader::new(attempt, path, 0));
        Ok(EngineAnswer::Opened)
    }

    fn new_record(&self, start: &StartAttempt, life: u32) -> Record {
        let asked = wanted(&start.messages);
        let endless = asked.hang || asked.tokens > start.max_generated;
        let generate = if endless { start.max_generated } else { asked.tokens };
        // A sampled answer differs from attempt to attempt: text of two must not be joined.
        let mut salted = start.messages.clone();
        let salt = format!("attempt {} in life {life}", start.attempt.id);
        salted.push(Message { role: Role::System, content: salt });
        Record {
            answer: AnswerText::new(start.attempt.id.call, &salted),
            prompt: start.messages.iter().map(|message| count_message(message).0).sum(),
            generate,
            stop: if endless { Stop::Length } else { Stop::End },
            stalls: asked.hang,
            progress: Progress::Queued,
        }
    }

    fn submit_command(&self, start: &StartAttempt, record: &Record) -> Submit {
        let text = record.answer.piece(0, answer_length(record.generate));
        let checked = self.switches.is_on(Switch::EngineIncarnation);
        Submit {
            attempt: start.attempt.id,
            epoch: self.epoch(start.attempt.epoch),
            incarnation: checked.then_some(start.attempt.engine_incarnation),
            tenant: start.tenant.clone(),
            model: start.model.clone(),
            prompt: start.messages.iter().map(segment).collect(),
            prompt_bound: start.prompt_bound,
            generate: record.generate,
            answer_hash: segment(&Message { role: Role::Assistant, content: text }).hash,
            priority: Priority(start.priority),
        }
    }

    fn resume_stream(
        &mut self,
        number: u32,
        attempt: AttemptId,
        offset: u64,
        path: ReplyPath,
    ) -> RpcResult {
        let Some(engine) = self.engines.get_mut(&number) else { return Err(RpcError::Unseen) };
        let Some(record) = engine.records.get(&attempt) else { return Err(RpcError::Unseen) };
        if offset > record.length() {
            return Err(RpcError::NotRun("the answer is not that long".to_owned()));
        }
        engine.readers.insert(path.rpc, Reader::new(attempt, path, offset));
        Ok(EngineAnswer::Opened)
    }

    fn cancel(
        &mut self,
        number: u32,
        attempt: AttemptId,
        epoch: Term,
        only_waiting: bool,
    ) -> RpcResult {
        let epoch = self.epoch(epoch);
        let fence = Fence { program: attempt.call.program, epoch };
        self.command(number, EngineCommand::Fence(fence))?;
        let ended = self.engines[&number].records.get(&attempt).and_then(Record::ended_state);
        if let Some(state) = ended {
            return Ok(EngineAnswer::State(state));
        }
        let cancel = Cancel { attempt, epoch, only_waiting };
        self.command(number, EngineCommand::Cancel(cancel))?;
        self.settle(number, attempt);
        let state = self.engines[&number].records.get(&attempt).map(Record::state);
        Ok(EngineAnswer::State(state.unwrap_or(AttemptState::Unseen)))
    }

    fn release(
        &mut self,
        number: u32,
        program: dahlia_types::ProgramId,
        epoch: Term,
        ended: bool,
    ) -> RpcResult {
        let epoch = self.epoch(epoch);
        let live: Vec<AttemptId> = self.engines[&number]
            .records
            .iter()
            .filter(|(id, record)| id.call.program == program && record.ended_state().is_none())
            .map(|(id, _)| *id)
            .collect();
        if !ended && !live.is_empty() {
            self.command(number, EngineCommand::Fence(Fence { program, epoch }))?;
            return Err(RpcError::NotRun("attempts are under way".to_owned()));
        }
        let release = Release { program, epoch, closing: ended };
        let reply = self.command(number, EngineCommand::Release(release))?;
        for attempt in live {
            self.settle(number, attempt);
        }
        let freed = match reply {
            EngineReply::Released { freed } => Bytes(freed.0),
            _ => Bytes::ZERO,
        };
        let incarnation = self.engines[&number].incarnation;
        Ok(EngineAnswer::Released { incarnation, freed })
    }

    /// The load report that readers see now.
    fn load(&mut self, number: u32) -> EngineReport {
        let now = self.now;
        let engine = self.engines.get_mut(&number).expect("an engine of this world");
        let load = engine.model.as_ref().expect("it is up").load(now);
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
