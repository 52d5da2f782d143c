//! Why a request could not be read.

use lavenderhatch_core::ErrorKind;

/// Why a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadFault {
    /// The caller is gone; there is nobody to answer.
    Gone,
    /// The request is refused.
    Refused(ErrorKind, &'static str),
}

impl ReadFault {
    pub(super) fn bad(message: &'static str) -> Self {
        ReadFault::Refused(ErrorKind::BadRequest, message)
    }

    pub(super) fn too_large(message: &'static str) -> Self {
        ReadFault::Refused(ErrorKind::TooLarge, message)
    }
}
