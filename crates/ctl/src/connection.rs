//! The way to a daemon's operators' side.

use std::time::Duration;

use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

use crate::Failure;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longer than a fail-over, after which a daemon answers by itself.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection that shows the operators' token.
pub(crate) type Connection = InterceptedService<Channel, ShowToken>;

/// Adds the token to each request.
#[derive(Clone)]
pub(crate) struct ShowToken {
    header: MetadataValue<Ascii>,
}

impl Interceptor for ShowToken {
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
        message: cause(&error),
    })?;
    Ok(InterceptedService::new(channel, ShowToken { header }))
}

/// The innermost cause: the outer ones say only that there was an error.
fn cause(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
