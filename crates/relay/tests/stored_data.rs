//! State folders written by the previous version (commit 64fb5b4), opened by this version at a restart and by a successor
//! that takes over. See `fixtures/64fb5b4/README.md`.

#[allow(dead_code)]
mod support;

use serde_json::{Value, json};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use support::{discovery::*, process::*, server::*, *};

/// Time at which the active process of the fixtures wrote its last snapshot, just before it was killed (Unix milliseconds).
const FIXTURES_WRITTEN_MS: u64 = 1_796_189_817_036;
/// Fields of a route in the snapshot that hold Unix milliseconds.
const SNAPSHOT_TIMES: [&str; 3] = ["told_until_ms", "open_until_ms", "cold_since_ms"];
/// Rounding error of times, which are converted between clocks of whole milliseconds from file to file.
const ROUNDING_MS: u64 = 2;

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/64fb5b4").join(name)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// Adds `shift_ms` to the little-endian number at `offset`, whose unit is 1/`per_ms` of a millisecond.
fn shift_number(payload: &mut [u8], offset: usize, shift_ms: u64, per_ms: u64) {
    let bytes: [u8; 8] = payload[offset..offset + 8].try_into().expect("eight bytes");
    let shifted = u64::from_le_bytes(bytes) + shift_ms * per_ms;
    payload[offset..offset + 8].copy_from_slice(&shifted.to_le_bytes());
}

/// Returns the spool log with all its times moved by `shift_ms`: deadlines and times of acceptance of messages (`M`) and
/// times of attempts (`L`). All other bytes stay, except for the checksums of the records.
fn shifted_spool(log: &[u8], shift_ms: u64) -> Vec<u8> {
    let (mut rest, mut shifted) = (log, Vec::new());
    while !rest.is_empty() {
        let length = u32::from_le_bytes(rest[..4].try_into().expect("a length")) as usize;
        let mut payload = rest[8..8 + length].to_vec();
        match payload[0] {
            b'M' => {
                // Tag, number, key, deadline; the last field is the time of acceptance in microseconds.
                shift_number(&mut payload, 17, shift_ms, 1);
                shift_number(&mut payload, length - 8, shift_ms, 1_000);
            }
            b'L' => shift_number(&mut payload, 9, shift_ms, 1),
            _ => {}
        }
        shifted.extend(&rest[..4]);
        shifted.extend(crc32fast::hash(&payload).to_le_bytes());
        shifted.extend(payload);
        rest = &rest[8 + length..];
    }
    shifted
}

/// Returns the snapshot with all its times moved by `shift_ms`.
fn shifted_snapshot(text: &str, shift_ms: u64) -> Value {
    let mut snapshot: Value = serde_json::from_str(text).expect("JSON");
    snapshot["written_ms"] = json!(snapshot["written_ms"].as_u64().expect("a time") + shift_ms);
    for route in snapshot["routes"].as_array_mut().expect("routes") {
        for field in SNAPSHOT_TIMES {
            // Zero and null stand for no time.
            if let Some(time) = route[field].as_u64().filter(|time| *time > 0) {
                route[field] = json!(time + shift_ms);
            } else if route[field].is_null() {
                route.as_object_mut().expect("a route").remove(field);
            }
        }
    }
    snapshot
}

/// Returns the drain record with the times of its lines (second word) moved by `shift_ms`.
fn shifted_drain_record(text: &str, shift_ms: u64) -> String {
    let mut lines = text.lines();
    let mut shifted = format!("{}\n", lines.next().expect("a first line"));
    for line in lines {
        let mut words: Vec<String> = line.split(' ').map(str::to_string).collect();
        words[1] = (words[1].parse::<u64>().expect("a time") + shift_ms).to_string();
        shifted.push_str(&words.join(" "));
        shifted.push('\n');
    }
    shifted
}

/// Returns the shift that makes the fixtures look as if their processes had just exited.
fn shift_to_now_ms() -> u64 {
    unix_ms() - FIXTURES_WRITTEN_MS
}

/// Writes a spool of the fixtures into the state folder with its times shifted to the present.
fn write_shifted_spool(state: &Path, name: &str) {
    let log = std::fs::read(fixture_path(name)).expect("a spool");
    std::fs::write(state.join(name), shifted_spool(&log, shift_to_now_ms())).expect("write the file");
}

/// Writes the files of the active process into the state folder as if it had just exited; returns the snapshot as written.
fn write_shifted_state(state: &Path) -> Value {
    let shift_ms = shift_to_now_ms();
    write_shifted_spool(state, "spool.log");
    let read = |name: &str| std::fs::read_to_string(fixture_path(name)).expect("a fixture");
    std::fs::write(state.join("leaving"), shifted_drain_record(&read("leaving"), shift_ms))
        .expect("write the file");
    std::fs::write(state.join("maintenance"), read("maintenance")).expect("write the file");
    let snapshot = shifted_snapshot(&read("handover.json"), shift_ms);
    std::fs::write(state.join("handover.json"), snapshot.to_string()).expect("write the file");
    snapshot
}

/// Takes the lock by which a successor recognises an active process.
fn hold_active_lock(state: &Path) -> File {
    std::fs::create_dir_all(state).expect("create the folder");
    let lock = File::create(state.join("lock")).expect("create the lock file");
    lock.try_lock().expect("no other holder of the lock");
    lock
}

/// Servers for all destinations of the fixtures, and a relay configuration that lists them.
struct Destinations {
    /// Endpoints of destinations 7 to 12 by their ids in the fixtures.
    servers: Vec<(&'static str, Server)>,
    fixture: Fixture,
    admin_address: SocketAddr,
}

fn destinations() -> Destinations {
    let listed = [
        ("e7", 7, "single"),
        ("e8", 8, "bulk"),
        ("e9", 9, "single"),
        ("e10", 10, "single"),
        ("e11-draining", 11, "single"),
        ("e11", 11, "single"),
        ("e12-maintenance", 12, "single"),
        ("e12", 12, "single"),
    ];
    let mut servers = Vec::new();
    let mut members = Vec::new();
    for (name, destination, kind) in listed {
        let server = Server::start(|_| ok());
        members.push(member(name, server.address, destination, kind));
        servers.push((name, server));
    }
    let mut relay_fixture = fixture(0, members);
    let admin_address = free_address();
    relay_fixture.config["mgmt"] = json!(admin_address.to_string());
    relay_fixture.config["settings"]["familyInfo"]["ownLimits"] = json!([false, true]);
    Destinations { servers, fixture: relay_fixture, admin_address }
}

impl Destinations {
    fn state(&self) -> PathBuf {
        self.fixture.dir.path().join("state")
    }

    fn server(&self, name: &str) -> &Server {
        &self.servers.iter().find(|(listed, _)| *listed == name).expect("a server").1
    }

    fn ids(&self, name: &str) -> Vec<String> {
        self.server(name).ids()
    }

    /// Returns the time of the server's first request in Unix milliseconds.
    fn first_request_ms(&self, name: &str) -> u64 {
        let first = self.server(name).requests().first().expect("a request").at;
        unix_ms() - first.elapsed().as_millis() as u64
    }

    /// Sends a POST to the admin address and returns whether the response is a 200.
    fn call(&self, path: &str) -> bool {
        let mut stream = TcpStream::connect(self.admin_address).expect("connect");
        stream.set_read_timeout(Some(ms(5_000))).expect("set the time-out");
        write!(stream, "POST {path} HTTP/1.1\r\nHost: relay\r\n\r\n").expect("send the request");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.starts_with("HTTP/1.1 200")
    }

    /// Waits for the expected end of every message in the fixtures' spools. Messages that are idempotent or never ran are
    /// delivered in the order of their key; non-idempotent ones that may have run are notified as failed.
    fn wait_for_stored_messages(&self) {
        let failed = |id: &str| format!(r#"{{"id":"{id}","state":"failed"}}"#);
        wait_until("the deliveries", || {
            self.ids("e7") == ["ordered-1", "ordered-2"]
                && self.ids("e8") == ["untried"]
                && self.ids("e9") == ["may-have-run-any"]
                && self.ids("e12") == ["held-by-successor"]
        });
        wait_until("the notifications", || {
            let mut notifications = self.fixture.platform.notifications();
            notifications.sort();
            notifications == [failed("may-have-run-once"), failed("pending-outcome")]
        });
        assert_eq!(self.server("e7").requests()[0].body, b"body of ordered-1");
        assert!(self.ids("e10").is_empty() && self.ids("e12-maintenance").is_empty());
    }

    /// Submits messages for a destination and checks that they are sent only to `serving`.
    fn assert_only_one_serves(&self, relay: &Relay, destination: u32, serving: &str, not_serving: &str) {
        let before = self.ids(serving).len();
        for n in 0..12 {
            let id = format!("new-{destination}-{n}");
            assert_eq!(relay.submit(&id, 0, &format!("c=any,d=8000,dest={destination}"), b""), "+OK");
        }
        wait_until("the calls", || self.ids(serving).len() == before + 12);
        assert!(self.ids(not_serving).is_empty(), "{:?}", self.ids(not_serving));
    }
}

#[test]
fn restart_on_state_of_the_previous_version_delivers_messages_and_keeps_drain_and_maintenance() {
    let destinations = destinations();
    let state = destinations.state();
    std::fs::create_dir_all(state.join("next")).expect("create the folder");
    write_shifted_state(&state);
    write_shifted_spool(&state, "next/spool.log");
    let relay = destinations.fixture.start_relay();
    destinations.wait_for_stored_messages();
    destinations.assert_only_one_serves(&relay, 11, "e11", "e11-draining");
    destinations.assert_only_one_serves(&relay, 12, "e12", "e12-maintenance");
    // A restart clears the Retry-Afters, and the successor's spool is merged into the active one.
    assert!(!state.join("next/spool.log").exists());
    let log = destinations.fixture.log();
    assert!(log.contains("starts with 7 messages in its spool"), "{log}");
    assert!(!log.contains("can't be read") && !log.contains("ERROR"), "{log}");
    // The endpoint of the maintenance file can leave maintenance.
    assert!(destinations.call("/maintenance/exit?target=e12-maintenance"));
    for n in 0..40 {
        assert_eq!(relay.submit(&format!("back-{n}"), 0, "c=any,d=8000,dest=12", b""), "+OK");
    }
    wait_until("a call to the endpoint after its maintenance", || {
        !destinations.ids("e12-maintenance").is_empty()
    });
}

#[test]
fn successor_honours_the_handover_snapshot_of_the_previous_version() {
    let destinations = destinations();
    let state = destinations.state();
    let active_lock = hold_active_lock(&state);
    let relay = destinations.fixture.start_relay();
    wait_until("the process to start as a successor", || {
        destinations.fixture.log().contains("another process owns the state folder")
    });
    assert_eq!(relay.submit("from-successor", 0, "c=any,d=15000,dest=10", b""), "+OK");
    assert!(destinations.ids("e10").is_empty(), "a successor must not send");
    let snapshot = write_shifted_state(&state);
    drop(active_lock);
    wait_until("the routes", || {
        destinations.fixture.log().contains("restored 2 routes of the previous process")
    });
    wait_until("the first calls", || {
        !destinations.ids("e7").is_empty() && !destinations.ids("e8").is_empty()
    });
    let retry_after_until = snapshot["routes"][0]["told_until_ms"].as_u64().expect("a time");
    let open_until = snapshot["routes"][1]["open_until_ms"].as_u64().expect("a time");
    let (to_7, to_8) = (destinations.first_request_ms("e7"), destinations.first_request_ms("e8"));
    assert!(
        to_7 + ROUNDING_MS >= retry_after_until,
        "{to_7} before the end of the Retry-After at {retry_after_until}"
    );
    assert!(to_8 + ROUNDING_MS >= open_until, "{to_8} while the breaker is open until {open_until}");
    wait_until("the deliveries", || {
        destinations.ids("e7") == ["ordered-1", "ordered-2"]
            && destinations.ids("e8") == ["untried"]
            && destinations.ids("e9") == ["may-have-run-any"]
            && destinations.ids("e10") == ["from-successor"]
    });
    destinations.assert_only_one_serves(&relay, 11, "e11", "e11-draining");
    destinations.assert_only_one_serves(&relay, 12, "e12", "e12-maintenance");
}

#[test]
fn successor_passes_on_the_snapshot_of_the_previous_version() {
    let destinations = destinations();
    let state = destinations.state();
    let active_lock = hold_active_lock(&state);
    let _relay = destinations.fixture.start_relay();
    wait_until("the process to start as a successor", || {
        destinations.fixture.log().contains("another process owns the state folder")
    });
    // Shifted far enough ahead that none of its times passes during the test.
    let text = std::fs::read_to_string(fixture_path("handover.json")).expect("a fixture");
    let snapshot = shifted_snapshot(&text, shift_to_now_ms() + 8_000);
    std::fs::write(state.join("handover.json"), snapshot.to_string()).expect("write the file");
    drop(active_lock);
    let read = || -> Value {
        let text = std::fs::read_to_string(state.join("handover.json")).expect("read the snapshot");
        serde_json::from_str(&text).expect("JSON")
    };
    wait_until("the successor's own snapshot", || read()["written_ms"] != snapshot["written_ms"]);
    let (written, restored) = (read()["routes"].clone(), snapshot["routes"].clone());
    assert_eq!(written.as_array().map(Vec::len), Some(2), "{written}");
    for (written, restored) in
        written.as_array().expect("routes").iter().zip(restored.as_array().expect("routes"))
    {
        assert_eq!((&written["dst"], &written["endpoint"]), (&restored["dst"], &restored["endpoint"]));
        for field in SNAPSHOT_TIMES {
            let (new, old) = (written[field].as_u64(), restored[field].as_u64());
            let is_near = new.zip(old).map_or(new == old, |(new, old)| new.abs_diff(old) <= ROUNDING_MS);
            assert!(is_near, "{field}: {new:?}, restored as {old:?}");
        }
    }
}

// The active process may be in the middle of an append or a compaction when a successor starts, and still needs the
// incomplete record at the end of the log and the new log. Guards against a successor that opens the active spool: it
// truncated the log after its last complete record and removed the new log.
#[test]
fn starting_successor_does_not_modify_the_spool_of_the_active_process() {
    let destinations = destinations();
    let state = destinations.state();
    let active_lock = hold_active_lock(&state);
    let mut log = std::fs::read(fixture_path("spool.log")).expect("a fixture");
    let incomplete_record = [200, 0, 0, 0, 1, 2, 3, 4, b'M'];
    log.extend(incomplete_record);
    std::fs::write(state.join("spool.log"), &log).expect("write the file");
    let compacted = b"a log that is being compacted";
    std::fs::write(state.join("spool.new"), compacted).expect("write the file");
    let relay = destinations.fixture.start_relay();
    wait_until("the process to start as a successor", || {
        destinations.fixture.log().contains("another process owns the state folder")
    });
    assert_eq!(relay.submit("from-successor", 0, "c=any,d=15000,dest=10", b""), "+OK");
    assert_eq!(std::fs::read(state.join("spool.log")).expect("read the log"), log);
    assert_eq!(std::fs::read(state.join("spool.new")).expect("read the log"), compacted);
    drop(active_lock);
}
