//! Latencies, cuts, loss and order of arrival.
//!
//! Connections are TCP: what is sent while a link is cut arrives after the cut if the connection
//! lives that long, and is lost otherwise. Between daemons, messages may also be lost, doubled or
//! overtaken, as the deployment says: nothing in the node may rely on the transport for that.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Duration, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::trace::Deployment;

/// One way inside a zone.
const SAME_ZONE: Duration = Duration::from_micros(200);
/// A connection that got nothing through for so long is given up by its kernel.
const CONNECTION_LIFE: Duration = Duration::from_secs(15);

/// A zone by its place in the deployment; none for callers.
pub(crate) type ZoneIndex = Option<usize>;

/// Messages of one channel arrive in the order in which they were sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Channel {
    /// Between two daemons, by number.
    Peers(u32, u32),
    /// A stream, a connection or the like, by its name, in one of two directions.
    Named(u64, bool),
}

#[derive(Debug, Clone, Copy)]
struct Cut {
    from: usize,
    to: usize,
    end: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct Slow {
    zone: usize,
    by: Duration,
    end: Timestamp,
}

/// All links.
#[derive(Debug)]
pub(crate) struct Network {
    zone_link: Duration,
    client_link: Duration,
    loss: f64,
    duplicate: f64,
    reorder: f64,
    cuts: Vec<Cut>,
    slow: Vec<Slow>,
    last: BTreeMap<Channel, Timestamp>,
    /// Connections that were given up: nothing more comes through them.
    given_up: BTreeSet<Channel>,
}

impl Network {
    pub(crate) fn new(deployment: &Deployment) -> Self {
        Self {
            zone_link: deployment.zone_link,
            client_link: deployment.client_link,
            loss: deployment.loss,
            duplicate: deployment.duplicate,
            reorder: deployment.reorder,
            cuts: Vec::new(),
            slow: Vec::new(),
            last: BTreeMap::new(),
            given_up: BTreeSet::new(),
        }
    }

    /// Cuts one direction between two zones.
    pub(crate) fn cut(&mut self, from: usize, to: usize, end: Timestamp) {
        self.cuts.push(Cut { from, to, end });
    }

    /// Makes a zone's links slower.
    pub(crate) fn slow(&mut self, zone: usize, by: Duration, end: Timestamp) {
        self.slow.push(Slow { zone, by, end });
    }

    /// Whether nothing gets from one zone to the other at the moment.
    pub(crate) fn is_cut(&self, from: ZoneIndex, to: ZoneIndex, now: Timestamp) -> bool {
        self.cut_end(from, to, now).is_some()
    }

    fn cut_end(&self, from: ZoneIndex, to: ZoneIndex, now: Timestamp) -> Option<Timestamp> {
        let (from, to) = (from?, to?);
        let hits = |cut: &&Cut| cut.from == from && cut.to == to && cut.end > now;
        self.cuts.iter().filter(hits).map(|cut| cut.end).max()
    }

    /// A one-way latency of this moment.
    pub(crate) fn latency(
        &self,
        from: ZoneIndex,
        to: ZoneIndex,
        now: Timestamp,
        random: &mut ChaCha8Rng,
    ) -> Duration {
        let base = match (from, to) {
            (Some(one), Some(other)) if one == other => SAME_ZONE,
            (Some(_), Some(_)) => self.zone_link,
            _ => self.client_link,
        };
        let touches = |slow: &&Slow| {
            slow.end > now && from != to && (from == Some(slow.zone) || to == Some(slow.zone))
        };
        let extra: u64 = self.slow.iter().filter(touches).map(|slow| slow.by.0).sum();
        Duration(base.0 + random.random_range(0..=base.0 / 2) + extra)
    }

    /// When something that is sent now over a connection arrives; none when the connection does
    /// not live so long.
    pub(crate) fn arrival(
        &mut self,
        channel: Channel,
        from: ZoneIndex,
        to: ZoneIndex,
        now: Timestamp,
        random: &mut ChaCha8Rng,
    ) -> Option<Timestamp> {
        if self.given_up.contains(&channel) {
            return None;
        }
        let mut leaves = now;
        while let Some(end) = self.cut_end(from, to, leaves) {
            leaves = end;
        }
        // A connection that was cut is as often given up as it goes on.
        let too_long = leaves.since(now) > CONNECTION_LIFE;
        if too_long || (leaves > now && random.random_bool(0.5)) {
            // Daemons connect to each other again; other connections are not made again.
            if matches!(channel, Channel::Named(..)) {
                self.given_up.insert(channel);
            }
            return None;
        }
        let at = leaves + self.latency(from, to, leaves, random);
        let last = self.last.entry(channel).or_insert(Timestamp::ZERO);
        *last = at.max(*last + Duration(1));
        Some(*last)
    }

    /// When copies of a message between daemons arrive.
    pub(crate) fn peer_arrivals(
        &mut self,
        channel: Channel,
        from: ZoneIndex,
        to: ZoneIndex,
        now: Timestamp,
        random: &mut ChaCha8Rng,
    ) -> Vec<Timestamp> {
        if random.random_bool(self.loss) {
            return Vec::new();
        }
        let Some(at) = self.arrival(channel, from, to, now, random) else {
            return Vec::new();
        };
        let mut arrivals = vec![at];
        if random.random_bool(self.duplicate) {
            arrivals.push(at + Duration(random.random_range(0..50_000)));
        }
        if random.random_bool(self.reorder) {
            arrivals[0] = at + Duration(random.random_range(0..20_000));
        }
        arrivals
    }
}
