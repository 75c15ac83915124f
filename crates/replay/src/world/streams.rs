//! What an engine remembers and tells of attempts.

use dahlia_adapters::engine::{AttemptState, StopReason};
use dahlia_engine_model::{AttemptStatus, EngineEvent, Segment};
use dahlia_standins::engine::{AnswerText, answer_length, count_message};
use dahlia_types::{AttemptId, Message, Role, Tokens, Usage};

use super::World;
use super::agenda::{Delivery, Target};
use super::calls::ReplyPath;
use super::network::Channel;
use super::observe::Observation;

/// Tokens that an attempt gives before it goes silent, when its prompt asks for that.
const TOKENS_BEFORE_HANG: u64 = 8;
/// Tokens generated when a prompt does not ask for a number.
const DEFAULT_ANSWER: Tokens = Tokens(16);

/// A line of a stream. Text names the attempt that it belongs to.
#[derive(Debug, Clone)]
pub(crate) enum StreamLine {
    Alive,
    Started,
    NeverStarted,
    Text { attempt: AttemptId, offset: u64, text: String },
    Finished { usage: Usage, stop: StopReason },
    Broken,
}

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    Queued,
    Running { cached: Tokens, generated: Tokens },
    Ended { usage: Usage, stop: StopReason },
    NeverStarted,
}

/// One attempt as its engine remembers it.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) answer: AnswerText,
    /// Tokens of the prompt.
    pub(crate) prompt: u64,
    /// Tokens that it will generate.
    pub(crate) generate: Tokens,
    /// Why it will end if nobody cuts it.
    pub(crate) stop: StopReason,
    /// It goes silent and never ends by itself.
    pub(crate) stalls: bool,
    pub(crate) progress: Progress,
}

impl Record {
    /// A record of an attempt that was cancelled before it arrived.
    fn tombstone(attempt: AttemptId) -> Self {
        Self {
            answer: AnswerText::new(attempt.call, &[]),
            prompt: 0,
            generate: Tokens::ZERO,
            stop: StopReason::Cancelled,
            stalls: false,
            progress: Progress::NeverStarted,
        }
    }

    /// Bytes of the text so far.
    pub(crate) fn length(&self) -> u64 {
        match self.progress {
            Progress::Running { generated, .. } => answer_length(generated),
            Progress::Ended { usage, .. } => answer_length(usage.generated),
            Progress::Queued | Progress::NeverStarted => 0,
        }
    }

    /// What it has used so far.
    pub(crate) fn usage(&self) -> Usage {
        match self.progress {
            Progress::Running { cached, generated } => {
                Usage { prompt: Tokens(self.prompt), cached, generated }
            }
            Progress::Ended { usage, .. } => usage,
            Progress::Queued | Progress::NeverStarted => Usage::default(),
        }
    }

    /// Where it stands.
    pub(crate) fn state(&self) -> AttemptState {
        match self.progress {
            Progress::Queued => AttemptState::Queued,
            Progress::Running { generated, .. } => AttemptState::Running { generated },
            Progress::Ended { usage, stop } => AttemptState::Finished { usage, stop },
            Progress::NeverStarted => AttemptState::NeverStarted,
        }
    }

    /// Where it stands, if that is final.
    pub(crate) fn ended_state(&self) -> Option<AttemptState> {
        let ended = matches!(self.progress, Progress::Ended { .. } | Progress::NeverStarted);
        ended.then(|| self.state())
    }
}

/// A daemon that reads an attempt's stream.
#[derive(Debug)]
pub(crate) struct Reader {
    attempt: AttemptId,
    pub(crate) path: ReplyPath,
    offset: u64,
    started: bool,
}

impl Reader {
    pub(crate) fn new(attempt: AttemptId, path: ReplyPath, offset: u64) -> Self {
        Self { attempt, path, offset, started: false }
    }
}

/// What a prompt asks of the engine, by directives in its last user message.
pub(crate) struct Wanted {
    pub(crate) tokens: Tokens,
    pub(crate) hang: bool,
}

/// Reads `[[tokens=N]]` and `[[hang]]`.
pub(crate) fn wanted(messages: &[Message]) -> Wanted {
    let last = messages.iter().rev().find(|message| message.role == Role::User);
    let text = last.map_or("", |message| message.content.as_str());
    let number = text.split_once("[[tokens=").and_then(|(_, rest)| rest.split_once("]]"));
    let tokens = number.and_then(|(number, _)| number.parse().ok()).map(Tokens);
    Wanted { tokens: tokens.unwrap_or(DEFAULT_ANSWER), hang: text.contains("[[hang]]") }
}

/// Names a message in the prefix cache.
pub(crate) fn segment(message: &Message) -> Segment {
    use std::hash::{DefaultHasher, Hash, Hasher};
    // Compared only inside one run.
    let mut hasher = DefaultHasher::new();
    message.role.hash(&mut hasher);
    message.content.hash(&mut hasher);
    Segment { hash: hasher.finish(), tokens: count_message(message) }
}

impl World {
    /// Takes over what an engine's model tells.
    pub(crate) fn engine_event(&mut self, number: u32, event: EngineEvent) {
        match event {
            EngineEvent::Started { attempt, cached, at } => {
                let Some(engine) = self.engines.get_mut(&number) else { return };
                let life = engine.life;
                if let Some(record) = engine.records.get_mut(&attempt) {
                    record.progress = Progress::Running { cached, generated: Tokens::ZERO };
                }
                self.seen.note(at, Observation::Started { engine: number, life, attempt });
                self.tell_readers(number, attempt);
            }
            EngineEvent::Generated { attempt, offset, count, .. } => {
                self.generated(number, attempt, offset.saturating_add(count));
            }
            EngineEvent::Finished { attempt, usage, .. } => {
                let engine = self.engines.get(&number);
                let record = engine.and_then(|engine| engine.records.get(&attempt));
                if let Some(stop) = record.filter(|record| !record.stalls).map(|it| it.stop) {
                    self.end_record(number, attempt, usage, stop);
                }
            }
            EngineEvent::Evicted { attempt, .. } => self.settle(number, attempt),
            EngineEvent::Preempted { .. }
            | EngineEvent::Cache(_)
            | EngineEvent::Exported { .. }
            | EngineEvent::Imported { .. }
            | EngineEvent::ModelLoaded { .. }
            | EngineEvent::HoldLapsed { .. } => {}
        }
    }

    fn generated(&mut self, number: u32, attempt: AttemptId, generated: Tokens) {
        let Some(engine) = self.engines.get_mut(&number) else { return };
        let Some(record) = engine.records.get_mut(&attempt) else { return };
        let Progress::Running { cached, generated: before } = record.progress else { return };
        let limit = if record.stalls { Tokens(TOKENS_BEFORE_HANG) } else { generated };
        let generated = generated.min(limit).max(before);
        record.progress = Progress::Running { cached, generated };
        self.tell_readers(number, attempt);
    }

    fn end_record(&mut self, number: u32, attempt: AttemptId, mut usage: Usage, stop: StopReason) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&number) else { return };
        let Some(record) = engine.records.get_mut(&attempt) else { return };
        if record.ended_state().is_some() {
            return;
        }
        if record.stalls {
            usage.generated = usage.generated.min(Tokens(TOKENS_BEFORE_HANG));
        }
        record.progress = Progress::Ended { usage, stop };
        let whole = matches!(stop, StopReason::End | StopReason::Length);
        let text = whole.then(|| record.answer.piece(0, record.length()));
        self.seen.note(now, Observation::Ended { engine: number, attempt, usage, text });
        self.tell_readers(number, attempt);
    }

    /// Takes over how the model ended an attempt by request.
    pub(crate) fn settle(&mut self, number: u32, attempt: AttemptId) {
        let Some(engine) = self.engines.get_mut(&number) else { return };
        let Some(model) = &engine.model else { return };
        match model.status(attempt) {
            AttemptStatus::NeverStarted => {
                let record =
                    engine.records.entry(attempt).or_insert_with(|| Record::tombstone(attempt));
                record.progress = Progress::NeverStarted;
                self.tell_readers(number, attempt);
            }
            AttemptStatus::Cut(usage) | AttemptStatus::Finished(usage) => {
                self.end_record(number, attempt, usage, StopReason::Cancelled);
            }
            AttemptStatus::Unknown | AttemptStatus::Waiting | AttemptStatus::Running { .. } => {}
        }
    }

    fn tell_readers(&mut self, number: u32, attempt: AttemptId) {
        let Some(engine) = self.engines.get(&number) else { return };
        let readers = engine.readers.iter().filter(|(_, reader)| reader.attempt == attempt);
        let streams: Vec<u64> = readers.map(|(stream, _)| *stream).collect();
        for stream in streams {
            self.tell_reader(number, stream);
        }
    }

    /// Sends a reader what it has not seen.
    pub(crate) fn tell_reader(&mut self, number: u32, stream: u64) {
        let crossing = self.crossing(number, stream);
        let Some(engine) = self.engines.get_mut(&number) else { return };
        let Some(reader) = engine.readers.get_mut(&stream) else { return };
        let Some(record) = engine.records.get(&reader.attempt) else { return };
        let mut lines = Vec::new();
        let begun = matches!(record.progress, Progress::Running { .. } | Progress::Ended { .. });
        if begun && !reader.started {
            reader.started = true;
            lines.push(StreamLine::Started);
        }
        let length = record.length();
        if length > reader.offset {
            let (from, to) = (reader.offset, length);
            let (attempt, answer) = match &crossing {
                Some((other, answer)) => (*other, answer),
                None => (reader.attempt, &record.answer),
            };
            lines.push(StreamLine::Text { attempt, offset: from, text: answer.piece(from, to) });
            reader.offset = length;
        }
        let last = match record.progress {
            Progress::Ended { usage, stop } => Some(StreamLine::Finished { usage, stop }),
            Progress::NeverStarted => Some(StreamLine::NeverStarted),
            Progress::Queued | Progress::Running { .. } => None,
        };
        let path = reader.path;
        let ends = last.is_some();
        lines.extend(last);
        if lines.is_empty() {
            lines.push(StreamLine::Alive);
        }
        if ends {
            engine.readers.remove(&stream);
        }
        for line in lines {
            self.engine_sends(number, path, Delivery::Line { stream, line });
        }
    }

    /// While streams are crossed: another running attempt whose text goes to this reader.
    fn crossing(&self, number: u32, stream: u64) -> Option<(AttemptId, AnswerText)> {
        let engine = self.engines.get(&number)?;
        if engine.crossed_until <= self.now {
            return None;
        }
        let own = engine.readers.get(&stream)?.attempt;
        let other = engine.records.iter().find(|(id, record)| {
            **id != own && matches!(record.progress, Progress::Running { .. })
        });
        other.map(|(id, record)| (*id, record.answer.clone()))
    }

    /// A stream's connection breaks.
    pub(crate) fn break_stream(&mut self, zone: usize, stream: u64, path: ReplyPath) {
        let Some(daemon) = self.daemons.get(&path.daemon) else { return };
        let (from, to) = (Some(zone), Some(daemon.zone));
        if self.network.is_cut(from, to, self.now) {
            return;
        }
        let channel = Channel::Named(path.rpc, true);
        if let Some(at) = self.network.arrival(channel, from, to, self.now, &mut self.random) {
            let target = Target::Daemon(path.daemon, path.life);
            self.agenda.push(at, target, Delivery::Line { stream, line: StreamLine::Broken });
        }
    }

    /// Notes attempts that run at the end of the run.
    pub(crate) fn note_running(&mut self) {
        let now = self.now;
        let mut running = Vec::new();
        for (number, engine) in &self.engines {
            for (attempt, record) in &engine.records {
                if matches!(record.progress, Progress::Running { .. }) {
                    let usage = record.usage();
                    let (engine, attempt) = (*number, *attempt);
                    running.push(Observation::Ended { engine, attempt, usage, text: None });
                }
            }
        }
        for what in running {
            self.seen.note(now, what);
        }
    }
}
