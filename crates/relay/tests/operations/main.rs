//! Admin requests of operators to a relay process that runs against test servers on loopback sockets.

#[allow(dead_code)]
#[path = "../support/mod.rs"]
mod support;

mod maintenance;

use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::{discovery::*, process::*, server::*, *};

/// Sends the bytes and reads the whole response; returns its status code (0 if unreadable) and the time it took.
fn status_and_time(address: SocketAddr, bytes: &[u8]) -> (u16, Duration) {
    let start = Instant::now();
    let text = response_to(address, bytes);
    let code = text.split(' ').nth(1).and_then(|c| c.parse().ok()).unwrap_or(0);
    (code, start.elapsed())
}

/// Sends the bytes and returns the whole response.
fn response_to(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("set the time-out");
    let _ = stream.write_all(bytes);
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

/// Sends a request and returns the status code of the response.
fn call(address: SocketAddr, method: &str, path: &str) -> u16 {
    status_and_time(address, format!("{method} {path} HTTP/1.1\r\nHost: relay\r\n\r\n").as_bytes()).0
}

/// A stand-in platform, and the configuration and folder of a relay with an admin address.
struct AdminFixture {
    dir: tempfile::TempDir,
    config: serde_json::Value,
    admin_address: SocketAddr,
    platform: Platform,
}

fn admin_fixture(members: Vec<serde_json::Value>) -> AdminFixture {
    let platform = Platform::start(0);
    let mut config = config(free_address(), platform.server.address, &members);
    let admin_address = free_address();
    config["mgmt"] = json!(admin_address.to_string());
    platform.set_members(members);
    AdminFixture { dir: tempfile::tempdir().expect("create the folder"), config, admin_address, platform }
}

#[test]
fn admin_requests_are_answered_promptly_and_invalid_ones_with_a_4xx() {
    let fixture = admin_fixture(vec![member("e1", free_address(), 7, "single")]);
    let _relay = Relay::start(&fixture.config, fixture.dir.path());
    assert_eq!(call(fixture.admin_address, "GET", "/status"), 200);
    assert_eq!(call(fixture.admin_address, "GET", "/nothing"), 404);
    assert_eq!(call(fixture.admin_address, "DELETE", "/standby"), 405);
    assert_eq!(call(fixture.admin_address, "POST", "/maintenance/enter?target=never-listed"), 404);
    assert_eq!(call(fixture.admin_address, "POST", "/maintenance/enter"), 400);
    assert_eq!(status_and_time(fixture.admin_address, b"\x16\x03\x01 not http\r\n\r\n").0, 400);
    // An incomplete request gets a 408 within a second, and silent connections delay no other request.
    let silent: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(fixture.admin_address).expect("connect")).collect();
    let (status, elapsed) = status_and_time(fixture.admin_address, b"GET /status HTTP/1.1\r\nHost:");
    assert!(status == 408 && elapsed < ms(1_000), "{status} after {elapsed:?}");
    let (status, elapsed) = status_and_time(fixture.admin_address, b"GET /status HTTP/1.1\r\n\r\n");
    assert!(status == 200 && elapsed < ms(1_000), "{status} after {elapsed:?}");
    drop(silent);
}

#[test]
fn standby_disconnects_clients_and_active_accepts_them_again() {
    let fixture = admin_fixture(vec![member("e1", free_address(), 7, "single")]);
    let relay = Relay::start(&fixture.config, fixture.dir.path());
    let mut idle = relay.client();
    assert_eq!(call(fixture.admin_address, "POST", "/standby"), 200);
    assert_ne!(relay.client().request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    // Standby closes idle connections, but the process keeps serving admin requests.
    let start = Instant::now();
    assert_eq!(idle.read_reply(), "");
    assert!(start.elapsed() < ms(2_000), "{:?}", start.elapsed());
    assert_eq!(call(fixture.admin_address, "GET", "/status"), 200);
    assert_eq!(call(fixture.admin_address, "POST", "/active"), 200);
    assert_eq!(relay.client().request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
}

// A restarted relay serves: its operators restart it to bring it back.
#[test]
fn standby_ends_at_a_restart() {
    let fixture = admin_fixture(vec![member("e1", free_address(), 7, "single")]);
    let mut relay = Relay::start(&fixture.config, fixture.dir.path());
    assert_eq!(call(fixture.admin_address, "POST", "/standby"), 200);
    relay.signal("TERM");
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    let relay = Relay::start(&fixture.config, fixture.dir.path());
    assert_eq!(relay.client().request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
}

#[test]
fn malformed_admin_address_logs_one_line_and_exits_with_code_2() {
    let mut fixture = admin_fixture(vec![]);
    fixture.config["mgmt"] = json!("nowhere");
    let file = fixture.dir.path().join("config.json");
    std::fs::write(&file, fixture.config.to_string()).expect("write the configuration");
    let out = relay_command(&file, fixture.dir.path()).output().expect("start the relay");
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{text}");
    assert!(text.lines().count() == 1 && text.contains("mgmt"), "{text}");
}

#[test]
fn non_string_admin_address_is_rejected() {
    let mut fixture = admin_fixture(vec![]);
    fixture.config["mgmt"] = json!(6379);
    let file = fixture.dir.path().join("config.json");
    std::fs::write(&file, fixture.config.to_string()).expect("write the configuration");
    let mut relay = relay_command(&file, fixture.dir.path())
        .stderr(std::process::Stdio::null())
        .spawn()
        .expect("start the relay");
    let start = Instant::now();
    let code = loop {
        if let Some(status) = relay.try_wait().expect("process status") {
            break status.code();
        }
        if start.elapsed() > ms(5_000) {
            let _ = relay.kill();
            let _ = relay.wait();
            break None;
        }
        std::thread::sleep(ms(10));
    };
    assert_eq!(code, Some(2), "the relay must not start without its admin address");
}

#[test]
fn metrics_count_final_answers_and_report_no_violations() {
    let endpoint = Server::start(|_| ok());
    let fixture = admin_fixture(vec![member("e1", endpoint.address, 7, "single")]);
    let mut relay = Relay::start(&fixture.config, fixture.dir.path());
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
    let metrics = || response_to(fixture.admin_address, b"GET /metrics HTTP/1.1\r\n\r\n");
    wait_until("the delivery", || metrics().contains("mountshift_final_answers_total{kind=\"delivered\"} 1"));
    let text = metrics();
    for kind in ["unsafe_repeat", "second_final_answer", "closed_owing_answer", "out_of_turn"] {
        let line = format!("mountshift_violations_total{{kind=\"{kind}\"}} 0");
        assert!(text.contains(&line), "{text}");
    }
    assert!(text.trim_end().ends_with("# EOF"), "{text}");
    relay.signal("TERM");
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    let log = std::fs::read_to_string(fixture.dir.path().join("log")).expect("read the log");
    assert!(log.contains("0 messages kept, 0 violations"), "{log}");
}

// At a start the previous process may still use the admin address, or the system may briefly lack resources for a socket.
#[test]
fn start_survives_an_admin_address_that_is_briefly_in_use() {
    let fixture = admin_fixture(vec![member("e1", free_address(), 7, "single")]);
    let listener = std::net::TcpListener::bind(fixture.admin_address).expect("the address");
    let release = std::thread::spawn(move || {
        std::thread::sleep(ms(700));
        drop(listener);
    });
    let _relay = Relay::start(&fixture.config, fixture.dir.path());
    release.join().expect("the address is released");
    wait_until("the admin address to accept connections", || {
        TcpStream::connect(fixture.admin_address).is_ok()
    });
    assert_eq!(call(fixture.admin_address, "GET", "/status"), 200);
}
