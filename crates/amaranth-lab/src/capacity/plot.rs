//! A plot of every slope, one panel each.

use amaranth_core::errors::{Result, internal};
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::{BLUE, LineSeries, RED, SVGBackend, WHITE};

use crate::capacity::report::MeasuredSlope;

/// Width and height of one panel, in pixels.
const PANEL: (u32, u32) = (420, 260);

/// Panels in one row.
const COLUMNS: usize = 3;

fn failed(error: impl std::fmt::Display) -> amaranth_core::Error {
    internal(format!("the plot can't be drawn: {error}"))
}

/// Draws the slopes as SVG.
///
/// # Errors
///
/// Returns an error when the drawing fails.
pub fn draw(slopes: &[MeasuredSlope]) -> Result<String> {
    let rows = slopes.len().div_ceil(COLUMNS).max(1);
    let size = (PANEL.0 * COLUMNS as u32, PANEL.1 * rows as u32);
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let panels = area.split_evenly((rows, COLUMNS));
        for (panel, slope) in panels.iter().zip(slopes) {
            draw_panel(panel, slope)?;
        }
        area.present().map_err(failed)?;
    }
    Ok(text)
}

fn draw_panel(
    panel: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    slope: &MeasuredSlope,
) -> Result<()> {
    let largest_load = slope
        .points
        .iter()
        .map(|point| point.load)
        .fold(1.0, f64::max);
    let largest_cost = slope
        .points
        .iter()
        .map(|point| point.cost)
        .fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .caption(
            format!("{}, {}", slope.role, slope.unit),
            ("sans-serif", 14),
        )
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..largest_load * 1.05, 0.0..largest_cost.max(1e-6) * 1.15)
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_desc(slope.load)
        .x_labels(5)
        .y_labels(5)
        .draw()
        .map_err(failed)?;
    let line = [0.0, largest_load].map(|load| (load, slope.fit.intercept + slope.fit.slope * load));
    chart
        .draw_series(LineSeries::new(line, &BLUE))
        .map_err(failed)?;
    let marks = slope
        .points
        .iter()
        .map(|point| plotters::element::Circle::new((point.load, point.cost), 3, RED));
    chart.draw_series(marks).map_err(failed)?;
    Ok(())
}
