//! Formats answers as tables or JSON.

use dahlia_api::operators::{
    Budget, Call, ConfigurationGeneration, Daemon, DrainResponse, Engine, HistoryResponse,
    ListDaemonsResponse, ListEnginesResponse, ListProgramsResponse, Program,
};
use dahlia_configuration::Difference;
use serde::Serialize;
use snafu::ResultExt;

use crate::Failure;
use crate::arguments::OutputFormat;
use crate::failure::EncodeJsonSnafu;

/// Formats one program.
pub(crate) fn program(program: &Program, format: OutputFormat) -> Result<String, Failure> {
    format_answer(program, format, || format_table(&PROGRAM_COLUMNS, &[program_row(program)]))
}

/// Formats a list of programs.
pub(crate) fn programs(
    listed: &ListProgramsResponse,
    format: OutputFormat,
) -> Result<String, Failure> {
    format_answer(listed, format, || {
        let rows: Vec<Vec<String>> = listed.programs.iter().map(program_row).collect();
        let mut text = format_table(&PROGRAM_COLUMNS, &rows);
        if !listed.unreachable_groups.is_empty() {
            text += &format!("groups without an answer: {:?}\n", listed.unreachable_groups);
        }
        text
    })
}

/// Formats a program's budget.
pub(crate) fn budget(program: &Program, format: OutputFormat) -> Result<String, Failure> {
    let budget = program.budget.unwrap_or_default();
    format_answer(&budget, format, || {
        let left = budget.total_tokens.saturating_sub(budget.spent_tokens + budget.reserved_tokens);
        let row = vec![
            program.program.clone(),
            budget.total_tokens.to_string(),
            budget.spent_tokens.to_string(),
            budget.reserved_tokens.to_string(),
            left.to_string(),
        ];
        format_table(&["PROGRAM", "TOTAL", "SPENT", "RESERVED", "LEFT"], &[row])
    })
}

/// Formats a program's calls and held cache.
pub(crate) fn sessions(program: &Program, format: OutputFormat) -> Result<String, Failure> {
    format_answer(program, format, || {
        let rows: Vec<Vec<String>> = program.calls.iter().map(call_row).collect();
        let columns =
            ["CHAIN", "CALL", "STATE", "ATTEMPTS", "ENGINE", "PROMPT", "CACHED", "GENERATED"];
        let mut text = format_table(&columns, &rows);
        for held in &program.held {
            text += &format!("cache may be held by {}\n", held.engine);
        }
        text
    })
}

/// Formats a list of daemons.
pub(crate) fn daemons(
    listed: &ListDaemonsResponse,
    format: OutputFormat,
) -> Result<String, Failure> {
    format_answer(listed, format, || {
        let row = |daemon: &Daemon| {
            vec![
                daemon.daemon.clone(),
                daemon.incarnation.to_string(),
                daemon.zone.clone(),
                daemon.region.clone(),
                daemon.state.clone(),
                daemon.groups_led.to_string(),
                daemon.configuration_generation.to_string(),
                daemon.address.clone(),
            ]
        };
        let rows: Vec<Vec<String>> = listed.daemons.iter().map(row).collect();
        let columns = [
            "DAEMON",
            "INCARNATION",
            "ZONE",
            "REGION",
            "STATE",
            "GROUPS LED",
            "GENERATION",
            "ADDRESS",
        ];
        format_table(&columns, &rows)
    })
}

/// Formats a list of engines.
pub(crate) fn engines(
    listed: &ListEnginesResponse,
    format: OutputFormat,
) -> Result<String, Failure> {
    format_answer(listed, format, || {
        let row = |engine: &Engine| {
            vec![
                engine.engine.clone(),
                engine.zone.clone(),
                engine_state(engine),
                engine.models.join(","),
                engine.running.to_string(),
                engine.queued.to_string(),
                format!("{}/{}", engine.cache_used_tokens, engine.cache_capacity_tokens),
                engine.report_age_ms.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = listed.engines.iter().map(row).collect();
        let columns =
            ["ENGINE", "ZONE", "STATE", "MODELS", "RUNNING", "QUEUED", "CACHE TOKENS", "AGE MS"];
        format_table(&columns, &rows)
    })
}

fn engine_state(engine: &Engine) -> String {
    if engine.leaving_by.is_empty() {
        return engine.state.clone();
    }
    format!("{} (by {})", engine.state, engine.leaving_by)
}

/// Formats a generation with its document. The first line names the generation that `apply`
/// expects by default.
pub(crate) fn generation(
    shown: &ConfigurationGeneration,
    format: OutputFormat,
) -> Result<String, Failure> {
    format_answer(shown, format, || {
        let newline = if shown.document.ends_with('\n') { "" } else { "\n" };
        format!("{GENERATION_LINE_PREFIX}{}\n{}{newline}", shown.generation, shown.document)
    })
}

/// Formats a change without its document.
pub(crate) fn change(
    shown: &ConfigurationGeneration,
    format: OutputFormat,
) -> Result<String, Failure> {
    format_answer(shown, format, || format_table(&CHANGE_COLUMNS, &[change_row(shown)]))
}

/// Formats a list of changes, newest first.
pub(crate) fn history(listed: &HistoryResponse, format: OutputFormat) -> Result<String, Failure> {
    format_answer(listed, format, || {
        let rows: Vec<Vec<String>> = listed.generations.iter().map(change_row).collect();
        format_table(&CHANGE_COLUMNS, &rows)
    })
}

/// Formats the fields that differ.
pub(crate) fn differences(
    generation: u64,
    found: &[Difference],
    format: OutputFormat,
) -> Result<String, Failure> {
    let rows: Vec<DifferenceJson<'_>> = found.iter().map(DifferenceJson::of).collect();
    let shown = DifferencesJson { generation, differences: rows };
    format_answer(&shown, format, || {
        if found.is_empty() {
            return format!("no difference to generation {generation}\n");
        }
        found.iter().map(|difference| format!("{difference}\n")).collect()
    })
}

/// JSON form of the differences.
#[derive(Serialize)]
struct DifferencesJson<'a> {
    generation: u64,
    differences: Vec<DifferenceJson<'a>>,
}

/// JSON form of one difference.
#[derive(Serialize)]
struct DifferenceJson<'a> {
    field: &'a str,
    before: Option<&'a str>,
    after: Option<&'a str>,
}

impl<'a> DifferenceJson<'a> {
    fn of(difference: &'a Difference) -> Self {
        Self {
            field: &difference.field,
            before: difference.before.as_deref(),
            after: difference.after.as_deref(),
        }
    }
}

/// Prefix of a document's first line in the output of `show`; the generation follows.
pub(crate) const GENERATION_LINE_PREFIX: &str = "# generation ";

const CHANGE_COLUMNS: [&str; 4] = ["GENERATION", "AUTHOR", "CHANGE", "PROPOSED UNIX MS"];

fn change_row(shown: &ConfigurationGeneration) -> Vec<String> {
    vec![
        shown.generation.to_string(),
        shown.author.clone(),
        shown.change_id.clone(),
        shown.accepted_unix_ms.to_string(),
    ]
}

/// Formats the daemon's state after a request to drain.
pub(crate) fn drain_state(
    response: &DrainResponse,
    format: OutputFormat,
) -> Result<String, Failure> {
    format_answer(response, format, || format!("{}\n", response.state))
}

const PROGRAM_COLUMNS: [&str; 8] =
    ["PROGRAM", "TENANT", "MODEL", "STATE", "TURNS", "SPENT/TOTAL", "OWNER", "HELD BY"];

fn program_row(program: &Program) -> Vec<String> {
    let budget: Budget = program.budget.unwrap_or_default();
    let held: Vec<&str> = program.held.iter().map(|held| held.engine.as_str()).collect();
    vec![
        program.program.clone(),
        program.tenant.clone(),
        program.model.clone(),
        program.state.clone(),
        program.turns.to_string(),
        format!("{}/{}", budget.spent_tokens, budget.total_tokens),
        format!("{} epoch {}", program.owner, program.epoch),
        if held.is_empty() { "-".to_owned() } else { held.join(",") },
    ]
}

fn call_row(call: &Call) -> Vec<String> {
    vec![
        call.chain.to_string(),
        call.number.to_string(),
        call.state.clone(),
        call.attempts.to_string(),
        call.engine.clone(),
        call.prompt_tokens.to_string(),
        call.cached_tokens.to_string(),
        call.generated_tokens.to_string(),
    ]
}

fn format_answer<T: Serialize>(
    value: &T,
    format: OutputFormat,
    as_table: impl FnOnce() -> String,
) -> Result<String, Failure> {
    match format {
        OutputFormat::Table => Ok(as_table()),
        OutputFormat::Json => {
            let text = serde_json::to_string_pretty(value).context(EncodeJsonSnafu)?;
            Ok(text + "\n")
        }
    }
}

/// Formats a table whose columns are as wide as their widest cell and two spaces apart.
fn format_table(columns: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = columns.iter().map(|column| column.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let header: Vec<String> = columns.iter().map(|column| (*column).to_owned()).collect();
    let mut text = format_line(&header, &widths);
    for row in rows {
        text += &format_line(row, &widths);
    }
    text
}

fn format_line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    padded.join("  ").trim_end().to_owned() + "\n"
}
