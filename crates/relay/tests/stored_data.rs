//! State folders that a relay of the version before (commit 64fb5b4) left, opened by this version's process:
//! at a restart, and by a successor that takes over. See `fixtures/64fb5b4/README.md`.

#[allow(dead_code)]
mod support;

use serde_json::{Value, json};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use support::{discovery::*, process::*, server::*, *};

/// Unix milliseconds at which the fixtures' active process wrote its last snapshot, just before it was killed.
const FIXTURES_WRITTEN_MS: u64 = 1_796_189_817_036;
/// Fields of a snapshot's route that hold Unix milliseconds.
const SNAPSHOT_TIMES: [&str; 3] = ["told_until_ms", "open_until_ms", "cold_since_ms"];
/// Times pass through clocks of whole milliseconds on their way from file to file.
const ROUNDING_MS: u64 = 2;

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/64fb5b4").join(name)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64
}

/// Adds `shift_ms` to the little-endian number at `at`, which counts `per_ms` units a millisecond.
fn shift_number(payload: &mut [u8], at: usize, shift_ms: u64, per_ms: u64) {
    let bytes: [u8; 8] = payload[at..at + 8].try_into().expect("eight bytes");
    let shifted = u64::from_le_bytes(bytes) + shift_ms * per_ms;
    payload[at..at + 8].copy_from_slice(&shifted.to_le_bytes());
}

/// The log with all its times moved by `shift_ms`: deadlines and times of acceptance of messages (`M`), times
/// of attempts (`L`). Every other byte stays; the checksums of the records follow.
fn shifted_spool(log: &[u8], shift_ms: u64) -> Vec<u8> {
    let (mut rest, mut shifted) = (log, Vec::new());
    while !rest.is_empty() {
        let length = u32::from_le_bytes(rest[..4].try_into().expect("a length")) as usize;
        let mut payload = rest[8..8 + length].to_vec();
        match payload[0] {
            b'M' => {
                // Tag, number, key, deadline; the time of acceptance comes last, in microseconds.
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

fn shifted_snapshot(text: &str, shift_ms: u64) -> Value {
    let mut snapshot: Value = serde_json::from_str(text).expect("JSON");
    snapshot["written_ms"] = json!(snapshot["written_ms"].as_u64().expect("a time") + shift_ms);
    for route in snapshot["routes"].as_array_mut().expect("routes") {
        for field in SNAPSHOT_TIMES {
            // Zero and absent are no times.
            if let Some(time) = route[field].as_u64().filter(|time| *time > 0) {
                route[field] = json!(time + shift_ms);
            } else if route[field].is_null() {
                route.as_object_mut().expect("a route").remove(field);
            }
        }
    }
    snapshot
}

/// The drain record with the times of its lines (second word) moved by `shift_ms`.
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

/// How far the fixtures' times are from those of processes that end at this moment.
fn shift_to_now_ms() -> u64 {
    unix_ms() - FIXTURES_WRITTEN_MS
}

fn write_shifted_spool(state: &Path, name: &str) {
    let log = std::fs::read(fixture_path(name)).expect("a spool");
    std::fs::write(state.join(name), shifted_spool(&log, shift_to_now_ms())).expect("written");
}

/// Writes what the active process left into the state folder as if it had ended at this moment; the snapshot
/// as it was written there.
fn write_shifted_state(state: &Path) -> Value {
    let shift_ms = shift_to_now_ms();
    write_shifted_spool(state, "spool.log");
    let read = |name: &str| std::fs::read_to_string(fixture_path(name)).expect("a fixture");
    std::fs::write(state.join("leaving"), shifted_drain_record(&read("leaving"), shift_ms)).expect("written");
    std::fs::write(state.join("maintenance"), read("maintenance")).expect("written");
    let snapshot = shifted_snapshot(&read("handover.json"), shift_ms);
    std::fs::write(state.join("handover.json"), snapshot.to_string()).expect("written");
    snapshot
}

/// The active process of the version before, as far as a successor sees it: whoever holds this lock.
fn hold_active_lock(state: &Path) -> File {
    std::fs::create_dir_all(state).expect("a folder");
    let lock = File::create(state.join("lock")).expect("a lock");
    lock.try_lock().expect("nobody else holds the lock");
    lock
}

/// The destinations of the fixtures, all serving by now, and a relay's configuration for them.
struct Destinations {
    /// Of destinations 7 to 12, by the names that the fixtures give them.
    servers: Vec<(&'static str, Server)>,
    fixture: Fixture,
    management: SocketAddr,
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
    let management = free_address();
    relay_fixture.config["mgmt"] = json!(management.to_string());
    relay_fixture.config["settings"]["familyInfo"]["ownLimits"] = json!([false, true]);
    Destinations { servers, fixture: relay_fixture, management }
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

    /// When the server got its first request, Unix milliseconds.
    fn first_request_ms(&self, name: &str) -> u64 {
        let first = self.server(name).requests().first().expect("a request").at;
        unix_ms() - first.elapsed().as_millis() as u64
    }

    fn call(&self, path: &str) -> bool {
        let mut stream = TcpStream::connect(self.management).expect("a connection");
        stream.set_read_timeout(Some(ms(5_000))).expect("a time-out");
        write!(stream, "POST {path} HTTP/1.1\r\nHost: relay\r\n\r\n").expect("written");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.starts_with("HTTP/1.1 200")
    }

    /// Waits for every message in the fixtures' spools to end as it must: what may run again, or never ran, is
    /// delivered, in order within its key; what may have run and must not twice is notified as failed.
    fn stored_messages_end(&self) {
        let failed = |id: &str| format!(r#"{{"id":"{id}","state":"failed"}}"#);
        until("the deliveries", || {
            self.ids("e7") == ["ordered-1", "ordered-2"]
                && self.ids("e8") == ["untried"]
                && self.ids("e9") == ["may-have-run-any"]
                && self.ids("e12") == ["held-by-successor"]
        });
        until("the notifications", || {
            let mut notices = self.fixture.platform.notifications();
            notices.sort();
            notices == [failed("may-have-run-once"), failed("pending-outcome")]
        });
        assert_eq!(self.server("e7").requests()[0].body, b"body of ordered-1");
        assert!(self.ids("e10").is_empty() && self.ids("e12-maintenance").is_empty());
    }

    /// What is submitted for a destination goes to `serving` alone.
    fn only_this_one_serves(&self, relay: &Relay, destination: u32, serving: &str, not_serving: &str) {
        let before = self.ids(serving).len();
        for n in 0..12 {
            let id = format!("new-{destination}-{n}");
            assert_eq!(relay.submit(&id, 0, &format!("c=any,d=8000,dest={destination}"), b""), "+OK");
        }
        until("the calls", || self.ids(serving).len() == before + 12);
        assert!(self.ids(not_serving).is_empty(), "{:?}", self.ids(not_serving));
    }
}

#[test]
fn a_restart_on_the_state_of_the_version_before_delivers_what_is_held_and_honours_drain_and_maintenance() {
    let destinations = destinations();
    let state = destinations.state();
    std::fs::create_dir_all(state.join("next")).expect("a folder");
    write_shifted_state(&state);
    write_shifted_spool(&state, "next/spool.log");
    let relay = destinations.fixture.relay();
    destinations.stored_messages_end();
    destinations.only_this_one_serves(&relay, 11, "e11", "e11-draining");
    destinations.only_this_one_serves(&relay, 12, "e12", "e12-maintenance");
    // A restart starts with the waits over, and the successor's spool is part of the active one's now.
    assert!(!state.join("next/spool.log").exists());
    let log = destinations.fixture.log();
    assert!(log.contains("starts with 7 messages in its spool"), "{log}");
    assert!(!log.contains("can't be read") && !log.contains("ERROR"), "{log}");
    // The maintenance file's endpoint may be put back.
    assert!(destinations.call("/maintenance/exit?target=e12-maintenance"));
    for n in 0..40 {
        assert_eq!(relay.submit(&format!("back-{n}"), 0, "c=any,d=8000,dest=12", b""), "+OK");
    }
    until("a call to the endpoint that is back", || !destinations.ids("e12-maintenance").is_empty());
}

#[test]
fn a_successor_honours_the_handover_snapshot_of_the_version_before() {
    let destinations = destinations();
    let state = destinations.state();
    let active_lock = hold_active_lock(&state);
    let relay = destinations.fixture.relay();
    until("a successor", || destinations.fixture.log().contains("another process owns the state folder"));
    assert_eq!(relay.submit("from-successor", 0, "c=any,d=15000,dest=10", b""), "+OK");
    assert!(destinations.ids("e10").is_empty(), "a successor sends nothing");
    let snapshot = write_shifted_state(&state);
    drop(active_lock);
    until("the routes", || destinations.fixture.log().contains("restores 2 routes of the process before"));
    until("the first calls", || !destinations.ids("e7").is_empty() && !destinations.ids("e8").is_empty());
    let retry_after_until = snapshot["routes"][0]["told_until_ms"].as_u64().expect("a time");
    let open_until = snapshot["routes"][1]["open_until_ms"].as_u64().expect("a time");
    let (to_7, to_8) = (destinations.first_request_ms("e7"), destinations.first_request_ms("e8"));
    assert!(
        to_7 + ROUNDING_MS >= retry_after_until,
        "{to_7} within the Retry-After till {retry_after_until}"
    );
    assert!(to_8 + ROUNDING_MS >= open_until, "{to_8} while the breaker is open till {open_until}");
    until("the deliveries", || {
        destinations.ids("e7") == ["ordered-1", "ordered-2"]
            && destinations.ids("e8") == ["untried"]
            && destinations.ids("e9") == ["may-have-run-any"]
            && destinations.ids("e10") == ["from-successor"]
    });
    destinations.only_this_one_serves(&relay, 11, "e11", "e11-draining");
    destinations.only_this_one_serves(&relay, 12, "e12", "e12-maintenance");
}

#[test]
fn a_successor_leaves_the_snapshot_of_the_version_before_to_the_next_one() {
    let destinations = destinations();
    let state = destinations.state();
    let active_lock = hold_active_lock(&state);
    let _relay = destinations.fixture.relay();
    until("a successor", || destinations.fixture.log().contains("another process owns the state folder"));
    // Far enough ahead that none of its times passes meanwhile.
    let text = std::fs::read_to_string(fixture_path("handover.json")).expect("a fixture");
    let snapshot = shifted_snapshot(&text, shift_to_now_ms() + 8_000);
    std::fs::write(state.join("handover.json"), snapshot.to_string()).expect("written");
    drop(active_lock);
    let read = || -> Value {
        let text = std::fs::read_to_string(state.join("handover.json")).expect("a snapshot");
        serde_json::from_str(&text).expect("JSON")
    };
    until("a snapshot of its own", || read()["written_ms"] != snapshot["written_ms"]);
    let (written, left) = (read()["routes"].clone(), snapshot["routes"].clone());
    assert_eq!(written.as_array().map(Vec::len), Some(2), "{written}");
    for (written, left) in written.as_array().expect("routes").iter().zip(left.as_array().expect("routes")) {
        assert_eq!((&written["dst"], &written["endpoint"]), (&left["dst"], &left["endpoint"]));
        for field in SNAPSHOT_TIMES {
            let (new, old) = (written[field].as_u64(), left[field].as_u64());
            let near = new.zip(old).map_or(new == old, |(new, old)| new.abs_diff(old) <= ROUNDING_MS);
            assert!(near, "{field}: {new:?}, left as {old:?}");
        }
    }
}

// The active process may be in the middle of an append or of a compaction when a successor starts: the half record at
// the log's end and the new log beside it are the active process's own. Guards against a successor that opens the
// active spool to read it: it cut the log behind its last whole record and removed the new log.
#[test]
fn a_starting_successor_leaves_the_spool_of_the_active_process_alone() {
    let destinations = destinations();
    let state = destinations.state();
    let active_lock = hold_active_lock(&state);
    let mut log = std::fs::read(fixture_path("spool.log")).expect("a fixture");
    let half_record = [200, 0, 0, 0, 1, 2, 3, 4, b'M'];
    log.extend(half_record);
    std::fs::write(state.join("spool.log"), &log).expect("written");
    let compacted = b"a log that is being compacted";
    std::fs::write(state.join("spool.new"), compacted).expect("written");
    let relay = destinations.fixture.relay();
    until("a successor", || destinations.fixture.log().contains("another process owns the state folder"));
    assert_eq!(relay.submit("from-successor", 0, "c=any,d=15000,dest=10", b""), "+OK");
    assert_eq!(std::fs::read(state.join("spool.log")).expect("a log"), log);
    assert_eq!(std::fs::read(state.join("spool.new")).expect("a log"), compacted);
    drop(active_lock);
}
