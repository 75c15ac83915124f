//! Follows an attempt and tells its events, with the faults of streams.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use dahlia_adapters::engine::{GenerateEvent, GenerateLine};
use dahlia_types::Tokens;
use futures::StreamExt;
use futures::stream::BoxStream;

use super::core::Subscription;
use super::prompt::answer_length;
use super::records::Progress;
use super::service::Service;
use crate::reply::lost;

/// The events of an attempt from byte `offset` of its answer, each with the attempt's identifier.
pub(super) fn lines(
    service: Arc<Service>,
    subscription: Subscription,
    offset: u64,
) -> BoxStream<'static, io::Result<GenerateLine>> {
    let attempt = subscription.attempt;
    let events = events(Arc::clone(&service), subscription, offset);
    let lines = events
        .map(move |event| event.map(|event| crossed(&service, GenerateLine { attempt, event })));
    lines.boxed()
}

/// The events of an attempt from byte `offset` of its answer.
pub(super) fn events(
    service: Arc<Service>,
    subscription: Subscription,
    offset: u64,
) -> BoxStream<'static, io::Result<GenerateEvent>> {
    let alive_interval = Duration::from_millis(service.settings.alive_interval_ms);
    let mut progress = subscription.progress.clone();
    let mut follower = Follower { subscription, offset, from: offset, started: false };
    let stream = async_stream::stream! {
        let incarnation = follower.subscription.incarnation;
        yield Ok(GenerateEvent::Accepted { incarnation });
        loop {
            service.thawed().await;
            let present = *progress.borrow_and_update();
            for event in follower.news(present) {
                if let Some(cut) = service.faults().cut_streams
                    && follower.sent_before(&event) >= cut.after_bytes
                {
                    if !cut.clean {
                        yield Err(lost());
                    }
                    return;
                }
                yield Ok(event);
            }
            if present.is_final() {
                return;
            }
            match tokio::time::timeout(alive_interval, progress.changed()).await {
                Ok(Ok(())) => {}
                // The engine's life ended.
                Ok(Err(_)) => {
                    yield Err(lost());
                    return;
                }
                Err(_) => yield Ok(GenerateEvent::Alive),
            }
        }
    };
    stream.boxed()
}

/// How far a reader of an attempt is.
struct Follower {
    subscription: Subscription,
    offset: u64,
    from: u64,
    started: bool,
}

impl Follower {
    /// What a reader has not seen of the present progress.
    fn news(&mut self, progress: Progress) -> Vec<GenerateEvent> {
        let mut events = Vec::new();
        match progress {
            Progress::Queued => {}
            Progress::Running { cached, generated } => {
                self.tell_start(cached, &mut events);
                self.tell_text(generated, &mut events);
            }
            Progress::Ended { usage, stop } => {
                self.tell_start(usage.cached, &mut events);
                self.tell_text(usage.generated, &mut events);
                events.push(GenerateEvent::Finished { usage, stop });
            }
            Progress::NeverStarted => events.push(GenerateEvent::NeverStarted),
        }
        events
    }

    fn tell_start(&mut self, cached: Tokens, events: &mut Vec<GenerateEvent>) {
        if !self.started {
            self.started = true;
            events.push(GenerateEvent::Started { cached });
        }
    }

    fn tell_text(&mut self, generated: Tokens, events: &mut Vec<GenerateEvent>) {
        let length = answer_length(generated);
        if length > self.offset {
            let text = self.subscription.answer.piece(self.offset, length);
            events.push(GenerateEvent::Token { offset: self.offset, text });
            self.offset = length;
        }
    }

    /// Bytes of text that this stream has sent before `event`.
    fn sent_before(&self, event: &GenerateEvent) -> u64 {
        match event {
            GenerateEvent::Token { offset, .. } => offset - self.from,
            GenerateEvent::Finished { .. } | GenerateEvent::NeverStarted => self.offset - self.from,
            GenerateEvent::Accepted { .. }
            | GenerateEvent::Started { .. }
            | GenerateEvent::Alive => 0,
        }
    }
}

/// Replaces text by that of another live attempt while that fault is in force.
fn crossed(service: &Service, line: GenerateLine) -> GenerateLine {
    let GenerateEvent::Token { offset, text } = &line.event else { return line };
    if !service.faults().cross_streams {
        return line;
    }
    let end = offset + text.len() as u64;
    let other = service.with(|core, _| {
        let other = core.records.another_running(line.attempt);
        other.map(|(attempt, record)| (attempt, record.answer.piece(*offset, end)))
    });
    match other {
        Some((attempt, text)) => {
            let event = GenerateEvent::Token { offset: *offset, text };
            GenerateLine { attempt, event }
        }
        None => line,
    }
}
