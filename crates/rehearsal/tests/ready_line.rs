//! Child processes whose log lines come before the line that announces their addresses.

use std::fs;
use std::os::unix::fs::PermissionsExt;

use dahlia_rehearsal::processes::{self, ChildProcess};
use tempfile::TempDir;

/// Guards against a tool that takes the first log line of a busy daemon for its addresses and gives up.
#[tokio::test]
async fn log_lines_before_the_ready_line_are_passed_over() {
    let folder = TempDir::new().expect("a folder");
    let program = folder.path().join("child");
    let script =
        "#!/bin/sh\necho '1.000 INFO  store: Open.'\necho 'ready gateway=127.0.0.1:1'\ncat\n";
    fs::write(&program, script).expect("the script can be written");
    let executable = fs::Permissions::from_mode(0o755);
    fs::set_permissions(&program, executable).expect("the script can be made executable");
    processes::set_child_program(&program);
    let started = ChildProcess::start("child", &[], folder.path()).await;
    let (_child, line) = started.expect("the child is ready");
    assert_eq!(line, "ready gateway=127.0.0.1:1");
}
