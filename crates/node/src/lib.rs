//! A whole daemon as one state machine without I/O: `(event, now) -> actions`.
//!
//! The same code runs in the real daemon and in virtual-time runs with seeded faults. The driver
//! owns sockets, timers and tasks. It passes [`Event`]s to the node and performs the returned
//! [`Action`]s in order.
//!
//! | module | purpose |
//! |---|---|
//! | `node` | dispatches each event to the module that handles it |
//! | `durable` | restarts from the groups found on disk |
//! | `group` | one local replica group: its replica, programs and proposals |
//! | `outputs` | processes replica outputs: entries to apply, snapshots, ownership changes |
//! | `owner` | handles applied commands at the group owner |
//! | `attempts` | records intents, dispatches attempts and records their outcomes |
//! | `answer` | reads an answer at a gateway, across failover |
//! | `release` | frees program memory at engines |
//! | `recovery` | gains and gives up ownership of a group |
//! | `requests` | serves requests from operators and gateways at the owner |
//! | `routing` | tracks requests on their way to the owner |
//! | `ledger` | routes and serves requests to ledgers of caller-named programs |
//! | `limits` | serves rate limits at the group owner |
//! | `zone_liveness`, `reach` | detects silent zones and cut-off daemons: decisions, and their use in the node |
//! | `helpers` | forwards ledger commands through another daemon |
//! | `bootstrap` | creates and reads the first layout of groups |
//! | `history` | moves old turns to store daemons' disks and reads them back |
//! | `feed`, `source` | shares an external source that only a few daemons read: decisions, and their use in the node |
//! | `load_sharing`, `loads` | exchanges load reports between daemons: decisions, and their use in the node |
//! | `stream_origins`, `stream_origin_events` | tracks where streams began: decisions, and their use in the node |
//! | `zone_choice` | chooses the daemons that do a task for their whole zone |
//! | `line_limit` | limits log lines of one kind |
//! | `superseded` | what a daemon still does after a later process has replaced it |
//! | `members` | tracks daemons and the locations of groups |
//! | `upkeep` | replaces replicas that are lost or leaving |
//! | `engines` | records engine reports |
//! | `engine_sources` | tracks which engines exist and which are leaving |
//! | `configuration` | follows and changes the operators' configuration |
//! | `key_value` | operations on the configuration key |
//! | `wire`, `wire_extension` | messages between daemons, and fields that they have gained |
//! | `orders` | plans engine orders from the configuration |

mod answer;
mod attempts;
mod bootstrap;
mod configuration;
mod crash_report_events;
pub mod crash_reports;
mod durable;
mod engine_sources;
mod engines;
mod event;
pub mod feed;
mod forwarding;
mod group;
pub mod history;
mod key_value;
mod ledger;
mod limits;
mod line_limit;
pub mod load_sharing;
mod loads;
mod members;
mod node;
mod orders;
mod outputs;
mod owner;
mod reach;
mod recovery;
mod release;
pub mod request;
mod requests;
mod retirement;
mod routing;
mod settings;
mod source;
mod stream_origin_events;
pub mod stream_origins;
mod superseded;
mod upkeep;
mod view;
pub mod wire;
pub mod wire_extension;
mod zone_choice;
pub mod zone_liveness;

pub use dahlia_replication::membership::FIRST_HOLDER_DOCUMENT;

pub use answer::{AnswerEvent, AnswerReader, FrameOutcome, StartPosition};
pub use bootstrap::{LAYOUT_KEY, LayoutStep};
pub use configuration::ConfigurationView;
pub use durable::RecoverError;
pub use engine_sources::{EngineAddress, LeavingSource, ListedEngine, MachineListing};
pub use engines::{EngineReport, EngineView};
pub use event::{Action, BackendFailure, Event, ReleaseOrder, SharedDocument, StartAttempt};
pub use feed::{
    FeedMessage, FeedOrder, FeedSettings, SourceReading, SourceReport, SubscriptionEcho,
};
pub use history::HistorySettings;
pub use key_value::{ChangeStep, KeyValueEvent, KeyValueOperation};
pub use line_limit::LogLineLimit;
pub use load_sharing::{ItemLoad, LoadSharingSettings, LoadSharingStatus, PeerLoads};
pub use members::DaemonView;
pub use node::{Node, NodeStatus};
pub use settings::{NodeFaults, NodeSettings};
pub use zone_liveness::{CutOff, Reachability, ZoneLivenessSettings};
