//! The relay as a process: its configuration, its folder, its start and its signals.

use super::client::{Client, submit_request};
use super::discovery::Platform;
use super::until;
use mountshift_faults::{CONTROL_VARIABLE, FaultControl};
use serde_json::{Value, json};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// What an operator writes: classes `any` (idempotent), `once` (not idempotent), `line` (in order, idempotent).
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

/// A relay as operators start it.
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

pub(crate) fn command(config: &Path, state: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mountshift-relay"));
    command.env_clear().env("NODE_CONFIG", config).env("NODE_STATE", state);
    command
}

/// The library that makes system calls of a relay fail: cargo builds it beside this test program.
fn fault_shim() -> PathBuf {
    let program = std::env::current_exe().expect("a program");
    let shim = program.with_file_name("libmountshift_fault_shim.so");
    assert!(shim.exists(), "{} is not built", shim.display());
    shim
}

/// A free address: on a loopback address of its own, so that no server or connection of another test, here or
/// in a process beside this one, takes the port before it is used.
pub(crate) fn free_address() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let (process, n) = (std::process::id(), COUNT.fetch_add(1, Ordering::SeqCst));
    let part = |n: u32| (n % 250) as u8 + 1;
    let own = [127, part(process / 250 % 120 + 100), part(process), part(n)];
    TcpListener::bind(SocketAddr::from((own, 0))).and_then(|l| l.local_addr()).expect("a port")
}

impl Relay {
    /// Starts one and waits for its `+PONG`.
    pub(crate) fn start(config: &Value, dir: &Path) -> Relay {
        Relay::start_with(config, dir, None)
    }

    /// As above, with the address of discovery in its environment too.
    pub(crate) fn start_with(config: &Value, dir: &Path, discovery: Option<SocketAddr>) -> Relay {
        let discovery = discovery.map(|at| ("NODE_DISCOVERY", at.to_string()));
        Relay::start_in(config, dir, &Vec::from_iter(discovery))
    }

    /// Starts one whose system calls obey the control file.
    pub(crate) fn start_with_faults(config: &Value, dir: &Path, faults: &FaultControl) -> Relay {
        Relay::start_in(config, dir, &Relay::fault_environment(faults))
    }

    /// As [`Relay::start_with_faults`], without waiting until it is ready.
    pub(crate) fn begin_with_faults(config: &Value, dir: &Path, faults: &FaultControl) -> Relay {
        Relay::begin_in(config, dir, &Relay::fault_environment(faults))
    }

    /// What preloads the library that obeys the control file.
    pub(crate) fn fault_environment(faults: &FaultControl) -> [(&'static str, String); 2] {
        let control = faults.path().display().to_string();
        let shim = fault_shim().display().to_string();
        [(CONTROL_VARIABLE, control), ("LD_PRELOAD", shim)]
    }

    fn start_in(config: &Value, dir: &Path, environment: &[(&str, String)]) -> Relay {
        let relay = Relay::begin_in(config, dir, environment);
        until("the relay to be ready", || TcpStream::connect(relay.listen).is_ok());
        let said = relay.client().ask(b"*1\r\n$4\r\nPING\r\n");
        assert_eq!(said, "+PONG", "{}", std::fs::read_to_string(dir.join("log")).unwrap_or_default());
        relay
    }

    fn begin_in(config: &Value, dir: &Path, environment: &[(&str, String)]) -> Relay {
        let (file, state) = (dir.join("config.json"), dir.join("state"));
        std::fs::write(&file, config.to_string()).expect("a config");
        std::fs::create_dir_all(&state).expect("a folder");
        let log = std::fs::File::options().create(true).append(true).open(dir.join("log")).expect("a log");
        let mut command = command(&file, &state);
        command.envs(environment.iter().map(|(name, value)| (*name, value.as_str())));
        let child = command.stderr(log).stdout(Stdio::null()).spawn().expect("a relay");
        let listen = config["listen"].as_str().and_then(|a| a.parse().ok()).expect("an address");
        Relay { child, listen }
    }

    pub(crate) fn client(&self) -> Client {
        let stream = TcpStream::connect(self.listen).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
        Client(BufReader::new(stream))
    }

    /// Hands one message in on a connection of its own.
    pub(crate) fn submit(&self, id: &str, key: u64, list: &str, body: &[u8]) -> String {
        self.client().ask(&submit_request(id, key, list, body))
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().expect("kill").success());
    }

    /// The lowest descriptor that it does not hold: with this as its limit it opens no other.
    pub(crate) fn first_free_descriptor(&self) -> u64 {
        let held = |number: &u64| Path::new(&format!("/proc/{}/fd/{number}", self.child.id())).exists();
        (0..).find(|number| !held(number)).expect("a free one")
    }

    /// Limits its descriptors from now on; gives back the limit before.
    pub(crate) fn limit_descriptors(&self, most: Option<u64>) -> Option<u64> {
        let process = rustix::process::Pid::from_child(&self.child);
        let resource = rustix::process::Resource::Nofile;
        let maximum = rustix::process::getrlimit(resource).maximum;
        let limit = rustix::process::Rlimit { current: most, maximum };
        rustix::process::prlimit(Some(process), resource, limit).expect("a limit").current
    }

    /// True once a STOP has taken effect.
    pub(crate) fn is_suspended(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
    }

    /// Its exit code, if it ends within this time.
    pub(crate) fn code_within(&mut self, most: Duration) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < most {
            if let Some(status) = self.child.try_wait().expect("a state") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Its exit code, once it ends.
    pub(crate) fn code(&mut self) -> Option<i32> {
        self.child.wait().expect("an end").code()
    }
}

/// A platform, and a relay's configuration and folder.
pub(crate) struct Fixture {
    pub dir: tempfile::TempDir,
    pub platform: Platform,
    pub config: Value,
}

/// A platform with one list, told to the relay from the start.
pub(crate) fn fixture(refused: usize, members: Vec<Value>) -> Fixture {
    let platform = Platform::start(refused);
    let config = config(free_address(), platform.server.address, &members);
    platform.set(members);
    Fixture { dir: tempfile::tempdir().expect("a folder"), platform, config }
}

impl Fixture {
    pub(crate) fn relay(&self) -> Relay {
        Relay::start(&self.config, self.dir.path())
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.dir.path().join("log")).expect("a log")
    }

    /// A control file under which nothing fails yet.
    pub(crate) fn faults(&self) -> FaultControl {
        FaultControl::create(&self.dir.path().join("faults")).expect("a control file")
    }

    /// A relay whose system calls obey the control file.
    pub(crate) fn relay_with_faults(&self, faults: &FaultControl) -> Relay {
        Relay::start_with_faults(&self.config, self.dir.path(), faults)
    }

    /// Writes a configuration that names another discovery, for SIGHUP.
    pub(crate) fn write_discovery(&self, to: SocketAddr) {
        let mut config = self.config.clone();
        config["discovery"] = json!(to.to_string());
        std::fs::write(self.dir.path().join("config.json"), config.to_string()).expect("a config");
    }

    pub(crate) fn disk(&self) -> u64 {
        let files = std::fs::read_dir(self.dir.path().join("state")).expect("a folder").flatten();
        files.map(|f| f.metadata().map_or(0, |m| m.len().div_ceil(512) * 512)).sum()
    }
}
