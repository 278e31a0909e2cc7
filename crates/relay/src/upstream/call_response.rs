//! The response to a call: tells it from late copies of earlier responses on its connection, and returns the results that
//! it has for the messages of the call.
//!
//! An endpoint may send a copy of a response at any time, also while its connection carries a later call. An HTTP response
//! does not name its request, so a connection is reused only where a copy can be told by its content:
//!
//! - Responses to batch calls name their messages. While all responses on a connection named messages that have ended, the
//!   response to the next batch call is the one that names its messages, or has a status other than 200.
//! - Otherwise one more call is possible, which asks for the end of the connection: only its own response announces that.
//!   The endpoint must have shown that its responses do.

use super::attempt::{AttemptResult, Call, CallMessage, CallResult};
use super::batch::{BatchResponse, BatchResult};
use super::close_reason::CloseReason;
use super::connection_pool::ConnectionPool;
use super::http1::{EarlierResponses, HttpConnection, ResponseError};
use super::response::Response;
use log::{debug, error, info};
use mountshift::interface::{CallEnd, Outcome, RunState};
use std::time::{Duration, Instant};

/// Maximum size of a response body: one line for each message of the largest batch is far less.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// Status code of a response that reports a delivery, or the results of a batch.
const STATUS_OK: u16 = 200;
/// Maximum number of late copies of earlier responses that a call skips.
const MAX_SKIPPED_RESPONSES: usize = 16;
/// Maximum `Retry-After` in seconds; a longer one is reduced to this.
const MAX_RETRY_AFTER_SECONDS: f64 = 1e6;

/// Position of the response to a call among the responses on its connection. It decides how a late copy of an earlier
/// response is told from the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponsePosition {
    /// There are no earlier responses.
    First,
    /// The earlier responses named messages that this call does not send.
    Named,
    /// The request asks for the end of the connection, which only the response to it announces.
    Last,
}

impl Call {
    /// Returns the position that the response to this call has, or would have, among the responses on the connection.
    pub(super) fn response_position(&self, connection: &HttpConnection) -> ResponsePosition {
        match connection.earlier_responses {
            EarlierResponses::None => ResponsePosition::First,
            EarlierResponses::Named if self.is_batch => ResponsePosition::Named,
            EarlierResponses::Named | EarlierResponses::Unnamed => ResponsePosition::Last,
        }
    }

    /// Returns whether the request asks the endpoint to close the connection behind the response: the last one on a
    /// connection does, and those that show whether the endpoint's responses announce it.
    pub(super) fn asks_to_close(&self, position: ResponsePosition, pool: &ConnectionPool) -> bool {
        let is_trial = !self.is_batch && pool.announces_close(self.endpoint_id) != Some(true);
        position == ResponsePosition::Last || is_trial
    }

    /// Reads the response and returns the result of the call.
    pub(super) async fn receive(
        &self,
        mut connection: HttpConnection,
        deadline: Instant,
        pool: &ConnectionPool,
    ) -> CallResult {
        let position = self.response_position(&connection);
        let (response, is_kept) = match self.read_response(&mut connection, position, deadline, pool).await {
            Ok(response) => response,
            Err(ResponseError::TimedOut) => return self.interrupted_result(Outcome::TimedOut),
            Err(ResponseError::ConnectionClosed) => return self.interrupted_result(Outcome::Reset),
            // Also if the readable part has a status that rejects the message: it may have run nevertheless.
            Err(ResponseError::Unreadable) => return self.interrupted_result(Outcome::Error),
        };
        // Other responses may announce the end for reasons of the endpoint's own.
        let is_trial = !self.is_batch && pool.announces_close(self.endpoint_id).is_none();
        if is_trial && response.status == STATUS_OK && response.is_complete {
            pool.record_announces_close(self.endpoint_id, response.announces_close());
        }
        if is_kept {
            self.keep(connection, &response, pool);
        }
        if position == ResponsePosition::First && is_connection_limit(&response, is_kept) {
            debug!(
                "endpoint {} rejected a new connection: its connection limit is reached",
                self.endpoint.name
            );
            return self.answered_result(Outcome::ConnectionLimit, false);
        }
        let mut result = self.interpret(&response);
        result.load_report = response.load_report;
        result
    }

    /// Puts the connection back if the responses to later calls on it can be told from late copies of the earlier ones.
    fn keep(&self, mut connection: HttpConnection, response: &Response, pool: &ConnectionPool) {
        if !self.has_final_results(response) {
            connection.earlier_responses = EarlierResponses::Unnamed;
        } else if connection.earlier_responses == EarlierResponses::None {
            connection.earlier_responses = EarlierResponses::Named;
        }
        let is_reusable = connection.earlier_responses == EarlierResponses::Named
            || pool.announces_close(self.endpoint_id) == Some(true);
        if is_reusable {
            pool.put_back(self.endpoint_id, connection);
        } else {
            connection.close(CloseReason::UnidentifiableResponse);
        }
    }

    /// Reads the response to this call, and returns it with whether the endpoint keeps the connection open. Skips late
    /// copies of the responses to earlier calls on the connection.
    async fn read_response(
        &self,
        connection: &mut HttpConnection,
        position: ResponsePosition,
        deadline: Instant,
        pool: &ConnectionPool,
    ) -> Result<(Response, bool), ResponseError> {
        for skipped in 0..=MAX_SKIPPED_RESPONSES {
            let read = connection.read_response(MAX_RESPONSE_BYTES, deadline).await;
            if position == ResponsePosition::Last && skipped > 0 && read.is_err() {
                // The response to this call may be one of those that were skipped.
                pool.record_announces_close(self.endpoint_id, false);
            }
            let (response, is_kept) = read?;
            if position != ResponsePosition::First && !response.is_complete {
                return Err(ResponseError::Unreadable);
            }
            if !self.is_late_copy(&response, position) {
                return Ok((response, is_kept));
            }
            info!("endpoint {} sent a copy of an earlier response; skipped", self.endpoint.name);
        }
        Err(ResponseError::Unreadable)
    }

    /// Returns whether a response is a copy of an earlier one on the connection. An endpoint may send a copy at any time.
    fn is_late_copy(&self, response: &Response, position: ResponsePosition) -> bool {
        match position {
            ResponsePosition::First => false,
            ResponsePosition::Named => {
                response.status == STATUS_OK && self.results(response).all(|result| result.is_none())
            }
            ResponsePosition::Last => !response.announces_close(),
        }
    }

    /// Returns the results that a batch response names, by message.
    fn results<'a>(&'a self, response: &'a Response) -> impl Iterator<Item = Option<BatchResult>> + 'a {
        let batch = BatchResponse::parse(if self.is_batch { &response.body } else { &[] });
        self.messages.iter().map(move |message| batch.result(&message.id))
    }

    /// Returns whether the response names every message of the call, and closes it, so that no later call sends it.
    fn has_final_results(&self, response: &Response) -> bool {
        response.status == STATUS_OK
            && response.is_complete
            && self.results(response).all(|result| result.is_some_and(BatchResult::is_final))
    }

    /// Returns the result that the response has for each message.
    fn interpret(&self, response: &Response) -> CallResult {
        let seconds = response.retry_after.unwrap_or(0.0).min(MAX_RETRY_AFTER_SECONDS);
        let retry_after = Duration::from_secs_f64(seconds);
        if !retry_after.is_zero() {
            let (name, status) = (&self.endpoint.name, response.status);
            debug!("endpoint {name} responded with status {status} and Retry-After {retry_after:?}");
        }
        match response.status {
            // The status line alone confirms the delivery. But the endpoint may still be running the call.
            STATUS_OK if !self.is_batch && !response.is_complete => {
                self.uniform_result(Outcome::Delivered, CallEnd::Interrupted, true)
            }
            STATUS_OK if !self.is_batch => self.answered_result(Outcome::Delivered, true),
            STATUS_OK if !response.is_complete => self.interrupted_result(Outcome::Error),
            STATUS_OK => self.interpret_batch(response, retry_after),
            429 => self.answered_result(Outcome::Rejected { retry_after }, false),
            503 if response.slots_taken => self.answered_result(Outcome::NotSent, false),
            503 => self.answered_result(Outcome::Rejected { retry_after }, false),
            504 => self.answered_result(Outcome::NotSent, false),
            410 => self.answered_result(Outcome::NotSent, true),
            // By the protocol, no message of a batch has run if the batch could not be read or was too large.
            400 | 413 if self.is_batch => {
                error!(
                    "endpoint {} responded to a batch call with status {}: no message of it has run",
                    self.endpoint.name, response.status
                );
                self.answered_result(Outcome::Rejected { retry_after: Duration::ZERO }, false)
            }
            400 | 404 | 413 => {
                error!(
                    "endpoint {} responded to a call with status {}: the attempt failed",
                    self.endpoint.name, response.status
                );
                self.answered_result(Outcome::Error, false)
            }
            _ => self.answered_result(Outcome::Error, false),
        }
    }

    /// Returns the result of each message of a batch.
    fn interpret_batch(&self, response: &Response, retry_after: Duration) -> CallResult {
        let result = |(message, result): (&CallMessage, Option<BatchResult>)| {
            // A message that is not named may have run.
            let result = result.unwrap_or(BatchResult::Failed);
            let outcome = result.outcome(retry_after);
            let run = RunState::from_call(outcome, CallEnd::Answered);
            AttemptResult { message: message.message, outcome, run, closed: result.is_final() }
        };
        CallResult {
            attempts: self.messages.iter().zip(self.results(response)).map(result).collect(),
            // It applies whether or not a message was rejected.
            retry_after: (!retry_after.is_zero()).then_some(retry_after),
            load_report: None,
        }
    }
}

/// Returns whether the first response on a connection means that the endpoint's connection limit is reached: a 503
/// without `Retry-After`, behind which the connection is closed. There is no other sign of it. It is no rate limit:
/// established connections still work.
fn is_connection_limit(response: &Response, is_kept: bool) -> bool {
    response.status == 503 && !is_kept && !response.slots_taken && response.retry_after.is_none()
}
