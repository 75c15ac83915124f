//! The operators' configuration: showing, changing, listing and watching it.

use std::pin::Pin;
use std::time::Duration;

use dahlia_api::operators as rpc;
use dahlia_api::operators::configuration_server::Configuration;
use dahlia_api::{ApiError, ErrorKind};
use dahlia_configuration::{
    ChangeId, ChangeOutcome, ChangeProposal, ChangeSummary, ConfigurationRecord, Document,
    ServingGeneration,
};
use dahlia_node::ConfigurationView;
use dahlia_types::Generation;
use futures::{Stream, StreamExt, stream};
use tokio_stream::wrappers::WatchStream;
use tonic::{Request, Response, Status};

use super::{Operators, invalid, status};

/// Retry delay for an operator when the daemon cannot answer.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Changes listed by default.
const DEFAULT_HISTORY: u32 = 20;
/// Most changes listed: as many as a record contains.
const MAX_HISTORY: u32 = dahlia_configuration::MAX_RECENT_CHANGES as u32 + 1;

type Generations =
    Pin<Box<dyn Stream<Item = Result<rpc::ConfigurationGeneration, Status>> + Send + 'static>>;

#[tonic::async_trait]
impl Configuration for Operators {
    async fn show(
        &self,
        request: Request<rpc::ShowConfigurationRequest>,
    ) -> Result<Response<rpc::ConfigurationGeneration>, Status> {
        let wanted = Generation(request.into_inner().generation);
        let view = self.configuration().await?;
        let mut records = view.current.iter().chain(&view.previous);
        let found = match wanted {
            Generation(0) => records.next(),
            _ => records.find(|record| record.generation() == wanted),
        };
        let found = found.ok_or_else(|| generation_not_found(wanted))?;
        Ok(Response::new(generation(found)))
    }

    async fn apply(
        &self,
        request: Request<rpc::ApplyConfigurationRequest>,
    ) -> Result<Response<rpc::ConfigurationGeneration>, Status> {
        let request = request.into_inner();
        let proposal = ChangeProposal {
            change: ChangeId(request.change_id.clone()),
            expected: Generation(request.expected_generation),
            author: request.author.clone(),
            document: request.document.clone(),
            repeated: request.repeated,
        };
        match self.core.propose_change(proposal).await {
            Some(outcome) => answer(outcome, request),
            None => Err(status(&unknown("the daemon is stopping"))),
        }
    }

    async fn history(
        &self,
        request: Request<rpc::HistoryRequest>,
    ) -> Result<Response<rpc::HistoryResponse>, Status> {
        let limit = match request.into_inner().limit {
            0 => DEFAULT_HISTORY,
            limit if limit <= MAX_HISTORY => limit,
            limit => {
                let problem = format!("is {limit}; allowed: 1 to {MAX_HISTORY}");
                return Err(invalid("limit", &problem));
            }
        };
        let view = self.configuration().await?;
        let changes = view.current.iter().flat_map(|record| record.changes());
        let with_text = |change: &ChangeSummary| {
            let mut records = view.current.iter().chain(&view.previous);
            let record = records.find(|record| record.change() == change);
            summary(change, record.map_or("", |record| record.text()))
        };
        let generations = changes.take(limit as usize).map(with_text).collect();
        Ok(Response::new(rpc::HistoryResponse { generations }))
    }

    type WatchStream = Generations;

    async fn watch(
        &self,
        _request: Request<rpc::WatchConfigurationRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let records = WatchStream::new(self.in_force.clone());
        let generations =
            records.filter_map(async |record| record.map(|record| Ok(generation(&record))));
        // An end in good order would say that no generation follows.
        let end = stream::once(async { Err(status(&unavailable("the daemon is stopping"))) });
        Ok(Response::new(Box::pin(generations.chain(end))))
    }
}

impl Operators {
    async fn configuration(&self) -> Result<ConfigurationView, Status> {
        let view = self.core.configuration().await;
        let view = view.filter(|view| view.serving_generation != ServingGeneration::Unknown);
        view.ok_or_else(|| {
            let message = "this daemon does not know yet which generation is in force";
            let error = ApiError::new(ErrorKind::Unavailable, message);
            status(&error.with_retry_after(RETRY_DELAY))
        })
    }

    /// The document in force on this daemon, or the defaults if there is none yet.
    pub(super) async fn document(&self) -> Result<Document, Status> {
        let view = self.configuration().await?;
        Ok(view.current.map(|record| record.document().clone()).unwrap_or_default())
    }
}

fn answer(
    outcome: ChangeOutcome,
    request: rpc::ApplyConfigurationRequest,
) -> Result<Response<rpc::ConfigurationGeneration>, Status> {
    let error = match outcome {
        ChangeOutcome::Accepted(record) => return Ok(Response::new(generation(&record))),
        ChangeOutcome::AcceptedEarlier(change) => {
            return Ok(Response::new(summary(&change, &request.document)));
        }
        ChangeOutcome::Conflict { newest, conflicting_change } => {
            conflict(&request, newest, conflicting_change)
        }
        ChangeOutcome::Invalid(error) => {
            let error = ApiError::new(ErrorKind::InvalidRequest, error.to_string());
            error.with_field("document")
        }
        ChangeOutcome::IdentityReused(change) => {
            let message = format!(
                "the change identity {} belongs to generation {} with another document",
                change.change, change.generation
            );
            ApiError::new(ErrorKind::KeyReused, message)
        }
        ChangeOutcome::Busy => unavailable("another change is being decided on this daemon"),
        ChangeOutcome::Unavailable => unavailable(
            "not accepted: the key-value service does not answer, or this daemon has just started",
        ),
        ChangeOutcome::Unknown => unknown("the key-value service did not say"),
    };
    Err(status(&error))
}

fn conflict(
    request: &rpc::ApplyConfigurationRequest,
    newest: Generation,
    conflicting_change: Option<ChangeSummary>,
) -> ApiError {
    let winner = conflicting_change.map(|change| {
        format!(
            "; it lost to generation {} by {:?}, change {}",
            change.generation, change.author, change.change
        )
    });
    let message = format!(
        "the change was made from generation {}, and generation {newest} is the newest{}",
        request.expected_generation,
        winner.unwrap_or_default()
    );
    ApiError::new(ErrorKind::ConfigurationConflict, message)
}

fn unavailable(message: &str) -> ApiError {
    ApiError::new(ErrorKind::Unavailable, message).with_retry_after(RETRY_DELAY)
}

fn unknown(cause: &str) -> ApiError {
    let message = format!(
        "the change may have been accepted ({cause}); repeat it with the same change identity"
    );
    ApiError::new(ErrorKind::Unknown, message)
}

fn generation_not_found(wanted: Generation) -> Status {
    let message = match wanted {
        Generation(0) => "no generation of the configuration exists yet".to_owned(),
        wanted => format!(
            "generation {wanted} is not held here; a daemon keeps the ones that it had in force \
             lately"
        ),
    };
    status(&ApiError::new(ErrorKind::NotFound, message))
}

fn generation(record: &ConfigurationRecord) -> rpc::ConfigurationGeneration {
    summary(record.change(), record.text())
}

fn summary(change: &ChangeSummary, document: &str) -> rpc::ConfigurationGeneration {
    rpc::ConfigurationGeneration {
        generation: change.generation.0,
        document: document.to_owned(),
        change_id: change.change.0.clone(),
        author: change.author.clone(),
        accepted_unix_ms: change.at.0 / 1_000,
    }
}
