//! Errors of calls to the platform.

use lavenderhatch_core::{Error, ErrorKind};

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The precondition of a write did not hold. The write had no effect.
    #[error("the object has changed")]
    Conflict {
        /// Current version of the object, zero if it does not exist.
        current: u64,
    },
    /// The value is larger than the platform's limit. The write had no effect.
    #[error("the value has {bytes} bytes; the platform's limit is 1000000")]
    TooLarge {
        /// Size of the value in bytes, zero if the platform's response does not tell it.
        bytes: usize,
    },
    /// The call exceeded the platform's rate limit. It had no effect.
    #[error("the platform refused the call because of its rate limit")]
    RateLimited,
    /// The call did not reach the platform. It had no effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// The response was lost. A write may have taken effect.
    #[error("the platform's response was lost: {0}")]
    ResponseLost(String),
    /// The response violates the platform's protocol. A write may have taken effect.
    #[error("the platform's response is invalid: {0}")]
    InvalidResponse(String),
}

impl PlatformError {
    /// Whether a write that failed with this error may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(
            self,
            PlatformError::ResponseLost(_) | PlatformError::InvalidResponse(_)
        )
    }
}

impl From<PlatformError> for Error {
    fn from(err: PlatformError) -> Error {
        let kind = match err {
            PlatformError::Conflict { .. } => ErrorKind::Conflict,
            PlatformError::TooLarge { .. } => ErrorKind::TooLarge,
            _ => ErrorKind::PlatformUnavailable,
        };
        Error::new(kind, err.to_string())
    }
}
