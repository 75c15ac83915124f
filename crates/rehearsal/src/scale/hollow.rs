//! Many hollow daemons in one process, and what they cost it.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use dahlia_daemon::assembly::{ControlParts, start_control};
use dahlia_node::request::{Request, Response};
use dahlia_program::ProgramSpecification;
use dahlia_types::{Duration as Length, GroupId, ModelId, ProgramId, TenantId, Tokens};
use gumdrop::Options;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;
use tokio::time::{Instant, sleep, sleep_until};

use super::ZONES;
use super::report::{Phase, SizeReport};
use crate::RehearsalError;
use crate::cluster::{SettingsPlan, daemon_settings, read_status};
use crate::process_usage::{ProcessUsage, read_usage};

/// Replacements and failures of an ordinary day (letter 1): 71 and 15.
const REPLACEMENTS_A_DAY: f64 = 86.0;
const SECONDS_A_DAY: f64 = 86_400.0;
/// How long all daemons may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(180);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
const READY_POLL: Duration = Duration::from_millis(200);
/// Pause between phases, so that one does not count in the next.
const SETTLE: Duration = Duration::from_secs(5);
/// How long groups may take to be whole again after the churn.
const REPAIR_LIMIT: Duration = Duration::from_secs(30);
const PERCENT: f64 = 100.0;
/// Creations under way at a time.
const CREATE_BATCH: usize = 64;

/// Flags of `rehearse hollow`, which `rehearse scale` starts.
#[derive(Debug, Options)]
pub struct HollowOptions {
    /// Print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Hollow daemons.
    #[options(help = "hollow daemons in this process", default = "10")]
    pub daemons: usize,
    /// Whole daemons beside them.
    #[options(help = "whole daemons beside them, numbered from 1", default = "0")]
    pub beside: usize,
    /// Groups.
    #[options(help = "replica groups in all", default = "20")]
    pub groups: u32,
    /// Programs.
    #[options(help = "programs for each daemon", default = "0")]
    pub programs: u64,
    /// Key-value service.
    #[options(help = "the key-value service", meta = "ADDRESS:PORT", required)]
    pub key_value: Option<SocketAddr>,
    /// Seeds.
    #[options(help = "peer addresses to start from, separated by commas")]
    pub seeds: String,
    /// Gateways.
    #[options(help = "gateways of the whole daemons, separated by commas")]
    pub gateways: String,
    /// Seconds of each phase.
    #[options(help = "seconds that each phase is measured", default = "20")]
    pub seconds: u64,
    /// Churn.
    #[options(help = "how much faster than real 86 replacements a day come", default = "120")]
    pub speedup: f64,
}

/// The daemons of this process.
struct Crowd {
    options: HollowOptions,
    plan: SettingsPlan,
    seeds: Vec<SocketAddr>,
    gateways: Vec<SocketAddr>,
    client: Client,
    daemons: Vec<ControlParts>,
    empty: ProcessUsage,
    random: StdRng,
}

/// How far the crowd is.
#[derive(Debug, Default)]
struct Seen {
    ready: usize,
    fewest_live: usize,
    most_live: usize,
    without_owner: u64,
    waits_for: String,
}

impl fmt::Display for Seen {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { ready, fewest_live, most_live, without_owner, waits_for } = self;
        write!(
            formatter,
            "{ready} ready, each sees {fewest_live} to {most_live} live, {without_owner} groups \
             without an owner, {waits_for}"
        )
    }
}

/// What had been used at the start of a phase.
struct Mark {
    at: Instant,
    usage: ProcessUsage,
    bytes: Vec<u64>,
    frames: u64,
}

/// Runs the daemons through all phases and prints one line of JSON.
///
/// # Errors
/// [`RehearsalError`] when a daemon does not start or the crowd does not become ready.
pub async fn run(options: HollowOptions) -> Result<(), RehearsalError> {
    println!("starting");
    let empty = usage();
    let started = Instant::now();
    let mut crowd = Crowd::start(options, empty).await?;
    crowd.wait_until_ready().await?;
    let ready_seconds = started.elapsed().as_secs_f64();
    let at_rest = crowd.measure_quiet().await;
    let programs = crowd.create_programs().await?;
    let with_programs = crowd.measure_quiet().await;
    let (under_churn, restarts) = crowd.measure_churn().await?;
    let report = SizeReport {
        daemons: crowd.size(),
        real: crowd.options.beside,
        groups: crowd.options.groups,
        programs,
        ready_seconds,
        at_rest,
        with_programs,
        under_churn,
        restarts,
        groups_without_owner: crowd.wait_for_owners(REPAIR_LIMIT).await,
    };
    let text = serde_json::to_string(&report).map_err(|error| RehearsalError::Broken {
        what: format!("writing the report as JSON: {error}"),
    })?;
    println!("{text}");
    Ok(())
}

impl Crowd {
    async fn start(options: HollowOptions, empty: ProcessUsage) -> Result<Self, RehearsalError> {
        let seeds = parse_addresses("--seeds", &options.seeds)?;
        let gateways = parse_addresses("--gateways", &options.gateways)?;
        let plan = SettingsPlan {
            key_value: options.key_value,
            groups: options.groups,
            bootstrap_daemons: (options.daemons + options.beside) as u32,
            ..SettingsPlan::default()
        };
        let random = StdRng::seed_from_u64(options.daemons as u64);
        let mut crowd = Self {
            options,
            plan,
            seeds,
            gateways,
            client: Client::new(),
            daemons: Vec::new(),
            empty,
            random,
        };
        for index in 0..crowd.options.daemons {
            let daemon = crowd.start_daemon(index)?;
            crowd.daemons.push(daemon);
        }
        Ok(crowd)
    }

    fn size(&self) -> usize {
        self.options.daemons + self.options.beside
    }

    fn start_daemon(&self, index: usize) -> Result<ControlParts, RehearsalError> {
        let number = self.options.beside + index;
        let (region, zone) = ZONES[number % ZONES.len()];
        let mut seeds = self.seeds.clone();
        seeds.extend(self.daemons.first().map(|daemon| daemon.peer_address));
        let settings = daemon_settings(&self.plan, number as u32 + 1, region, zone, seeds);
        start_control(&settings).map_err(|error| RehearsalError::NotReady {
            name: format!("hollow daemon {number}"),
            reason: error.to_string(),
        })
    }

    async fn wait_until_ready(&self) -> Result<(), RehearsalError> {
        let started = Instant::now();
        let mut next_line = started + PROGRESS_INTERVAL;
        loop {
            let seen = self.look().await;
            if seen.ready == self.daemons.len() && seen.without_owner == 0 {
                return Ok(());
            }
            if started.elapsed() > READY_LIMIT {
                let reason = seen.to_string();
                return Err(RehearsalError::NotReady { name: "the crowd".to_owned(), reason });
            }
            if Instant::now() >= next_line {
                next_line += PROGRESS_INTERVAL;
                eprintln!("{:6.1} s  {seen}", started.elapsed().as_secs_f64());
            }
            sleep(READY_POLL).await;
        }
    }

    async fn look(&self) -> Seen {
        let mut seen = Seen { fewest_live: usize::MAX, ..Seen::default() };
        for daemon in &self.daemons {
            let status = daemon.core.status().await;
            seen.ready += usize::from(status.ready);
            seen.fewest_live = seen.fewest_live.min(status.live_daemons);
            seen.most_live = seen.most_live.max(status.live_daemons);
            if let Some(reason) = status.waits_for {
                seen.waits_for = reason;
            }
        }
        seen.without_owner = self.groups_without_owner().await;
        seen
    }

    /// Groups that no daemon says it owns, hollow or whole.
    async fn groups_without_owner(&self) -> u64 {
        let mut led = 0;
        for daemon in &self.daemons {
            led += daemon.core.status().await.groups_led as u64;
        }
        for gateway in &self.gateways {
            let status = read_status(&self.client, *gateway).await;
            led += status["groups_led"].as_u64().unwrap_or(0);
        }
        u64::from(self.options.groups).saturating_sub(led)
    }

    async fn wait_for_owners(&self, limit: Duration) -> u64 {
        let started = Instant::now();
        loop {
            let without = self.groups_without_owner().await;
            if without == 0 || started.elapsed() > limit {
                return without;
            }
            sleep(READY_POLL).await;
        }
    }

    fn mark(&self) -> Mark {
        Mark {
            at: Instant::now(),
            usage: usage(),
            bytes: self.daemons.iter().map(|daemon| daemon.bytes_sent()).collect(),
            frames: self.daemons.iter().map(|daemon| daemon.frames_sent()).sum(),
        }
    }

    /// Costs since `mark`. A daemon that was replaced meanwhile counts from its restart.
    fn phase_since(&self, mark: &Mark) -> Phase {
        let seconds = mark.at.elapsed().as_secs_f64();
        let count = self.daemons.len() as f64;
        let now = usage();
        let sent: Vec<u64> = self
            .daemons
            .iter()
            .zip(&mark.bytes)
            .map(|(daemon, before)| {
                let bytes = daemon.bytes_sent();
                bytes.checked_sub(*before).unwrap_or(bytes)
            })
            .collect();
        let frames: u64 = self.daemons.iter().map(|daemon| daemon.frames_sent()).sum();
        let used = now.processor_seconds - mark.usage.processor_seconds;
        let resident = now.resident_bytes.saturating_sub(self.empty.resident_bytes);
        Phase {
            core_percent: used / seconds / count * PERCENT,
            bytes_per_second: sent.iter().sum::<u64>() as f64 / seconds / count,
            frames_per_second: frames.saturating_sub(mark.frames) as f64 / seconds / count,
            most_bytes_per_second: sent.iter().max().copied().unwrap_or(0) as f64 / seconds,
            resident_bytes: resident as f64 / count,
        }
    }

    async fn measure_quiet(&self) -> Phase {
        sleep(SETTLE).await;
        let mark = self.mark();
        sleep(Duration::from_secs(self.options.seconds)).await;
        self.phase_since(&mark)
    }

    async fn create_programs(&mut self) -> Result<u64, RehearsalError> {
        let wanted = self.options.programs * self.size() as u64;
        let mut created = 0;
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..wanted {
            let core = self.daemons[number as usize % self.daemons.len()].core.clone();
            let group = GroupId((number % u64::from(self.options.groups)) as u32);
            let program = ProgramId { group, number: self.random.random() };
            tasks.spawn(async move {
                let create = Request::Create { program, specification: specification() };
                matches!(core.request(create).await, Response::Program(_))
            });
            if tasks.len() >= CREATE_BATCH
                && let Some(Ok(true)) = tasks.join_next().await
            {
                created += 1;
            }
        }
        while let Some(done) = tasks.join_next().await {
            created += u64::from(matches!(done, Ok(true)));
        }
        if created == wanted {
            return Ok(created);
        }
        Err(RehearsalError::Broken { what: format!("{created} of {wanted} programs created") })
    }

    /// Kills and restarts daemons with empty memory at the stated rate.
    async fn measure_churn(&mut self) -> Result<(Phase, u64), RehearsalError> {
        sleep(SETTLE).await;
        let share = self.options.daemons as f64 / self.size() as f64;
        let per_second = REPLACEMENTS_A_DAY * share * self.options.speedup / SECONDS_A_DAY;
        let interval = Duration::from_secs_f64(1.0 / per_second);
        let mark = self.mark();
        let end = mark.at + Duration::from_secs(self.options.seconds);
        let mut next = mark.at + interval;
        let mut restarts = 0;
        while next < end {
            sleep_until(next).await;
            next += interval;
            let index = self.random.random_range(0..self.daemons.len());
            self.daemons[index].stop();
            self.daemons[index] = self.start_daemon(index)?;
            restarts += 1;
        }
        sleep_until(end).await;
        Ok((self.phase_since(&mark), restarts))
    }
}

fn parse_addresses(flag: &str, text: &str) -> Result<Vec<SocketAddr>, RehearsalError> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    let addresses: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
    addresses.map_err(|error| RehearsalError::Broken { what: format!("{flag} {text:?}: {error}") })
}

fn usage() -> ProcessUsage {
    read_usage(std::process::id()).unwrap_or_default()
}

fn specification() -> ProgramSpecification {
    ProgramSpecification {
        tenant: TenantId::new("scale"),
        model: ModelId::new("agent-llm"),
        budget: Tokens(1_000_000),
        idle_expiry: Length::from_secs(86_400),
    }
}
