//! Listing daemons and engines, and draining this daemon.

use dahlia_api::operators as rpc;
use dahlia_api::operators::machines_server::Machines;
use dahlia_api::{ApiError, ErrorKind};
use dahlia_node::{DaemonView, EngineView};
use dahlia_replication::membership::{Health, MemberState};
use tonic::{Request, Response, Status};

use super::{Operators, status};

#[tonic::async_trait]
impl Machines for Operators {
    async fn list_daemons(
        &self,
        _request: Request<rpc::ListDaemonsRequest>,
    ) -> Result<Response<rpc::ListDaemonsResponse>, Status> {
        let daemons = self.core.daemon_views().await.into_iter().map(daemon).collect();
        Ok(Response::new(rpc::ListDaemonsResponse { daemons }))
    }

    async fn drain(
        &self,
        request: Request<rpc::DrainRequest>,
    ) -> Result<Response<rpc::DrainResponse>, Status> {
        let wanted = request.into_inner().daemon;
        let own = self.core.replica_id().daemon.to_string();
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

fn daemon(view: DaemonView) -> rpc::Daemon {
    let record = view.member.record;
    let info = record.info;
    let state = match (record.health, info.state) {
        (Health::Dead, _) => "dead",
        (Health::Suspect, _) => "suspect",
        (Health::Alive, MemberState::Joining) => "joining",
        (Health::Alive, MemberState::Live) => "live",
        (Health::Alive, MemberState::Leaving) => "leaving",
    };
    rpc::Daemon {
        daemon: info.daemon.to_string(),
        incarnation: info.incarnation.0,
        zone: info.zone.to_string(),
        region: info.region.to_string(),
        state: state.to_owned(),
        address: info.address.to_string(),
        groups_led: view.groups_led,
        configuration_generation: view.generation.map_or(0, |generation| generation.0),
    }
}

fn engine(view: EngineView) -> rpc::Engine {
    let state = match (view.reachable, view.leaving) {
        (false, _) => "unreachable",
        (true, Some(_)) => "leaving",
        (true, None) => "live",
    };
    rpc::Engine {
        engine: view.report.engine.to_string(),
        incarnation: view.report.incarnation.0,
        zone: view.report.zone.to_string(),
        address: view.address.map(|address| address.to_string()).unwrap_or_default(),
        state: state.to_owned(),
        models: view.report.models.iter().map(ToString::to_string).collect(),
        running: view.report.running,
        queued: view.report.queued,
        cache_used_tokens: view.report.cache_used.0,
        cache_capacity_tokens: view.report.cache_capacity.0,
        report_age_ms: view.age.as_millis(),
        leaving_by: view.leaving.map(|source| source.name().to_owned()).unwrap_or_default(),
    }
}
