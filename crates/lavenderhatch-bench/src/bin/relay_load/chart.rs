//! Bar chart of the results.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use crate::Row;

/// Width and height of the chart, in pixels.
const SIZE: (u32, u32) = (1200, 560);
/// Fraction of the width of a group that its bars take.
const GROUP_WIDTH: f64 = 0.85;

/// Draws the mean worth of each policy as an SVG file, grouped by pattern.
pub(crate) fn draw(path: &Path, rows: &[Row]) -> Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    draw_on(&root, rows).map_err(|err| eyre!("{}: {err}", path.display()))
}

fn draw_on(
    root: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    rows: &[Row],
) -> Result<(), Box<dyn std::error::Error>> {
    let patterns = names(rows.iter().map(|row| &row.pattern));
    let policies = names(rows.iter().map(|row| &row.policy));
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(root)
        .caption(
            "Worth of the answers by load pattern and policy",
            ("sans-serif", 20),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..patterns.len() as f64, 0.0..1.0)?;
    let label = |x: &f64| {
        let at = x.floor() as usize;
        let is_middle = (x.fract() - 0.5).abs() < 0.01;
        patterns
            .get(at)
            .filter(|_| is_middle)
            .cloned()
            .unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(patterns.len() * 2 + 1)
        .x_label_formatter(&label)
        .y_desc("earned / owed")
        .draw()?;
    let width = GROUP_WIDTH / policies.len() as f64;
    for (at, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let bars = rows.iter().filter(|row| row.policy == *policy).map(|row| {
            let group = patterns
                .iter()
                .position(|name| *name == row.pattern)
                .unwrap_or(0);
            let left = group as f64 + (1.0 - GROUP_WIDTH) / 2.0 + at as f64 * width;
            Rectangle::new(
                [(left, 0.0), (left + width * 0.9, row.worth[0])],
                color.filled(),
            )
        });
        chart
            .draw_series(bars)?
            .label(policy.clone())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Returns the distinct names in the order in which they first occur.
fn names<'a>(all: impl Iterator<Item = &'a String>) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for name in all {
        if !names.contains(name) {
            names.push(name.clone());
        }
    }
    names
}
