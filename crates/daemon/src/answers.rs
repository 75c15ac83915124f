//! Buffers for the text of answers while this daemon receives it from engines.
//!
//! The task that reads an engine's stream appends text, and any number of readers follow at their own
//! pace. The state machines see only an attempt's end, so tokens cost them nothing.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use dahlia_types::{AttemptId, CallId};
use tokio::sync::watch;

/// The buffers of all answers in progress. Cheap to clone.
#[derive(Clone, Default)]
pub struct AnswerBuffers {
    answers: Arc<Mutex<HashMap<CallId, Arc<AnswerBuffer>>>>,
}

/// The text of one call's answer. A newer attempt replaces an older one's text.
pub struct AnswerBuffer {
    text: Mutex<AnswerText>,
    changed: watch::Sender<u64>,
}

#[derive(Default)]
struct AnswerText {
    attempt: u32,
    text: String,
}

/// A piece of an answer's text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The attempt's number.
    pub attempt: u32,
    /// Its position in the attempt's text, in bytes.
    pub offset: u64,
    /// The text.
    pub text: String,
}

impl AnswerBuffers {
    /// The call's buffer. It is created if it is missing.
    pub fn answer(&self, call: CallId) -> Arc<AnswerBuffer> {
        self.lock().entry(call).or_insert_with(AnswerBuffer::empty).clone()
    }

    /// Appends to an attempt's text. Text of an attempt that is not the newest is ignored.
    pub fn append(&self, attempt: AttemptId, text: &str) {
        self.answer(attempt.call).append(attempt.attempt, text);
    }

    /// Removes a call's buffer. Readers that still hold it end with the call's outcome.
    pub fn remove(&self, call: CallId) {
        self.lock().remove(&call);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, Arc<AnswerBuffer>>> {
        self.answers.lock().expect("no holder of this lock panics")
    }
}

impl AnswerBuffer {
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

    /// The text that follows `offset` of attempt `attempt`. A reader of an older attempt gets the newest
    /// attempt's text from its start.
    pub fn text_after(&self, attempt: u32, offset: u64) -> Option<Piece> {
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
