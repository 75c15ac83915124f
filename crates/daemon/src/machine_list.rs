//! Polls the platform's list of machines for the node.

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_adapters::machines::{Machine, MachineKind, MachineList, MachineState};
use dahlia_adapters::{ClientSettings, MachineListClient};
use dahlia_node::{EngineAddress, Event, ListedEngine, MachineListing};
use dahlia_types::EngineId;
use tokio::time::{MissedTickBehavior, interval};

use crate::core_handle::CoreHandle;
use crate::logging::part;

/// Time between reads of the list. The list itself lags, and leaving engines also report it themselves.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Polls the list at `address` while the daemon runs.
pub async fn poll(address: SocketAddr, core: CoreHandle) {
    let client = MachineListClient::new(&address.to_string(), ClientSettings::default());
    let mut ticks = interval(READ_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reachable = true;
    loop {
        ticks.tick().await;
        match client.list().await {
            Ok(list) => {
                reachable = true;
                core.send_event(Event::Machines(translate(list))).await;
            }
            // The last list stays in use: it is only a hint, and engines are polled directly.
            Err(error) => {
                if std::mem::replace(&mut reachable, false) {
                    log::warn!(target: part::ENGINES, "No list of machines. {error}.");
                }
            }
        }
    }
}

fn translate(list: MachineList) -> MachineListing {
    let engines = list.machines.into_iter().filter(|machine| machine.kind == MachineKind::Engine);
    let engines = engines.filter_map(engine).collect();
    MachineListing { revision: list.revision, at: list.at, engines }
}

fn engine(machine: Machine) -> Option<ListedEngine> {
    let Ok(address) = machine.address.parse() else {
        log::debug!(
            target: part::ENGINES,
            "The list of machines gives {} the address {:?}.",
            machine.name, machine.address
        );
        return None;
    };
    let place = EngineAddress { engine: EngineId::new(machine.name), address, zone: machine.zone };
    Some(ListedEngine { place, leaving: machine.state == MachineState::Leaving })
}
