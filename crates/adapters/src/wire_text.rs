//! Serde modules that write values as text inside JSON.

/// Writes a [`dahlia_types::AttemptId`] as its text form. For `#[serde(with = "attempt_text")]`.
pub mod attempt_text {
    use dahlia_types::AttemptId;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Writes `<program>/<chain>/<call>/<attempt>`.
    ///
    /// # Errors
    /// Errors of the serializer.
    pub fn serialize<S: Serializer>(attempt: &AttemptId, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(attempt)
    }

    /// Reads the same form.
    ///
    /// # Errors
    /// The text is not an attempt identifier.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<AttemptId, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// Writes bytes as base64 (RFC 4648, section 4).
pub mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Writes the bytes as padded base64.
    ///
    /// # Errors
    /// Errors of the serializer.
    pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(bytes))
    }

    /// Reads padded base64.
    ///
    /// # Errors
    /// The text is not base64.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}
