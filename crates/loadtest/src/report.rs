//! The report of a run, as one HTML page.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;

use crate::usage_history::UsagePoint;

/// Error of a plot that cannot be drawn.
pub type PlotError = DrawingAreaErrorKind<std::io::Error>;

/// Width and height of the plot in pixels.
const SIZE: (u32, u32) = (900, 320);
/// Quantiles of the submission latencies in the report.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Returns an SVG plot of the usage of all teams over time, with the limit as a red line.
pub fn usage_plot(
    usage: &BTreeMap<String, Vec<UsagePoint>>,
    limit: f64,
) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw(&area, usage, limit)?;
    }
    Ok(svg)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    usage: &BTreeMap<String, Vec<UsagePoint>>,
    limit: f64,
) -> Result<(), PlotError> {
    area.fill(&WHITE)?;
    let last_points = usage.values().filter_map(|points| points.last());
    let end_s = last_points
        .map(|point| point.elapsed.as_secs_f64())
        .fold(1.0, f64::max);
    let max_cpus = usage
        .values()
        .map(|points| crate::usage_history::max_cpus(points))
        .fold(limit, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end_s, 0.0..max_cpus * 1.1)?;
    chart.configure_mesh().x_desc("s").y_desc("CPUs").draw()?;
    for (index, points) in usage.values().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = points
            .iter()
            .map(|point| (point.elapsed.as_secs_f64(), point.cpus));
        chart.draw_series(LineSeries::new(line, &color))?;
    }
    chart.draw_series(LineSeries::new([(0.0, limit), (end_s, limit)], &RED))?;
    area.present()?;
    Ok(())
}

/// Returns a table row with the number of latencies and their quantiles in milliseconds. Latencies are in microseconds.
pub fn latency_row(name: &str, latencies: &Histogram<u64>) -> String {
    let mut row = format!("<tr><td>{name}</td><td>{}</td>", latencies.len());
    for quantile in QUANTILES {
        let millis = latencies.value_at_quantile(quantile) as f64 / 1000.0;
        // Writing to a string can't fail.
        let _ = write!(row, "<td>{millis:.1}</td>");
    }
    row + "</tr>"
}

/// Returns the HTML page. Each fact becomes a table row; `latencies` are rows from [`latency_row`].
pub fn page(title: &str, facts: &[(String, String)], latencies: &[String], plot: &str) -> String {
    let rows: String = facts
        .iter()
        .map(|(name, value)| format!("<tr><td>{name}</td><td>{value}</td></tr>"))
        .collect();
    format!(
        "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>{title}</title></head><body><h1>{title}</h1>\
         <table border=\"1\">{rows}</table><h2>CPUs of unfinished jobs; red: the limit</h2>{plot}\
         <h2>Latency of submissions, ms</h2><table border=\"1\"><tr><th></th><th>count</th><th>median</th>\
         <th>0.9</th><th>0.99</th><th>most</th></tr>{}</table></body></html>",
        latencies.concat()
    )
}
