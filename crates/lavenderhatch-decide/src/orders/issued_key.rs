//! Idempotency keys issued by a daemon.

use std::fmt;

use lavenderhatch_core::{Incarnation, NodeId};

/// Prefix of all issued keys. Keys chosen by callers must not start with it.
pub const ISSUED_KEY_PREFIX: &str = "lh1.";

/// A key that binds an order to one incarnation of one daemon.
///
/// Its text form is `lh1.<node>.<incarnation>.<seq>`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedKey {
    /// The daemon that issued the key.
    pub node: NodeId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Sequence number of the key within the incarnation, from 0.
    pub seq: u64,
}

/// A key has the prefix of issued keys but is not one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("keys that begin with lh1. are issued by lavenderhatch, and this one is malformed")]
pub struct IssuedKeyError;

impl IssuedKey {
    /// Parses an issued key. Returns `None` if the key was chosen by a caller.
    pub fn parse(text: &str) -> Result<Option<Self>, IssuedKeyError> {
        let Some(rest) = text.strip_prefix(ISSUED_KEY_PREFIX) else {
            return Ok(None);
        };
        let key = Self::parse_rest(rest).ok_or(IssuedKeyError)?;
        // A back end would take two spellings of one key, such as `07` and `7`, for two orders.
        match key.to_string() == text {
            true => Ok(Some(key)),
            false => Err(IssuedKeyError),
        }
    }

    fn parse_rest(rest: &str) -> Option<Self> {
        let mut parts = rest.split('.');
        let node = NodeId::new(parts.next()?).ok()?;
        let incarnation = Incarnation(parts.next()?.parse().ok()?);
        let seq = parts.next()?.parse().ok()?;
        Some(Self {
            node,
            incarnation,
            seq,
        })
    }
}

impl fmt::Display for IssuedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            node,
            incarnation,
            seq,
        } = self;
        write!(f, "{ISSUED_KEY_PREFIX}{node}.{}.{seq}", incarnation.0)
    }
}
