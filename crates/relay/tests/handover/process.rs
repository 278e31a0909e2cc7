//! One process of a relay that is upgraded, on the listening socket that the platform holds.

use crate::support::{process::*, *};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The platform's listening socket, which every process of the relay inherits.
pub(crate) fn platform_socket() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).and_then(|()| socket.listen(128)).expect("a port");
    socket.set_cloexec(false).expect("inherited");
    let at = socket.local_addr().expect("an address").as_socket().expect("IPv4");
    (socket, at)
}

/// One process of the relay, started as `run` starts it on upgrade days.
pub(crate) struct Process {
    child: Child,
    mgmt: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub(crate) fn start(config: &Value, dir: &std::path::Path, fd: i32, n: usize) -> Process {
        Process::start_in(config, dir, fd, n, &[])
    }

    pub(crate) fn start_in(
        config: &Value,
        dir: &std::path::Path,
        fd: i32,
        n: usize,
        environment: &[(&str, String)],
    ) -> Process {
        let mgmt = free_address();
        let mut config = config.clone();
        config["mgmt"] = json!(mgmt.to_string());
        let file = dir.join(format!("config{n}.json"));
        std::fs::write(&file, config.to_string()).expect("a config");
        let log = std::fs::File::options().create(true).append(true).open(dir.join("log")).expect("a log");
        let mut command = command(&file, &dir.join("state"));
        let fd = fd.to_string();
        command.env("NODE_ACCEPT_FD", &fd).env("LISTEN_FDS", "1").env("LISTEN_FDS_FIRST_FD", &fd);
        command.envs(environment.iter().map(|(name, value)| (*name, value.as_str())));
        let child = command.stderr(log).stdout(Stdio::null()).spawn().expect("a relay");
        Process { child, mgmt }
    }

    pub(crate) fn says_yes(&self) -> bool {
        self.answer_to("/status").starts_with("HTTP/1.1 200")
    }

    /// True once the ends of all messages are recorded.
    pub(crate) fn holds_nothing(&self) -> bool {
        self.answer_to("/metrics").lines().any(|line| line == "mountshift_held_messages 0")
    }

    fn answer_to(&self, path: &str) -> String {
        let mut text = String::new();
        let Ok(mut stream) = TcpStream::connect(self.mgmt) else { return text };
        let _ = stream.set_read_timeout(Some(ms(1_000)));
        let _ = stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: relay\r\n\r\n").as_bytes());
        let _ = stream.read_to_string(&mut text);
        text
    }

    pub(crate) fn term(&self) {
        self.signal("TERM");
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(std::process::Command::new("kill").args(["-s", name, &id]).status().expect("kill").success());
    }

    /// Waits for its end: true if it came in time.
    pub(crate) fn ended_within(&mut self, most: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < most {
            if self.child.try_wait().expect("a state").is_some() {
                return true;
            }
            sleep(ms(5));
        }
        false
    }
}
