//! A caller that sends turns and fails over to another gateway when its own is lost.

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_api::chat::ChatChunk;
use dahlia_api::headers;
use futures::StreamExt;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::RehearsalError;

/// Delay before a retry at the next gateway.
const FAILOVER_DELAY: Duration = Duration::from_millis(100);
/// A turn without an answer fails after this time.
const TURN_TIMEOUT: Duration = Duration::from_secs(40);

/// The answer to one turn, as the caller received it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// The concatenated text of all chunks.
    pub text: String,
    /// Time from the request to the first text.
    pub first_text_latency: Duration,
    /// Time from the request to the end of the answer.
    pub total_latency: Duration,
    /// Number of failovers to another gateway.
    pub gateways_lost: u32,
    /// Tokens of prompt and answer, from the usage in the last event.
    pub tokens: u64,
}

/// A request for one turn.
#[derive(Debug, Clone)]
pub struct Turn {
    /// The program.
    pub program: String,
    /// The chain.
    pub chain: u32,
    /// The call's number in its chain, from 1.
    pub number: u32,
    /// The new message.
    pub text: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
}

/// A caller of one tenant.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    gateways: Vec<SocketAddr>,
    credential: String,
}

/// The state of a turn in progress.
struct TurnProgress {
    gateway: usize,
    lost: u32,
    text: String,
    last_event: Option<String>,
    started: Instant,
    first_text_latency: Option<Duration>,
    tokens: u64,
}

/// How reading a stream ended.
enum StreamEnd {
    /// The last event was read.
    Complete,
    /// The connection was lost, or the gateway asked for a retry.
    Interrupted,
    /// The answer is an error.
    Failed(String),
}

impl Caller {
    /// Creates a caller of these gateways that starts with the one at index `first`.
    pub fn new(mut gateways: Vec<SocketAddr>, first: usize, credential: String) -> Self {
        let count = gateways.len().max(1);
        gateways.rotate_left(first % count);
        Self { client: Client::new(), gateways, credential }
    }

    /// Sends a turn and reads its whole answer, failing over between gateways.
    ///
    /// # Errors
    /// [`RehearsalError::Caller`] when the answer is an error or does not come.
    pub async fn send_turn(&self, turn: &Turn) -> Result<Answer, RehearsalError> {
        let mut progress = TurnProgress {
            gateway: 0,
            lost: 0,
            text: String::new(),
            last_event: None,
            started: Instant::now(),
            first_text_latency: None,
            tokens: 0,
        };
        loop {
            if progress.started.elapsed() > TURN_TIMEOUT {
                return Err(caller_error(turn, "no answer in time"));
            }
            match self.try_gateway(turn, &mut progress).await {
                Some(StreamEnd::Complete) => return Ok(progress.finish()),
                Some(StreamEnd::Failed(message)) => return Err(caller_error(turn, &message)),
                Some(StreamEnd::Interrupted) | None => {
                    progress.lost += 1;
                    progress.gateway = (progress.gateway + 1) % self.gateways.len();
                    sleep(FAILOVER_DELAY).await;
                }
            }
        }
    }

    /// Sends one request to the current gateway; `None` when it cannot be reached.
    async fn try_gateway(&self, turn: &Turn, progress: &mut TurnProgress) -> Option<StreamEnd> {
        let gateway = self.gateways[progress.gateway];
        let request = match &progress.last_event {
            Some(event) => self.build_resume_request(gateway, turn, event),
            None => self.build_turn_request(gateway, turn),
        };
        let response = request.bearer_auth(&self.credential).send().await.ok()?;
        if !response.status().is_success() {
            return Some(classify_refusal(response).await);
        }
        Some(read_stream(response, progress).await)
    }

    fn build_turn_request(&self, gateway: SocketAddr, turn: &Turn) -> RequestBuilder {
        let body = json!({
            "model": "",
            "stream": true,
            "max_tokens": turn.max_tokens,
            "messages": [{"role": "user", "content": turn.text}],
        });
        self.client
            .post(format!("http://{gateway}/v1/chat/completions"))
            .header(headers::PROGRAM, &turn.program)
            .header(headers::CHAIN, turn.chain)
            .header(headers::CALL_NUMBER, turn.number)
            .json(&body)
    }

    fn build_resume_request(
        &self,
        gateway: SocketAddr,
        turn: &Turn,
        event: &str,
    ) -> RequestBuilder {
        let Turn { program, chain, number, .. } = turn;
        let path = format!("v1/programs/{program}/chains/{chain}/calls/{number}/answer");
        self.client.get(format!("http://{gateway}/{path}")).header("last-event-id", event)
    }
}

impl TurnProgress {
    fn finish(self) -> Answer {
        let total_latency = self.started.elapsed();
        Answer {
            text: self.text,
            first_text_latency: self.first_text_latency.unwrap_or(total_latency),
            total_latency,
            gateways_lost: self.lost,
            tokens: self.tokens,
        }
    }

    /// Applies one event of a stream. Returns how the stream ended if this is its last event.
    fn apply_event(&mut self, event: &str) -> Option<StreamEnd> {
        let mut is_error = false;
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.last_event = Some(id.to_owned());
            } else if line == "event: error" {
                is_error = true;
            } else if let Some(data) = line.strip_prefix("data: ") {
                if is_error {
                    return Some(StreamEnd::Failed(data.to_owned()));
                }
                if data == "[DONE]" {
                    return Some(StreamEnd::Complete);
                }
                self.apply_chunk(data);
            }
        }
        None
    }

    fn apply_chunk(&mut self, data: &str) {
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) else {
            return;
        };
        if let Some(usage) = chunk.usage {
            self.tokens = usage.total_tokens;
        }
        for choice in chunk.choices {
            if let Some(text) = choice.delta.content {
                self.first_text_latency.get_or_insert_with(|| self.started.elapsed());
                self.text.push_str(&text);
            }
        }
    }
}

async fn read_stream(response: Response, progress: &mut TurnProgress) -> StreamEnd {
    let mut body = response.bytes_stream();
    let mut buffered = String::new();
    while let Some(Ok(bytes)) = body.next().await {
        buffered.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = buffered.find("\n\n") {
            let event: String = buffered.drain(..end + 2).collect();
            if let Some(ended) = progress.apply_event(&event) {
                return ended;
            }
        }
    }
    StreamEnd::Interrupted
}

/// Classifies an error answer. One that asks for a retry is treated like a lost gateway.
async fn classify_refusal(response: Response) -> StreamEnd {
    let should_retry = response
        .headers()
        .get(headers::SHOULD_RETRY)
        .is_some_and(|value| value.as_bytes() == b"true");
    let text = response.text().await.unwrap_or_default();
    if should_retry { StreamEnd::Interrupted } else { StreamEnd::Failed(text) }
}

fn caller_error(turn: &Turn, message: &str) -> RehearsalError {
    let step = format!("call {}/{} of {}", turn.chain, turn.number, turn.program);
    RehearsalError::Caller { step, message: message.to_owned() }
}
