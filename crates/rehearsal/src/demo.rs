//! `rehearse demo`: several diagnoses through real daemons, one of which is killed on the way.

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

const PROGRAMS: usize = 4;
const TURNS: u32 = 5;
/// The turn of the first program in which its owner is killed.
const KILL_TURN: u32 = 3;
/// Budget of each program in tokens.
const BUDGET: u64 = 20_000;
const ANSWER_TOKENS: u64 = 60;
/// How long the engines may take to confirm that a closed program's memory is free.
const RELEASE_LIMIT: Duration = Duration::from_secs(15);
const RELEASE_POLL: Duration = Duration::from_millis(100);

const QUESTIONS: [&str; TURNS as usize] = [
    "The inverter shows fault 0x31 after the roof unit was rewired. [[tokens=60]]",
    "The string voltage reads 612 V on input two. What should I check? [[tokens=60]]",
    "The isolation test gives 0.9 megaohm. Is that within the limit? [[tokens=60]]",
    "Connector replaced. Walk me through the commissioning steps. [[tokens=60]]",
    "It feeds in now. Write the service note. [[tokens=60]]",
];

/// What one program's callers saw.
struct Seen {
    program: String,
    answers: Vec<Answer>,
    latency: Duration,
}

/// One line of the summary.
struct Summary {
    seen: Seen,
    spent: u64,
    total: u64,
    engines: Vec<String>,
    held: u64,
}

/// Runs the demo and prints its progress and summary.
///
/// # Errors
/// [`RehearsalError`] when a promise was seen broken, a process failed or the user interrupted.
pub async fn run(folder: Option<&Path>) -> Result<(), RehearsalError> {
    let scratch = TempDir::new()
        .map_err(|source| RehearsalError::File { path: std::env::temp_dir(), source })?;
    let folder = folder.unwrap_or(scratch.path());
    std::fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    tokio::select! {
        result = play(folder) => result,
        _ = tokio::signal::ctrl_c() => Err(RehearsalError::Interrupted),
    }
}

async fn play(folder: &Path) -> Result<(), RehearsalError> {
    let started = Instant::now();
    let plan = ClusterPlan::bayou_current();
    say(started, "starting the key-value service, 8 engines and 4 daemons in 4 zones");
    let mut cluster = Cluster::start(plan, folder).await?;
    cluster.wait_until_ready().await?;
    say(started, "every replica group has an owner");

    let programs = create_programs(&cluster).await?;
    say(started, &format!("{PROGRAMS} programs created"));
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
    say(started, &format!("killed {owner}, the owner of {}, in turn {KILL_TURN}", programs[0]));

    let seen = callers.await.map_err(|error| RehearsalError::Failed {
        message: format!("a caller's task failed: {error}"),
    })??;
    let _ = printing.await;
    let summaries = close_programs(&cluster, seen).await?;
    print_summary(&summaries, started);
    judge(&summaries)
}

async fn create_programs(cluster: &Cluster) -> Result<Vec<String>, RehearsalError> {
    let mut programs = Vec::new();
    let operators = cluster.operator_addresses();
    for index in 0..PROGRAMS {
        let mut order = operators.clone();
        order.rotate_left(index % operators.len());
        let mut operator = OperatorClient::connect(&order).await?;
        let created = operator.create_program("bayou-current", &cluster.plan.model, BUDGET).await?;
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
) -> Result<Vec<Seen>, RehearsalError> {
    let mut tasks = Vec::new();
    for (index, program) in programs.into_iter().enumerate() {
        let caller = Caller::new(gateways.clone(), index, credential.clone());
        let kill_now = (index == 0).then(|| kill_now.clone());
        tasks.push(tokio::spawn(diagnose(caller, program, kill_now, progress.clone())));
    }
    let mut seen = Vec::new();
    for task in tasks {
        let result = task.await.map_err(|error| RehearsalError::Failed {
            message: format!("a caller's task failed: {error}"),
        })?;
        seen.push(result?);
    }
    Ok(seen)
}

/// One diagnosis: turns with tool pauses, and a sub-agent in the middle.
async fn diagnose(
    caller: Caller,
    program: String,
    kill_now: Option<Arc<Notify>>,
    progress: mpsc::UnboundedSender<String>,
) -> Result<Seen, RehearsalError> {
    let started = Instant::now();
    let mut answers = Vec::new();
    for number in 1..=TURNS {
        let turn = turn(&program, 0, number, QUESTIONS[number as usize - 1]);
        let asked = caller.send_turn(&turn);
        if number == KILL_TURN
            && let Some(kill_now) = &kill_now
        {
            kill_now.notify_one();
        }
        let answer = asked.await?;
        report(&progress, &program, "turn", number, &answer);
        answers.push(answer);
        if number == 2 {
            let look_up = "Look up the warranty terms of this serial number. [[tokens=30]]";
            let answer = caller.send_turn(&self::turn(&program, 1, 1, look_up)).await?;
            report(&progress, &program, "sub-agent call", 1, &answer);
            answers.push(answer);
        }
        tool_pause(number).await;
    }
    Ok(Seen { program, answers, latency: started.elapsed() })
}

/// The caller's tool works for a while; the turn's engine may keep the context meanwhile.
async fn tool_pause(number: u32) {
    sleep(Duration::from_millis(100 + 150 * u64::from(number))).await;
}

fn turn(program: &str, chain: u32, number: u32, text: &str) -> Turn {
    Turn {
        program: program.to_owned(),
        chain,
        number,
        text: text.to_owned(),
        max_tokens: ANSWER_TOKENS,
    }
}

fn report(
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
    // Nobody reading means that the demo is over.
    let _ = progress.send(line);
}

async fn print_lines(mut lines: mpsc::UnboundedReceiver<String>, started: Instant) {
    while let Some(line) = lines.recv().await {
        say(started, &line);
    }
}

async fn close_programs(
    cluster: &Cluster,
    seen: Vec<Seen>,
) -> Result<Vec<Summary>, RehearsalError> {
    let mut operator = OperatorClient::connect(&cluster.operator_addresses()).await?;
    let mut summaries = Vec::new();
    for seen in seen {
        let before = operator.show_program(&seen.program).await?;
        let mut engines: Vec<String> = before.held.iter().map(|held| held.engine.clone()).collect();
        engines.sort();
        operator.close_program(&seen.program).await?;
        let held = wait_for_release(cluster, &mut operator, &seen.program).await?;
        let budget = before.budget.unwrap_or_default();
        summaries.push(Summary {
            seen,
            spent: budget.spent_tokens,
            total: budget.total_tokens,
            engines,
            held,
        });
    }
    Ok(summaries)
}

/// Waits until nobody holds or owes anything for the program. Returns what is still held.
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
        let owed = operator.show_program(program).await?.held.len();
        if (held == 0 && owed == 0) || started.elapsed() > RELEASE_LIMIT {
            return Ok(held);
        }
        sleep(RELEASE_POLL).await;
    }
}

fn print_summary(summaries: &[Summary], started: Instant) {
    println!();
    println!(
        "{:<28} {:>6} {:>11} {:>15} {:>11}  engines",
        "program", "turns", "latency ms", "budget", "cache held"
    );
    for summary in summaries {
        println!(
            "{:<28} {:>6} {:>11} {:>15} {:>11}  {}",
            summary.seen.program,
            summary.seen.answers.len(),
            summary.seen.latency.as_millis(),
            format!("{}/{}", summary.spent, summary.total),
            summary.held,
            summary.engines.join(",")
        );
    }
    println!("done after {:.1} s", started.elapsed().as_secs_f64());
}

/// Checks what the callers saw against what is promised.
fn judge(summaries: &[Summary]) -> Result<(), RehearsalError> {
    for summary in summaries {
        let Seen { program, answers, .. } = &summary.seen;
        let expected = TURNS as usize + 1;
        if answers.len() != expected {
            return broken(format!("{program} got {} of {expected} answers", answers.len()));
        }
        // The stand-in engine names the program in each answer, so a mix-up shows.
        if let Some(other) = answers.iter().find(|answer| !answer.text.contains(program)) {
            return broken(format!("{program} got another's answer: {:.60}", other.text));
        }
        if summary.spent > summary.total {
            return broken(format!("{program} spent {} of {}", summary.spent, summary.total));
        }
        if summary.held > 0 {
            return broken(format!("{program} is closed and still holds {} tokens", summary.held));
        }
    }
    Ok(())
}

fn broken(message: String) -> Result<(), RehearsalError> {
    Err(RehearsalError::Failed { message })
}

fn say(started: Instant, line: &str) {
    println!("{:6.2} s  {line}", started.elapsed().as_secs_f64());
}
