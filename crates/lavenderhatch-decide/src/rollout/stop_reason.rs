//! Why a rollout was given up.

use std::fmt;

use super::version_comparison::{Fault, Worse};

/// Why a rollout was given up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StopReason {
    /// The new version is worse.
    Worse(Worse),
    /// The duration has passed before all requests could move.
    DeadlinePassed,
    /// An earlier leader has given it up.
    EarlierLeader,
    /// Another order has replaced this one.
    Superseded,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worse(worse) => {
                let (bad, requests) = (worse.bad, worse.requests);
                let what = match worse.fault {
                    Fault::Failures => "failed",
                    Fault::Times => "took longer than at the old version",
                };
                write!(f, "{bad} of {requests} requests {what}")?;
                match worse.class {
                    Some(class) => write!(f, ", of class {class:x}"),
                    None => Ok(()),
                }
            }
            Self::DeadlinePassed => f.write_str("its duration has passed"),
            Self::EarlierLeader => f.write_str("an earlier leader has given it up"),
            Self::Superseded => f.write_str("another order has replaced this one"),
        }
    }
}
