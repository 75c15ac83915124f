//! Loads of servers: this daemon's own, told to other daemons, and those that others make.
//!
//! The node carries the figures without knowing what a server is; `backends` makes and uses them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dahlia_backends::{Backends, LoadView, ServerDigest, ServerLoad, TokenTimes};
use dahlia_node::{Event, ItemLoad, LoadSharingSettings, PeerLoads};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::clock::Clock;
use crate::core_handle::CoreHandle;

/// How often servers are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Whether loads are told to others. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct LoadSharingSwitch(Arc<AtomicBool>);

impl LoadSharingSwitch {
    /// Tells loads from now on, or no more. Others then forget them.
    pub fn set(&self, is_on: bool) {
        if self.0.swap(is_on, Ordering::Relaxed) != is_on {
            log::info!(target: "loads", is_on = is_on; "Sharing of servers' loads has changed.");
        }
    }

    fn is_on(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Tells others of the loads that `backends` makes while the switch is on, and tells `backends` of those
/// `heard`. The switch is off at first.
pub fn share(
    backends: &Arc<Mutex<Backends>>,
    heard: UnboundedReceiver<PeerLoads>,
    core: &CoreHandle,
    settings: &LoadSharingSettings,
    clock: Clock,
) -> LoadSharingSwitch {
    let switch = LoadSharingSwitch::default();
    let teller = Teller {
        backends: backends.clone(),
        core: core.clone(),
        switch: switch.clone(),
        settings: settings.clone(),
        clock,
        has_too_many: false,
        is_telling: false,
    };
    tokio::spawn(teller.run());
    tokio::spawn(hear(heard, backends.clone(), clock));
    switch
}

/// Tells this daemon's own loads.
struct Teller {
    backends: Arc<Mutex<Backends>>,
    core: CoreHandle,
    switch: LoadSharingSwitch,
    settings: LoadSharingSettings,
    clock: Clock,
    has_too_many: bool,
    is_telling: bool,
}

impl Teller {
    async fn run(mut self) {
        let pause = Duration::from_micros(self.settings.report_interval().as_micros());
        let mut ticks = interval(pause);
        // After a stall one look says all.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut counted_at: Option<Instant> = None;
        loop {
            ticks.tick().await;
            let is_on = self.switch.is_on();
            if is_on && counted_at.is_none_or(|at| at.elapsed() >= COUNT_INTERVAL) {
                counted_at = Some(Instant::now());
                self.count_servers();
            }
            self.tell(is_on && !self.has_too_many).await;
        }
    }

    /// Tells the loads, or once that they are told no more.
    async fn tell(&mut self, is_telling: bool) {
        let was_telling = std::mem::replace(&mut self.is_telling, is_telling);
        if is_telling {
            let own = lock(&self.backends).take_own_loads(self.clock.now());
            self.core.send_event(Event::OwnLoads(own.iter().map(item_load).collect())).await;
        } else if was_telling {
            self.core.send_event(Event::OwnLoadsEnded).await;
        }
    }

    /// Loads of too many servers are not told: what is heard of one would be too old to go by.
    fn count_servers(&mut self) {
        let servers = lock(&self.backends).ids().count();
        let has_too_many = servers > self.settings.most_items;
        if has_too_many != self.has_too_many {
            self.has_too_many = has_too_many;
            log::info!(
                target: "loads",
                servers = servers, most = self.settings.most_items, is_shared = !has_too_many;
                "Whether loads are shared has changed with the number of servers."
            );
        }
    }
}

async fn hear(
    mut heard: UnboundedReceiver<PeerLoads>,
    backends: Arc<Mutex<Backends>>,
    clock: Clock,
) {
    while let Some(heard) = heard.recv().await {
        let view = load_view(heard);
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

fn load_view(heard: PeerLoads) -> LoadView {
    let PeerLoads { first, last, age, loads } = heard;
    let server_load = |load: &ItemLoad| ServerLoad {
        server: ServerDigest(load.item),
        in_flight: load.in_flight.try_into().unwrap_or(u16::MAX),
        tokens: load.tokens,
        times: TokenTimes { tokens: load.timed_tokens, micros: load.timed_micros },
    };
    let loads = loads.iter().map(server_load).collect();
    LoadView { range: ServerDigest(first)..=ServerDigest(last), loads, age }
}
