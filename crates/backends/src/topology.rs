//! How far away a zone is: the own zone, another zone of the own region, another region.
//!
//! Links inside a region are short and cheap. Between regions a way takes milliseconds, and bytes are
//! dear. Which zones a region has is told by settings; a deployment that tells none has one region.

use std::collections::BTreeMap;

use dahlia_types::{InvalidSetting, Region, Zone};
use serde::{Deserialize, Serialize};

/// The region of each zone. Empty where a deployment has one region only.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions(pub BTreeMap<Zone, Region>);

impl Regions {
    /// Checks the table of a daemon that lies in `own_zone` and `own_region`.
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
        let told = self.0.get(own_zone).map_or("", Region::as_str);
        if told != own_region.as_str() {
            let allowed = format!("{:?}, as `daemon.region` says", own_region.as_str());
            return invalid(format!("regions.{own_zone}"), told, allowed);
        }
        Ok(())
    }
}

/// How far away a server is.
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

/// Zones as seen from one of them.
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

    /// A zone that no region is told of counts as near: it was added since the settings were written,
    /// and its servers would stand idle otherwise.
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
