//! Daemons and engines.

use dahlia_api::operators as rpc;
use dahlia_api::operators::machines_server::Machines;
use dahlia_api::{ApiError, ErrorKind};
use dahlia_node::{Announcement, EngineView};
use tonic::{Request, Response, Status};

use super::{Operators, status};

#[tonic::async_trait]
impl Machines for Operators {
    async fn list_daemons(
        &self,
        _request: Request<rpc::ListDaemonsRequest>,
    ) -> Result<Response<rpc::ListDaemonsResponse>, Status> {
        let daemons = self.core.daemons().await.into_iter().map(daemon).collect();
        Ok(Response::new(rpc::ListDaemonsResponse { daemons }))
    }

    async fn drain(
        &self,
        request: Request<rpc::DrainRequest>,
    ) -> Result<Response<rpc::DrainResponse>, Status> {
        let wanted = request.into_inner().daemon;
        let daemons = self.core.daemons().await;
        let own = daemons.first().map(|own| own.replica.daemon.to_string()).unwrap_or_default();
        if wanted != own {
            let message = format!("ask {wanted} itself; this is {own}");
            return Err(status(&ApiError::new(ErrorKind::InvalidRequest, message)));
        }
        self.core.drain().await;
        Ok(Response::new(rpc::DrainResponse { state: "leaving".to_owned() }))
    }

    async fn list_engines(
        &self,
        _request: Request<rpc::ListEnginesRequest>,
    ) -> Result<Response<rpc::ListEnginesResponse>, Status> {
        let engines = self.core.engines().await.into_iter().map(engine).collect();
        Ok(Response::new(rpc::ListEnginesResponse { engines }))
    }
}

fn daemon(announcement: Announcement) -> rpc::Daemon {
    let state = if announcement.leaving { "leaving" } else { "live" };
    rpc::Daemon {
        daemon: announcement.replica.daemon.to_string(),
        incarnation: announcement.replica.incarnation.0,
        zone: announcement.zone.to_string(),
        region: announcement.region.to_string(),
        state: state.to_owned(),
        address: announcement.address.to_string(),
        groups_led: 0,
        configuration_generation: 0,
    }
}

fn engine(view: EngineView) -> rpc::Engine {
    let state = match (view.reachable, view.report.leaving) {
        (false, _) => "unreachable",
        (true, true) => "leaving",
        (true, false) => "live",
    };
    rpc::Engine {
        engine: view.report.engine.to_string(),
        incarnation: view.report.incarnation.0,
        zone: view.report.zone.to_string(),
        address: String::new(),
        state: state.to_owned(),
        models: view.report.models.iter().map(ToString::to_string).collect(),
        running: view.report.running,
        queued: view.report.queued,
        cache_used_tokens: view.report.cache_used.0,
        cache_capacity_tokens: view.report.cache_capacity.0,
        report_age_ms: view.age.as_millis(),
    }
}
