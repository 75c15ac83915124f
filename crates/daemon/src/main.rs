//! The binary `dahlialadder`: one daemon of the system.

use std::process::ExitCode;

use dahlia_daemon::cli::{Arguments, run};
use gumdrop::Options;

fn main() -> ExitCode {
    run(&Arguments::parse_args_default_or_exit())
}
