//! Plots a report: time to first byte and lost requests over time, with events marked.

use plotters::{
    chart::ChartBuilder,
    prelude::{IntoDrawingArea, PathElement, SVGBackend},
    series::LineSeries,
    style::{BLACK, BLUE, Color, RED, RGBColor},
};

use crate::{report::Report, timeline::Span};

/// Width and height of the plot.
const SIZE_PX: (u32, u32) = (1_200, 700);
/// Maximum number of spans whose events are marked; more marks would hide the curves.
const MAX_EVENTS: usize = 60;
const GREY: RGBColor = RGBColor(160, 160, 160);

/// Renders the plot as SVG.
///
/// # Errors
///
/// Returns an error if the report contains no log line of a router or if drawing fails.
pub fn svg(report: &Report) -> Result<String, String> {
    let spans: Vec<(u64, &Span)> = report.timeline.spans().collect();
    let (Some((start, _)), Some((end, _))) = (spans.first(), spans.last()) else {
        return Err(String::from(
            "the input contains no router log lines to plot",
        ));
    };
    let points = Points::new(&spans, *start);
    let duration_s = (end - start).max(1) as f64;
    let mut picture = String::new();
    {
        let backend = SVGBackend::with_string(&mut picture, SIZE_PX);
        draw(backend, &points, duration_s).map_err(|error| error.to_string())?;
    }
    Ok(picture)
}

/// Data points of the plot; times are in seconds since the first span.
struct Points {
    lost: Vec<(f64, f64)>,
    first_ms: Vec<(f64, f64)>,
    event_times: Vec<f64>,
}

impl Points {
    fn new(spans: &[(u64, &Span)], start: u64) -> Self {
        let at = |time: u64| (time - start) as f64;
        let lost = spans.iter();
        let lost = lost.map(|(time, span)| (at(*time), span.requests.lost as f64));
        let served = spans.iter().filter(|(_, span)| span.requests.served > 0);
        let first_ms = served.map(|(time, span)| (at(*time), span.mean_first_ms()));
        let with_events = spans.iter().filter(|(_, span)| !span.events.is_empty());
        Self {
            lost: lost.collect(),
            first_ms: first_ms.collect(),
            event_times: with_events
                .map(|(time, _)| at(*time))
                .take(MAX_EVENTS)
                .collect(),
        }
    }
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw(backend: SVGBackend<'_>, points: &Points, duration_s: f64) -> DrawResult {
    let area = backend.into_drawing_area();
    area.fill(&plotters::style::WHITE)?;
    let halves = area.split_evenly((2, 1));
    let [upper, lower] = halves.as_slice() else {
        return Err("the drawing area cannot be split into two halves".into());
    };
    let above = ("mean time to the first byte, ms", &BLUE);
    draw_curve(upper, above, &points.first_ms, points, duration_s)?;
    let below = ("requests lost", &RED);
    draw_curve(lower, below, &points.lost, points, duration_s)?;
    area.present()?;
    Ok(())
}

fn draw_curve(
    area: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    (title, colour): (&str, &RGBColor),
    values: &[(f64, f64)],
    points: &Points,
    duration_s: f64,
) -> DrawResult {
    let max = values.iter().map(|(_, value)| *value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18, &BLACK))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..duration_s, 0.0..max * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first line")
        .draw()?;
    chart.draw_series(points.event_times.iter().map(|at| {
        let ends = vec![(*at, 0.0), (*at, max)];
        PathElement::new(ends, GREY.mix(0.4))
    }))?;
    chart.draw_series(LineSeries::new(values.iter().copied(), colour))?;
    Ok(())
}
