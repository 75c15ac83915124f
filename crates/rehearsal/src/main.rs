//! The binary `rehearse`.

use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

use dahlia_rehearsal::compare::{self, CompareFlags};
use dahlia_rehearsal::load::{self, LoadOptions};
use dahlia_rehearsal::logs::{self, LogFlags};
use dahlia_rehearsal::{RehearsalError, demo, processes};
use dahlia_replay::{ReplayOptions, run_folder};
use gumdrop::Options;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run several programs through real daemons and kill one on the way")]
    Demo(Demo),
    #[options(help = "measure callers in a closed loop, through daemons and directly")]
    Load(LoadOptions),
    #[options(help = "compare placement policies and baselines in virtual time")]
    Compare(CompareFlags),
    #[options(help = "show from logs what became of requests, and why")]
    Logs(LogFlags),
    #[options(help = "replay traces and judge them against the promises")]
    Replay(ReplayOptions),
    #[options(help = "run one daemon, as the binary dahlialadder does")]
    Daemon(dahlia_daemon::cli::Arguments),
    #[options(help = "run one stand-in, as the binary dahlia-standin does")]
    Standin(dahlia_standins::cli::Arguments),
}

#[derive(Debug, Options)]
struct Demo {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "keep settings and logs in this folder", meta = "FOLDER")]
    folder: Option<PathBuf>,
}

fn main() -> ExitCode {
    processes::end_with_parent();
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Demo(demo)) => block_on(demo::run(demo.folder.as_deref())),
        Some(Command::Load(options)) => block_on(load::run(options)),
        Some(Command::Replay(options)) => match run_folder(&options) {
            Ok(summary) if summary.holds() => ExitCode::SUCCESS,
            Ok(_) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("rehearse: {error}");
                ExitCode::from(2)
            }
        },
        Some(Command::Compare(flags)) => exit_code(compare::run(flags)),
        Some(Command::Logs(flags)) => exit_code(logs::run(&flags)),
        Some(Command::Daemon(arguments)) => dahlia_daemon::cli::run(&arguments),
        Some(Command::Standin(arguments)) => dahlia_standins::cli::run(&arguments),
        None => {
            eprintln!("rehearse: a command is needed\n\n{}", Arguments::usage());
            eprintln!("\n{}", Arguments::command_list().unwrap_or_default());
            ExitCode::from(2)
        }
    }
}

fn block_on(task: impl Future<Output = Result<(), RehearsalError>>) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("rehearse: starting the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    exit_code(runtime.block_on(task))
}

fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rehearse: {error}");
            ExitCode::FAILURE
        }
    }
}
