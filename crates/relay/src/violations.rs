//! Counts what must never happen. The decisions keep the rules; the guards at each verb (send, repeat, close, answer)
//! check again what is known at that moment. A guard that finds a rule about to be broken stops it, counts it and logs
//! one line. The process goes on.

use log::error;
use std::cell::Cell;
use std::fmt;

/// What must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub(crate) enum ViolationKind {
    /// A message that must not run twice was about to be sent again though an attempt may have run.
    UnsafeRepeat,
    /// A message got a second final answer.
    SecondFinalAnswer,
    /// A client connection was closed by the relay while a request that it had read had no answer.
    ClosedOwingAnswer,
    /// A message was about to be sent before its turn among those of its key.
    OutOfTurn,
}

impl ViolationKind {
    /// All kinds, in order.
    pub(crate) const ALL: [ViolationKind; 4] = [
        ViolationKind::UnsafeRepeat,
        ViolationKind::SecondFinalAnswer,
        ViolationKind::ClosedOwingAnswer,
        ViolationKind::OutOfTurn,
    ];

    /// Its name in metrics and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ViolationKind::UnsafeRepeat => "unsafe_repeat",
            ViolationKind::SecondFinalAnswer => "second_final_answer",
            ViolationKind::ClosedOwingAnswer => "closed_owing_answer",
            ViolationKind::OutOfTurn => "out_of_turn",
        }
    }
}

impl fmt::Display for ViolationKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Where a violation was found, and what was expected there.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Evidence<'a> {
    /// The client's id of the message.
    pub(crate) message: Option<&'a [u8]>,
    /// The number of the client's connection.
    pub(crate) connection: Option<u64>,
    /// The number of the call.
    pub(crate) call: Option<u64>,
    /// The state that was expected.
    pub(crate) expected: &'a str,
}

/// The violations of this process so far.
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

    /// How many of a kind there were.
    pub(crate) fn count(&self, kind: ViolationKind) -> u64 {
        self.counts[kind as usize].get()
    }

    /// How many there were.
    pub(crate) fn total(&self) -> u64 {
        self.counts.iter().map(Cell::get).sum()
    }
}

fn number_or_dash(number: Option<u64>) -> String {
    number.map_or_else(|| "-".to_string(), |number| number.to_string())
}
