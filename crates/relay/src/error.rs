//! Why the relay does not start.

/// Why the relay did not start, and its exit code: 2 for bad input, 1 else.
pub(crate) struct StartError {
    pub(crate) code: u8,
    pub(crate) what: String,
}

impl StartError {
    pub(crate) fn failure(what: String) -> StartError {
        StartError { code: 1, what }
    }

    pub(crate) fn bad_input(what: String) -> StartError {
        StartError { code: 2, what }
    }
}
