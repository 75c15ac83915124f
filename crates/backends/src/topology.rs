//! The distance of a zone: the own zone, another zone of the own region, or another region.
//!
//! Links inside a region are short and cheap. Between regions, a message takes milliseconds and
//! bytes are expensive. Settings assign zones to regions; a deployment without such settings has a
//! single region.

use std::collections::BTreeMap;

use dahlia_types::{InvalidSetting, Region, Zone};
use serde::{Deserialize, Serialize};

/// The region of each zone; empty if a deployment has a single region.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions(pub BTreeMap<Zone, Region>);

impl Regions {
    /// Checks the regions for a daemon in `own_zone` and `own_region`.
    ///
    /// # Errors
    /// A name is empty, or the own zone is missing or in another region.
    pub fn check(&self, own_zone: &Zone, own_region: &Region) -> Result<(), InvalidSetting> {
        let invalid = |field: String, value: &str, allowed: String| {
            Err(InvalidSetting { field, value: format!("{value:?}"), allowed })
        };
        for (zone, region) in &self.0 {
            if zone.as_str().is_empty() {
                let allowed = "a zone's name of at least one character".to_owned();
                return invalid("regions (name of a zone)".to_owned(), "", allowed);
            }
            if region.as_str().is_empty() {
                let allowed = "the name of the region that the zone lies in".to_owned();
                return invalid(format!("regions.{zone}"), "", allowed);
            }
        }
        if self.0.is_empty() {
            return Ok(());
        }
        let configured = self.0.get(own_zone).map_or("", Region::as_str);
        if configured != own_region.as_str() {
            let allowed = format!("{:?}, as `daemon.region` says", own_region.as_str());
            return invalid(format!("regions.{own_zone}"), configured, allowed);
        }
        Ok(())
    }
}

/// The distance of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the own zone.
    SameZone,
    /// In another zone of the own region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SameZone => "zone",
            Self::SameRegion => "region",
            Self::OtherRegion => "other-region",
        }
    }
}

/// The zones and regions as seen from the own zone.
#[derive(Debug, Clone)]
pub(crate) struct Topology {
    zone: Zone,
    regions: Regions,
}

impl Topology {
    pub(crate) fn new(own_zone: Zone, regions: Regions) -> Self {
        Self { zone: own_zone, regions }
    }

    pub(crate) fn own_zone(&self) -> &Zone {
        &self.zone
    }

    /// Returns the distance of a zone. A zone without a region counts as part of the own region: it
    /// was added after the settings were written, and its servers would otherwise stay idle.
    pub(crate) fn distance(&self, zone: &Zone) -> Distance {
        let Regions(regions) = &self.regions;
        let own = regions.get(&self.zone);
        if *zone == self.zone {
            Distance::SameZone
        } else if regions.get(zone).is_none_or(|region| Some(region) == own) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}
