//! Requests of clients and the replies to them.

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use serde_json::json;
use std::io::Read;
use std::thread::sleep;
use std::time::Instant;
use test_case::test_case;

#[test_case(b"PING\r\n", "-ERR Protocol error"; "not an array")]
#[test_case(b"*0\r\n", "-ERR Protocol error"; "empty array")]
#[test_case(b"*-1\r\n", "-ERR Protocol error"; "null array")]
#[test_case(b"*99999999999999999999999999\r\n", "-ERR Protocol error"; "count overflow")]
#[test_case(b"*17\r\n", "-ERR Protocol error"; "too many words")]
#[test_case(b"*1\r\n:5\r\n", "-ERR Protocol error"; "not a bulk string")]
#[test_case(b"*1\r\n$-1\r\n", "-ERR Protocol error"; "null bulk string")]
#[test_case(b"*1\r\n$999999999\r\n", "-ERR Protocol error"; "oversized bulk string")]
#[test_case(b"*1\r\n$4\r\nPINGPING\r\n", "-ERR Protocol error"; "wrong length")]
#[test_case(b"*111111111111111111111111111111111111111111111111111", "-ERR Protocol error"; "unterminated count")]
#[test_case(b"*1\r\n$4\r\nNOPE\r\n", "-ERR unknown command"; "unknown command")]
#[test_case(b"*2\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n", "-ERR wrong number"; "missing words")]
#[test_case(&submit_request("m", 0, "d=8000,dest=7", b""), "-ERR c is missing"; "missing class")]
#[test_case(&submit_request("m", 0, "c=none,d=8000,dest=7", b""), "-ERR c names no class"; "unknown class")]
#[test_case(&submit_request("m", 0, "c=any,d=soon,dest=7", b""), "-ERR d is missing"; "unreadable deadline")]
#[test_case(&submit_request("m", 0, "c=any,d=1,dest=99999999999", b""), "-ERR dest is missing"; "destination out of range")]
#[test_case(&submit_request("m", 0, "c=any,d=8000,dest=7", b""), "-ERR dest is not on the list"; "unlisted destination")]
#[test_case(&submit_request("", 0, "c=any,d=8000,dest=7", b""), "-ERR the id"; "empty id")]
#[test_case(&submit_request("a\r\nHost: b", 0, "c=any,d=8000,dest=7", b""), "-ERR the id"; "header injection in the id")]
fn invalid_requests_get_one_line_errors(bytes: &[u8], expected: &str) {
    let fixture = fixture(0, vec![]);
    let relay = fixture.start_relay();
    let reply = relay.client().request(bytes);
    assert!(reply.starts_with(expected), "{reply}");
    assert_eq!(relay.client().request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
}

#[test]
fn silent_and_incomplete_clients_are_disconnected() {
    let fixture = fixture(0, vec![]);
    let relay = fixture.start_relay();
    let start = Instant::now();
    let (mut silent, mut slow, mut kept) = (relay.client(), relay.client(), relay.client());
    slow.send(b"*5\r\n$7\r\nOUT.");
    assert_eq!(kept.request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    assert_eq!((silent.read_reply().as_str(), slow.read_reply().starts_with("-ERR")), ("", true));
    assert!(start.elapsed() < ms(3_000), "{:?}", start.elapsed());
    wait_until("the log lines", || {
        ["silent", "slow"].iter().all(|c| fixture.log().contains(&format!("ended: {c} after")))
    });
    assert_eq!(kept.request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
}

// Closing the connection must not discard the error reply by a reset, neither for an oversized request nor for garbage
// after a valid request.
#[test]
fn error_reply_arrives_while_the_client_is_still_sending() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    let (mut huge, mut mixed) = (relay.client(), relay.client());
    let start = Instant::now();
    huge.send(b"*2\r\n$60000000\r\n");
    huge.send(&vec![b'x'; 60_000_000]);
    assert!(huge.read_reply().starts_with("-ERR Protocol error: invalid bulk length"));
    assert!(start.elapsed() < ms(6_000), "{:?}", start.elapsed());
    mixed.send(
        &[&submit_request("m1", 0, "c=any,d=8000,dest=7", b"x")[..], b"\x00\xffnoise\r\n", &[b'y'; 500_000]]
            .concat(),
    );
    assert_eq!(mixed.read_reply(), "+OK");
    assert!(mixed.read_reply().starts_with("-ERR Protocol error"));
    assert_eq!(mixed.0.read(&mut [0]).expect("closed without a reset"), 0);
}

#[test]
fn abusive_clients_do_not_starve_others() {
    let endpoint = Server::start(|_| ok());
    let mut fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    (fixture.config["limits"]["sockets"], fixture.config["limits"]["memory_mb"]) = (json!(40), json!(2));
    let relay = fixture.start_relay();
    let silent: Vec<Client> = (0..60).map(|_| relay.client()).collect();
    let send_half_a_request = |_| {
        let mut client = relay.client();
        client.send(&[b"*5\r\n$60000\r\n", &[b'x'; 50_000][..]].concat());
        client
    };
    let incomplete: Vec<Client> = (0..20).map(send_half_a_request).collect();
    let mut flooding = relay.client();
    let invalid = submit_request("m", 0, "c=none,d=8000,dest=7", b"");
    flooding.send(&invalid.repeat(400));
    let start = Instant::now();
    let mut replies: Vec<String> =
        (0..30).map(|n| relay.submit(&format!("m{n}"), 0, "c=any,d=8000,dest=7", b"")).collect();
    replies.dedup();
    assert_eq!(replies, ["+OK"]);
    assert!((0..400).all(|_| flooding.read_reply() == "-ERR c names no class"));
    assert!(start.elapsed() < ms(2_000), "{:?}", start.elapsed());
    // The relay reads ever more slowly from a client that keeps sending a rejected request.
    let (start, mut rejections) = (Instant::now(), 0);
    while start.elapsed() < ms(1_000) {
        rejections += usize::from(flooding.request(&invalid).starts_with("-ERR"));
    }
    assert!(rejections < 30, "{rejections}");
    drop((silent, incomplete));
}

#[test]
fn request_of_a_disconnected_client_is_not_accepted() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    let mut client = relay.client();
    assert_eq!(client.request(b"*1\r\n$4\r\nPING\r\n"), "+PONG");
    relay.signal("STOP");
    // On a busy machine the process stops some time after the signal.
    wait_until("the relay to be suspended", || relay.is_suspended());
    client.send(&submit_request("gone", 0, "c=any,d=8000,dest=7", b"1"));
    drop(client);
    relay.signal("CONT");
    assert_eq!(relay.submit("here", 0, "c=any,d=8000,dest=7", b"2"), "+OK");
    wait_until("the other message", || endpoint.ids() == ["here"]);
    sleep(ms(300));
    assert_eq!(endpoint.ids(), ["here"]);
}

// A resubmitted message must not be sent again after it ended. A different message under the same id has not run: `-BUSY`
// lets its client submit it again under another id.
#[test]
fn message_id_is_accepted_once() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x"), "+OK");
    wait_until("the call", || endpoint.ids() == ["m1"]);
    sleep(ms(100));
    assert_eq!(relay.submit("m1", 0, "c=any,d=8000,dest=7", b"x"), "-ERR the id was used before");
    for (key, parameters, body) in
        [(0, "c=any,d=8000,dest=7", b"y"), (5, "c=any,d=8000,dest=7", b"x"), (0, "c=pay,d=8000,dest=7", b"x")]
    {
        assert_eq!(relay.submit("m1", key, parameters, body), "-BUSY");
    }
    sleep(ms(100));
    assert_eq!(endpoint.ids(), ["m1"]);
}

#[test]
fn replies_are_in_request_order_on_each_connection() {
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.start_relay();
    let mut client = relay.client();
    let ping = b"*1\r\n$4\r\nping\r\n".to_vec();
    let add = |id: &str| submit_request(id, 0, "c=any,d=8000,dest=7", b"x");
    client.send(&[add("m1"), ping.clone(), add("m1"), add("m2"), b"*1\r\n$4\r\nQUIT\r\n".to_vec()].concat());
    assert_eq!([(); 5].map(|()| client.read_reply()), ["+OK", "+PONG", "+OK", "+OK", "+OK"]);
    assert_eq!(client.0.read(&mut [0]).expect("closed without a reset"), 0);
    wait_until("both messages", || endpoint.ids().len() == 2);
    sleep(ms(100));
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["m1", "m2"], "submitted twice, sent once");
}
