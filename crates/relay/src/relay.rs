//! The relay: the state that all requests share, and the interface to the daemon.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use dahlia_backends::{Backends, EvacuatedZone};
use dahlia_types::{Timestamp, Zone};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use crate::active_programs::ActivePrograms;
use crate::caller_connections::CallerConnections;
use crate::counters::{CounterReadings, Counters};
use crate::crash_evidence::UncertainEnds;
use crate::crash_suspects::CrashSuspects;
use crate::list_freshness::ListFreshness;
use crate::liveness::ServerLiveness;
use crate::memory::MemoryQuota;
use crate::metrics::RelayMetrics;
use crate::pool::Pool;
use crate::repeat_budget::RepeatBudgets;
use crate::router::RouteIndex;
use crate::unframed_services::UnframedServices;
use crate::wait_queues::WaitQueues;
use crate::{
    CallerLimits, HeaderNames, RelaySettings, RouteTable, StreamOrigins, TenantLimits, TurnLedger,
    server,
};

/// Returns the daemon's time, for [`Backends`] and the ledger.
pub type Clock = Arc<dyn Fn() -> Timestamp + Send + Sync>;

/// The state that all requests share.
pub(crate) struct Shared<L> {
    pub(crate) settings: Arc<RelaySettings>,
    pub(crate) headers: HeaderNames,
    pub(crate) clock: Clock,
    pub(crate) ledger: L,
    pub(crate) backends: Arc<Mutex<Backends>>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) metrics: Arc<RelayMetrics>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) list_freshness: ListFreshness,
    pub(crate) liveness: Arc<ServerLiveness>,
    pub(crate) memory: Arc<MemoryQuota>,
    pub(crate) repeats: Arc<RepeatBudgets>,
    pub(crate) programs: ActivePrograms,
    pub(crate) suspects: Arc<CrashSuspects>,
    pub(crate) uncertain_ends: UncertainEnds,
    pub(crate) unframed_services: UnframedServices,
    pub(crate) origins: Arc<StreamOrigins>,
    pub(crate) queues: Arc<WaitQueues>,
    pub(crate) connections: Arc<CallerConnections>,
    /// A permit for each request in progress that was sent ahead.
    pub(crate) sent_ahead: Semaphore,
    pub(crate) drain: watch::Sender<bool>,
    pub(crate) stops_accepting: watch::Sender<bool>,
    refuses_requests: AtomicBool,
    is_cut_off: AtomicBool,
    closes_after_answers: AtomicBool,
    routing: RwLock<Option<Arc<RouteIndex>>>,
}

impl<L> Shared<L> {
    /// The routes in force; none before the first configuration.
    pub(crate) fn routing(&self) -> Option<Arc<RouteIndex>> {
        self.routing.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The limits in force; the defaults before the first routes are set.
    pub(crate) fn limits(&self) -> CallerLimits {
        self.routing().map(|routing| routing.table().limits.clone()).unwrap_or_default()
    }

    pub(crate) fn refuses_requests(&self) -> bool {
        self.refuses_requests.load(Ordering::Relaxed)
    }

    /// Whether answers close their connections, so that callers send their next requests to another
    /// gateway.
    pub(crate) fn closes_connections(&self) -> bool {
        *self.drain.borrow()
            || self.is_cut_off.load(Ordering::Relaxed)
            || self.closes_after_answers.load(Ordering::Relaxed)
    }
}

/// Relays callers' requests to servers. Clones share one relay.
pub struct Relay<L> {
    shared: Arc<Shared<L>>,
}

impl<L> Clone for Relay<L> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared) }
    }
}

impl<L: TurnLedger + TenantLimits> Relay<L> {
    /// Creates a relay without routes. It refuses every request until [`Relay::set_routes`].
    pub fn new(
        settings: RelaySettings,
        headers: HeaderNames,
        clock: Clock,
        ledger: L,
        backends: Arc<Mutex<Backends>>,
    ) -> Self {
        let shared = Shared {
            headers,
            queues: WaitQueues::new(settings.waiting.clone(), Arc::clone(&clock)),
            clock,
            ledger,
            backends,
            counters: Arc::default(),
            metrics: Arc::new(RelayMetrics::new()),
            pool: Arc::new(Pool::new()),
            list_freshness: ListFreshness::new(&settings),
            liveness: Arc::default(),
            memory: MemoryQuota::new(&settings),
            connections: CallerConnections::new(&settings),
            sent_ahead: Semaphore::new(settings.most_sent_ahead),
            repeats: RepeatBudgets::new(&settings),
            programs: ActivePrograms::default(),
            suspects: CrashSuspects::new(&settings),
            uncertain_ends: UncertainEnds::default(),
            unframed_services: UnframedServices::default(),
            origins: Arc::default(),
            drain: watch::Sender::new(false),
            stops_accepting: watch::Sender::new(false),
            refuses_requests: AtomicBool::new(false),
            is_cut_off: AtomicBool::new(false),
            closes_after_answers: AtomicBool::new(false),
            routing: RwLock::new(None),
            settings: Arc::new(settings),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Replaces the routes for all requests whose body is complete from now on.
    pub fn set_routes(&self, table: Arc<RouteTable>) {
        let routing = Some(Arc::new(RouteIndex::new(table)));
        *self.shared.routing.write().unwrap_or_else(PoisonError::into_inner) = routing;
    }

    /// Replaces the set of evacuated zones. No further request is sent to servers of these zones,
    /// and all other zones are used again. Requests that are already there finish; idle connections
    /// to these zones close.
    pub fn evacuate(&self, zones: BTreeSet<Zone>) {
        let now = (self.shared.clock)();
        let mut backends = self.lock_backends();
        let evacuated_before: Vec<Zone> =
            backends.evacuations().into_iter().map(|it| it.zone).collect();
        let restored = evacuated_before.into_iter().filter(|zone| !zones.contains(zone));
        // Servers without traffic may have turned cold, and they report that only with their next
        // entry.
        restored.for_each(|zone| backends.presume_cold(&zone, now));
        backends.evacuate(zones);
        self.shared.pool.close(|server| backends.is_evacuated(server));
    }

    /// Marks zones from which nobody answers this gateway. Their servers receive as few requests as
    /// possible.
    pub fn set_silent_zones(&self, silent: BTreeSet<Zone>) {
        self.lock_backends().set_silent_zones(silent);
    }

    /// Records that the list of servers is complete as of a time.
    pub fn record_list_complete(&self, as_of: Instant) {
        self.shared.list_freshness.record_complete(as_of);
    }

    /// Records that the source of the list of servers does not answer, so that no request waits for a newer one.
    pub fn record_list_source_silent(&self) {
        self.shared.list_freshness.record_silence();
    }

    /// Where this relay's streams began, for the daemon that spreads it.
    pub fn stream_origins(&self) -> Arc<StreamOrigins> {
        Arc::clone(&self.shared.origins)
    }

    /// The requests under which servers ended, for the daemon that tells other gateways of them.
    pub fn crash_suspects(&self) -> Arc<CrashSuspects> {
        Arc::clone(&self.shared.suspects)
    }

    /// Settles which servers have ended, by what has been heard of them, and forgets what is too old.
    pub fn review_crash_suspects(&self) {
        self.shared.settle_uncertain_ends();
        self.shared.suspects.prune((self.shared.clock)());
    }

    /// The zones that are being evacuated, and the requests still running there.
    pub fn evacuations(&self) -> Vec<EvacuatedZone> {
        self.lock_backends().evacuations()
    }

    fn lock_backends(&self) -> MutexGuard<'_, Backends> {
        self.shared.backends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts callers' connections until [`Relay::stop_accepting`], or until the future is dropped;
    /// open connections outlive it. To stop, call [`Relay::begin_drain`] and later
    /// [`Relay::stop_accepting`], and wait until this future has ended and [`Relay::counters`] shows
    /// no request in progress, no open connection and no unsettled turn.
    pub async fn serve(&self, listener: TcpListener) {
        server::accept(&self.shared, listener).await;
    }

    /// From now on answers close their connections. Idle connections stay open, because a request may
    /// be on its way on them: a caller that uses one soon gets an answer that closes it.
    pub fn close_after_answers(&self) {
        self.shared.closes_after_answers.store(true, Ordering::Relaxed);
    }

    /// Starts draining: requests are still served, but answers close their connections, and idle
    /// connections close.
    pub fn begin_drain(&self) {
        self.shared.drain.send_replace(true);
    }

    /// While this is set, answers close their callers' connections: this gateway is cut off, and a
    /// caller that connects again may reach another gateway. Idle connections stay open, because a
    /// caller cannot tell a closed idle connection from a lost request.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        self.shared.is_cut_off.store(is_cut_off, Ordering::Relaxed);
    }

    /// Refuses every request whose body is complete from now on. Refused requests have not run, and
    /// their callers get a retry time. This is for the end of a planned stop, when a request that
    /// starts now might be cut off. Callers may still connect, because whoever routes them to this
    /// gateway learns of the stop late.
    pub fn refuse_new_requests(&self) {
        self.shared.refuses_requests.store(true, Ordering::Relaxed);
    }

    /// Accepts the connections that callers have opened already, and no more: the listener closes,
    /// so that further callers know at once that they have to connect elsewhere.
    pub fn stop_accepting(&self) {
        self.shared.stops_accepting.send_replace(true);
    }

    /// Registers the relay's metrics.
    ///
    /// # Errors
    /// One of the names is registered already.
    pub fn register_metrics(&self, registry: &prometheus::Registry) -> prometheus::Result<()> {
        self.shared.metrics.register(registry)
    }

    /// Updates the registered metrics. Call this before each reading.
    pub fn refresh_metrics(&self) {
        self.shared.metrics.refresh(&self.counters());
        let now = (self.shared.clock)();
        let backends = self.shared.backends.lock().unwrap_or_else(PoisonError::into_inner);
        self.shared.metrics.refresh_cold(backends.cold_stats(now));
        drop(backends);
        self.shared.metrics.refresh_waiting(&self.shared.queues.len_by_rank());
    }

    /// The number of requests whose answer the caller's connection has not yet taken completely.
    pub fn in_progress(&self) -> u64 {
        self.counters().in_progress
    }

    /// The current values of all counters.
    pub fn counters(&self) -> CounterReadings {
        let evacuations = self.evacuations();
        let in_flight = evacuations.iter().map(|zone| u64::from(zone.in_flight));
        CounterReadings {
            evacuated_zones: evacuations.len() as u64,
            in_evacuated_zones: in_flight.sum(),
            waiting: self.shared.queues.len_by_rank().values().sum::<usize>() as u64,
            held_bytes: self.shared.memory.reserved() as u64,
            connection_buffer_bytes: self.shared.memory.connection_buffers() as u64,
            connection_bytes: self.shared.connections.bytes() as u64,
            displaced: self.shared.connections.displaced(),
            ..self.shared.counters.read()
        }
    }
}
