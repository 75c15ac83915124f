//! Connects the feed to the node: its members, messages and actions.

use std::net::SocketAddr;

use dahlia_replication::membership::MemberInfo;
use dahlia_types::{DaemonId, Timestamp};

use crate::Action;
use crate::feed::{Feed, FeedAction, FeedMessage, SourceReport};
use crate::node::Node;
use crate::wire::PeerMessage;

impl Node {
    /// Updates which daemon reads the outside source, and whether this daemon does.
    pub(crate) fn update_feed(&mut self, now: Timestamp) {
        if self.feed.as_ref().is_none_or(|feed| !feed.is_review_due(now)) {
            return self.with_feed(|feed| feed.tick(now));
        }
        let zone = &self.settings.zone;
        // Only daemons without groups follow the source.
        let shares = |info: &MemberInfo| !info.holds_groups && info.zone == *zone;
        let members = self.live_members();
        let sharing: Vec<(DaemonId, SocketAddr)> = members
            .iter()
            .filter(|info| shares(info))
            .map(|info| (info.daemon, info.address))
            .collect();
        self.with_feed(|feed| {
            feed.review(&sharing, now);
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
