//! `configuration watch` at a daemon that ends it.

use std::net::SocketAddr;

use dahlia_api::operators as rpc;
use dahlia_api::operators::configuration_server::{Configuration, ConfigurationServer};
use dahlia_ctl::arguments::Arguments;
use dahlia_ctl::{exit_code, run};
use futures::stream::{self, BoxStream, StreamExt};
use gumdrop::Options;
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

/// A daemon whose watches end in good order after two generations.
struct EndingWatch;

type Answer<T> = Result<Response<T>, Status>;

#[tonic::async_trait]
impl Configuration for EndingWatch {
    type WatchStream = BoxStream<'static, Result<rpc::ConfigurationGeneration, Status>>;

    async fn watch(
        &self,
        _request: Request<rpc::WatchConfigurationRequest>,
    ) -> Answer<Self::WatchStream> {
        let generation =
            |generation| Ok(rpc::ConfigurationGeneration { generation, ..Default::default() });
        Ok(Response::new(stream::iter([1, 2].map(generation)).boxed()))
    }

    async fn show(
        &self,
        _request: Request<rpc::ShowConfigurationRequest>,
    ) -> Answer<rpc::ConfigurationGeneration> {
        Err(Status::unimplemented("only watches are served"))
    }

    async fn apply(
        &self,
        _request: Request<rpc::ApplyConfigurationRequest>,
    ) -> Answer<rpc::ConfigurationGeneration> {
        Err(Status::unimplemented("only watches are served"))
    }

    async fn history(
        &self,
        _request: Request<rpc::HistoryRequest>,
    ) -> Answer<rpc::HistoryResponse> {
        Err(Status::unimplemented("only watches are served"))
    }
}

/// What the command gives for a number of wanted generations.
struct Case {
    count: &'static str,
    failure: Option<(u8, &'static str)>,
}

/// Guards against a script that takes a watch which its daemon ended for one that got all it waited for.
#[tokio::test]
async fn a_watch_that_its_daemon_ends_is_a_failure() {
    let ended = Some((3, "the daemon ended the watch; generations printed: 2"));
    let cases = [
        Case { count: "2", failure: None },
        Case { count: "3", failure: ended },
        Case { count: "0", failure: ended },
    ];
    let address = spawn_daemon().await.to_string();
    for Case { count, failure } in cases {
        let words = ["configuration", "watch", "--count", count];
        let flags = [["--address", &address, "--token", "t"], words].concat();
        let arguments = Arguments::parse_args_default(&flags).expect("valid flags");
        let outcome = run(arguments).await.map_err(|it| (exit_code(&it), it.to_string()));
        let expected =
            failure.map_or(Ok(String::new()), |(code, text)| Err((code, text.to_owned())));
        assert_eq!(outcome, expected, "--count {count}");
    }
}

async fn spawn_daemon() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let server = Server::builder().add_service(ConfigurationServer::new(EndingWatch));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    address
}
