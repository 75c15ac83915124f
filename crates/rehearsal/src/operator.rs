//! A client of the operator API, connected to the first daemon that answers.

use std::net::SocketAddr;

use dahlia_api::operators::programs_client::ProgramsClient;
use dahlia_api::operators::{
    CloseProgramRequest, CreateProgramRequest, Program, ShowProgramRequest,
};
use snafu::ResultExt;
use tonic::metadata::MetadataValue;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

use crate::RehearsalError;
use crate::cluster::OPERATOR_TOKEN;
use crate::error::{ConnectSnafu, OperatorSnafu};

/// A client of the operator API of one daemon.
pub struct OperatorClient {
    programs: ProgramsClient<Channel>,
}

impl OperatorClient {
    /// Connects to the first daemon that answers.
    ///
    /// # Errors
    /// [`RehearsalError::Connect`] when none does.
    pub async fn connect(addresses: &[SocketAddr]) -> Result<Self, RehearsalError> {
        let mut last = None;
        for address in addresses {
            let uri = format!("http://{address}");
            let endpoint = Endpoint::from_shared(uri.clone())
                .context(ConnectSnafu { address: uri.clone() })?;
            match endpoint.connect().await.context(ConnectSnafu { address: uri }) {
                Ok(channel) => return Ok(Self { programs: ProgramsClient::new(channel) }),
                Err(error) => last = Some(error),
            }
        }
        let message = "no daemon runs".to_owned();
        Err(last.unwrap_or(RehearsalError::Failed { message }))
    }

    /// Creates a program.
    ///
    /// # Errors
    /// [`RehearsalError::Operator`] when the daemon refuses.
    pub async fn create_program(
        &mut self,
        tenant: &str,
        model: &str,
        budget: u64,
    ) -> Result<Program, RehearsalError> {
        let request = CreateProgramRequest {
            tenant: tenant.to_owned(),
            model: model.to_owned(),
            budget_tokens: budget,
            ..CreateProgramRequest::default()
        };
        let answer = self.programs.create(add_token(request)).await;
        into_message(answer, "creating a program")
    }

    /// Reads a program with its calls.
    ///
    /// # Errors
    /// [`RehearsalError::Operator`] when the daemon refuses.
    pub async fn show_program(&mut self, program: &str) -> Result<Program, RehearsalError> {
        let request = ShowProgramRequest { program: program.to_owned(), with_calls: true };
        let answer = self.programs.show(add_token(request)).await;
        into_message(answer, "showing a program")
    }

    /// Closes a program.
    ///
    /// # Errors
    /// [`RehearsalError::Operator`] when the daemon refuses.
    pub async fn close_program(&mut self, program: &str) -> Result<Program, RehearsalError> {
        let request = CloseProgramRequest { program: program.to_owned() };
        let answer = self.programs.close(add_token(request)).await;
        into_message(answer, "closing a program")
    }
}

fn into_message<T>(
    answer: Result<tonic::Response<T>, Status>,
    step: &'static str,
) -> Result<T, RehearsalError> {
    answer.map(tonic::Response::into_inner).context(OperatorSnafu { step })
}

fn add_token<T>(message: T) -> Request<T> {
    let mut request = Request::new(message);
    let header = MetadataValue::try_from(format!("Bearer {OPERATOR_TOKEN}"));
    let header = header.expect("the token has only plain characters");
    request.metadata_mut().insert("authorization", header);
    request
}
