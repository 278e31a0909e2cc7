//! Probes: further faults of upgrades that are named in the report and have no case of their own.

use crate::Verdict;
use crate::client::{self, Message};
use crate::endpoint::{Answer, Endpoint};
use crate::platform::{Member, Platform, list_json};
use crate::record::Record;
use crate::relay::{Relay, Site, wait_for_pong};
use std::thread;
use std::time::Duration;

const PACE: Duration = Duration::from_millis(50);
/// Bounds of the pages: calls within 100 ms of a told wait are let through; every limit is 50 ms longer.
const WAIT_TOLERANCE: Duration = Duration::from_millis(100);
const LIMIT_TOLERANCE: Duration = Duration::from_millis(50);
/// Time from an operator's call to its effect, and the grace of a drain.
const CALL_DELAY: Duration = Duration::from_millis(1_000);
const DRAIN_GRACE: Duration = Duration::from_millis(1_000);

fn status(id: String) -> Message {
    let body = format!("stock of {id}");
    Message { key: 0, id, class: "stock-status", deadline_ms: 8_000, destination: 7, body }
}

fn member(endpoint: &Endpoint) -> Member {
    let (id, address) = (endpoint.name.clone(), endpoint.address);
    Member { id, address, cell: 7, phase: "Ready", size: 40.0 }
}

/// Starts a process and waits until it is ready.
fn start(site: &Site, name: &str) -> Result<Relay, Verdict> {
    let relay = site.start(name);
    if relay.wait_until_ready() && (name != "old" || wait_for_pong(site.clients)) {
        return Ok(relay);
    }
    Err(Verdict::NotRun(format!("{name} did not get ready: {}", site.log(name))))
}

/// A Retry-After told before an upgrade, by an endpoint that the `known` list of the new process lacks. Without the
/// disruption that list is up to date.
pub fn waits(record: &Record, has_trouble: bool) -> Verdict {
    play_waits(record, has_trouble).unwrap_or_else(|verdict| verdict)
}

fn play_waits(record: &Record, has_trouble: bool) -> Result<Verdict, Verdict> {
    let wait = Duration::from_secs(3);
    let endpoint = Endpoint::start(record, "s-1", |_, calls| {
        if calls == 0 { Answer::Refuse(429, "Retry-After: 3\r\n".into()) } else { Answer::Run(PACE) }
    });
    let listed = member(&endpoint);
    let platform = Platform::start(record, 41, std::slice::from_ref(&listed));
    let known = if has_trouble { list_json(40, true, &[]) } else { list_json(41, true, &[listed]) };
    let site = Site::new(record, platform.address, &known);
    let mut old = start(&site, "old")?;
    thread::sleep(Duration::from_millis(300));
    client::hand_in(record, "client", site.clients, &status("9b1f03aa5c7e2d41".into()));
    thread::sleep(Duration::from_millis(300));
    let _new = start(&site, "new")?;
    old.terminate();
    thread::sleep(wait + Duration::from_secs(1));
    let calls = endpoint.calls();
    let Some(told_at) = calls.first().and_then(|call| call.answered_at) else {
        return Ok(Verdict::NotRun("no wait was told".into()));
    };
    let is_early =
        |at: Duration| at > told_at + WAIT_TOLERANCE && at + LIMIT_TOLERANCE < told_at + wait;
    Ok(match calls[1..].iter().find(|call| is_early(call.at)) {
        Some(call) => Verdict::Broken(format!("waits: called {:.3?} after a wait of 3 s", call.at - told_at)),
        None => Verdict::Held,
    })
}

/// Clients are sent away (`POST /standby`), then the relay is upgraded. Without the disruption it is not.
pub fn standby(record: &Record, has_trouble: bool) -> Verdict {
    play_standby(record, has_trouble).unwrap_or_else(|verdict| verdict)
}

fn play_standby(record: &Record, has_trouble: bool) -> Result<Verdict, Verdict> {
    let endpoint = Endpoint::start(record, "s-1", |_, _| Answer::Run(PACE));
    let members = [member(&endpoint)];
    let platform = Platform::start(record, 41, &members);
    let site = Site::new(record, platform.address, &list_json(41, true, &members));
    let mut old = start(&site, "old")?;
    old.operate("/standby");
    thread::sleep(Duration::from_millis(500));
    let _new = if has_trouble {
        let new = start(&site, "new")?;
        old.terminate();
        Some(new)
    } else {
        None
    };
    thread::sleep(Duration::from_secs(4));
    let answer = client::ping(site.clients);
    record.line(format!("front: PING: {answer:?}"));
    Ok(if answer.as_deref() == Some("+PONG") {
        Verdict::Broken("lost: PING still says yes 4 s after the call".into())
    } else {
        Verdict::Held
    })
}

/// Two endpoints are taken out by hand during an upgrade: one at the old process, then one at the new process, or,
/// without the disruption, both at the old one.
pub fn maintenance(record: &Record, has_trouble: bool) -> Verdict {
    play_maintenance(record, has_trouble).unwrap_or_else(|verdict| verdict)
}

fn play_maintenance(record: &Record, has_trouble: bool) -> Result<Verdict, Verdict> {
    let endpoints: Vec<Endpoint> =
        ["s-1", "s-2", "s-3"].iter().map(|name| Endpoint::start(record, name, |_, _| Answer::Run(PACE))).collect();
    let members: Vec<Member> = endpoints.iter().map(member).collect();
    let platform = Platform::start(record, 41, &members);
    let site = Site::new(record, platform.address, &list_json(41, true, &members));
    let mut old = start(&site, "old")?;
    let new = start(&site, "new")?;
    old.operate("/maintenance/enter?target=s-1");
    let second = if has_trouble { &new } else { &old };
    second.operate("/maintenance/enter?target=s-2");
    let out_at = record.elapsed() + CALL_DELAY + DRAIN_GRACE + LIMIT_TOLERANCE;
    old.terminate();
    for number in 0..60 {
        client::hand_in(record, "client", site.clients, &status(format!("9b1f03aa5c7e3d{number:02}")));
        thread::sleep(Duration::from_millis(50));
    }
    let mut broken = Vec::new();
    for endpoint in &endpoints[..2] {
        let late = endpoint.calls().into_iter().filter(|call| call.at > out_at).count();
        record.line(format!("{}: {late} calls while it is out", endpoint.name));
        if late > 0 {
            broken.push(format!("drain: {late} calls to {}, which is out by hand", endpoint.name));
        }
    }
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken.join("; ")) })
}

/// The relay is killed right behind its yes to `POST /maintenance/enter`, and started again. Without the disruption the
/// kill comes a second later.
pub fn kill_behind_yes(record: &Record, has_trouble: bool) -> Verdict {
    play_kill_behind_yes(record, has_trouble).unwrap_or_else(|verdict| verdict)
}

fn play_kill_behind_yes(record: &Record, has_trouble: bool) -> Result<Verdict, Verdict> {
    let endpoints: Vec<Endpoint> =
        ["s-1", "s-2"].iter().map(|name| Endpoint::start(record, name, |_, _| Answer::Run(PACE))).collect();
    let members: Vec<Member> = endpoints.iter().map(member).collect();
    let platform = Platform::start(record, 41, &members);
    let site = Site::new(record, platform.address, &list_json(41, true, &members));
    let mut lost = 0;
    for round in 0..20 {
        let mut relay = start(&site, &format!("round-{round}"))?;
        for number in 0..20 {
            client::hand_in(record, "client", site.clients, &status(format!("9b1f03aa5c7e{round:02}{number:02}")));
        }
        let answer = relay.operate("/maintenance/enter?target=s-1");
        if !has_trouble {
            thread::sleep(Duration::from_secs(1));
        }
        relay.kill();
        let relay = start(&site, &format!("round-{round}-again"))?;
        let again = relay.operate("/maintenance/exit?target=s-1");
        let was_out = again.as_ref().is_some_and(|answer| answer.1 == "back");
        record.line(format!("round {round}: {answer:?}, still out after the kill: {was_out}"));
        lost += usize::from(!was_out);
        thread::sleep(Duration::from_millis(100));
        drop(relay);
    }
    Ok(if lost == 0 { Verdict::Held } else { Verdict::Broken(format!("drain: {lost} of 20 calls were forgotten")) })
}
