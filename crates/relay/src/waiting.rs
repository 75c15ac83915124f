//! Requests that wait at this gateway: one queue for each service, and the messages that end a
//! wait.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahlia_admission::{AdmissionQueue, QueueRejection, QueuedRequest, Ticket, WaitingSettings};
use dahlia_backends::{AttemptEnd, ServiceName};
use dahlia_types::{Duration, Timestamp};
use tokio::sync::oneshot;

use crate::relay::Clock;

/// What ends the wait of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wakeup {
    /// The request may try to get a server.
    Dispatch,
    /// The request is rejected.
    Reject(QueueRejection),
}

/// The queues of all services.
pub(crate) struct Waiting {
    settings: WaitingSettings,
    clock: Clock,
    queues: Mutex<HashMap<ServiceName, ServiceQueue>>,
}

struct ServiceQueue {
    queue: AdmissionQueue,
    told: HashMap<Ticket, oneshot::Sender<Wakeup>>,
}

impl Waiting {
    pub(crate) fn new(settings: WaitingSettings, clock: Clock) -> Arc<Self> {
        Arc::new(Self { settings, clock, queues: Mutex::default() })
    }

    /// Records the arrival of a new request.
    pub(crate) fn came(&self, service: &ServiceName, request: &QueuedRequest) {
        self.with(service, |service, now| service.queue.record_arrival(request, now));
    }

    /// Whether a request may try to get a server at once.
    pub(crate) fn goes_first(&self, service: &ServiceName, request: &QueuedRequest) -> bool {
        self.with(service, |service, now| service.queue.may_skip_queue(request, now))
    }

    /// Records that a request goes to a server.
    pub(crate) fn went(&self, service: &ServiceName, request: &QueuedRequest) {
        self.with(service, |service, now| service.queue.record_dispatch(request, now));
    }

    /// Records that all servers were full for a request.
    pub(crate) fn was_full(&self, service: &ServiceName) {
        self.with(service, |service, now| service.queue.record_servers_full(now));
    }

    /// When a request that is refused now should be retried.
    pub(crate) fn come_back(
        &self,
        service: &ServiceName,
        request: &QueuedRequest,
        least: Duration,
    ) -> Duration {
        self.with(service, |service, now| service.queue.retry_after(request, least, now))
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    /// The queue rejects the request at once.
    pub(crate) fn join(
        self: &Arc<Self>,
        service: &ServiceName,
        request: QueuedRequest,
    ) -> Result<Place, QueueRejection> {
        let (sender, told) = oneshot::channel();
        let ticket = self.with(service, |service, now| {
            let joined = service.queue.enqueue(request, now)?;
            joined.displaced.iter().for_each(|ticket| {
                service.tell(*ticket, Wakeup::Reject(QueueRejection::Displaced));
            });
            service.told.insert(joined.ticket, sender);
            Ok(joined.ticket)
        })?;
        let waiting = Arc::clone(self);
        Ok(Place { waiting, service: service.clone(), ticket, told, passes_on: true })
    }

    /// Records that an attempt at a server ended, and wakes the next request. An attempt that the
    /// server did not serve to its end does not count: it is no sample of the server's pace, and
    /// frees no capacity for programs.
    fn ended(&self, service: &ServiceName, served_in: Option<Duration>) {
        self.with(service, |service, now| {
            if let Some(took) = served_in {
                service.queue.record_attempt_end(took, now);
            }
            service.let_next_go(now);
        });
    }

    /// The number of waiting requests by rank, over all services.
    pub(crate) fn by_rank(&self) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        for service in self.lock().values() {
            for (rank, count) in service.queue.len_by_rank() {
                *counts.entry(rank).or_default() += count;
            }
        }
        counts
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<R>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut ServiceQueue, Timestamp) -> R,
    ) -> R {
        let now = (self.clock)();
        let mut queues = self.lock();
        if let Some(found) = queues.get_mut(service) {
            return act(found, now);
        }
        let queue = AdmissionQueue::new(self.settings.clone());
        let fresh = ServiceQueue { queue, told: HashMap::new() };
        act(queues.entry(service.clone()).or_insert(fresh), now)
    }
}

impl ServiceQueue {
    fn let_next_go(&mut self, now: Timestamp) {
        while let Some(ticket) = self.queue.dequeue(now) {
            if self.tell(ticket, Wakeup::Dispatch) {
                return;
            }
        }
    }

    /// Wakes a waiting request. Returns whether it was still waiting.
    fn tell(&mut self, ticket: Ticket, told: Wakeup) -> bool {
        self.told.remove(&ticket).is_some_and(|sender| sender.send(told).is_ok())
    }
}

/// A request in a queue. Dropping this removes the request from the queue; if the request was woken
/// before, the next one is woken.
pub(crate) struct Place {
    waiting: Arc<Waiting>,
    service: ServiceName,
    ticket: Ticket,
    told: oneshot::Receiver<Wakeup>,
    passes_on: bool,
}

impl Place {
    /// Waits until the request is woken.
    pub(crate) async fn told(&mut self) -> Wakeup {
        (&mut self.told).await.unwrap_or(Wakeup::Reject(QueueRejection::WaitTimeout))
    }

    /// Wakes this request if it is the next one, although no attempt ended: a server's pause may be
    /// over.
    pub(crate) fn look_again(&mut self) {
        let ticket = self.ticket;
        self.waiting.with(&self.service, |service, now| {
            if service.queue.is_next(ticket, now) {
                service.let_next_go(now);
            }
        });
    }

    /// Notes that all servers were still full after the request was woken, so that no other request
    /// is woken now.
    pub(crate) fn was_in_vain(mut self) {
        self.passes_on = false;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let (ticket, passes_on) = (self.ticket, self.passes_on);
        self.waiting.with(&self.service, |service, now| {
            service.told.remove(&ticket);
            if !service.queue.remove(ticket) && passes_on {
                service.let_next_go(now);
            }
        });
    }
}

/// A server's slot that an attempt occupies. Dropping this lets the next request try.
pub(crate) struct SlotGuard {
    waiting: Arc<Waiting>,
    service: ServiceName,
    since: Timestamp,
    was_served: bool,
}

impl SlotGuard {
    pub(crate) fn new(waiting: &Arc<Waiting>, service: &ServiceName) -> Self {
        let since = (waiting.clock)();
        Self { waiting: Arc::clone(waiting), service: service.clone(), since, was_served: false }
    }

    /// Records how the attempt ended, as far as is known.
    pub(crate) fn ended(&mut self, end: AttemptEnd) {
        self.was_served =
            matches!(end, AttemptEnd::Answered | AttemptEnd::Broken | AttemptEnd::Failed);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let took = (self.waiting.clock)().since(self.since);
        self.waiting.ended(&self.service, self.was_served.then_some(took));
    }
}
