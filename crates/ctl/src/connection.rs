//! The connection to a daemon's RPC server for operators.

use std::time::Duration;

use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

use crate::Failure;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longer than a fail-over, after which a daemon answers with an error of its own.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection that sends the operators' token.
pub(crate) type Connection = InterceptedService<Channel, TokenInterceptor>;

/// Adds the token to each request.
#[derive(Clone)]
pub(crate) struct TokenInterceptor {
    header: MetadataValue<Ascii>,
}

impl Interceptor for TokenInterceptor {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert("authorization", self.header.clone());
        Ok(request)
    }
}

/// Connects to the daemon at `address`.
///
/// # Errors
/// [`Failure::Usage`] when address or token are malformed, [`Failure::Connect`] when the daemon
/// cannot be reached.
pub(crate) async fn connect(address: &str, token: &str) -> Result<Connection, Failure> {
    let header = MetadataValue::try_from(format!("Bearer {token}"))
        .map_err(|_| Failure::Usage { message: "--token has characters not allowed".to_owned() })?;
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Failure::Usage { message: format!("--address {address:?}: {error}") })?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(REQUEST_TIMEOUT);
    let channel = endpoint.connect().await.map_err(|error| Failure::Connect {
        address: address.to_owned(),
        message: innermost_cause(&error),
    })?;
    Ok(InterceptedService::new(channel, TokenInterceptor { header }))
}

/// Formats the innermost cause. The outer ones only state that there was an error.
fn innermost_cause(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
