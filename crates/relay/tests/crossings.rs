//! Two events that cross (docs/crossings.md), each forced by gates in the stand-ins: the relay as a process on
//! loopback, the bytes that came and its log as evidence.

#[allow(dead_code)]
mod standins;

use serde_json::json;
use standins::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The number of milliseconds that a call for the list may wait; none if it does not.
fn wait_of(request: &Request) -> Option<u64> {
    request.path.split("wait=").nth(1)?.parse().ok()
}

/// A discovery whose watches all fall silent: it answers what asks for an answer at once, and never a watch.
fn never_answers_a_watch(list: serde_json::Value) -> impl Fn(&Request) -> Act {
    move |r| {
        let waits = wait_of(r).is_some_and(|wait| wait > 100);
        if waits { Act::Hang } else { answer(200, "", &list.to_string()) }
    }
}

// Guards against a watch that is left silent: what it misses counts as told 6 s after it fell silent (2 s after its
// wait, if that is later), and it used to be left for 63 s.
#[test]
fn a_watch_that_falls_silent_is_broken_off_before_what_it_misses_counts_as_told() {
    let members = [nowhere()];
    let discovery =
        Server::start(never_answers_a_watch(json!({"revision": 2, "complete": true, "members": members})));
    let dir = tempfile::tempdir().expect("a folder");
    let _relay = Relay::start(&config(free(), discovery.address, &members), dir.path());
    let calls = || discovery.requests().into_iter().filter(|r| r.path.starts_with("/catalog")).collect();
    until("a watch, and the call after it", || {
        let calls: Vec<Request> = calls();
        calls.len() >= 3
    });
    let calls: Vec<Request> = calls();
    let watch = &calls[1];
    let told = ms(wait_of(watch).expect("a watch") + 2_000).max(ms(6_000));
    let silent = calls[2].at.duration_since(watch.at);
    assert!(silent + ms(500) < told, "{} again after {silent:?}", watch.path);
    assert!(wait_of(&calls[2]).is_none_or(|wait| wait < 100), "what it missed is asked for at once");
}

// Guards against a whole list at a new address that is waited for as long as a watch: it counts 4 s after SIGHUP.
#[test]
fn a_new_discovery_that_is_silent_at_first_is_asked_again_before_its_list_counts_as_told() {
    let endpoint = Server::start(|_| ok());
    let scene = scene(0, vec![nowhere()]);
    let relay = scene.relay();
    until("the list", || scene.log().contains("list 2:"));
    let (came, list) = (AtomicUsize::new(0), [member("e1", endpoint.address, 7, "single")]);
    let new = Server::start(move |r| {
        if !r.path.starts_with("/catalog") {
            return ok();
        }
        let list = json!({"revision": 1, "complete": true, "members": list}).to_string();
        if came.fetch_add(1, Ordering::SeqCst) == 0 { Act::Hang } else { answer(200, "", &list) }
    });
    let mut config = scene.config.clone();
    config["discovery"] = json!(new.address.to_string());
    std::fs::write(scene.dir.path().join("config.json"), config.to_string()).expect("a config");
    relay.signal("HUP");
    until("the second call", || new.requests().len() >= 2);
    let calls = new.requests();
    let gap = calls[1].at.duration_since(calls[0].at);
    assert!(gap < Duration::from_secs(3), "asked again after {gap:?}");
    until("the new list", || scene.log().contains("list 1: 1 entries"));
    assert_eq!(relay.add("m1", 0, "c=any,d=8000,dest=7", b""), "+OK");
    until("the call", || endpoint.ids() == ["m1"]);
}
