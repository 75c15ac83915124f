//! Child processes and the line with which they announce their addresses.

use dahlia_rehearsal::RehearsalError;
use dahlia_rehearsal::processes::{self, ChildProcess};
use tempfile::TempDir;

/// Guards against a tool that takes the first log line of a busy daemon for its addresses and gives up.
#[tokio::test]
async fn log_lines_before_the_ready_line_are_passed_over() {
    let script = "echo '1.000 INFO  store: Open.'\necho 'ready gateway=127.0.0.1:1'\ncat\n";
    let (_child, line) = start_script(script).await.expect("the child is ready");
    assert_eq!(line, "ready gateway=127.0.0.1:1");
}

/// Guards against a child that died inside its announcement: a cut address may be another process's.
#[tokio::test]
async fn a_ready_line_that_breaks_off_is_not_taken() {
    let started = start_script("printf 'ready gateway=127.0.0.1:1'").await;
    let failure = started.err().expect("the child has ended").to_string();
    assert!(failure.contains("it ended"), "{failure}");
}

/// Starts a child that runs a shell script.
async fn start_script(script: &str) -> Result<(ChildProcess, String), RehearsalError> {
    processes::set_child_program("/bin/sh");
    let folder = TempDir::new().expect("a folder");
    let arguments = ["-c", script].map(str::to_owned);
    ChildProcess::start("child", &arguments, folder.path()).await
}
