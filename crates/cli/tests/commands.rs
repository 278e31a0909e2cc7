//! The command line as people use it: what it prints, and how it ends.

use std::path::PathBuf;
use std::process::{Command, Output};
use test_case::test_case;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn mountshift(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mountshift"));
    command.current_dir(root()).args(args).output().expect("it runs")
}

fn said(out: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

const CALM: &str = "examples/scenarios/calm.toml";
const SLOW: &str = "examples/scenarios/slow.toml";

#[test]
fn a_run_says_what_service_came_of_it_and_keeps_a_page_and_results() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = |name: &str| dir.path().join(name).to_str().expect("a name").to_string();
    let (page, kept) = (file("page.html"), file("kept.json"));
    let out = mountshift(&["lab", "run", SLOW, "--seeds", "2", "--report", &page, "--save", &kept]);
    let (code, stdout, stderr) = said(&out);
    assert_eq!((code, stderr.as_str()), (Some(0), ""));
    assert!(
        stdout.contains("mountshift") && stdout.contains("kept") && stdout.contains("2 days"),
        "{stdout}"
    );
    assert!(std::fs::read_to_string(&page).expect("a page").contains("<svg"));
    let again = mountshift(&["lab", "compare", &kept, &kept]);
    let (code, stdout, _) = said(&again);
    assert_eq!(code, Some(0));
    assert!(stdout.contains("can't be told apart"), "{stdout}");
}

#[test]
fn json_is_for_programs() {
    let (code, stdout, _) = said(&mountshift(&["lab", "run", CALM, "--seeds", "1", "--json"]));
    let days: serde_json::Value = serde_json::from_str(&stdout).expect("JSON and nothing else");
    assert_eq!(code, Some(0));
    assert_eq!((days[0]["policy"].as_str(), days[0]["rules"][0].as_u64()), (Some("mountshift"), Some(0)));
}

#[test]
fn a_sweep_sets_each_value_against_the_first() {
    let args = ["lab", "sweep", SLOW, "--value", "trouble.0.level", "--to", "2", "30", "--seeds", "6"];
    let (code, stdout, stderr) = said(&mountshift(&args));
    assert_eq!((code, stderr.as_str()), (Some(0), ""));
    assert!(stdout.lines().last().is_some_and(|l| l.contains("A serves better")), "{stdout}");
}

#[test]
fn a_story_is_told_of_what_exists() {
    let (code, stdout, _) = said(&mountshift(&["lab", "trace", CALM, "--request", "3"]));
    assert_eq!(code, Some(0));
    assert!(stdout.contains("(request 3,") && stdout.contains("answered as delivered"), "{stdout}");
    let (code, stdout, stderr) = said(&mountshift(&["lab", "trace", CALM, "--request", "99999999"]));
    assert_eq!(
        (code, stdout.as_str(), stderr.as_str()),
        (Some(2), "", "mountshift: nothing on this day is about that")
    );
}

#[test]
fn the_library_and_the_troubles_are_listed() {
    let (_, stdout, _) = said(&mountshift(&["lab", "list"]));
    assert!(stdout.lines().count() >= 25 && stdout.contains("crowd-outage"), "{stdout}");
    let (_, stdout, _) = said(&mountshift(&["lab", "list", "--troubles"]));
    assert!(stdout.contains("throttle-lies") && stdout.contains("relays"), "{stdout}");
}

#[test_case(&["lab", "run", "no-such-file.toml"] => "mountshift: no-such-file.toml: No such file or directory (os error 2)"; "no file")]
#[test_case(&["lab", "run", "README.md"] => using(|l: String| assert!(l.starts_with("mountshift: README.md:"), "{l}")); "no scenario")]
#[test_case(&["lab", "sweep", SLOW, "--value", "trouble.0.level", "--to", "3", "-1"] => using(|l: String| assert!(l.contains("-1") || l.contains("unexpected"), "{l}")); "a value that can't be")]
#[test_case(&["lab", "trace", SLOW, "--destination", "banks/9"] => "mountshift: there is no destination banks/9"; "no destination")]
#[test_case(&["lab", "trace", SLOW] => "mountshift: name a --message, a --request, a --destination, or --everything"; "nothing asked")]
#[test_case(&["lab", "compare", "examples/config.json", "examples/config.json"] => using(|l: String| assert!(l.starts_with("mountshift: examples/config.json: "), "{l}")); "no results")]
fn bad_input_is_one_line_and_nothing_is_played(args: &[&str]) -> String {
    let (code, stdout, stderr) = said(&mountshift(args));
    assert_eq!((code, stdout.as_str()), (Some(2), ""));
    if !stderr.starts_with("error:") {
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
    stderr
}
