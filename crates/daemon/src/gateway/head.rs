//! Limits on a request's head, checked before any handler.

use std::sync::Arc;

use dahlia_api::{ApiError, ErrorKind, RequestLimits};
use salvo::prelude::{Depot, FlowCtrl, Request, Response, handler};

use super::Gateway;
use super::render;

/// Refuses requests whose head exceeds a limit.
pub(super) struct HeadLimits {
    pub(super) gateway: Arc<Gateway>,
}

#[handler]
impl HeadLimits {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        match check(request, &self.gateway.limits) {
            Ok(()) => {
                flow.call_next(request, depot, response).await;
            }
            Err(error) => {
                render::error(&self.gateway, response, &error);
                flow.skip_rest();
            }
        }
    }
}

fn check(request: &Request, limits: &RequestLimits) -> Result<(), ApiError> {
    let headers = request.headers();
    let count = headers.len() as u64;
    if count > limits.headers {
        let limit = limits.headers;
        return Err(too_large(format!(
            "has {count} headers; the limit is {limit} (limits.headers)"
        )));
    }
    let size = |(name, value): (&salvo::http::HeaderName, &salvo::http::HeaderValue)| {
        name.as_str().len() + value.len()
    };
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let bytes = (target + headers.iter().map(size).sum::<usize>()) as u64;
    if bytes > limits.head_bytes {
        let limit = limits.head_bytes;
        return Err(too_large(format!(
            "has {bytes} bytes; the limit is {limit} (limits.head_bytes)"
        )));
    }
    Ok(())
}

fn too_large(problem: String) -> ApiError {
    ApiError::new(ErrorKind::TooLarge, format!("the head {problem}")).with_field("head")
}
