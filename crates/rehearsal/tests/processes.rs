//! Clusters of real processes: kills and planned stops of daemons while answers are streamed.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use dahlia_node::HistorySettings;
use dahlia_rehearsal::RehearsalError;
use dahlia_rehearsal::caller::{Answer, Caller, Turn};
use dahlia_rehearsal::cluster::{Cluster, ClusterPlan};
use dahlia_rehearsal::operator::OperatorClient;
use dahlia_rehearsal::processes::{self, ChildProcess};
use dahlia_standins::ControlClient;
use dahlia_standins::engine::EngineObservation;
use dahlia_store::{ChunkStore, FolderDisk, StoreSettings};
use dahlia_types::{ChunkKey, ProgramId};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

const REHEARSE: &str = env!("CARGO_BIN_EXE_rehearse");
const TENANT: &str = "bayou-current";
/// Tokens of an answer whose daemon is killed: at real speed the stream lasts some seconds.
const ANSWER_TOKENS: u64 = 120;
/// Tokens of an answer that is still streamed when a planned stop has begun.
const LONG_ANSWER_TOKENS: u64 = 600;
/// Timeout for any expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The cluster's `daemon.drain_ms` plus time to exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);

type AnswerTask = JoinHandle<Result<Answer, RehearsalError>>;

struct Rehearsal {
    cluster: Cluster,
    operator: OperatorClient,
    folder: TempDir,
}

impl Rehearsal {
    async fn start() -> Self {
        Self::start_with_history(ClusterPlan::bayou_current().history).await
    }

    /// Starts a cluster that moves each turn but the newest one to store daemons.
    async fn start_with_moved_turns() -> Self {
        Self::start_with_history(HistorySettings { inline_bytes: 0, ..HistorySettings::default() })
            .await
    }

    async fn start_with_history(history: HistorySettings) -> Self {
        processes::set_child_program(REHEARSE);
        let folder = TempDir::new().expect("a folder");
        let plan = ClusterPlan { speed: 1.0, history, ..ClusterPlan::bayou_current() };
        let cluster = Cluster::start(plan, folder.path()).await.expect("the cluster starts");
        cluster.wait_until_ready().await.expect("the cluster is ready");
        let operator =
            OperatorClient::connect(&cluster.operator_addresses()).await.expect("a daemon answers");
        Self { cluster, operator, folder }
    }

    /// Creates a program. Returns it and the index of the daemon that owns it.
    async fn create_program(&mut self) -> (String, usize) {
        let model = self.cluster.plan.model.clone();
        let created =
            self.operator.create_program(TENANT, &model, 100_000).await.expect("is created");
        let owns = |name: &String| *name == created.owner;
        let names: Vec<String> =
            self.cluster.daemons.iter().map(|daemon| daemon.name.clone()).collect();
        let owner = names.iter().position(owns).expect("a daemon owns it");
        (created.program, owner)
    }

    /// Sends a turn to the gateway with index `first`, in a task of its own.
    fn send_turn(&self, program: &str, number: u32, first: usize) -> AnswerTask {
        self.send_turn_of_length(program, number, first, ANSWER_TOKENS)
    }

    fn send_turn_of_length(
        &self,
        program: &str,
        number: u32,
        first: usize,
        max_tokens: u64,
    ) -> AnswerTask {
        let caller = Caller::new(
            self.cluster.gateway_addresses(),
            first,
            self.cluster.issue_credential(TENANT),
        );
        let turn = Turn {
            program: program.to_owned(),
            chain: 0,
            number,
            text: "Fault code 31 on the roof".to_owned(),
            max_tokens,
        };
        tokio::spawn(async move { caller.send_turn(&turn).await })
    }

    /// Sends a turn with a streamed answer as a caller of HTTP/1.0, and returns the connection.
    async fn open_stream_without_chunks(&self, program: &str, position: usize) -> TcpStream {
        let body = serde_json::json!({
            "model": "",
            "stream": true,
            "max_tokens": LONG_ANSWER_TOKENS,
            "messages": [{"role": "user", "content": "Fault code 31 on the roof"}],
        });
        let body = body.to_string();
        let credential = self.cluster.issue_credential(TENANT);
        let request = format!(
            "POST /v1/chat/completions HTTP/1.0\r\nauthorization: Bearer {credential}\r\n\
             x-program-id: {program}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let gateway = self.cluster.daemons[position].gateway_address;
        let mut stream = TcpStream::connect(gateway).await.expect("the gateway accepts");
        stream.write_all(request.as_bytes()).await.expect("the gateway reads");
        stream
    }

    /// Requests a planned stop of a daemon and waits until it has begun.
    async fn begin_planned_stop(&mut self, position: usize) -> ChildProcess {
        let process = self.cluster.daemons[position].process.take().expect("it runs");
        process.terminate().expect("is signalled");
        let gateway = self.cluster.daemons[position].gateway_address;
        let since = Instant::now();
        while is_ready(gateway).await {
            assert!(since.elapsed() < EVENT_TIMEOUT, "the planned stop does not begin");
            sleep(POLL_INTERVAL).await;
        }
        process
    }

    /// Sends a new request to a stopping daemon. Returns the headers of its refusal.
    async fn read_refusal(&self, program: &str, position: usize) -> [Option<String>; 3] {
        let url = format!(
            "http://{}/v1/chat/completions",
            self.cluster.daemons[position].gateway_address
        );
        let body = serde_json::json!({"messages": [{"role": "user", "content": "x"}]});
        let request = reqwest::Client::new().post(url).json(&body);
        let request = request.header("x-program-id", program);
        let request =
            request.bearer_auth(self.cluster.issue_credential(TENANT)).timeout(EVENT_TIMEOUT);
        let answer = request.send().await.expect("is answered");
        ["x-error", "x-should-retry", "retry-after"].map(|name| {
            let value = answer.headers().get(name)?;
            Some(value.to_str().expect("plain characters").to_owned())
        })
    }

    /// Counts the attempts of a program that engines have started.
    async fn count_started(&self, program: &str) -> usize {
        let program: ProgramId = program.parse().expect("a program");
        let mut started = 0;
        for engine in &self.cluster.engines {
            let control = ControlClient::new(engine.address);
            let observed = control.observations::<EngineObservation>(0).await.expect("control");
            let is_start = |event: &EngineObservation| {
                matches!(event, EngineObservation::Started { attempt, .. }
                    if attempt.call.program == program)
            };
            started += observed.observations.iter().filter(|seen| is_start(&seen.event)).count();
        }
        started
    }

    async fn wait_until_started(&self, program: &str, count: usize) {
        let since = Instant::now();
        while self.count_started(program).await < count {
            assert!(since.elapsed() < EVENT_TIMEOUT, "no engine started the call");
            sleep(POLL_INTERVAL).await;
        }
    }
}

async fn wait_for_answer(asked: AnswerTask) -> Answer {
    asked.await.expect("no panic").expect("a whole answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_of_the_owner_leaves_the_answer_whole_and_run_once() {
    let mut rehearsal = Rehearsal::start().await;
    let (program, owner) = rehearsal.create_program().await;
    let gateway = (owner + 1) % 4;
    let asked = rehearsal.send_turn(&program, 1, gateway);
    rehearsal.wait_until_started(&program, 1).await;
    let name = rehearsal.cluster.daemons[owner].name.clone();
    rehearsal.cluster.kill_daemon(&name).await.expect("is killed");
    let answer = wait_for_answer(asked).await;
    assert_eq!(answer.gateways_lost, 0, "its own gateway followed the new owner");
    assert!(answer.text.starts_with(&format!("[{program}/0/1 ")), "{}", answer.text);
    let again = wait_for_answer(rehearsal.send_turn(&program, 1, gateway)).await;
    assert_eq!(answer.text, again.text);
    assert_eq!(rehearsal.count_started(&program).await, 1);
    let next = wait_for_answer(rehearsal.send_turn(&program, 2, gateway)).await;
    assert!(next.text.starts_with(&format!("[{program}/0/2 ")), "{}", next.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_of_the_gateway_leaves_the_answer_whole_and_run_once() {
    let mut rehearsal = Rehearsal::start().await;
    let (program, owner) = rehearsal.create_program().await;
    let gateway = (owner + 1) % 4;
    let asked = rehearsal.send_turn(&program, 1, gateway);
    rehearsal.wait_until_started(&program, 1).await;
    let name = rehearsal.cluster.daemons[gateway].name.clone();
    rehearsal.cluster.kill_daemon(&name).await.expect("is killed");
    let answer = wait_for_answer(asked).await;
    assert!(answer.gateways_lost >= 1, "the caller had to go elsewhere");
    let again = wait_for_answer(rehearsal.send_turn(&program, 1, owner)).await;
    assert_eq!(answer.text, again.text);
    assert_eq!(rehearsal.count_started(&program).await, 1);
}

/// Guards against a broken-off stream that a caller of HTTP/1.0, such as a proxy, has to take for whole: without
/// chunks the end of its connection is the end of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_of_the_gateway_resets_the_stream_of_a_caller_without_chunks() {
    let mut rehearsal = Rehearsal::start().await;
    let (program, gateway) = rehearsal.create_program().await;
    let mut stream = rehearsal.open_stream_without_chunks(&program, gateway).await;
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("data: ") {
        let read = timeout(EVENT_TIMEOUT, stream.read_buf(&mut received)).await;
        assert_ne!(read.expect("an event comes").expect("the gateway runs"), 0);
    }
    let name = rehearsal.cluster.daemons[gateway].name.clone();
    rehearsal.cluster.kill_daemon(&name).await.expect("is killed");
    let rest = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut received)).await;
    let text = String::from_utf8_lossy(&received);
    assert!(!text.contains("[DONE]"), "the answer was whole before the kill: {text}");
    let end = rest.expect("the connection ends").map_err(|error| error.kind());
    assert_eq!(end, Err(io::ErrorKind::ConnectionReset));
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_no_request() {
    let mut rehearsal = Rehearsal::start().await;
    // The stopping daemon is owner and gateway of one stream, and only gateway of the other.
    let (owned, stopping) = rehearsal.create_program().await;
    let other = rehearsal.cluster.daemons[(stopping + 1) % 4].operators_address;
    rehearsal.operator = OperatorClient::connect(&[other]).await.expect("a daemon answers");
    let (passing, owner) = rehearsal.create_program().await;
    assert_ne!(owner, stopping, "a daemon takes new programs itself");
    let ask = |program| rehearsal.send_turn_of_length(program, 1, stopping, LONG_ANSWER_TOKENS);
    let asked = [ask(&owned), ask(&passing)];
    rehearsal.wait_until_started(&owned, 1).await;
    rehearsal.wait_until_started(&passing, 1).await;
    let mut process = rehearsal.begin_planned_stop(stopping).await;
    let refused = rehearsal.read_refusal(&passing, stopping).await;
    assert_eq!(refused, ["unavailable", "true", "1"].map(|text| Some(text.to_owned())));
    assert!(!asked[0].is_finished(), "new work was refused at once");
    for asked in asked {
        let answer = wait_for_answer(asked).await;
        assert_eq!(answer.gateways_lost, 0, "its stream was cut");
    }
    let status = process.wait_for_exit(STOP_TIMEOUT).await.expect("ends within its bound");
    assert_eq!(status.code(), Some(0));
    assert_eq!(rehearsal.count_started(&owned).await, 1);
    assert_eq!(rehearsal.count_started(&passing).await, 1);
    let next = wait_for_answer(rehearsal.send_turn(&owned, 2, (stopping + 1) % 4)).await;
    assert!(next.text.starts_with(&format!("[{owned}/0/2 ")), "{}", next.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_a_planned_stop_at_once() {
    let mut rehearsal = Rehearsal::start().await;
    let (program, stopping) = rehearsal.create_program().await;
    let asked = rehearsal.send_turn_of_length(&program, 1, stopping, LONG_ANSWER_TOKENS);
    rehearsal.wait_until_started(&program, 1).await;
    let mut process = rehearsal.begin_planned_stop(stopping).await;
    assert!(!asked.is_finished(), "the stream is still under way");
    process.terminate().expect("is signalled");
    process.wait_for_exit(EVENT_TIMEOUT).await.expect("ends");
    // The process exits before the stream ends; the caller continues at another gateway.
    assert!(!asked.is_finished(), "it did not wait for the stream");
    let answer = wait_for_answer(asked).await;
    assert!(answer.gateways_lost >= 1);
    assert_eq!(rehearsal.count_started(&program).await, 1);
}

/// A daemon ended at once when another process had started as the same daemon, and cut the streams of its
/// callers, also those whose programs others own.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_a_later_process_replaces_cuts_no_stream_of_another_owner() {
    let mut rehearsal = Rehearsal::start().await;
    let other = rehearsal.cluster.daemons[0].operators_address;
    rehearsal.operator = OperatorClient::connect(&[other]).await.expect("a daemon answers");
    let (program, owner) = rehearsal.create_program().await;
    assert_ne!(owner, WITHOUT_STORE, "a daemon takes new programs itself");
    let asked = rehearsal.send_turn_of_length(&program, 1, WITHOUT_STORE, LONG_ANSWER_TOKENS);
    rehearsal.wait_until_started(&program, 1).await;
    let _later = rehearsal.cluster.start_daemon(WITHOUT_STORE).await.expect("it starts");
    let earlier = &mut rehearsal.cluster.daemons[WITHOUT_STORE];
    let mut process = earlier.process.take().expect("it runs");
    let status = process.wait_for_exit(STOP_TIMEOUT).await.expect("ends within its bound");
    assert_ne!(status.code(), Some(0), "nobody ordered it to stop");
    let answer = wait_for_answer(asked).await;
    assert_eq!(answer.gateways_lost, 0, "its stream was cut");
    assert_eq!(rehearsal.count_started(&program).await, 1);
}

/// Turns of a program whose history is moved to store daemons.
const TURNS: u32 = 10;
/// Tokens of their answers: enough for the number of the turn, so that no two turns have the same text.
const SHORT_ANSWER_TOKENS: u64 = 32;
/// The only daemon without a data folder.
const WITHOUT_STORE: usize = 3;

impl Rehearsal {
    /// Creates a program that the daemon without a data folder owns, and runs turns of it.
    async fn run_turns(&mut self) -> String {
        let own = self.cluster.daemons[WITHOUT_STORE].operators_address;
        self.operator = OperatorClient::connect(&[own]).await.expect("the daemon answers");
        let (program, owner) = self.create_program().await;
        assert_eq!(owner, WITHOUT_STORE, "a daemon takes new programs itself");
        for number in 1..=TURNS {
            wait_for_answer(self.send_short_turn(&program, number)).await;
        }
        program
    }

    fn send_short_turn(&self, program: &str, number: u32) -> AnswerTask {
        self.send_turn_of_length(program, number, 0, SHORT_ANSWER_TOKENS)
    }

    fn chunks_folder(&self, daemon: usize) -> PathBuf {
        self.folder.path().join(format!("data-d{}", daemon + 1)).join("chunks")
    }

    /// Returns the chunks in the files of a daemon.
    fn stored_chunks(&self, daemon: usize) -> BTreeSet<ChunkKey> {
        let copy = TempDir::new().expect("a folder");
        for file in fs::read_dir(self.chunks_folder(daemon)).expect("the folder can be read") {
            let file = file.expect("the folder can be read");
            fs::copy(file.path(), copy.path().join(file.file_name())).expect("can be copied");
        }
        let disk = FolderDisk::open(copy.path()).expect("the folder can be opened");
        let opened = ChunkStore::open(Box::new(disk), StoreSettings::default());
        opened.expect("the store can be read").0.keys(|_| true).into_iter().collect()
    }

    /// Waits until the chunks of all turns but the newest one have been stored by `daemons` together, each
    /// `copies` times.
    async fn wait_until_stored(&self, daemons: &[usize], copies: usize) {
        let since = Instant::now();
        loop {
            let stored: Vec<_> = daemons.iter().map(|daemon| self.stored_chunks(*daemon)).collect();
            let all: BTreeSet<ChunkKey> = stored.iter().flatten().copied().collect();
            let has_copies =
                |key: &ChunkKey| stored.iter().filter(|keys| keys.contains(key)).count() >= copies;
            if all.len() + 1 == TURNS as usize && all.iter().all(has_copies) {
                return;
            }
            assert!(since.elapsed() < EVENT_TIMEOUT, "only {stored:?}");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the owner, whose successor knows no turn that was moved, and runs the next turn.
    async fn continue_at_the_next_owner(&mut self, program: &str) {
        let name = self.cluster.daemons[WITHOUT_STORE].name.clone();
        self.cluster.kill_daemon(&name).await.expect("is killed");
        let next = wait_for_answer(self.send_short_turn(program, TURNS + 1)).await;
        let start = format!("[{program}/0/{} ", TURNS + 1);
        assert!(next.text.starts_with(&start), "{}", next.text);
    }
}

/// Guards against programs that cannot go on after a store daemon has lost chunks that it had acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_whose_chunks_one_store_lost_is_read_from_another_copy() {
    let mut rehearsal = Rehearsal::start_with_moved_turns().await;
    let program = rehearsal.run_turns().await;
    rehearsal.wait_until_stored(&[0, 1, 2], 2).await;
    for file in fs::read_dir(rehearsal.chunks_folder(0)).expect("the folder can be read") {
        let path = file.expect("the folder can be read").path();
        let damaged =
            fs::read(&path).expect("the segment can be read").into_iter().map(|byte| !byte);
        fs::write(&path, damaged.collect::<Vec<u8>>()).expect("the segment can be written");
    }
    rehearsal.continue_at_the_next_owner(&program).await;
}

/// Guards against turns that stay in the replicas' memory for as long as one store daemon refuses chunks.
#[tokio::test(flavor = "multi_thread")]
async fn turns_are_moved_to_other_stores_while_one_refuses_chunks() {
    let mut rehearsal = Rehearsal::start_with_moved_turns().await;
    // Without its folder the store cannot append to any file.
    fs::remove_dir_all(rehearsal.chunks_folder(0)).expect("the folder can be removed");
    let program = rehearsal.run_turns().await;
    rehearsal.wait_until_stored(&[1, 2], 2).await;
    rehearsal.continue_at_the_next_owner(&program).await;
}

/// Whether the daemon reports that it is ready. One that does not answer is not ready.
async fn is_ready(gateway: std::net::SocketAddr) -> bool {
    let answer = reqwest::get(format!("http://{gateway}/readyz")).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_tool_leaves_no_process() {
    let mut tool = Command::new(REHEARSE)
        .args(["load", "--programs", "2", "--turns", "100000"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("the tool starts");
    let id = tool.id().expect("it runs");
    // A key-value service, eight engines and four daemons.
    let since = Instant::now();
    while children_of(id).len() < 13 {
        assert!(since.elapsed() < EVENT_TIMEOUT, "the tool does not start its processes");
        sleep(POLL_INTERVAL).await;
    }
    let children = children_of(id);
    tool.kill().await.expect("is killed");
    let since = Instant::now();
    while children.iter().any(|child| is_rehearse(*child)) {
        assert!(since.elapsed() < EVENT_TIMEOUT, "processes are left");
        sleep(POLL_INTERVAL).await;
    }
}

/// Processes whose parent is `parent`.
fn children_of(parent: u32) -> BTreeSet<u32> {
    let entries = fs::read_dir("/proc").expect("Linux lists processes there");
    let ids = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    ids.filter(|id: &u32| parent_of(*id) == Some(parent)).collect()
}

fn parent_of(process: u32) -> Option<u32> {
    let status = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name in parentheses may contain spaces; state and parent follow it.
    let (_, rest) = status.rsplit_once(") ")?;
    rest.split_whitespace().nth(1)?.parse().ok()
}

/// Whether the process with this id runs the tool; the system may reuse the id of an ended process.
fn is_rehearse(process: u32) -> bool {
    let line = fs::read(format!("/proc/{process}/cmdline")).unwrap_or_default();
    line.starts_with(REHEARSE.as_bytes())
}
