//! A caller: sends turns, and goes on at another gateway when its own is lost.

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_api::chat::ChatChunk;
use dahlia_api::headers;
use futures::StreamExt;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::RehearsalError;

/// Pause before the next gateway is tried.
const FAILOVER_PAUSE: Duration = Duration::from_millis(100);
/// A turn that has no answer after this time is given up.
const TURN_LIMIT: Duration = Duration::from_secs(40);

/// One answer as the caller saw it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// The text, put together from all pieces.
    pub text: String,
    /// From the request to the first piece.
    pub first_text_latency: Duration,
    /// From the request to the end.
    pub total_latency: Duration,
    /// Gateways that the caller had to leave on the way.
    pub gateways_lost: u32,
    /// Tokens of prompt and answer, by the usage in the last event.
    pub tokens: u64,
}

/// What a turn asks.
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
    /// Most tokens to generate.
    pub max_tokens: u64,
}

/// A caller of one tenant.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    gateways: Vec<SocketAddr>,
    credential: String,
}

/// A turn under way.
struct Progress {
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
    /// With the last event.
    Whole,
    /// The connection broke.
    Broken,
    /// With an error event.
    Failed(String),
}

impl Caller {
    /// A caller that knows these gateways and starts at the one of position `first`.
    pub fn new(mut gateways: Vec<SocketAddr>, first: usize, credential: String) -> Self {
        let count = gateways.len().max(1);
        gateways.rotate_left(first % count);
        Self { client: Client::new(), gateways, credential }
    }

    /// Sends a turn and reads its whole answer, across gateways.
    ///
    /// # Errors
    /// [`RehearsalError::Caller`] when the answer is an error or does not come.
    pub async fn send_turn(&self, turn: &Turn) -> Result<Answer, RehearsalError> {
        let mut progress = Progress {
            gateway: 0,
            lost: 0,
            text: String::new(),
            last_event: None,
            started: Instant::now(),
            first_text_latency: None,
            tokens: 0,
        };
        loop {
            if progress.started.elapsed() > TURN_LIMIT {
                return Err(failed(turn, "no answer in time"));
            }
            match self.try_once(turn, &mut progress).await {
                Some(StreamEnd::Whole) => return Ok(progress.finish()),
                Some(StreamEnd::Failed(message)) => return Err(failed(turn, &message)),
                Some(StreamEnd::Broken) | None => {
                    progress.lost += 1;
                    progress.gateway = (progress.gateway + 1) % self.gateways.len();
                    sleep(FAILOVER_PAUSE).await;
                }
            }
        }
    }

    /// One request at the present gateway; `None` when it cannot be reached.
    async fn try_once(&self, turn: &Turn, progress: &mut Progress) -> Option<StreamEnd> {
        let gateway = self.gateways[progress.gateway];
        let request = match &progress.last_event {
            Some(event) => self.read_on(gateway, turn, event),
            None => self.send(gateway, turn),
        };
        let response = request.bearer_auth(&self.credential).send().await.ok()?;
        if !response.status().is_success() {
            return Some(refusal(response).await);
        }
        Some(read_stream(response, progress).await)
    }

    fn send(&self, gateway: SocketAddr, turn: &Turn) -> RequestBuilder {
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

    fn read_on(&self, gateway: SocketAddr, turn: &Turn, event: &str) -> RequestBuilder {
        let Turn { program, chain, number, .. } = turn;
        let path = format!("v1/programs/{program}/chains/{chain}/calls/{number}/answer");
        self.client.get(format!("http://{gateway}/{path}")).header("last-event-id", event)
    }
}

impl Progress {
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

    /// Takes one event of a stream. Returns how the stream ended, if this was its end.
    fn take(&mut self, event: &str) -> Option<StreamEnd> {
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
                    return Some(StreamEnd::Whole);
                }
                self.take_chunk(data);
            }
        }
        None
    }

    fn take_chunk(&mut self, data: &str) {
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

async fn read_stream(response: Response, progress: &mut Progress) -> StreamEnd {
    let mut body = response.bytes_stream();
    let mut buffered = String::new();
    while let Some(Ok(bytes)) = body.next().await {
        buffered.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = buffered.find("\n\n") {
            let event: String = buffered.drain(..end + 2).collect();
            if let Some(ended) = progress.take(&event) {
                return ended;
            }
        }
    }
    StreamEnd::Broken
}

/// An error answer: one that says to come back is treated like a lost gateway.
async fn refusal(response: Response) -> StreamEnd {
    let again = response
        .headers()
        .get(headers::SHOULD_RETRY)
        .is_some_and(|value| value.as_bytes() == b"true");
    let text = response.text().await.unwrap_or_default();
    if again { StreamEnd::Broken } else { StreamEnd::Failed(text) }
}

fn failed(turn: &Turn, message: &str) -> RehearsalError {
    let step = format!("call {}/{} of {}", turn.chain, turn.number, turn.program);
    RehearsalError::Caller { step, message: message.to_owned() }
}
