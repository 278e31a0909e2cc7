//! Relay processes under test: configuration, state folder, start, signals and exit.

use super::client::{Client, submit_request};
use super::discovery::Platform;
use super::wait_until;
use mountshift_faults::{CONTROL_VARIABLE, FaultControl};
use serde_json::{Value, json};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Returns a relay configuration with the message classes `any` (idempotent), `once` (not idempotent), `line` (in order,
/// idempotent) and `pay` (in order, not idempotent).
pub(crate) fn config(listen: SocketAddr, discovery: SocketAddr, members: &[Value]) -> Value {
    let class = |name: &str, effect: &str, in_order: bool| {
        json!({"name": name, "aim": 1_500_000, "giveUp": 20_000_000, "importance": 1.0, "lateWorth": 0.1,
            "idempotency": effect, "inOrder": in_order})
    };
    let classes = [
        class("any", "idempotent", false),
        class("once", "at_most_once", false),
        class("line", "idempotent", true),
        class("pay", "at_most_once", true),
    ];
    json!({"name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"revision": 1, "complete": true, "members": members},
        "settings": {"balancers": 1, "me": 0, "zone": 0, "quantum": 5_000, "classes": classes, "tenants": [],
            "localities": ["north"], "kinds": ["single", "bulk"], "weights": "nominal", "discovery": "automatic",
            "familyInfo": {"callsOut": 20, "decay": "linear", "feeByZone": [0.0], "kindBatch": [1, 20],
                "ownLimits": [false, false]},
            "limits": {"openCap": 100, "maxAttempts": 8, "cancel": true, "maxRetryAfter": 3_000_000,
                "connIdle": 15_000_000, "dialTimeout": 1_500_000},
            "obligations": {"drainGrace": 1_000_000, "orderPause": 300_000, "coldFrom": 0.3, "warmAfter": 10_000_000,
                "fallMultiple": 1.5, "fall": 2_000_000},
            "penalties": {"crossZone": 0.03}}})
}

/// A running relay process, killed when dropped.
pub(crate) struct Relay {
    child: Child,
    pub listen: SocketAddr,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the command that starts a relay with this configuration file and state folder.
pub(crate) fn relay_command(config: &Path, state: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mountshift-relay"));
    command.env_clear().env("NODE_CONFIG", config).env("NODE_STATE", state);
    command
}

/// Returns the path of the library that injects faults into system calls of a relay; cargo builds it next to this test program.
fn fault_shim() -> PathBuf {
    let program = std::env::current_exe().expect("path of the test program");
    let shim = program.with_file_name("libmountshift_fault_shim.so");
    assert!(shim.exists(), "{} is not built", shim.display());
    shim
}

/// Returns a free address on a loopback IP that no other test, here or in a concurrent process, uses, so that none of
/// their servers or connections takes the port before it is used.
///
/// The socket that reserves the port does not listen. A process that another test is starting holds a copy of it until its
/// exec: a copy that listens would accept the first connection meant for the relay and close it without a reply.
pub(crate) fn free_address() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let (process, n) = (std::process::id(), COUNT.fetch_add(1, Ordering::SeqCst));
    let octet = |n: u32| (n % 250) as u8 + 1;
    let ip = [127, octet(process / 250 % 120 + 100), octet(process), octet(n)];
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("set the option");
    socket.bind(&SocketAddr::from((ip, 0)).into()).expect("a port");
    socket.local_addr().expect("local address").as_socket().expect("IPv4")
}

impl Relay {
    /// Starts a relay and waits until it replies `+PONG`.
    pub(crate) fn start(config: &Value, dir: &Path) -> Relay {
        Relay::start_with_discovery(config, dir, None)
    }

    /// Starts a relay as [`Relay::start`] does, optionally with `NODE_DISCOVERY` in its environment.
    pub(crate) fn start_with_discovery(config: &Value, dir: &Path, discovery: Option<SocketAddr>) -> Relay {
        let discovery = discovery.map(|address| ("NODE_DISCOVERY", address.to_string()));
        Relay::start_with_environment(config, dir, &Vec::from_iter(discovery))
    }

    /// Starts a relay whose system calls fail as the control file says.
    pub(crate) fn start_with_faults(config: &Value, dir: &Path, faults: &FaultControl) -> Relay {
        Relay::start_with_environment(config, dir, &Relay::fault_environment(faults))
    }

    /// Starts a relay as [`Relay::start_with_faults`] does, without waiting until it is ready.
    pub(crate) fn spawn_with_faults(config: &Value, dir: &Path, faults: &FaultControl) -> Relay {
        Relay::spawn_with_environment(config, dir, &Relay::fault_environment(faults))
    }

    /// Returns the environment that preloads the fault library with this control file.
    pub(crate) fn fault_environment(faults: &FaultControl) -> [(&'static str, String); 2] {
        let control = faults.path().display().to_string();
        let shim = fault_shim().display().to_string();
        [(CONTROL_VARIABLE, control), ("LD_PRELOAD", shim)]
    }

    fn start_with_environment(config: &Value, dir: &Path, environment: &[(&str, String)]) -> Relay {
        let relay = Relay::spawn_with_environment(config, dir, environment);
        wait_until("the relay to listen", || TcpStream::connect(relay.listen).is_ok());
        let reply = relay.client().request(b"*1\r\n$4\r\nPING\r\n");
        assert_eq!(reply, "+PONG", "{}", std::fs::read_to_string(dir.join("log")).unwrap_or_default());
        relay
    }

    fn spawn_with_environment(config: &Value, dir: &Path, environment: &[(&str, String)]) -> Relay {
        let (file, state) = (dir.join("config.json"), dir.join("state"));
        std::fs::write(&file, config.to_string()).expect("write the configuration");
        std::fs::create_dir_all(&state).expect("create the folder");
        let log =
            std::fs::File::options().create(true).append(true).open(dir.join("log")).expect("open the log");
        let mut command = relay_command(&file, &state);
        command.envs(environment.iter().map(|(name, value)| (*name, value.as_str())));
        let child = command.stderr(log).stdout(Stdio::null()).spawn().expect("start the relay");
        let listen = config["listen"].as_str().and_then(|a| a.parse().ok()).expect("an address");
        Relay { child, listen }
    }

    pub(crate) fn client(&self) -> Client {
        let stream = TcpStream::connect(self.listen).expect("connect");
        stream.set_read_timeout(Some(Duration::from_secs(8))).expect("set the time-out");
        Client(BufReader::new(stream))
    }

    /// Submits one message on a new connection and returns the reply.
    pub(crate) fn submit(&self, id: &str, key: u64, parameters: &str, body: &[u8]) -> String {
        self.client().request(&submit_request(id, key, parameters, body))
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().expect("run kill").success());
    }

    /// Returns the lowest unused descriptor number of the process. With this as its limit it can open no more descriptors.
    pub(crate) fn first_free_descriptor(&self) -> u64 {
        let is_open = |number: &u64| Path::new(&format!("/proc/{}/fd/{number}", self.child.id())).exists();
        (0..).find(|number| !is_open(number)).expect("a free descriptor")
    }

    /// Sets the descriptor limit of the process and returns the previous one.
    pub(crate) fn set_descriptor_limit(&self, limit: Option<u64>) -> Option<u64> {
        let process = rustix::process::Pid::from_child(&self.child);
        let resource = rustix::process::Resource::Nofile;
        let maximum = rustix::process::getrlimit(resource).maximum;
        let limit = rustix::process::Rlimit { current: limit, maximum };
        rustix::process::prlimit(Some(process), resource, limit).expect("set the limit").current
    }

    /// Returns whether a SIGSTOP has taken effect.
    pub(crate) fn is_suspended(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
    }

    /// Returns the exit code if the process exits within this time.
    pub(crate) fn exit_code_within(&mut self, limit: Duration) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait().expect("process status") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Waits until the process exits and returns its exit code.
    pub(crate) fn wait_for_exit_code(&mut self) -> Option<i32> {
        self.child.wait().expect("exit status").code()
    }
}

/// A stand-in platform, and the configuration and folder of a relay.
pub(crate) struct Fixture {
    pub dir: tempfile::TempDir,
    pub platform: Platform,
    pub config: Value,
}

/// Returns a platform that serves `members` and a configuration that lists them too. The platform rejects the first
/// `rejected` calls with notifications.
pub(crate) fn fixture(rejected: usize, members: Vec<Value>) -> Fixture {
    let platform = Platform::start(rejected);
    let config = config(free_address(), platform.server.address, &members);
    platform.set_members(members);
    Fixture { dir: tempfile::tempdir().expect("create the folder"), platform, config }
}

impl Fixture {
    pub(crate) fn start_relay(&self) -> Relay {
        Relay::start(&self.config, self.dir.path())
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.dir.path().join("log")).expect("open the log")
    }

    /// Creates a control file without faults.
    pub(crate) fn fault_control(&self) -> FaultControl {
        FaultControl::create(&self.dir.path().join("faults")).expect("create the control file")
    }

    /// Starts a relay whose system calls fail as the control file says.
    pub(crate) fn start_relay_with_faults(&self, faults: &FaultControl) -> Relay {
        Relay::start_with_faults(&self.config, self.dir.path(), faults)
    }

    /// Writes a configuration with another discovery address, to be reloaded by SIGHUP.
    pub(crate) fn write_discovery_address(&self, address: SocketAddr) {
        let mut config = self.config.clone();
        config["discovery"] = json!(address.to_string());
        std::fs::write(self.dir.path().join("config.json"), config.to_string())
            .expect("write the configuration");
    }

    /// Returns the size of the files in the state folder in bytes, each rounded up to blocks of 512.
    pub(crate) fn disk_usage(&self) -> u64 {
        let files = std::fs::read_dir(self.dir.path().join("state")).expect("read the folder").flatten();
        files.map(|f| f.metadata().map_or(0, |m| m.len().div_ceil(512) * 512)).sum()
    }
}
