//! Log lines of state transitions of messages, calls and connections. All have the same fields in the same order, so
//! that a message can be traced through a log. Logged at level debug, because every message causes several.

use std::fmt;

/// A state transition. Displayed as its log line, with a dash for each field that does not apply.
#[derive(Default)]
pub(crate) struct Transition<'a> {
    /// Id of the message, as assigned by its client.
    pub(crate) message: Option<&'a [u8]>,
    /// Number of the call.
    pub(crate) call: Option<u64>,
    /// Number of the client connection.
    pub(crate) connection: Option<u64>,
    /// Id of the endpoint, as listed.
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
