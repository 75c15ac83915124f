//! Which servers of a service there are, how loaded they are, and which one a request goes to.
//!
//! A deterministic state machine without I/O: records of servers, ends of attempts and moments go
//! in; choices come out. Many daemons choose at once and none knows what the others have sent, so
//! a choice rests on the daemon's own attempts, on what servers said when they refused, on what other
//! daemons told of their loads, and on rendezvous hashing, which lets all daemons prefer the same
//! server for the same program without a word between them.
//!
//! | module | job |
//! |---|---|
//! | `record` | what is known of a server from discovery |
//! | `choice` | what is asked, and what comes out |
//! | `table` | all servers of all services |
//! | `service_servers` | the servers of one service, by identifier and by zone |
//! | `pick` | the choice among them for one request |
//! | `server` | one server: this daemon's attempts there, its failures |
//! | `loads` | servers compared by how much of this daemon's load they carry |
//! | `topology` | how far away a zone is: own zone, own region, another region |
//! | `nearness` | whether servers of the own zone answer as soon as others of the region |
//! | `overflow` | which share of the requests other regions take |
//! | `faded_mean` | a mean of times that forgets |
//! | `cold` | servers that started of late, and this daemon's share of what they bear |
//! | `cold_table` | cold servers among all of them |
//! | `gateways` | which gateways share that |
//! | `load_report` | what daemons tell each other of servers' loads |
//! | `load_table` | what is told and heard of loads, for all servers |
//! | `heard_load` | what others told of one server's load |
//! | `pace` | how soon a server's tokens come |
//! | `engine` | what model servers have, and how large a request for them is |
//! | `expected_end` | the choice by where a request ends first |
//! | `latency` | how long a server takes to answer |
//! | `rendezvous` | a rank of servers that all daemons agree on |
//! | `silent_zones` | zones taken for cut off, and when a request may go there |
//! | `shares` | which shares of the load fall to which shared prompts |
//! | `smoothed` | a count averaged over time |
//! | `settings` | settings of the choice |
//! | `evacuation_orders` | which zones are ordered to be emptied, merged from several observers |
//! | `evacuated_zones` | zones whose servers get nothing further |

mod choice;
mod cold;
mod cold_table;
mod engine;
mod evacuated_zones;
mod evacuation_orders;
mod expected_end;
mod faded_mean;
mod gateways;
mod heard_load;
mod latency;
mod load_report;
mod load_table;
mod loads;
mod nearness;
mod overflow;
mod pace;
mod pick;
mod record;
mod rendezvous;
mod server;
mod service_servers;
mod settings;
mod shares;
mod silent_zones;
mod smoothed;
mod table;
mod topology;

pub use choice::{
    Affinity, AttemptEnd, Choice, ChoiceBasis, ChoiceReason, ChoiceRequest, SharedPrompt,
    TurnEstimate,
};
pub use cold::{ColdChange, ColdLimit, ColdStats};
pub use engine::{EngineCapacity, TurnSize};
pub use evacuated_zones::EvacuatedZone;
pub use evacuation_orders::EvacuationOrders;
pub use gateways::Gateways;
pub use load_report::{LoadView, ServerDigest, ServerLoad, TokenTimes};
pub use record::{BackendAddress, BackendId, BackendRecord, BackendState, ServiceName};
pub use settings::BackendSettings;
pub use table::{Backends, FailureListener};
pub use topology::{Distance, Regions};
