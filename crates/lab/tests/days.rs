//! Days of the library, played and judged; the same trace whatever the threads; experiments that know what they
//! don't know.

use mountshift_lab::day::{Day, DayObservation, DayOptions};
use mountshift_lab::experiment::{Estimate, compare, run, summarise, with_value};
use mountshift_lab::hunt::{SearchGoal, hunt};
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

fn play(s: &Scenario, which: PolicyKind, seed: u64) -> DayOutcome {
    Day::new(s, DayOptions { policy: which, seed, keep_timeline: false }).run()
}

// The short form of the library that CI judges; `mountshift lab run examples/scenarios/*.toml` plays all of it.
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
fn the_decisions_keep_the_rules(name: &str) {
    let s = scenario(name);
    for seed in [11, 12] {
        let day = play(&s, PolicyKind::Mountshift, seed);
        assert!(day.has_no_breaches(), "seed {seed}: {:?} {:#?}", day.breach_counts, day.breaches.first());
        assert!(day.service > 0.5 && day.requests > 100, "{}", day.service);
    }
}

// Each lies between what the day serves and what it served with one guard taken out: the backoff and rate limits of
// a large fleet (0.785 and 0.764; 0.842 and 0.813), the spread of polls of discovery (0.949 and 0.754).
#[test_case("fleet-limits", 0.775)]
#[test_case("fleet-cold", 0.83)]
#[test_case("fleet-killed", 0.9)]
fn large_fleets_are_served(name: &str, least: f64) {
    let s = scenario(name);
    let served: f64 = (1..=3).map(|seed| play(&s, PolicyKind::Mountshift, seed).service).sum();
    assert!(served / 3.0 > least, "{}", served / 3.0);
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
    let course = &written["course"];
    assert_eq!(
        field_names(course),
        ["breakers", "held", "lanes", "legs", "messages", "out", "routes", "tenants", "troubles"]
    );
    assert_eq!(field_names(&course["routes"][0]), ["capacity", "name", "reached"]);
    assert_eq!(field_names(&course["troubles"][0]), ["from_s", "kind", "to_s", "whom"]);
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
fn one_seed_gives_one_trace_whatever_the_threads() {
    let s = scenario("relays-in-waves");
    let trace = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
        pool.install(|| {
            let mut lines = Vec::new();
            let mut watch = |at: u64, seen: DayObservation| lines.push(format!("{at} {seen:?}"));
            let play = DayOptions { policy: PolicyKind::Mountshift, seed: 3, keep_timeline: false };
            let day = Day::new(&s, play).with_observer(&mut watch).run();
            (lines, day.digest)
        })
    };
    let (one, four) = (trace(1), trace(4));
    assert!(one.0.len() > 5_000);
    assert!(one == four, "traces differ");
    assert_ne!(play(&s, PolicyKind::Mountshift, 4).digest, one.1, "another seed gives another day");
}

#[test]
fn textbook_policies_serve_between_floor_and_top() {
    // A day on which a retry elsewhere helps and does no harm.
    let s = scenario("one-endpoint-down");
    let days = run(&s, &PolicyKind::ALL, &[1, 2, 3], false, &|_| {});
    let of = |which: PolicyKind| {
        let days: Vec<f64> = days.iter().filter(|d| d.policy == which.name()).map(|d| d.service).collect();
        days.iter().sum::<f64>() / days.len() as f64
    };
    assert!(
        of(PolicyKind::Omniscient) > of(PolicyKind::SingleAttempt) + 0.05,
        "{} {}",
        of(PolicyKind::Omniscient),
        of(PolicyKind::SingleAttempt)
    );
    for which in
        [PolicyKind::Backoff, PolicyKind::CircuitBreaker, PolicyKind::LeastInFlight, PolicyKind::Mountshift]
    {
        assert!(of(which) > of(PolicyKind::SingleAttempt), "{which:?}");
        assert!(of(which) < of(PolicyKind::Omniscient) + 0.01, "{which:?}");
    }
}

#[test]
fn comparison_claims_a_difference_only_where_there_is_one() {
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
fn a_value_is_changed_by_its_path() {
    let text = std::fs::read_to_string(path("slow")).expect("a file");
    let changed = with_value(&text, "slow.toml", "trouble.0.level", "3").expect("a scenario");
    assert_eq!(changed.faults[0].as_ref().level.map(|l| l.0), Some(3.0));
    let set = with_value(&text, "slow.toml", "relays.round_gap", "10 ms").expect("a scenario");
    assert_eq!(set.relays.min_step_interval.us(), 10_000);
    let none = with_value(&text, "slow.toml", "trouble.7.level", "3").expect_err("refused");
    assert_eq!(none.to_string(), "slow.toml: there is no trouble.7.level: nothing at \"7\"");
    assert!(
        with_value(&text, "slow.toml", "trouble.0.level", "0")
            .expect_err("refused")
            .to_string()
            .contains("does nothing")
    );
}

#[test]
fn hunt_finds_a_reduced_day_that_can_be_played_again() {
    let s = scenario("calm");
    let found = hunt(&s, SearchGoal::Loss, 12, 1, &|| {}).expect("a bad day");
    assert!(found.severity.loss() > 0.01 && found.fault_counts.1 <= found.fault_counts.0);
    let text = found.scenario.to_text().expect("a text");
    let again = Scenario::from_text(&text, "found").expect("a scenario");
    let day = play(&again, PolicyKind::Mountshift, found.seed);
    assert_eq!(day.service, found.severity.service);
}

#[test]
fn a_report_is_one_page_that_needs_nothing_else() {
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
fn summary_places_policies_between_floor_and_top() {
    let s = scenario("silent");
    let days = run(
        &s,
        &[PolicyKind::Mountshift, PolicyKind::SingleAttempt, PolicyKind::Omniscient],
        &[1, 2],
        false,
        &|_| {},
    );
    let summaries = summarise(&days);
    let place = |which: PolicyKind| {
        summaries.iter().find(|s| s.policy == which.name()).and_then(|s| s.relative_service)
    };
    assert_eq!((place(PolicyKind::SingleAttempt), place(PolicyKind::Omniscient)), (Some(0.0), Some(1.0)));
    assert!(place(PolicyKind::Mountshift).is_some_and(|p| p > 0.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn an_estimate_holds_its_mean(values in proptest::collection::vec(0.0f64..1.0, 1..40)) {
        let e = Estimate::of(&values);
        prop_assert!(e.low <= e.mean + 1e-9 && e.mean <= e.high + 1e-9);
        prop_assert_eq!(e.n, values.len());
    }
}
