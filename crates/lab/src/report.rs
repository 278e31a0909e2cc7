//! One self-contained HTML page of a run: policies with floor and top, message classes, the course of a day, broken
//! rules with their stories.

mod charts;

use crate::error::LabError;
use crate::experiment::{Summary, summarise};
use crate::outcome::{BreachOutcome, DayOutcome, DayTimeline, FaultSpan, PartOutcome};
use crate::policy_kind::PolicyKind;
use minijinja::{Environment, Value, context};
use mountshift_scenario::Scenario;
use std::collections::BTreeSet;

const PAGE: &str = include_str!("report.html");
/// Broken rules whose stories are printed.
const MAX_STORIES: usize = 5;
/// The last lines of each story that are printed.
const MAX_STORY_LINES: usize = 40;

/// The page, from days of one scenario; the course is that of the first day that kept one.
///
/// # Errors
/// If a plot or the page can't be made, or no day is there.
pub fn page(scenario: &Scenario, days: &[DayOutcome]) -> Result<String, LabError> {
    let with_course = days.iter().find(|day| day.timeline.is_some());
    let shown = with_course.or(days.first()).ok_or(LabError::NoDays)?;
    let ours = PolicyKind::Mountshift.name();
    let days_of_ours: Vec<&DayOutcome> = days.iter().filter(|day| day.policy == ours).collect();
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
        seeds => seeds.join(", "), ours => ours, kept => days_of_ours.iter().all(|day| day.has_no_breaches()),
        policies => policies, lanes => classes, tenants => !shown.tenants.is_empty(), seed => shown.seed,
        figures => figures(scenario, shown.timeline.as_ref())?, troubles => faults,
        breaches => breach_rows(&days_of_ours),
    })
    .map_err(LabError::report)
}

fn policy_row(summary: &Summary) -> Value {
    let broken = summary.days_with_breaches.iter().enumerate().filter(|(_, days)| **days > 0);
    let broken: Vec<String> = broken.map(|(rule, days)| format!("{} ({days})", rule + 1)).collect();
    let place = summary.relative_service.map_or("too close".to_string(), |place| format!("{place:.2}"));
    context! {
        policy => summary.policy.as_str(),
        service => summary.service.to_string(),
        worst => format!("{:.3}", summary.worst_window.mean),
        place => place,
        legs => format!("{:.2}", summary.attempts_per_message),
        into => format!("{:.0}", summary.calls_into_outages),
        fell => format!("{:.1}", summary.overloaded_routes),
        broken => if broken.is_empty() { "none".to_string() } else { broken.join(", ") },
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
        whom => fault.targets.as_str(),
        from_s => fault.from_s,
        to_s => fault.to_s,
    }
}

fn breach_rows(days: &[&DayOutcome]) -> Vec<Value> {
    let breaches = days.iter().flat_map(|day| day.breaches.iter().map(|breach| (*day, breach)));
    breaches.take(MAX_STORIES).map(|(day, breach)| breach_row(day, breach)).collect()
}

fn breach_row(day: &DayOutcome, breach: &BreachOutcome) -> Value {
    let skipped = breach.history.len().saturating_sub(MAX_STORY_LINES);
    context! {
        rule => breach.rule,
        at => format!("{:.3}", breach.at_s),
        policy => day.policy.as_str(),
        seed => day.seed,
        why => breach.reason.as_str(),
        story => breach.history[skipped..].join("\n"),
    }
}

fn figures(scenario: &Scenario, timeline: Option<&DayTimeline>) -> Result<Vec<Value>, LabError> {
    let Some(timeline) = timeline else { return Ok(Vec::new()) };
    let charts = charts::draw(scenario, timeline)?;
    Ok(charts.into_iter().map(|chart| context! { svg => chart.svg, caption => chart.caption }).collect())
}
