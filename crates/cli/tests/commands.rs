//! Output and exit codes of the command line.

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

fn code_and_output(out: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

const CALM: &str = "examples/scenarios/calm.toml";
const SLOW: &str = "examples/scenarios/slow.toml";

#[test]
fn run_prints_the_service_and_writes_report_and_results() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = |name: &str| dir.path().join(name).to_str().expect("a name").to_string();
    let (report, results) = (file("page.html"), file("kept.json"));
    let out = mountshift(&["lab", "run", SLOW, "--seeds", "2", "--report", &report, "--save", &results]);
    let (code, stdout, stderr) = code_and_output(&out);
    assert_eq!((code, stderr.as_str()), (Some(0), ""));
    assert!(
        stdout.contains("mountshift") && stdout.contains("kept") && stdout.contains("2 days"),
        "{stdout}"
    );
    assert!(std::fs::read_to_string(&report).expect("a report").contains("<svg"));
    let comparison = mountshift(&["lab", "compare", &results, &results]);
    let (code, stdout, _) = code_and_output(&comparison);
    assert_eq!(code, Some(0));
    assert!(stdout.contains("can't be told apart"), "{stdout}");
}

#[test]
fn json_option_prints_json_only() {
    let (code, stdout, _) = code_and_output(&mountshift(&["lab", "run", CALM, "--seeds", "1", "--json"]));
    let days: serde_json::Value = serde_json::from_str(&stdout).expect("JSON and nothing else");
    assert_eq!(code, Some(0));
    assert_eq!((days[0]["policy"].as_str(), days[0]["rules"][0].as_u64()), (Some("mountshift"), Some(0)));
}

#[test]
fn sweep_compares_each_value_to_the_first() {
    let args = ["lab", "sweep", SLOW, "--value", "trouble.0.level", "--to", "2", "30", "--seeds", "6"];
    let (code, stdout, stderr) = code_and_output(&mountshift(&args));
    assert_eq!((code, stderr.as_str()), (Some(0), ""));
    assert!(stdout.lines().last().is_some_and(|l| l.contains("A serves better")), "{stdout}");
}

#[test]
fn trace_prints_the_history_of_a_known_request() {
    let (code, stdout, _) = code_and_output(&mountshift(&["lab", "trace", CALM, "--request", "3"]));
    assert_eq!(code, Some(0));
    assert!(stdout.contains("(request 3,") && stdout.contains("answered as delivered"), "{stdout}");
    let (code, stdout, stderr) =
        code_and_output(&mountshift(&["lab", "trace", CALM, "--request", "99999999"]));
    assert_eq!(
        (code, stdout.as_str(), stderr.as_str()),
        (Some(2), "", "mountshift: no fact of this day matches the selection")
    );
}

#[test]
fn list_prints_scenarios_and_fault_kinds() {
    let (_, stdout, _) = code_and_output(&mountshift(&["lab", "list"]));
    assert!(stdout.lines().count() >= 25 && stdout.contains("crowd-outage"), "{stdout}");
    let (_, stdout, _) = code_and_output(&mountshift(&["lab", "list", "--troubles"]));
    assert!(stdout.contains("throttle-lies") && stdout.contains("relays"), "{stdout}");
}

#[test_case(&["lab", "run", "no-such-file.toml"] => "mountshift: no-such-file.toml: No such file or directory (os error 2)"; "missing file")]
#[test_case(&["lab", "run", "README.md"] => using(|l: String| assert!(l.starts_with("mountshift: README.md:"), "{l}")); "not a scenario")]
#[test_case(&["lab", "sweep", SLOW, "--value", "trouble.0.level", "--to", "3", "-1"] => using(|l: String| assert!(l.contains("-1") || l.contains("unexpected"), "{l}")); "invalid value")]
#[test_case(&["lab", "trace", SLOW, "--destination", "banks/9"] => "mountshift: there is no destination banks/9"; "unknown destination")]
#[test_case(&["lab", "trace", SLOW] => "mountshift: specify --message, --request, --destination or --everything"; "nothing selected")]
#[test_case(&["lab", "compare", "examples/config.json", "examples/config.json"] => using(|l: String| assert!(l.starts_with("mountshift: examples/config.json: "), "{l}")); "not results")]
fn invalid_input_is_reported_in_one_line_without_a_simulation(args: &[&str]) -> String {
    let (code, stdout, stderr) = code_and_output(&mountshift(args));
    assert_eq!((code, stdout.as_str()), (Some(2), ""));
    if !stderr.starts_with("error:") {
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
    stderr
}
