//! Creates the first layout of groups, written once to the key-value service by compare-and-swap.
//!
//! Every daemon reads the key until it exists. A daemon that finds no layout and enough live members
//! writes one. Enough means as many as the declared losses need. If fewer daemons come, the groups
//! are laid out on those and get more voters when others join. A daemon that loses the race reads
//! the winner's layout. A daemon bootstraps a replica only if the layout names exactly its current
//! incarnation.

use dahlia_replication::directory::{GroupDescription, initial_layout_with_homes};
use dahlia_replication::group::Replica;
use dahlia_replication::maintenance::Maintenance;
use dahlia_replication::membership::MemberInfo;
use dahlia_replication::tolerance::HolderCounts;
use dahlia_types::{Duration, GroupHomes, Timestamp};

use crate::Action;
use crate::group::Group;
use crate::node::Node;

/// The key that stores the layout.
pub const LAYOUT_KEY: &str = "groups/layout";

/// The interval between reads while the key is missing.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// How long the number of daemons must not have grown before the groups are laid out.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
/// The same delay while there are fewer daemons than the declared losses need.
const SHORTFALL_DELAY: Duration = Duration::from_secs(3);
/// Added to the read interval per live daemon, so that all daemons together read about 100 times a
/// second.
const READ_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);

/// A request to the key-value service about the layout, or its response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LayoutStep {
    /// Request: read the key. Response: the key is missing.
    Read,
    /// Request: create the key with this value if it is missing. Response: the key's value.
    Value(Vec<u8>),
    /// Response: the service did not answer. The request is retried later.
    Failed,
}

/// Progress of the first layout on this daemon.
#[derive(Debug, Default)]
pub(crate) struct Bootstrap {
    is_done: bool,
    is_missing: bool,
    next_read: Timestamp,
    /// The most daemons that may hold groups that were live at once.
    max_holders: usize,
    /// When that number was first reached.
    max_holders_since: Timestamp,
}

impl Bootstrap {
    /// Whether the layout is known to this daemon.
    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    /// Whether the service reported that no layout exists.
    pub(crate) fn is_missing(&self) -> bool {
        self.is_missing && !self.is_done
    }

    /// Whether a read of the key is due; if so, schedules the next one.
    pub(crate) fn take_due_read(&mut self, now: Timestamp) -> bool {
        if self.is_done || now < self.next_read {
            return false;
        }
        self.next_read = now + READ_INTERVAL;
        true
    }

    /// Delays the next read in proportion to the number of live daemons.
    pub(crate) fn delay_next_read(&mut self, live_daemons: usize, now: Timestamp) {
        let interval = READ_INTERVAL_PER_DAEMON.times(live_daemons as u64);
        self.next_read = self.next_read.max(now + interval);
    }

    /// Whether the groups may be laid out on `holders` daemons, where `needed` are wanted.
    pub(crate) fn has_settled(&mut self, holders: usize, needed: usize, now: Timestamp) -> bool {
        if holders > self.max_holders {
            self.max_holders = holders;
            self.max_holders_since = now;
        }
        let delay = if holders >= needed { SETTLE_DELAY } else { SHORTFALL_DELAY };
        holders > 0 && now.since(self.max_holders_since) >= delay
    }

    /// Records that the key is missing.
    pub(crate) fn record_missing(&mut self) {
        self.is_missing = true;
    }

    /// Records that the layout is known.
    pub(crate) fn finish(&mut self) {
        self.is_done = true;
    }
}

/// Chooses the first voters of each group and encodes the layout.
pub(crate) fn choose_layout(
    live: &[MemberInfo],
    groups: u32,
    voters: usize,
    homes: &GroupHomes,
) -> Vec<u8> {
    let layout = initial_layout_with_homes(live, groups, voters, homes);
    let encoded = bincode::serde::encode_to_vec(&layout, bincode::config::standard());
    encoded.expect("a layout has only plain fields")
}

/// Decodes a layout.
pub(crate) fn decode_layout(bytes: &[u8]) -> Option<Vec<GroupDescription>> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(layout, _)| layout)
}

impl Node {
    pub(crate) fn read_layout(&mut self, now: Timestamp) {
        if self.bootstrap.is_done() {
            return;
        }
        if !self.settings.holds_groups {
            // Owners publish their groups to all daemons, so this daemon does not need the key.
            if self.directory.iter().count() >= self.settings.group_count as usize {
                self.bootstrap.finish();
            }
            return;
        }
        if !self.bootstrap.take_due_read(now) {
            return;
        }
        let live = self.live_members();
        self.bootstrap.delay_next_read(live.len(), now);
        let step = if self.may_lay_out(&live, now) && self.bootstrap.is_missing() {
            LayoutStep::Value(self.choose_layout(&live))
        } else {
            LayoutStep::Read
        };
        self.actions.push(Action::Layout(step));
    }

    fn may_lay_out(&mut self, live: &[MemberInfo], now: Timestamp) -> bool {
        let holders = live.iter().filter(|member| member.holds_groups).count();
        match self.settings.bootstrap_daemons {
            Some(daemons) => holders >= daemons as usize,
            None => {
                let needed = self.settings.tolerance.wanted_voters();
                self.bootstrap.has_settled(holders, needed, now)
            }
        }
    }

    fn choose_layout(&self, live: &[MemberInfo]) -> Vec<u8> {
        let holders = live.iter().filter(|member| member.holds_groups);
        let holders = HolderCounts::of_zones(holders.map(|member| member.zone.clone()));
        let target = self.settings.tolerance.target(&holders);
        for shortfall in &target.shortfalls {
            log::warn!(target: "groups", "First layout: {shortfall}.");
        }
        choose_layout(
            live,
            self.settings.group_count,
            target.voters,
            &self.settings.maintenance.homes,
        )
    }

    pub(crate) fn handle_layout_step(&mut self, step: LayoutStep, now: Timestamp) {
        match step {
            LayoutStep::Read => self.bootstrap.record_missing(),
            LayoutStep::Failed => {}
            LayoutStep::Value(bytes) if !self.bootstrap.is_done() => match decode_layout(&bytes) {
                Some(layout) => self.adopt_layout(layout, now),
                None => log::error!(target: "groups", "The layout of groups is malformed."),
            },
            LayoutStep::Value(_) => {}
        }
    }

    fn adopt_layout(&mut self, layout: Vec<GroupDescription>, now: Timestamp) {
        self.bootstrap.finish();
        for description in layout {
            let (id, voters) = (description.group, description.members.clone());
            self.directory.merge(description);
            // Another incarnation of this daemon is another replica. Only the incarnation that the
            // layout names starts as a voter, and only once, because the layout is read once.
            if !voters.contains(&self.settings.own) {
                continue;
            }
            if let Some(group) = self.groups.get_mut(&id) {
                // The group exists already if the first voter was elected and sent a message.
                group.replica.set_initial_voters(voters, now);
                self.dirty.insert(id);
                continue;
            }
            let settings = self.settings.group.clone();
            let seed = self.settings.seed;
            let mut replica =
                Replica::bootstrap(self.settings.own, id, voters.clone(), settings, seed, now);
            if voters.first() == Some(&self.settings.own) {
                // The layout balances leaders, so the first voter need not wait for a timeout.
                replica.campaign(now);
            }
            let maintenance = Maintenance::new(self.settings.maintenance.clone());
            let state = self.settings.empty_state(id);
            self.groups.insert(id, Group::new(replica, state, maintenance));
            self.dirty.insert(id);
        }
    }
}
