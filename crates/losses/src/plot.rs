//! A report as a picture: first bytes and losses over time, with events marked.

use plotters::{
    chart::ChartBuilder,
    prelude::{IntoDrawingArea, PathElement, SVGBackend},
    series::LineSeries,
    style::{BLACK, BLUE, Color, RED, RGBColor},
};

use crate::{report::Report, timeline::Span};

/// The size of the picture, in pixels.
const SIZE: (u32, u32) = (1_200, 700);
/// The most events that are marked; more would hide the curves.
const MOST_MARKS: usize = 60;
const GREY: RGBColor = RGBColor(160, 160, 160);

/// The picture as SVG.
///
/// # Errors
///
/// When there is nothing to draw, or the library cannot draw it.
pub fn svg(report: &Report) -> Result<String, String> {
    let spans: Vec<(u64, &Span)> = report.timeline.spans().collect();
    let (Some((begin, _)), Some((end, _))) = (spans.first(), spans.last()) else {
        return Err(String::from("there is no line of a router to draw"));
    };
    let points = Points::new(&spans, *begin);
    let length = (end - begin).max(1) as f64;
    let mut picture = String::new();
    {
        let backend = SVGBackend::with_string(&mut picture, SIZE);
        draw(backend, &points, length).map_err(|error| error.to_string())?;
    }
    Ok(picture)
}

/// What is drawn, at seconds since the first line.
struct Points {
    lost: Vec<(f64, f64)>,
    first_ms: Vec<(f64, f64)>,
    marks: Vec<f64>,
}

impl Points {
    fn new(spans: &[(u64, &Span)], begin: u64) -> Self {
        let at = |time: u64| (time - begin) as f64;
        let lost = spans.iter();
        let lost = lost.map(|(time, span)| (at(*time), span.requests.lost as f64));
        let served = spans.iter().filter(|(_, span)| span.requests.served > 0);
        let first_ms = served.map(|(time, span)| (at(*time), span.mean_first_ms()));
        let marked = spans.iter().filter(|(_, span)| !span.events.is_empty());
        Self {
            lost: lost.collect(),
            first_ms: first_ms.collect(),
            marks: marked.map(|(time, _)| at(*time)).take(MOST_MARKS).collect(),
        }
    }
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn draw(backend: SVGBackend<'_>, points: &Points, length: f64) -> Drawn {
    let area = backend.into_drawing_area();
    area.fill(&plotters::style::WHITE)?;
    let parts = area.split_evenly((2, 1));
    let [upper, lower] = parts.as_slice() else {
        return Err("the picture cannot be split".into());
    };
    let above = ("mean time to the first byte, ms", &BLUE);
    curve(upper, above, &points.first_ms, points, length)?;
    let below = ("requests lost", &RED);
    curve(lower, below, &points.lost, points, length)?;
    area.present()?;
    Ok(())
}

fn curve(
    area: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    (title, colour): (&str, &RGBColor),
    values: &[(f64, f64)],
    points: &Points,
    length: f64,
) -> Drawn {
    let highest = values.iter().map(|(_, value)| *value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18, &BLACK))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..length, 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first line")
        .draw()?;
    chart.draw_series(points.marks.iter().map(|at| {
        let ends = vec![(*at, 0.0), (*at, highest)];
        PathElement::new(ends, GREY.mix(0.4))
    }))?;
    chart.draw_series(LineSeries::new(values.iter().copied(), colour))?;
    Ok(())
}
