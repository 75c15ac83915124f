//! Child processes that end with the tool.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::OnceLock;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::RehearsalError;
use crate::error::{FileSnafu, ProcessSnafu};

/// How long a process may take to announce that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How the lines begin with which processes announce their addresses. Log lines may come before them, since a
/// thread of its own writes these to the same output.
const READY_LINE_PREFIXES: [&str; 2] = ["ready ", "listening "];

/// Environment variable of processes started by this tool: they exit when their standard input
/// closes.
const END_WITH_STDIN_VARIABLE: &str = "DAHLIA_END_WITH_STDIN";

/// In a process started by this tool: exits when the tool has ended for whatever reason.
pub fn end_with_parent() {
    if std::env::var_os(END_WITH_STDIN_VARIABLE).is_none() {
        return;
    }
    std::thread::spawn(|| {
        let mut input = std::io::stdin();
        // The tool writes nothing, so the read returns only when the other end closes.
        let _ = std::io::copy(&mut input, &mut std::io::sink());
        std::process::exit(0);
    });
}

/// The binary that children run, if it is not the running one.
static PROGRAM_PATH: OnceLock<PathBuf> = OnceLock::new();

/// Makes children run the binary at `path`. Tests need this, as their
/// own binary is not `rehearse`. Only the first call in a process has an effect.
pub fn set_child_program(path: impl Into<PathBuf>) {
    PROGRAM_PATH.get_or_init(|| path.into());
}

fn program_path() -> io::Result<PathBuf> {
    PROGRAM_PATH.get().cloned().map_or_else(std::env::current_exe, Ok)
}

/// A process started by this tool, killed when it is dropped.
pub struct ChildProcess {
    name: String,
    child: Child,
    /// Pipe that closes when this tool ends; see [`end_with_parent`].
    #[allow(dead_code)]
    stdin_pipe: Option<ChildStdin>,
    lines: mpsc::UnboundedReceiver<String>,
}

impl ChildProcess {
    /// Starts the child binary with `arguments`, waits until it announces that it is ready and returns that
    /// line. What it writes to standard error goes to `<folder>/<name>.log`.
    ///
    /// # Errors
    /// [`RehearsalError`] when it cannot be started or is not ready in time.
    pub async fn start(
        name: &str,
        arguments: &[String],
        folder: &Path,
    ) -> Result<(Self, String), RehearsalError> {
        let path = folder.join(format!("{name}.log"));
        let log = File::create(&path).context(FileSnafu { path: &path })?;
        let program = program_path().context(ProcessSnafu { step: "finding", name })?;
        let mut child = Command::new(program)
            .args(arguments)
            .env(END_WITH_STDIN_VARIABLE, "1")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()
            .context(ProcessSnafu { step: "starting", name })?;
        let output = child.stdout.take();
        let stdin_pipe = child.stdin.take();
        let (sender, printed) = mpsc::unbounded_channel();
        let mut process = Self { name: name.to_owned(), child, stdin_pipe, lines: printed };
        let Some(output) = output else {
            return Err(process.not_ready("its output is not readable"));
        };
        let mut output = BufReader::new(output);
        match timeout(READY_TIMEOUT, read_ready_line(&mut output)).await {
            Ok(Ok(Some(line))) => {
                // Later output is always read, so that the process does not block on a full pipe.
                tokio::spawn(async move {
                    while let Ok(Some(line)) = read_line(&mut output).await {
                        let _ = sender.send(line);
                    }
                });
                Ok((process, line))
            }
            Ok(Ok(None)) => {
                let log = std::fs::read_to_string(&path).unwrap_or_default();
                let _ = process.child.wait().await;
                Err(process.not_ready(&format!("it ended: {}", log.trim())))
            }
            Ok(Err(source)) => Err(source).context(ProcessSnafu { step: "reading", name }),
            Err(_) => Err(process.not_ready("it did not announce its addresses in time")),
        }
    }

    /// Waits for the next line that the process prints.
    ///
    /// # Errors
    /// [`RehearsalError::NotReady`] when it prints none in time, or has ended.
    pub async fn next_line(&mut self, limit: Duration) -> Result<String, RehearsalError> {
        match timeout(limit, self.lines.recv()).await {
            Ok(Some(line)) => Ok(line),
            Ok(None) => Err(self.not_ready("it has ended")),
            Err(_) => Err(self.not_ready("it printed nothing in time")),
        }
    }

    /// The name of the process and its log file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process's identifier while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    ///
    /// # Errors
    /// [`RehearsalError`] when it cannot be signalled.
    pub async fn kill(&mut self) -> Result<(), RehearsalError> {
        let name = self.name.clone();
        self.child.kill().await.context(ProcessSnafu { step: "killing", name })
    }

    /// Requests a planned stop (SIGTERM).
    ///
    /// # Errors
    /// [`RehearsalError`] when it has ended or cannot be signalled.
    pub fn terminate(&self) -> Result<(), RehearsalError> {
        let ended = || self.not_ready("it has ended");
        let id = self.id().and_then(|id| Pid::from_raw(id.cast_signed())).ok_or_else(ended)?;
        let name = &self.name;
        let sent = kill_process(id, Signal::TERM).map_err(io::Error::from);
        sent.context(ProcessSnafu { step: "stopping", name })
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    /// [`RehearsalError`] when it does not end in time.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Result<ExitStatus, RehearsalError> {
        let name = self.name.clone();
        match timeout(limit, self.child.wait()).await {
            Ok(status) => status.context(ProcessSnafu { step: "waiting for", name }),
            Err(_) => Err(self.not_ready("it did not end in time")),
        }
    }

    fn not_ready(&self, reason: &str) -> RehearsalError {
        RehearsalError::NotReady { name: self.name.clone(), reason: reason.to_owned() }
    }
}

/// Reads lines until one announces that the process is ready. None if the output ends before.
async fn read_ready_line(output: &mut BufReader<ChildStdout>) -> io::Result<Option<String>> {
    while let Some(line) = read_line(output).await? {
        if READY_LINE_PREFIXES.iter().any(|prefix| line.starts_with(prefix)) {
            return Ok(Some(line));
        }
    }
    Ok(None)
}

/// Reads the next line; `None` at the end of the output. Text without a line feed before the end is not a line, since
/// the process may have died inside it.
async fn read_line(output: &mut BufReader<ChildStdout>) -> io::Result<Option<String>> {
    let mut line = String::new();
    output.read_line(&mut line).await?;
    Ok(line.strip_suffix('\n').map(str::to_owned))
}
