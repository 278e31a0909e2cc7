//! Simulated days of the example scenarios, their output formats, and experiments, searches and reports over them.

use mountshift_lab::day::{Day, DayObservation, DayOptions};
use mountshift_lab::experiment::{Estimate, compare, run, summarise, with_value};
use mountshift_lab::hunt::{SearchGoal, find_worst_day};
use mountshift_lab::outcome::{BreachOutcome, DayOutcome};
use mountshift_lab::policy_kind::PolicyKind;
use mountshift_lab::report;
use mountshift_scenario::Scenario;
use proptest::prelude::*;
use std::path::PathBuf;
use test_case::test_case;

fn path(name: &str) -> PathBuf {
    format!("{}/../../examples/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR")).into()
}

fn scenario(name: &str) -> Scenario {
    Scenario::read(&path(name)).expect("a scenario")
}

fn run_day(s: &Scenario, policy: PolicyKind, seed: u64) -> DayOutcome {
    Day::new(s, DayOptions { policy, seed, keep_timeline: false }).run()
}

// Subset of the example scenarios for CI; `mountshift lab run examples/scenarios/*.toml` checks all of them.
#[test_case("calm")]
#[test_case("half-errors")]
#[test_case("shut")]
#[test_case("silent")]
#[test_case("vanish")]
#[test_case("crash-cold")]
#[test_case("resets")]
#[test_case("limit-lies")]
#[test_case("list-late")]
#[test_case("watch-lost")]
#[test_case("address-taken")]
#[test_case("relays-in-waves")]
#[test_case("relay-stalled")]
#[test_case("relay-cut-off")]
#[test_case("clock-step")]
#[test_case("everything")]
#[test_case("fleet-limits")]
#[test_case("fleet-cold")]
#[test_case("fleet-killed")]
fn mountshift_policy_breaks_no_rules(name: &str) {
    let s = scenario(name);
    for seed in [11, 12] {
        let day = run_day(&s, PolicyKind::Mountshift, seed);
        assert!(day.has_no_breaches(), "seed {seed}: {:?} {:#?}", day.breach_counts, day.breaches.first());
        assert!(day.service > 0.5 && day.requests > 100, "{}", day.service);
    }
}

// Each threshold lies between the service measured with and without one mechanism: the backoff and the rate limits of
// a large fleet for `fleet-limits` (0.785 and 0.764) and `fleet-cold` (0.842 and 0.813), and the spread of discovery
// polls over time for `fleet-killed` (0.949 and 0.754).
#[test_case("fleet-limits", 0.775)]
#[test_case("fleet-cold", 0.83)]
#[test_case("fleet-killed", 0.9)]
fn large_fleets_reach_minimum_service(name: &str, min_service: f64) {
    let s = scenario(name);
    let sum: f64 = (1..=3).map(|seed| run_day(&s, PolicyKind::Mountshift, seed).service).sum();
    assert!(sum / 3.0 > min_service, "{}", sum / 3.0);
}

#[test]
fn every_example_scenario_can_be_read() {
    let folder = path("calm").parent().expect("a folder").to_path_buf();
    let files = std::fs::read_dir(folder).expect("a folder").flatten().map(|e| e.path());
    let files: Vec<PathBuf> = files.filter(|p| p.extension().is_some_and(|e| e == "toml")).collect();
    assert!(files.len() >= 25);
    for file in files {
        Scenario::read(&file).unwrap_or_else(|e| panic!("{e}"));
    }
}

fn field_names(value: &toml::Value) -> Vec<&str> {
    let mut names: Vec<&str> = value.as_table().expect("a table").keys().map(String::as_str).collect();
    names.sort_unstable();
    names
}

#[test]
fn results_keep_the_field_names_of_the_output_format() {
    let options = DayOptions { policy: PolicyKind::Mountshift, seed: 3, keep_timeline: true };
    let mut day = Day::new(&scenario("slow"), options).run();
    day.breaches = vec![BreachOutcome { rule: 1, at_s: 1.0, reason: "late".into(), history: Vec::new() }];
    let written = toml::Value::try_from(&day).expect("a day");
    assert_eq!(
        field_names(&written),
        [
            "breaches",
            "calls_into_outages",
            "connections",
            "course",
            "digest",
            "ends",
            "failed",
            "fell_over",
            "lanes",
            "legs",
            "messages",
            "policy",
            "pushed_back",
            "requests",
            "rules",
            "scenario",
            "seed",
            "service",
            "tenants",
            "twins",
            "worst_window"
        ]
    );
    assert_eq!(field_names(&written["breaches"][0]), ["at_s", "rule", "story", "why"]);
    let timeline = &written["course"];
    assert_eq!(
        field_names(timeline),
        ["breakers", "held", "lanes", "legs", "messages", "out", "routes", "tenants", "troubles"]
    );
    assert_eq!(field_names(&timeline["routes"][0]), ["capacity", "name", "reached"]);
    assert_eq!(field_names(&timeline["troubles"][0]), ["from_s", "kind", "to_s", "whom"]);
    let summary = toml::Value::try_from(&summarise(&[day])[0]).expect("a summary");
    assert_eq!(
        field_names(&summary),
        [
            "calls_into_outages",
            "days_broken",
            "fell_over",
            "lanes",
            "legs_per_message",
            "policy",
            "service",
            "twins",
            "worst_window"
        ]
    );
    let days = run(&scenario("slow"), &[PolicyKind::Mountshift], &[1, 2, 3, 4, 5], false, &|_| {});
    let comparison = toml::Value::try_from(compare(&days, &days).expect("pairs")).expect("a comparison");
    assert!(comparison.get("days_broken").is_some(), "{comparison:?}");
}

#[test]
fn trace_does_not_depend_on_the_number_of_threads() {
    let s = scenario("relays-in-waves");
    let trace = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        pool.install(|| {
            let mut lines = Vec::new();
            let mut observer =
                |at: u64, observation: DayObservation| lines.push(format!("{at} {observation:?}"));
            let options = DayOptions { policy: PolicyKind::Mountshift, seed: 3, keep_timeline: false };
            let day = Day::new(&s, options).with_observer(&mut observer).run();
            (lines, day.digest)
        })
    };
    let (one, four) = (trace(1), trace(4));
    assert!(one.0.len() > 5_000);
    assert!(one == four, "traces differ");
    assert_ne!(run_day(&s, PolicyKind::Mountshift, 4).digest, one.1, "another seed gives another day");
}

#[test]
fn policies_serve_between_single_attempt_and_omniscient() {
    // In this scenario retries at another endpoint help and do no harm.
    let s = scenario("one-endpoint-down");
    let days = run(&s, &PolicyKind::ALL, &[1, 2, 3], false, &|_| {});
    let mean_service = |policy: PolicyKind| {
        let services: Vec<f64> =
            days.iter().filter(|d| d.policy == policy.name()).map(|d| d.service).collect();
        services.iter().sum::<f64>() / services.len() as f64
    };
    assert!(
        mean_service(PolicyKind::Omniscient) > mean_service(PolicyKind::SingleAttempt) + 0.05,
        "{} {}",
        mean_service(PolicyKind::Omniscient),
        mean_service(PolicyKind::SingleAttempt)
    );
    for policy in
        [PolicyKind::Backoff, PolicyKind::CircuitBreaker, PolicyKind::LeastInFlight, PolicyKind::Mountshift]
    {
        assert!(mean_service(policy) > mean_service(PolicyKind::SingleAttempt), "{policy:?}");
        assert!(mean_service(policy) < mean_service(PolicyKind::Omniscient) + 0.01, "{policy:?}");
    }
}

#[test]
fn comparison_claims_only_significant_differences() {
    let s = scenario("crash-cold");
    let seeds: Vec<u64> = (1..=8).collect();
    let a = run(&s, &[PolicyKind::Mountshift], &seeds, false, &|_| {});
    let same = compare(&a, &a).expect("pairs");
    assert!(same.conclusion.starts_with("can't be told apart"), "{}", same.conclusion);
    assert_eq!(same.difference.mean, 0.0);
    let b = run(&s, &[PolicyKind::SingleAttempt], &seeds, false, &|_| {});
    let worse = compare(&a, &b).expect("pairs");
    assert!(worse.conclusion.starts_with("A serves better"), "{}", worse.conclusion);
    let few = compare(&a[..3], &b[..3]).expect("pairs");
    assert!(few.conclusion.contains("too few"), "{}", few.conclusion);
    assert!(compare(&a, &[]).is_err());
}

#[test]
fn with_value_changes_the_value_at_a_path() {
    let text = std::fs::read_to_string(path("slow")).expect("a file");
    let changed = with_value(&text, "slow.toml", "trouble.0.level", "3").expect("a scenario");
    assert_eq!(changed.faults[0].as_ref().level.map(|l| l.0), Some(3.0));
    let added = with_value(&text, "slow.toml", "relays.round_gap", "10 ms").expect("a scenario");
    assert_eq!(added.relays.min_step_interval.us(), 10_000);
    let missing = with_value(&text, "slow.toml", "trouble.7.level", "3").expect_err("refused");
    assert_eq!(missing.to_string(), "slow.toml: no value at trouble.7.level: \"7\" does not exist");
    assert!(
        with_value(&text, "slow.toml", "trouble.0.level", "0")
            .expect_err("refused")
            .to_string()
            .contains("does nothing")
    );
}

#[test]
fn worst_day_is_reduced_and_reproducible() {
    let s = scenario("calm");
    let found = find_worst_day(&s, SearchGoal::Loss, 12, 1, &|| {}).expect("a bad day");
    assert!(found.severity.loss() > 0.01 && found.fault_counts.1 <= found.fault_counts.0);
    let text = found.scenario.to_text().expect("a text");
    let again = Scenario::from_text(&text, "found").expect("a scenario");
    let day = run_day(&again, PolicyKind::Mountshift, found.seed);
    assert_eq!(day.service, found.severity.service);
}

#[test]
fn report_is_self_contained() {
    let s = scenario("everything");
    let days = run(
        &s,
        &[PolicyKind::Mountshift, PolicyKind::SingleAttempt, PolicyKind::Omniscient],
        &[1],
        true,
        &|_| {},
    );
    let page = report::page(&s, &days).expect("a page");
    for part in ["<svg", "Policies", "sees-all", "Breaches", "transfer", "throttle-count"] {
        assert!(page.contains(part), "{part}");
    }
    assert!(!page.contains("src=") && !page.contains("href="));
}

#[test]
fn relative_service_is_0_for_single_attempt_and_1_for_omniscient() {
    let s = scenario("silent");
    let days = run(
        &s,
        &[PolicyKind::Mountshift, PolicyKind::SingleAttempt, PolicyKind::Omniscient],
        &[1, 2],
        false,
        &|_| {},
    );
    let summaries = summarise(&days);
    let relative_service = |policy: PolicyKind| {
        summaries.iter().find(|s| s.policy == policy.name()).and_then(|s| s.relative_service)
    };
    assert_eq!(
        (relative_service(PolicyKind::SingleAttempt), relative_service(PolicyKind::Omniscient)),
        (Some(0.0), Some(1.0))
    );
    assert!(relative_service(PolicyKind::Mountshift).is_some_and(|service| service > 0.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn estimate_interval_contains_its_mean(values in proptest::collection::vec(0.0f64..1.0, 1..40)) {
        let e = Estimate::of(&values);
        prop_assert!(e.low <= e.mean + 1e-9 && e.mean <= e.high + 1e-9);
        prop_assert_eq!(e.n, values.len());
    }
}
