//! Starts relays by the `run` line of the deploy file, and ends them.

use crate::client;
use crate::http;
use crate::os;
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Settings like those of a small deployment: the figures of the wire page's example, with one call for each message
/// and deadlines of 12 s at most, as on sockets.
pub fn settings() -> String {
    r#"{"balancers":1,"me":0,"zone":0,"quantum":5000,"tier":0,"tiers":["partner-systems"],
"classes":[
 {"name":"stock-status","aim":1500000,"giveUp":8000000,"importance":1.0,"lateWorth":0.1,"idempotency":"idempotent","group":"all","memorySpan":5000000,"streaming":false},
 {"name":"order-payment","aim":2000000,"giveUp":12000000,"importance":3.0,"lateWorth":0.4,"idempotency":"at_most_once","group":"all","memorySpan":5000000,"inOrder":true,"streaming":false}],
"clients":{"marksRetry":false},"tenants":[],"localities":["building-a","building-b"],
"kinds":["major-host","minor-host"],"weights":"nominal","worthBy":"request","discovery":"automatic",
"serviceType":"deliver","overShareWorth":0.1,"loadInfo":{"fields":[],"source":"none"},
"familyInfo":{"callsOut":7,"decay":"halving","feeByZone":[0.0,0.0],"kindBatch":[1,1],"ownLimits":[false,false],"refusalCost":0.0},
"goal":{"whole":0.45,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.35},
"limits":{"cancel":true,"connIdle":15000000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"dialTimeout":1500000,"maxAttempts":8,"maxRetryAfter":3000000,"openCap":117,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":1},
"obligations":{"answerSlack":20000,"askWithin":10000000,"coldFrom":0.28,"drainGrace":1000000,"fall":2000000,"fallMultiple":1.5,"orderPause":300000,"warmAfter":13000000},
"penalties":{"crossZone":0.03}}"#
        .replace('\n', "")
}

/// The place of one relay: its addresses, folder and configuration.
pub struct Site {
    pub dir: PathBuf,
    pub clients: SocketAddr,
    pub discovery: SocketAddr,
    listener: TcpListener,
    run: String,
    record: Record,
}

impl Site {
    /// Prepares a relay. `known` is the list in its configuration.
    pub fn new(record: &Record, discovery: SocketAddr, known: &str) -> Site {
        let dir = std::env::temp_dir().join(format!("mountshift-review-{}", std::process::id()));
        fs::create_dir_all(dir.join("state")).expect("a temporary folder");
        // The platform holds the clients' socket, which every process of the relay inherits.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let clients = listener.local_addr().expect("an address");
        let site = Site { dir, clients, discovery, listener, run: run_line(), record: record.clone() };
        site.write_config(known);
        site
    }

    pub fn write_config(&self, known: &str) {
        let (clients, discovery, settings) = (self.clients, self.discovery, settings());
        let config = format!(
            r#"{{"name":"n1","listen":"{clients}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{known},"settings":{settings}}}"#
        );
        fs::write(self.dir.join("config.json"), config).expect("the configuration");
    }

    /// Starts a process of the relay with an operators' address of its own.
    pub fn start(&self, name: &str) -> Relay {
        let operators = free_address();
        let log = File::create(self.dir.join(format!("{name}.log"))).expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &self.run])
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", self.clients.to_string())
            .env("NODE_DISCOVERY", self.discovery.to_string())
            .env("NODE_STATE", self.dir.join("state"))
            .env("NODE_CONFIG", self.dir.join("config.json"))
            .env("NODE_MGMT", operators.to_string())
            .env("NODE_ACCEPT_FD", os::LISTENER_FD.to_string())
            .env("TMPDIR", &self.dir)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        os::inherit_listener(&mut command, self.listener.as_raw_fd());
        let child = command.spawn().expect("a relay");
        self.record.line(format!("platform: starts process {name} of the relay"));
        Relay { name: name.to_string(), child, operators, record: self.record.clone() }
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A process of the relay; killed when dropped.
pub struct Relay {
    pub name: String,
    child: Child,
    pub operators: SocketAddr,
    record: Record,
}

impl Relay {
    /// Waits until the process says yes at the operators' address; false if it does not within 10 s.
    pub fn wait_until_ready(&self) -> bool {
        let since = Instant::now();
        while since.elapsed() < Duration::from_secs(10) {
            if http::call(self.operators, "GET", "/status").is_some_and(|answer| answer.0 == 200) {
                self.record.line(format!("platform: process {} says yes", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// An operator's call at the address of this process.
    pub fn operate(&self, target: &str) -> Option<(u16, String)> {
        let answer = http::call(self.operators, "POST", target);
        self.record.line(format!("operator: POST {target} at process {}: {answer:?}", self.name));
        answer
    }

    pub fn signal(&self, number: i32, name: &str) {
        self.record.line(format!("platform: {name} to process {}", self.name));
        os::signal(self.child.id(), number);
    }

    /// Ends the process as an upgrade or a restart does: SIGTERM, and SIGKILL 3.7 s later.
    pub fn terminate(&mut self) {
        self.signal(os::SIGTERM, "SIGTERM");
        let since = Instant::now();
        while since.elapsed() < Duration::from_millis(3_700) {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(format!("platform: process {} ended, {status}", self.name));
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.signal(os::SIGKILL, "SIGKILL");
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a new client gets `+PONG`.
pub fn wait_for_pong(address: SocketAddr) -> bool {
    (0..200).any(|_| {
        let is_ready = client::ping(address).as_deref() == Some("+PONG");
        if !is_ready {
            thread::sleep(Duration::from_millis(20));
        }
        is_ready
    })
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Returns the `run` line of the deploy file.
fn run_line() -> String {
    let text = fs::read_to_string(Path::new("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("a run line");
    let quote = line.chars().next().expect("a quoted command");
    line[1..].split(quote).next().expect("a command").to_string()
}
