//! Connects the keepers of rate limits to the node. A keeper counts the requests of its tenants over the whole
//! system. The owner of a replica group is the keeper for the tenants that belong to the group.
//!
//! A keeper counts in memory only: a log entry for each request would cost more than a limit that is exact
//! across a fail-over is worth.

use std::collections::BTreeMap;

use dahlia_limits::{KeeperTerm, LimitCommand, LimitKeeper, UNREACHABLE_RESERVATION_TIME};
use dahlia_replication::membership::{Health, Member, MemberState};
use dahlia_types::{Duration, GroupId, Term, Timestamp};

use crate::node::Node;
use crate::request::Response;
use crate::routing::ReplyTo;

/// Interval between updates of the share of gateways that are out of reach.
const UNREACHABLE_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// The keepers on this daemon, each with the term in which this daemon owns the group.
#[derive(Default)]
pub(crate) struct LimitKeepers {
    by_group: BTreeMap<GroupId, (Term, LimitKeeper)>,
    next_unreachable_update: Timestamp,
    /// The share of gateways out of reach that keepers were last given.
    unreachable_share: f64,
}

impl Node {
    /// Creates keepers for groups that this daemon has begun to own, and removes those of other groups.
    pub(crate) fn review_limit_keepers(&mut self, now: Timestamp) {
        let serving = self.groups.values().filter(|group| group.is_serving());
        let terms: BTreeMap<GroupId, Term> =
            serving.map(|group| (group.id(), group.replica.term())).collect();
        let keepers = &mut self.limit_keepers.by_group;
        keepers.retain(|group, (term, _)| terms.get(group) == Some(term));
        for (group, term) in terms {
            let settings = &self.settings.rate_limits;
            keepers.entry(group).or_insert_with(|| {
                (term, LimitKeeper::new(settings.clone(), KeeperTerm(term.0), now))
            });
        }
        if now >= self.limit_keepers.next_unreachable_update
            && !self.limit_keepers.by_group.is_empty()
        {
            self.limit_keepers.next_unreachable_update = now + UNREACHABLE_UPDATE_INTERVAL;
            self.update_unreachable_share(now);
        }
    }

    /// Tells keepers the share of gateways, the members without groups, that are out of reach. These go
    /// on without a keeper, so keepers reserve their part of the permits for them.
    fn update_unreachable_share(&mut self, now: Timestamp) {
        let members = self.membership.members();
        let is_gateway = |member: &&Member| {
            let info = &member.record.info;
            !info.holds_groups && info.state == MemberState::Live
        };
        let gateways = members.iter().filter(is_gateway).count();
        let is_unreachable = |member: &&Member| {
            match member.record.health {
                // A zone falls silent before its members are suspected.
                Health::Alive => self.is_silent_zone(&member.record.info.zone),
                Health::Suspect | Health::Dead => {
                    now.since(member.health_since) < UNREACHABLE_RESERVATION_TIME
                }
            }
        };
        let unreachable = members.iter().filter(is_gateway).filter(is_unreachable).count();
        let share = unreachable as f64 / gateways.max(1) as f64;
        let keepers = &mut self.limit_keepers;
        if (share > 0.0) != (keepers.unreachable_share > 0.0) {
            log::info!(
                target: "limits",
                gateways = gateways, unheard = unreachable, keepers = keepers.by_group.len();
                "Reserving permits for gateways that are out of reach has begun or ended."
            );
        }
        keepers.unreachable_share = share;
        for (_, keeper) in keepers.by_group.values_mut() {
            keeper.set_gateway_count(gateways);
            keeper.set_unreachable_share(share, now);
        }
    }

    /// Answers a command as keeper. This daemon serves the group, so its keeper exists or is created.
    pub(crate) fn serve_limits(
        &mut self,
        to: ReplyTo,
        group: GroupId,
        command: LimitCommand,
        now: Timestamp,
    ) {
        self.review_limit_keepers(now);
        let Some((_, keeper)) = self.limit_keepers.by_group.get_mut(&group) else { return };
        let reply = keeper.serve(command, now);
        self.reply(to, Response::Limits(reply));
    }
}
