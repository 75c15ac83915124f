//! RPC for operators. Any daemon accepts any request, and routes it to the owner of its program.

mod configuration;
mod convert;
mod machines;
mod programs;

use std::sync::Arc;

use dahlia_api::operators::configuration_server::ConfigurationServer;
use dahlia_api::operators::machines_server::MachinesServer;
use dahlia_api::operators::programs_server::ProgramsServer;
use dahlia_api::{ApiError, ErrorKind, headers};
use dahlia_configuration::ConfigurationRecord;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::metadata::MetadataValue;
use tonic::service::InterceptorLayer;
use tonic::transport::Server;
use tonic::{Request, Status};

use crate::core_handle::CoreHandle;

/// The state shared by all services for operators.
#[derive(Clone)]
pub struct Operators {
    /// Routes requests to owners.
    pub core: CoreHandle,
    /// The operators' bearer token.
    pub token: Arc<str>,
    /// The generation in force here.
    pub in_force: watch::Receiver<Option<Arc<ConfigurationRecord>>>,
}

/// Serves operators on `listener` while the daemon runs.
///
/// # Errors
/// [`tonic::transport::Error`] when the server cannot run.
pub async fn serve(
    listener: TcpListener,
    operators: Operators,
) -> Result<(), tonic::transport::Error> {
    let token = operators.token.clone();
    let check = move |request: Request<()>| authenticate(request, &token);
    Server::builder()
        .layer(InterceptorLayer::new(check))
        .add_service(ProgramsServer::new(operators.clone()))
        .add_service(ConfigurationServer::new(operators.clone()))
        .add_service(MachinesServer::new(operators))
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
}

#[allow(clippy::result_large_err)]
fn authenticate(request: Request<()>, token: &str) -> Result<Request<()>, Status> {
    let header = request.metadata().get("authorization");
    let shown = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    if shown == Some(token) {
        return Ok(request);
    }
    let message = "the authorization metadata must be: Bearer <operator token>";
    Err(status(&ApiError::new(ErrorKind::Unauthorized, message)))
}

/// Converts an error to an RPC status, with its name and retry delay in the metadata.
pub(crate) fn status(error: &ApiError) -> Status {
    let mut status = Status::new(error.kind.rpc_code(), error.message.clone());
    let metadata = status.metadata_mut();
    metadata.insert(headers::RPC_ERROR, MetadataValue::from_static(error.kind.name()));
    if let Some(after) = error.retry_after {
        metadata.insert(headers::RPC_RETRY_AFTER, MetadataValue::from(after.as_millis() as u64));
    }
    status
}

/// An error about one field of a request.
pub(crate) fn invalid(field: &str, problem: &str) -> Status {
    let error = ApiError::new(ErrorKind::InvalidRequest, format!("{field}: {problem}"));
    status(&error.with_field(field))
}
