//! Log lines of state transitions: of messages, calls and connections, all with the same fields in the same order, so
//! that the way of one message can be followed through a log. One for each message, so at level debug.

use std::fmt;

/// A state transition, as its log line tells it; fields that do not apply are dashes.
#[derive(Default)]
pub(crate) struct Transition<'a> {
    /// The client's id of the message.
    pub(crate) message: Option<&'a [u8]>,
    /// The number of the call.
    pub(crate) call: Option<u64>,
    /// The number of the client's connection.
    pub(crate) connection: Option<u64>,
    /// The endpoint's id as listed.
    pub(crate) endpoint: Option<&'a str>,
    pub(crate) from: &'a str,
    pub(crate) to: &'a str,
    pub(crate) reason: &'a str,
}

impl fmt::Display for Transition<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = self.message.map_or_else(|| "-".into(), String::from_utf8_lossy);
        write!(formatter, "transition message={message} call=")?;
        write_number(formatter, self.call)?;
        formatter.write_str(" connection=")?;
        write_number(formatter, self.connection)?;
        let endpoint = self.endpoint.unwrap_or("-");
        let Transition { from, to, reason, .. } = self;
        write!(formatter, " endpoint={endpoint} from={from} to={to} reason={reason}")
    }
}

fn write_number(formatter: &mut fmt::Formatter<'_>, number: Option<u64>) -> fmt::Result {
    match number {
        Some(number) => write!(formatter, "{number}"),
        None => formatter.write_str("-"),
    }
}
