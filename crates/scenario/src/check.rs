//! What no single field can tell: that a scenario fits together.

use crate::{FORMAT, Group, Idempotency, Recorded, Scenario, Strikes, Trouble, Whom};
use std::path::Path;
use toml::Spanned;

/// A byte of the text to point at, and the reason.
type Complaint = (usize, String);

/// Checks a scenario that was read.
pub(crate) fn whole(s: &Scenario) -> Result<(), Complaint> {
    let day = s.length.span().start;
    if s.format != FORMAT {
        return Err((0, format!("format {} is not known; this program reads format {FORMAT}", s.format)));
    }
    if s.length.as_ref().us() == 0 {
        return Err((day, "length: a day of no length".into()));
    }
    if s.zones.is_empty() || s.zones.len() > 200 {
        return Err((0, format!("zones: {} places; one to 200 are possible", s.zones.len())));
    }
    if s.classes.is_empty() || s.groups.is_empty() {
        return Err((0, "a day needs a lane and a group of destinations".into()));
    }
    twice("lane", s.classes.iter().map(|l| (day, l.name.as_str())))?;
    twice("destinations", s.groups.iter().map(|g| (g.name.span().start, g.name.as_ref().as_str())))?;
    for lane in &s.classes {
        let at = lane.deadline.span().start;
        let span = lane.deadline.as_ref();
        if span.0 <= lane.latency_objective.0 {
            return Err((at, format!("lane {}: its deadline must come after its target time", lane.name)));
        }
        let keyed = lane.idempotency == Idempotency::WithKey;
        if keyed != lane.deduplication_window.is_some() {
            let says = if keyed { "needs a memory" } else { "takes no memory: it is not keyed" };
            return Err((at, format!("lane {} {says}", lane.name)));
        }
        if let Some(group) = lane.deduplication_scope.as_ref().filter(|_| !keyed) {
            return Err((group.span().start, format!("lane {} takes no group: it is not keyed", lane.name)));
        }
    }
    for group in &s.groups {
        let (at, name) = (group.name.span().start, group.name.as_ref());
        if name.is_empty() || name == "relay" || name == "relays" || name.contains(['/', '#', '*']) {
            return Err((at, format!("{name:?} can't name a group of destinations")));
        }
    }
    if s.clients.submit_timeout.us() == 0 || s.relays.min_step_interval.us() == 0 {
        return Err((0, "clients.patience and relays.round_gap must be above 0".into()));
    }
    if s.relays.discovery.is_some() && !s.relays.watch {
        return Err((
            0,
            "relays.discovery bounds calls for the list, which relays make only with watch".into(),
        ));
    }
    for rush in &s.traffic.rush {
        let (at, rush) = (rush.span().start, rush.as_ref());
        inside(at, "rush", rush.from.us(), rush.to.us(), s)?;
    }
    s.troubles.iter().try_for_each(|t| trouble(t, s))
}

fn twice<'a>(what: &str, names: impl Iterator<Item = (usize, &'a str)>) -> Result<(), Complaint> {
    let mut seen = std::collections::BTreeSet::new();
    for (at, name) in names {
        if !seen.insert(name) {
            return Err((at, format!("two {what} are called {name}")));
        }
    }
    Ok(())
}

fn inside(at: usize, what: &str, from: u64, to: u64, s: &Scenario) -> Result<(), Complaint> {
    let length = s.length.as_ref();
    if from >= to {
        return Err((at, format!("{what}: it ends before it begins")));
    }
    if from >= length.us() {
        return Err((at, format!("{what}: it begins after the day, which lasts {}", String::from(*length))));
    }
    Ok(())
}

fn trouble(spanned: &Spanned<Trouble>, s: &Scenario) -> Result<(), Complaint> {
    let (at, t) = (spanned.span().start, spanned.as_ref());
    let (knobs, complain) = (t.kind.knobs(), |reason: String| Err((at, format!("{}: {reason}", t.kind))));
    inside(at, &t.kind.to_string(), t.from.us(), t.to.us(), s)?;
    if t.who.is_empty() {
        return complain("who is struck?".into());
    }
    for text in &t.who {
        let whom = whom(at, text, s)?;
        if whom.strikes() != t.kind.strikes().0 {
            let kind = if whom.strikes() == Strikes::Relays { "endpoints" } else { "relays" };
            return complain(format!("it strikes {kind}, and {text:?} names none"));
        }
    }
    let fields = [
        ("level", knobs.part || knobs.level, t.level.is_some()),
        ("every and lasts", knobs.every, t.every.is_some() && t.lasts.is_some()),
        ("every", knobs.every, t.every.is_some()),
        ("lasts", knobs.every, t.lasts.is_some()),
        ("lane", knobs.lane, t.lane.is_some()),
        ("off", knobs.off, !t.off.is_empty()),
    ];
    for (name, needed, there) in fields {
        if needed != there {
            return complain(format!("{} {name}", if needed { "it needs" } else { "it takes no" }));
        }
    }
    match t.level {
        Some(level) if knobs.part && level.0 > 1.0 => {
            return complain(format!("level {} is no share: it must lie from 0 to 1", level.0));
        }
        Some(level) if level.0 == 0.0 => return complain("level 0 does nothing".into()),
        _ => {}
    }
    if let (Some(every), Some(lasts)) = (t.every, t.lasts)
        && (lasts.us() == 0 || lasts.us() >= every.us())
    {
        return complain("it must last a while, and less than the gap to the next".into());
    }
    if let Some(lane) = t.lane.as_ref().filter(|lane| s.classes.iter().all(|l| l.name != **lane)) {
        return complain(format!("there is no lane {lane}"));
    }
    for text in &t.off {
        if whom(at, text, s)?.strikes() == Strikes::Relays {
            return complain(format!("relays are cut off from endpoints, and {text:?} names none"));
        }
    }
    Ok(())
}

/// Reads whom a text names; refuses one who is not there.
fn whom(at: usize, text: &str, s: &Scenario) -> Result<Whom, Complaint> {
    let whom = Whom::read(text).map_err(|reason| (at, reason))?;
    match &whom {
        Whom::Group(name, which, endpoint) => {
            let Some(group) = find(s, name) else {
                return Err((at, format!("{text:?}: there are no destinations called {name}")));
            };
            if let Some(which) = which.filter(|n| *n >= group.count.get()) {
                return Err((at, format!("{text:?}: {name} has {} destinations, no {which}", group.count)));
            }
            if let Some(endpoint) = endpoint.filter(|n| *n >= group.endpoints.get()) {
                return Err((at, format!("{text:?}: it has {} endpoints, no {endpoint}", group.endpoints)));
            }
        }
        Whom::Relay(which) if *which >= s.relays.count.get() => {
            return Err((at, format!("{text:?}: there are {} relays", s.relays.count)));
        }
        _ => {}
    }
    Ok(whom)
}

fn find<'a>(s: &'a Scenario, name: &str) -> Option<&'a Group> {
    s.groups.iter().find(|g| g.name.as_ref() == name)
}

/// Reads a recorded day; every line must fit the scenario.
pub(crate) fn recorded(path: &Path, s: &Scenario) -> Result<Vec<Recorded>, String> {
    let shown = path.display();
    let mut reader = csv::Reader::from_path(path).map_err(|e| format!("{shown}: {e}"))?;
    let mut rows: Vec<Recorded> = Vec::new();
    for (i, row) in reader.deserialize::<Recorded>().enumerate() {
        let complain = |reason: String| format!("{shown}:{}: {reason}", i + 2);
        let row = row.map_err(|e| complain(e.to_string()))?;
        let last = rows.last().map_or(0.0, |r| r.seconds);
        if !(row.seconds >= last && row.seconds <= s.length.as_ref().seconds()) {
            return Err(complain(format!("{} s lies outside the day or before the line above", row.seconds)));
        }
        if s.classes.iter().all(|l| l.name != row.lane) {
            return Err(complain(format!("there is no lane {}", row.lane)));
        }
        if find(s, &row.destinations).is_none_or(|g| row.number >= g.count.get()) {
            return Err(complain(format!("there is no destination {}/{}", row.destinations, row.number)));
        }
        rows.push(row);
    }
    Ok(rows)
}
