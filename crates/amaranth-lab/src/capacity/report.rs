//! The table, the plot and the JSON of the measured slopes.

use std::fs;

use amaranth_core::errors::{Result, internal};
use serde::Serialize;

use crate::capacity::arguments::CapacityArguments;
use crate::capacity::line_fit::{LineFit, MeasuredPoint};
use crate::capacity::plot;

/// A cost against a load.
#[derive(Debug, Clone, Serialize)]
pub struct MeasuredSlope {
    /// Who bears the cost.
    pub role: String,
    /// The load, with its unit.
    pub load: &'static str,
    /// The unit of the cost.
    pub unit: &'static str,
    /// The points.
    pub points: Vec<MeasuredPoint>,
    /// The line through them.
    pub fit: LineFit,
}

impl MeasuredSlope {
    /// Fits a slope, or returns nothing if no line fits.
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

/// All slopes of a run.
#[derive(Debug, Clone, Serialize)]
pub struct CapacityReport {
    /// The slopes.
    pub slopes: Vec<MeasuredSlope>,
}

impl CapacityReport {
    /// Prints the report and writes the plot that the arguments ask for.
    ///
    /// # Errors
    ///
    /// Returns an error when the report can't be encoded or the plot not written.
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
