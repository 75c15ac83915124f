//! `rehearse demo`: runs several programs through real daemons and kills one daemon meanwhile.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use tempfile::TempDir;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep};

use crate::RehearsalError;
use crate::caller::{Answer, Caller, Turn};
use crate::cluster::{Cluster, ClusterPlan};
use crate::error::FileSnafu;
use crate::operator::OperatorClient;

const PROGRAM_COUNT: usize = 4;
const TURN_COUNT: u32 = 5;
/// The owner of the first program is killed during this turn.
const KILL_TURN: u32 = 3;
/// Budget of each program in tokens.
const BUDGET_TOKENS: u64 = 20_000;
const ANSWER_TOKENS: u64 = 60;
/// Timeout for the engines to confirm that a closed program's memory is free.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);

const QUESTIONS: [&str; TURN_COUNT as usize] = [
    "The inverter shows fault 0x31 after the roof unit was rewired. [[tokens=60]]",
    "The string voltage reads 612 V on input two. What should I check? [[tokens=60]]",
    "The isolation test gives 0.9 megaohm. Is that within the limit? [[tokens=60]]",
    "Connector replaced. Walk me through the commissioning steps. [[tokens=60]]",
    "It feeds in now. Write the service note. [[tokens=60]]",
];

/// The answers to one program and the time that it took.
struct ProgramResult {
    program: String,
    answers: Vec<Answer>,
    latency: Duration,
}

/// One row of the printed summary.
struct ProgramSummary {
    result: ProgramResult,
    spent: u64,
    total: u64,
    engines: Vec<String>,
    held: u64,
}

/// Runs the demo and prints its progress and summary.
///
/// # Errors
/// [`RehearsalError`] when a result differs from what is promised, a process failed or the user
/// interrupts.
pub async fn run(folder: Option<&Path>) -> Result<(), RehearsalError> {
    let scratch = TempDir::new()
        .map_err(|source| RehearsalError::File { path: std::env::temp_dir(), source })?;
    let folder = folder.unwrap_or(scratch.path());
    std::fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    tokio::select! {
        result = run_programs(folder) => result,
        _ = tokio::signal::ctrl_c() => Err(RehearsalError::Interrupted),
    }
}

async fn run_programs(folder: &Path) -> Result<(), RehearsalError> {
    let started = Instant::now();
    let plan = ClusterPlan::bayou_current();
    print_progress(started, "starting the key-value service, 8 engines and 4 daemons in 4 zones");
    let mut cluster = Cluster::start(plan, folder).await?;
    cluster.wait_until_ready().await?;
    print_progress(started, "every replica group has an owner");

    let programs = create_programs(&cluster).await?;
    print_progress(started, &format!("{PROGRAM_COUNT} programs created"));
    let kill_now = Arc::new(Notify::new());
    let (progress, lines) = mpsc::unbounded_channel();
    let callers = tokio::spawn(run_callers(
        cluster.gateway_addresses(),
        programs.clone(),
        cluster.issue_credential("bayou-current"),
        kill_now.clone(),
        progress,
    ));
    let printing = tokio::spawn(print_lines(lines, started));

    kill_now.notified().await;
    let mut operator = OperatorClient::connect(&cluster.operator_addresses()).await?;
    let owner = operator.show_program(&programs[0]).await?.owner;
    cluster.kill_daemon(&owner).await?;
    print_progress(
        started,
        &format!("killed {owner}, the owner of {}, in turn {KILL_TURN}", programs[0]),
    );

    let results = callers.await.map_err(|error| RehearsalError::Failed {
        message: format!("a caller's task failed: {error}"),
    })??;
    let _ = printing.await;
    let summaries = close_programs(&cluster, results).await?;
    print_summary(&summaries, started);
    check_results(&summaries)
}

async fn create_programs(cluster: &Cluster) -> Result<Vec<String>, RehearsalError> {
    let mut programs = Vec::new();
    let operators = cluster.operator_addresses();
    for index in 0..PROGRAM_COUNT {
        let mut order = operators.clone();
        order.rotate_left(index % operators.len());
        let mut operator = OperatorClient::connect(&order).await?;
        let created =
            operator.create_program("bayou-current", &cluster.plan.model, BUDGET_TOKENS).await?;
        programs.push(created.program);
    }
    Ok(programs)
}

async fn run_callers(
    gateways: Vec<SocketAddr>,
    programs: Vec<String>,
    credential: String,
    kill_now: Arc<Notify>,
    progress: mpsc::UnboundedSender<String>,
) -> Result<Vec<ProgramResult>, RehearsalError> {
    let mut tasks = Vec::new();
    for (index, program) in programs.into_iter().enumerate() {
        let caller = Caller::new(gateways.clone(), index, credential.clone());
        let kill_now = (index == 0).then(|| kill_now.clone());
        tasks.push(tokio::spawn(run_program(caller, program, kill_now, progress.clone())));
    }
    let mut results = Vec::new();
    for task in tasks {
        let result = task.await.map_err(|error| RehearsalError::Failed {
            message: format!("a caller's task failed: {error}"),
        })?;
        results.push(result?);
    }
    Ok(results)
}

/// Runs one program: turns with pauses for tool calls, and one call of a sub-agent.
async fn run_program(
    caller: Caller,
    program: String,
    kill_now: Option<Arc<Notify>>,
    progress: mpsc::UnboundedSender<String>,
) -> Result<ProgramResult, RehearsalError> {
    let started = Instant::now();
    let mut answers = Vec::new();
    for number in 1..=TURN_COUNT {
        let turn = build_turn(&program, 0, number, QUESTIONS[number as usize - 1]);
        let pending_answer = caller.send_turn(&turn);
        if number == KILL_TURN
            && let Some(kill_now) = &kill_now
        {
            kill_now.notify_one();
        }
        let answer = pending_answer.await?;
        send_progress(&progress, &program, "turn", number, &answer);
        answers.push(answer);
        if number == 2 {
            let look_up = "Look up the warranty terms of this serial number. [[tokens=30]]";
            let answer = caller.send_turn(&build_turn(&program, 1, 1, look_up)).await?;
            send_progress(&progress, &program, "sub-agent call", 1, &answer);
            answers.push(answer);
        }
        wait_for_tool(number).await;
    }
    Ok(ProgramResult { program, answers, latency: started.elapsed() })
}

/// Simulates a tool call; the engine may keep the context of the turn meanwhile.
async fn wait_for_tool(number: u32) {
    sleep(Duration::from_millis(100 + 150 * u64::from(number))).await;
}

fn build_turn(program: &str, chain: u32, number: u32, text: &str) -> Turn {
    Turn {
        program: program.to_owned(),
        chain,
        number,
        text: text.to_owned(),
        max_tokens: ANSWER_TOKENS,
    }
}

fn send_progress(
    progress: &mpsc::UnboundedSender<String>,
    program: &str,
    what: &str,
    number: u32,
    answer: &Answer,
) {
    let lost = match answer.gateways_lost {
        0 => String::new(),
        lost => format!(", {lost} times at another gateway"),
    };
    let line = format!(
        "{program} {what} {number}: first text after {} ms, whole after {} ms{lost}",
        answer.first_text_latency.as_millis(),
        answer.total_latency.as_millis()
    );
    // The receiver is closed only when the demo is over.
    let _ = progress.send(line);
}

async fn print_lines(mut lines: mpsc::UnboundedReceiver<String>, started: Instant) {
    while let Some(line) = lines.recv().await {
        print_progress(started, &line);
    }
}

async fn close_programs(
    cluster: &Cluster,
    results: Vec<ProgramResult>,
) -> Result<Vec<ProgramSummary>, RehearsalError> {
    let mut operator = OperatorClient::connect(&cluster.operator_addresses()).await?;
    let mut summaries = Vec::new();
    for result in results {
        let before = operator.show_program(&result.program).await?;
        let mut engines: Vec<String> = before.held.iter().map(|held| held.engine.clone()).collect();
        engines.sort();
        operator.close_program(&result.program).await?;
        let held = wait_for_release(cluster, &mut operator, &result.program).await?;
        let budget = before.budget.unwrap_or_default();
        summaries.push(ProgramSummary {
            result,
            spent: budget.spent_tokens,
            total: budget.total_tokens,
            engines,
            held,
        });
    }
    Ok(summaries)
}

/// Waits until no engine holds tokens of the program and no release is pending, or until the
/// timeout. Returns the tokens still held.
async fn wait_for_release(
    cluster: &Cluster,
    operator: &mut OperatorClient,
    program: &str,
) -> Result<u64, RehearsalError> {
    let id =
        program.parse().map_err(|error| RehearsalError::Failed { message: format!("{error}") })?;
    let started = Instant::now();
    loop {
        let held = cluster.read_held_tokens(id).await?;
        let pending_releases = operator.show_program(program).await?.held.len();
        if (held == 0 && pending_releases == 0) || started.elapsed() > RELEASE_TIMEOUT {
            return Ok(held);
        }
        sleep(RELEASE_POLL_INTERVAL).await;
    }
}

fn print_summary(summaries: &[ProgramSummary], started: Instant) {
    println!();
    println!(
        "{:<28} {:>6} {:>11} {:>15} {:>11}  engines",
        "program", "turns", "latency ms", "budget", "cache held"
    );
    for summary in summaries {
        println!(
            "{:<28} {:>6} {:>11} {:>15} {:>11}  {}",
            summary.result.program,
            summary.result.answers.len(),
            summary.result.latency.as_millis(),
            format!("{}/{}", summary.spent, summary.total),
            summary.held,
            summary.engines.join(",")
        );
    }
    println!("done after {:.1} s", started.elapsed().as_secs_f64());
}

/// Checks the answers, budgets and held tokens against what is promised.
fn check_results(summaries: &[ProgramSummary]) -> Result<(), RehearsalError> {
    for summary in summaries {
        let ProgramResult { program, answers, .. } = &summary.result;
        let expected = TURN_COUNT as usize + 1;
        if answers.len() != expected {
            return failure(format!("{program} got {} of {expected} answers", answers.len()));
        }
        // The stand-in engine names the program in each answer, so an exchanged answer is detected.
        if let Some(other) = answers.iter().find(|answer| !answer.text.contains(program)) {
            return failure(format!("{program} got another's answer: {:.60}", other.text));
        }
        if summary.spent > summary.total {
            return failure(format!("{program} spent {} of {}", summary.spent, summary.total));
        }
        if summary.held > 0 {
            return failure(format!("{program} is closed and still holds {} tokens", summary.held));
        }
    }
    Ok(())
}

fn failure(message: String) -> Result<(), RehearsalError> {
    Err(RehearsalError::Failed { message })
}

fn print_progress(started: Instant, line: &str) {
    println!("{:6.2} s  {line}", started.elapsed().as_secs_f64());
}
