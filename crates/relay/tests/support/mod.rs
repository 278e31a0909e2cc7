//! Stand-ins for the peers of a relay (clients, endpoints, discovery): plain threads on loopback sockets.

pub(crate) mod client;
pub(crate) mod discovery;
pub(crate) mod gate;
pub(crate) mod process;
pub(crate) mod server;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns whether a TCP connection to the address is in progress: requested, but not established.
pub(crate) fn is_connecting(address: SocketAddr) -> bool {
    let SocketAddr::V4(address) = address else { return false };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    // Columns: number, local address, remote address, state; 02 is SYN_SENT.
    table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>()).any(|w| w[2] == remote && w[3] == "02")
}

/// Waits until the condition holds, ten seconds at most.
pub(crate) fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    wait_until_within(ms(10_000), what, condition);
}

/// Waits until the condition holds and fails the test after `limit`.
pub(crate) fn wait_until_within(limit: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "timed out waiting for {what}");
        thread::sleep(ms(5));
    }
}

/// Pseudo-random numbers, the same for the same seed.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}
