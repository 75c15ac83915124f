//! Where streams began: what this daemon's relay learns is spread to other daemons, and what it asks is answered by
//! them.
//!
//! The node transports keys and origins without knowing what a version is. `relay` and `backends` produce and use them.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dahlia_backends::{Backends, ServiceName, VersionDigest, VersionView, stable_hash};
use dahlia_node::Event;
use dahlia_node::stream_origins::{Origin, OriginService, OriginView, StreamKey, StreamRecord};
use dahlia_relay::{OriginRequest, StreamOrigin, StreamOrigins};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::core_handle::CoreHandle;

/// How often the views of services with several versions are checked: one of them may have left long enough ago.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Tells the task that spreads origins that servers have changed. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ServerChanges(Arc<Notify>);

impl ServerChanges {
    /// Servers appeared, changed or left.
    pub fn notify(&self) {
        self.0.notify_one();
    }
}

/// Spreads where the streams of a relay began, and answers its questions. Call [`ServerChanges::notify`] after each
/// change of servers.
pub fn share(
    backends: &Arc<Mutex<Backends>>,
    origins: Arc<StreamOrigins>,
    core: &CoreHandle,
    clock: Clock,
) -> ServerChanges {
    let changes = ServerChanges::default();
    let requests = origins.connect();
    let sharing = OriginSharing {
        backends: backends.clone(),
        origins,
        core: core.clone(),
        clock,
        views: BTreeMap::new(),
    };
    tokio::spawn(sharing.run(requests, changes.clone()));
    changes
}

struct OriginSharing {
    backends: Arc<Mutex<Backends>>,
    origins: Arc<StreamOrigins>,
    core: CoreHandle,
    clock: Clock,
    /// The views that the node has.
    views: BTreeMap<ServiceName, VersionView>,
}

impl OriginSharing {
    async fn run(mut self, mut requests: UnboundedReceiver<OriginRequest>, changes: ServerChanges) {
        loop {
            tokio::select! {
                biased;
                request = requests.recv() => match request {
                    Some(request) => self.handle(request).await,
                    None => return,
                },
                () = changes.0.notified() => self.review().await,
                () = review_time(self.has_several_versions()) => self.review().await,
            }
        }
    }

    async fn handle(&mut self, request: OriginRequest) {
        match request {
            OriginRequest::Share { origin, sent } => {
                self.core.tell_origins(vec![record(origin)], sent).await;
            }
            OriginRequest::Find { stream, service, reply } => {
                // The node must not decide by a view from before a change.
                self.review().await;
                let (found, answer) = oneshot::channel();
                self.core.find_origin(StreamKey(stream.0), service_key(&service), found).await;
                tokio::spawn(async move {
                    let origin = answer.await.ok().flatten();
                    // The caller that took the stream up may have left.
                    let _ = reply.send(origin.map(|Origin(version)| VersionDigest(version)));
                });
            }
        }
    }

    fn has_several_versions(&self) -> bool {
        self.views.values().any(|view| *view == VersionView::Several)
    }

    /// Gives the node the views that have changed. Where a service has come to have several versions, other daemons
    /// are told of its streams that began before.
    async fn review(&mut self) {
        let now = self.clock.now();
        let changed = self.take_changed_views();
        if changed.is_empty() {
            return;
        }
        let views =
            changed.iter().map(|(service, view)| (service_key(service), origin_view(*view)));
        self.core.send_event(Event::OriginViews(views.collect())).await;
        for (service, view) in changed {
            log::info!(
                target: "discovery", service = service.0.as_str(), view:? = view;
                "The software versions of a service have changed."
            );
            if view == VersionView::Several {
                let begun = self.origins.begun(&service, now);
                self.tell(begun.into_iter().map(record).collect()).await;
            }
        }
    }

    fn take_changed_views(&mut self) -> Vec<(ServiceName, VersionView)> {
        let now = self.clock.now();
        let backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed =
            |(service, view): &(&ServiceName, VersionView)| self.views.get(*service) != Some(view);
        let changed = backends.all_versions(now).filter(is_changed);
        let changed: Vec<(ServiceName, VersionView)> =
            changed.map(|(service, view)| (service.clone(), view)).collect();
        drop(backends);
        self.views.extend(changed.iter().cloned());
        changed
    }

    async fn tell(&self, streams: Vec<StreamRecord>) {
        if !streams.is_empty() {
            self.core.send_event(Event::StreamsBegan(streams)).await;
        }
    }
}

async fn review_time(is_needed: bool) {
    match is_needed {
        true => sleep(REVIEW_INTERVAL).await,
        false => pending().await,
    }
}

fn service_key(service: &ServiceName) -> OriginService {
    OriginService(stable_hash(service.0.bytes()))
}

fn record(origin: StreamOrigin) -> StreamRecord {
    let StreamOrigin { stream, version, lifetime } = origin;
    StreamRecord { stream: StreamKey(stream.0), origin: Origin(version.0), lifetime }
}

fn origin_view(view: VersionView) -> OriginView {
    match view {
        VersionView::Nothing => OriginView::Nothing,
        VersionView::Only(version) => OriginView::Only(Origin(version.0)),
        VersionView::Several => OriginView::Several,
    }
}
