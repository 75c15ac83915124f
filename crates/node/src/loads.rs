//! Connects load sharing to the node: its members, messages and actions.

use std::collections::BTreeMap;

use dahlia_replication::membership::MemberInfo;
use dahlia_types::{ReplicaId, Timestamp, Zone};

use crate::Action;
use crate::load_sharing::{
    ItemLoad, LoadAction, LoadMessage, LoadSharing, LoadSharingStatus, SharingMembers,
};
use crate::node::Node;
use crate::wire::PeerMessage;
use crate::zone_choice::Candidate;

impl Node {
    /// Updates this daemon's own loads, and sends the reports and sums that are due.
    pub(crate) fn update_own_loads(&mut self, own: &[ItemLoad], now: Timestamp) {
        let is_review_due = self.loads.as_ref().is_some_and(|loads| loads.is_review_due(now));
        if is_review_due {
            let members = self.sharing_members();
            self.with_loads(|loads| loads.review(members, now));
        }
        self.with_loads(|loads| loads.update_own_loads(own, now));
    }

    /// Stops sharing this daemon's loads.
    pub(crate) fn stop_load_sharing(&mut self) {
        self.with_loads(LoadSharing::stop);
    }

    pub(crate) fn receive_load_message(
        &mut self,
        from: ReplicaId,
        message: LoadMessage,
        now: Timestamp,
    ) {
        self.with_loads(|loads| loads.receive(from, message, now));
    }

    /// Status of load sharing; none if this daemon does not take part.
    pub(crate) fn load_sharing_status(&self, now: Timestamp) -> Option<LoadSharingStatus> {
        self.loads.as_ref().map(|loads| loads.status(now))
    }

    /// Live daemons of the region that share loads. Daemons with groups are left out: only those without groups
    /// send requests to servers.
    fn sharing_members(&self) -> SharingMembers {
        let members = self.live_members();
        let shares = |info: &&MemberInfo| !info.holds_groups && info.region == self.settings.region;
        let mut zones: BTreeMap<&Zone, Vec<Candidate>> = BTreeMap::new();
        for info in members.iter().filter(shares) {
            zones.entry(&info.zone).or_default().push((info.daemon, info.address));
        }
        let zone = zones.remove(&self.settings.zone).unwrap_or_default();
        let others = zones.into_values().collect();
        SharingMembers { zone, others, reaches_groups: self.reaches_groups() }
    }

    fn with_loads(&mut self, change: impl FnOnce(&mut LoadSharing)) {
        let Some(loads) = &mut self.loads else { return };
        change(loads);
        for action in loads.take_actions() {
            self.actions.push(match action {
                LoadAction::Apply(loads) => Action::LoadsReported(loads),
                LoadAction::Send { to, message } => {
                    Action::Send { to, message: PeerMessage::Loads(message) }
                }
            });
        }
    }
}
