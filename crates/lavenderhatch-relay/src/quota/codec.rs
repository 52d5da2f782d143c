//! Encoding of the messages: MessagePack without names of fields.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub(super) fn encode(message: &impl Serialize) -> Result<Bytes, rmp_serde::encode::Error> {
    Ok(rmp_serde::to_vec(message)?.into())
}

pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
