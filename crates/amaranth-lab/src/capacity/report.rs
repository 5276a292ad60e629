//! Report of the measured slopes as a table, a plot and JSON.

use std::fs;

use amaranth_core::errors::{Result, internal};
use serde::Serialize;

use crate::capacity::arguments::CapacityArguments;
use crate::capacity::line_fit::{LineFit, MeasuredPoint};
use crate::capacity::plot;

/// Cost of one role as a linear function of a load.
#[derive(Debug, Clone, Serialize)]
pub struct MeasuredSlope {
    /// Role, or group of roles, that the cost was measured for.
    pub role: String,
    /// Name of the load, with its unit.
    pub load: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Measured points.
    pub points: Vec<MeasuredPoint>,
    /// Line fitted through the points.
    pub fit: LineFit,
}

impl MeasuredSlope {
    /// Fits a line through `points`, or returns `None` if they have fewer than two different loads.
    pub fn fit(
        role: String,
        load: &'static str,
        unit: &'static str,
        points: Vec<MeasuredPoint>,
    ) -> Option<Self> {
        let fit = LineFit::through(&points)?;
        Some(Self {
            role,
            load,
            unit,
            points,
            fit,
        })
    }
}

/// Slopes measured in one run.
#[derive(Debug, Clone, Serialize)]
pub struct CapacityReport {
    /// Measured slopes.
    pub slopes: Vec<MeasuredSlope>,
}

impl CapacityReport {
    /// Prints the report as a table or as JSON, and writes the plot if `arguments` name a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the report can't be encoded or the plot can't be drawn or written.
    pub fn publish(&self, arguments: &CapacityArguments) -> Result<()> {
        if arguments.json {
            let text =
                serde_json::to_string_pretty(self).map_err(|error| internal(error.to_string()))?;
            println!("{text}");
        } else {
            self.print_table();
        }
        if let Some(path) = &arguments.plot {
            let drawing = plot::draw(&self.slopes)?;
            fs::write(path, drawing)
                .map_err(|error| internal(format!("{}: {error}", path.display())))?;
        }
        Ok(())
    }

    fn print_table(&self) {
        println!(
            "{:<20} {:<30} {:>14} {:>12} {:>12} {:>7}  points",
            "role", "load", "slope", "at zero", "residual", "unit"
        );
        for slope in &self.slopes {
            let points: Vec<String> = slope
                .points
                .iter()
                .map(|point| format!("{:.0}:{:.2}", point.load, point.cost))
                .collect();
            println!(
                "{:<20} {:<30} {:>14.6} {:>12.3} {:>12.3} {:>7}  {}",
                slope.role,
                slope.load,
                slope.fit.slope,
                slope.fit.intercept,
                slope.fit.residual,
                slope.unit,
                points.join(" ")
            );
        }
    }
}
