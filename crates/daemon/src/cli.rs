//! The command line of a daemon. The binary `dahlialadder` and the rehearsal tool both run it.

use std::path::PathBuf;
use std::process::ExitCode;

use dahlia_types::{TenantId, TenantKey};
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

use crate::settings::{self, Settings};
use crate::{assembly, logging};

/// Exit code for settings that are missing or wrong, as documented in OPERATIONS.md.
const EXIT_SETTINGS: u8 = 2;

/// Flags of a daemon.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the settings file (TOML)", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(no_short, help = "check the settings and exit")]
    check: bool,
    #[options(no_short, help = "print the effective settings with defaults and exit")]
    print_settings: bool,
    #[options(no_short, help = "print the credential of a tenant and exit", meta = "TENANT")]
    issue_credential: Option<String>,
    #[options(no_short, help = "overrides daemon.id", meta = "NUMBER")]
    id: Option<u32>,
    #[options(no_short, help = "overrides daemon.zone", meta = "NAME")]
    zone: Option<String>,
    #[options(no_short, help = "overrides daemon.region", meta = "NAME")]
    region: Option<String>,
    #[options(no_short, help = "overrides daemon.peer_address", meta = "ADDRESS:PORT")]
    peer_address: Option<std::net::SocketAddr>,
    #[options(no_short, help = "overrides daemon.gateway_address", meta = "ADDRESS:PORT")]
    gateway_address: Option<std::net::SocketAddr>,
    #[options(no_short, help = "overrides daemon.operators_address", meta = "ADDRESS:PORT")]
    operators_address: Option<std::net::SocketAddr>,
    #[options(no_short, help = "overrides daemon.data_folder", meta = "FOLDER")]
    data_folder: Option<PathBuf>,
    #[options(no_short, help = "overrides log.level", meta = "LEVEL")]
    log_level: Option<String>,
}

/// Runs a daemon until a signal stops it.
pub fn run(arguments: &Arguments) -> ExitCode {
    let settings = match load(arguments) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("dahlialadder: {message}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.print_settings {
        return print(&settings);
    }
    if let Some(tenant) = &arguments.issue_credential {
        let key = TenantKey::new(settings.credentials.tenant_key.as_bytes());
        println!("{}", key.issue(&TenantId::new(tenant)));
        return ExitCode::SUCCESS;
    }
    if arguments.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::install(&settings.log) {
        eprintln!("dahlialadder: {error}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("dahlialadder: starting the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let code = runtime.block_on(serve(&settings));
    logging::flush();
    code
}

fn load(arguments: &Arguments) -> Result<Settings, String> {
    let path = arguments.settings.as_ref().ok_or("--settings FILE is needed")?;
    let mut settings = settings::load(path).map_err(|error| error.to_string())?;
    apply_flags(&mut settings, arguments);
    settings.check().map_err(|error| format!("after the flags: {error}"))?;
    Ok(settings)
}

fn apply_flags(settings: &mut Settings, arguments: &Arguments) {
    let daemon = &mut settings.daemon;
    if let Some(id) = arguments.id {
        daemon.id = dahlia_types::DaemonId(id);
    }
    if let Some(zone) = &arguments.zone {
        daemon.zone = dahlia_types::Zone::new(zone);
    }
    if let Some(region) = &arguments.region {
        daemon.region = dahlia_types::Region::new(region);
    }
    if let Some(address) = arguments.peer_address {
        daemon.peer_address = address;
    }
    if let Some(address) = arguments.gateway_address {
        daemon.gateway_address = address;
    }
    if let Some(address) = arguments.operators_address {
        daemon.operators_address = address;
    }
    if let Some(folder) = &arguments.data_folder {
        daemon.data_folder = Some(folder.clone());
    }
    if let Some(level) = &arguments.log_level {
        settings.log.level.clone_from(level);
    }
}

fn print(settings: &Settings) -> ExitCode {
    match toml::to_string_pretty(settings) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("dahlialadder: printing the settings: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: &Settings) -> ExitCode {
    let mut daemon = match assembly::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("dahlialadder: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!(
        "ready gateway={} operators={} peers={}",
        daemon.gateway_address, daemon.operators_address, daemon.peer_address
    );
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        eprintln!("dahlialadder: signal handlers cannot be installed");
        return ExitCode::FAILURE;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.wait_until_ended() => {
            // An order to stop that comes meanwhile changes nothing: the settings limit the time.
            daemon.drain().await;
            return ExitCode::FAILURE;
        }
    }
    // A second signal ends the drain; requests that are still open are aborted.
    tokio::select! {
        () = daemon.drain() => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    ExitCode::SUCCESS
}
