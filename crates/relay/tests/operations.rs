//! The second address and what its calls do, with the relay as a process against stand-ins on loopback.

#[allow(dead_code)]
mod support;

use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::{discovery::*, process::*, server::*, *};

/// Sends the bytes, then reads the answer to its end; the status code and how long it took.
fn call_with(at: SocketAddr, bytes: &[u8]) -> (u16, Duration) {
    let start = Instant::now();
    let text = answer_to(at, bytes);
    let code = text.split(' ').nth(1).and_then(|c| c.parse().ok()).unwrap_or(0);
    (code, start.elapsed())
}

/// Sends the bytes; the whole answer.
fn answer_to(at: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    let _ = stream.write_all(bytes);
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

fn call(at: SocketAddr, method: &str, path: &str) -> u16 {
    call_with(at, format!("{method} {path} HTTP/1.1\r\nHost: relay\r\n\r\n").as_bytes()).0
}

struct Ops {
    dir: tempfile::TempDir,
    config: serde_json::Value,
    mgmt: SocketAddr,
    _platform: Platform,
}

fn ops(members: Vec<serde_json::Value>) -> Ops {
    let platform = Platform::start(0);
    let mut config = config(free_address(), platform.server.address, &members);
    let mgmt = free_address();
    config["mgmt"] = json!(mgmt.to_string());
    platform.set(members);
    Ops { dir: tempfile::tempdir().expect("a folder"), config, mgmt, _platform: platform }
}

#[test]
fn admin_requests_are_answered_at_once_and_bad_ones_with_a_4xx() {
    let ops = ops(vec![member("e1", free_address(), 7, "single")]);
    let _relay = Relay::start(&ops.config, ops.dir.path());
    assert_eq!(call(ops.mgmt, "GET", "/status"), 200);
    assert_eq!(call(ops.mgmt, "GET", "/nothing"), 404);
    assert_eq!(call(ops.mgmt, "DELETE", "/standby"), 405);
    assert_eq!(call(ops.mgmt, "POST", "/maintenance/enter?target=never-listed"), 404);
    assert_eq!(call(ops.mgmt, "POST", "/maintenance/enter"), 400);
    assert_eq!(call_with(ops.mgmt, b"\x16\x03\x01 not http\r\n\r\n").0, 400);
    // Half a call, and nothing at all, are cut off within a second, whoever else waits meanwhile.
    let silent: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(ops.mgmt).expect("a connection")).collect();
    let (code, took) = call_with(ops.mgmt, b"GET /status HTTP/1.1\r\nHost:");
    assert!(code == 408 && took < ms(1_000), "{code} after {took:?}");
    let (code, took) = call_with(ops.mgmt, b"GET /status HTTP/1.1\r\n\r\n");
    assert!(code == 200 && took < ms(1_000), "{code} after {took:?}");
    drop(silent);
}

#[test]
fn an_endpoint_in_maintenance_gets_no_calls_even_over_a_restart() {
    let (one, two) = (Server::start(|_| answer(200, "", "")), Server::start(|_| answer(200, "", "")));
    let ops = ops(vec![member("e1", one.address, 7, "single"), member("e2", two.address, 7, "single")]);
    let mut relay = Relay::start(&ops.config, ops.dir.path());
    assert_eq!(call(ops.mgmt, "POST", "/maintenance/enter?target=e1"), 200);
    assert_eq!(call(ops.mgmt, "POST", "/maintenance/enter?target=e1"), 200);
    // Past the drain's grace.
    std::thread::sleep(ms(1_200));
    let before = one.requests().len();
    for n in 0..12 {
        assert_eq!(relay.submit(&format!("a{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    until("the calls", || two.requests().len() >= 12);
    assert_eq!(one.requests().len(), before);
    // The ban outlives the process.
    relay.signal("TERM");
    assert_eq!(relay.code(), Some(0));
    let relay = Relay::start(&ops.config, ops.dir.path());
    for n in 0..12 {
        assert_eq!(relay.submit(&format!("b{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    until("the calls", || two.requests().len() >= 24);
    assert_eq!(one.requests().len(), before);
    assert_eq!(call(ops.mgmt, "POST", "/maintenance/exit?target=e1"), 200);
    for n in 0..40 {
        relay.submit(&format!("c{n}"), 0, "c=any,d=8000,dest=7", b"");
    }
    until("a call to the endpoint that is back", || one.requests().len() > before);
}

#[test]
fn standby_disconnects_clients_and_active_accepts_them_again() {
    let ops = ops(vec![member("e1", free_address(), 7, "single")]);
    let relay = Relay::start(&ops.config, ops.dir.path());
    let mut idle = relay.client();
    assert_eq!(call(ops.mgmt, "POST", "/standby"), 200);
    assert_ne!(relay.client().ask(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    // An idle connection is closed soon; the process stays and answers.
    let start = Instant::now();
    assert_eq!(idle.hear(), "");
    assert!(start.elapsed() < ms(2_000), "{:?}", start.elapsed());
    assert_eq!(call(ops.mgmt, "GET", "/status"), 200);
    assert_eq!(call(ops.mgmt, "POST", "/active"), 200);
    assert_eq!(relay.client().ask(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
}

#[test]
fn a_malformed_admin_address_is_one_line_and_exit_code_2() {
    let mut ops = ops(vec![]);
    ops.config["mgmt"] = json!("nowhere");
    let file = ops.dir.path().join("config.json");
    std::fs::write(&file, ops.config.to_string()).expect("a config");
    let out = command(&file, ops.dir.path()).output().expect("a relay");
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{said}");
    assert!(said.lines().count() == 1 && said.contains("mgmt"), "{said}");
}

#[test]
fn an_admin_address_that_is_not_a_string_is_rejected() {
    let mut ops = ops(vec![]);
    ops.config["mgmt"] = json!(6379);
    let file = ops.dir.path().join("config.json");
    std::fs::write(&file, ops.config.to_string()).expect("a config");
    let mut relay =
        command(&file, ops.dir.path()).stderr(std::process::Stdio::null()).spawn().expect("a relay");
    let start = Instant::now();
    let code = loop {
        if let Some(status) = relay.try_wait().expect("a state") {
            break status.code();
        }
        if start.elapsed() > ms(5_000) {
            let _ = relay.kill();
            let _ = relay.wait();
            break None;
        }
        std::thread::sleep(ms(10));
    };
    assert_eq!(code, Some(2), "a relay that started without its second address");
}

#[test]
fn an_endpoint_in_maintenance_beyond_the_drain_grace_serves_again_afterwards() {
    let one = Server::start(|_| answer(200, "", ""));
    let ops = ops(vec![member("e1", one.address, 7, "single")]);
    let relay = Relay::start(&ops.config, ops.dir.path());
    assert_eq!(call(ops.mgmt, "POST", "/maintenance/enter?target=e1"), 200);
    // Past the drain's grace the decisions forget it: nothing is out to it and no rule needs it.
    until("it is forgotten", || {
        std::fs::read_to_string(ops.dir.path().join("log")).unwrap_or_default().contains("forgotten")
    });
    assert_eq!(call(ops.mgmt, "POST", "/maintenance/exit?target=e1"), 200);
    for n in 0..5 {
        assert_eq!(relay.submit(&format!("a{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    until("calls to the endpoint that is back", || one.requests().len() >= 5);
}

#[test]
fn an_endpoint_forgotten_in_maintenance_over_a_restart_serves_again_afterwards() {
    let one = Server::start(|_| answer(200, "", ""));
    let ops = ops(vec![member("e1", one.address, 7, "single")]);
    let mut relay = Relay::start(&ops.config, ops.dir.path());
    assert_eq!(call(ops.mgmt, "POST", "/maintenance/enter?target=e1"), 200);
    relay.signal("TERM");
    assert_eq!(relay.code(), Some(0));
    let relay = Relay::start(&ops.config, ops.dir.path());
    let forgotten = || std::fs::read_to_string(ops.dir.path().join("log")).unwrap_or_default();
    until("it is forgotten", || forgotten().contains("forgotten while out by hand"));
    for n in 0..5 {
        assert_eq!(relay.submit(&format!("a{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    std::thread::sleep(ms(300));
    assert_eq!(one.requests().len(), 0);
    assert_eq!(call(ops.mgmt, "POST", "/maintenance/exit?target=e1"), 200);
    until("calls to the endpoint that is back", || one.requests().len() >= 5);
}

#[test]
fn metrics_tell_what_ended_and_that_no_guard_found_anything() {
    let endpoint = Server::start(|_| ok());
    let ops = ops(vec![member("e1", endpoint.address, 7, "single")]);
    let mut relay = Relay::start(&ops.config, ops.dir.path());
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
    let metrics = || answer_to(ops.mgmt, b"GET /metrics HTTP/1.1\r\n\r\n");
    until("the delivery", || metrics().contains("mountshift_final_answers_total{kind=\"delivered\"} 1"));
    let text = metrics();
    for kind in ["unsafe_repeat", "second_final_answer", "closed_owing_answer"] {
        let line = format!("mountshift_violations_total{{kind=\"{kind}\"}} 0");
        assert!(text.contains(&line), "{text}");
    }
    assert!(text.trim_end().ends_with("# EOF"), "{text}");
    relay.signal("TERM");
    assert_eq!(relay.code(), Some(0));
    let log = std::fs::read_to_string(ops.dir.path().join("log")).expect("a log");
    assert!(log.contains("0 messages kept, 0 violations"), "{log}");
}

// The address may still be the last process's for a moment, or the system short of what a socket needs.
#[test]
fn a_second_address_that_is_taken_for_a_moment_ends_no_start() {
    let ops = ops(vec![member("e1", free_address(), 7, "single")]);
    let taken = std::net::TcpListener::bind(ops.mgmt).expect("the address");
    let freed = std::thread::spawn(move || {
        std::thread::sleep(ms(700));
        drop(taken);
    });
    let _relay = Relay::start(&ops.config, ops.dir.path());
    freed.join().expect("free");
    until("the second address", || TcpStream::connect(ops.mgmt).is_ok());
    assert_eq!(call(ops.mgmt, "GET", "/status"), 200);
}
