//! A relay whose processes are started by hand.

use crate::process::*;
use crate::support::{client::*, discovery::*, gate::*, process::*, server::*, *};
use crate::under_load::TIME_TO_DEADLINE;
use mountshift_faults::FaultControl;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;

/// A relay's folder, platform and listening socket, for processes that are started by hand; its endpoint holds every
/// call at a gate.
pub(crate) struct Upgrade {
    pub(crate) gate: Gate,
    pub(crate) endpoint: Server,
    pub(crate) platform: Platform,
    pub(crate) config: Value,
    pub(crate) dir: tempfile::TempDir,
    pub(crate) socket: socket2::Socket,
    pub(crate) at: SocketAddr,
}

pub(crate) fn upgrade() -> Upgrade {
    upgrade_with(0, 200)
}

/// The platform refuses so many calls with notifications; the endpoint answers with this status.
pub(crate) fn upgrade_with(refused: usize, status: u16) -> Upgrade {
    let (gate, endpoint) = gated(move || answer(status, "", ""));
    let platform = Platform::start(refused);
    let (socket, at) = platform_socket();
    let members = vec![member("e1", endpoint.address, 7, "single")];
    let config = config(at, platform.server.address, &members);
    platform.set(members);
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::create_dir_all(dir.path().join("state")).expect("a folder");
    Upgrade { gate, endpoint, platform, config, dir, socket, at }
}

impl Upgrade {
    pub(crate) fn start(&self, n: usize) -> Process {
        let process = Process::start(&self.config, self.dir.path(), self.socket.as_raw_fd(), n);
        until("the process to say yes", || process.says_yes());
        process
    }

    /// A process whose system calls obey the control file.
    pub(crate) fn start_with_faults(&self, n: usize, faults: &FaultControl) -> Process {
        let environment = Relay::fault_environment(faults);
        let fd = self.socket.as_raw_fd();
        let process = Process::start_in(&self.config, self.dir.path(), fd, n, &environment);
        until("the process to say yes", || process.says_yes());
        process
    }

    pub(crate) fn submit(&self, id: &str, key: u64, class: &str) {
        assert_eq!(self.answer_to(id, key, class), "+OK");
    }

    pub(crate) fn answer_to(&self, id: &str, key: u64, class: &str) -> String {
        let mut client = Client(std::io::BufReader::new(TcpStream::connect(self.at).expect("a connection")));
        let list = format!("c={class},d={},dest=7", TIME_TO_DEADLINE.as_millis());
        client.ask(&submit_request(id, key, &list, b"x"))
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.dir.path().join("log")).expect("a log")
    }

    pub(crate) fn owns(&self, times: usize) {
        until("the successor to own", || self.log().matches("owns the state folder now").count() == times);
    }
}
