//! What the handle of a core tells its other parts.

use dahlia_daemon::core_handle::channel;
use dahlia_node::Reachability;
use dahlia_types::{DaemonId, Incarnation, ReplicaId, Zone};

/// A part that starts later would miss a cut that goes on.
#[test]
fn whom_a_daemon_reaches_is_news_to_a_part_that_asks_late() {
    let own = ReplicaId { daemon: DaemonId(1), incarnation: Incarnation(1) };
    let (core, _inbox) = channel(own);
    let silent_zones = [Zone::new("b")].into();
    core.reachability_sender().send_replace(Reachability { silent_zones, cut_off: None });
    let mut reach = core.reachability();
    assert!(reach.has_changed().expect("its sender lives"));
    reach.borrow_and_update();
    assert!(!reach.has_changed().expect("its sender lives"), "told once");
}
