//! Chooses the server for a routed request, from the servers of its service and their loads.
//!
//! A deterministic state machine without I/O: its inputs are server records, ends of attempts and
//! timestamps, and its outputs are choices. Many daemons choose at once, and none knows what the
//! others have sent. A choice therefore uses the daemon's own attempts, the servers' refusals, the
//! loads that other daemons reported, and rendezvous hashing, by which all daemons prefer the same
//! server for the same program without communication.
//!
//! | module | purpose |
//! |---|---|
//! | `record` | what discovery knows about a server |
//! | `choice` | the request for a choice, and its result |
//! | `table` | all servers of all services |
//! | `service_servers` | the servers of one service, by identifier and by zone |
//! | `selection` | the selection of a server for one request |
//! | `server` | one server: this daemon's attempts there, and its failures |
//! | `load_comparison` | the comparison of servers by how much of this daemon's load they carry |
//! | `version` | the versions of servers' software, and which of them a service had recently |
//! | `topology` | the distance of a zone: own zone, own region, another region |
//! | `zone_preference` | whether servers of the own zone answer as soon as others of the region |
//! | `region_overflow` | the share of requests that goes to other regions |
//! | `decaying_mean` | an exponentially decaying mean of durations |
//! | `departures` | servers that have left, so that late news does not bring them back |
//! | `cold_limiter` | limits for servers that started recently, and this gateway's shares of them |
//! | `cold_servers` | cold servers among all servers |
//! | `gateways` | the gateways that share these limits |
//! | `load_report` | the reports of server loads that daemons exchange |
//! | `load_exchange` | this daemon's reports, and the reports of others, for all servers |
//! | `reported_load` | the load of one server that other daemons reported |
//! | `time_per_token` | the time per token of a server's streams |
//! | `engine` | the capacity of model servers, and the size of a request for them |
//! | `expected_end` | the choice by where a request is expected to end first |
//! | `latency` | the time until a server's answers begin |
//! | `rendezvous` | a ranking of servers that is the same at all daemons |
//! | `silent_zones` | zones that are presumed cut off, and their probes |
//! | `prompt_shares` | the share of the load that each shared prompt has |
//! | `smoothed_count` | a count averaged over time |
//! | `stable_hash` | a hash that all daemons compute alike |
//! | `settings` | the settings of the choice |
//! | `evacuation_orders` | orders to evacuate zones, merged from several observers |
//! | `evacuated_zones` | zones whose servers receive no new requests |

mod choice;
mod cold_limiter;
mod cold_servers;
mod decaying_mean;
mod departures;
mod engine;
mod evacuated_zones;
mod evacuation_orders;
mod expected_end;
mod gateways;
mod latency;
mod load_comparison;
mod load_exchange;
mod load_report;
mod probation;
mod prompt_shares;
mod record;
mod region_overflow;
mod rendezvous;
mod reported_load;
mod selection;
mod server;
mod service_servers;
mod settings;
mod silent_zones;
mod smoothed_count;
mod stable_hash;
mod table;
mod time_per_token;
mod topology;
mod version;
mod zone_preference;

pub use choice::{
    Affinity, AttemptEnd, Choice, ChoiceBasis, ChoiceReason, ChoiceRequest, SharedPrompt,
    TurnEstimate,
};
pub use cold_limiter::{ColdChange, ColdLimit, ColdStats};
pub use departures::Departure;
pub use engine::{EngineCapacity, TurnSize};
pub use evacuated_zones::EvacuatedZone;
pub use evacuation_orders::EvacuationOrders;
pub use gateways::Gateways;
pub use load_report::{LoadView, ServerDigest, ServerLoad, TokenTimes};
pub use record::{BackendAddress, BackendId, BackendRecord, BackendState, ServiceName};
pub use settings::BackendSettings;
pub use stable_hash::stable_hash;
pub use table::{Backends, FailureListener};
pub use topology::{Distance, Regions};
pub use version::{RECENT_VERSIONS_TIME, SoftwareVersion, VersionDigest, VersionView};
