//! Errors of the platform.

use lavenderhatch_core::{Error, ErrorKind};

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The condition of a write did not hold. The write had no effect.
    #[error("the object has changed")]
    Conflict {
        /// Version of the object, zero if it does not exist.
        current: u64,
    },
    /// The value is larger than the platform takes. The write had no effect.
    #[error("the value has {bytes} bytes, the platform takes 1000000")]
    TooLarge {
        /// Size of the value.
        bytes: usize,
    },
    /// The platform refused the call because of its rate. The call had no effect.
    #[error("the platform refused the call because of its rate")]
    RateLimited,
    /// The call did not reach the platform. It had no effect.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(String),
    /// The answer was lost. A write may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    ResponseLost(String),
    /// The platform answered with something else than its protocol allows.
    #[error("the platform's answer cannot be read: {0}")]
    InvalidResponse(String),
}

impl PlatformError {
    /// Whether a write that ended in this error may have taken effect.
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
