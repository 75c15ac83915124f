//! Paths and methods that the gateway does not serve.

use std::sync::Arc;

use dahlia_api::{ApiError, ErrorKind};
use salvo::prelude::{Request, Response, handler};

use super::Gateway;
use super::render;

/// Most characters of a path that an error repeats.
const SHOWN_PATH: usize = 128;

/// Answers requests that match no other handler with a typed `not_found`.
pub(super) struct UnservedHandler {
    pub(super) gateway: Arc<Gateway>,
}

#[handler]
impl UnservedHandler {
    async fn handle(&self, request: &Request, response: &mut Response) {
        let path: String = request.uri().path().chars().take(SHOWN_PATH).collect();
        let message = format!("nothing is served under {} {path}", request.method());
        let error = ApiError::new(ErrorKind::NotFound, message).with_field("path");
        render::error(&self.gateway, response, &error);
    }
}
