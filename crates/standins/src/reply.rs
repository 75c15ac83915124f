//! From an HTTP request to a typed one, and from a typed answer to an HTTP reply.

use std::io;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use dahlia_adapters::ErrorBody;
use futures::StreamExt;
use futures::stream::BoxStream;
use salvo::http::{ReqBody, ResBody, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ServerSettings;
use crate::control::ControlRefusal;

const JSON: &str = "application/json";
const JSON_LINES: &str = "application/x-ndjson";
const EVENT_STREAM: &str = "text/event-stream";

/// A service's refusals, as far as every service has them.
pub(crate) trait Refusal: Serialize + Send + Sized {
    /// The refusal of a request whose `field` is not acceptable.
    fn invalid(field: &str, detail: String) -> Self;

    /// The HTTP status that goes with it.
    fn status(&self) -> StatusCode;

    /// The reply that tells it.
    fn reply(self) -> Reply {
        Reply::encoded(self.status(), &ErrorBody { refusal: self })
    }
}

/// What goes back to the client.
pub(crate) enum Reply {
    /// A whole body.
    Body { status: StatusCode, content_type: &'static str, body: Vec<u8> },
    /// Pieces as they come. An error breaks the connection.
    Stream { content_type: &'static str, pieces: BoxStream<'static, io::Result<Vec<u8>>> },
    /// Nothing: the connection breaks.
    Lost,
}

impl Reply {
    /// A JSON answer.
    pub(crate) fn json(answer: &impl Serialize) -> Self {
        Self::encoded(StatusCode::OK, answer)
    }

    /// A typed refusal.
    pub(crate) fn refused<R: Refusal>(refusal: R) -> Self {
        refusal.reply()
    }

    /// The answer or the refusal.
    pub(crate) fn from_result<T: Serialize, R: Refusal>(result: Result<T, R>) -> Self {
        match result {
            Ok(answer) => Self::json(&answer),
            Err(refusal) => Self::refused(refusal),
        }
    }

    /// Values as newline-delimited JSON.
    pub(crate) fn json_lines<T: Serialize + 'static>(
        lines: BoxStream<'static, io::Result<T>>,
    ) -> Self {
        let pieces = lines.map(|line| line.and_then(|value| encode_line(&value)));
        Self::Stream { content_type: JSON_LINES, pieces: pieces.boxed() }
    }

    /// Values as server-sent events (WHATWG HTML, section 9.2).
    pub(crate) fn events(events: BoxStream<'static, io::Result<String>>) -> Self {
        let pieces = events.map(|event| event.map(|data| format!("data: {data}\n\n").into_bytes()));
        Self::Stream { content_type: EVENT_STREAM, pieces: pieces.boxed() }
    }

    /// A JSON body with any status.
    pub(crate) fn encoded(status: StatusCode, value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::Body { status, content_type: JSON, body },
            Err(error) => Self::Body {
                status: StatusCode::INTERNAL_SERVER_ERROR,
                content_type: "text/plain",
                body: error.to_string().into_bytes(),
            },
        }
    }

    fn write_to(self, response: &mut Response) {
        match self {
            Self::Body { status, content_type, body } => {
                response.status_code(status);
                set_content_type(response, content_type);
                response.body(ResBody::Once(body.into()));
            }
            Self::Stream { content_type, pieces } => {
                response.status_code(StatusCode::OK);
                set_content_type(response, content_type);
                response.body(ResBody::stream(pieces));
            }
            Self::Lost => {
                let broken = futures::stream::iter([Err::<Vec<u8>, _>(lost())]);
                response.body(ResBody::stream(broken));
            }
        }
    }
}

/// The error that breaks a connection on purpose.
pub(crate) fn lost() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the reply is lost on purpose")
}

fn encode_line(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut line = serde_json::to_vec(value)?;
    line.push(b'\n');
    Ok(line)
}

fn set_content_type(response: &mut Response, content_type: &'static str) {
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
}

/// Limits on what comes in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InputLimits {
    max_body_bytes: u64,
    body_timeout_ms: u64,
}

impl From<&ServerSettings> for InputLimits {
    fn from(settings: &ServerSettings) -> Self {
        let ServerSettings { max_body_bytes, body_timeout_ms, .. } = *settings;
        Self { max_body_bytes, body_timeout_ms }
    }
}

/// The routes of a service; `R` is its type of refusal.
pub(crate) struct Routes<S, R> {
    service: Arc<S>,
    limits: InputLimits,
    router: Router,
    refusal: PhantomData<fn() -> R>,
}

impl<S, R> Routes<S, R>
where
    S: Send + Sync + 'static,
    R: Refusal + 'static,
{
    /// No routes yet.
    pub(crate) fn new(service: &Arc<S>, limits: InputLimits) -> Self {
        let service = Arc::clone(service);
        Self { service, limits, router: Router::new(), refusal: PhantomData }
    }

    /// Answers `POST path` by `answer`.
    pub(crate) fn post<Q, F, A>(self, path: &str, answer: F) -> Self
    where
        Q: DeserializeOwned + Send + 'static,
        F: Fn(Arc<S>, Q) -> A + Send + Sync + 'static,
        A: Future<Output = Reply> + Send + 'static,
    {
        self.post_refusing::<R, Q, F, A>(path, answer)
    }

    /// The same with another type of refusal for what cannot be read.
    pub(crate) fn post_refusing<E, Q, F, A>(mut self, path: &str, answer: F) -> Self
    where
        E: Refusal + 'static,
        Q: DeserializeOwned + Send + 'static,
        F: Fn(Arc<S>, Q) -> A + Send + Sync + 'static,
        A: Future<Output = Reply> + Send + 'static,
    {
        let service = Arc::clone(&self.service);
        let action =
            Action::<S, Q, E, F> { service, limits: self.limits, answer, types: PhantomData };
        let route = Router::with_path(path.trim_start_matches('/')).post(action);
        self.router = self.router.push(route);
        self
    }

    /// Answers `POST /control/<name>` by `answer`.
    pub(crate) fn control<Q, F, A>(self, name: &str, answer: F) -> Self
    where
        Q: DeserializeOwned + Send + 'static,
        F: Fn(Arc<S>, Q) -> A + Send + Sync + 'static,
        A: Future<Output = Reply> + Send + 'static,
    {
        self.post_refusing::<ControlRefusal, Q, F, A>(&format!("control/{name}"), answer)
    }

    /// The routes as salvo takes them.
    pub(crate) fn into_router(self) -> Router {
        self.router
    }
}

/// Answers requests with a JSON body by a function of a service.
struct Action<S, Q, R, F> {
    service: Arc<S>,
    limits: InputLimits,
    answer: F,
    types: PhantomData<fn(Q) -> R>,
}

#[async_trait]
impl<S, Q, R, F, A> Handler for Action<S, Q, R, F>
where
    S: Send + Sync + 'static,
    Q: DeserializeOwned + Send + 'static,
    R: Refusal + 'static,
    F: Fn(Arc<S>, Q) -> A + Send + Sync + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let reply = match read_json::<Q, R>(request, self.limits).await {
            Ok(query) => (self.answer)(Arc::clone(&self.service), query).await,
            Err(refusal) => Reply::refused(refusal),
        };
        reply.write_to(response);
    }
}

async fn read_json<Q, R>(request: &mut Request, limits: InputLimits) -> Result<Q, R>
where
    Q: DeserializeOwned,
    R: Refusal,
{
    let limit = Duration::from_millis(limits.body_timeout_ms);
    let reading = read_body::<R>(request.take_body(), limits.max_body_bytes);
    let body = tokio::time::timeout(limit, reading).await.unwrap_or_else(|_| {
        let detail = format!("not complete within {} ms", limits.body_timeout_ms);
        Err(R::invalid("body", detail))
    })?;
    serde_json::from_slice(&body).map_err(|error| R::invalid("body", error.to_string()))
}

async fn read_body<R: Refusal>(mut body: ReqBody, max_bytes: u64) -> Result<Vec<u8>, R> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|error| R::invalid("body", error.to_string()))?;
        let Some(piece) = frame.data_ref() else { continue };
        if (bytes.len() + piece.len()) as u64 > max_bytes {
            return Err(R::invalid("body", format!("larger than {max_bytes} bytes")));
        }
        bytes.extend_from_slice(piece);
    }
    Ok(bytes)
}
