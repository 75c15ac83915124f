//! The commands on the configuration.

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
    ApplyConfiguration, ConfigurationCommand, OneFile, OutputForm, ShowConfiguration, ShowHistory,
    WatchConfiguration,
};
use crate::commands::usage;
use crate::connection::Connection;
use crate::failure::{DocumentSnafu, ReadSnafu, refused};
use crate::output;

/// Tries of a change whose outcome stays unknown.
const APPLY_TRIES: u32 = 4;
/// Pause before the next try.
const APPLY_PAUSE: Duration = Duration::from_millis(500);

type Client = ConfigurationClient<Connection>;

/// Runs one command.
pub(crate) async fn run(
    connection: Connection,
    command: Option<ConfigurationCommand>,
    form: OutputForm,
) -> Result<String, Failure> {
    let client = ConfigurationClient::new(connection);
    match command {
        Some(ConfigurationCommand::Show(show)) => show_generation(client, &show, form).await,
        Some(ConfigurationCommand::Apply(apply)) => apply_document(client, apply, form).await,
        Some(ConfigurationCommand::Diff(file)) => diff(client, &file, form).await,
        Some(ConfigurationCommand::History(shown)) => history(client, &shown, form).await,
        Some(ConfigurationCommand::Watch(watch)) => follow(client, &watch, form).await,
        None => Err(usage("configuration: one of show, apply, diff, history, watch is needed")),
    }
}

async fn show_generation(
    mut client: Client,
    show: &ShowConfiguration,
    form: OutputForm,
) -> Result<String, Failure> {
    let shown = fetch(&mut client, show.generation).await?;
    output::generation(&shown, form)
}

async fn fetch(client: &mut Client, generation: u64) -> Result<ConfigurationGeneration, Failure> {
    let answer = client.show(ShowConfigurationRequest { generation }).await;
    let shown = answer.map_err(|status| refused("showing the configuration", &status))?;
    Ok(shown.into_inner())
}

async fn history(
    mut client: Client,
    shown: &ShowHistory,
    form: OutputForm,
) -> Result<String, Failure> {
    let answer = client.history(HistoryRequest { limit: shown.limit }).await;
    let listed = answer.map_err(|status| refused("listing the changes", &status))?;
    output::history(listed.get_ref(), form)
}

async fn diff(mut client: Client, file: &OneFile, form: OutputForm) -> Result<String, Failure> {
    let written = BasedDocument::read(&file.file)?;
    let after = parse(&file.file, &written.text)?;
    let (generation, before) = match fetch(&mut client, 0).await {
        Ok(shown) => {
            let before = parse(&format!("generation {}", shown.generation), &shown.document)?;
            (shown.generation, before)
        }
        Err(Failure::Refused { name, .. }) if name == "not_found" => (0, Document::default()),
        Err(failure) => return Err(failure),
    };
    output::differences(generation, &differences(&before, &after), form)
}

fn parse(path: &str, text: &str) -> Result<Document, Failure> {
    Document::parse(text).context(DocumentSnafu { path })
}

async fn apply_document(
    mut client: Client,
    apply: ApplyConfiguration,
    form: OutputForm,
) -> Result<String, Failure> {
    let written = BasedDocument::read(&apply.file)?;
    parse(&apply.file, &written.text)?;
    let expected = apply.expected.or(written.base).ok_or_else(|| {
        usage("apply: --expected NUMBER is needed: the file was not written by `show`")
    })?;
    let mut request = ApplyConfigurationRequest {
        expected_generation: expected,
        document: written.text,
        repeated: apply.change.is_some(),
        change_id: apply.change.unwrap_or_else(fresh_identity),
        author: apply.author.or_else(|| env::var("USER").ok()).unwrap_or("unnamed".to_owned()),
    };
    for tried in 1.. {
        let status = match client.apply(request.clone()).await {
            Ok(answer) => return output::change(answer.get_ref(), form),
            Err(status) => status,
        };
        if !is_undecided(&status) {
            return Err(refused("applying the configuration", &status));
        }
        if tried == APPLY_TRIES {
            let message = status.message().to_owned();
            return Err(Failure::Undecided { change: request.change_id, expected, message });
        }
        // The same identity finds the earlier try if that was accepted after all.
        request.repeated = true;
        sleep(APPLY_PAUSE).await;
    }
    unreachable!("the last try returns")
}

/// Whether the change may have been accepted: the daemon says so, or its answer was lost. What a
/// daemon answers carries the error's name.
fn is_undecided(status: &Status) -> bool {
    let name = status.metadata().get(headers::RPC_ERROR);
    let is_answered = name.is_some() || status.code() == Code::Unimplemented;
    !is_answered || name.is_some_and(|name| name.as_bytes() == b"unknown")
}

fn fresh_identity() -> String {
    format!("change-{:016x}", rand::rng().random::<u64>())
}

async fn follow(
    mut client: Client,
    watch: &WatchConfiguration,
    form: OutputForm,
) -> Result<String, Failure> {
    let answer = client.watch(WatchConfigurationRequest {}).await;
    let mut generations =
        answer.map_err(|status| refused("following the configuration", &status))?.into_inner();
    let mut shown = 0;
    loop {
        let next = generations.message().await;
        let next = next.map_err(|status| refused("following the configuration", &status))?;
        let Some(generation) = next else {
            return Ok(String::new());
        };
        // Printed as it comes; the result is only what is left to print at the end.
        print!("{}", output::change(&generation, form)?);
        shown += 1;
        if shown == watch.count {
            return Ok(String::new());
        }
    }
}

/// A document as it stands in a file.
struct BasedDocument {
    /// The generation named in the first line, as `show` writes it.
    base: Option<u64>,
    /// The document without that line.
    text: String,
}

impl BasedDocument {
    fn read(path: &str) -> Result<Self, Failure> {
        let whole = fs::read_to_string(path).context(ReadSnafu { path })?;
        let (first, rest) = whole.split_once('\n').unwrap_or((&whole, ""));
        let base = first.strip_prefix(output::BASE_LINE).and_then(|text| text.trim().parse().ok());
        match base {
            Some(base) => Ok(Self { base: Some(base), text: rest.to_owned() }),
            None => Ok(Self { base: None, text: whole }),
        }
    }
}
