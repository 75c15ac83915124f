//! Replays traces as `rehearse replay` does.
//!
//! `cargo run --release -p dahlia-replay --example replay -- traces/promises --seeds 100`

use std::process::ExitCode;

use dahlia_replay::{ReplayOptions, run_folder};
use gumdrop::Options;

fn main() -> ExitCode {
    let options = ReplayOptions::parse_args_default_or_exit();
    match run_folder(&options) {
        Ok(summary) if summary.holds() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("replay: {error}");
            ExitCode::from(2)
        }
    }
}
