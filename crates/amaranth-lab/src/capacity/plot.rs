//! SVG plot of the measured slopes, with one panel for each.

use amaranth_core::errors::{Result, internal};
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::{BLUE, LineSeries, RED, SVGBackend, WHITE};

use crate::capacity::report::MeasuredSlope;

/// Width and height of one panel, in pixels.
const PANEL_SIZE: (u32, u32) = (420, 260);

/// Number of panels in one row.
const COLUMNS: usize = 3;

fn plot_error(error: impl std::fmt::Display) -> amaranth_core::Error {
    internal(format!("the plot can't be drawn: {error}"))
}

/// Draws the slopes and returns the plot as SVG text.
///
/// # Errors
///
/// Returns an error when the drawing fails.
pub fn draw(slopes: &[MeasuredSlope]) -> Result<String> {
    let rows = slopes.len().div_ceil(COLUMNS).max(1);
    let size = (PANEL_SIZE.0 * COLUMNS as u32, PANEL_SIZE.1 * rows as u32);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let panels = area.split_evenly((rows, COLUMNS));
        for (panel, slope) in panels.iter().zip(slopes) {
            draw_panel(panel, slope)?;
        }
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

fn draw_panel(
    panel: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    slope: &MeasuredSlope,
) -> Result<()> {
    let max_load = slope
        .points
        .iter()
        .map(|point| point.load)
        .fold(1.0, f64::max);
    let max_cost = slope
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
        .build_cartesian_2d(0.0..max_load * 1.05, 0.0..max_cost.max(1e-6) * 1.15)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc(slope.load)
        .x_labels(5)
        .y_labels(5)
        .draw()
        .map_err(plot_error)?;
    let line = [0.0, max_load].map(|load| (load, slope.fit.intercept + slope.fit.slope * load));
    chart
        .draw_series(LineSeries::new(line, &BLUE))
        .map_err(plot_error)?;
    let markers = slope
        .points
        .iter()
        .map(|point| plotters::element::Circle::new((point.load, point.cost), 3, RED));
    chart.draw_series(markers).map_err(plot_error)?;
    Ok(())
}
