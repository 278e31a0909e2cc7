//! Files that can't be: one line each, with the place and the reason, and nothing is read.

use mountshift_scenario::{Scenario, ScriptedFaultKind};
use test_case::test_case;

const GOOD: &str = r#"format = 1
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

fn refused(text: &str) -> String {
    Scenario::from_text(text, "day.toml").expect_err("it is refused").to_string()
}

#[test]
fn a_good_day_is_read_and_written_back() {
    let day = Scenario::from_text(GOOD, "day.toml").expect("a day");
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
    let text = GOOD.replacen("rate = 20\n", traffic, 1) + more_faults;
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

#[test_case("length = \"10 s\"", "length = \"10\"" => "day.toml:3: \"10\" is no span of time; write it as \"1.5 s\", \"200 ms\" or \"2 min\""; "a span without a unit")]
#[test_case("length = \"10 s\"", "length = \"-1 s\"" => "day.toml:3: \"-1 s\" is no span of time; write it as \"1.5 s\", \"200 ms\" or \"2 min\""; "a negative span")]
#[test_case("length = \"10 s\"", "length = \"0 s\"" => "day.toml:3: length: a day of no length"; "no length")]
#[test_case("format = 1", "format = 2" => "day.toml:1: format 2 is not known; this program reads format 1"; "a newer format")]
#[test_case("rate = 20", "rate = 0" => "day.toml:29: 0 is no rate: it must be above 0"; "no traffic")]
#[test_case("rate = 20", "rte = 20" => "day.toml:29: unknown field `rte`, expected one of `rate`, `arrivals`, `clump`, `zipf`, `keys`, `rush`, `replay`"; "an unknown field")]
#[test_case("count = 2\n\n", "count = 0\n\n" => "day.toml:6: invalid value: integer `0`, expected a nonzero u32"; "no relay")]
#[test_case("memory = \"5 s\"", "" => "day.toml:17: lane booking needs a memory"; "keyed without a memory")]
#[test_case("effect = \"retriable\"", "effect = \"retriable\"\nmemory = \"1 s\"" => "day.toml:11: lane notice takes no memory: it is not keyed"; "a memory for nothing")]
#[test_case("deadline = \"8 s\"\neffect = \"retriable\"", "deadline = \"1 s\"\neffect = \"retriable\"" => "day.toml:11: lane notice: its deadline must come after its target time"; "a deadline at the target time")]
#[test_case("name = \"booking\"", "name = \"notice\"" => "day.toml:3: two lane are called notice"; "two lanes of a name")]
#[test_case("name = \"banks\"", "name = \"a/b\"" => "day.toml:22: \"a/b\" can't name a group of destinations"; "a name that could not be told apart")]
#[test_case("kind = \"hang\"", "kind = \"hangs\"" => using(|line: String| assert!(line.starts_with("day.toml:32: unknown variant `hangs`"), "{line}")); "a trouble that is not known")]
#[test_case("from = \"2 s\"", "from = \"12 s\"\n" => "day.toml:31: hang: it ends before it begins"; "a trouble backwards")]
#[test_case("from = \"2 s\"\nto = \"4 s\"", "from = \"11 s\"\nto = \"12 s\"" => "day.toml:31: hang: it begins after the day, which lasts 10 s"; "a trouble outside the day")]
#[test_case("banks/1#0", "shops" => "day.toml:31: \"shops\": there are no destinations called shops"; "a group that is not there")]
#[test_case("banks/1#0", "banks/2" => "day.toml:31: \"banks/2\": banks has 2 destinations, no 2"; "a destination that is not there")]
#[test_case("banks/1#0", "banks/1#2" => "day.toml:31: \"banks/1#2\": it has 2 endpoints, no 2"; "an endpoint that is not there")]
#[test_case("banks/1#0", "banks/x" => "day.toml:31: \"x\" is no number (as in \"banks/3#0\" or \"relay/2\")"; "no number")]
#[test_case("banks/1#0", "relay/0" => "day.toml:31: hang: it strikes endpoints, and \"relay/0\" names none"; "relays where endpoints are meant")]
#[test_case("kind = \"hang\"", "kind = \"kill\"" => "day.toml:31: kill: it strikes relays, and \"banks/1#0\" names none"; "endpoints where relays are meant")]
#[test_case("kind = \"hang\"", "kind = \"hang\"\nlevel = 0.5" => "day.toml:31: hang: it takes no level"; "a level for nothing")]
#[test_case("kind = \"hang\"", "kind = \"errors\"" => "day.toml:31: errors: it needs level"; "no level")]
#[test_case("kind = \"hang\"", "kind = \"errors\"\nlevel = 1.5" => "day.toml:31: errors: level 1.5 is no share: it must lie from 0 to 1"; "a level above all")]
#[test_case("kind = \"hang\"", "kind = \"errors\"\nlevel = -1" => "day.toml:33: -1 is no amount: it must be at least 0"; "a negative level")]
#[test_case("kind = \"hang\"", "kind = \"pauses\"\nevery = \"1 s\"\nlasts = \"1 s\"" => "day.toml:31: pauses: it must last a while, and less than the gap to the next"; "a pause without a gap")]
#[test_case("kind = \"hang\"", "kind = \"heavy-tail\"\nlevel = 3\nlane = \"bookings\"" => "day.toml:31: heavy-tail: there is no lane bookings"; "a lane that is not there")]
#[test_case("who = [\"banks/1#0\"]", "who = []" => "day.toml:31: hang: who is struck?"; "nobody is struck")]
fn what_can_not_be_is_refused_with_its_place(old: &str, new: &str) -> String {
    assert!(GOOD.contains(old), "the text to change is there");
    refused(&GOOD.replacen(old, new, 1))
}

#[test]
fn a_recorded_day_must_fit() {
    let dir = std::env::temp_dir().join(format!("mountshift-scenario-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let day = dir.join("day.toml");
    std::fs::write(&day, GOOD.replacen("rate = 20", "rate = 20\nreplay = \"day.csv\"", 1)).expect("a file");
    let read = |rows: &str| {
        std::fs::write(dir.join("day.csv"), format!("seconds,lane,destinations,number,key\n{rows}"))
            .expect("a file");
        Scenario::read(&day)
            .map_err(|e| e.to_string())
            .map_err(|e| e.rsplit_once('/').map_or(e.clone(), |p| p.1.to_string()))
    };
    let good = read("0.5,notice,banks,1,0\n2.25,booking,banks,0,7\n").expect("a recorded day");
    assert_eq!(
        (good.recorded_messages.len(), good.recorded_messages[1].key, good.name.as_str()),
        (2, 7, "day")
    );
    let wrong = |rows| read(rows).expect_err("refused");
    assert_eq!(wrong("0.5,notices,banks,1,0\n"), "day.csv:2: there is no lane notices");
    assert_eq!(read("0.5,notice,banks,2,0\n").expect_err("refused").lines().count(), 1);
    assert_eq!(
        wrong("3,notice,banks,1,0\n1,notice,banks,1,0\n"),
        "day.csv:3: 1 s lies outside the day or before the line above"
    );
    assert!(wrong("x,notice,banks,1,0\n").starts_with("day.csv:2: "));
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn every_kind_tells_what_it_does_and_its_own_name() {
    for kind in ScriptedFaultKind::ALL {
        let text = format!("kind = \"{kind}\"");
        assert!(!kind.target_kind_and_description().1.is_empty());
        let line =
            refused(&GOOD.replacen("kind = \"hang\"", &text, 1).replacen("to = \"4 s\"", "to = \"1 s\"", 1));
        assert_eq!(line, format!("day.toml:31: {kind}: it ends before it begins"));
    }
}
