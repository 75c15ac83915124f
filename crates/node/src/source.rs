//! Connects the feed to the node: its members, messages and actions.

use dahlia_replication::membership::MemberInfo;
use dahlia_types::{DaemonId, Timestamp};

use crate::Action;
use crate::feed::{Feed, FeedAction, FeedMembers, FeedMessage, SourceReport};
use crate::node::Node;
use crate::settings::NodeSettings;
use crate::wire::PeerMessage;

impl Node {
    /// Updates which daemon reads the outside source, and whether this daemon does.
    pub(crate) fn update_feed(&mut self, now: Timestamp) {
        if self.feed.as_ref().is_none_or(|feed| !feed.is_review_due(now)) {
            return self.with_feed(|feed| feed.tick(now));
        }
        // Only daemons without groups follow the source.
        let live = self.live_members();
        let following: Vec<&MemberInfo> = live.iter().filter(|info| !info.holds_groups).collect();
        let NodeSettings { zone, region, .. } = &self.settings;
        let candidates = |is_near: &dyn Fn(&MemberInfo) -> bool| {
            let near = following.iter().filter(|info| is_near(info));
            near.map(|info| (info.daemon, info.address)).collect()
        };
        let members = FeedMembers {
            zone: candidates(&|info| info.zone == *zone),
            region: candidates(&|info| info.region == *region),
        };
        self.with_feed(|feed| {
            feed.review(&members, now);
            feed.tick(now);
        });
    }

    pub(crate) fn record_source_read(&mut self, report: SourceReport, now: Timestamp) {
        self.with_feed(|feed| feed.record_read(report, now));
    }

    pub(crate) fn receive_feed_message(
        &mut self,
        from: DaemonId,
        message: FeedMessage,
        now: Timestamp,
    ) {
        self.with_feed(|feed| {
            match message {
                FeedMessage::Subscribe { known, reply_to, sent_at } => {
                    feed.receive_subscription(from, known, reply_to, sent_at, now);
                }
                FeedMessage::Report { report, echo } => feed.receive_report(report, echo, now),
            }
            feed.tick(now);
        });
    }

    fn with_feed(&mut self, change: impl FnOnce(&mut Feed)) {
        let Some(feed) = &mut self.feed else { return };
        change(feed);
        for action in feed.take_actions() {
            self.actions.push(match action {
                FeedAction::Order(order) => Action::Feed(order),
                FeedAction::Send { to, message } => {
                    Action::Send { to, message: PeerMessage::Feed(message) }
                }
            });
        }
    }
}
