//! Writes the report as SVG plots.

use std::path::Path;

use miette::{IntoDiagnostic, miette};
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::Rectangle;
use plotters::prelude::{IntoFont, SVGBackend};
use plotters::style::{Color, RGBColor, ShapeStyle, WHITE};

use crate::policy::report::{PolicyReport, ReportRow};

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (1_200, 560);

/// Colours of the policies in the order of the report.
const COLOURS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(127, 127, 127),
];

/// A figure of the report that is plotted.
struct PlottedFigure {
    name: &'static str,
    label: &'static str,
    value: fn(&ReportRow) -> f64,
}

/// Writes one plot for each deployment and figure into `folder`.
///
/// # Errors
///
/// Returns an error when the folder or a file can't be written.
pub fn write(report: &PolicyReport, folder: &Path) -> miette::Result<()> {
    std::fs::create_dir_all(folder).into_diagnostic()?;
    let figures = [
        PlottedFigure {
            name: "stalls",
            label: "log10(1 + total stall in seconds)",
            value: |row| (1.0 + row.stall_total_s).log10(),
        },
        PlottedFigure {
            name: "batch",
            label: "batch efficiency",
            value: |row| row.batch_efficiency,
        },
    ];
    let rows = report.rows();
    let mut deployments: Vec<&str> = rows.iter().map(deployment_of).collect();
    deployments.dedup();
    for deployment in deployments {
        let deployment_rows: Vec<&ReportRow> = rows
            .iter()
            .filter(|row| deployment_of(row) == deployment)
            .collect();
        for figure in &figures {
            let path = folder.join(format!("{deployment}-{}.svg", figure.name));
            draw(&path, deployment, figure, &deployment_rows)
                .map_err(|error| miette!("plot {} can't be written: {error}", path.display()))?;
        }
    }
    Ok(())
}

fn deployment_of(row: &ReportRow) -> &str {
    row.group.split(' ').next().unwrap_or_default()
}

fn scenario_of(row: &ReportRow) -> &str {
    row.group.rsplit(' ').next().unwrap_or_default()
}

fn draw(
    path: &Path,
    deployment: &str,
    figure: &PlottedFigure,
    rows: &[&ReportRow],
) -> Result<(), Box<dyn std::error::Error>> {
    let mut policies: Vec<&str> = Vec::new();
    let mut scenarios: Vec<&str> = Vec::new();
    for row in rows {
        if !policies.contains(&row.policy.as_str()) {
            policies.push(&row.policy);
        }
        if !scenarios.contains(&scenario_of(row)) {
            scenarios.push(scenario_of(row));
        }
    }
    let top = rows
        .iter()
        .map(|row| (figure.value)(row))
        .fold(1e-9, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("{deployment}: {}", figure.label);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 22).into_font())
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..scenarios.len() as f64, 0.0..top * 1.1)?;
    let label = |coordinate: &f64| {
        let index = coordinate.floor() as usize;
        scenarios
            .get(index)
            .map_or(String::new(), |name| (*name).to_owned())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenarios.len() + 1)
        .x_label_formatter(&label)
        .y_desc(figure.label)
        .draw()?;
    let width = 0.8 / policies.len() as f64;
    for (position, policy) in policies.iter().enumerate() {
        let colour = COLOURS[position % COLOURS.len()];
        let bars = rows.iter().filter(|row| row.policy == *policy).map(|row| {
            let index = scenarios
                .iter()
                .position(|scenario| *scenario == scenario_of(row))
                .unwrap_or_default();
            let left = index as f64 + 0.1 + position as f64 * width;
            let corners = [(left, 0.0), (left + width, (figure.value)(row))];
            Rectangle::new(corners, ShapeStyle::from(&colour).filled())
        });
        chart
            .draw_series(bars)?
            .label(*policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .border_style(COLOURS[4])
        .draw()?;
    area.present()?;
    Ok(())
}
