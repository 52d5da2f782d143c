//! Keys that a daemon issues.

use std::fmt;

use lavenderhatch_core::{Incarnation, NodeId};

/// Begin of each issued key. Keys chosen by callers must not begin with it.
pub const ISSUED_PREFIX: &str = "lh1.";

/// A key that binds an order to one incarnation of one daemon, written
/// `lh1.<node>.<incarnation>.<seq>`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedKey {
    /// The daemon that issued the key.
    pub node: NodeId,
    /// Start of that daemon.
    pub incarnation: Incarnation,
    /// Number of the key, from 0.
    pub seq: u64,
}

/// A key that begins like an issued key and is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("keys that begin with lh1. are issued by lavenderhatch, and this one is malformed")]
pub struct IssuedKeyError;

impl IssuedKey {
    /// Reads an issued key; `None` if the key was chosen by a caller.
    pub fn parse(text: &str) -> Result<Option<Self>, IssuedKeyError> {
        let Some(rest) = text.strip_prefix(ISSUED_PREFIX) else {
            return Ok(None);
        };
        let key = Self::parse_rest(rest).ok_or(IssuedKeyError)?;
        // Two spellings of one key, such as `07` for `7`, would be two orders to a back end.
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
        write!(f, "{ISSUED_PREFIX}{node}.{}.{seq}", incarnation.0)
    }
}
