//! Differences between two documents, which operators read before and after a change.

use std::collections::BTreeMap;
use std::fmt;

use crate::Document;

/// One changed field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Dotted path of the field.
    pub field: String,
    /// The value before; none if the field is new.
    pub before: Option<String>,
    /// The value after; none if the field was removed.
    pub after: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                write!(formatter, "~ {}: {before} -> {after}", self.field)
            }
            (None, Some(after)) => write!(formatter, "+ {}: {after}", self.field),
            (Some(before), None) => write!(formatter, "- {}: {before}", self.field),
            (None, None) => write!(formatter, "  {}", self.field),
        }
    }
}

/// Returns the fields in which two documents differ, in the order of their paths. Fields with their
/// default value are compared too.
pub fn differences(before: &Document, after: &Document) -> Vec<Difference> {
    let (old, new) = (leaf_values(before), leaf_values(after));
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    let changed = fields.into_iter().filter(|field| old.get(*field) != new.get(*field));
    changed
        .map(|field| Difference {
            field: field.clone(),
            before: old.get(field).cloned(),
            after: new.get(field).cloned(),
        })
        .collect()
}

/// The values of all fields of a document by their dotted paths.
fn leaf_values(document: &Document) -> BTreeMap<String, String> {
    let tree = toml::Value::try_from(document).expect("every part of a document has a TOML form");
    let mut found = BTreeMap::new();
    collect_leaves("", &tree, &mut found);
    found
}

fn collect_leaves(path: &str, value: &toml::Value, found: &mut BTreeMap<String, String>) {
    let Some(table) = value.as_table() else {
        found.insert(path.to_owned(), value.to_string());
        return;
    };
    for (name, inner) in table {
        let separator = if path.is_empty() { "" } else { "." };
        collect_leaves(&format!("{path}{separator}{name}"), inner, found);
    }
}
