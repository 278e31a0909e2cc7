//! The charts of a report.

use super::{Drawn, wrong};
use crate::outcome::Course;
use mountshift_scenario::Scenario;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;

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

pub(super) fn plots(scenario: &Scenario, course: &Course) -> Result<Vec<(String, String)>, String> {
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
    let lanes = lines(scenario.lanes.iter().map(|l| l.name.clone()).collect(), &course.classes);
    plots.push((
        chart(course, "share of worth delivered", Some(1.02), &lanes)?,
        "Service by lane and second of arrival (over three seconds). Shaded: troubles.".to_string(),
    ));
    if !course.tenants.is_empty() {
        let tenants = lines(scenario.tenants.iter().map(|t| t.name.clone()).collect(), &course.tenants);
        plots
            .push((chart(course, "share of worth", Some(1.02), &tenants)?, "Service by tenant.".to_string()));
    }
    let held = [
        ("held".to_string(), course.queued.clone()),
        ("calls out".to_string(), course.calls_in_flight.clone()),
    ];
    plots.push((
        chart(course, "messages", None, &held)?,
        "Messages held and calls out, over all relays.".to_string(),
    ));
    let per = |i: usize| {
        course.attempts.get(i).copied().unwrap_or(0.0)
            / course.submissions.get(i).copied().unwrap_or(0.0).max(1.0)
    };
    let legs: Vec<f64> = (0..course.submissions.len()).map(per).collect();
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
    let seconds = course.queued.len().max(2) as f64;
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
