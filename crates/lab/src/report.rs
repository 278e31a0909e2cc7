//! One self-contained HTML page of a run: policies with floor and top, lanes, the course of a day, breaches with
//! their stories.

use crate::experiment::summarise;
use crate::outcome::{Course, DayOutcome};
use crate::policy::Which;
use minijinja::{Environment, context};
use mountshift_scenario::Scenario;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Display;

const PAGE: &str = include_str!("report.html");
const WIDE: u32 = 1_000;
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 98, 166),
    RGBColor(200, 96, 26),
    RGBColor(34, 130, 84),
    RGBColor(140, 70, 150),
    RGBColor(120, 120, 30),
    RGBColor(60, 60, 60),
];
const SHADE: RGBColor = RGBColor(214, 80, 60);
const OPEN: RGBColor = RGBColor(205, 62, 48);
const HALF_OPEN: RGBColor = RGBColor(240, 180, 60);
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
    let ours = Which::Mountshift.name();
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
    let lanes: Vec<_> = (shown.lanes.iter().chain(&shown.tenants))
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

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn svg(high: u32, draw: impl FnOnce(&Area) -> Result<(), String>) -> Drawn {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDE, high)).into_drawing_area();
        area.fill(&WHITE).map_err(wrong)?;
        draw(&area)?;
        area.present().map_err(wrong)?;
    }
    Ok(text)
}

fn plots(scenario: &Scenario, course: &Course) -> Result<Vec<(String, String)>, String> {
    let mut plots = Vec::new();
    let share = |(offered, earned): &(f64, f64)| if *offered > 0.0 { earned / offered } else { f64::NAN };
    let smooth = |by_second: &[(f64, f64)]| -> Vec<f64> {
        let window = |i: usize| {
            let near = &by_second[i.saturating_sub(1)..(i + 2).min(by_second.len())];
            share(&near.iter().fold((0.0, 0.0), |t, b| (t.0 + b.0, t.1 + b.1)))
        };
        (0..by_second.len()).map(window).collect()
    };
    let lines = |names: Vec<String>, all: &[Vec<(f64, f64)>]| -> Vec<(String, Vec<f64>)> {
        names.into_iter().zip(all.iter().map(|by_second| smooth(by_second))).collect()
    };
    let lanes = lines(scenario.classes.iter().map(|l| l.name.clone()).collect(), &course.lanes);
    plots.push((
        chart(course, "share of worth delivered", Some(1.02), &lanes)?,
        "Service by lane and second of arrival (over three seconds). Shaded: troubles.".to_string(),
    ));
    if !course.tenants.is_empty() {
        let tenants = lines(scenario.tenants.iter().map(|t| t.name.clone()).collect(), &course.tenants);
        plots
            .push((chart(course, "share of worth", Some(1.02), &tenants)?, "Service by tenant.".to_string()));
    }
    let held = [("held".to_string(), course.held.clone()), ("calls out".to_string(), course.out.clone())];
    plots.push((
        chart(course, "messages", None, &held)?,
        "Messages held and calls out, over all relays.".to_string(),
    ));
    let per = |i: usize| {
        course.legs.get(i).copied().unwrap_or(0.0) / course.messages.get(i).copied().unwrap_or(0.0).max(1.0)
    };
    let legs: Vec<f64> = (0..course.messages.len()).map(per).collect();
    plots.push((
        chart(course, "legs", None, &[("legs for each message handed in".to_string(), legs)])?,
        "Legs that went out in a second for each message handed in then.".to_string(),
    ));
    if !course.breakers.is_empty() {
        plots.push((
            bands(course)?,
            "Breakers by destination: share of relays with it open (red) or half-open (amber).".to_string(),
        ));
    }
    for route in course.routes.iter().filter(|r| r.reached.iter().sum::<f64>() > 0.0).take(6) {
        let lines =
            [("calls".to_string(), route.reached.clone()), ("capacity".to_string(), route.capacity.clone())];
        plots.push((
            chart(course, "calls a second", None, &lines)?,
            format!(
                "Calls that reached {} and what it could work off: nothing while out, less while cold.",
                route.name
            ),
        ));
    }
    Ok(plots)
}

fn shade(
    course: &Course,
    area: &Area,
    x: f64,
    top: f64,
    scale: impl Fn(f64, f64) -> (i32, i32),
) -> Result<(), String> {
    for t in &course.troubles {
        let corners = [scale(t.from_s.min(x), top), scale(t.to_s.min(x), 0.0)];
        area.draw(&Rectangle::new(corners, SHADE.mix(0.09).filled())).map_err(wrong)?;
    }
    Ok(())
}

fn chart(course: &Course, what: &str, top: Option<f64>, lines: &[(String, Vec<f64>)]) -> Drawn {
    let x = lines.iter().map(|l| l.1.len()).max().unwrap_or(1).max(2) as f64 - 1.0;
    let most = lines.iter().flat_map(|l| &l.1).copied().filter(|y| y.is_finite()).fold(1.0, f64::max);
    let top = top.unwrap_or(most * 1.08);
    svg(250, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..x, 0.0..top)
            .map_err(wrong)?;
        let mesh = chart.configure_mesh().x_desc("seconds").y_desc(what).light_line_style(WHITE).draw();
        mesh.map_err(wrong)?;
        shade(course, area, x, top, |at, y| chart.backend_coord(&(at, y)))?;
        for (i, (name, ys)) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let points = ys.iter().enumerate().filter(|(_, y)| y.is_finite()).map(|(i, y)| (i as f64, *y));
            let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2))).map_err(wrong)?;
            let key =
                move |(x, y): (i32, i32)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2));
            drawn.label(name.clone()).legend(key);
        }
        let mut labels = chart.configure_series_labels();
        let labels = labels.background_style(WHITE.mix(0.85)).border_style(WHITE);
        labels.position(SeriesLabelPosition::LowerRight).draw().map_err(wrong)
    })
}

/// Open and half-open breakers by destination over time, for those that opened most.
fn bands(course: &Course) -> Drawn {
    let mut by_destination: BTreeMap<&str, Vec<(f64, u32, &str)>> = BTreeMap::new();
    for step in &course.breakers {
        by_destination.entry(&step.destination).or_default().push((step.at_s, step.relay, &step.state));
    }
    let mut rows: Vec<_> = by_destination.into_iter().collect();
    rows.sort_by_key(|r| std::cmp::Reverse(r.1.len()));
    rows.truncate(16);
    rows.sort_by_key(|r| r.0);
    let seconds = course.held.len().max(2) as f64;
    let relays =
        course.breakers.iter().map(|b| b.relay).collect::<std::collections::BTreeSet<_>>().len().max(1);
    let high = 60 + 20 * rows.len() as u32;
    svg(high, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(110)
            .build_cartesian_2d(0.0..seconds, 0.0..rows.len() as f64)
            .map_err(wrong)?;
        let name = |y: &f64| {
            let row = rows.get(*y as usize).filter(|_| y.fract() == 0.0);
            row.map_or(String::new(), |r| r.0.to_string())
        };
        let mut mesh = chart.configure_mesh();
        let mesh = mesh.x_desc("seconds").light_line_style(WHITE).y_labels(rows.len() + 1);
        mesh.y_label_formatter(&name).draw().map_err(wrong)?;
        for (i, (_, steps)) in rows.iter().enumerate() {
            let mut state: BTreeMap<u32, &str> = BTreeMap::new();
            let ends = steps.iter().skip(1).map(|s| s.0).chain([seconds]);
            for ((at, relay, says), end) in steps.iter().zip(ends) {
                state.insert(*relay, says);
                let part = |what: &str| state.values().filter(|s| **s == what).count() as f64 / relays as f64;
                let (open, half) = (part("open"), part("half-open"));
                let y = i as f64 + 0.1;
                let bar = |low: f64, high: f64, colour: RGBColor| {
                    Rectangle::new([(*at, y + 0.8 * low), (end, y + 0.8 * high)], colour.filled())
                };
                let bars = [bar(0.0, open, OPEN), bar(open, open + half, HALF_OPEN)];
                chart.draw_series(bars).map_err(wrong)?;
            }
        }
        Ok(())
    })
}
