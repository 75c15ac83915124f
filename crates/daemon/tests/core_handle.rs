//! Reachability as published through the handle of a core.

use dahlia_daemon::core_handle::channel;
use dahlia_node::Reachability;
use dahlia_types::{DaemonId, Incarnation, ReplicaId, Zone};

/// Otherwise a part that subscribes late would miss a cut that is still going on.
#[test]
fn reachability_counts_as_changed_for_a_late_subscriber() {
    let own = ReplicaId { daemon: DaemonId(1), incarnation: Incarnation(1) };
    let (core, _inbox) = channel(own);
    let silent_zones = [Zone::new("b")].into();
    core.reachability_sender().send_replace(Reachability { silent_zones, cut_off: None });
    let mut reach = core.reachability();
    assert!(reach.has_changed().expect("its sender exists"));
    reach.borrow_and_update();
    assert!(!reach.has_changed().expect("its sender exists"), "reported once");
}
