//! Models on their way: first their weights from the store, then the model's own loading.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dahlia_adapters::engine::EngineRefusal;
use dahlia_adapters::weights::WeightRefusal;
use dahlia_adapters::{ClientSettings, PeerError, WeightStoreClient};
use dahlia_types::{Generation, ModelId};

use super::service::Service;

/// Wait after a failed fetch, unless the store says how long.
const FETCH_RETRY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The weights travel. The model knows nothing of the order yet.
    Fetching,
    /// The model has the order.
    Loading,
}

/// The models on their way, and the newest generation of each model's orders.
#[derive(Debug, Default)]
pub(super) struct Loading {
    seen: BTreeMap<ModelId, Generation>,
    under_way: BTreeMap<ModelId, Phase>,
}

impl Loading {
    /// Takes note of an order's generation; refuses an older one.
    pub(super) fn observe(
        &mut self,
        model: &ModelId,
        generation: Generation,
    ) -> Result<(), EngineRefusal> {
        let seen = self.seen.entry(model.clone()).or_default();
        if generation < *seen {
            return Err(EngineRefusal::StaleGeneration { generation, seen: *seen });
        }
        *seen = generation;
        Ok(())
    }

    /// Begins to fetch weights; false when the model is on its way already.
    pub(super) fn begin_fetch(&mut self, model: &ModelId) -> bool {
        if self.under_way.contains_key(model) {
            return false;
        }
        self.under_way.insert(model.clone(), Phase::Fetching);
        true
    }

    /// Whether the weights of a model are still wanted.
    pub(super) fn is_fetching(&self, model: &ModelId) -> bool {
        self.under_way.get(model) == Some(&Phase::Fetching)
    }

    /// The weights have arrived: gives the generation of the order to hand on. None when the
    /// model was unloaded meanwhile.
    pub(super) fn fetched(&mut self, model: &ModelId) -> Option<Generation> {
        if !self.is_fetching(model) {
            return None;
        }
        self.under_way.insert(model.clone(), Phase::Loading);
        self.seen.get(model).copied()
    }

    /// The model has the order to load.
    pub(super) fn begin_load(&mut self, model: &ModelId) {
        self.under_way.insert(model.clone(), Phase::Loading);
    }

    /// The model is ready, or no longer wanted.
    pub(super) fn end(&mut self, model: &ModelId) {
        self.under_way.remove(model);
    }

    /// The models on their way.
    pub(super) fn under_way(&self) -> impl Iterator<Item = &ModelId> {
        self.under_way.keys()
    }
}

/// Fetches a model's weights, as often as it takes, and hands the order on.
pub(super) async fn fetch(service: Arc<Service>, store: String, model: ModelId) {
    let client = WeightStoreClient::new(&store, ClientSettings::default());
    let engine = service.settings.engine.clone();
    while service.with(|core, _| core.loading.is_fetching(&model)) {
        match client.fetch(&model, &engine).await {
            Ok(_) => {
                service.with(|core, now| core.weights_arrived(&model, now));
                return;
            }
            Err(error) => {
                log::warn!("{error}");
                tokio::time::sleep(wait_after(&error)).await;
            }
        }
    }
}

fn wait_after(error: &PeerError<WeightRefusal>) -> Duration {
    match error.refusal() {
        Some(WeightRefusal::RateLimited { retry_after }) => {
            Duration::from_micros(retry_after.as_micros())
        }
        _ => FETCH_RETRY,
    }
}
