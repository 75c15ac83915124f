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
use crate::live::Chosen;
use crate::refusal::Refusal;
use crate::router::key_of;
use crate::waiting::{Place, Wakeup};

/// How often the next request in the queue checks for a free server. Pauses of servers end and
/// servers join without any attempt ending.
const LOOK_AGAIN: time::Duration = time::Duration::from_millis(25);

impl<L: TurnLedger> Exchange<L> {
    /// Chooses a server for the request, or waits for one.
    ///
    /// # Errors
    /// No server is available, or none in time.
    pub(crate) async fn take_place(&mut self) -> Result<Chosen, Refusal> {
        // A request that may have run is not refused with a retry time, so its caller should learn
        // of the loss at once instead of after a wait.
        if !self.may_wait() || self.may_have_run() {
            return match self.choose() {
                Choice::Use { server, basis } => Ok(self.chosen(server, &basis)),
                Choice::Full { retry_after } | Choice::NoBackend { retry_after } => {
                    Err(self.give_up(retry_after))
                }
            };
        }
        let waiter = self.waiter();
        let mut place: Option<Place> = None;
        loop {
            let mut least = Duration::ZERO;
            if place.is_some() || self.goes_first(&waiter) {
                match self.choose() {
                    Choice::Use { server, basis } => {
                        self.goes(&waiter);
                        return Ok(self.chosen(server, &basis));
                    }
                    Choice::NoBackend { retry_after } => return Err(self.give_up(retry_after)),
                    Choice::Full { retry_after } => least = retry_after,
                }
                self.shared.waiting.was_full(self.matched.service_name());
                if let Some(place) = place.take() {
                    place.was_in_vain();
                }
            }
            place = Some(self.wait(&waiter, least).await?);
        }
    }

    fn may_wait(&self) -> bool {
        self.shared.settings.waiting.enabled && self.matched.may_wait()
    }

    fn goes_first(&self, waiter: &QueuedRequest) -> bool {
        let service = self.matched.service_name();
        if self.is_new() {
            self.shared.waiting.came(service, waiter);
        }
        self.shared.waiting.goes_first(service, waiter)
    }

    /// Records that the request goes to a server, once for all its attempts.
    fn goes(&self, waiter: &QueuedRequest) {
        if self.is_new() {
            self.shared.waiting.went(self.matched.service_name(), waiter);
        }
    }

    /// Waits in the queue until the request may try again.
    async fn wait(&self, waiter: &QueuedRequest, least: Duration) -> Result<Place, Refusal> {
        let refuse = |why| self.refuse_place(waiter, why, least);
        let mut place =
            self.shared.waiting.join(self.matched.service_name(), *waiter).map_err(refuse)?;
        self.log.waits(waiter);
        let began = Instant::now();
        let most = waiter.leave_by.since((self.shared.clock)());
        let end = began + time::Duration::from_micros(most.as_micros());
        loop {
            let told = select! {
                biased;
                told = place.told() => told,
                () = time::sleep_until(end) => Wakeup::Reject(QueueRejection::WaitTimeout),
                () = sleep(LOOK_AGAIN) => {
                    place.look_again();
                    continue;
                }
            };
            self.log.waited(began.elapsed());
            return match told {
                Wakeup::Dispatch => Ok(place),
                Wakeup::Reject(why) => Err(refuse(why)),
            };
        }
    }

    fn refuse_place(
        &self,
        waiter: &QueuedRequest,
        why: QueueRejection,
        least: Duration,
    ) -> Refusal {
        let service = self.matched.service_name();
        let retry_after = self.shared.waiting.come_back(service, waiter, least);
        self.told_to_come_back();
        Refusal::NoPlace { why, retry_after }
    }

    fn waiter(&self) -> QueuedRequest {
        let tenant = self.matched.tenant();
        let tenant = tenant.map(|tenant| TenantKey(key_of(tenant.name.as_str().as_bytes())));
        QueuedRequest {
            rank: self.matched.rank().earlier,
            stage: self.stage(),
            tenant: tenant.unwrap_or_default(),
            cost: self.cost(),
            bytes: self.body_bytes(),
            due: self.due(),
            leave_by: self.leave_by,
        }
    }

    /// When the request or its program must end to be in time.
    fn due(&self) -> Timestamp {
        self.arrived + self.program_time_left().unwrap_or(self.route().objective)
    }

    /// The last moment at which a caller with this much time left can still be told to retry.
    pub(crate) fn leave_by(arrived: Timestamp, left: time::Duration, share: f64) -> Timestamp {
        arrived + Duration::from_secs_f64(left.as_secs_f64() * share)
    }

    fn stage(&self) -> Stage {
        match self.goes_on() {
            true => Stage::UnderWay,
            false => self.stage_by_head(),
        }
    }
}
