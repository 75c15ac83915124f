//! Text of answers while they are generated at this daemon.
//!
//! The task that reads an engine's stream appends; any number of readers follow at their own
//! pace. The state machines see only an attempt's end, so tokens cost them nothing.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use dahlia_types::{AttemptId, CallId};
use tokio::sync::watch;

/// All answers in progress. Cheap to clone.
#[derive(Clone, Default)]
pub struct AnswerBoard {
    answers: Arc<Mutex<HashMap<CallId, Arc<Answer>>>>,
}

/// The answer of one call, over its attempts.
pub struct Answer {
    text: Mutex<AnswerText>,
    changed: watch::Sender<u64>,
}

#[derive(Default)]
struct AnswerText {
    attempt: u32,
    text: String,
}

/// A piece of text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The attempt's number.
    pub attempt: u32,
    /// Where it starts, in bytes.
    pub offset: u64,
    /// The text.
    pub text: String,
}

impl AnswerBoard {
    /// The call's answer, made empty if it is new.
    pub fn answer(&self, call: CallId) -> Arc<Answer> {
        self.lock().entry(call).or_insert_with(Answer::empty).clone()
    }

    /// Appends to an attempt's text. Text of an older attempt than the newest is ignored.
    pub fn append(&self, attempt: AttemptId, text: &str) {
        self.answer(attempt.call).append(attempt.attempt, text);
    }

    /// Forgets a call's text; readers that still hold it end by the call's outcome.
    pub fn remove(&self, call: CallId) {
        self.lock().remove(&call);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, Arc<Answer>>> {
        self.answers.lock().expect("no holder of this lock panics")
    }
}

impl Answer {
    fn empty() -> Arc<Self> {
        Arc::new(Self { text: Mutex::default(), changed: watch::Sender::new(0) })
    }

    fn append(&self, attempt: u32, text: &str) {
        let mut current = self.text.lock().expect("no holder of this lock panics");
        if attempt < current.attempt {
            return;
        }
        if attempt > current.attempt {
            *current = AnswerText { attempt, text: String::new() };
        }
        current.text.push_str(text);
        drop(current);
        self.changed.send_modify(|version| *version += 1);
    }

    /// A receiver that changes whenever text is added.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// What a reader at `offset` of attempt `attempt` lacks. A reader of an older attempt gets
    /// the newest attempt's text from its start.
    pub fn after(&self, attempt: u32, offset: u64) -> Option<Piece> {
        let current = self.text.lock().expect("no holder of this lock panics");
        let start = if attempt == current.attempt || attempt == 0 { offset as usize } else { 0 };
        let rest = current.text.get(start..)?;
        if rest.is_empty() {
            return None;
        }
        let text = rest.to_owned();
        Some(Piece { attempt: current.attempt, offset: start as u64, text })
    }
}
