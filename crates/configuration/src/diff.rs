//! What changed between two documents, for operators to read before and after a change.

use std::collections::BTreeMap;
use std::fmt;

use crate::Document;

/// One changed field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Dotted path of the field.
    pub field: String,
    /// The value before; none when the field is new.
    pub before: Option<String>,
    /// The value after; none when the field is gone.
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

/// The fields in which two documents differ, in the order of their paths. Fields that have their
/// default count like any other.
pub fn differences(before: &Document, after: &Document) -> Vec<Difference> {
    let (old, new) = (leaves(before), leaves(after));
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

fn leaves(document: &Document) -> BTreeMap<String, String> {
    let tree = toml::Value::try_from(document).expect("every part of a document has a TOML form");
    let mut found = BTreeMap::new();
    collect("", &tree, &mut found);
    found
}

fn collect(path: &str, value: &toml::Value, found: &mut BTreeMap<String, String>) {
    let Some(table) = value.as_table() else {
        found.insert(path.to_owned(), value.to_string());
        return;
    };
    for (name, inner) in table {
        let separator = if path.is_empty() { "" } else { "." };
        collect(&format!("{path}{separator}{name}"), inner, found);
    }
}
