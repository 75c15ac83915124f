//! The supported part of the chat-completions protocol. Unknown request fields are ignored, as on
//! OpenAI's servers.

use dahlia_types::{Message, Role, Usage};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model's name, for information only: the program's specification decides. May be empty.
    #[serde(default)]
    pub model: String,
    /// The messages since the chain's last answer, or the whole conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// The newer name of `max_tokens`; takes precedence when both are given.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
}

/// One message of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `developer`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text, or a list of parts of type `text`.
    #[serde(default)]
    pub content: ChatContent,
}

/// A message's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Plain text.
    Text(String),
    /// Parts; only text parts are accepted.
    Parts(Vec<ContentPart>),
    /// No content.
    Null(Option<()>),
}

impl Default for ChatContent {
    fn default() -> Self {
        Self::Null(None)
    }
}

/// One part of a message's content.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ContentPart {
    /// Type of the part; only `text` is accepted.
    #[serde(rename = "type")]
    pub kind: String,
    /// The text.
    #[serde(default)]
    pub text: String,
}

/// The `usage` object.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ChatUsage {
    /// Tokens of the composed prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Sum of prompt and generated tokens.
    pub total_tokens: u64,
    /// Details about the prompt's tokens.
    pub prompt_tokens_details: PromptDetails,
}

/// Details of the prompt's tokens.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens found in the engine's prefix cache.
    pub cached_tokens: u64,
}

impl From<Usage> for ChatUsage {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt.0,
            completion_tokens: usage.generated.0,
            total_tokens: usage.total().0,
            prompt_tokens_details: PromptDetails { cached_tokens: usage.cached.0 },
        }
    }
}

/// Answer to a call that is not streamed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// The call's identifier.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Creation time in seconds since 1970.
    pub created: u64,
    /// The model that generated the answer.
    pub model: String,
    /// Always exactly one choice.
    pub choices: Vec<ChatChoice>,
    /// Tokens used.
    pub usage: ChatUsage,
}

/// The choice of an answer that is not streamed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The answer.
    pub message: AnswerMessage,
    /// Always `stop`.
    pub finish_reason: String,
}

/// The answer's message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnswerMessage {
    /// Always `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// One event of a streamed answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatChunk {
    /// The call's identifier.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Creation time in seconds since 1970.
    pub created: u64,
    /// The model that generates the answer.
    pub model: String,
    /// One choice; none in the last event, which carries the usage.
    pub choices: Vec<ChunkChoice>,
    /// Tokens used; only in the last event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
}

/// The choice of a streamed event.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The part of the answer that this event adds.
    pub delta: Delta,
    /// `stop` in the event that ends the answer.
    pub finish_reason: Option<String>,
}

/// A part of the answer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Delta {
    /// `assistant`, in the first event.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text that follows what was sent before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Metadata that is repeated in every event of one answer.
#[derive(Debug, Clone)]
pub struct AnswerMetadata {
    /// The call's identifier.
    pub id: String,
    /// The model.
    pub model: String,
    /// Creation time in seconds since 1970.
    pub created: u64,
}

impl AnswerMetadata {
    /// Builds the whole answer.
    pub fn completion(&self, answer: &Message, usage: Usage) -> ChatCompletion {
        let message =
            AnswerMessage { role: "assistant".to_owned(), content: answer.content.clone() };
        ChatCompletion {
            id: self.id.clone(),
            object: "chat.completion".to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChatChoice { index: 0, message, finish_reason: "stop".to_owned() }],
            usage: usage.into(),
        }
    }

    /// Builds an event with a part of the text; the first one of an answer contains the role.
    pub fn text_chunk(&self, text: &str, first: bool) -> ChatChunk {
        let role = first.then(|| "assistant".to_owned());
        self.chunk(Delta { role, content: Some(text.to_owned()) }, None)
    }

    /// Builds the event that ends the answer.
    pub fn final_chunk(&self, usage: Usage) -> ChatChunk {
        let mut chunk = self.chunk(Delta::default(), Some("stop".to_owned()));
        chunk.usage = Some(usage.into());
        chunk
    }

    fn chunk(&self, delta: Delta, finish_reason: Option<String>) -> ChatChunk {
        ChatChunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChunkChoice { index: 0, delta, finish_reason }],
            usage: None,
        }
    }
}

/// Parses a role's name. `developer` is OpenAI's newer name of `system`.
pub fn parse_role(name: &str) -> Option<Role> {
    match name {
        "system" | "developer" => Some(Role::System),
        "user" => Some(Role::User),
        "assistant" => Some(Role::Assistant),
        "tool" | "function" => Some(Role::Tool),
        _ => None,
    }
}
