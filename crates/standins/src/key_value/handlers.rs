//! The service's requests.

use std::sync::Arc;

use dahlia_adapters::key_value::{
    AttachRequest, CompareAndSwapRequest, DeleteRequest, EmptyAnswer, GetAnswer, GetRequest,
    KeyValueRefusal, LeaseAnswer, LeaseGrantRequest, LeaseRequest, ListRequest, SwapAnswer,
    Version, WatchRequest, paths,
};
use salvo::Router;
use salvo::http::StatusCode;
use serde::Serialize;

use super::service::{Admission, Service, pause};
use super::{KeyValueFaults, KeyValueObservation, watch};
use crate::InputLimits;
use crate::control::{Nothing, ObservationsRequest};
use crate::reply::{Refusal, Reply, Routes};

impl Refusal for KeyValueRefusal {
    fn invalid(field: &str, detail: String) -> Self {
        Self::Invalid { field: field.to_owned(), detail }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::RateLimited { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Compacted { .. } => StatusCode::GONE,
            Self::NoSuchLease { .. } => StatusCode::NOT_FOUND,
            Self::Invalid { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// The routes; control only where it is switched on.
pub(super) fn router(service: &Arc<Service>, limits: InputLimits, control: bool) -> Router {
    let routes = Routes::<Service, KeyValueRefusal>::new(service, limits)
        .post(paths::GET, get)
        .post(paths::LIST, list)
        .post(paths::COMPARE_AND_SWAP, compare_and_swap)
        .post(paths::DELETE, delete)
        .post(paths::WATCH, watch)
        .post(paths::LEASE_GRANT, grant)
        .post(paths::LEASE_KEEP_ALIVE, keep_alive)
        .post(paths::LEASE_REVOKE, revoke)
        .post(paths::LEASE_ATTACH, attach);
    if !control {
        return routes.into_router();
    }
    routes.control("faults", set_faults).control("observations", observations).into_router()
}

type Result<T> = std::result::Result<T, KeyValueRefusal>;

async fn get(service: Arc<Service>, request: GetRequest) -> Reply {
    let read = |service: &Service| {
        let read = |state: &super::store::Snapshot| GetAnswer {
            revision: state.revision(),
            found: state.get(&request.key),
        };
        Ok(service.read(read))
    };
    serve_read(service, read).await
}

async fn list(service: Arc<Service>, request: ListRequest) -> Reply {
    serve_read(service, |service| Ok(service.read(|state| state.list(&request.prefix)))).await
}

async fn compare_and_swap(service: Arc<Service>, request: CompareAndSwapRequest) -> Reply {
    let CompareAndSwapRequest { key, expected, value, lease } = request;
    let change = |service: &Service| {
        check_length("key", key.len(), service.settings.max_key_bytes)?;
        check_length("value", value.len(), service.settings.max_value_bytes)?;
        let swap = service.change(|store, _| store.compare_and_swap(&key, expected, value, lease));
        note_conflict(service, &key, expected, &swap);
        swap
    };
    let set = |service: &Service, version: &_, reply_lost| {
        let (key, version) = (key.clone(), *version);
        service.witness.note(KeyValueObservation::Set { key, version, reply_lost });
    };
    serve_change(service, change, set, |version| SwapAnswer { version }).await
}

async fn delete(service: Arc<Service>, request: DeleteRequest) -> Reply {
    let DeleteRequest { key, expected } = request;
    let change = |service: &Service| {
        let deleted = service.change(|store, _| store.delete(&key, expected));
        note_conflict(service, &key, Some(expected), &deleted);
        deleted
    };
    let note = |service: &Service, (): &(), _| {
        service.witness.note(KeyValueObservation::Deleted { key: key.clone() });
    };
    serve_change(service, change, note, |()| EmptyAnswer {}).await
}

async fn watch(service: Arc<Service>, request: WatchRequest) -> Reply {
    match service.admit().await {
        Admission::Hang => std::future::pending().await,
        Admission::Refuse(refusal) => Reply::refused(refusal),
        Admission::Serve => match watch::open(service, request) {
            Ok(events) => Reply::json_lines(events),
            Err(refusal) => Reply::refused(refusal),
        },
    }
}

async fn grant(service: Arc<Service>, request: LeaseGrantRequest) -> Reply {
    let time_to_live = request.time_to_live;
    let change =
        |service: &Service| Ok(service.change(|store, now| store.grant(time_to_live, now)));
    let answer = |lease| LeaseAnswer { lease, time_to_live };
    serve_change(service, change, |_, _, _| (), answer).await
}

async fn keep_alive(service: Arc<Service>, request: LeaseRequest) -> Reply {
    let lease = request.lease;
    let change = |service: &Service| service.change(|store, now| store.keep_alive(lease, now));
    let answer = |time_to_live| LeaseAnswer { lease, time_to_live };
    serve_change(service, change, |_, _, _| (), answer).await
}

async fn revoke(service: Arc<Service>, request: LeaseRequest) -> Reply {
    let change = |service: &Service| service.change(|store, _| store.revoke(request.lease));
    serve_change(service, change, |_, _, _| (), |()| EmptyAnswer {}).await
}

async fn attach(service: Arc<Service>, request: AttachRequest) -> Reply {
    let AttachRequest { key, expected, lease } = request;
    let change = |service: &Service| {
        let attached = service.change(|store, _| store.attach(&key, expected, lease));
        note_conflict(service, &key, Some(expected), &attached);
        attached
    };
    let set = |service: &Service, version: &_, reply_lost| {
        let (key, version) = (key.clone(), *version);
        service.witness.note(KeyValueObservation::Set { key, version, reply_lost });
    };
    serve_change(service, change, set, |version| SwapAnswer { version }).await
}

async fn set_faults(service: Arc<Service>, faults: KeyValueFaults) -> Reply {
    service.set_faults(faults);
    Reply::json(&Nothing {})
}

async fn observations(service: Arc<Service>, request: ObservationsRequest) -> Reply {
    Reply::json(&service.witness.after(request.after))
}

async fn serve_read<T: Serialize>(
    service: Arc<Service>,
    read: impl FnOnce(&Service) -> Result<T>,
) -> Reply {
    match service.admit().await {
        Admission::Hang => std::future::pending().await,
        Admission::Refuse(refusal) => Reply::refused(refusal),
        Admission::Serve => {
            let result = read(&service);
            pause(service.faults().reply_delay_ms).await;
            Reply::from_result(result)
        }
    }
}

async fn serve_change<T, A: Serialize>(
    service: Arc<Service>,
    change: impl FnOnce(&Service) -> Result<T>,
    note: impl FnOnce(&Service, &T, bool),
    answer: impl FnOnce(T) -> A,
) -> Reply {
    match service.admit().await {
        Admission::Hang => std::future::pending().await,
        Admission::Refuse(refusal) => Reply::refused(refusal),
        Admission::Serve => {
            let result = change(&service);
            // A refusal is not a change: its answer is never lost on purpose.
            let reply_lost = result.is_ok() && service.lose_reply();
            if let Ok(done) = &result {
                note(&service, done, reply_lost);
            }
            pause(service.faults().reply_delay_ms).await;
            if reply_lost {
                return Reply::Lost;
            }
            Reply::from_result(result.map(answer))
        }
    }
}

fn check_length(field: &str, length: usize, limit: u64) -> Result<()> {
    if length as u64 <= limit {
        return Ok(());
    }
    Err(KeyValueRefusal::invalid(field, format!("{length} bytes, at most {limit} are allowed")))
}

fn note_conflict<T>(service: &Service, key: &str, expected: Option<Version>, result: &Result<T>) {
    if let Err(KeyValueRefusal::Conflict { actual }) = result {
        let (key, actual) = (key.to_owned(), *actual);
        service.witness.note(KeyValueObservation::Conflict { key, expected, actual });
    }
}
