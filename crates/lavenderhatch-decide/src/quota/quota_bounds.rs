//! What the platform allows beyond the limits of accounts.

use std::time::Duration;

use super::{BURST_SLACK, TOKEN_LIFETIME};

/// The bound on the requests of an account in a window: the requests that its rate and burst allow,
/// a fraction more, and a number more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of a window.
    pub window: Duration,
    /// Fraction of the limit that may be exceeded.
    pub over: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// The bound is lower than what can be kept without a central counter.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum UnreachableBounds {
    /// Tokens outlive what the fraction allows.
    #[error(
        "quota_over {over} of quota_window {window:?} is shorter than the life of a token, {:?}",
        TOKEN_LIFETIME
    )]
    Over {
        /// Fraction in the settings.
        over: f64,
        /// Window in the settings.
        window: Duration,
    },
    /// Small accounts need more tokens than the slack allows.
    #[error(
        "quota_slack {slack} is lower than the slack of a burst, {}",
        BURST_SLACK
    )]
    Slack {
        /// Slack in the settings.
        slack: f64,
    },
}

impl QuotaBounds {
    /// Checks that the bounds can be kept; see the argument in the module's documentation.
    pub fn check(&self) -> Result<(), UnreachableBounds> {
        let Self {
            window,
            over,
            slack,
        } = *self;
        // The fraction is a decimal number such as 0.1, which has no exact representation.
        let is_over_sufficient = window.as_secs_f64() * over + 1e-9 >= TOKEN_LIFETIME.as_secs_f64();
        if !is_over_sufficient {
            return Err(UnreachableBounds::Over { over, window });
        }
        match slack >= BURST_SLACK {
            true => Ok(()),
            false => Err(UnreachableBounds::Slack { slack }),
        }
    }
}
