//! Checks of settings at load. The settings of each component have a `check` method that returns
//! [`InvalidSetting`].

use std::fmt::Display;

use snafu::Snafu;

/// A setting with a value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("setting `{field}` is {value}; allowed: {allowed}"))]
pub struct InvalidSetting {
    /// Dotted path of the field, e.g. `groups.replicas`.
    pub field: String,
    /// The value that was found.
    pub value: String,
    /// The values that are allowed.
    pub allowed: String,
}

/// Checks that `value` lies in `low..=high`.
///
/// # Errors
/// [`InvalidSetting`] with the field, the value and the bounds.
pub fn check_range<T>(field: &str, value: T, low: T, high: T) -> Result<(), InvalidSetting>
where
    T: PartialOrd + Display,
{
    if value >= low && value <= high {
        return Ok(());
    }
    Err(InvalidSetting {
        field: field.to_owned(),
        value: value.to_string(),
        allowed: format!("{low} to {high}"),
    })
}
