//! The operators' document, in TOML: the models and engines that serve programs, and tenants'
//! limits.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_types::{DaemonId, EngineId, ModelId, TenantId, Zone};
use serde::{Deserialize, Serialize};

use crate::DocumentError;

/// Largest document. Each daemon keeps a few documents and fetches each new one once.
pub const MAX_DOCUMENT_BYTES: usize = 256 << 10;

/// The operators' document. Every part is optional.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Defaults of programs.
    pub defaults: ProgramDefaults,
    /// Limits of tenants that `tenants` does not name.
    pub tenant_defaults: TenantLimits,
    /// Exceptions of single tenants. Most of many thousand tenants are not listed.
    pub tenants: BTreeMap<TenantId, TenantOverrides>,
    /// Models, each with its adapter and version, by the identifier that programs use.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Engines that the configuration manages.
    pub engines: BTreeMap<EngineId, EngineEntry>,
    /// Daemons that must hand over their groups and take no new ones.
    pub draining_daemons: BTreeSet<DaemonId>,
}

/// Defaults of programs whose request does not say otherwise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProgramDefaults {
    /// Default model. Without one, requests for new programs must name a model.
    pub model: Option<ModelId>,
    /// Budget in tokens.
    pub budget_tokens: u64,
    /// Time without a call after which a program expires, in milliseconds.
    pub idle_expiry_ms: u64,
}

impl Default for ProgramDefaults {
    fn default() -> Self {
        Self { model: None, budget_tokens: 1_000_000, idle_expiry_ms: 3_600_000 }
    }
}

/// Limits of one tenant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantLimits {
    /// Most calls begun per second.
    pub calls_per_second: u32,
    /// Most calls open at once.
    pub open_calls: u32,
    /// Most programs open at once.
    pub open_programs: u32,
    /// Largest budget of one program in tokens.
    pub most_budget_tokens: u64,
}

impl Default for TenantLimits {
    fn default() -> Self {
        Self {
            calls_per_second: 50,
            open_calls: 500,
            open_programs: 2_000,
            most_budget_tokens: 10_000_000,
        }
    }
}

/// A tenant's exceptions from [`Document::tenant_defaults`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantOverrides {
    /// Most calls begun per second.
    pub calls_per_second: Option<u32>,
    /// Most calls open at once.
    pub open_calls: Option<u32>,
    /// Most programs open at once.
    pub open_programs: Option<u32>,
    /// Largest budget of one program in tokens.
    pub most_budget_tokens: Option<u64>,
}

/// A model with its adapter and version, and the engines that serve it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Name of the model, without adapter and version.
    pub base: String,
    /// Name of the adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Version of model and adapter together; empty for a model that has only one.
    #[serde(default)]
    pub version: String,
    /// Engines that must serve it.
    pub engines: BTreeSet<EngineId>,
    /// Fewest engines that serve it at any time during a roll-out.
    #[serde(default = "one")]
    pub least_serving: u32,
    /// Bytes that a load reads from the weight store.
    #[serde(default)]
    pub weight_bytes: u64,
}

impl ModelEntry {
    /// The identifier: `<base>@<version>` or `<base>/<adapter>@<version>`. An empty version leaves
    /// `@<version>` out.
    pub fn id(&self) -> ModelId {
        let mut text = self.base.clone();
        if let Some(adapter) = &self.adapter {
            text = format!("{text}/{adapter}");
        }
        if !self.version.is_empty() {
            text = format!("{text}@{}", self.version);
        }
        ModelId(text)
    }
}

/// Whether an engine takes new work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// The engine takes new attempts.
    #[default]
    Serving,
    /// The engine only finishes the attempts that it has.
    Draining,
}

/// Settings of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineEntry {
    /// Whether it takes new work.
    pub role: EngineRole,
    /// Number of models that fit into it at once.
    pub slots: u32,
    /// Its address; none if the platform's list of machines names the engine.
    pub address: Option<SocketAddr>,
    /// Its zone; none if the platform's list of machines names the engine.
    pub zone: Option<Zone>,
}

impl Default for EngineEntry {
    fn default() -> Self {
        Self { role: EngineRole::Serving, slots: DEFAULT_SLOTS, address: None, zone: None }
    }
}

/// Number of models that fit into an engine whose entry does not say.
pub const DEFAULT_SLOTS: u32 = 2;

fn one() -> u32 {
    1
}

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    /// [`DocumentError`] naming the field, what was found and what is allowed.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLarge { bytes: text.len(), limit: MAX_DOCUMENT_BYTES });
        }
        let document: Self = toml::from_str(text)
            .map_err(|error| DocumentError::Malformed { reason: error.to_string() })?;
        document.check()?;
        Ok(document)
    }

    /// The document as TOML.
    pub fn to_text(&self) -> String {
        toml::to_string(self).expect("every part of a document has a TOML form")
    }

    /// The limits of `tenant`.
    pub fn limits_of(&self, tenant: &TenantId) -> TenantLimits {
        let defaults = &self.tenant_defaults;
        let Some(overrides) = self.tenants.get(tenant) else {
            return defaults.clone();
        };
        TenantLimits {
            calls_per_second: overrides.calls_per_second.unwrap_or(defaults.calls_per_second),
            open_calls: overrides.open_calls.unwrap_or(defaults.open_calls),
            open_programs: overrides.open_programs.unwrap_or(defaults.open_programs),
            most_budget_tokens: overrides.most_budget_tokens.unwrap_or(defaults.most_budget_tokens),
        }
    }

    /// The role of an engine. Engines that are not listed serve.
    pub fn role_of(&self, engine: &EngineId) -> EngineRole {
        self.engines.get(engine).map_or(EngineRole::Serving, |entry| entry.role)
    }

    /// The models that `engine` must serve.
    pub fn models_of<'document>(
        &'document self,
        engine: &EngineId,
    ) -> impl Iterator<Item = &'document ModelId> {
        let engine = engine.clone();
        let serves = move |entry: &ModelEntry| entry.engines.contains(&engine);
        self.models.iter().filter(move |(_, entry)| serves(entry)).map(|(model, _)| model)
    }

    fn check(&self) -> Result<(), DocumentError> {
        if let Some(model) = &self.defaults.model
            && !self.models.contains_key(model)
        {
            return invalid("defaults.model", model, "a model listed in `models`".to_owned());
        }
        self.models.iter().try_for_each(|(model, entry)| self.check_model(model, entry))?;
        self.engines.iter().try_for_each(|(engine, entry)| self.check_engine(engine, entry))
    }

    fn check_model(&self, model: &ModelId, entry: &ModelEntry) -> Result<(), DocumentError> {
        let field = |name: &str| format!("models.{:?}.{name}", model.as_str());
        if entry.id() != *model {
            let field = format!("models.{:?}", model.as_str());
            return invalid(&field, model, format!("{} by its parts", entry.id()));
        }
        if let Some(engine) = entry.engines.iter().find(|id| !self.engines.contains_key(id)) {
            return invalid(&field("engines"), engine, "engines listed in `engines`".to_owned());
        }
        if entry.least_serving == 0 {
            return invalid(&field("least_serving"), 0, "at least 1".to_owned());
        }
        let serving = |id: &&EngineId| self.role_of(id) == EngineRole::Serving;
        let count = entry.engines.iter().filter(serving).count();
        if count < entry.least_serving as usize {
            let allowed = format!("at least {} engines that do not drain", entry.least_serving);
            return invalid(&field("engines"), format!("{count} of them"), allowed);
        }
        Ok(())
    }

    fn check_engine(&self, engine: &EngineId, entry: &EngineEntry) -> Result<(), DocumentError> {
        let needed = self.models_of(engine).count().max(1);
        if (entry.slots as usize) < needed {
            let field = format!("engines.{:?}.slots", engine.as_str());
            return invalid(&field, entry.slots, format!("at least {needed}, its models"));
        }
        Ok(())
    }
}

/// An error for a field with a value that is not allowed.
fn invalid(field: &str, value: impl ToString, allowed: String) -> Result<(), DocumentError> {
    Err(DocumentError::Invalid { field: field.to_owned(), value: value.to_string(), allowed })
}
