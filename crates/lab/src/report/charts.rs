//! The charts of a report, as SVG.

use crate::error::LabError;
use crate::outcome::{BreakerStep, DayTimeline, RouteTimeline};
use mountshift_scenario::Scenario;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Width of a chart, in pixels.
const WIDTH: u32 = 1_000;
/// Height of a line chart, in pixels.
const LINES_HEIGHT: u32 = 250;
/// Height of the breaker chart without its rows, in pixels.
const BANDS_HEIGHT: u32 = 60;
/// Height of a row of the breaker chart, in pixels.
const BAND_ROW_HEIGHT: u32 = 20;
/// Maximum number of destinations whose breakers are shown.
const MAX_BANDS: usize = 16;
/// Maximum number of routes whose load is shown.
const MAX_ROUTES: usize = 6;
/// Top of the value axis of a chart of shares, slightly above the maximum of 1.
const SHARE_TOP: f64 = 1.02;
/// Ratio of the top of the value axis to the highest value, in charts of other quantities.
const HEADROOM: f64 = 1.08;
const LINE_COLOURS: [RGBColor; 6] = [
    RGBColor(31, 98, 166),
    RGBColor(200, 96, 26),
    RGBColor(34, 130, 84),
    RGBColor(140, 70, 150),
    RGBColor(120, 120, 30),
    RGBColor(60, 60, 60),
];
const FAULT_COLOUR: RGBColor = RGBColor(214, 80, 60);
const OPEN_COLOUR: RGBColor = RGBColor(205, 62, 48);
const HALF_OPEN_COLOUR: RGBColor = RGBColor(240, 180, 60);

/// Chart as SVG with its caption.
pub(super) struct Chart {
    pub(super) svg: String,
    pub(super) caption: String,
}

/// Named line of a chart with one value per second.
struct Line {
    name: String,
    values: Vec<f64>,
}

impl Line {
    fn new(name: &str, values: &[f64]) -> Line {
        Line { name: name.to_string(), values: values.to_vec() }
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws all charts of a day's timeline.
pub(super) fn draw(scenario: &Scenario, timeline: &DayTimeline) -> Result<Vec<Chart>, LabError> {
    let mut charts = vec![class_chart(scenario, timeline)?];
    if !timeline.tenants.is_empty() {
        charts.push(tenant_chart(scenario, timeline)?);
    }
    charts.push(queue_chart(timeline)?);
    charts.push(attempt_chart(timeline)?);
    if !timeline.breakers.is_empty() {
        charts.push(breaker_chart(timeline)?);
    }
    let loaded = timeline.routes.iter().filter(|route| route.calls.iter().sum::<f64>() > 0.0);
    for route in loaded.take(MAX_ROUTES) {
        charts.push(route_chart(timeline, route)?);
    }
    Ok(charts)
}

fn class_chart(scenario: &Scenario, timeline: &DayTimeline) -> Result<Chart, LabError> {
    let names = scenario.classes.iter().map(|class| class.name.as_str());
    let lines = service_lines(names, &timeline.classes);
    Ok(Chart {
        svg: line_chart(timeline, "share of worth delivered", Some(SHARE_TOP), &lines)?,
        caption: "Service by message class and second of arrival (over three seconds). Shaded: faults."
            .to_string(),
    })
}

fn tenant_chart(scenario: &Scenario, timeline: &DayTimeline) -> Result<Chart, LabError> {
    let names = scenario.tenants.iter().map(|tenant| tenant.name.as_str());
    let lines = service_lines(names, &timeline.tenants);
    Ok(Chart {
        svg: line_chart(timeline, "share of worth", Some(SHARE_TOP), &lines)?,
        caption: "Service by tenant.".to_string(),
    })
}

fn queue_chart(timeline: &DayTimeline) -> Result<Chart, LabError> {
    let lines = [
        Line::new("messages held", &timeline.queued),
        Line::new("calls in flight", &timeline.calls_in_flight),
    ];
    Ok(Chart {
        svg: line_chart(timeline, "messages", None, &lines)?,
        caption: "Messages held and calls in flight, over all relays.".to_string(),
    })
}

fn attempt_chart(timeline: &DayTimeline) -> Result<Chart, LabError> {
    let per_message = |second: usize| {
        let attempts = timeline.attempts.get(second).copied().unwrap_or(0.0);
        attempts / timeline.submissions[second].max(1.0)
    };
    let attempts: Vec<f64> = (0..timeline.submissions.len()).map(per_message).collect();
    let lines = [Line::new("attempts per submitted message", &attempts)];
    Ok(Chart {
        svg: line_chart(timeline, "attempts", None, &lines)?,
        caption: "Attempts started in a second per message submitted in that second.".to_string(),
    })
}

fn breaker_chart(timeline: &DayTimeline) -> Result<Chart, LabError> {
    Ok(Chart {
        svg: band_chart(timeline)?,
        caption: "Circuit breakers by destination: share of relays whose breaker is open (red) or half-open (amber)."
            .to_string(),
    })
}

fn route_chart(timeline: &DayTimeline, route: &RouteTimeline) -> Result<Chart, LabError> {
    let lines = [Line::new("calls", &route.calls), Line::new("capacity", &route.capacity)];
    Ok(Chart {
        svg: line_chart(timeline, "calls per second", None, &lines)?,
        caption: format!(
            "Calls that reached {} and its capacity: zero during an outage, reduced during slow start.",
            route.name
        ),
    })
}

/// Converts worth submitted and delivered by second to lines of service.
fn service_lines<'n>(names: impl Iterator<Item = &'n str>, all: &[Vec<(f64, f64)>]) -> Vec<Line> {
    let line = |(name, worth_by_second): (&str, &Vec<(f64, f64)>)| {
        Line::new(name, &smoothed_service(worth_by_second))
    };
    names.zip(all).map(line).collect()
}

/// Returns the service over three seconds around each second; NaN where nothing was submitted.
fn smoothed_service(worth_by_second: &[(f64, f64)]) -> Vec<f64> {
    let service = |second: usize| {
        let near = &worth_by_second[second.saturating_sub(1)..(second + 2).min(worth_by_second.len())];
        let submitted: f64 = near.iter().fold(0.0, |sum, worth| sum + worth.0);
        let delivered: f64 = near.iter().fold(0.0, |sum, worth| sum + worth.1);
        if submitted > 0.0 { delivered / submitted } else { f64::NAN }
    };
    (0..worth_by_second.len()).map(service).collect()
}

fn svg(height: u32, draw: impl FnOnce(&Area) -> Result<(), LabError>) -> Result<String, LabError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(LabError::report)?;
        draw(&area)?;
        area.present().map_err(LabError::report)?;
    }
    Ok(text)
}

/// Shades the durations of faults; `pixel` maps a second and a value to a position on the area.
fn shade_faults(
    timeline: &DayTimeline,
    area: &Area,
    last_second: f64,
    top: f64,
    pixel: impl Fn(f64, f64) -> (i32, i32),
) -> Result<(), LabError> {
    for fault in &timeline.faults {
        let corners = [pixel(fault.from_s.min(last_second), top), pixel(fault.to_s.min(last_second), 0.0)];
        let shade = Rectangle::new(corners, FAULT_COLOUR.mix(0.09).filled());
        area.draw(&shade).map_err(LabError::report)?;
    }
    Ok(())
}

fn line_chart(
    timeline: &DayTimeline,
    unit: &str,
    fixed_top: Option<f64>,
    lines: &[Line],
) -> Result<String, LabError> {
    let seconds = lines.iter().map(|line| line.values.len()).max().unwrap_or(1);
    let last_second = seconds.max(2) as f64 - 1.0;
    let values = lines.iter().flat_map(|line| &line.values).copied();
    let highest = values.filter(|value| value.is_finite()).fold(1.0, f64::max);
    let top = fixed_top.unwrap_or(highest * HEADROOM);
    svg(LINES_HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..last_second, 0.0..top)
            .map_err(LabError::report)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("seconds").y_desc(unit).light_line_style(WHITE).draw().map_err(LabError::report)?;
        shade_faults(timeline, area, last_second, top, |second, value| {
            chart.backend_coord(&(second, value))
        })?;
        for (index, line) in lines.iter().enumerate() {
            let style = LINE_COLOURS[index % LINE_COLOURS.len()].stroke_width(2);
            let points = line.values.iter().enumerate().filter(|(_, value)| value.is_finite());
            let points = points.map(|(second, value)| (second as f64, *value));
            let drawn = chart.draw_series(LineSeries::new(points, style)).map_err(LabError::report)?;
            let legend = move |(x, y): (i32, i32)| PathElement::new(vec![(x, y), (x + 16, y)], style);
            drawn.label(line.name.clone()).legend(legend);
        }
        let mut labels = chart.configure_series_labels();
        let labels = labels.background_style(WHITE.mix(0.85)).border_style(WHITE);
        labels.position(SeriesLabelPosition::LowerRight).draw().map_err(LabError::report)
    })
}

/// Row of the breaker chart: a destination with the state changes of its breakers.
struct Band<'c> {
    destination: &'c str,
    steps: Vec<&'c BreakerStep>,
}

/// Returns the destinations whose breakers changed most often, sorted by name.
fn bands(timeline: &DayTimeline) -> Vec<Band<'_>> {
    let mut by_destination: BTreeMap<&str, Vec<&BreakerStep>> = BTreeMap::new();
    for step in &timeline.breakers {
        by_destination.entry(&step.destination).or_default().push(step);
    }
    let bands = by_destination.into_iter().map(|(destination, steps)| Band { destination, steps });
    let mut bands: Vec<Band> = bands.collect();
    bands.sort_by_key(|band| std::cmp::Reverse(band.steps.len()));
    bands.truncate(MAX_BANDS);
    bands.sort_by_key(|band| band.destination);
    bands
}

/// Draws the shares of open and half-open breakers by destination over time.
fn band_chart(timeline: &DayTimeline) -> Result<String, LabError> {
    let bands = bands(timeline);
    let seconds = timeline.queued.len().max(2) as f64;
    let relays: BTreeSet<u32> = timeline.breakers.iter().map(|step| step.relay).collect();
    let relay_count = relays.len().max(1) as f64;
    svg(BANDS_HEIGHT + BAND_ROW_HEIGHT * bands.len() as u32, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(110)
            .build_cartesian_2d(0.0..seconds, 0.0..bands.len() as f64)
            .map_err(LabError::report)?;
        let name = |y: &f64| {
            let band = bands.get(*y as usize).filter(|_| y.fract() == 0.0);
            band.map_or(String::new(), |band| band.destination.to_string())
        };
        let mut mesh = chart.configure_mesh();
        let mesh = mesh.x_desc("seconds").light_line_style(WHITE).y_labels(bands.len() + 1);
        mesh.y_label_formatter(&name).draw().map_err(LabError::report)?;
        for (row, band) in bands.iter().enumerate() {
            for bars in band_bars(band, row, seconds, relay_count) {
                chart.draw_series(bars).map_err(LabError::report)?;
            }
        }
        Ok(())
    })
}

type Bar = Rectangle<(f64, f64)>;

/// Returns bars for the time from each state change to the next: the share of relays whose breaker was open, and the
/// share whose breaker was half-open.
fn band_bars(band: &Band, row: usize, seconds: f64, relay_count: f64) -> Vec<[Bar; 2]> {
    let mut states: BTreeMap<u32, &str> = BTreeMap::new();
    let ends = band.steps.iter().skip(1).map(|step| step.at_s).chain([seconds]);
    let mut bars = Vec::new();
    for (step, end) in band.steps.iter().zip(ends) {
        states.insert(step.relay, &step.state);
        let share =
            |state: &str| states.values().filter(|other| **other == state).count() as f64 / relay_count;
        let open = share("open");
        let half_open = share("half-open");
        let bottom = row as f64 + 0.1;
        let bar = |low: f64, high: f64, colour: RGBColor| {
            let corners = [(step.at_s, bottom + 0.8 * low), (end, bottom + 0.8 * high)];
            Rectangle::new(corners, colour.filled())
        };
        bars.push([bar(0.0, open, OPEN_COLOUR), bar(open, open + half_open, HALF_OPEN_COLOUR)]);
    }
    bars
}
