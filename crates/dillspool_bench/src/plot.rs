//! Plots of the figures.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use crate::figures::RunFigures;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (800, 500);
/// A colour for each policy.
const COLOURS: [RGBColor; 5] =
    [RED, BLUE, RGBColor(0, 140, 60), RGBColor(160, 90, 0), RGBColor(90, 90, 90)];

/// Goodput against the load offered, a line for each policy and one for the bound.
pub(crate) fn plot_goodput(figures: &[RunFigures], path: &Path) -> Result<(), String> {
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for run in figures {
        lines.entry(run.policy).or_default().push((run.load, run.good as f64));
        if run.policy == "scheduler" {
            lines.entry("upper bound").or_default().push((run.load, run.bound as f64));
        }
    }
    let points = || lines.values().flatten();
    let most_load = points().map(|point| point.0).fold(0.0, f64::max);
    let most_good = points().map(|point| point.1).fold(0.0, f64::max);
    draw(&lines, most_load * 1.05, most_good * 1.1, path)
        .map_err(|error| format!("cannot draw {}: {error}", path.display()))
}

fn draw(
    lines: &BTreeMap<&str, Vec<(f64, f64)>>,
    most_load: f64,
    most_good: f64,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..most_load, 0.0..most_good)?;
    chart.configure_mesh().x_desc("load offered / capacity").y_desc("good answers").draw()?;
    for (number, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[number % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
