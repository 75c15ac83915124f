//! Health, readiness and metrics for monitoring.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::prelude::{Json, Response, handler};

use super::Gateway;

/// `/healthz`: 200 while the process answers.
pub(super) struct HealthHandler;

#[handler]
impl HealthHandler {
    async fn handle(&self, response: &mut Response) {
        response.render("alive\n");
    }
}

/// `/readyz`: 200 when the daemon can route calls; 503 with the reason otherwise.
pub(super) struct ReadinessHandler {
    pub(super) gateway: Arc<Gateway>,
}

#[handler]
impl ReadinessHandler {
    async fn handle(&self, response: &mut Response) {
        let status = self.gateway.core.status().await;
        let code = if status.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        response.status_code(code);
        response.render(Json(status));
    }
}

/// `/metrics`: Prometheus text format.
pub(super) struct MetricsHandler {
    pub(super) gateway: Arc<Gateway>,
}

#[handler]
impl MetricsHandler {
    async fn handle(&self, response: &mut Response) {
        // A status query updates the gauges from the node.
        self.gateway.core.status().await;
        match self.gateway.metrics.text() {
            Ok(text) => response.render(text),
            Err(error) => {
                log::warn!(target: crate::logging::part::GATEWAY, "Metrics failed: {error}.");
                response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}
