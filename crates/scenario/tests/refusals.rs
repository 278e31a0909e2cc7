//! Invalid files are rejected with one line that gives the position and the reason.

use mountshift_scenario::{Scenario, ScriptedFaultKind};
use test_case::test_case;

const VALID: &str = r#"format = 1
about = "a day"
length = "10 s"

[relays]
count = 2

[[lane]]
name = "notice"
target = "1 s"
deadline = "8 s"
effect = "retriable"

[[lane]]
name = "booking"
target = "1 s"
deadline = "8 s"
effect = "keyed"
memory = "5 s"

[[destinations]]
name = "banks"
count = 2
endpoints = 2
rate = 10
answers = "80 ms"

[traffic]
rate = 20

[[trouble]]
kind = "hang"
from = "2 s"
to = "4 s"
who = ["banks/1#0"]
"#;

fn rejection(text: &str) -> String {
    Scenario::from_text(text, "day.toml").expect_err("it is rejected").to_string()
}

#[test]
fn valid_scenario_is_read_and_written_back() {
    let day = Scenario::from_text(VALID, "day.toml").expect("a day");
    assert_eq!((day.destination_count(), day.relays.count.get(), day.faults.len()), (2, 2, 1));
    let text = day.to_text().expect("a text");
    let again = Scenario::from_text(&text, "again.toml").expect("the same day");
    assert_eq!(again.to_text().expect("a text"), text);
}

#[test]
fn written_scenario_keeps_the_field_names_of_the_format() {
    let traffic = r#"rate = 20
arrivals = "clumps"
clump = 3

[[traffic.rush]]
from = "1 s"
to = "2 s"
times = 4
"#;
    let more_faults = r#"
[[trouble]]
kind = "heavy-tail"
from = "2 s"
to = "4 s"
who = ["banks"]
each = true
level = 9
lane = "notice"

[[trouble]]
kind = "waves"
from = "2 s"
to = "8 s"
who = ["relays"]
every = "3 s"
lasts = "1 s"

[[trouble]]
kind = "cut"
from = "2 s"
to = "4 s"
who = ["relay/1"]
off = ["banks/0"]
"#;
    let text = VALID.replacen("rate = 20\n", traffic, 1) + more_faults;
    let written = Scenario::from_text(&text, "day.toml").expect("a day").to_text().expect("a text");
    let lines: Vec<&str> = written.lines().collect();
    for line in [
        "about = \"a day\"",
        "arrivals = \"clumps\"",
        "clump = 3.0",
        "[[traffic.rush]]",
        "times = 4.0",
        "[[trouble]]",
        "who = [\"banks\"]",
        "each = true",
        "each = false",
        "lane = \"notice\"",
        "every = \"3 s\"",
        "lasts = \"1 s\"",
        "off = [\"banks/0\"]",
    ] {
        assert!(lines.contains(&line), "{line} in\n{written}");
    }
}

#[test_case("length = \"10 s\"", "length = \"10\"" => "day.toml:3: \"10\" is not a duration; write it as \"1.5 s\", \"200 ms\" or \"2 min\""; "duration without a unit")]
#[test_case("length = \"10 s\"", "length = \"-1 s\"" => "day.toml:3: \"-1 s\" is not a duration; write it as \"1.5 s\", \"200 ms\" or \"2 min\""; "negative duration")]
#[test_case("length = \"10 s\"", "length = \"0 s\"" => "day.toml:3: `length` must be above 0"; "zero length")]
#[test_case("format = 1", "format = 2" => "day.toml:1: format 2 is not supported; this program reads format 1"; "newer format")]
#[test_case("rate = 20", "rate = 0" => "day.toml:29: 0 is not a valid rate: it must be above 0"; "zero traffic rate")]
#[test_case("rate = 20", "rte = 20" => "day.toml:29: unknown field `rte`, expected one of `rate`, `arrivals`, `clump`, `zipf`, `keys`, `rush`, `replay`"; "unknown field")]
#[test_case("count = 2\n\n", "count = 0\n\n" => "day.toml:6: invalid value: integer `0`, expected a nonzero u32"; "zero relays")]
#[test_case("memory = \"5 s\"", "" => "day.toml:17: lane booking: effect `keyed` requires `memory`"; "keyed without memory")]
#[test_case("effect = \"retriable\"", "effect = \"retriable\"\nmemory = \"1 s\"" => "day.toml:11: lane notice: `memory` requires effect `keyed`"; "memory without keyed")]
#[test_case("deadline = \"8 s\"\neffect = \"retriable\"", "deadline = \"1 s\"\neffect = \"retriable\"" => "day.toml:11: lane notice: `deadline` must be longer than `target`"; "deadline equal to the target")]
#[test_case("name = \"booking\"", "name = \"notice\"" => "day.toml:3: two [[lane]] have the name notice"; "duplicate lane name")]
#[test_case("name = \"banks\"", "name = \"a/b\"" => "day.toml:22: \"a/b\" is not a valid name for a group of destinations"; "group name with a separator")]
#[test_case("kind = \"hang\"", "kind = \"hangs\"" => using(|line: String| assert!(line.starts_with("day.toml:32: unknown variant `hangs`"), "{line}")); "unknown fault kind")]
#[test_case("from = \"2 s\"", "from = \"12 s\"\n" => "day.toml:31: hang: `to` must be later than `from`"; "fault that ends before its start")]
#[test_case("from = \"2 s\"\nto = \"4 s\"", "from = \"11 s\"\nto = \"12 s\"" => "day.toml:31: hang: `from` must be within the day, which lasts 10 s"; "fault outside the day")]
#[test_case("banks/1#0", "shops" => "day.toml:31: \"shops\": there is no group of destinations named shops"; "unknown group")]
#[test_case("banks/1#0", "banks/2" => "day.toml:31: \"banks/2\": there is no destination 2; banks has 2, numbered from 0"; "unknown destination")]
#[test_case("banks/1#0", "banks/1#2" => "day.toml:31: \"banks/1#2\": there is no endpoint 2; the destination has 2, numbered from 0"; "unknown endpoint")]
#[test_case("banks/1#0", "banks/x" => "day.toml:31: \"x\" is not a number (as in \"banks/3#0\" or \"relay/2\")"; "not a number")]
#[test_case("banks/1#0", "relay/0" => "day.toml:31: hang: `who` must name endpoints, but \"relay/0\" does not"; "relay in place of endpoints")]
#[test_case("kind = \"hang\"", "kind = \"kill\"" => "day.toml:31: kill: `who` must name relays, but \"banks/1#0\" does not"; "endpoint in place of relays")]
#[test_case("kind = \"hang\"", "kind = \"hang\"\nlevel = 0.5" => "day.toml:31: hang: unexpected level"; "unexpected level")]
#[test_case("kind = \"hang\"", "kind = \"errors\"" => "day.toml:31: errors: missing level"; "missing level")]
#[test_case("kind = \"hang\"", "kind = \"errors\"\nlevel = 1.5" => "day.toml:31: errors: level 1.5 must be from 0 to 1"; "level above 1")]
#[test_case("kind = \"hang\"", "kind = \"errors\"\nlevel = -1" => "day.toml:33: -1 is not a valid amount: it must be at least 0"; "negative level")]
#[test_case("kind = \"hang\"", "kind = \"pauses\"\nevery = \"1 s\"\nlasts = \"1 s\"" => "day.toml:31: pauses: `lasts` must be above 0 and shorter than `every`"; "pause as long as its interval")]
#[test_case("kind = \"hang\"", "kind = \"heavy-tail\"\nlevel = 3\nlane = \"bookings\"" => "day.toml:31: heavy-tail: there is no lane bookings"; "unknown lane")]
#[test_case("who = [\"banks/1#0\"]", "who = []" => "day.toml:31: hang: `who` must name at least one target"; "no target")]
fn invalid_scenario_is_rejected_with_line_and_reason(old: &str, new: &str) -> String {
    assert!(VALID.contains(old), "the text to replace is there");
    rejection(&VALID.replacen(old, new, 1))
}

#[test]
fn recorded_day_must_be_consistent_with_its_scenario() {
    let dir = std::env::temp_dir().join(format!("mountshift-scenario-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let day = dir.join("day.toml");
    std::fs::write(&day, VALID.replacen("rate = 20", "rate = 20\nreplay = \"day.csv\"", 1)).expect("a file");
    let read = |rows: &str| {
        std::fs::write(dir.join("day.csv"), format!("seconds,lane,destinations,number,key\n{rows}"))
            .expect("a file");
        Scenario::read(&day)
            .map_err(|e| e.to_string())
            .map_err(|e| e.rsplit_once('/').map_or(e.clone(), |p| p.1.to_string()))
    };
    let valid = read("0.5,notice,banks,1,0\n2.25,booking,banks,0,7\n").expect("a recorded day");
    assert_eq!(
        (valid.recorded_messages.len(), valid.recorded_messages[1].key, valid.name.as_str()),
        (2, 7, "day")
    );
    let rejection = |rows| read(rows).expect_err("rejected");
    assert_eq!(rejection("0.5,notices,banks,1,0\n"), "day.csv:2: there is no lane notices");
    assert_eq!(read("0.5,notice,banks,2,0\n").expect_err("rejected").lines().count(), 1);
    assert_eq!(
        rejection("3,notice,banks,1,0\n1,notice,banks,1,0\n"),
        "day.csv:3: 1 s is outside the day or earlier than the previous line"
    );
    assert!(rejection("x,notice,banks,1,0\n").starts_with("day.csv:2: "));
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn every_fault_kind_has_a_description_and_its_name_in_errors() {
    for kind in ScriptedFaultKind::ALL {
        let text = format!("kind = \"{kind}\"");
        assert!(!kind.target_kind_and_description().1.is_empty());
        let line = rejection(&VALID.replacen("kind = \"hang\"", &text, 1).replacen(
            "to = \"4 s\"",
            "to = \"1 s\"",
            1,
        ));
        assert_eq!(line, format!("day.toml:31: {kind}: `to` must be later than `from`"));
    }
}
