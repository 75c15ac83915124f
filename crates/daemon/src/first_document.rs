//! The first document of the configuration, generated from the engines in the settings file.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_configuration::{DEFAULT_SLOTS, Document, EngineEntry, EngineRole, ModelEntry};
use dahlia_types::{EngineId, ModelId};

use crate::settings::EngineSettings;

/// Generates the document for `engines` from the settings; none without engines. The same engines give
/// the same text on every daemon.
pub fn first_document(engines: &[EngineSettings]) -> Option<String> {
    if engines.is_empty() {
        return None;
    }
    let mut document = Document::default();
    let mut served: BTreeMap<&ModelId, BTreeSet<EngineId>> = BTreeMap::new();
    for engine in engines {
        let entry = EngineEntry {
            role: EngineRole::Serving,
            slots: DEFAULT_SLOTS.max(engine.models.len() as u32),
            address: Some(engine.address),
            zone: Some(engine.zone.clone()),
        };
        document.engines.insert(engine.id.clone(), entry);
        for model in &engine.models {
            served.entry(model).or_default().insert(engine.id.clone());
        }
    }
    for (model, engines) in served {
        document.models.insert(model.clone(), model_entry(model, engines));
    }
    Some(document.to_text())
}

/// Parses a model identifier: `<base>`, `<base>@<version>` or `<base>/<adapter>@<version>`.
fn model_entry(model: &ModelId, engines: BTreeSet<EngineId>) -> ModelEntry {
    let (name, version) = model.as_str().split_once('@').unwrap_or((model.as_str(), ""));
    let (base, adapter) = match name.split_once('/') {
        Some((base, adapter)) => (base, Some(adapter.to_owned())),
        None => (name, None),
    };
    ModelEntry {
        base: base.to_owned(),
        adapter,
        version: version.to_owned(),
        engines,
        least_serving: 1,
        weight_bytes: 0,
    }
}
