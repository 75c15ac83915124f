//! The RPC and the command line for operators, over real sockets.

mod support;

use dahlia_api::headers;
use dahlia_api::operators::configuration_client::ConfigurationClient;
use dahlia_api::operators::{
    CreateProgramRequest, ListProgramsRequest, RaiseBudgetRequest, ShowProgramRequest,
    WatchConfigurationRequest,
};
use dahlia_ctl::arguments::Arguments;
use dahlia_ctl::{Failure, exit_code};
use gumdrop::Options;
use support::{MODEL, OPERATOR_TOKEN, Plan, System, TENANT, with_token};
use tonic::{Code, Request, Status};

fn valid_request() -> CreateProgramRequest {
    CreateProgramRequest {
        tenant: TENANT.to_owned(),
        model: MODEL.to_owned(),
        budget_tokens: 1_000,
        ..CreateProgramRequest::default()
    }
}

fn error_text(status: &Status) -> String {
    let name = status.metadata().get(headers::RPC_ERROR).expect("every error has its name");
    let name = name.to_str().expect("plain characters");
    format!("{:?} {name}: {}", status.code(), status.message())
}

#[tokio::test(flavor = "multi_thread")]
async fn token_is_required() {
    let system = System::one_daemon().await;
    let mut operators = system.operators(0).await;
    let missing = operators.create(Request::new(valid_request())).await.expect_err("is refused");
    assert_eq!(missing.code(), Code::Unauthenticated);
    for header in ["Bearer ", "Bearer wrong-token", "Basic x", OPERATOR_TOKEN] {
        let mut request = Request::new(valid_request());
        let value = header.parse().expect("plain characters");
        request.metadata_mut().insert("authorization", value);
        let wrong = operators.create(request).await.expect_err("is refused");
        assert_eq!(error_text(&wrong), error_text(&missing), "{header}");
    }
    let listed = operators.list(with_token(ListProgramsRequest::default())).await;
    assert_eq!(listed.expect("is answered").into_inner().programs.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_fields_are_named() {
    let system = System::one_daemon().await;
    let mut operators = system.operators(0).await;
    let requests = [
        CreateProgramRequest { tenant: String::new(), ..valid_request() },
        CreateProgramRequest { tenant: "roof crew".to_owned(), ..valid_request() },
        CreateProgramRequest { tenant: "x".repeat(65), ..valid_request() },
        CreateProgramRequest { model: String::new(), ..valid_request() },
        CreateProgramRequest { budget_tokens: u64::MAX, ..valid_request() },
        CreateProgramRequest { idle_expiry_ms: u64::MAX, ..valid_request() },
        CreateProgramRequest { request_key: "x".repeat(65), ..valid_request() },
    ];
    let mut errors = Vec::new();
    for request in requests {
        let refused = operators.create(with_token(request)).await.expect_err("is refused");
        errors.push(error_text(&refused));
    }
    let show = ShowProgramRequest { program: "p-1".to_owned(), ..Default::default() };
    errors.push(error_text(&operators.show(with_token(show)).await.expect_err("is refused")));
    let list = ListProgramsRequest { limit: 1_001, ..Default::default() };
    errors.push(error_text(&operators.list(with_token(list)).await.expect_err("is refused")));
    let created =
        operators.create(with_token(valid_request())).await.expect("is created").into_inner();
    let raise = RaiseBudgetRequest { program: created.program.clone(), total_tokens: 999 };
    let lowered = operators.raise_budget(with_token(raise)).await.expect_err("is refused");
    errors.push(error_text(&lowered).replace(&created.program, "<program>"));
    let unknown = "p-0-00000000000000ff".to_owned();
    let show = ShowProgramRequest { program: unknown, ..Default::default() };
    errors.push(error_text(&operators.show(with_token(show)).await.expect_err("is refused")));
    insta::assert_snapshot!(errors.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_budget_defaults_to_the_configuration() {
    let system = System::one_daemon().await;
    let request = CreateProgramRequest { budget_tokens: 0, ..valid_request() };
    let created = system.operators(0).await.create(with_token(request)).await.expect("is created");
    let budget = created.into_inner().budget.expect("has one");
    let defaults = dahlia_configuration::Document::default().defaults;
    assert_eq!(budget.total_tokens, defaults.budget_tokens);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_request_key_creates_nothing_new() {
    let system = System::start(Plan { daemons: 2, ..Plan::default() }).await;
    let keyed = || CreateProgramRequest { request_key: "site-17".to_owned(), ..valid_request() };
    let first = system.operators(0).await.create(with_token(keyed())).await.expect("is created");
    let again = system.operators(1).await.create(with_token(keyed())).await.expect("is found");
    assert_eq!(first.get_ref().program, again.get_ref().program);
    let other = CreateProgramRequest { budget_tokens: 2_000, ..keyed() };
    let refused = system.operators(0).await.create(with_token(other)).await;
    let refused = refused.expect_err("another content under the key is refused");
    assert_eq!(refused.code(), Code::AlreadyExists, "{refused:?}");
    let listed = system.operators(1).await.list(with_token(ListProgramsRequest::default())).await;
    assert_eq!(listed.expect("is answered").into_inner().programs.len(), 1);
}

/// Runs `dahliactl` with the system's address and token.
async fn ctl(system: &System, words: &[&str]) -> Result<String, Failure> {
    let address = system.daemons[0].operators_address.to_string();
    let mut all = vec!["--address", &address, "--token", OPERATOR_TOKEN];
    all.extend(words);
    dahlia_ctl::run(Arguments::parse_args_default(&all).expect("valid flags")).await
}

#[tokio::test(flavor = "multi_thread")]
async fn command_line_shows_tables_and_json() {
    let system = System::one_daemon().await;
    let create = ["programs", "create", "--tenant", TENANT, "--model", MODEL, "--budget", "500"];
    let key = ["--request-key", "site-17"];
    let created = ctl(&system, &[create.as_slice(), key.as_slice()].concat()).await;
    let created = created.expect("is created");
    let program = created.lines().nth(1).and_then(|row| row.split_whitespace().next());
    let program = program.expect("a row").to_owned();
    let answer = system.ask(&program, "Fault code 31").await;
    assert_eq!(answer.call(), format!("{program}/0/1"));
    let mut shown = created;
    let commands: [&[&str]; 8] = [
        &["programs", "list"],
        &["programs", "show", &program],
        &["--output", "json", "budgets", "show", &program],
        &["budgets", "raise", &program, "--total", "900"],
        &["budgets", "show", &program],
        &["sessions", &program],
        &["--output", "json", "sessions", &program],
        &["programs", "list", "--tenant", "nobody"],
    ];
    for command in commands {
        shown += &format!("$ {}\n", command.join(" "));
        shown += &ctl(&system, command).await.expect("is answered");
    }
    // An engine's incarnation is the time of its start, which differs from run to run.
    let masked: Vec<String> = shown.lines().map(mask_incarnation).collect();
    insta::assert_snapshot!(masked.join("\n"));
}

fn mask_incarnation(line: &str) -> String {
    match line.split_once("incarnation\": ") {
        Some((before, _)) => format!("{before}incarnation\": <start>"),
        None => line.to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn command_line_fails_by_name_and_exit_code() {
    let system = System::one_daemon().await;
    let program = system.program_with(TENANT, 500).await.program;
    let commands: [&[&str]; 5] = [
        &["programs", "show", "p-0-00000000000000ff"],
        &["programs", "show", "seven"],
        &["budgets", "raise", &program, "--total", "1"],
        &["machines", "drain", "d77"],
        &["--token", "wrong", "programs", "list"],
    ];
    let mut shown = String::new();
    for command in commands {
        let failure = ctl(&system, command).await.expect_err("fails");
        let line = format!("$ {}\n{} {failure}\n", command.join(" "), exit_code(&failure));
        shown += &line.replace(&program, "<program>");
    }
    insta::assert_snapshot!(shown);
}

#[tokio::test]
async fn command_line_says_that_no_daemon_answers() {
    // Nothing listens on the discard port of the loopback address here.
    let words = ["--address", "127.0.0.1:9", "--token", "x", "programs", "list"];
    let arguments = Arguments::parse_args_default(&words).expect("valid flags");
    let failure = dahlia_ctl::run(arguments).await.expect_err("cannot connect");
    assert!(matches!(&failure, Failure::Connect { address, .. } if address == "127.0.0.1:9"));
    assert_eq!(exit_code(&failure), 3);
}

#[test]
fn every_error_has_its_exit_code() {
    let names = [
        "invalid_request",
        "unauthorized",
        "not_found",
        "program_closed",
        "out_of_order",
        "key_reused",
        "budget_exhausted",
        "too_large",
        "limit_reached",
        "overloaded",
        "not_run",
        "unknown",
        "answer_replaced",
        "configuration_conflict",
        "unavailable",
        "internal",
    ];
    let code = |name: &&str| {
        let name = (*name).to_owned();
        let failure =
            Failure::Refused { step: "asking", name, message: String::new(), retry_after_ms: None };
        exit_code(&failure)
    };
    let codes: Vec<u8> = names.iter().map(code).collect();
    assert_eq!(codes, [2, 6, 4, 4, 1, 5, 7, 2, 7, 3, 3, 1, 1, 5, 3, 1]);
}

/// Guards against a watch that a stopping daemon ends as if nothing could follow.
#[tokio::test(flavor = "multi_thread")]
async fn watch_ends_with_an_error_when_its_daemon_stops() {
    let mut system = System::one_daemon().await;
    let daemon = system.daemons.remove(0);
    let address = format!("http://{}", daemon.operators_address);
    let mut operators = ConfigurationClient::connect(address).await.expect("connects");
    let watch = operators.watch(with_token(WatchConfigurationRequest {})).await;
    let mut generations = watch.expect("is opened").into_inner();
    let first = generations.message().await.expect("is sent");
    assert_eq!(first.map(|first| first.generation), Some(1));
    daemon.stop();
    let ended = generations.message().await.expect_err("other generations may follow");
    insta::assert_snapshot!(error_text(&ended), @"Unavailable unavailable: the daemon is stopping");
}
