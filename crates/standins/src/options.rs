//! Flags of the binary. A settings file comes first, flags override it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use dahlia_types::{EngineId, InvalidSetting, ModelId, Tokens};
use gumdrop::Options;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::{
    EngineSettings, KeyValueSettings, MachineListSettings, ServerSettings, ToolSettings,
    WeightSettings,
};

/// A flag or settings file that is not acceptable.
#[derive(Debug, Snafu)]
pub enum OptionsError {
    /// The settings file cannot be read.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings file has a wrong or unknown field.
    #[snafu(display("settings file {}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// The cause, with the place.
        source: toml::de::Error,
    },
    /// A setting is out of range.
    #[snafu(display("{source}"), context(false))]
    Setting {
        /// The setting.
        source: InvalidSetting,
    },
}

/// Runs a stand-in of one of the platform's services.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Which service.
    #[options(command)]
    pub service: Option<Service>,
}

/// The services.
#[derive(Debug, Options)]
pub enum Service {
    /// A model engine.
    #[options(help = "a model engine")]
    Engine(EngineOptions),
    /// The key-value service.
    #[options(help = "the key-value service")]
    Kv(KvOptions),
    /// The weight store.
    #[options(help = "the rate-limited weight store")]
    Weights(WeightsOptions),
    /// A tool service.
    #[options(help = "a tool service")]
    Tool(ToolOptions),
    /// The list of machines.
    #[options(help = "the lagging list of machines")]
    Machines(MachinesOptions),
}

impl Service {
    /// The name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Engine(_) => "engine",
            Self::Kv(_) => "kv",
            Self::Weights(_) => "weights",
            Self::Tool(_) => "tool",
            Self::Machines(_) => "machines",
        }
    }

    /// Where to write the port.
    pub fn port_file(&self) -> Option<&Path> {
        match self {
            Self::Engine(options) => options.port_file.as_deref(),
            Self::Kv(options) => options.port_file.as_deref(),
            Self::Weights(options) => options.port_file.as_deref(),
            Self::Tool(options) => options.port_file.as_deref(),
            Self::Machines(options) => options.port_file.as_deref(),
        }
    }
}

/// Flags of the engine.
#[derive(Debug, Options)]
pub struct EngineOptions {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(help = "settings file (TOML)", meta = "FILE")]
    settings: Option<PathBuf>,
    /// Address.
    #[options(help = "address and port; port 0 takes a free one", meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Port file.
    #[options(help = "write the port to this file", meta = "FILE")]
    port_file: Option<PathBuf>,
    /// Control endpoint.
    #[options(help = "serve /control: faults and observations")]
    control: bool,
    /// Name.
    #[options(help = "the engine's name", meta = "NAME")]
    engine: Option<String>,
    /// Models.
    #[options(help = "a model that is loaded at the start; may be repeated", meta = "MODEL")]
    model: Vec<String>,
    /// Speed.
    #[options(help = "how much faster than real time it runs", meta = "FACTOR")]
    speed: Option<f64>,
    /// Memory.
    #[options(help = "KV cache in tokens", meta = "TOKENS")]
    kv_capacity: Option<u64>,
    /// Batch.
    #[options(help = "most attempts in the batch", meta = "COUNT")]
    max_batch: Option<u32>,
    /// Queue.
    #[options(help = "most attempts waiting", meta = "COUNT")]
    max_waiting: Option<u32>,
    /// Default answer.
    #[options(help = "tokens generated unless the prompt says otherwise", meta = "TOKENS")]
    default_answer: Option<u64>,
    /// Weight store.
    #[options(help = "weight store that model loads go through", meta = "ADDRESS")]
    weights: Option<String>,
}

impl EngineOptions {
    /// The effective settings.
    ///
    /// # Errors
    /// [`OptionsError`] naming the file or field.
    pub fn settings(&self) -> Result<EngineSettings, OptionsError> {
        let mut settings: EngineSettings = read(self.settings.as_deref())?;
        listen(&mut settings.server, self.listen, self.control);
        set(&mut settings.engine, self.engine.as_deref().map(EngineId::new));
        if !self.model.is_empty() {
            settings.models = self.model.iter().map(ModelId::new).collect();
        }
        set(&mut settings.speed, self.speed);
        set(&mut settings.default_answer, self.default_answer.map(Tokens));
        if self.weights.is_some() {
            settings.weights.clone_from(&self.weights);
        }
        set(&mut settings.parameters.kv_capacity, self.kv_capacity.map(Tokens));
        set(&mut settings.parameters.max_batch, self.max_batch);
        set(&mut settings.parameters.max_waiting, self.max_waiting);
        settings.check()?;
        Ok(settings)
    }
}

/// Flags of the key-value service.
#[derive(Debug, Options)]
pub struct KvOptions {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(help = "settings file (TOML)", meta = "FILE")]
    settings: Option<PathBuf>,
    /// Address.
    #[options(help = "address and port; port 0 takes a free one", meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Port file.
    #[options(help = "write the port to this file", meta = "FILE")]
    port_file: Option<PathBuf>,
    /// Control endpoint.
    #[options(help = "serve /control: faults and observations")]
    control: bool,
    /// Rate.
    #[options(help = "requests allowed in a second", meta = "RATE")]
    requests_per_second: Option<f64>,
    /// Burst.
    #[options(help = "requests allowed at once after a pause", meta = "COUNT")]
    burst: Option<f64>,
}

impl KvOptions {
    /// The effective settings.
    ///
    /// # Errors
    /// [`OptionsError`] naming the file or field.
    pub fn settings(&self) -> Result<KeyValueSettings, OptionsError> {
        let mut settings: KeyValueSettings = read(self.settings.as_deref())?;
        listen(&mut settings.server, self.listen, self.control);
        set(&mut settings.requests_per_second, self.requests_per_second);
        set(&mut settings.burst, self.burst);
        settings.check()?;
        Ok(settings)
    }
}

/// Flags of the weight store.
#[derive(Debug, Options)]
pub struct WeightsOptions {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(help = "settings file (TOML)", meta = "FILE")]
    settings: Option<PathBuf>,
    /// Address.
    #[options(help = "address and port; port 0 takes a free one", meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Port file.
    #[options(help = "write the port to this file", meta = "FILE")]
    port_file: Option<PathBuf>,
    /// Control endpoint.
    #[options(help = "serve /control: faults and observations")]
    control: bool,
    /// Rate.
    #[options(help = "transfers that may begin in a minute", meta = "RATE")]
    fetches_per_minute: Option<f64>,
    /// Speed.
    #[options(help = "speed of one transfer", meta = "BYTES")]
    bytes_per_second: Option<f64>,
}

impl WeightsOptions {
    /// The effective settings.
    ///
    /// # Errors
    /// [`OptionsError`] naming the file or field.
    pub fn settings(&self) -> Result<WeightSettings, OptionsError> {
        let mut settings: WeightSettings = read(self.settings.as_deref())?;
        listen(&mut settings.server, self.listen, self.control);
        set(&mut settings.fetches_per_minute, self.fetches_per_minute);
        set(&mut settings.bytes_per_second, self.bytes_per_second);
        settings.check()?;
        Ok(settings)
    }
}

/// Flags of a tool service.
#[derive(Debug, Options)]
pub struct ToolOptions {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(help = "settings file (TOML)", meta = "FILE")]
    settings: Option<PathBuf>,
    /// Address.
    #[options(help = "address and port; port 0 takes a free one", meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Port file.
    #[options(help = "write the port to this file", meta = "FILE")]
    port_file: Option<PathBuf>,
    /// Control endpoint.
    #[options(help = "serve /control: faults and observations")]
    control: bool,
    /// Services.
    #[options(help = "a service that is offered; may be repeated; none offers any", meta = "NAME")]
    service: Vec<String>,
    /// Run time.
    #[options(help = "how long an invocation runs unless its body says", meta = "MILLISECONDS")]
    default_run_ms: Option<u64>,
}

impl ToolOptions {
    /// The effective settings.
    ///
    /// # Errors
    /// [`OptionsError`] naming the file or field.
    pub fn settings(&self) -> Result<ToolSettings, OptionsError> {
        let mut settings: ToolSettings = read(self.settings.as_deref())?;
        listen(&mut settings.server, self.listen, self.control);
        if !self.service.is_empty() {
            settings.services.clone_from(&self.service);
        }
        set(&mut settings.default_run_ms, self.default_run_ms);
        settings.check()?;
        Ok(settings)
    }
}

/// Flags of the list of machines.
#[derive(Debug, Options)]
pub struct MachinesOptions {
    /// Print this help.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(help = "settings file (TOML)", meta = "FILE")]
    settings: Option<PathBuf>,
    /// Address.
    #[options(help = "address and port; port 0 takes a free one", meta = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Port file.
    #[options(help = "write the port to this file", meta = "FILE")]
    port_file: Option<PathBuf>,
    /// Control endpoint.
    #[options(help = "serve /control: faults and observations")]
    control: bool,
    /// Lag.
    #[options(help = "a change shows this much later", meta = "MILLISECONDS")]
    lag_ms: Option<u64>,
}

impl MachinesOptions {
    /// The effective settings.
    ///
    /// # Errors
    /// [`OptionsError`] naming the file or field.
    pub fn settings(&self) -> Result<MachineListSettings, OptionsError> {
        let mut settings: MachineListSettings = read(self.settings.as_deref())?;
        listen(&mut settings.server, self.listen, self.control);
        set(&mut settings.lag_ms, self.lag_ms);
        settings.check()?;
        Ok(settings)
    }
}

fn read<T: DeserializeOwned + Default>(path: Option<&Path>) -> Result<T, OptionsError> {
    let Some(path) = path else { return Ok(T::default()) };
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    toml::from_str(&text).context(ParseSnafu { path })
}

fn listen(server: &mut ServerSettings, address: Option<SocketAddr>, control: bool) {
    set(&mut server.listen, address);
    server.control |= control;
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
