//! Before step 4: obtains a server for a request. While all servers are full, the request waits in
//! the queue, but only as long as its caller can still retry elsewhere. Then it is refused with a
//! retry time.

use dahlia_admission::{QueueRejection, QueuedRequest, Stage, TenantKey};
use dahlia_backends::Choice;
use dahlia_types::{Duration, Timestamp};
use tokio::select;
use tokio::time::{self, Instant, sleep};

use crate::TurnLedger;
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::router::hash_key;
use crate::server_response::ChosenServer;
use crate::wait_queues::{QueuedWait, Wakeup};

/// How often the next request in the queue checks for a free server. Pauses of servers end and
/// servers join without any attempt ending.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(25);

impl<L: TurnLedger> Exchange<L> {
    /// Chooses a server for the request, or waits for one.
    ///
    /// # Errors
    /// No server is available, or none in time.
    pub(crate) async fn acquire_server(&mut self) -> Result<ChosenServer, Refusal> {
        // A request that may have run is not refused with a retry time, so its caller should learn
        // of the loss at once instead of after a wait.
        // One that needs a certain version would also hold up those behind it that servers of others take.
        if !self.may_wait() || self.may_have_run() || self.is_bound_to_version() {
            return match self.choose_server() {
                Choice::Use { server, basis } => Ok(self.chosen_server(server, &basis)),
                Choice::Full { retry_after } | Choice::NoBackend { retry_after } => {
                    Err(self.refusal_without_server(retry_after))
                }
            };
        }
        let request = self.queued_request();
        let mut wait: Option<QueuedWait> = None;
        loop {
            let mut min_retry_after = Duration::ZERO;
            if wait.is_some() || self.may_skip_queue(&request) {
                match self.choose_server() {
                    Choice::Use { server, basis } => {
                        self.record_dispatch(&request);
                        return Ok(self.chosen_server(server, &basis));
                    }
                    Choice::NoBackend { retry_after } => {
                        return Err(self.refusal_without_server(retry_after));
                    }
                    Choice::Full { retry_after } => min_retry_after = retry_after,
                }
                self.shared.queues.record_servers_full(self.matched.service_name());
                if let Some(wait) = wait.take() {
                    wait.skip_next_wake();
                }
            }
            wait = Some(self.wait_in_queue(&request, min_retry_after).await?);
        }
    }

    fn may_wait(&self) -> bool {
        self.shared.settings.waiting.enabled && self.matched.may_wait()
    }

    fn may_skip_queue(&self, request: &QueuedRequest) -> bool {
        let service = self.matched.service_name();
        if self.is_first_attempt() {
            self.shared.queues.record_arrival(service, request);
        }
        self.shared.queues.may_skip_queue(service, request)
    }

    /// Records that the request goes to a server, once for all its attempts.
    fn record_dispatch(&self, request: &QueuedRequest) {
        if self.is_first_attempt() {
            self.shared.queues.record_dispatch(self.matched.service_name(), request);
        }
    }

    /// Waits in the queue until the request may try again.
    async fn wait_in_queue(
        &self,
        request: &QueuedRequest,
        min_retry_after: Duration,
    ) -> Result<QueuedWait, Refusal> {
        let reject = |reason| self.reject(request, reason, min_retry_after);
        let mut wait =
            self.shared.queues.enqueue(self.matched.service_name(), *request).map_err(reject)?;
        self.log.wait_started(request);
        let started = Instant::now();
        let max_wait = request.leave_by.since((self.shared.clock)());
        let end = started + time::Duration::from_micros(max_wait.as_micros());
        loop {
            let wakeup = select! {
                biased;
                wakeup = wait.wakeup() => wakeup,
                () = time::sleep_until(end) => Wakeup::Reject(QueueRejection::WaitTimeout),
                () = sleep(RECHECK_INTERVAL) => {
                    wait.wake_if_next();
                    continue;
                }
            };
            self.log.wait_ended(started.elapsed());
            return match wakeup {
                Wakeup::Dispatch => Ok(wait),
                Wakeup::Reject(reason) => Err(reject(reason)),
            };
        }
    }

    fn reject(
        &self,
        request: &QueuedRequest,
        reason: QueueRejection,
        min_retry_after: Duration,
    ) -> Refusal {
        let service = self.matched.service_name();
        let retry_after = self.shared.queues.retry_after(service, request, min_retry_after);
        self.record_retry_later();
        Refusal::Rejected { reason, retry_after }
    }

    fn queued_request(&self) -> QueuedRequest {
        let tenant = self.matched.tenant();
        let tenant = tenant.map(|tenant| TenantKey(hash_key(tenant.name.as_str().as_bytes())));
        QueuedRequest {
            rank: self.matched.rank().earlier,
            stage: self.stage(),
            tenant: tenant.unwrap_or_default(),
            cost: self.cost(),
            bytes: self.body_bytes(),
            due: self.due_at(),
            leave_by: self.leave_by,
        }
    }

    /// When the request or its program must end to be in time.
    fn due_at(&self) -> Timestamp {
        self.arrived + self.program_time_left().unwrap_or(self.route().objective)
    }

    /// The last moment at which a caller with this much time left can still be told to retry.
    pub(crate) fn leave_by(arrived: Timestamp, time_left: time::Duration, share: f64) -> Timestamp {
        arrived + Duration::from_secs_f64(time_left.as_secs_f64() * share)
    }

    fn stage(&self) -> Stage {
        match self.has_previous_turn() {
            true => Stage::UnderWay,
            false => self.program_stage(),
        }
    }
}
