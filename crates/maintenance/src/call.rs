//! The operators' HTTP calls and the answers to them.

use std::time::Duration;

/// Time within which the head of a call must be complete; otherwise the answer is `408`. Callers get an
/// answer within a second.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which an answer that the caller does not read is dropped.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest number of simultaneous connections to the admin address. A further one replaces the oldest.
pub const MAX_ADMIN_CONNECTIONS: usize = 32;
/// Largest size of a call's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 4 * 1024;
/// Largest length of an endpoint's id in a call, in bytes.
const MAX_ID_BYTES: usize = 256;

/// A call to the admin address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Requests the status of the process.
    Status,
    /// Puts this endpoint into maintenance: nothing more is sent to it.
    Enter(String),
    /// Ends the maintenance of this endpoint.
    Exit(String),
    /// Starts standby: pings fail and client connections are closed.
    Standby,
    /// Ends standby: clients are served again.
    Active,
}

/// An answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    /// The HTTP status code.
    pub code: u16,
    /// One line of text for the caller.
    pub text: &'static str,
}

pub(crate) const fn response(code: u16, text: &'static str) -> AdminResponse {
    AdminResponse { code, text }
}

/// The head of the call was not complete in time, or the connection was replaced by a newer one.
pub const REQUEST_TIMED_OUT: AdminResponse = response(408, "the call did not come in time");
/// The received data is not an HTTP call.
pub const NOT_HTTP: AdminResponse = response(400, "not an HTTP call");
/// The head is larger than [`MAX_HEAD_BYTES`].
pub const HEAD_TOO_LARGE: AdminResponse = response(431, "the head is too large");
/// The caller closed the connection before the head was complete.
pub const INCOMPLETE_REQUEST: AdminResponse = response(400, "closed before the call was whole");

/// Parses a call from its method and target.
///
/// # Errors
/// The 4xx answer, if the method or target is not that of a call.
pub fn parse_request(method: &str, target: &str) -> Result<AdminRequest, AdminResponse> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let expected_method = match path {
        "/status" => "GET",
        "/maintenance/enter" | "/maintenance/exit" | "/standby" | "/active" => "POST",
        _ => return Err(response(404, "no such call")),
    };
    if method != expected_method {
        return Err(response(405, "method not allowed"));
    }
    Ok(match path {
        "/status" => AdminRequest::Status,
        "/maintenance/enter" => AdminRequest::Enter(endpoint_id(query)?),
        "/maintenance/exit" => AdminRequest::Exit(endpoint_id(query)?),
        "/standby" => AdminRequest::Standby,
        _ => AdminRequest::Active,
    })
}

/// Returns the id of the endpoint that the query names.
fn endpoint_id(query: &str) -> Result<String, AdminResponse> {
    let mut parameters = query.split('&').filter_map(|pair| pair.split_once('='));
    let id = parameters.find(|(name, _)| *name == "target").map_or("", |(_, value)| value);
    if id.is_empty() {
        return Err(response(400, "target is missing"));
    }
    if id.len() > MAX_ID_BYTES || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(response(400, "target can't be read"));
    }
    Ok(id.to_string())
}
