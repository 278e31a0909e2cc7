//! Stand-ins for what a relay meets: clients, endpoints, discovery. Plain threads on loopback sockets.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request as a server got it.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// The connection it came on, and when.
    pub connection: usize,
    pub at: Instant,
}

impl Request {
    /// The ids of the messages in it.
    pub fn ids(&self) -> Vec<String> {
        if let Some(id) = self.headers.get("x-request-id") {
            return vec![id.clone()];
        }
        let (mut rest, mut ids) = (&self.body[..], Vec::new());
        while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let words: Vec<&str> = line.split(' ').collect();
            ids.push(words[0].to_string());
            rest = &rest[end + 2 + words[2].parse::<usize>().expect("a length") + 2..];
        }
        ids
    }
}

/// What a server does with a request.
pub enum Act {
    /// Answers with these bytes, after a while.
    Say(String, Duration),
    /// Answers, then closes without having said so.
    SayAndClose(String),
    Hang,
    Close,
}

pub fn answer(status: u16, headers: &str, body: &str) -> Act {
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    Act::Say(text, Duration::ZERO)
}

/// A server that keeps every request it got.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub got: Arc<Mutex<Vec<Request>>>,
}

impl Server {
    pub fn start(act: impl Fn(&Request) -> Act + Send + Sync + 'static) -> Server {
        Server::on(TcpListener::bind("127.0.0.1:0").expect("a port"), act)
    }

    pub fn on(listener: TcpListener, act: impl Fn(&Request) -> Act + Send + Sync + 'static) -> Server {
        let server = Server { address: listener.local_addr().expect("an address"), got: Arc::default() };
        let (got, act) = (server.got.clone(), Arc::new(act));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (got, act) = (got.clone(), act.clone());
                thread::spawn(move || serve(stream, connection, &got, &*act));
            }
        });
        server
    }

    pub fn requests(&self) -> Vec<Request> {
        self.got.lock().expect("requests").clone()
    }

    /// Ids in the order in which they came.
    pub fn ids(&self) -> Vec<String> {
        self.requests().iter().flat_map(Request::ids).collect()
    }
}

fn serve(mut stream: TcpStream, connection: usize, got: &Mutex<Vec<Request>>, act: &dyn Fn(&Request) -> Act) {
    let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let path = line.split(' ').nth(1).unwrap_or_default().to_string();
        let mut headers = BTreeMap::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Some((name, value)) = line.trim_end().split_once(": ") else { break };
            headers.insert(name.to_lowercase(), value.to_string());
        }
        let length = headers.get("content-length").map_or(0, |n| n.parse().expect("a length"));
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let request = Request { path, headers, body, connection, at: Instant::now() };
        got.lock().expect("requests").push(request.clone());
        match act(&request) {
            Act::Say(text, after) => {
                thread::sleep(after);
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Act::SayAndClose(text) => return drop(stream.write_all(text.as_bytes())),
            Act::Hang => thread::sleep(Duration::from_secs(60)),
            Act::Close => return,
        }
    }
}

/// Discovery: a list that can change, and notices with the status each call gets.
pub struct Platform {
    pub server: Server,
    list: Arc<Mutex<(u64, Vec<Value>)>>,
}

impl Platform {
    /// The first `refused` calls with notices are answered 500.
    pub fn start(refused: usize) -> Platform {
        let list: Arc<Mutex<(u64, Vec<Value>)>> = Arc::new(Mutex::new((1, Vec::new())));
        let (shown, left) = (list.clone(), Mutex::new(refused));
        let server = Server::start(move |request| {
            if request.path == "/status" {
                let mut left = left.lock().expect("a count");
                let status = if *left > 0 { 500 } else { 204 };
                *left = left.saturating_sub(1);
                return answer(status, "", "");
            }
            let asked = |name: &str| -> Option<u64> {
                request.path.split(name).nth(1).and_then(|t| t.split('&').next()?.parse().ok())
            };
            let (index, by) =
                (asked("index="), Instant::now() + Duration::from_millis(asked("wait=").unwrap_or(0)));
            loop {
                let (revision, members) = shown.lock().expect("a list").clone();
                if index.is_none_or(|index| index < revision) {
                    let list = json!({"revision": revision, "complete": true, "members": members});
                    return answer(200, "", &list.to_string());
                }
                if Instant::now() >= by {
                    return answer(
                        200,
                        "",
                        &json!({"revision": index, "complete": false, "members": []}).to_string(),
                    );
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        Platform { server, list }
    }

    pub fn set(&self, members: Vec<Value>) {
        let mut list = self.list.lock().expect("a list");
        *list = (list.0 + 1, members);
    }

    /// Notices as the platform got them, one text each, those of refused calls too.
    pub fn notices(&self) -> Vec<String> {
        let requests = self.server.requests();
        let bodies =
            requests.iter().filter(|r| r.path == "/status").map(|r| String::from_utf8_lossy(&r.body));
        bodies.flat_map(|b| b.lines().map(str::to_string).collect::<Vec<_>>()).collect()
    }
}

pub fn member(id: &str, at: SocketAddr, dst: u32, kind: &str) -> Value {
    json!({"id": id, "host_port": at.to_string(), "locality": "north", "flavor": kind, "cell": dst,
        "phase": "Ready", "size": 1000.0, "up_since_ms": 0})
}

/// What an operator writes: lanes `any` (retriable), `once` (non-retriable), `line` (in order, retriable).
pub fn config(listen: SocketAddr, discovery: SocketAddr, members: &[Value]) -> Value {
    let lane = |name: &str, effect: &str, in_order: bool| {
        json!({"name": name, "aim": 1_500_000, "giveUp": 20_000_000, "importance": 1.0, "lateWorth": 0.1,
            "idempotency": effect, "inOrder": in_order})
    };
    let lanes = [
        lane("any", "idempotent", false),
        lane("once", "at_most_once", false),
        lane("line", "idempotent", true),
        lane("pay", "at_most_once", true),
    ];
    json!({"name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"revision": 1, "complete": true, "members": members},
        "settings": {"balancers": 1, "me": 0, "zone": 0, "quantum": 5_000, "classes": lanes, "tenants": [],
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
pub struct Relay {
    child: Child,
    pub listen: SocketAddr,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn command(config: &Path, state: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mountshift-relay"));
    command.env_clear().env("NODE_CONFIG", config).env("NODE_STATE", state);
    command
}

/// A free address: on a loopback address of its own, so that no server or connection of another test, here or
/// in a process beside this one, takes the port before it is used.
pub fn free() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let (process, n) = (std::process::id(), COUNT.fetch_add(1, Ordering::SeqCst));
    let part = |n: u32| (n % 250) as u8 + 1;
    let own = [127, part(process / 250 % 120 + 100), part(process), part(n)];
    TcpListener::bind(SocketAddr::from((own, 0))).and_then(|l| l.local_addr()).expect("a port")
}

impl Relay {
    /// Starts one and waits for its `+PONG`.
    pub fn start(config: &Value, dir: &Path) -> Relay {
        Relay::start_with(config, dir, None)
    }

    /// As above, with the address of discovery in its environment too.
    pub fn start_with(config: &Value, dir: &Path, discovery: Option<SocketAddr>) -> Relay {
        let (file, state) = (dir.join("config.json"), dir.join("state"));
        std::fs::write(&file, config.to_string()).expect("a config");
        std::fs::create_dir_all(&state).expect("a folder");
        let log = std::fs::File::options().create(true).append(true).open(dir.join("log")).expect("a log");
        let mut command = command(&file, &state);
        command.envs(discovery.map(|at| ("NODE_DISCOVERY", at.to_string())));
        let child = command.stderr(log).stdout(Stdio::null()).spawn().expect("a relay");
        let listen = config["listen"].as_str().and_then(|a| a.parse().ok()).expect("an address");
        let relay = Relay { child, listen };
        until("the relay to be ready", || TcpStream::connect(listen).is_ok());
        let said = relay.client().ask(b"*1\r\n$4\r\nPING\r\n");
        assert_eq!(said, "+PONG", "{}", std::fs::read_to_string(dir.join("log")).unwrap_or_default());
        relay
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.listen).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a time-out");
        Client(BufReader::new(stream))
    }

    /// Hands one message in on a connection of its own.
    pub fn add(&self, id: &str, key: u64, list: &str, body: &[u8]) -> String {
        self.client().ask(&out_add(id, key, list, body))
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().expect("kill").success());
    }

    /// True once a STOP has taken effect.
    pub fn stands_still(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
    }

    /// Its exit code, once it ends.
    pub fn code(&mut self) -> Option<i32> {
        self.child.wait().expect("an end").code()
    }
}

pub fn out_add(id: &str, key: u64, list: &str, body: &[u8]) -> Vec<u8> {
    let key = format!("{key:016x}");
    let words = [b"OUT.ADD", key.as_bytes(), id.as_bytes(), list.as_bytes(), body];
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend(word);
        bytes.extend(b"\r\n");
    }
    bytes
}

pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn say(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("written");
    }

    /// A line, empty at the end of the connection.
    pub fn hear(&mut self) -> String {
        let mut line = String::new();
        let _ = self.0.read_line(&mut line);
        line.trim_end().to_string()
    }

    pub fn ask(&mut self, bytes: &[u8]) -> String {
        self.say(bytes);
        self.hear()
    }
}

/// A listener that takes no more connections for now; dropping what comes with it makes room.
pub fn full() -> (TcpListener, Vec<socket2::Socket>) {
    let socket =
        || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let listener = socket();
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    listener.bind(&any.into()).and_then(|()| listener.listen(0)).expect("a port");
    let listener: TcpListener = listener.into();
    let address = listener.local_addr().expect("an address");
    let fill = |_| {
        let filler = socket();
        filler.set_nonblocking(true).expect("a mode");
        let _ = filler.connect(&address.into());
        filler
    };
    let fillers = (0..4).map(fill).collect();
    (listener, fillers)
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn ok() -> Act {
    answer(200, "", "")
}

/// An endpoint of destination 8 that refuses connections.
pub fn nowhere() -> Value {
    member("e0", free(), 8, "single")
}

/// A platform, and a relay's configuration and folder.
pub struct Scene {
    pub dir: tempfile::TempDir,
    pub platform: Platform,
    pub config: Value,
}

/// A platform with one list, told to the relay from the start.
pub fn scene(refused: usize, members: Vec<Value>) -> Scene {
    let platform = Platform::start(refused);
    let config = config(free(), platform.server.address, &members);
    platform.set(members);
    Scene { dir: tempfile::tempdir().expect("a folder"), platform, config }
}

impl Scene {
    pub fn relay(&self) -> Relay {
        Relay::start(&self.config, self.dir.path())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.dir.path().join("log")).expect("a log")
    }

    /// Writes a configuration that names another discovery, for SIGHUP.
    pub fn write_discovery(&self, to: SocketAddr) {
        let mut config = self.config.clone();
        config["discovery"] = json!(to.to_string());
        std::fs::write(self.dir.path().join("config.json"), config.to_string()).expect("a config");
    }

    pub fn disk(&self) -> u64 {
        let files = std::fs::read_dir(self.dir.path().join("state")).expect("a folder").flatten();
        files.map(|f| f.metadata().map_or(0, |m| m.len().div_ceil(512) * 512)).sum()
    }
}

/// Holds whoever comes to it until it is opened, and counts them: forces the order of two events.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<(bool, usize)>, Condvar)>);

impl Gate {
    /// Waits at the gate until it is open, a minute at most.
    pub fn pass(&self) {
        let (state, moved) = &*self.0;
        let mut held = state.lock().expect("a gate");
        held.1 += 1;
        moved.notify_all();
        let _ = moved.wait_timeout_while(held, Duration::from_secs(60), |s| !s.0).expect("a gate");
    }

    pub fn open(&self) {
        self.0.0.lock().expect("a gate").0 = true;
        self.0.1.notify_all();
    }

    /// Waits until so many have come.
    pub fn came(&self, n: usize) {
        let (state, moved) = &*self.0;
        let held = state.lock().expect("a gate");
        let most = Duration::from_secs(10);
        let (held, late) = moved.wait_timeout_while(held, most, |s| s.1 < n).expect("a gate");
        assert!(!late.timed_out(), "{} of {n} came to the gate", held.1);
    }
}

/// An endpoint that holds every call at a gate before it acts.
pub fn gated(act: impl Fn() -> Act + Send + Sync + 'static) -> (Gate, Server) {
    let gate = Gate::default();
    let held = gate.clone();
    let endpoint = Server::start(move |_| {
        held.pass();
        act()
    });
    (gate, endpoint)
}

/// True while a connection to the address is on its way: asked for, and not taken.
pub fn connecting(to: SocketAddr) -> bool {
    let SocketAddr::V4(to) = to else { return false };
    let to = format!("{:08X}:{:04X}", u32::from_le_bytes(to.ip().octets()), to.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    // Its columns: number, own address, the other one, state; 02 is SYN_SENT.
    table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>()).any(|w| w[2] == to && w[3] == "02")
}

/// Waits for something, ten seconds at most.
pub fn until(what: &str, mut seen: impl FnMut() -> bool) {
    let start = Instant::now();
    while !seen() {
        assert!(start.elapsed() < Duration::from_secs(10), "waited for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
