//! Zones that are being evacuated: their servers receive no new requests.

use std::collections::BTreeSet;

use dahlia_types::Zone;

use crate::BackendRecord;

/// The zones that are being evacuated.
#[derive(Debug, Default)]
pub(crate) struct EvacuatedZones(BTreeSet<Zone>);

impl EvacuatedZones {
    /// Replaces all zones.
    pub(crate) fn set(&mut self, zones: BTreeSet<Zone>) {
        self.0 = zones;
    }

    /// Whether a server lies in an evacuated zone.
    pub(crate) fn contains(&self, server: &BackendRecord) -> bool {
        self.0.contains(&server.zone)
    }

    /// Returns the progress of each evacuation. `servers` yields all servers with this daemon's
    /// attempts there.
    pub(crate) fn progress<'a>(
        &'a self,
        servers: impl Iterator<Item = (&'a BackendRecord, u32)> + Clone,
    ) -> Vec<EvacuatedZone> {
        let progress_of = |zone: &Zone| {
            let in_zone = servers.clone().filter(|(record, _)| record.zone == *zone);
            EvacuatedZone {
                zone: zone.clone(),
                servers: in_zone.clone().count(),
                in_flight: in_zone.map(|(_, in_flight)| in_flight).sum(),
            }
        };
        self.0.iter().map(progress_of).collect()
    }
}

/// The progress of a zone's evacuation, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedZone {
    /// The zone.
    pub zone: Zone,
    /// The servers that discovery lists there; 0 if the zone is not known.
    pub servers: usize,
    /// This daemon's attempts there that have not ended.
    pub in_flight: u32,
}
