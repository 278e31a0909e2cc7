//! Operators' calls as they come over HTTP, and the answers to them.

use std::time::Duration;

/// A call whose head is not whole by then gets `408`: callers are answered within a second.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(800);
/// An answer that the caller does not read by then is dropped.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(150);
/// Connections to the second address at once; the oldest makes room for a further one.
pub const MAX_ADMIN_CONNECTIONS: usize = 32;
/// Bytes of a call's head.
pub const MAX_HEAD_BYTES: usize = 4 * 1024;
/// Bytes of an endpoint's id in a call.
const MAX_ID_BYTES: usize = 256;

/// A call, as the second address takes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Does the process serve?
    Status,
    /// This endpoint goes into maintenance: it gets nothing more.
    Enter(String),
    /// This endpoint comes back from maintenance.
    Exit(String),
    /// Clients are sent away.
    Standby,
    /// Clients are served again.
    Active,
}

/// An answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    /// The HTTP status code.
    pub code: u16,
    /// A line for whoever called.
    pub text: &'static str,
}

pub(crate) const fn answer(code: u16, text: &'static str) -> AdminResponse {
    AdminResponse { code, text }
}

/// No whole head in time, or closed for the sake of another caller.
pub const REQUEST_TIMED_OUT: AdminResponse = answer(408, "the call did not come in time");
/// What came is not HTTP.
pub const NOT_HTTP: AdminResponse = answer(400, "not an HTTP call");
/// The head is larger than [`MAX_HEAD_BYTES`].
pub const HEAD_TOO_LARGE: AdminResponse = answer(431, "the head is too large");
/// The caller closed its connection before the head was whole.
pub const INCOMPLETE_REQUEST: AdminResponse = answer(400, "closed before the call was whole");

/// Reads a call from its method and target.
///
/// # Errors
/// The 4xx answer for what is no call.
pub fn parse_request(method: &str, target: &str) -> Result<AdminRequest, AdminResponse> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let expected_method = match path {
        "/status" => "GET",
        "/maintenance/enter" | "/maintenance/exit" | "/standby" | "/active" => "POST",
        _ => return Err(answer(404, "no such call")),
    };
    if method != expected_method {
        return Err(answer(405, "method not allowed"));
    }
    Ok(match path {
        "/status" => AdminRequest::Status,
        "/maintenance/enter" => AdminRequest::Enter(endpoint_id(query)?),
        "/maintenance/exit" => AdminRequest::Exit(endpoint_id(query)?),
        "/standby" => AdminRequest::Standby,
        _ => AdminRequest::Active,
    })
}

/// The endpoint that the query names.
fn endpoint_id(query: &str) -> Result<String, AdminResponse> {
    let mut parameters = query.split('&').filter_map(|pair| pair.split_once('='));
    let id = parameters.find(|(name, _)| *name == "target").map_or("", |(_, value)| value);
    if id.is_empty() {
        return Err(answer(400, "target is missing"));
    }
    if id.len() > MAX_ID_BYTES || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(answer(400, "target can't be read"));
    }
    Ok(id.to_string())
}
