//! A caller that sends requests to an engine directly. The difference to calls through a daemon
//! is the latency that the daemon adds.

use std::net::SocketAddr;

use futures::StreamExt;
use reqwest::Client;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::RehearsalError;
use crate::caller::Answer;

/// The data of the last event of an answer (OpenAI API reference, "Chat").
const END_OF_ANSWER: &str = "[DONE]";

/// A caller of one engine. It keeps the conversation and sends all of it with each turn.
pub struct DirectCaller {
    client: Client,
    engine: SocketAddr,
    model: String,
    messages: Vec<Value>,
}

impl DirectCaller {
    /// Creates a caller of one engine.
    pub fn new(engine: SocketAddr, model: &str) -> Self {
        Self { client: Client::new(), engine, model: model.to_owned(), messages: Vec::new() }
    }

    /// Sends a turn and reads its whole answer.
    ///
    /// # Errors
    /// [`RehearsalError::Caller`] when the engine refuses or the stream breaks.
    pub async fn send_turn(
        &mut self,
        text: &str,
        max_tokens: u64,
    ) -> Result<Answer, RehearsalError> {
        self.messages.push(json!({"role": "user", "content": text}));
        let body = json!({
            "model": self.model,
            "stream": true,
            "max_tokens": max_tokens,
            "messages": self.messages,
        });
        let started = Instant::now();
        let url = format!("http://{}/v1/chat/completions", self.engine);
        let sent = self.client.post(url).json(&body).send().await;
        let response = sent.map_err(|error| self.caller_error(&error.to_string()))?;
        if !response.status().is_success() {
            let text = response.text().await.unwrap_or_default();
            return Err(self.caller_error(&text));
        }
        let mut answer = Answer::default();
        let mut first = None;
        let mut stream = response.bytes_stream();
        let mut buffered = String::new();
        let mut is_whole = false;
        while let Some(bytes) = stream.next().await {
            let bytes = bytes.map_err(|error| self.caller_error(&error.to_string()))?;
            buffered.push_str(&String::from_utf8_lossy(&bytes));
            while let Some(end) = buffered.find("\n\n") {
                let event: String = buffered.drain(..end + 2).collect();
                let data = event_data(&event);
                is_whole |= data == END_OF_ANSWER;
                let piece = parse_text(data);
                if !piece.is_empty() {
                    first.get_or_insert_with(|| started.elapsed());
                }
                answer.text.push_str(&piece);
            }
        }
        // The connections of a process that dies are closed in good order, so only the last event shows that the
        // answer is whole.
        if !is_whole {
            return Err(self.caller_error("the answer ended before its last event"));
        }
        answer.total_latency = started.elapsed();
        answer.first_text_latency = first.unwrap_or(answer.total_latency);
        self.messages.push(json!({"role": "assistant", "content": answer.text}));
        Ok(answer)
    }

    fn caller_error(&self, message: &str) -> RehearsalError {
        let step = format!("calling the engine at {} directly", self.engine);
        RehearsalError::Caller { step, message: message.to_owned() }
    }
}

fn event_data(event: &str) -> &str {
    event.lines().find_map(|line| line.strip_prefix("data: ")).unwrap_or_default()
}

fn parse_text(data: &str) -> String {
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
}
