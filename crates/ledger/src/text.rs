//! Encodes texts in `serde` as a byte string, for `#[serde(with = "text")]`. Encoded element by
//! element, a large history takes many times as long.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serializer};

pub(crate) fn serialize<S: Serializer>(text: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(text)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<u8>, D::Error> {
    Bytes::deserialize(input).map(Vec::from)
}
