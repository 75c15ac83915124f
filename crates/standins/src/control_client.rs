//! Brings faults about and reads observations over a stand-in's control endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::control::{Nothing, Observations, ObservationsRequest};

/// Longest time for a control request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A control request that failed.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// No usable answer came.
    #[snafu(display("control {name} at {address}: {source}"))]
    Exchange {
        /// The request.
        name: String,
        /// The stand-in.
        address: SocketAddr,
        /// The cause.
        source: reqwest::Error,
    },
    /// The stand-in refused; control may be switched off.
    #[snafu(display("control {name} at {address}: status {status}: {body}"))]
    Refused {
        /// The request.
        name: String,
        /// The stand-in.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The refusal.
        body: String,
    },
}

/// The control endpoint of one stand-in.
#[derive(Debug, Clone)]
pub struct ControlClient {
    address: SocketAddr,
    client: reqwest::Client,
}

impl ControlClient {
    /// Prepares a client. Nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        let builder = reqwest::Client::builder().no_proxy().timeout(ANSWER_TIMEOUT);
        // Only TLS set-up can fail here, and no TLS backend is compiled in.
        let client = builder.build().expect("a client without TLS always builds");
        Self { address, client }
    }

    /// Puts a set of faults in force in place of the former one.
    ///
    /// # Errors
    /// [`ControlError`]
    pub async fn set_faults(&self, faults: &impl Serialize) -> Result<(), ControlError> {
        self.post::<Nothing>("faults", faults).await.map(drop)
    }

    /// Reads what the stand-in saw after a sequence number; 0 reads all.
    ///
    /// # Errors
    /// [`ControlError`]
    pub async fn observations<E: DeserializeOwned>(
        &self,
        after: u64,
    ) -> Result<Observations<E>, ControlError> {
        self.post("observations", &ObservationsRequest { after }).await
    }

    /// Posts any control request.
    ///
    /// # Errors
    /// [`ControlError`]
    pub async fn post<T: DeserializeOwned>(
        &self,
        name: &str,
        request: &impl Serialize,
    ) -> Result<T, ControlError> {
        let address = self.address;
        let exchange = ExchangeSnafu { name, address };
        let url = format!("http://{address}/control/{name}");
        let response = self.client.post(url).json(request).send().await.context(exchange)?;
        let status = response.status();
        if !status.is_success() {
            let body = response.text().await.unwrap_or_default();
            let status = status.as_u16();
            return RefusedSnafu { name, address, status, body }.fail();
        }
        response.json().await.context(exchange)
    }
}
