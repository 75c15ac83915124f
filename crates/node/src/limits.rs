//! The owner of a replica group as the keeper of rate limits: of the tenants that fall to the group.
//!
//! What it counts is in its memory only: a log entry for each request would cost more than a limit
//! that is exact across a fail-over is worth.

use std::collections::BTreeMap;

use dahlia_limits::{KeeperTerm, LimitCommand, LimitKeeper, UNREACHABLE_RESERVATION_TIME};
use dahlia_replication::membership::{Health, Member, MemberState};
use dahlia_types::{Duration, GroupId, Term, Timestamp};

use crate::node::Node;
use crate::request::Response;
use crate::routing::ReplyTo;

/// How often keepers are told which gateways are out of reach.
const REACH_INTERVAL: Duration = Duration::from_millis(200);

/// The keepers on this daemon, each with the term that it owns its group in.
#[derive(Default)]
pub(crate) struct LimitKeepers {
    by_group: BTreeMap<GroupId, (Term, LimitKeeper)>,
    next_reach: Timestamp,
    /// The share of gateways out of reach that was told last.
    unheard: f64,
}

impl Node {
    /// Begins to keep limits for groups that are owned here since of late, and ends for others.
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
        if now >= self.limit_keepers.next_reach && !self.limit_keepers.by_group.is_empty() {
            self.limit_keepers.next_reach = now + REACH_INTERVAL;
            self.tell_reach(now);
        }
    }

    /// Gateways that are out of reach go on without their keepers, who leave them their part.
    fn tell_reach(&mut self, now: Timestamp) {
        let members = self.membership.members();
        let is_gateway = |member: &&Member| {
            let info = &member.record.info;
            !info.holds_groups && info.state == MemberState::Live
        };
        let gateways = members.iter().filter(is_gateway).count();
        let is_unheard = |member: &&Member| {
            match member.record.health {
                // A zone falls silent before its members are suspected.
                Health::Alive => self.is_silent_zone(&member.record.info.zone),
                Health::Suspect | Health::Dead => {
                    now.since(member.health_since) < UNREACHABLE_RESERVATION_TIME
                }
            }
        };
        let unheard = members.iter().filter(is_gateway).filter(is_unheard).count();
        let share = unheard as f64 / gateways.max(1) as f64;
        let keepers = &mut self.limit_keepers;
        if (share > 0.0) != (keepers.unheard > 0.0) {
            log::info!(
                target: "limits",
                gateways = gateways, unheard = unheard, keepers = keepers.by_group.len();
                "Permits are left to gateways that are out of reach, or no more."
            );
        }
        keepers.unheard = share;
        for (_, keeper) in keepers.by_group.values_mut() {
            keeper.set_gateway_count(gateways);
            keeper.set_unreachable_share(share, now);
        }
    }

    /// Answers as keeper. The owner's group is served here, so there is a keeper or begins one.
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
