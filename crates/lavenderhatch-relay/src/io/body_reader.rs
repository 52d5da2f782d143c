//! Reads bodies within the byte budget.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use lavenderhatch_decide::relay::ByteUse;
use tokio::time::{Instant, timeout_at};

use super::held_buffer::HeldBuffer;
use crate::byte_holding::{ReservationError, SharedByteBudget};

/// Largest age of a body that arrives steadily, as a multiple of the time that it may stand still.
const MAX_AGE_FACTOR: u32 = 4;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The body is larger than the limit.
    #[error("the body has more than {limit} bytes")]
    TooLarge { limit: usize },
    /// The connection has failed, or the body is malformed.
    #[error("the body cannot be read: {0}")]
    Failed(#[source] hyper::Error),
    /// The body stood still for too long.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The memory of the daemon has no room for the body.
    #[error("{0}")]
    NoRoom(#[from] ReservationError),
}

/// What a body is read for, and its limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    pub(crate) byte_use: ByteUse,
    /// Largest size of the body.
    pub(crate) max_bytes: usize,
    /// Longest time for which the body may stand still; `None` if the caller of the function limits
    /// the time.
    pub(crate) idle_timeout: Option<Duration>,
}

/// Reads a whole body, of which one copy is held. Calls `on_progress` for each part.
pub(crate) async fn read_body(
    mut body: Incoming,
    budget: &SharedByteBudget,
    limits: BodyLimits,
    on_progress: impl Fn(),
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limit = limits.max_bytes;
    let known = body.size_hint().exact();
    let known = known.map(|size| usize::try_from(size).unwrap_or(usize::MAX));
    if known.is_some_and(|size| size > limit) {
        return Err(BodyError::TooLarge { limit });
    }
    let holding = budget.open(limits.byte_use);
    let mut buf = HeldBuffer::open(holding, known, limit).await?;
    let start = Instant::now();
    let mut progress_at = start;
    loop {
        let next = async {
            let Some(idle) = limits.idle_timeout else {
                return Ok(body.frame().await);
            };
            let end = (progress_at + idle).min(start + idle * MAX_AGE_FACTOR);
            let frame = timeout_at(end, body.frame()).await;
            frame.map_err(|_| BodyError::TimedOut)
        };
        // The frame is first, so that each of many small chunks costs no timer.
        let frame = tokio::select! {
            biased;
            frame = next => frame?,
            err = buf.taken_back() => return Err(err.into()),
        };
        let Some(frame) = frame else {
            break;
        };
        on_progress();
        progress_at = Instant::now();
        let frame = frame.map_err(BodyError::Failed)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        buf.append(data).await?;
    }
    Ok(buf.finish(limits.byte_use != ByteUse::Answer))
}
