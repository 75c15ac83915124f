//! A place at a server, before step 4. While there is none, the request waits for its turn, for no longer than
//! its caller can do without; then it is refused, and its caller told when to come back.

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

/// How often who is next looks whether a server takes it: pauses end, and servers come, without an end
/// of an attempt.
const LOOK_AGAIN: time::Duration = time::Duration::from_millis(25);

impl<L: TurnLedger> Exchange<L> {
    /// A server for the request.
    ///
    /// # Errors
    /// There is none, or none in time.
    pub(crate) async fn take_place(&mut self) -> Result<Chosen, Refusal> {
        // What may have run is not told to come back, so waiting would only hide that from its caller.
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

    /// It goes to a server. One that comes to a second server has taken up its turns before.
    fn goes(&self, waiter: &QueuedRequest) {
        if self.is_new() {
            self.shared.waiting.went(self.matched.service_name(), waiter);
        }
    }

    /// Waits until its turn comes.
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

    /// When the request, or its program, has to be over to be in time.
    fn due(&self) -> Timestamp {
        self.arrived + self.program_time_left().unwrap_or(self.route().objective)
    }

    /// The last moment at which a caller with so much time can still be sent to come back.
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
