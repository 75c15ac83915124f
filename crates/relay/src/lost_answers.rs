//! Step 5, when a server has not answered: counts what the request has had, and decides whether another server gets it.

use dahlia_types::Duration;

use crate::counted_runs::PossibleRun;
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::repeat_budget::{RepeatPermit, ServiceBudget};
use crate::repeats::{Loss, RepeatCause, WithheldReason};
use crate::{Repeatability, TurnLedger};

impl<L: TurnLedger> Exchange<L> {
    /// Notes that the last server did not run the request.
    ///
    /// # Errors
    /// As many servers have refused it as may.
    pub(crate) fn handle_not_run(&mut self, retry_after: Option<Duration>) -> Result<(), Refusal> {
        self.mark_not_run();
        self.refusals += 1;
        self.repeat_cause = Some(RepeatCause::NotRun);
        if self.refusals < self.shared.settings.most_refusals {
            return Ok(());
        }
        let default = Duration::from_millis(self.shared.settings.retry_after_ms);
        Err(self.refusal_without_server(retry_after.unwrap_or(default)))
    }

    /// Notes that the last server may have run the request and that its answer is lost.
    ///
    /// # Errors
    /// No other server may run it.
    pub(crate) async fn handle_answer_lost(&mut self, loss: Loss) -> Result<(), Refusal> {
        let Loss { cause, permit } = loss;
        self.is_sent = false;
        self.lost_answers += 1;
        self.repeat_cause = Some(RepeatCause::Lost(cause));
        let last_run = self.current.take().map(|server| PossibleRun { server, cause });
        if let Some(run) = &last_run {
            self.counted_runs.add(run.clone());
            self.record_end(run).await;
        }
        let decision = self.reserve_repeat(permit).await;
        if decision.as_ref().is_err_and(|reason| *reason != WithheldReason::EndedServers) {
            self.tell_ended_servers().await;
        }
        if let Some(run) = &last_run {
            let counted = self.counted_runs.len();
            let withheld = decision.as_ref().err().copied();
            self.log.answer_lost(run, counted, self.route().max_attempts, withheld);
        }
        self.permit = Some(decision.map_err(|_| Refusal::AnswerLost)?);
        Ok(())
    }

    /// Reserves a repeat of the request, whose last answer is lost, unless `permit` is one.
    async fn reserve_repeat(
        &mut self,
        permit: Option<RepeatPermit>,
    ) -> Result<RepeatPermit, WithheldReason> {
        if !self.may_run_again() {
            return Err(WithheldReason::RunsOnce);
        }
        let max_attempts = self.route().max_attempts;
        if !self.counted_runs.allow_another(max_attempts, &self.shared, &self.log).await {
            return Err(WithheldReason::AttemptLimit);
        }
        let permit = permit.or_else(|| self.service_budget().reserve());
        let permit = permit.ok_or(WithheldReason::Budget)?;
        match self.may_reach_further_server().await {
            true => Ok(permit),
            false => Err(WithheldReason::EndedServers),
        }
    }

    /// Whether another server may get the request if the next one loses its answer.
    pub(crate) fn may_move_on(&self) -> bool {
        self.may_run_again() && self.counted_runs.len() + 1 < self.route().max_attempts as usize
    }

    /// Notes a send: a first one allows a share of a repeat, a repeat uses its permit.
    pub(crate) fn record_send(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.spend();
        } else if self.is_first_attempt() && self.may_run_again() {
            self.service_budget().record_first_send();
        }
    }

    /// Whether the request may run on more than one server. A stream that cannot be resumed runs at
    /// most once, whatever its route says.
    pub(crate) fn may_run_again(&self) -> bool {
        let route = self.route();
        match route.is_stream {
            true => route.is_resumable,
            false => route.repeatability == Repeatability::Repeatable,
        }
    }

    pub(crate) fn service_budget(&self) -> ServiceBudget {
        self.shared.repeats.of_service(self.matched.service_name())
    }
}
