//! Endpoints.

/// An endpoint of a destination.
pub(crate) struct Endpoint {
    pub(crate) destination: u32,
    pub(crate) zone: u8,
    pub(crate) route: u32,
}
