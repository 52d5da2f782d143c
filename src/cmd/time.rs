//! Parsing and formatting of times for operators.

use std::time::{Duration, UNIX_EPOCH};

use eyre::{Result, WrapErr};
use lavenderhatch_core::Timestamp;

/// Formats a time as RFC 3339 with whole seconds.
pub(crate) fn format(at: Timestamp) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(at.as_millis());
    humantime::format_rfc3339_seconds(time).to_string()
}

/// Parses an RFC 3339 time, or a duration such as `10m` that is counted back from `now`.
pub(crate) fn parse(text: &str, now: Timestamp) -> Result<Timestamp> {
    if let Ok(ago) = humantime::parse_duration(text) {
        let millis = now.as_millis().saturating_sub(ago.as_millis() as u64);
        return Ok(Timestamp(millis));
    }
    let time = humantime::parse_rfc3339(text).wrap_err_with(|| {
        format!(
            "{text:?} is neither a time such as 2026-01-31T10:00:00Z nor a duration such as 10m"
        )
    })?;
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(Timestamp(since.as_millis() as u64))
}
