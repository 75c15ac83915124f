//! A whole daemon as one state machine without I/O: `(event, now) -> actions`.
//!
//! The same code runs in the real daemon and in virtual-time runs with seeded faults. The driver
//! owns sockets, timers and tasks; it feeds [`Event`]s and carries out [`Action`]s in the order
//! given.
//!
//! | module | job |
//! |---|---|
//! | `node` | assembly: hands each event to its part |
//! | `durable` | starting again with the groups found on the disk |
//! | `group` | one replica group here: its replica, its programs, its proposals |
//! | `outputs` | what replicas ask for: entries to apply, snapshots, ownership |
//! | `owner` | what the leader of a group does for calls |
//! | `attempts` | intents, dispatch and outcomes of attempts |
//! | `answer` | putting an answer together at a gateway, across fail-over |
//! | `release` | freeing engines' memory |
//! | `recovery` | what a new owner takes up |
//! | `requests` | requests of operators and gateways, at the owner |
//! | `routing` | the way of a request to its owner |
//! | `ledger` | requests to ledgers of caller-named programs |
//! | `limits` | the owner of a group as the keeper of rate limits |
//! | `zone_liveness`, `reach` | which zones are heard, and who is cut off: decisions, and this node's part |
//! | `forwarding` | commands to ledgers by way of another daemon |
//! | `bootstrap` | the first layout of groups |
//! | `history` | old turns on store daemons' disks |
//! | `feed`, `source` | sharing what few daemons read of an outside source: decisions, and this node's part |
//! | `load_sharing`, `loads` | daemons tell each other their loads: decisions, and this node's part |
//! | `zone_choice` | which daemons of a zone do something for the others there |
//! | `line_limit` | how many lines of one kind reach the log |
//! | `members` | which daemons are there, and where groups are |
//! | `upkeep` | replicas that are gone or leave are replaced |
//! | `engines` | what is known of engines |
//! | `engine_sources` | which engines there are, and which leave |
//! | `configuration` | the operators' configuration in force, and changes of it |
//! | `key_value` | steps with the configuration's key |
//! | `orders` | orders to engines that follow from the configuration |

mod answer;
mod attempts;
mod bootstrap;
mod configuration;
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
mod upkeep;
mod view;
pub mod wire;
mod zone_choice;
pub mod zone_liveness;

pub use dahlia_replication::membership::FIRST_HOLDER_DOCUMENT;

pub use answer::{AnswerReader, Followed, StartPosition, Taken};
pub use bootstrap::{LAYOUT_KEY, LayoutStep};
pub use configuration::ConfigurationView;
pub use durable::RecoverError;
pub use engine_sources::{EngineAddress, LeavingSource, ListedEngine, MachineListing};
pub use engines::{EngineReport, EngineView};
pub use event::{Action, BackendFailure, Event, ReleaseOrder, SharedDocument, StartAttempt};
pub use feed::{FeedMessage, FeedOrder, FeedSettings, SourceReading, SourceReport};
pub use history::HistorySettings;
pub use key_value::{ChangeStep, KeyValueEvent, KeyValueStep};
pub use line_limit::LogLineLimit;
pub use load_sharing::{ItemLoad, LoadSharingSettings, LoadSharingStatus, PeerLoads};
pub use members::DaemonView;
pub use node::{Node, NodeStatus};
pub use settings::{NodeFaults, NodeSettings};
pub use zone_liveness::{CutOff, Reachability, ZoneLivenessSettings};
