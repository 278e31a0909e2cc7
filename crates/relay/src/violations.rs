//! Violations of invariants. The policy follows the rules; guards check them again, with the state at that time,
//! immediately before each send, repeat, close and answer. A guard that detects a violation prevents it if possible,
//! counts it and logs one line. The process continues.

use log::error;
use std::cell::Cell;
use std::fmt;

/// Kind of a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub(crate) enum ViolationKind {
    /// A message that must not run twice was about to be sent again although an earlier attempt may have run.
    UnsafeRepeat,
    /// A message got a second final answer.
    SecondFinalAnswer,
    /// The relay closed a client connection before it had answered every request that it read.
    ClosedWithUnansweredRequest,
    /// A message was about to be sent before an earlier message of its ordering key.
    OutOfOrder,
}

impl ViolationKind {
    /// All kinds, in order.
    pub(crate) const ALL: [ViolationKind; 4] = [
        ViolationKind::UnsafeRepeat,
        ViolationKind::SecondFinalAnswer,
        ViolationKind::ClosedWithUnansweredRequest,
        ViolationKind::OutOfOrder,
    ];

    /// Returns the name in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ViolationKind::UnsafeRepeat => "unsafe_repeat",
            ViolationKind::SecondFinalAnswer => "second_final_answer",
            ViolationKind::ClosedWithUnansweredRequest => "closed_owing_answer",
            ViolationKind::OutOfOrder => "out_of_turn",
        }
    }
}

impl fmt::Display for ViolationKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Context of a violation, and the expected state.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence<'a> {
    /// Id of the message, as assigned by its client.
    pub(crate) message: Option<&'a [u8]>,
    /// Number of the client connection.
    pub(crate) connection: Option<u64>,
    /// Number of the call.
    pub(crate) call: Option<u64>,
    /// Expected state.
    pub(crate) expected: &'a str,
}

/// Violations of this process so far.
#[derive(Debug, Default)]
pub(crate) struct Violations {
    counts: [Cell<u64>; ViolationKind::ALL.len()],
}

impl Violations {
    /// Counts a violation and logs it.
    pub(crate) fn report(&self, kind: ViolationKind, evidence: Evidence<'_>) {
        let count = &self.counts[kind as usize];
        count.set(count.get() + 1);
        let Evidence { message, connection, call, expected } = evidence;
        error!(
            "violation {kind}: message={} connection={} call={} expected={expected}",
            message.map_or_else(|| "-".into(), String::from_utf8_lossy),
            number_or_dash(connection),
            number_or_dash(call),
        );
    }

    /// Returns the number of violations of a kind.
    pub(crate) fn count(&self, kind: ViolationKind) -> u64 {
        self.counts[kind as usize].get()
    }

    /// Returns the number of all violations.
    pub(crate) fn total(&self) -> u64 {
        self.counts.iter().map(Cell::get).sum()
    }
}

fn number_or_dash(number: Option<u64>) -> String {
    number.map_or_else(|| "-".to_string(), |number| number.to_string())
}
