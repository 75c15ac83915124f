//! Commands on the configuration.

use std::time::Duration;
use std::{env, fs};

use dahlia_api::headers;
use dahlia_api::operators::configuration_client::ConfigurationClient;
use dahlia_api::operators::{
    ApplyConfigurationRequest, ConfigurationGeneration, HistoryRequest, ShowConfigurationRequest,
    WatchConfigurationRequest,
};
use dahlia_configuration::{Document, differences};
use rand::Rng;
use snafu::ResultExt;
use tokio::time::sleep;
use tonic::{Code, Status};

use crate::Failure;
use crate::arguments::{
    ApplyConfiguration, ConfigurationCommand, FileArguments, OutputFormat, ShowConfiguration,
    ShowHistory, WatchConfiguration,
};
use crate::commands::usage_error;
use crate::connection::Connection;
use crate::failure::{DocumentSnafu, ReadSnafu, status_failure};
use crate::output;

/// Maximum number of attempts at a change while its outcome is unknown.
const MAX_APPLY_ATTEMPTS: u32 = 4;
/// Delay before the next attempt.
const APPLY_RETRY_DELAY: Duration = Duration::from_millis(500);

type Client = ConfigurationClient<Connection>;

/// Runs one command.
pub(crate) async fn run(
    connection: Connection,
    command: Option<ConfigurationCommand>,
    format: OutputFormat,
) -> Result<String, Failure> {
    let client = ConfigurationClient::new(connection);
    match command {
        Some(ConfigurationCommand::Show(show)) => show_generation(client, &show, format).await,
        Some(ConfigurationCommand::Apply(apply)) => apply_document(client, apply, format).await,
        Some(ConfigurationCommand::Diff(file)) => compare(client, &file, format).await,
        Some(ConfigurationCommand::History(arguments)) => {
            list_changes(client, &arguments, format).await
        }
        Some(ConfigurationCommand::Watch(watch)) => follow(client, &watch, format).await,
        None => {
            Err(usage_error("configuration: one of show, apply, diff, history, watch is needed"))
        }
    }
}

async fn show_generation(
    mut client: Client,
    show: &ShowConfiguration,
    format: OutputFormat,
) -> Result<String, Failure> {
    let shown = fetch(&mut client, show.generation).await?;
    output::generation(&shown, format)
}

async fn fetch(client: &mut Client, generation: u64) -> Result<ConfigurationGeneration, Failure> {
    let answer = client.show(ShowConfigurationRequest { generation }).await;
    let shown = answer.map_err(|status| status_failure("showing the configuration", &status))?;
    Ok(shown.into_inner())
}

async fn list_changes(
    mut client: Client,
    arguments: &ShowHistory,
    format: OutputFormat,
) -> Result<String, Failure> {
    let answer = client.history(HistoryRequest { limit: arguments.limit }).await;
    let listed = answer.map_err(|status| status_failure("listing the changes", &status))?;
    output::history(listed.get_ref(), format)
}

async fn compare(
    mut client: Client,
    file: &FileArguments,
    format: OutputFormat,
) -> Result<String, Failure> {
    let file_document = FileDocument::read(&file.file)?;
    let after = parse(&file.file, &file_document.text)?;
    let (generation, before) = match fetch(&mut client, 0).await {
        Ok(shown) => {
            let before = parse(&format!("generation {}", shown.generation), &shown.document)?;
            (shown.generation, before)
        }
        Err(Failure::Refused { name, .. }) if name == "not_found" => (0, Document::default()),
        Err(failure) => return Err(failure),
    };
    output::differences(generation, &differences(&before, &after), format)
}

fn parse(path: &str, text: &str) -> Result<Document, Failure> {
    Document::parse(text).context(DocumentSnafu { path })
}

async fn apply_document(
    mut client: Client,
    apply: ApplyConfiguration,
    format: OutputFormat,
) -> Result<String, Failure> {
    let file_document = FileDocument::read(&apply.file)?;
    parse(&apply.file, &file_document.text)?;
    let expected = apply.expected.or(file_document.base).ok_or_else(|| {
        usage_error("apply: --expected NUMBER is needed: the file was not written by `show`")
    })?;
    let mut request = ApplyConfigurationRequest {
        expected_generation: expected,
        document: file_document.text,
        repeated: apply.change.is_some(),
        change_id: apply.change.unwrap_or_else(new_change_id),
        author: apply.author.or_else(|| env::var("USER").ok()).unwrap_or("unnamed".to_owned()),
    };
    for attempt in 1.. {
        let status = match client.apply(request.clone()).await {
            Ok(answer) => return output::change(answer.get_ref(), format),
            Err(status) => status,
        };
        if !is_outcome_unknown(&status) {
            return Err(status_failure("applying the configuration", &status));
        }
        if attempt == MAX_APPLY_ATTEMPTS {
            let message = status.message().to_owned();
            return Err(Failure::OutcomeUnknown { change: request.change_id, expected, message });
        }
        // With the same identity the daemon finds the earlier attempt if that was accepted.
        request.repeated = true;
        sleep(APPLY_RETRY_DELAY).await;
    }
    unreachable!("the last attempt returns")
}

/// Whether the change may have been accepted: the daemon reports an unknown outcome, or its answer
/// was lost. Every error answer of a daemon contains the error's name.
fn is_outcome_unknown(status: &Status) -> bool {
    let name = status.metadata().get(headers::RPC_ERROR);
    let is_answered = name.is_some() || status.code() == Code::Unimplemented;
    !is_answered || name.is_some_and(|name| name.as_bytes() == b"unknown")
}

fn new_change_id() -> String {
    format!("change-{:016x}", rand::rng().random::<u64>())
}

async fn follow(
    mut client: Client,
    watch: &WatchConfiguration,
    format: OutputFormat,
) -> Result<String, Failure> {
    let answer = client.watch(WatchConfigurationRequest {}).await;
    let mut generations = answer
        .map_err(|status| status_failure("following the configuration", &status))?
        .into_inner();
    let mut printed = 0;
    loop {
        let next = generations.message().await;
        let next = next.map_err(|status| status_failure("following the configuration", &status))?;
        // A watch has no end of its own, so one that the daemon ends has lost what comes after.
        let Some(generation) = next else {
            return Err(Failure::WatchEnded { printed });
        };
        // Each generation is printed at once; the returned text is what remains to be printed.
        print!("{}", output::change(&generation, format)?);
        printed += 1;
        if printed == watch.count {
            return Ok(String::new());
        }
    }
}

/// A document read from a file, with the generation that it is based on.
struct FileDocument {
    /// The generation in the first line, as written by `show`.
    base: Option<u64>,
    /// The document without that line.
    text: String,
}

impl FileDocument {
    fn read(path: &str) -> Result<Self, Failure> {
        let whole = fs::read_to_string(path).context(ReadSnafu { path })?;
        let (first, rest) = whole.split_once('\n').unwrap_or((&whole, ""));
        let base = first
            .strip_prefix(output::GENERATION_LINE_PREFIX)
            .and_then(|text| text.trim().parse().ok());
        match base {
            Some(base) => Ok(Self { base: Some(base), text: rest.to_owned() }),
            None => Ok(Self { base: None, text: whole }),
        }
    }
}
