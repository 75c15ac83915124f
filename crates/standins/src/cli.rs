//! The command line of the stand-ins: runs one of them until it is told to stop. The binary
//! `dahlia-standin` and the rehearsal tool both run it.
//!
//! Prints `listening <address>` once it serves. Exit codes: 0 after SIGINT or SIGTERM, 1 when it
//! cannot start, 2 for a wrong flag or setting.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use gumdrop::Options;
use log::{LevelFilter, error, info};
use tokio::signal::unix::{Signal, SignalKind, signal};

pub use crate::options::{Arguments, OptionsError, Service};
use crate::{
    EngineServer, KeyValueServer, MachineListServer, RunningServer, StartError, ToolServer,
    WeightServer,
};

const WRONG_USE: u8 = 2;

/// Runs the stand-in that the arguments name.
pub fn run(arguments: &Arguments) -> ExitCode {
    log_to_stderr();
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(serve(arguments)),
        Err(cause) => {
            error!("cannot start the runtime: {cause}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(arguments: &Arguments) -> ExitCode {
    let Some(service) = &arguments.service else {
        eprintln!("{}", Arguments::usage());
        return ExitCode::from(WRONG_USE);
    };
    // Watched before anything is announced: whoever reads the address may stop us at once.
    let mut stop = match StopSignals::watch() {
        Ok(stop) => stop,
        Err(cause) => {
            error!("cannot watch for signals: {cause}");
            return ExitCode::FAILURE;
        }
    };
    let started = match start(service).await {
        Ok(started) => started,
        Err(Failure::Options { source }) => {
            error!("{source}");
            return ExitCode::from(WRONG_USE);
        }
        Err(Failure::Start { source }) => {
            error!("{source}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(cause) = announce(started.address(), service.port_file()) {
        error!("cannot write the port file: {cause}");
        return ExitCode::FAILURE;
    }
    stop.wait().await;
    info!("{} stops", service.name());
    started.shutdown().await;
    ExitCode::SUCCESS
}

/// Why the service does not run.
#[derive(Debug, snafu::Snafu)]
enum Failure {
    /// A wrong flag or setting.
    #[snafu(display("{source}"), context(false))]
    Options { source: OptionsError },
    /// It cannot start.
    #[snafu(display("{source}"), context(false))]
    Start { source: StartError },
}

async fn start(service: &Service) -> Result<RunningServer, Failure> {
    match service {
        Service::Engine(options) => Ok(EngineServer::start(options.settings()?).await?),
        Service::Kv(options) => Ok(KeyValueServer::start(options.settings()?).await?),
        Service::Weights(options) => Ok(WeightServer::start(options.settings()?).await?),
        Service::Tool(options) => Ok(ToolServer::start(options.settings()?).await?),
        Service::Machines(options) => Ok(MachineListServer::start(options.settings()?).await?),
    }
}

fn announce(address: SocketAddr, port_file: Option<&Path>) -> std::io::Result<()> {
    if let Some(path) = port_file {
        // Readers wait for the file to appear, so it appears complete.
        let unfinished = path.with_extension("unfinished");
        std::fs::write(&unfinished, format!("{}\n", address.port()))?;
        std::fs::rename(&unfinished, path)?;
    }
    println!("listening {address}");
    Ok(())
}

/// The signals that ask the process to stop.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn watch() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { terminate, interrupt })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn log_to_stderr() {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!("[standin] {} {message}", record.level()))
        })
        .level(LevelFilter::Info)
        .chain(std::io::stderr());
    // Nothing else in this process sets a logger.
    let _ = dispatch.apply();
}
