//! Calls that one daemon forwards to another, and their responses.

use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::{CallResponse, CallView, Header, StoredCall};
use lavenderhatch_core::error_kind::Outcome;

use crate::peer_capnp::{Outcome as WireOutcome, answer, call, header};
use crate::scalar::{WireError, check_len, read_text};

/// Maximum number of headers in a call or a response.
const MAX_HEADERS: u32 = 256;

/// Encodes a call.
pub fn write_call(view: &CallView<'_>, mut out: call::Builder<'_>) {
    out.set_id(view.id);
    out.set_method(view.method);
    out.set_target(view.target);
    out.set_route(view.route);
    out.set_rank(view.rank);
    out.set_service(view.service);
    out.set_body(view.body);
    out.set_key(view.key.unwrap_or(""));
    out.set_is_idempotent(view.is_idempotent);
    out.set_time_left_ms(view.time_left_ms);
    out.set_depth(view.hop_count);
    write_headers(view.headers, out.init_headers(view.headers.len() as u32));
}

/// Validates and decodes a call.
pub fn read_call(msg: call::Reader<'_>) -> Result<StoredCall, WireError> {
    let key = read_text("key", msg.get_key()?)?;
    Ok(StoredCall {
        id: read_text("id", msg.get_id()?)?.to_owned(),
        method: read_text("method", msg.get_method()?)?.to_owned(),
        target: read_text("target", msg.get_target()?)?.to_owned(),
        route: read_text("route", msg.get_route()?)?.to_owned(),
        rank: read_text("rank", msg.get_rank()?)?.to_owned(),
        service: read_text("service", msg.get_service()?)?.to_owned(),
        headers: read_headers(msg.get_headers()?)?,
        body: msg.get_body()?.to_vec(),
        key: (!key.is_empty()).then(|| key.to_owned()),
        is_idempotent: msg.get_is_idempotent(),
        time_left_ms: msg.get_time_left_ms(),
        hop_count: msg.get_depth(),
    })
}

/// Encodes a response.
///
/// The error code and the retry advice are sent plus one, because zero means that there is none.
pub fn write_response(res: &CallResponse, mut out: answer::Builder<'_>) {
    out.set_status(res.status);
    out.set_body(&res.body);
    out.set_outcome(match res.outcome {
        Outcome::Ran => WireOutcome::Ran,
        Outcome::NotRun => WireOutcome::NotRun,
        Outcome::Unknown => WireOutcome::Unknown,
    });
    out.set_error_code(res.error.map_or(0, |kind| kind.code() + 1));
    out.set_retry_after_ms(
        res.retry_after_ms
            .map_or(0, |millis| millis.saturating_add(1)),
    );
    out.set_is_retry_exhausted(res.is_retry_exhausted);
    write_headers(&res.headers, out.init_headers(res.headers.len() as u32));
}

/// Validates and decodes a response.
pub fn read_response(msg: answer::Reader<'_>) -> Result<CallResponse, WireError> {
    let outcome = match msg.get_outcome()? {
        WireOutcome::Ran => Outcome::Ran,
        WireOutcome::NotRun => Outcome::NotRun,
        WireOutcome::Unknown => Outcome::Unknown,
    };
    Ok(CallResponse {
        status: msg.get_status(),
        headers: read_headers(msg.get_headers()?)?,
        body: msg.get_body()?.to_vec(),
        outcome,
        error: msg
            .get_error_code()
            .checked_sub(1)
            .map(ErrorKind::from_code),
        retry_after_ms: msg.get_retry_after_ms().checked_sub(1),
        is_retry_exhausted: msg.get_is_retry_exhausted(),
    })
}

fn write_headers(headers: &[Header], mut out: capnp::struct_list::Builder<'_, header::Owned>) {
    for (index, header) in headers.iter().enumerate() {
        let mut entry = out.reborrow().get(index as u32);
        entry.set_name(&header.name);
        entry.set_value(&header.value);
    }
}

fn read_headers(
    msg: capnp::struct_list::Reader<'_, header::Owned>,
) -> Result<Vec<Header>, WireError> {
    check_len("headers", msg.len(), MAX_HEADERS)?;
    let read = |header: header::Reader<'_>| {
        Ok(Header {
            name: read_text("name", header.get_name()?)?.to_owned(),
            value: read_text("value", header.get_value()?)?.to_owned(),
        })
    };
    msg.iter().map(read).collect()
}
