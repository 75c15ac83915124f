//! The `dahliactl` binary.

use std::process::ExitCode;

use dahlia_ctl::arguments::Arguments;
use dahlia_ctl::{exit_code, run};
use gumdrop::Options;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("dahliactl: starting the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(arguments)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("dahliactl: {failure}");
            ExitCode::from(exit_code(&failure))
        }
    }
}
