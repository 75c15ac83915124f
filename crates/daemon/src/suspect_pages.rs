//! Pages for operators: the requests that reach no server because too many ended under them.
//!
//! `GET /suspects` lists them, one line each, with the hash that log lines have and the number of ended servers.
//! `DELETE /suspects/HASH` lets one through again, at all gateways.

use std::sync::Arc;

use dahlia_relay::{CrashSuspects, RequestFingerprint};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, Router, handler};

use crate::clock::Clock;

/// The path of the pages.
pub const SUSPECTS_PATH: &str = "suspects";

/// What the pages show.
#[derive(Clone)]
pub struct SuspectPages {
    /// The requests under which servers ended.
    pub suspects: Arc<CrashSuspects>,
    /// The daemon's time.
    pub clock: Clock,
}

impl SuspectPages {
    /// The routes of the pages.
    pub fn router(self) -> Router {
        let one = Router::with_path("{hash}").delete(PardonHandler(self.clone()));
        Router::with_path(SUSPECTS_PATH).get(ListHandler(self)).push(one)
    }
}

struct ListHandler(SuspectPages);

#[handler]
impl ListHandler {
    async fn handle(&self, response: &mut Response) {
        let SuspectPages { suspects, clock } = &self.0;
        let refused = suspects.refused_requests(clock.now());
        let lines = refused.iter().map(|(request, ended)| format!("{request} {ended}\n"));
        response.render(lines.collect::<String>());
    }
}

struct PardonHandler(SuspectPages);

#[handler]
impl PardonHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let hash = request.param::<String>("hash").unwrap_or_default();
        let SuspectPages { suspects, clock } = &self.0;
        match hash.parse::<RequestFingerprint>() {
            Ok(request) => {
                let marks = suspects.pardon(request, clock.now());
                log::warn!(
                    target: "relay", request_hash:% = request, marks = marks;
                    "An operator lets a request through again."
                );
                response.render(format!("{marks}\n"));
            }
            Err(error) => {
                response.status_code(StatusCode::BAD_REQUEST);
                response.render(format!("hash: {error}\n"));
            }
        }
    }
}
