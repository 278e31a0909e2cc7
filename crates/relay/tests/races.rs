//! Races between two events, each forced by gates in the test servers. Checked by the requests that relay processes send over
//! loopback and by their log.

#[allow(dead_code)]
mod support;

use serde_json::json;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::{client::*, discovery::*, gate::*, process::*, server::*, *};
use test_case::test_case;

/// Returns the `wait` parameter of a list request in milliseconds, if it has one.
fn wait_ms(request: &Request) -> Option<u64> {
    request.path.split("wait=").nth(1)?.parse().ok()
}

/// Returns the handler of a discovery server that responds to requests without a wait and never to a watch.
fn discovery_without_watch_responses(list: serde_json::Value) -> impl Fn(&Request) -> ServerAction {
    move |r| {
        let is_watch = wait_ms(r).is_some_and(|wait| wait > 100);
        if is_watch { ServerAction::Hang } else { respond(200, "", &list.to_string()) }
    }
}

// Updates missed by a silent watch become binding 6 s after its start, or 2 s after its wait if that is later. Guards
// against a relay that keeps a silent watch longer, for 63 s in one case.
#[test]
fn silent_watch_is_abandoned_before_missed_updates_become_binding() {
    let members = [unreachable_endpoint()];
    let discovery = Server::start(discovery_without_watch_responses(
        json!({"revision": 2, "complete": true, "members": members}),
    ));
    let dir = tempfile::tempdir().expect("create the folder");
    let _relay = Relay::start(&config(free_address(), discovery.address, &members), dir.path());
    let calls = || discovery.requests().into_iter().filter(|r| r.path.starts_with("/catalog")).collect();
    wait_until("a watch and the request after it", || {
        let calls: Vec<Request> = calls();
        calls.len() >= 3
    });
    let calls: Vec<Request> = calls();
    let watch = &calls[1];
    let binding_after = ms(wait_ms(watch).expect("a watch") + 2_000).max(ms(6_000));
    let abandoned_after = calls[2].at.duration_since(watch.at);
    assert!(abandoned_after + ms(500) < binding_after, "{} abandoned after {abandoned_after:?}", watch.path);
    assert!(wait_ms(&calls[2]).is_none_or(|wait| wait < 100), "missed updates are requested without a wait");
}

// The list at a new address becomes binding 4 s after SIGHUP, so the relay must not wait for it as long as for a watch.
#[test]
fn silent_new_discovery_is_polled_again_before_its_list_becomes_binding() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![unreachable_endpoint()]);
    let relay = fixture.start_relay();
    wait_until("the list", || fixture.log().contains("list 2:"));
    let (requests, list) = (AtomicUsize::new(0), [member("e1", endpoint.address, 7, "single")]);
    let new = Server::start(move |r| {
        if !r.path.starts_with("/catalog") {
            return ok();
        }
        let list = json!({"revision": 1, "complete": true, "members": list}).to_string();
        if requests.fetch_add(1, Ordering::SeqCst) == 0 {
            ServerAction::Hang
        } else {
            respond(200, "", &list)
        }
    });
    fixture.write_discovery_address(new.address);
    relay.signal("HUP");
    wait_until("the second call", || new.requests().len() >= 2);
    let calls = new.requests();
    let gap = calls[1].at.duration_since(calls[0].at);
    assert!(gap < Duration::from_secs(3), "polled again after {gap:?}");
    wait_until("the new list", || fixture.log().contains("list 1: 1 entries"));
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    wait_until("the call", || endpoint.ids() == ["m1"]);
}

// Guards against a message that fails without an attempt: if it is recorded as possibly run before its connection is
// established, a non-idempotent message fails at the next start.
#[test_case("TERM")]
#[test_case("KILL")]
fn restart_while_connecting_still_sends_the_message(signal: &str) {
    let (listener, _fillers) = full_listener();
    let address = listener.local_addr().expect("local address");
    let mut fixture = fixture(0, vec![member("e1", address, 7, "single")]);
    fixture.config["settings"]["limits"]["dialTimeout"] = json!(20_000_000);
    let mut relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=once,d=15000,dest=7", b"1"), "+OK");
    wait_until("the connect to start", || is_connecting(address));
    relay.signal(signal);
    relay.wait_for_exit_code();
    let other = Server::start(|_| ok());
    fixture.platform.set_members(vec![member("e1", other.address, 7, "single")]);
    let _relay = fixture.start_relay();
    wait_until("the call", || other.ids() == ["m1"]);
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// A request written completely before the exit may have run: it is repeated only if it is idempotent.
#[test_case("TERM", "once" => 1; "term once")]
#[test_case("KILL", "once" => 1; "kill once")]
#[test_case("TERM", "any" => 2; "term any")]
#[test_case("KILL", "any" => 2; "kill any")]
fn restart_with_a_call_in_flight_repeats_only_idempotent_messages(signal: &str, class: &str) -> usize {
    let (gate, endpoint) = gated_server(ok);
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let mut relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, &format!("c={class},d=15000,dest=7"), b"1"), "+OK");
    gate.wait_for_arrivals(1);
    relay.signal(signal);
    relay.wait_for_exit_code();
    gate.open();
    let relay = fixture.start_relay();
    if class == "once" {
        wait_until("the notification", || {
            fixture.platform.notifications() == [r#"{"id":"m1","state":"failed"}"#]
        });
    } else {
        wait_until("the call", || endpoint.ids().len() == 2);
    }
    // The delivery of another message shows that no further attempt of the first one precedes it.
    assert_eq!(relay.submit("m2", 0, "c=any,d=15000,dest=7", b"2"), "+OK");
    wait_until("the next message", || endpoint.ids().contains(&"m2".into()));
    endpoint.ids().iter().filter(|id| *id == "m1").count()
}

// A response received shortly before the exit is recorded: the message is not sent again.
#[test]
fn response_during_shutdown_is_recorded() {
    let (gate, endpoint) = gated_server(ok);
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let mut relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=15000,dest=7", b"1"), "+OK");
    gate.wait_for_arrivals(1);
    relay.signal("TERM");
    wait_until("the stop", || fixture.log().contains("told to stop, for a restart"));
    gate.open();
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    assert!(fixture.log().contains("stopped with 0 calls in flight, 0 messages kept"), "{}", fixture.log());
    let _relay = fixture.start_relay();
    assert_eq!(endpoint.ids(), ["m1"]);
}

// A tenant that the settings don't list has no quota and uses none of the first tenant's.
#[test]
fn unknown_tenant_uses_no_other_tenants_quota() {
    let (gate, endpoint) = gated_server(ok);
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["tenants"] = json!([{"name": "North Quay", "quotaPerS": 1.0, "portion": 1.0}]);
    fixture.config["settings"]["familyInfo"]["callsOut"] = json!(1);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,t=North Quay,d=15000,dest=7", b"1"), "+OK");
    gate.wait_for_arrivals(1);
    assert_eq!(relay.submit("strange", 0, "c=any,t=north quay,d=15000,dest=7", b"2"), "+OK");
    assert_eq!(relay.submit("m2", 0, "c=any,t=North Quay,d=15000,dest=7", b"3"), "+OK");
    gate.open();
    wait_until("the calls", || endpoint.ids().len() == 3);
    assert_eq!(endpoint.ids(), ["m1", "m2", "strange"]);
}

// Signals are handled until the exit: a new discovery address applies to notifications and the watch while stopping.
#[test]
fn discovery_change_while_stopping_takes_effect() {
    let (gate, endpoint) = gated_server(|| respond(500, "", ""));
    let fixture = fixture(usize::MAX, vec![member("e1", endpoint.address, 7, "single")]);
    let mut relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=once,d=15000,dest=7", b"1"), "+OK");
    gate.wait_for_arrivals(1);
    relay.signal("TERM");
    wait_until("the stop", || fixture.log().contains("told to stop, for a restart"));
    let other = Platform::start(0);
    fixture.write_discovery_address(other.server.address);
    relay.signal("HUP");
    wait_until("the discovery change", || fixture.log().contains("discovery moves from"));
    relay.signal("TERM");
    wait_until("the second stop", || fixture.log().contains("told to stop again"));
    gate.open();
    wait_until("the notification", || other.notifications() == [r#"{"id":"m1","state":"failed"}"#]);
    assert_eq!(relay.wait_for_exit_code(), Some(0));
}

// A connection in the accept queue when the relay disconnects clients must be served, even if its request arrives later: a
// connection closed without a reply counts against the relay. A stopping relay waits 400 ms for the first request of a new
// connection; on a busy machine the late request may arrive after that, and only then may it get no reply. The unit tests
// in `clients/tests.rs` check without a clock that a request in time is always served.
#[test]
fn connection_queued_when_the_listener_closes_is_served() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let mut relay = fixture.start_relay();
    relay.signal("TERM");
    wait_until("the stop", || fixture.log().contains("told to stop, for a restart"));
    relay.signal("STOP");
    wait_until("the relay to be suspended", || relay.is_suspended());
    let (mut early, mut late) = (relay.client(), relay.client());
    early.send(&submit_request("m1", 0, "c=any,d=15000,dest=7", b"1"));
    // Longer than new connections are accepted, so that both the accept and the close are due when the relay resumes.
    std::thread::sleep(ms(600));
    let resumed = std::time::Instant::now();
    relay.signal("CONT");
    wait_until("the listener to close", || std::net::TcpStream::connect(relay.listen).is_err());
    late.send(&submit_request("m2", 0, "c=any,d=15000,dest=7", b"2"));
    // The connection was accepted after the relay resumed, so the 400 ms can't have passed earlier than this.
    let is_in_time = resumed.elapsed() < ms(400);
    let late_reply = late.read_reply();
    assert!(
        late_reply == "+OK" || (late_reply.is_empty() && !is_in_time),
        "{late_reply:?}, in time: {is_in_time}"
    );
    assert_eq!(early.read_reply(), "+OK");
    let delivered = if late_reply == "+OK" { 2 } else { 1 };
    wait_until("the calls", || endpoint.ids().len() == delivered);
    assert_eq!(relay.wait_for_exit_code(), Some(0));
}

// Requests that arrive just as the process exits: every accepted message is acknowledged, and no unacknowledged message is
// kept. The relay is suspended until its exit is due; when it resumes, the requests and the exit are due together.
#[test]
fn shutdown_keeps_exactly_the_acknowledged_messages() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let mut relay = fixture.start_relay();
    let all: Vec<Vec<u8>> =
        (0..60).map(|n| submit_request(&format!("m{n}"), 0, "c=any,d=15000,dest=7", b"x")).collect();
    let bytes = all.concat();
    let mut client = relay.client();
    // An incomplete request keeps its connection open while the relay stops.
    client.send(&bytes[..10]);
    relay.signal("TERM");
    wait_until("the stop", || fixture.log().contains("told to stop, for a restart"));
    let stopped = std::time::Instant::now();
    std::thread::sleep(ms(1_500));
    let first = all[0].len();
    client.send(&bytes[10..first + 10]);
    assert_eq!(client.read_reply(), "+OK");
    std::thread::sleep(ms(3_300).saturating_sub(stopped.elapsed()));
    relay.signal("STOP");
    wait_until("the relay to be suspended", || relay.is_suspended());
    client.send(&bytes[first + 10..]);
    std::thread::sleep(ms(3_700).saturating_sub(stopped.elapsed()));
    relay.signal("CONT");
    let mut replies = vec!["+OK".to_string()];
    while let Some(line) = Some(client.read_reply()).filter(|line| !line.is_empty()) {
        replies.push(line);
    }
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    let acknowledged: Vec<String> =
        (0..).zip(&replies).filter(|r| *r.1 == "+OK").map(|r| format!("m{}", r.0)).collect();
    assert!(replies.iter().all(|line| line == "+OK" || line == "-BUSY"), "{replies:?}");
    let _relay = fixture.start_relay();
    let kept_count = |log: &str| {
        let count =
            log.rsplit(" starts with ").next().and_then(|rest| rest.split(' ').next()?.parse::<usize>().ok());
        count.expect("a number of messages")
    };
    wait_until("the calls", || endpoint.ids().len() > kept_count(&fixture.log()));
    let (mut sent, mut expected) = (endpoint.ids(), acknowledged);
    sent.sort();
    expected.sort();
    assert_eq!(sent, expected, "{replies:?}");
}

// Stored messages refer to their class by name: settings that list the classes in another order must not make a
// non-idempotent message idempotent or the reverse.
#[test]
fn reordered_classes_keep_the_class_of_stored_messages() {
    let (gate, endpoint) = gated_server(ok);
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let mut relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=once,d=15000,dest=7", b"1"), "+OK");
    assert_eq!(relay.submit("m2", 0, "c=any,d=15000,dest=7", b"2"), "+OK");
    gate.wait_for_arrivals(2);
    relay.signal("KILL");
    relay.wait_for_exit_code();
    gate.open();
    let classes = fixture.config["settings"]["classes"].as_array_mut().expect("classes");
    classes.reverse();
    let _relay = fixture.start_relay();
    wait_until("the notification", || {
        fixture.platform.notifications() == [r#"{"id":"m1","state":"failed"}"#]
    });
    wait_until("the retry", || endpoint.ids().iter().filter(|id| *id == "m2").count() == 2);
    assert_eq!(endpoint.ids().iter().filter(|id| *id == "m1").count(), 1);
}

// A list that the old address sends after a change of the discovery address is ignored; the list of the new one stays.
#[test]
fn late_list_from_the_old_discovery_address_is_ignored() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let (e1, e2) = (member("e1", old.address, 7, "single"), member("e2", new.address, 7, "single"));
    let gate = Gate::default();
    let (server_gate, list) = (gate.clone(), json!({"revision": 9, "complete": true, "members": [e1, e2]}));
    // The first list request gets a complete response at once; the watch that follows is held until the change is done.
    let list_requests = AtomicUsize::new(0);
    let old_discovery = Server::start(move |r| {
        if r.path.starts_with("/catalog") && list_requests.fetch_add(1, Ordering::SeqCst) > 0 {
            server_gate.pass();
        }
        respond(200, "", &list.to_string())
    });
    let mut fixture = fixture(0, vec![e2]);
    fixture.config["discovery"] = json!(old_discovery.address.to_string());
    let relay = fixture.start_relay();
    wait_until("the list", || fixture.log().contains("list 9:"));
    gate.wait_for_arrivals(1);
    fixture.write_discovery_address(fixture.platform.server.address);
    relay.signal("HUP");
    wait_until("the new list", || fixture.log().contains("list 2: 1 entries, whole: true"));
    gate.open();
    for n in 0..6 {
        assert_eq!(relay.submit(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    wait_until("the calls", || new.ids().len() == 6);
    assert_eq!((old.ids().len(), fixture.log().matches("list 9:").count()), (0, 1));
}

// A complete list without an endpoint that has a call in flight: the response of the call counts, no new call is made to
// the endpoint, and once it is listed again it is used again.
#[test]
fn call_in_flight_to_an_unlisted_endpoint_ends_with_its_response() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let (old, new) = (
        Server::start(move |_| {
            server_gate.pass();
            ok()
        }),
        Server::start(|_| respond(503, "", "")),
    );
    let (e1, e2) = (member("e1", old.address, 7, "single"), member("e2", new.address, 7, "single"));
    let fixture = fixture(0, vec![e1.clone()]);
    let mut relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=once,d=15000,dest=7", b"1"), "+OK");
    gate.wait_for_arrivals(1);
    fixture.platform.set_members(vec![e2.clone()]);
    wait_until("the list", || fixture.log().contains("list 3:"));
    assert_eq!(relay.submit("m2", 0, "c=once,d=15000,dest=7", b"2"), "+OK");
    wait_until("the other endpoint", || new.ids().contains(&"m2".into()));
    gate.open();
    // After the grace the endpoint is forgotten; its call ended with its response.
    wait_until("the endpoint to be forgotten", || fixture.log().contains("endpoint e1 is forgotten"));
    assert_eq!(old.ids(), ["m1"]);
    fixture.platform.set_members(vec![e1]);
    wait_until("the call", || old.ids() == ["m1", "m2"]);
    relay.signal("TERM");
    assert_eq!(relay.wait_for_exit_code(), Some(0));
    assert!(fixture.log().contains("stopped with 0 calls in flight, 0 messages kept"), "{}", fixture.log());
    assert!(fixture.platform.notifications().is_empty(), "{:?}", fixture.platform.notifications());
}

// Minimal settings: one attempt, no cancelling, no Retry-After for clients, fewer batch sizes than kinds, times as short
// as the margins of the policy. Deliverable messages are delivered; the others end in time with one notification.
#[test]
fn relay_with_minimal_settings_meets_deadlines() {
    let endpoint = Server::start(|_| ok());
    let mut fixture = fixture(
        0,
        vec![member("e1", endpoint.address, 7, "bulk"), member("e2", free_address(), 8, "single")],
    );
    let class = |name: &str, effect: &str, aim: u64, give_up: u64| json!({"name": name, "aim": aim, "giveUp": give_up, "importance": 0.0, "idempotency": effect});
    let settings = &mut fixture.config["settings"];
    settings["classes"] =
        json!([class("Any Thing", "idempotent", 0, 40_000), class("any", "at_most_once", 1, 900_000)]);
    settings["familyInfo"] = json!({"callsOut": 1, "decay": "halving"});
    settings["limits"] = json!({"openCap": 1, "maxAttempts": 1, "connIdle": 1, "dialTimeout": 1_000});
    settings["obligations"] = json!({"coldFrom": 0.0, "warmAfter": 0, "fallMultiple": 0.0, "fall": 0});
    for optional in ["penalties", "tenants", "quantum", "weights", "discovery"] {
        settings.as_object_mut().expect("an object").remove(optional);
    }
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=Any Thing,d=9000,dest=7", b"1"), "+OK");
    wait_until("the call", || endpoint.ids() == ["m1"]);
    assert_eq!(relay.submit("m2", 0, "c=any thing,d=9000,dest=7", b"2"), "-ERR c names no class");
    let started = std::time::Instant::now();
    assert_eq!(relay.submit("m3", 0, "c=any,d=900,dest=8", b"3"), "+OK");
    wait_until("the notification", || !fixture.platform.notifications().is_empty());
    assert!(started.elapsed() < ms(900), "{:?}", started.elapsed());
    assert_eq!(relay.submit("m4", 0, "c=any,d=9000,dest=7", b"4"), "+OK");
    wait_until("the call", || endpoint.ids() == ["m1", "m4"]);
    assert_eq!(fixture.platform.notifications().len(), 1);
}

// A retry whose connection is established only after the deduplication window of the first attempt would run twice.
#[test]
fn retry_connected_after_the_deduplication_window_is_not_sent() {
    let (gate, first) = gated_server(|| respond(500, "", ""));
    let (listener, fillers) = full_listener();
    let address = listener.local_addr().expect("local address");
    let mut fixture = fixture(0, vec![member("e1", first.address, 7, "single")]);
    let classes = fixture.config["settings"]["classes"].as_array_mut().expect("classes");
    classes.push(json!({"name": "known", "aim": 1_500_000, "giveUp": 20_000_000, "importance": 1.0,
        "idempotency": "deduplicated", "memorySpan": 1_500_000, "group": "all"}));
    fixture.config["settings"]["limits"]["dialTimeout"] = json!(20_000_000);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=known,d=15000,dest=7", b"1"), "+OK");
    gate.wait_for_arrivals(1);
    let window_start = std::time::Instant::now();
    fixture.platform.set_members(vec![member("e2", address, 7, "single")]);
    wait_until("the list", || fixture.log().contains("list 3:"));
    gate.open();
    wait_until("the connect to start", || is_connecting(address));
    assert!(window_start.elapsed() < ms(1_400), "the retry must be decided within the deduplication window");
    // The kernel retries the connect until the accept queue has room, which is after the deduplication window.
    std::thread::sleep(ms(1_600).saturating_sub(window_start.elapsed()));
    drop(fillers);
    let second = Server::on(listener, |_| ok());
    wait_until("the notification", || {
        fixture.platform.notifications() == [r#"{"id":"m1","state":"failed"}"#]
    });
    assert_eq!(relay.submit("m2", 0, "c=any,d=15000,dest=7", b"2"), "+OK");
    wait_until("another message", || second.ids().contains(&"m2".into()));
    assert_eq!((first.ids(), second.ids()), (vec!["m1".to_string()], vec!["m2".to_string()]));
}

// An attempt of a message may still be running after the message ended as failed and was forgotten: the next process must
// apply the same hold-off to its key as this one would.
#[test]
fn hold_off_of_a_key_survives_a_kill_after_the_end_of_its_message() {
    const HOLD_OFF: Duration = Duration::from_millis(3_000);
    let hangs = std::sync::atomic::AtomicBool::new(true);
    let endpoint =
        Server::start(move |_| if hangs.swap(false, Ordering::SeqCst) { ServerAction::Hang } else { ok() });
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    fixture.config["settings"]["obligations"]["orderPause"] = json!(HOLD_OFF.as_micros() as u64);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("pay1", 5, "c=pay,d=800,dest=7", b"1"), "+OK");
    assert_eq!(relay.submit("pay2", 5, "c=pay,d=15000,dest=7", b"2"), "+OK");
    wait_until("the notification", || fixture.platform.notifications().len() == 1);
    let ended = std::time::Instant::now();
    // By then the notification is acknowledged and the message is forgotten.
    std::thread::sleep(ms(200));
    relay.signal("KILL");
    drop(relay);
    let _relay = fixture.start_relay();
    wait_until("the second message", || endpoint.ids().len() == 2);
    let sent = endpoint.requests()[1].at;
    assert!(sent.duration_since(ended) >= HOLD_OFF - ms(300), "{:?}", sent.duration_since(ended));
}

// The list changes the address of an endpoint while a call is connecting: the old address may belong to another server by
// now.
#[test]
fn connecting_call_is_not_sent_to_the_former_address_of_its_endpoint() {
    let (listener, fillers) = full_listener();
    let address = listener.local_addr().expect("local address");
    let mut fixture = fixture(0, vec![member("e1", address, 7, "single")]);
    fixture.config["settings"]["limits"]["dialTimeout"] = json!(20_000_000);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=once,d=15000,dest=7", b"1"), "+OK");
    wait_until("the connect to start", || is_connecting(address));
    let moved = Server::start(|_| ok());
    fixture.platform.set_members(vec![member("e1", moved.address, 7, "single")]);
    wait_until("the list", || fixture.log().contains("list 3:"));
    drop(fillers);
    let old = Server::on(listener, |_| ok());
    wait_until("the call", || moved.ids() == ["m1"]);
    assert!(old.ids().is_empty(), "sent to the former address of the endpoint");
}

// The list moves an endpoint id to another destination: messages queued for the first destination must not be sent to it.
#[test]
fn endpoint_moved_to_another_destination_gets_only_messages_of_that_destination() {
    let [first, second] = [(); 2].map(|()| Server::start(|_| ok()));
    let fixture = fixture(0, vec![member("e1", first.address, 7, "single")]);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    wait_until("the first call", || first.ids() == ["m1"]);
    fixture.platform.set_members(vec![
        member("e1", first.address, 8, "single"),
        member("e2", second.address, 7, "single"),
    ]);
    wait_until("the list", || fixture.log().contains("list 3:"));
    for n in 0..10 {
        assert_eq!(relay.submit(&format!("seven{n}"), 0, "c=any,d=8000,dest=7", b""), "+OK");
    }
    assert_eq!(relay.submit("eight", 0, "c=any,d=8000,dest=8", b""), "+OK");
    wait_until("all calls", || first.ids().len() + second.ids().len() >= 12);
    assert_eq!(first.ids(), ["m1", "eight"]);
    assert!(second.ids().iter().all(|id| id.starts_with("seven")), "{:?}", second.ids());
}
