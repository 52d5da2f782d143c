//! Parses request heads to find where requests on a connection start and end.

use hyper::header::{HeaderName, HeaderValue};
use hyper::http::Error;
use hyper::{Method, Request};

/// Header lines for which a head is parsed without an allocation. Nearly all requests have fewer.
const USUAL_HEADER_LINES: usize = 64;

/// A parsed request head.
#[derive(Debug)]
pub struct RequestHead {
    /// Method, target and headers.
    pub req: Request<()>,
    /// Length of the head in bytes.
    pub head_bytes: usize,
    /// Length of the body in bytes, `None` if it is not known before its end.
    pub body_bytes: Option<usize>,
    /// Whether the length of the body is given more than once. Two readers could then disagree on
    /// where the request ends, which lets one request hide in another (request smuggling).
    pub has_ambiguous_length: bool,
}

impl RequestHead {
    /// Whether the request, if idempotent, may be started before the ones ahead of it are answered.
    pub(crate) fn can_start_early(&self) -> bool {
        let method = self.req.method();
        (method == Method::GET || method == Method::HEAD) && self.body_bytes == Some(0)
    }
}

/// The result of parsing a request head.
#[derive(Debug)]
pub enum ParsedHead {
    /// The buffer starts with a complete head.
    Complete(Box<RequestHead>),
    /// The buffer holds only a part of a head.
    Partial,
    /// The buffer does not start with a valid head.
    Invalid,
}

/// Parses the request head at the start of `buf`, with at most `max_lines` header lines.
pub fn parse_head(buf: &[u8], max_lines: usize) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; USUAL_HEADER_LINES];
    let usual = USUAL_HEADER_LINES.min(max_lines);
    match parse_head_with(buf, &mut headers[..usual]) {
        Err(httparse::Error::TooManyHeaders) if usual < max_lines => {
            let mut headers = vec![httparse::EMPTY_HEADER; max_lines];
            parse_head_with(buf, &mut headers).unwrap_or(ParsedHead::Invalid)
        }
        result => result.unwrap_or(ParsedHead::Invalid),
    }
}

fn parse_head_with<'b>(
    buf: &'b [u8],
    headers: &mut [httparse::Header<'b>],
) -> Result<ParsedHead, httparse::Error> {
    let mut parsed = httparse::Request::new(headers);
    Ok(match parsed.parse(buf)? {
        httparse::Status::Complete(head_bytes) => match to_head(&parsed, head_bytes) {
            Some(head) => ParsedHead::Complete(Box::new(head)),
            None => ParsedHead::Invalid,
        },
        httparse::Status::Partial => ParsedHead::Partial,
    })
}

fn to_head(parsed: &httparse::Request<'_, '_>, head_bytes: usize) -> Option<RequestHead> {
    let req = to_request(parsed).ok()?;
    let headers = req.headers();
    let mut lengths = headers.get_all("content-length").iter();
    let is_chunked = headers.contains_key("transfer-encoding");
    let body_bytes = match (is_chunked, lengths.next()) {
        (true, _) => None,
        (false, None) => Some(0),
        (false, Some(length)) => Some(length.to_str().ok()?.trim().parse().ok()?),
    };
    let has_two_lengths = lengths.next().is_some();
    let has_both_kinds = is_chunked && headers.contains_key("content-length");
    Some(RequestHead {
        has_ambiguous_length: has_two_lengths || has_both_kinds,
        req,
        head_bytes,
        body_bytes,
    })
}

fn to_request(parsed: &httparse::Request<'_, '_>) -> Result<Request<()>, Error> {
    let mut req = Request::builder()
        .method(parsed.method.unwrap_or(""))
        .uri(parsed.path.unwrap_or(""))
        .body(())?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes())?;
        req.headers_mut()
            .append(name, HeaderValue::from_bytes(header.value)?);
    }
    Ok(req)
}
