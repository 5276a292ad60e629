//! Straight lines through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct MeasuredPoint {
    /// The load.
    pub load: f64,
    /// The cost.
    pub cost: f64,
}

/// The line of least squares through points, with what it leaves over.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LineFit {
    /// Cost for each unit of load.
    pub slope: f64,
    /// Cost without load.
    pub intercept: f64,
    /// Largest distance of a point from the line, in the unit of the cost.
    pub residual: f64,
}

impl LineFit {
    /// Fits a line, or returns nothing for fewer than two different loads.
    pub fn through(points: &[MeasuredPoint]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_load = points.iter().map(|point| point.load).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let spread: f64 = points
            .iter()
            .map(|point| (point.load - mean_load).powi(2))
            .sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let joint: f64 = points
            .iter()
            .map(|point| (point.load - mean_load) * (point.cost - mean_cost))
            .sum();
        let slope = joint / spread;
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
