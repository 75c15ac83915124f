//! Runs each command by sending its RPC to a daemon.

use std::env;

use dahlia_api::operators::machines_client::MachinesClient;
use dahlia_api::operators::programs_client::ProgramsClient;
use dahlia_api::operators::{
    CloseProgramRequest, CreateProgramRequest, DrainRequest, ListDaemonsRequest,
    ListEnginesRequest, ListProgramsRequest, Program, RaiseBudgetRequest, ShowProgramRequest,
};

use crate::Failure;
use crate::arguments::{
    Arguments, Budgets, BudgetsCommand, Command, Configuration, CreateProgram, Engines,
    ListPrograms, Machines, MachinesCommand, OutputFormat, Programs, ProgramsCommand, Sessions,
};
use crate::configuration;
use crate::connection::{Connection, connect};
use crate::failure::status_failure;
use crate::output;

/// Runs one command and returns what to print.
///
/// # Errors
/// [`Failure`], whose exit code is documented in OPERATIONS.md.
pub async fn run(arguments: Arguments) -> Result<String, Failure> {
    let address = flag_or_variable(arguments.address, "DAHLIA_ADDRESS", "--address")?;
    let token = flag_or_variable(arguments.token, "DAHLIA_TOKEN", "--token")?;
    let command =
        arguments.command.ok_or_else(|| usage_error("a command is needed; see --help"))?;
    let connection = connect(&address, &token).await?;
    let format = arguments.output;
    match command {
        Command::Programs(Programs { command, .. }) => {
            run_programs(connection, command, format).await
        }
        Command::Budgets(Budgets { command, .. }) => run_budgets(connection, command, format).await,
        Command::Sessions(sessions) => show_sessions(connection, sessions, format).await,
        Command::Machines(Machines { command, .. }) => {
            run_machines(connection, command, format).await
        }
        Command::Engines(Engines { .. }) => list_engines(connection, format).await,
        Command::Configuration(Configuration { command, .. }) => {
            configuration::run(connection, command, format).await
        }
    }
}

fn flag_or_variable(flag: Option<String>, variable: &str, name: &str) -> Result<String, Failure> {
    let found = flag.or_else(|| env::var(variable).ok());
    found.ok_or_else(|| usage_error(&format!("{name} or {variable} is needed")))
}

pub(crate) fn usage_error(message: &str) -> Failure {
    Failure::Usage { message: message.to_owned() }
}

async fn run_programs(
    connection: Connection,
    command: Option<ProgramsCommand>,
    format: OutputFormat,
) -> Result<String, Failure> {
    match command {
        Some(ProgramsCommand::Create(create)) => create_program(connection, create, format).await,
        Some(ProgramsCommand::List(list)) => list_programs(connection, list, format).await,
        Some(ProgramsCommand::Show(one)) => {
            let program = fetch_program(connection, one.program, false).await?;
            output::program(&program, format)
        }
        Some(ProgramsCommand::Close(one)) => {
            let request = CloseProgramRequest { program: one.program };
            let answer = ProgramsClient::new(connection).close(request).await;
            let program =
                answer.map_err(|status| status_failure("closing the program", &status))?;
            output::program(program.get_ref(), format)
        }
        None => Err(usage_error("programs: one of create, list, show, close is needed")),
    }
}

async fn create_program(
    connection: Connection,
    create: CreateProgram,
    format: OutputFormat,
) -> Result<String, Failure> {
    let request = CreateProgramRequest {
        tenant: create.tenant,
        model: create.model,
        budget_tokens: create.budget,
        idle_expiry_ms: create.idle_expiry,
        request_key: create.request_key,
        zone: String::new(),
    };
    let answer = ProgramsClient::new(connection).create(request).await;
    let program = answer.map_err(|status| status_failure("creating the program", &status))?;
    output::program(program.get_ref(), format)
}

async fn list_programs(
    connection: Connection,
    list: ListPrograms,
    format: OutputFormat,
) -> Result<String, Failure> {
    let request =
        ListProgramsRequest { tenant: list.tenant, limit: list.limit, include_closed: list.closed };
    let answer = ProgramsClient::new(connection).list(request).await;
    let listed = answer.map_err(|status| status_failure("listing programs", &status))?;
    output::programs(listed.get_ref(), format)
}

async fn fetch_program(
    connection: Connection,
    program: String,
    with_calls: bool,
) -> Result<Program, Failure> {
    let request = ShowProgramRequest { program, with_calls };
    let answer = ProgramsClient::new(connection).show(request).await;
    let program = answer.map_err(|status| status_failure("showing the program", &status))?;
    Ok(program.into_inner())
}

async fn run_budgets(
    connection: Connection,
    command: Option<BudgetsCommand>,
    format: OutputFormat,
) -> Result<String, Failure> {
    match command {
        Some(BudgetsCommand::Show(one)) => {
            let program = fetch_program(connection, one.program, false).await?;
            output::budget(&program, format)
        }
        Some(BudgetsCommand::Raise(raise)) => {
            let request = RaiseBudgetRequest { program: raise.program, total_tokens: raise.total };
            let answer = ProgramsClient::new(connection).raise_budget(request).await;
            let program = answer.map_err(|status| status_failure("raising the budget", &status))?;
            output::budget(program.get_ref(), format)
        }
        None => Err(usage_error("budgets: one of show, raise is needed")),
    }
}

async fn show_sessions(
    connection: Connection,
    sessions: Sessions,
    format: OutputFormat,
) -> Result<String, Failure> {
    let program = fetch_program(connection, sessions.program, true).await?;
    output::sessions(&program, format)
}

async fn run_machines(
    connection: Connection,
    command: Option<MachinesCommand>,
    format: OutputFormat,
) -> Result<String, Failure> {
    let mut client = MachinesClient::new(connection);
    match command {
        Some(MachinesCommand::List(_)) => {
            let answer = client.list_daemons(ListDaemonsRequest {}).await;
            let listed = answer.map_err(|status| status_failure("listing daemons", &status))?;
            output::daemons(listed.get_ref(), format)
        }
        Some(MachinesCommand::Drain(drain)) => {
            let request = DrainRequest { daemon: drain.daemon };
            let answer = client.drain(request).await;
            let drained =
                answer.map_err(|status| status_failure("draining the daemon", &status))?;
            output::drain_state(drained.get_ref(), format)
        }
        None => Err(usage_error("machines: one of list, drain is needed")),
    }
}

async fn list_engines(connection: Connection, format: OutputFormat) -> Result<String, Failure> {
    let answer = MachinesClient::new(connection).list_engines(ListEnginesRequest {}).await;
    let listed = answer.map_err(|status| status_failure("listing engines", &status))?;
    output::engines(listed.get_ref(), format)
}
