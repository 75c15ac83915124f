//! Sends a relay's requests to the keepers of tenants' rate limits, which are the owners of replica
//! groups.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahlia_ledger::group_of_tenant;
use dahlia_limits::{
    Admission, DelayedRequest, KeeperAnswer, KeeperTerm, LimitCommand, LimitGateway, LimitReply,
    LimitSettings, ProgramKey, ProgramRequest, UsageReport, VersionedLimit,
};
use dahlia_node::request::{Request, Response};
use dahlia_relay::{LimitReached, TenantLimits};
use dahlia_types::{Duration, GroupId, TenantId};
use tokio::time::{self, Instant, sleep, timeout};

use crate::clock::Clock;
use crate::core_handle::CoreHandle;

/// How often the number of gateways is updated.
const GATEWAY_COUNT_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// A client of the keepers of all limits, through this daemon's node. Cheap to clone.
#[derive(Clone)]
pub struct LimitClient {
    core: CoreHandle,
    clock: Clock,
    groups: u32,
    gateway: Arc<Mutex<LimitGateway>>,
}

impl LimitClient {
    /// Creates a client for `groups` groups. [`Self::run`] must run in its own task.
    pub fn new(core: CoreHandle, clock: Clock, groups: u32, settings: LimitSettings) -> Self {
        let own = core.replica_id();
        let gateway = LimitGateway::new(settings, own.daemon, own.incarnation);
        Self::with_gateway(gateway, core, clock, groups)
    }

    /// Creates a client on a machine where a previous process may have admitted requests.
    pub fn after_restart(
        core: CoreHandle,
        clock: Clock,
        groups: u32,
        settings: LimitSettings,
    ) -> Self {
        let own = core.replica_id();
        let gateway = LimitGateway::new(settings, own.daemon, own.incarnation);
        Self::with_gateway(gateway.after_restart(clock.now()), core, clock, groups)
    }

    fn with_gateway(gateway: LimitGateway, core: CoreHandle, clock: Clock, groups: u32) -> Self {
        Self { core, clock, groups, gateway: Arc::new(Mutex::new(gateway)) }
    }

    /// Reports admitted requests to the keepers while the process runs.
    pub async fn run(self) {
        let interval = self.gateway().report_interval();
        let interval = time::Duration::from_micros(interval.as_micros());
        let mut gateway_count_due = Instant::now();
        loop {
            sleep(interval).await;
            if Instant::now() >= gateway_count_due {
                gateway_count_due = Instant::now() + GATEWAY_COUNT_INTERVAL;
                let daemons = self.core.status().await.live_daemons;
                let now = self.clock.now();
                self.gateway().set_gateway_count(daemons as u32, now);
            }
            let reports = self.gateway().due_reports(self.clock.now());
            for (keeper, report) in reports {
                self.send(keeper, report);
            }
        }
    }

    /// Sends one keeper its report at once.
    fn report_now(&self, keeper: GroupId) {
        let report = self.gateway().due_report(keeper, self.clock.now());
        if let Some(report) = report {
            self.send(keeper, report);
        }
    }

    /// Reports what was admitted while the last report was in flight, if that is due.
    fn report_if_due(&self, keeper: GroupId) {
        if self.gateway().is_report_due(keeper, self.clock.now()) {
            self.report_now(keeper);
        }
    }

    fn send(&self, keeper: GroupId, report: UsageReport) {
        let client = self.clone();
        tokio::spawn(async move { client.report(keeper, report).await });
    }

    async fn report(&self, keeper: GroupId, report: UsageReport) {
        let number = report.sequence;
        let command = LimitCommand::Report(report);
        let was_unresponsive = self.gateway().is_keeper_unresponsive(keeper, self.clock.now());
        match self.send_command(keeper, command).await {
            Ok(reply) => {
                if was_unresponsive {
                    log::info!(target: "limits", group:% = keeper; "A keeper of limits is back.");
                }
                self.gateway().handle_acknowledgement(keeper, number, &reply, self.clock.now());
                self.report_if_due(keeper);
            }
            Err(cause) => {
                log::warn!(
                    target: "limits",
                    group:% = keeper, report = number, cause = cause.as_str();
                    "A report of admitted requests had no answer."
                );
                self.gateway().mark_report_failed(keeper);
            }
        }
    }

    async fn send_command(
        &self,
        keeper: GroupId,
        command: LimitCommand,
    ) -> Result<LimitReply, String> {
        match self.core.request(Request::Limits { group: keeper, command }).await {
            Response::Limits(reply) => Ok(reply),
            Response::Failed(error) => Err(error.to_string()),
            other => Err(format!("the keeper answered {other:?}")),
        }
    }

    /// Returns the keeper's decision and its term, or this gateway's own decision when the keeper does not
    /// answer in time.
    async fn ask_keeper(
        &self,
        keeper: GroupId,
        tenant: &TenantId,
        limit: VersionedLimit,
        request: Option<ProgramRequest>,
        max_wait: Duration,
    ) -> (Admission, Option<KeeperTerm>) {
        let program = request.map(|request| request.program);
        let asked_at = self.clock.now();
        let command = self.gateway().question(keeper, tenant, limit, request, max_wait, asked_at);
        let patience =
            self.gateway().program_answer_timeout(keeper, tenant, program, max_wait, asked_at);
        let patience = time::Duration::from_micros(patience.as_micros());
        let answer = timeout(patience, self.send_command(keeper, command)).await;
        let now = self.clock.now();
        let mut gateway = self.gateway();
        let cause = match answer {
            Ok(Ok(LimitReply::Answer { verdict, is_scarce, keeper: counted_by })) => {
                let answer = KeeperAnswer { verdict, is_scarce, keeper: counted_by };
                let admission = gateway.handle_answer(keeper, tenant, program, answer, now);
                drop(gateway);
                self.report_if_due(keeper);
                return (admission, Some(counted_by));
            }
            Ok(Ok(other)) => format!("it answered {other:?}"),
            Ok(Err(cause)) => cause,
            Err(_) => "no answer in time".to_owned(),
        };
        let admission = gateway.admit_without_keeper(keeper, tenant, limit, program, now);
        log::warn!(
            target: "limits",
            tenant = tenant.as_str(), group:% = keeper, cause = cause.as_str(),
            admission:? = admission;
            "A limit is kept without its keeper."
        );
        (admission, None)
    }

    fn gateway(&self) -> MutexGuard<'_, LimitGateway> {
        self.gateway.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The permit of a delayed request. It is refunded on drop if the caller leaves before the delay is
/// over.
struct DelayedPermit<'a> {
    client: &'a LimitClient,
    tenant: &'a TenantId,
    program: Option<ProgramKey>,
    was_used: bool,
}

impl Drop for DelayedPermit<'_> {
    fn drop(&mut self) {
        if !self.was_used {
            self.client.refund(self.tenant, self.program);
        }
    }
}

impl TenantLimits for LimitClient {
    async fn admit(
        &self,
        tenant: &TenantId,
        limit: VersionedLimit,
        request: Option<ProgramRequest>,
        max_wait: Duration,
    ) -> Result<(), LimitReached> {
        let program = request.map(|request| request.program);
        let keeper = group_of_tenant(tenant, self.groups);
        let first = self.gateway().admit(keeper, tenant, limit, program, self.clock.now());
        let (admission, counted_by) = match first {
            Admission::Ask => self.ask_keeper(keeper, tenant, limit, request, max_wait).await,
            decided => (decided, None),
        };
        match admission {
            Admission::Pass { report_now } => {
                if report_now {
                    self.report_now(keeper);
                }
            }
            Admission::PassAfter(Duration::ZERO) => {}
            Admission::PassAfter(wait) => {
                let mut permit = DelayedPermit { client: self, tenant, program, was_used: false };
                log::info!(
                    target: "limits",
                    tenant = tenant.as_str(), wait_ms = wait.as_millis();
                    "A request waits for its tenant's limit."
                );
                sleep(time::Duration::from_micros(wait.as_micros())).await;
                permit.was_used = true;
                if let Some(counted_by) = counted_by {
                    let delayed = DelayedRequest { counted_by, program };
                    self.gateway().record_delayed(keeper, tenant, delayed);
                }
            }
            Admission::Refuse { retry_after } => return Err(limit_reached(tenant, retry_after)),
            Admission::Ask => unreachable!("a verdict is no question"),
        }
        Ok(())
    }

    fn refund(&self, tenant: &TenantId, program: Option<ProgramKey>) {
        let keeper = group_of_tenant(tenant, self.groups);
        if self.gateway().refund(keeper, tenant, program, self.clock.now()) {
            self.report_now(keeper);
        }
    }
}

fn limit_reached(tenant: &TenantId, retry_after: Duration) -> LimitReached {
    log::info!(
        target: "limits",
        tenant = tenant.as_str(), retry_after_ms = retry_after.as_millis();
        "A tenant's limit is reached."
    );
    LimitReached { retry_after }
}
