//! What each command asks of a daemon.

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
    ListPrograms, Machines, MachinesCommand, OutputForm, Programs, ProgramsCommand, Sessions,
};
use crate::configuration;
use crate::connection::{Connection, connect};
use crate::failure::refused;
use crate::output;

/// Runs one command and returns what to print.
///
/// # Errors
/// [`Failure`], whose exit code is documented in OPERATIONS.md.
pub async fn run(arguments: Arguments) -> Result<String, Failure> {
    let address = setting(arguments.address, "DAHLIA_ADDRESS", "--address")?;
    let token = setting(arguments.token, "DAHLIA_TOKEN", "--token")?;
    let command = arguments.command.ok_or_else(|| usage("a command is needed; see --help"))?;
    let connection = connect(&address, &token).await?;
    let form = arguments.output;
    match command {
        Command::Programs(Programs { command, .. }) => programs(connection, command, form).await,
        Command::Budgets(Budgets { command, .. }) => budgets(connection, command, form).await,
        Command::Sessions(sessions) => show_sessions(connection, sessions, form).await,
        Command::Machines(Machines { command, .. }) => machines(connection, command, form).await,
        Command::Engines(Engines { .. }) => engines(connection, form).await,
        Command::Configuration(Configuration { command, .. }) => {
            configuration::run(connection, command, form).await
        }
    }
}

fn setting(flag: Option<String>, variable: &str, name: &str) -> Result<String, Failure> {
    let found = flag.or_else(|| env::var(variable).ok());
    found.ok_or_else(|| usage(&format!("{name} or {variable} is needed")))
}

pub(crate) fn usage(message: &str) -> Failure {
    Failure::Usage { message: message.to_owned() }
}

async fn programs(
    connection: Connection,
    command: Option<ProgramsCommand>,
    form: OutputForm,
) -> Result<String, Failure> {
    match command {
        Some(ProgramsCommand::Create(create)) => create_program(connection, create, form).await,
        Some(ProgramsCommand::List(list)) => list_programs(connection, list, form).await,
        Some(ProgramsCommand::Show(one)) => {
            let program = show(connection, one.program, false).await?;
            output::program(&program, form)
        }
        Some(ProgramsCommand::Close(one)) => {
            let request = CloseProgramRequest { program: one.program };
            let answer = ProgramsClient::new(connection).close(request).await;
            let program = answer.map_err(|status| refused("closing the program", &status))?;
            output::program(program.get_ref(), form)
        }
        None => Err(usage("programs: one of create, list, show, close is needed")),
    }
}

async fn create_program(
    connection: Connection,
    create: CreateProgram,
    form: OutputForm,
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
    let program = answer.map_err(|status| refused("creating the program", &status))?;
    output::program(program.get_ref(), form)
}

async fn list_programs(
    connection: Connection,
    list: ListPrograms,
    form: OutputForm,
) -> Result<String, Failure> {
    let request =
        ListProgramsRequest { tenant: list.tenant, limit: list.limit, include_closed: list.closed };
    let answer = ProgramsClient::new(connection).list(request).await;
    let listed = answer.map_err(|status| refused("listing programs", &status))?;
    output::programs(listed.get_ref(), form)
}

async fn show(
    connection: Connection,
    program: String,
    with_calls: bool,
) -> Result<Program, Failure> {
    let request = ShowProgramRequest { program, with_calls };
    let answer = ProgramsClient::new(connection).show(request).await;
    let program = answer.map_err(|status| refused("showing the program", &status))?;
    Ok(program.into_inner())
}

async fn budgets(
    connection: Connection,
    command: Option<BudgetsCommand>,
    form: OutputForm,
) -> Result<String, Failure> {
    match command {
        Some(BudgetsCommand::Show(one)) => {
            let program = show(connection, one.program, false).await?;
            output::budget(&program, form)
        }
        Some(BudgetsCommand::Raise(raise)) => {
            let request = RaiseBudgetRequest { program: raise.program, total_tokens: raise.total };
            let answer = ProgramsClient::new(connection).raise_budget(request).await;
            let program = answer.map_err(|status| refused("raising the budget", &status))?;
            output::budget(program.get_ref(), form)
        }
        None => Err(usage("budgets: one of show, raise is needed")),
    }
}

async fn show_sessions(
    connection: Connection,
    sessions: Sessions,
    form: OutputForm,
) -> Result<String, Failure> {
    let program = show(connection, sessions.program, true).await?;
    output::sessions(&program, form)
}

async fn machines(
    connection: Connection,
    command: Option<MachinesCommand>,
    form: OutputForm,
) -> Result<String, Failure> {
    let mut client = MachinesClient::new(connection);
    match command {
        Some(MachinesCommand::List(_)) => {
            let answer = client.list_daemons(ListDaemonsRequest {}).await;
            let listed = answer.map_err(|status| refused("listing daemons", &status))?;
            output::daemons(listed.get_ref(), form)
        }
        Some(MachinesCommand::Drain(drain)) => {
            let request = DrainRequest { daemon: drain.daemon };
            let answer = client.drain(request).await;
            let drained = answer.map_err(|status| refused("draining the daemon", &status))?;
            output::drained(drained.get_ref(), form)
        }
        None => Err(usage("machines: one of list, drain is needed")),
    }
}

async fn engines(connection: Connection, form: OutputForm) -> Result<String, Failure> {
    let answer = MachinesClient::new(connection).list_engines(ListEnginesRequest {}).await;
    let listed = answer.map_err(|status| refused("listing engines", &status))?;
    output::engines(listed.get_ref(), form)
}
