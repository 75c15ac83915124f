//! Load reports of servers: the load that this daemon causes is reported to other daemons, and their
//! reports are applied here.
//!
//! The node transports the figures without knowing what a server is. `backends` produces and uses
//! them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dahlia_backends::{Backends, LoadView, ServerDigest, ServerLoad, TokenTimes};
use dahlia_node::{Event, ItemLoad, LoadSharingSettings, PeerLoads};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::clock::Clock;
use crate::core_handle::CoreHandle;

/// How often the servers are counted.
const SERVER_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Whether loads are reported to other daemons. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct LoadSharingSwitch(Arc<AtomicBool>);

impl LoadSharingSwitch {
    /// Starts or stops reporting loads. After a stop, other daemons drop the loads reported before.
    pub fn set(&self, is_on: bool) {
        if self.0.swap(is_on, Ordering::Relaxed) != is_on {
            log::info!(target: "loads", is_on = is_on; "Sharing of servers' loads has changed.");
        }
    }

    fn is_on(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Reports the loads that `backends` causes to other daemons while the switch is on, and applies the
/// loads of other daemons to `backends`. The switch is off at first.
pub fn share(
    backends: &Arc<Mutex<Backends>>,
    loads_received: UnboundedReceiver<PeerLoads>,
    core: &CoreHandle,
    settings: &LoadSharingSettings,
    clock: Clock,
) -> LoadSharingSwitch {
    let switch = LoadSharingSwitch::default();
    let reporter = LoadReporter {
        backends: backends.clone(),
        core: core.clone(),
        switch: switch.clone(),
        settings: settings.clone(),
        clock,
        is_over_limit: false,
        is_reporting: false,
    };
    tokio::spawn(reporter.run());
    tokio::spawn(apply_loads(loads_received, backends.clone(), clock));
    switch
}

/// Reports the loads that this daemon causes.
struct LoadReporter {
    backends: Arc<Mutex<Backends>>,
    core: CoreHandle,
    switch: LoadSharingSwitch,
    settings: LoadSharingSettings,
    clock: Clock,
    is_over_limit: bool,
    is_reporting: bool,
}

impl LoadReporter {
    async fn run(mut self) {
        let report_interval = Duration::from_micros(self.settings.report_interval().as_micros());
        let mut ticks = interval(report_interval);
        // After a stall one report is enough.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut counted_at: Option<Instant> = None;
        loop {
            ticks.tick().await;
            let is_on = self.switch.is_on();
            if is_on && counted_at.is_none_or(|at| at.elapsed() >= SERVER_COUNT_INTERVAL) {
                counted_at = Some(Instant::now());
                self.count_servers();
            }
            self.report(is_on && !self.is_over_limit).await;
        }
    }

    /// Reports the loads, or reports once that no more will follow.
    async fn report(&mut self, is_reporting: bool) {
        let was_reporting = std::mem::replace(&mut self.is_reporting, is_reporting);
        if is_reporting {
            let own = lock(&self.backends).take_own_loads(self.clock.now());
            self.core.send_event(Event::OwnLoads(own.iter().map(item_load).collect())).await;
        } else if was_reporting {
            self.core.send_event(Event::OwnLoadsEnded).await;
        }
    }

    /// Counts the servers. Loads of too many are not reported, since each figure would be too old to use.
    fn count_servers(&mut self) {
        let servers = lock(&self.backends).ids().count();
        let is_over_limit = servers > self.settings.most_items;
        if is_over_limit != self.is_over_limit {
            self.is_over_limit = is_over_limit;
            log::info!(
                target: "loads",
                servers = servers, most = self.settings.most_items, is_shared = !is_over_limit;
                "Whether loads are shared has changed with the number of servers."
            );
        }
    }
}

async fn apply_loads(
    mut loads_received: UnboundedReceiver<PeerLoads>,
    backends: Arc<Mutex<Backends>>,
    clock: Clock,
) {
    while let Some(loads_received) = loads_received.recv().await {
        let view = load_view(loads_received);
        lock(&backends).apply_load_view(&view, clock.now());
    }
}

fn lock(backends: &Mutex<Backends>) -> MutexGuard<'_, Backends> {
    backends.lock().unwrap_or_else(PoisonError::into_inner)
}

fn item_load(load: &ServerLoad) -> ItemLoad {
    let ServerLoad { server, in_flight, tokens, times } = *load;
    ItemLoad {
        item: server.0,
        in_flight: in_flight.into(),
        tokens,
        timed_tokens: times.tokens,
        timed_micros: times.micros,
    }
}

fn load_view(loads_received: PeerLoads) -> LoadView {
    let PeerLoads { first, last, age, loads } = loads_received;
    let server_load = |load: &ItemLoad| ServerLoad {
        server: ServerDigest(load.item),
        in_flight: load.in_flight.try_into().unwrap_or(u16::MAX),
        tokens: load.tokens,
        times: TokenTimes { tokens: load.timed_tokens, micros: load.timed_micros },
    };
    let loads = loads.iter().map(server_load).collect();
    LoadView { range: ServerDigest(first)..=ServerDigest(last), loads, age }
}
