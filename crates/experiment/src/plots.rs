//! Plots of a comparison as SVG files.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;
use snafu::ResultExt;

use crate::ExperimentError;
use crate::error::WriteFileSnafu;
use crate::report::{CompareReport, LoadPoint};

const PLOT_SIZE_PIXELS: (u32, u32) = (900, 540);
const LINE_COLORS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
];

/// A labelled line of a plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// The title, axis labels and scale of a plot.
struct PlotLabels<'a> {
    title: &'a str,
    x_label: &'a str,
    y_label: &'a str,
    logarithmic_x: bool,
}

/// Draws all plots of a report into a directory.
///
/// # Errors
/// [`ExperimentError`] naming the file that could not be written.
pub(crate) fn draw_all(report: &CompareReport, directory: &Path) -> Result<(), ExperimentError> {
    std::fs::create_dir_all(directory).context(WriteFileSnafu { path: directory })?;
    let name = |plot: &str| directory.join(format!("{}-{plot}.svg", report.workload));
    draw_distribution(report, &name("latency-distribution"))?;
    draw_wasted_cache(report, &name("wasted-cache"))?;
    if report.sweep.is_empty() {
        return Ok(());
    }
    let latency = |point: &LoadPoint| point.program_latency_p95_ms / 1000.0;
    let y_label = "p95 of program latency, s";
    draw_sweep(report, &name("latency-against-load"), y_label, latency)?;
    let service = |point: &LoadPoint| point.without_pauses_p95_ms / 1000.0;
    let y_label = "p95 of program latency without tool pauses, s";
    draw_sweep(report, &name("service-against-load"), y_label, service)?;
    let goodput = |point: &LoadPoint| point.goodput_per_second;
    draw_sweep(report, &name("goodput-against-load"), "programs completed a second", goodput)
}

fn draw_distribution(report: &CompareReport, path: &Path) -> Result<(), ExperimentError> {
    let lines = report.policies.iter().map(|(name, policy)| {
        let last = policy.latency_curve.len().saturating_sub(1).max(1) as f64;
        let curve = policy.latency_curve.iter().enumerate();
        let points = curve.map(|(index, millis)| (millis / 1000.0, index as f64 / last));
        Line { name: name.clone(), points: points.collect() }
    });
    let labels = PlotLabels {
        title: &format!("{}: program latency, tool pauses included", report.workload),
        x_label: "seconds",
        y_label: "fraction of programs",
        logarithmic_x: true,
    };
    draw(path, &labels, &lines.collect::<Vec<_>>())
}

fn draw_wasted_cache(report: &CompareReport, path: &Path) -> Result<(), ExperimentError> {
    let lines =
        report.policies.iter().filter(|(name, _)| *name != "oracle").map(|(name, policy)| {
            let last = policy.wasted_course.len().saturating_sub(1).max(1) as f64;
            let course = policy.wasted_course.iter().enumerate();
            let points = course.map(|(index, wasted)| (index as f64 / last, *wasted));
            Line { name: name.clone(), points: points.collect() }
        });
    let labels = PlotLabels {
        title: &format!("{}: wasted cache over time", report.workload),
        x_label: "part of the measured run",
        y_label: "wasted fraction of held token-seconds",
        logarithmic_x: false,
    };
    draw(path, &labels, &lines.collect::<Vec<_>>())
}

fn draw_sweep(
    report: &CompareReport,
    path: &Path,
    y_label: &str,
    value: impl Fn(&LoadPoint) -> f64,
) -> Result<(), ExperimentError> {
    let lines = report.policies.keys().map(|name| {
        let policy_points = report.sweep.iter().filter(|point| point.policy == *name);
        let points = policy_points.map(|point| (point.load, value(point)));
        Line { name: name.clone(), points: points.collect() }
    });
    let labels = PlotLabels {
        title: &format!("{}: against load", report.workload),
        x_label: "load (1 = the workload's rate)",
        y_label,
        logarithmic_x: false,
    };
    draw(path, &labels, &lines.collect::<Vec<_>>())
}

fn draw(path: &Path, labels: &PlotLabels<'_>, lines: &[Line]) -> Result<(), ExperimentError> {
    let root = SVGBackend::new(path, PLOT_SIZE_PIXELS).into_drawing_area();
    let drawn = draw_on(&root, labels, lines)
        .and_then(|()| root.present().map_err(|error| error.to_string()));
    drawn.map_err(|cause| ExperimentError::DrawPlot { path: path.to_owned(), cause })
}

fn draw_on<'a>(
    root: &DrawingArea<SVGBackend<'a>, Shift>,
    labels: &PlotLabels<'_>,
    lines: &[Line],
) -> Result<(), String> {
    root.fill(&WHITE).map_err(|error| error.to_string())?;
    let points = || lines.iter().flat_map(|line| &line.points);
    let min_x = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let max_x = points().map(|point| point.0).fold(f64::NEG_INFINITY, f64::max);
    let max_y = points().map(|point| point.1).fold(0.0, f64::max) * 1.05;
    if !min_x.is_finite() || max_x <= min_x || max_y <= 0.0 {
        return Ok(());
    }
    let mut builder = ChartBuilder::on(root);
    builder
        .caption(labels.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64);
    if labels.logarithmic_x {
        let x_range = (min_x.max(0.01)..max_x).log_scale();
        let chart = builder.build_cartesian_2d(x_range, 0.0..max_y);
        draw_lines(chart.map_err(|error| error.to_string())?, labels, lines)
    } else {
        let chart = builder.build_cartesian_2d(min_x..max_x, 0.0..max_y);
        draw_lines(chart.map_err(|error| error.to_string())?, labels, lines)
    }
}

fn draw_lines<'a, X>(
    mut chart: ChartContext<
        'a,
        SVGBackend<'a>,
        Cartesian2d<X, plotters::coord::types::RangedCoordf64>,
    >,
    labels: &PlotLabels<'_>,
    lines: &[Line],
) -> Result<(), String>
where
    X: Ranged<ValueType = f64> + plotters::coord::ranged1d::ValueFormatter<f64>,
{
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(labels.x_label).y_desc(labels.y_label).draw().map_err(|error| error.to_string())?;
    for (line, color) in lines.iter().zip(LINE_COLORS.iter().cycle()) {
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let drawn = chart.draw_series(series).map_err(|error| error.to_string())?;
        let legend = *color;
        drawn.label(line.name.as_str()).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 18, y)], legend.stroke_width(2))
        });
    }
    let mut legend_labels = chart.configure_series_labels();
    legend_labels
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|error| error.to_string())
}
