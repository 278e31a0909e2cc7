//! One self-contained HTML page of a run: policies with floor and top, lanes, the course of a day, breaches with
//! their stories.

mod charts;

use self::charts::plots;
use crate::experiment::summarise;
use crate::outcome::{Course, DayOutcome};
use crate::policy_kind::PolicyKind;
use minijinja::{Environment, context};
use mountshift_scenario::Scenario;
use std::fmt::Display;

const PAGE: &str = include_str!("report.html");
/// Breaches whose stories are printed.
const STORIES_MOST: usize = 5;
const STORY_LINES_MOST: usize = 40;

type Drawn = Result<String, String>;

fn wrong(e: impl Display) -> String {
    format!("the report can't be drawn: {e}")
}

/// The page, from days of one scenario; the course is that of the first day that kept one.
///
/// # Errors
/// If a plot or the page can't be made, or no day is there.
pub fn page(scenario: &Scenario, days: &[DayOutcome]) -> Drawn {
    let shown = days.iter().find(|d| d.course.is_some()).or(days.first()).ok_or("there are no days")?;
    let ours = PolicyKind::Mountshift.name();
    let seeds: std::collections::BTreeSet<u64> = days.iter().map(|d| d.seed).collect();
    let seeds: Vec<String> = seeds.iter().map(u64::to_string).collect();
    let policies: Vec<_> = summarise(days)
        .into_iter()
        .map(|s| {
            let broken = s.days_broken.iter().enumerate().filter(|(_, n)| **n > 0);
            let broken: Vec<String> = broken.map(|(i, n)| format!("{} ({n})", i + 1)).collect();
            context! {
                policy => s.policy,
                service => s.service.to_string(),
                worst => format!("{:.3}", s.worst_window.mean),
                place => s.place.map_or("too close".to_string(), |p| format!("{p:.2}")),
                legs => format!("{:.2}", s.legs_per_message),
                into => format!("{:.0}", s.calls_into_outages),
                fell => format!("{:.1}", s.fell_over),
                broken => if broken.is_empty() { "none".to_string() } else { broken.join(", ") },
            }
        })
        .collect();
    let span = |ms: f64| if ms < 1_000.0 { format!("{ms:.0} ms") } else { format!("{:.2} s", ms / 1e3) };
    let lanes: Vec<_> = (shown.classes.iter().chain(&shown.tenants))
        .map(|l| {
            context! {
                name => l.name.as_str(), service => format!("{:.4}", l.service), requests => l.requests,
                delivered => l.delivered, p50 => span(l.p50_ms), p90 => span(l.p90_ms), p99 => span(l.p99_ms),
            }
        })
        .collect();
    let of_ours = || days.iter().filter(|d| d.policy == ours);
    let breaches: Vec<_> = of_ours()
        .flat_map(|d| d.breaches.iter().map(move |b| (d, b)))
        .take(STORIES_MOST)
        .map(|(d, b)| {
            let skipped = b.story.len().saturating_sub(STORY_LINES_MOST);
            let story = b.story[skipped..].join("\n");
            context! { rule => b.rule, at => format!("{:.3}", b.at_s), policy => d.policy.as_str(), seed => d.seed,
                why => b.why.as_str(), story => story }
        })
        .collect();
    let empty = Course::default();
    let course = shown.course.as_ref().unwrap_or(&empty);
    let mut figures = Vec::new();
    if shown.course.is_some() {
        for (svg, caption) in plots(scenario, course)? {
            figures.push(context! { svg => svg, caption => caption });
        }
    }
    let trouble = |t: &crate::outcome::TroubleSpan| {
        context! { kind => t.kind.as_str(), whom => t.whom.as_str(), from_s => t.from_s, to_s => t.to_s }
    };
    let troubles: Vec<_> = course.troubles.iter().map(trouble).collect();
    let mut env = Environment::new();
    env.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    env.add_template("page", PAGE).map_err(wrong)?;
    let page = env.get_template("page").map_err(wrong)?;
    page.render(context! {
        name => scenario.name.as_str(), about => scenario.about.as_str(), days => days.len(), seeds => seeds.join(", "),
        ours => ours, kept => of_ours().all(DayOutcome::kept), policies => policies, lanes => lanes,
        tenants => !shown.tenants.is_empty(), seed => shown.seed, figures => figures,
        troubles => troubles, breaches => breaches,
    })
    .map_err(wrong)
}
