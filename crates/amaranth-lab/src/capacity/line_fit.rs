//! Linear regression over measured points.

use serde::Serialize;

/// Cost measured at one load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct MeasuredPoint {
    /// Load, in the unit of the measurement.
    pub load: f64,
    /// Cost, in the unit of the measurement.
    pub cost: f64,
}

/// Least-squares line through measured points, with its largest residual.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LineFit {
    /// Cost per unit of load.
    pub slope: f64,
    /// Cost at a load of zero.
    pub intercept: f64,
    /// Largest absolute deviation of a point's cost from the line, in the unit of the cost.
    pub residual: f64,
}

impl LineFit {
    /// Fits a line through `points`, or returns `None` if they have fewer than two different loads.
    pub fn through(points: &[MeasuredPoint]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_load = points.iter().map(|point| point.load).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let squared_deviations: f64 = points
            .iter()
            .map(|point| (point.load - mean_load).powi(2))
            .sum();
        if points.len() < 2 || squared_deviations == 0.0 {
            return None;
        }
        let deviation_products: f64 = points
            .iter()
            .map(|point| (point.load - mean_load) * (point.cost - mean_cost))
            .sum();
        let slope = deviation_products / squared_deviations;
        let intercept = mean_cost - slope * mean_load;
        let residual = points
            .iter()
            .map(|point| (point.cost - intercept - slope * point.load).abs())
            .fold(0.0, f64::max);
        Some(Self {
            slope,
            intercept,
            residual,
        })
    }
}
