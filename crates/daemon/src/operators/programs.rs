//! Programs and budgets.

use std::time::Duration as StdDuration;

use dahlia_api::operators as rpc;
use dahlia_api::operators::programs_server::Programs;
use dahlia_api::{ApiError, ErrorKind};
use dahlia_configuration::Document;
use dahlia_node::request::{Request as OwnerRequest, Response as OwnerResponse};
use dahlia_program::ProgramSpecification;
use dahlia_types::{Duration, GroupId, ModelId, ProgramId, TenantId, Tokens};
use rand::RngCore;
use sha2::{Digest, Sha256};
use tokio::time::timeout;
use tonic::{Request, Response, Status};

use super::{Operators, convert, invalid, status};

/// Longest idle expiry, in milliseconds.
const MAX_IDLE_EXPIRY_MS: u64 = 30 * 24 * 3_600 * 1_000;
/// Longest name of a tenant, a model or a request key, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Programs listed by default.
const DEFAULT_LIST_LIMIT: u32 = 100;
/// Most programs listed at once.
const MAX_LIST_LIMIT: u32 = 1_000;
/// Timeout for one group's part of a listing. A group that misses it is listed as unreachable.
const LIST_TIMEOUT: StdDuration = StdDuration::from_secs(2);

#[tonic::async_trait]
impl Programs for Operators {
    async fn create(
        &self,
        request: Request<rpc::CreateProgramRequest>,
    ) -> Result<Response<rpc::Program>, Status> {
        let request = request.into_inner();
        let specification = specification(&request, &self.document().await?)?;
        let program = self.choose_id(&request).await?;
        self.ask_program(OwnerRequest::Create { program, specification }).await
    }

    async fn list(
        &self,
        request: Request<rpc::ListProgramsRequest>,
    ) -> Result<Response<rpc::ListProgramsResponse>, Status> {
        let request = request.into_inner();
        let limit = if request.limit == 0 { DEFAULT_LIST_LIMIT } else { request.limit };
        if limit > MAX_LIST_LIMIT {
            return Err(invalid("limit", &format!("is {limit}; allowed: 1 to {MAX_LIST_LIMIT}")));
        }
        let mut listed = rpc::ListProgramsResponse::default();
        for group in self.core.groups().await {
            self.list_group(group, &request, limit, &mut listed).await;
        }
        listed.programs.truncate(limit as usize);
        Ok(Response::new(listed))
    }

    async fn show(
        &self,
        request: Request<rpc::ShowProgramRequest>,
    ) -> Result<Response<rpc::Program>, Status> {
        let request = request.into_inner();
        let program = parse_program(&request.program)?;
        self.ask_program(OwnerRequest::Show { program, with_calls: request.with_calls }).await
    }

    async fn close(
        &self,
        request: Request<rpc::CloseProgramRequest>,
    ) -> Result<Response<rpc::Program>, Status> {
        let program = parse_program(&request.into_inner().program)?;
        self.ask_program(OwnerRequest::Close { program, tenant: None }).await
    }

    async fn raise_budget(
        &self,
        request: Request<rpc::RaiseBudgetRequest>,
    ) -> Result<Response<rpc::Program>, Status> {
        let request = request.into_inner();
        let program = parse_program(&request.program)?;
        let total = Tokens(request.total_tokens);
        let shown = self.ask_program(OwnerRequest::Show { program, with_calls: false }).await?;
        let tenant = TenantId::new(&shown.get_ref().tenant);
        check_budget(&tenant, total, &self.document().await?)?;
        self.ask_program(OwnerRequest::RaiseBudget { program, total }).await
    }
}

impl Operators {
    async fn ask_program(&self, request: OwnerRequest) -> Result<Response<rpc::Program>, Status> {
        match self.core.request(request).await {
            OwnerResponse::Program(view) => Ok(Response::new(convert::program(*view))),
            OwnerResponse::Failed(error) => Err(status(&error)),
            _ => {
                let message = "the owner answered another question";
                Err(status(&ApiError::new(ErrorKind::Internal, message)))
            }
        }
    }

    /// Chooses the new program's identifier. A request key gives the same identifier each time, so that a
    /// repeat after a lost answer creates no second program.
    async fn choose_id(&self, request: &rpc::CreateProgramRequest) -> Result<ProgramId, Status> {
        let number = if request.request_key.is_empty() {
            rand::rng().next_u64()
        } else {
            hash_request_key(&request.tenant, &request.request_key)
        };
        let group = if request.request_key.is_empty() {
            self.core.group_for_program(number).await
        } else {
            let groups = self.core.groups().await;
            // Every daemon must choose the same group, so the choice ignores ownership.
            let count = groups.len() as u64;
            (count > 0).then(|| groups[(number % count.max(1)) as usize])
        };
        let group = group.ok_or_else(|| {
            let message = "the replica groups are not laid out yet";
            let error = ApiError::new(ErrorKind::Unavailable, message);
            status(&error.with_retry_after(StdDuration::from_secs(1)))
        })?;
        Ok(ProgramId { group, number })
    }

    async fn list_group(
        &self,
        group: GroupId,
        request: &rpc::ListProgramsRequest,
        limit: u32,
        listed: &mut rpc::ListProgramsResponse,
    ) {
        let tenant = (!request.tenant.is_empty()).then(|| TenantId::new(&request.tenant));
        let include_closed = request.include_closed;
        let list = OwnerRequest::List { group, tenant, include_closed, limit };
        match timeout(LIST_TIMEOUT, self.core.request(list)).await {
            Ok(OwnerResponse::Programs(views)) => {
                listed.programs.extend(views.into_iter().map(convert::program));
            }
            _ => listed.unreachable_groups.push(group.0),
        }
    }
}

#[allow(clippy::result_large_err)]
fn specification(
    request: &rpc::CreateProgramRequest,
    document: &Document,
) -> Result<ProgramSpecification, Status> {
    check_name("tenant", &request.tenant)?;
    let model = match (&document.defaults.model, request.model.as_str()) {
        (Some(default), "") => default.clone(),
        (_, named) => ModelId::new(named),
    };
    check_name("model", model.as_str())?;
    let tenant = TenantId::new(&request.tenant);
    let budget = match request.budget_tokens {
        0 => Tokens(document.defaults.budget_tokens),
        stated => Tokens(stated),
    };
    check_budget(&tenant, budget, document)?;
    if request.request_key.len() > MAX_NAME_BYTES {
        return Err(invalid("request_key", &format!("the limit is {MAX_NAME_BYTES} bytes")));
    }
    if budget == Tokens::ZERO {
        return Err(invalid("budget_tokens", "is 0; at least 1 is needed"));
    }
    if request.idle_expiry_ms > MAX_IDLE_EXPIRY_MS {
        let problem = format!("the limit is {MAX_IDLE_EXPIRY_MS} (30 days)");
        return Err(invalid("idle_expiry_ms", &problem));
    }
    let idle_expiry = match request.idle_expiry_ms {
        0 => Duration::from_millis(document.defaults.idle_expiry_ms),
        millis => Duration::from_millis(millis),
    };
    Ok(ProgramSpecification { tenant, model, budget, idle_expiry })
}

#[allow(clippy::result_large_err)]
fn check_budget(tenant: &TenantId, budget: Tokens, document: &Document) -> Result<(), Status> {
    let most = document.limits_of(tenant).most_budget_tokens;
    if budget.0 <= most {
        return Ok(());
    }
    let message = format!("the budget is {budget}; the limit of tenant {tenant} is {most} tokens");
    // A retry without a change of the limit or of the request would fail again.
    let error = ApiError::new(ErrorKind::LimitReached, message).without_retry();
    Err(status(&error.with_field("budget_tokens")))
}

#[allow(clippy::result_large_err)]
fn check_name(field: &str, name: &str) -> Result<(), Status> {
    let plain = |character: char| character.is_ascii_alphanumeric() || "-_@/:".contains(character);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(plain) {
        return Ok(());
    }
    let shown: String = name.chars().take(MAX_NAME_BYTES + 1).collect();
    let allowed = format!("1 to {MAX_NAME_BYTES} letters, digits, '-', '_', '@', '/', ':'");
    let problem = format!("is {shown:?}; allowed: {allowed}");
    Err(invalid(field, &problem))
}

#[allow(clippy::result_large_err)]
fn parse_program(text: &str) -> Result<ProgramId, Status> {
    text.parse().map_err(|error| invalid("program", &format!("{error}")))
}

fn hash_request_key(tenant: &str, key: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update((tenant.len() as u64).to_le_bytes());
    hasher.update(tenant.as_bytes());
    hasher.update(key.as_bytes());
    let hash = hasher.finalize();
    let first = hash.first_chunk::<8>().expect("SHA-256 has 32 bytes");
    u64::from_le_bytes(*first)
}
