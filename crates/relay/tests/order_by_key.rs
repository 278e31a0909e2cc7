//! Messages of one key never overtake each other, however the call before ends.

#[allow(dead_code)]
#[path = "support/mod.rs"]
mod support;

use crate::support::{client::*, discovery::*, process::*, server::*, *};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// How long a key rests behind an attempt that may still be running. Longer than usual, so that a busy machine's delays
/// can't be taken for it.
const ORDER_PAUSE: Duration = Duration::from_millis(1_200);
/// Without a rest the next message follows within this.
const NO_REST: Duration = Duration::from_millis(800);
/// Messages whose call may end by the relay's limit are given so long.
const SHORT_DEADLINE_MS: u64 = 2_500;
/// Cases that one relay plays beside each other, each at a destination of its own.
const CASES_AT_ONCE: usize = 16;

/// How an endpoint ends its first call, and what follows for the key.
struct Case {
    name: String,
    end: ServerAction,
    /// The call may still be running for all that the relay can tell.
    rests: bool,
    /// Two messages in the call.
    is_batch: bool,
}

fn unfinished(name: &str, steps: Vec<Step>) -> Case {
    Case { name: name.into(), end: ServerAction::Play(steps), rests: true, is_batch: false }
}

fn unfinished_batch(name: &str, steps: Vec<Step>) -> Case {
    Case { is_batch: true, ..unfinished(name, steps) }
}

fn write(text: &str) -> Step {
    Step::Write(text.as_bytes().to_vec())
}

/// Ends of a call behind which the endpoint may still be at work: the relay gave the call up, or the answer broke off.
fn unfinished_ends() -> Vec<Case> {
    const WITH_LENGTH: &str = "HTTP/1.1 500 X\r\nContent-Length: 50\r\n\r\nbegun";
    const BAD_CHUNK: &str = "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbegun";
    let beyond_any_bound = format!("HTTP/1.1 500 X\r\nContent-Length: 900000\r\n\r\n{}", "x".repeat(400_000));
    let dripped = b"HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\nsome text".to_vec();
    let given_up = |name: &str, text: &str| unfinished(name, vec![write(text), Step::AwaitPeer]);
    vec![
        unfinished("no answer", vec![Step::AwaitPeer]),
        unfinished("the end of the connection", vec![]),
        unfinished("a reset", vec![Step::Reset]),
        unfinished("half-closed with no answer", vec![Step::EndSending, Step::AwaitPeer]),
        given_up("a status begun", "HTTP/1.1 5"),
        given_up("a body with a length begun", WITH_LENGTH),
        given_up("a chunk of no size", BAD_CHUNK),
        given_up("a body up to the close begun", "HTTP/1.1 500 X\r\n\r\nbegun"),
        given_up("a body beyond any bound", &beyond_any_bound),
        given_up("bytes that are no HTTP", "what is this\r\n\r\n"),
        given_up("two lengths", "HTTP/1.1 500 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        given_up("a rejection begun", "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nsor"),
        given_up("an interim answer alone", "HTTP/1.1 102 X\r\n\r\n"),
        given_up("a delivery begun", "HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\nbegun"),
        unfinished("a body that breaks off", vec![write(WITH_LENGTH)]),
        unfinished("a body that is reset", vec![write(WITH_LENGTH), Step::Reset]),
        unfinished("a body that is half-closed", vec![write(WITH_LENGTH), Step::EndSending, Step::AwaitPeer]),
        unfinished("a byte each 100 ms", vec![Step::Drip(dripped, ms(100)), Step::AwaitPeer]),
        unfinished_batch("no answer to several", vec![Step::AwaitPeer]),
        unfinished_batch(
            "several, a delivery begun",
            vec![write("HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\n"), Step::AwaitPeer],
        ),
        unfinished_batch(
            "several, a delivery that breaks off",
            vec![write("HTTP/1.1 200 X\r\nContent-Length: 50\r\n\r\n")],
        ),
        unfinished_batch("several, an error begun", vec![write(WITH_LENGTH), Step::AwaitPeer]),
    ]
}

/// Ends of a call that the endpoint told whole: nothing runs any more, and the next message need not wait.
fn whole_answers() -> Vec<Case> {
    let whole = |name: &str, text: &str| {
        let end = ServerAction::Say(text.into(), Duration::ZERO);
        Case { name: name.into(), end, rests: false, is_batch: false }
    };
    vec![
        whole("an error", "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops"),
        whole(
            "an error in chunks",
            "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n",
        ),
        whole(
            "an error, and no more calls",
            "HTTP/1.1 500 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        ),
        whole("a delivery", "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"),
    ]
}

/// What came of a case: the span from the end of the first call to the next message of the key.
struct Played {
    case: Case,
    gap: Option<Duration>,
}

/// How often a process that is held up stands still: at so many of 1,000 reads of a clock, ...
const HELD_UP_RATE: u64 = 20;
/// ... for so long.
const HELD_UP_FOR: Duration = Duration::from_millis(150);

/// Plays cases beside each other, each at a destination of its own: a message of the class, and another one of its key.
fn play(cases: Vec<Case>, class: &str, is_held_up: bool) -> Vec<Played> {
    let servers: Vec<Server> = cases.iter().map(|case| server(case.end.clone())).collect();
    let kind = |case: &Case| if case.is_batch { "bulk" } else { "single" };
    let members: Vec<Value> = (cases.iter().zip(&servers).enumerate())
        .map(|(n, (case, server))| member(&format!("e{n}"), server.address, n as u32 + 1, kind(case)))
        .collect();
    let mut fixture = fixture(0, members);
    fixture.config["settings"]["obligations"]["orderPause"] = json!(ORDER_PAUSE.as_micros() as u64);
    let faults = fixture.faults();
    let relay = fixture.relay_with_faults(&faults);
    let mut client = relay.client();
    if is_held_up {
        faults.set_clock_read_delay(HELD_UP_FOR, HELD_UP_RATE).expect("holds");
    }
    for (n, case) in cases.iter().enumerate() {
        let list = |class: &str| format!("c={class},d={SHORT_DEADLINE_MS},dest={}", n + 1);
        let key = n as u64 + 1;
        let ids = [format!("first{n}"), format!("other{n}"), format!("next{n}")];
        let mut requests = submit_request(&ids[0], key, &list(class), b"x");
        if case.is_batch {
            requests.extend(submit_request(&ids[1], 0, &list("any"), b"x"));
        }
        // Time enough for what follows behind the rest.
        let later = format!("c={class},d=15000,dest={}", n + 1);
        requests.extend(submit_request(&ids[2], key, &later, b"x"));
        client.say(&requests);
        let answers = if case.is_batch { 3 } else { 2 };
        for _ in 0..answers {
            assert_eq!(client.hear(), "+OK");
        }
    }
    let came = |server: &Server, id: &str| {
        server
            .requests()
            .iter()
            .find(|request| request.ids().iter().any(|came| came == id))
            .map(|request| request.at)
    };
    let all_came = || (0..cases.len()).all(|n| came(&servers[n], &format!("next{n}")).is_some());
    let give_up = Instant::now() + Duration::from_secs(14);
    while !all_came() && Instant::now() < give_up {
        std::thread::sleep(ms(20));
    }
    let gap = |n: usize| {
        let ended_at = servers[n].first_end_of(&format!("first{n}"))?;
        let next_at = came(&servers[n], &format!("next{n}"))?;
        Some(next_at.saturating_duration_since(ended_at))
    };
    let gaps: Vec<Option<Duration>> = (0..cases.len()).map(gap).collect();
    cases.into_iter().zip(gaps).map(|(case, gap)| Played { case, gap }).collect()
}

/// An endpoint that ends its first call like this and answers all others.
fn server(first: ServerAction) -> Server {
    let first = std::sync::Mutex::new(Some(first));
    Server::start(move |_| first.lock().expect("an action").take().unwrap_or_else(ok))
}

/// Cases in which the key rested too short, or needlessly.
fn wrong_rests(cases: Vec<Case>, class: &str, is_held_up: bool) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut cases = cases.into_iter().peekable();
    while cases.peek().is_some() {
        let some: Vec<Case> = cases.by_ref().take(CASES_AT_ONCE).collect();
        for Played { case, gap } in play(some, class, is_held_up) {
            let is_right = gap.is_some_and(|gap| if case.rests { gap >= ORDER_PAUSE } else { gap < NO_REST });
            if !is_right {
                wrong.push(format!("{class}: {}: {gap:?}", case.name));
            }
        }
    }
    wrong
}

// What users saw: two messages of one key, the second one at work at its destination while the first may still have been.
// What happened: an endpoint began its answer and went on; the relay gave the call up after half a second, as the answer could
// not be read, and sent the next message of the key 6 to 10 ms later. The protocol calls that a cancel, and an answer that breaks
// off a reset: behind both the key rests.
// The cause: one value told both what was answered and whether the attempt may still be running. An answer that can't be read
// was an error for the circuit breaker, and so it was one for the order of the key.
// The evidence: the gap between the end of a call at its endpoint and the next message of the key, for each kind of answer.
#[test]
fn a_call_given_up_over_its_answer_holds_back_the_rest_of_its_key() {
    let wrong = [wrong_rests(unfinished_ends(), "pay", false), wrong_rests(unfinished_ends(), "line", false)]
        .concat();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

// The rest counts from behind the end of the call, wherever the process stands still in between.
#[test]
fn a_process_that_is_held_up_lets_a_key_rest_as_long() {
    let wrong = wrong_rests(unfinished_ends(), "pay", true);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

// A rest that nothing asks for costs the messages of the key their time.
#[test]
fn a_call_that_was_answered_whole_holds_back_nothing() {
    let wrong = wrong_rests(whole_answers(), "pay", false);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

// A client that heard nothing hands its message in again under a new id, over another connection, while the first request lies
// unread. Whichever connection the relay reads first, the next message of the key comes last, and what nobody waits for any more does not
// come between.
#[test]
fn a_message_handed_in_again_after_silence_keeps_its_place() {
    const ROUNDS: usize = 12;
    let endpoint = Server::start(|_| ok());
    let fixture = fixture(0, vec![member("e1", endpoint.address, 7, "single")]);
    let relay = fixture.relay();
    let request = |id: &str| submit_request(id, 5, "c=pay,d=12000,dest=7", b"x");
    for round in 0..ROUNDS {
        // Open before, so that the order in which the relay looks at them is not that of their beginnings.
        let mut connections = [relay.client(), relay.client()];
        if round % 2 == 1 {
            connections.reverse();
        }
        let [mut silent, mut again] = connections;
        relay.signal("STOP");
        until("the relay to stand still", || relay.is_suspended());
        silent.say(&request(&format!("silent{round}")));
        drop(silent);
        again.say(&request(&format!("again{round}")));
        relay.signal("CONT");
        assert_eq!(again.hear(), "+OK");
        assert_eq!(again.ask(&request(&format!("next{round}"))), "+OK");
        until("the next message", || endpoint.ids().contains(&format!("next{round}")));
    }
    let ids = endpoint.ids();
    for round in 0..ROUNDS {
        let at = |name: &str| ids.iter().position(|id| *id == format!("{name}{round}"));
        assert!(at("again").expect("delivered") < at("next").expect("delivered"), "{ids:?}");
        assert!(at("silent").is_none_or(|silent| silent < at("again").expect("delivered")), "{ids:?}");
    }
}
