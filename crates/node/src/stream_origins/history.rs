//! The origins that streams of services can have had of late, as gateways told them to a daemon that outlives them.
//!
//! A daemon with a disk saves them when another origin is told. What it reads at its start counts as told then, so it keeps
//! no times.

use std::collections::BTreeMap;

use dahlia_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::{MAX_LIFETIME, Origin, OriginService, OriginView};

/// The most services that are kept, at some 200 bytes each. A service is told again while a gateway has it.
const MAX_SERVICES: usize = 4_096;
const ENCODING: bincode::config::Configuration = bincode::config::standard();

/// A service as it is saved.
#[derive(Debug, Serialize, Deserialize)]
struct SavedService {
    service: OriginService,
    views: Vec<OriginView>,
    covers_past: bool,
}

/// What telling a view changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ViewChange {
    /// Only the time at which it was last told, if anything.
    Renewed,
    /// What is known of the service: another origin, or that it covers the past.
    Added,
    /// The view was dropped, because there are too many services.
    Dropped,
}

#[derive(Debug, Default)]
pub(super) struct ToldViews {
    services: BTreeMap<OriginService, ToldOrigins>,
    /// The version of the saved document, which increases over restarts.
    version: u64,
}

#[derive(Debug, Default)]
struct ToldOrigins {
    /// When each origin was last told.
    only: BTreeMap<Origin, Timestamp>,
    several: Option<Timestamp>,
    /// Whether a gateway that knew the past told of the service.
    covers_past: bool,
}

impl ToldViews {
    /// Records the view of a gateway, which may not know what was before its start.
    pub(super) fn record(
        &mut self,
        service: OriginService,
        view: OriginView,
        knows_past: bool,
        now: Timestamp,
    ) -> ViewChange {
        if !self.services.contains_key(&service) && self.services.len() >= MAX_SERVICES {
            return ViewChange::Dropped;
        }
        let told = self.services.entry(service).or_default();
        told.only.retain(|_, told_at| is_recent(*told_at, now));
        told.several = told.several.filter(|told_at| is_recent(*told_at, now));
        let before = match view {
            OriginView::Nothing => return ViewChange::Renewed,
            OriginView::Only(origin) => told.only.insert(origin, now),
            OriginView::Several => told.several.replace(now),
        };
        let is_covered_now = knows_past && !told.covers_past;
        told.covers_past |= knows_past;
        if before.is_none() || is_covered_now { ViewChange::Added } else { ViewChange::Renewed }
    }

    /// Whether the view of a service covers the time of all streams that may go on.
    pub(super) fn covers_past(&self, service: OriginService) -> bool {
        self.services.get(&service).is_some_and(|told| told.covers_past)
    }

    /// The origins that gateways told of a service while streams from then may still go on.
    pub(super) fn view(&self, service: OriginService, now: Timestamp) -> OriginView {
        let told = self.services.get(&service);
        let views = told.into_iter().flat_map(|told| told.views(now));
        views.fold(OriginView::Nothing, OriginView::and)
    }

    /// Encodes the origins of all services, with the version of this document.
    pub(super) fn encode(&mut self, now: Timestamp) -> (u64, Vec<u8>) {
        self.version += 1;
        let saved = |(service, told): (&OriginService, &ToldOrigins)| SavedService {
            service: *service,
            views: told.views(now).collect(),
            covers_past: told.covers_past,
        };
        let services: Vec<SavedService> = self.services.iter().map(saved).collect();
        let bytes = bincode::serde::encode_to_vec(services, ENCODING);
        (self.version, bytes.expect("services have only plain fields"))
    }

    /// Takes in what was saved before the start. Returns whether it could be read.
    pub(super) fn restore(&mut self, version: u64, bytes: &[u8], now: Timestamp) -> bool {
        self.version = self.version.max(version);
        let decoded = bincode::serde::decode_from_slice(bytes, ENCODING);
        let Ok((services, _)): Result<(Vec<SavedService>, usize), _> = decoded else {
            return false;
        };
        for SavedService { service, views, covers_past } in services {
            for view in views {
                self.record(service, view, covers_past, now);
            }
        }
        true
    }
}

impl ToldOrigins {
    fn views(&self, now: Timestamp) -> impl Iterator<Item = OriginView> {
        let only = self.only.iter().filter(move |(_, told_at)| is_recent(**told_at, now));
        let several = self.several.filter(|told_at| is_recent(*told_at, now));
        only.map(|(origin, _)| OriginView::Only(*origin))
            .chain(several.map(|_| OriginView::Several))
    }
}

fn is_recent(told_at: Timestamp, now: Timestamp) -> bool {
    now.since(told_at) < MAX_LIFETIME
}
