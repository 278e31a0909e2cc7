//! Self-contained HTML report of simulated days: policies, message classes, the timeline of a day, and breaches with
//! their histories.

mod charts;

use crate::error::LabError;
use crate::experiment::{Summary, summarise};
use crate::outcome::{BreachOutcome, DayOutcome, DayTimeline, FaultSpan, PartOutcome};
use crate::policy_kind::PolicyKind;
use minijinja::{Environment, Value, context};
use mountshift_scenario::Scenario;
use std::collections::BTreeSet;

const PAGE: &str = include_str!("report.html");
/// Maximum number of breaches in a report.
const MAX_BREACHES: usize = 5;
/// Maximum number of lines of a breach's history; the last ones are printed.
const MAX_HISTORY_LINES: usize = 40;

/// Renders the report of days of one scenario. The timeline is that of the first day that kept one.
///
/// # Errors
/// If a chart or the page can't be rendered, or there are no days.
pub fn page(scenario: &Scenario, days: &[DayOutcome]) -> Result<String, LabError> {
    let with_timeline = days.iter().find(|day| day.timeline.is_some());
    let shown = with_timeline.or(days.first()).ok_or(LabError::NoDays)?;
    let mountshift = PolicyKind::Mountshift.name();
    let mountshift_days: Vec<&DayOutcome> = days.iter().filter(|day| day.policy == mountshift).collect();
    let seeds: BTreeSet<u64> = days.iter().map(|day| day.seed).collect();
    let seeds: Vec<String> = seeds.iter().map(u64::to_string).collect();
    let policies: Vec<Value> = summarise(days).iter().map(policy_row).collect();
    let classes: Vec<Value> = shown.classes.iter().chain(&shown.tenants).map(part_row).collect();
    let faults = shown.timeline.as_ref().map_or(&[][..], |timeline| &timeline.faults);
    let faults: Vec<Value> = faults.iter().map(fault_row).collect();
    let mut environment = Environment::new();
    environment.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    environment.add_template("page", PAGE).map_err(LabError::report)?;
    let page = environment.get_template("page").map_err(LabError::report)?;
    page.render(context! {
        name => scenario.name.as_str(), about => scenario.description.as_str(), days => days.len(),
        seeds => seeds.join(", "), mountshift => mountshift,
        has_no_breaches => mountshift_days.iter().all(|day| day.has_no_breaches()),
        policies => policies, classes => classes, has_tenants => !shown.tenants.is_empty(), seed => shown.seed,
        figures => figures(scenario, shown.timeline.as_ref())?, faults => faults,
        breaches => breach_rows(&mountshift_days),
    })
    .map_err(LabError::report)
}

fn policy_row(summary: &Summary) -> Value {
    let broken = summary.days_with_breaches.iter().enumerate().filter(|(_, days)| **days > 0);
    let broken: Vec<String> = broken.map(|(rule, days)| format!("{} ({days})", rule + 1)).collect();
    let relative_service =
        summary.relative_service.map_or("-".to_string(), |service| format!("{service:.2}"));
    context! {
        policy => summary.policy.as_str(),
        service => summary.service.to_string(),
        worst_window => format!("{:.3}", summary.worst_window.mean),
        relative_service => relative_service,
        attempts => format!("{:.2}", summary.attempts_per_message),
        calls_into_outages => format!("{:.0}", summary.calls_into_outages),
        overloaded_routes => format!("{:.1}", summary.overloaded_routes),
        broken_rules => if broken.is_empty() { "none".to_string() } else { broken.join(", ") },
    }
}

fn part_row(part: &PartOutcome) -> Value {
    context! {
        name => part.name.as_str(),
        service => format!("{:.4}", part.service),
        requests => part.requests,
        delivered => part.delivered,
        p50 => duration_text(part.p50_ms),
        p90 => duration_text(part.p90_ms),
        p99 => duration_text(part.p99_ms),
    }
}

fn duration_text(milliseconds: f64) -> String {
    if milliseconds < 1_000.0 {
        format!("{milliseconds:.0} ms")
    } else {
        format!("{:.2} s", milliseconds / 1e3)
    }
}

fn fault_row(fault: &FaultSpan) -> Value {
    context! {
        kind => fault.kind.as_str(),
        targets => fault.targets.as_str(),
        from_s => fault.from_s,
        to_s => fault.to_s,
    }
}

fn breach_rows(days: &[&DayOutcome]) -> Vec<Value> {
    let breaches = days.iter().flat_map(|day| day.breaches.iter().map(|breach| (*day, breach)));
    breaches.take(MAX_BREACHES).map(|(day, breach)| breach_row(day, breach)).collect()
}

fn breach_row(day: &DayOutcome, breach: &BreachOutcome) -> Value {
    let skipped = breach.history.len().saturating_sub(MAX_HISTORY_LINES);
    context! {
        rule => breach.rule,
        at => format!("{:.3}", breach.at_s),
        policy => day.policy.as_str(),
        seed => day.seed,
        reason => breach.reason.as_str(),
        history => breach.history[skipped..].join("\n"),
    }
}

fn figures(scenario: &Scenario, timeline: Option<&DayTimeline>) -> Result<Vec<Value>, LabError> {
    let Some(timeline) = timeline else { return Ok(Vec::new()) };
    let charts = charts::draw(scenario, timeline)?;
    Ok(charts.into_iter().map(|chart| context! { svg => chart.svg, caption => chart.caption }).collect())
}
