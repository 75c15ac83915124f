//! The binary `dahlia-standin`: one stand-in of the platform's services.

use std::process::ExitCode;

use dahlia_standins::cli::{Arguments, run};
use gumdrop::Options;

fn main() -> ExitCode {
    run(&Arguments::parse_args_default_or_exit())
}
