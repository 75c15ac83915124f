//! The platform's list of live and leaving machines. The list is delayed, so callers may take it
//! only as a hint.

use dahlia_types::{Region, Timestamp, Zone};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http::HttpPeer;
use crate::peer_error::{PeerError, TypedRefusal};
use crate::{Certainty, ClientSettings};

/// Path of the list. `POST` with a JSON body.
pub mod paths {
    /// [`super::MachineListClient::list`].
    pub const LIST: &str = "/v1/machines";
}

/// Kind of process that runs on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MachineKind {
    /// A daemon of this system.
    Daemon,
    /// A model engine.
    Engine,
    /// A tool or application service.
    Tool,
}

/// State of a machine as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MachineState {
    /// The machine runs.
    Live,
    /// The machine runs and will be removed.
    Leaving,
}

/// A machine on the list. Removed machines are not listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name. Names are never reused.
    pub name: String,
    /// Kind of process that runs on it.
    pub kind: MachineKind,
    /// `address:port` of that process.
    pub address: String,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Its state as reported by the platform.
    pub state: MachineState,
}

/// Asks for the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ListMachinesRequest {}

/// The machine list, as it was some time before the answer.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// Counts the list's changes. A list with a smaller revision is older.
    pub revision: u64,
    /// Creation time of this revision, in microseconds since 1970 by the platform's clock.
    pub at: Timestamp,
    /// The machines, by name.
    pub machines: Vec<Machine>,
}

/// Reasons for which the service refuses to send the list.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum MachineListRefusal {
    /// The service cannot handle requests.
    #[snafu(display("the service is unavailable"))]
    Unavailable,
    /// The request is malformed or exceeds a limit.
    #[snafu(display("`{field}` is not acceptable: {detail}"))]
    Invalid {
        /// The field.
        field: String,
        /// What is wrong, with the limit if there is one.
        detail: String,
    },
}

impl TypedRefusal for MachineListRefusal {
    fn certainty(&self) -> Certainty {
        Certainty::NotRun
    }
}

/// A request for the list that failed.
pub type MachineListError = PeerError<MachineListRefusal>;

/// The adapter to the list of machines. Cheap to clone; clones share connections.
#[derive(Debug, Clone)]
pub struct MachineListClient {
    peer: HttpPeer,
}

impl MachineListClient {
    /// Prepares an adapter to the service at `address` (`address:port`). Nothing is sent yet.
    pub fn new(address: &str, settings: ClientSettings) -> Self {
        Self { peer: HttpPeer::new("machine list", address, settings) }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// [`MachineListError`]
    pub async fn list(&self) -> Result<MachineList, MachineListError> {
        let step = "list machines";
        let answer = self.peer.post(step, paths::LIST, &ListMachinesRequest {}).await?;
        answer.map_err(|refusal| PeerError::refused(step, self.peer.name(), refusal))
    }
}
