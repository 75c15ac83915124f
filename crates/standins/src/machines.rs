//! The stand-in of the platform's lagging list of machines.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dahlia_adapters::machines::{
    ListMachinesRequest, Machine, MachineList, MachineListRefusal, paths,
};
use dahlia_types::{InvalidSetting, check_range};
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::control::{Nothing, lock, wall_clock};
use crate::reply::{Refusal, Reply, Routes};
use crate::server::{RunningServer, StartError};
use crate::{InputLimits, ServerSettings};

/// Settings of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineListSettings {
    /// How it listens.
    pub server: ServerSettings,
    /// A change shows this much later, in milliseconds.
    pub lag_ms: u64,
    /// The machines at the start, without lag.
    pub machines: Vec<Machine>,
}

impl Default for MachineListSettings {
    fn default() -> Self {
        Self { server: ServerSettings::default(), lag_ms: 2_000, machines: Vec::new() }
    }
}

impl MachineListSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first field out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        self.server.check()?;
        check_range("lag_ms", self.lag_ms, 0, 86_400_000)
    }
}

/// A change of the list, by a control request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineChange {
    /// Adds a machine or replaces the one of the same name.
    Put(Machine),
    /// Removes a machine.
    Remove {
        /// Its name.
        name: String,
    },
}

/// Every fault that is in force. The default has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineListFaults {
    /// The service refuses.
    pub unavailable: bool,
    /// The list shows no further change.
    pub stuck: bool,
}

impl Refusal for MachineListRefusal {
    fn invalid(field: &str, detail: String) -> Self {
        Self::Invalid { field: field.to_owned(), detail }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Invalid { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// The list of machines.
pub struct MachineListServer;

impl MachineListServer {
    /// Starts the service.
    ///
    /// # Errors
    /// [`StartError`] for a wrong setting or an address that cannot be bound.
    pub async fn start(settings: MachineListSettings) -> Result<RunningServer, StartError> {
        settings.check()?;
        let limits = InputLimits::from(&settings.server);
        let server = settings.server.clone();
        let service = Arc::new(Service::new(settings));
        let mut routes =
            Routes::<Service, MachineListRefusal>::new(&service, limits).post(paths::LIST, list);
        if server.control {
            routes = routes.control("machines", change).control("faults", set_faults);
        }
        RunningServer::start(&server, routes.into_router(), Vec::new()).await
    }
}

struct Service {
    lag: Duration,
    state: Mutex<State>,
}

struct State {
    present: BTreeMap<String, Machine>,
    shown: MachineList,
    hidden: VecDeque<(Instant, MachineList)>,
    revision: u64,
    faults: MachineListFaults,
}

impl Service {
    fn new(settings: MachineListSettings) -> Self {
        let named = settings.machines.into_iter().map(|machine| (machine.name.clone(), machine));
        let present: BTreeMap<String, Machine> = named.collect();
        let revision = 1;
        let state = State {
            shown: list_of(&present, revision),
            present,
            hidden: VecDeque::new(),
            revision,
            faults: MachineListFaults::default(),
        };
        Self { lag: Duration::from_millis(settings.lag_ms), state: Mutex::new(state) }
    }

    fn visible(&self) -> Result<MachineList, MachineListRefusal> {
        let mut state = lock(&self.state);
        if state.faults.unavailable {
            return Err(MachineListRefusal::Unavailable);
        }
        while !state.faults.stuck
            && state.hidden.front().is_some_and(|(at, _)| at.elapsed() >= self.lag)
            && let Some((_, list)) = state.hidden.pop_front()
        {
            state.shown = list;
        }
        Ok(state.shown.clone())
    }

    fn change(&self, change: MachineChange) {
        let mut state = lock(&self.state);
        match change {
            MachineChange::Put(machine) => state.present.insert(machine.name.clone(), machine),
            MachineChange::Remove { name } => state.present.remove(&name),
        };
        state.revision += 1;
        let list = list_of(&state.present, state.revision);
        state.hidden.push_back((Instant::now(), list));
    }
}

fn list_of(present: &BTreeMap<String, Machine>, revision: u64) -> MachineList {
    MachineList { revision, at: wall_clock(), machines: present.values().cloned().collect() }
}

async fn list(service: Arc<Service>, _: ListMachinesRequest) -> Reply {
    Reply::from_result(service.visible())
}

async fn change(service: Arc<Service>, change: MachineChange) -> Reply {
    service.change(change);
    Reply::json(&Nothing {})
}

async fn set_faults(service: Arc<Service>, faults: MachineListFaults) -> Reply {
    lock(&service.state).faults = faults;
    Reply::json(&Nothing {})
}
