//! Fixture of the upgrade tests: a relay whose processes a test starts one by one.

use crate::process::*;
use crate::support::{client::*, discovery::*, gate::*, process::*, server::*, *};
use crate::under_load::TIME_TO_DEADLINE;
use mountshift_faults::FaultControl;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;

/// Folder, platform and listening socket of a relay whose processes a test starts. The endpoint holds every call at a
/// gate.
pub(crate) struct UpgradeFixture {
    pub(crate) gate: Gate,
    pub(crate) endpoint: Server,
    pub(crate) platform: Platform,
    pub(crate) config: Value,
    pub(crate) dir: tempfile::TempDir,
    pub(crate) socket: socket2::Socket,
    pub(crate) listen: SocketAddr,
}

/// Returns a fixture whose endpoint responds with 200 and whose platform acknowledges every notification.
pub(crate) fn upgrade_fixture() -> UpgradeFixture {
    upgrade_fixture_with(0, 200)
}

/// Returns a fixture whose platform rejects the first `rejected` calls with notifications and whose endpoint responds
/// with `status`.
pub(crate) fn upgrade_fixture_with(rejected: usize, status: u16) -> UpgradeFixture {
    let (gate, endpoint) = gated_server(move || respond(status, "", ""));
    let platform = Platform::start(rejected);
    let (socket, listen) = platform_socket();
    let members = vec![member("e1", endpoint.address, 7, "single")];
    let config = config(listen, platform.server.address, &members);
    platform.set_members(members);
    let dir = tempfile::tempdir().expect("create the folder");
    std::fs::create_dir_all(dir.path().join("state")).expect("create the folder");
    UpgradeFixture { gate, endpoint, platform, config, dir, socket, listen }
}

impl UpgradeFixture {
    /// Starts process `n` and waits until it is ready.
    pub(crate) fn start(&self, n: usize) -> Process {
        let process = Process::start(&self.config, self.dir.path(), self.socket.as_raw_fd(), n);
        wait_until("the process to be ready", || process.is_ready());
        process
    }

    /// Starts process `n`, whose system calls fail as the control file says, and waits until it is ready.
    pub(crate) fn start_with_faults(&self, n: usize, faults: &FaultControl) -> Process {
        let environment = Relay::fault_environment(faults);
        let fd = self.socket.as_raw_fd();
        let process = Process::start_with_environment(&self.config, self.dir.path(), fd, n, &environment);
        wait_until("the process to be ready", || process.is_ready());
        process
    }

    /// Submits a message, which must be accepted.
    pub(crate) fn submit(&self, id: &str, key: u64, class: &str) {
        assert_eq!(self.submit_reply(id, key, class), "+OK");
    }

    /// Submits a message and returns the reply.
    pub(crate) fn submit_reply(&self, id: &str, key: u64, class: &str) -> String {
        let mut client = Client(std::io::BufReader::new(TcpStream::connect(self.listen).expect("connect")));
        let parameters = format!("c={class},d={},dest=7", TIME_TO_DEADLINE.as_millis());
        client.request(&submit_request(id, key, &parameters, b"x"))
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.dir.path().join("log")).expect("read the log")
    }

    /// Waits until successors have taken over the state folder `times` times since the first start.
    pub(crate) fn wait_for_ownership(&self, times: usize) {
        wait_until("the successor to own the state folder", || {
            self.log().matches("owns the state folder now").count() == times
        });
    }
}
