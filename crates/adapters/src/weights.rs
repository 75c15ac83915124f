//! The rate-limited store of model weights.

use dahlia_types::{Bytes, Duration, EngineId, ModelId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::error::TruncatedSnafu;
use crate::http::HttpPeer;
use crate::peer_error::{PeerError, TypedRefusal};
use crate::{Certainty, ClientSettings};

/// Paths of the store's requests. All are `POST` with a JSON body.
pub mod paths {
    /// [`super::WeightStoreClient::describe`].
    pub const DESCRIBE: &str = "/v1/weights/describe";
    /// [`super::WeightStoreClient::fetch`].
    pub const FETCH: &str = "/v1/weights/fetch";
}

/// Asks for the description of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DescribeRequest {
    /// The model.
    pub model: ModelId,
}

/// Description of a model's weights in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightDescription {
    /// The model.
    pub model: ModelId,
    /// Size of its weights.
    pub bytes: Bytes,
}

/// Transfers a model's weights to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The model.
    pub model: ModelId,
    /// The engine that receives them.
    pub engine: EngineId,
}

/// One line of a transfer. The stand-in sends sizes instead of the weights' bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchEvent {
    /// The transfer is in progress.
    Progress {
        /// Bytes transferred so far.
        transferred: Bytes,
    },
    /// The transfer is complete. Always the last event.
    Done {
        /// Total bytes transferred.
        transferred: Bytes,
    },
}

/// Reasons for which the store refuses a request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum WeightRefusal {
    /// The store does not have the model.
    #[snafu(display("the store has no weights of {model}"))]
    NoSuchModel {
        /// The model.
        model: ModelId,
    },
    /// The rate limit on transfers was exceeded.
    #[snafu(display("the rate limit is reached"))]
    RateLimited {
        /// Minimum delay before a retry.
        retry_after: Duration,
    },
    /// The request is malformed or exceeds a limit.
    #[snafu(display("`{field}` is not acceptable: {detail}"))]
    Invalid {
        /// The field.
        field: String,
        /// What is wrong, with the limit if there is one.
        detail: String,
    },
}

impl TypedRefusal for WeightRefusal {
    fn certainty(&self) -> Certainty {
        Certainty::NotRun
    }
}

/// A request to the weight store that failed.
pub type WeightError = PeerError<WeightRefusal>;

/// The adapter to the weight store. Cheap to clone; clones share connections.
#[derive(Debug, Clone)]
pub struct WeightStoreClient {
    peer: HttpPeer,
}

impl WeightStoreClient {
    /// Prepares an adapter to the store at `address` (`address:port`). Nothing is sent yet.
    pub fn new(address: &str, settings: ClientSettings) -> Self {
        Self { peer: HttpPeer::new("weight store", address, settings) }
    }

    /// Reads the description of a model's weights.
    ///
    /// # Errors
    /// [`WeightError`]
    pub async fn describe(&self, model: &ModelId) -> Result<WeightDescription, WeightError> {
        let step = "describe weights";
        let request = DescribeRequest { model: model.clone() };
        let answer = self.peer.post(step, paths::DESCRIBE, &request).await?;
        answer.map_err(|refusal| self.refusal_error(step, refusal))
    }

    /// Transfers a model's weights; returns their size when all have arrived.
    ///
    /// # Errors
    /// [`WeightError`]
    pub async fn fetch(&self, model: &ModelId, engine: &EngineId) -> Result<Bytes, WeightError> {
        let step = "fetch weights";
        let request = FetchRequest { model: model.clone(), engine: engine.clone() };
        let answer =
            self.peer.post_stream::<_, WeightRefusal>(step, paths::FETCH, &request).await?;
        let mut lines = answer.map_err(|refusal| self.refusal_error(step, refusal))?;
        loop {
            match lines.next().await? {
                Some(FetchEvent::Progress { .. }) => {}
                Some(FetchEvent::Done { transferred }) => return Ok(transferred),
                None => {
                    let peer = lines.peer();
                    return Err(TruncatedSnafu { step, peer }.build().into());
                }
            }
        }
    }

    fn refusal_error(&self, step: &str, refusal: WeightRefusal) -> WeightError {
        PeerError::refused(step, self.peer.name(), refusal)
    }
}
