//! Plots of a comparison as SVG files.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;
use snafu::ResultExt;

use crate::ExperimentError;
use crate::error::WriteFileSnafu;
use crate::report::{CompareReport, LoadPoint};

const SIZE: (u32, u32) = (900, 540);
const COLORS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
];

/// A line of a plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// What stands around the lines.
struct Frame<'a> {
    title: &'a str,
    across: &'a str,
    up: &'a str,
    logarithmic_across: bool,
}

/// Draws all plots of a report into a directory.
///
/// # Errors
/// [`ExperimentError`] naming the file that could not be written.
pub(crate) fn draw_all(report: &CompareReport, directory: &Path) -> Result<(), ExperimentError> {
    std::fs::create_dir_all(directory).context(WriteFileSnafu { path: directory })?;
    let name = |plot: &str| directory.join(format!("{}-{plot}.svg", report.workload));
    draw_distribution(report, &name("latency-distribution"))?;
    draw_course(report, &name("wasted-cache"))?;
    if report.sweep.is_empty() {
        return Ok(());
    }
    let latency = |point: &LoadPoint| point.program_latency_p95_ms / 1000.0;
    let up = "p95 of program latency, s";
    draw_sweep(report, &name("latency-against-load"), up, latency)?;
    let service = |point: &LoadPoint| point.without_pauses_p95_ms / 1000.0;
    let up = "p95 of program latency without tool pauses, s";
    draw_sweep(report, &name("service-against-load"), up, service)?;
    let goodput = |point: &LoadPoint| point.goodput_per_second;
    draw_sweep(report, &name("goodput-against-load"), "programs completed a second", goodput)
}

fn draw_distribution(report: &CompareReport, path: &Path) -> Result<(), ExperimentError> {
    let lines = report.policies.iter().map(|(name, policy)| {
        let last = policy.latency_curve.len().saturating_sub(1).max(1) as f64;
        let curve = policy.latency_curve.iter().enumerate();
        let points = curve.map(|(place, millis)| (millis / 1000.0, place as f64 / last));
        Line { name: name.clone(), points: points.collect() }
    });
    let frame = Frame {
        title: &format!("{}: program latency, tool pauses included", report.workload),
        across: "seconds",
        up: "fraction of programs",
        logarithmic_across: true,
    };
    draw(path, &frame, &lines.collect::<Vec<_>>())
}

fn draw_course(report: &CompareReport, path: &Path) -> Result<(), ExperimentError> {
    let lines =
        report.policies.iter().filter(|(name, _)| *name != "oracle").map(|(name, policy)| {
            let last = policy.wasted_course.len().saturating_sub(1).max(1) as f64;
            let course = policy.wasted_course.iter().enumerate();
            let points = course.map(|(place, wasted)| (place as f64 / last, *wasted));
            Line { name: name.clone(), points: points.collect() }
        });
    let frame = Frame {
        title: &format!("{}: wasted cache over time", report.workload),
        across: "part of the measured run",
        up: "wasted fraction of held token-seconds",
        logarithmic_across: false,
    };
    draw(path, &frame, &lines.collect::<Vec<_>>())
}

fn draw_sweep(
    report: &CompareReport,
    path: &Path,
    up: &str,
    value: impl Fn(&LoadPoint) -> f64,
) -> Result<(), ExperimentError> {
    let lines = report.policies.keys().map(|name| {
        let own = report.sweep.iter().filter(|point| point.policy == *name);
        let points = own.map(|point| (point.load, value(point)));
        Line { name: name.clone(), points: points.collect() }
    });
    let frame = Frame {
        title: &format!("{}: against load", report.workload),
        across: "load (1 = the workload's rate)",
        up,
        logarithmic_across: false,
    };
    draw(path, &frame, &lines.collect::<Vec<_>>())
}

fn draw(path: &Path, frame: &Frame<'_>, lines: &[Line]) -> Result<(), ExperimentError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let drawn = draw_on(&root, frame, lines)
        .and_then(|()| root.present().map_err(|error| error.to_string()));
    drawn.map_err(|cause| ExperimentError::DrawPlot { path: path.to_owned(), cause })
}

fn draw_on<'a>(
    root: &DrawingArea<SVGBackend<'a>, Shift>,
    frame: &Frame<'_>,
    lines: &[Line],
) -> Result<(), String> {
    root.fill(&WHITE).map_err(|error| error.to_string())?;
    let points = || lines.iter().flat_map(|line| &line.points);
    let least = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let most = points().map(|point| point.0).fold(f64::NEG_INFINITY, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max) * 1.05;
    if !least.is_finite() || most <= least || top <= 0.0 {
        return Ok(());
    }
    let mut builder = ChartBuilder::on(root);
    builder
        .caption(frame.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64);
    if frame.logarithmic_across {
        let across = (least.max(0.01)..most).log_scale();
        let chart = builder.build_cartesian_2d(across, 0.0..top);
        fill(chart.map_err(|error| error.to_string())?, frame, lines)
    } else {
        let chart = builder.build_cartesian_2d(least..most, 0.0..top);
        fill(chart.map_err(|error| error.to_string())?, frame, lines)
    }
}

fn fill<'a, X>(
    mut chart: ChartContext<
        'a,
        SVGBackend<'a>,
        Cartesian2d<X, plotters::coord::types::RangedCoordf64>,
    >,
    frame: &Frame<'_>,
    lines: &[Line],
) -> Result<(), String>
where
    X: Ranged<ValueType = f64> + plotters::coord::ranged1d::ValueFormatter<f64>,
{
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(frame.across).y_desc(frame.up).draw().map_err(|error| error.to_string())?;
    for (line, color) in lines.iter().zip(COLORS.iter().cycle()) {
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let drawn = chart.draw_series(series).map_err(|error| error.to_string())?;
        let legend = *color;
        drawn.label(line.name.as_str()).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 18, y)], legend.stroke_width(2))
        });
    }
    let mut labels = chart.configure_series_labels();
    labels
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|error| error.to_string())
}
