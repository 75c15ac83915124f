//! Links between daemons: delay, loss, duplication, reordering and cuts in one direction.

use std::collections::BTreeSet;

use dahlia_types::{DaemonId, Duration};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The state of all links.
#[derive(Debug, Clone)]
pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    pub min_delay: Duration,
    pub max_delay: Duration,
    pub cuts: BTreeSet<(DaemonId, DaemonId)>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            min_delay: Duration::from_micros(500),
            max_delay: Duration::from_micros(2_000),
            cuts: BTreeSet::new(),
        }
    }
}

impl Network {
    /// The delay of each copy that arrives; none if the message is lost.
    pub fn deliveries(
        &self,
        random: &mut ChaCha8Rng,
        from: DaemonId,
        to: DaemonId,
    ) -> Vec<Duration> {
        if self.cuts.contains(&(from, to)) || random.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if random.random_bool(self.duplication) { 2 } else { 1 };
        let delay = self.min_delay.0..=self.max_delay.0;
        (0..copies).map(|_| Duration(random.random_range(delay.clone()))).collect()
    }

    pub fn cut_one_way(&mut self, from: DaemonId, to: DaemonId) {
        self.cuts.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss = 0.0;
        self.duplication = 0.0;
        self.max_delay = Duration::from_micros(2_000);
    }
}
