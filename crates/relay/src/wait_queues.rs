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
pub(crate) struct WaitQueues {
    settings: WaitingSettings,
    clock: Clock,
    queues: Mutex<HashMap<ServiceName, ServiceQueue>>,
}

struct ServiceQueue {
    queue: AdmissionQueue,
    wakeups: HashMap<Ticket, oneshot::Sender<Wakeup>>,
}

impl WaitQueues {
    pub(crate) fn new(settings: WaitingSettings, clock: Clock) -> Arc<Self> {
        Arc::new(Self { settings, clock, queues: Mutex::default() })
    }

    /// Records the arrival of a new request.
    pub(crate) fn record_arrival(&self, service: &ServiceName, request: &QueuedRequest) {
        self.with_queue(service, |service, now| service.queue.record_arrival(request, now));
    }

    /// Whether a request may try to get a server at once.
    pub(crate) fn may_skip_queue(&self, service: &ServiceName, request: &QueuedRequest) -> bool {
        self.with_queue(service, |service, now| service.queue.may_skip_queue(request, now))
    }

    /// Records that a request goes to a server.
    pub(crate) fn record_dispatch(&self, service: &ServiceName, request: &QueuedRequest) {
        self.with_queue(service, |service, now| service.queue.record_dispatch(request, now));
    }

    /// Records that all servers were full for a request.
    pub(crate) fn record_servers_full(&self, service: &ServiceName) {
        self.with_queue(service, |service, now| service.queue.record_servers_full(now));
    }

    /// When a request that is refused now should be retried.
    pub(crate) fn retry_after(
        &self,
        service: &ServiceName,
        request: &QueuedRequest,
        min_delay: Duration,
    ) -> Duration {
        self.with_queue(service, |service, now| service.queue.retry_after(request, min_delay, now))
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    /// The queue rejects the request at once.
    pub(crate) fn enqueue(
        self: &Arc<Self>,
        service: &ServiceName,
        request: QueuedRequest,
    ) -> Result<QueuedWait, QueueRejection> {
        let (sender, wakeup) = oneshot::channel();
        let ticket = self.with_queue(service, |service, now| {
            let entry = service.queue.enqueue(request, now)?;
            entry.displaced.iter().for_each(|ticket| {
                service.wake(*ticket, Wakeup::Reject(QueueRejection::Displaced));
            });
            service.wakeups.insert(entry.ticket, sender);
            Ok(entry.ticket)
        })?;
        let queues = Arc::clone(self);
        Ok(QueuedWait { queues, service: service.clone(), ticket, wakeup, wakes_next: true })
    }

    /// Records that an attempt at a server ended, and wakes the next request. An attempt that the
    /// server did not serve to its end does not count: it is no sample of the server's pace, and
    /// frees no capacity for programs.
    fn record_attempt_end(&self, service: &ServiceName, service_time: Option<Duration>) {
        self.with_queue(service, |service, now| {
            if let Some(elapsed) = service_time {
                service.queue.record_attempt_end(elapsed, now);
            }
            service.wake_next(now);
        });
    }

    /// The number of waiting requests by rank, over all services.
    pub(crate) fn len_by_rank(&self) -> BTreeMap<u32, usize> {
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

    fn with_queue<R>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut ServiceQueue, Timestamp) -> R,
    ) -> R {
        let now = (self.clock)();
        let mut queues = self.lock();
        if let Some(queue) = queues.get_mut(service) {
            return operation(queue, now);
        }
        let queue = AdmissionQueue::new(self.settings.clone());
        let new_queue = ServiceQueue { queue, wakeups: HashMap::new() };
        operation(queues.entry(service.clone()).or_insert(new_queue), now)
    }
}

impl ServiceQueue {
    fn wake_next(&mut self, now: Timestamp) {
        while let Some(ticket) = self.queue.dequeue(now) {
            if self.wake(ticket, Wakeup::Dispatch) {
                return;
            }
        }
    }

    /// Wakes a waiting request. Returns whether it was still waiting.
    fn wake(&mut self, ticket: Ticket, wakeup: Wakeup) -> bool {
        self.wakeups.remove(&ticket).is_some_and(|sender| sender.send(wakeup).is_ok())
    }
}

/// A request in a queue. Dropping this removes the request from the queue; if the request was woken
/// before, the next one is woken.
pub(crate) struct QueuedWait {
    queues: Arc<WaitQueues>,
    service: ServiceName,
    ticket: Ticket,
    wakeup: oneshot::Receiver<Wakeup>,
    wakes_next: bool,
}

impl QueuedWait {
    /// Waits until the request is woken.
    pub(crate) async fn wakeup(&mut self) -> Wakeup {
        (&mut self.wakeup).await.unwrap_or(Wakeup::Reject(QueueRejection::WaitTimeout))
    }

    /// Wakes this request if it is the next one, although no attempt ended: a server's pause may be
    /// over.
    pub(crate) fn wake_if_next(&mut self) {
        let ticket = self.ticket;
        self.queues.with_queue(&self.service, |service, now| {
            if service.queue.is_next(ticket, now) {
                service.wake_next(now);
            }
        });
    }

    /// Notes that all servers were still full after the request was woken, so that no other request
    /// is woken now.
    pub(crate) fn skip_next_wake(mut self) {
        self.wakes_next = false;
    }
}

impl Drop for QueuedWait {
    fn drop(&mut self) {
        let (ticket, wakes_next) = (self.ticket, self.wakes_next);
        self.queues.with_queue(&self.service, |service, now| {
            service.wakeups.remove(&ticket);
            if !service.queue.remove(ticket) && wakes_next {
                service.wake_next(now);
            }
        });
    }
}

/// A server's slot that an attempt occupies. Dropping this lets the next request try.
pub(crate) struct SlotGuard {
    queues: Arc<WaitQueues>,
    service: ServiceName,
    started: Timestamp,
    was_served: bool,
}

impl SlotGuard {
    pub(crate) fn new(queues: &Arc<WaitQueues>, service: &ServiceName) -> Self {
        let started = (queues.clock)();
        Self { queues: Arc::clone(queues), service: service.clone(), started, was_served: false }
    }

    /// Records how the attempt ended, as far as is known.
    pub(crate) fn record_end(&mut self, end: AttemptEnd) {
        self.was_served =
            matches!(end, AttemptEnd::Answered | AttemptEnd::Broken | AttemptEnd::Failed);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let elapsed = (self.queues.clock)().since(self.started);
        self.queues.record_attempt_end(&self.service, self.was_served.then_some(elapsed));
    }
}
