//! A single process of a relay, started on a listening socket that the platform holds across upgrades.

use crate::support::{process::*, *};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Returns the platform's listening socket, which every process of the relay inherits, and its address.
pub(crate) fn platform_socket() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).and_then(|()| socket.listen(128)).expect("a port");
    socket.set_cloexec(false).expect("clear close-on-exec");
    let address = socket.local_addr().expect("local address").as_socket().expect("IPv4");
    (socket, address)
}

/// A process of the relay on an inherited socket, killed when dropped.
pub(crate) struct Process {
    child: Child,
    admin_address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub(crate) fn start(config: &Value, dir: &std::path::Path, fd: i32, n: usize) -> Process {
        Process::start_with_environment(config, dir, fd, n, &[])
    }

    pub(crate) fn start_with_environment(
        config: &Value,
        dir: &std::path::Path,
        fd: i32,
        n: usize,
        environment: &[(&str, String)],
    ) -> Process {
        let admin_address = free_address();
        let mut config = config.clone();
        config["mgmt"] = json!(admin_address.to_string());
        let file = dir.join(format!("config{n}.json"));
        std::fs::write(&file, config.to_string()).expect("write the configuration");
        let log =
            std::fs::File::options().create(true).append(true).open(dir.join("log")).expect("open the log");
        let mut command = relay_command(&file, &dir.join("state"));
        let fd = fd.to_string();
        command.env("NODE_ACCEPT_FD", &fd).env("LISTEN_FDS", "1").env("LISTEN_FDS_FIRST_FD", &fd);
        command.envs(environment.iter().map(|(name, value)| (*name, value.as_str())));
        let child = command.stderr(log).stdout(Stdio::null()).spawn().expect("start the relay");
        Process { child, admin_address }
    }

    /// Returns whether the process answers `/status` with 200.
    pub(crate) fn is_ready(&self) -> bool {
        self.call("GET", "/status").starts_with("HTTP/1.1 200")
    }

    /// Returns whether the ends of all messages are recorded.
    pub(crate) fn has_no_held_messages(&self) -> bool {
        self.call("GET", "/metrics").lines().any(|line| line == "mountshift_held_messages 0")
    }

    /// Makes an operator's command at this process, which must be acknowledged.
    pub(crate) fn command(&self, command: &str, endpoint: &str) {
        self.post(&format!("/maintenance/{command}?target={endpoint}"));
    }

    /// Makes a call at this process, which must be acknowledged.
    pub(crate) fn post(&self, path: &str) {
        let response = self.call("POST", path);
        assert!(response.starts_with("HTTP/1.1 200"), "{path}: {response}");
    }

    /// Returns the response to a request to the admin address; empty if the process does not accept it.
    fn call(&self, method: &str, path: &str) -> String {
        let mut text = String::new();
        let Ok(mut stream) = TcpStream::connect(self.admin_address) else { return text };
        let _ = stream.set_read_timeout(Some(ms(1_000)));
        let _ = stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: relay\r\n\r\n").as_bytes());
        let _ = stream.read_to_string(&mut text);
        text
    }

    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            std::process::Command::new("kill").args(["-s", name, &id]).status().expect("run kill").success()
        );
    }

    /// Waits for the process to exit and returns whether it did so in time.
    pub(crate) fn exits_within(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.child.try_wait().expect("process status").is_some() {
                return true;
            }
            sleep(ms(5));
        }
        false
    }
}
