//! Linear regression over measured points.

use serde::Serialize;

/// The line `value = base + slope × factor` that fits best by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// Value at factor 0.
    pub base: f64,
    /// Increase for each unit of the factor.
    pub slope: f64,
    /// Coefficient of determination (R²), or 1 if the values do not vary.
    pub explained: f64,
}

/// Fits a line to points of (factor, value); `None` if the factor does not vary.
pub fn fit_line(points: &[(f64, f64)]) -> Option<LineFit> {
    let count = points.len() as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let square = |x: f64| x * x;
    let squares_x: f64 = points.iter().map(|(x, _)| square(x - mean_x)).sum();
    if points.is_empty() || squares_x == 0.0 {
        return None;
    }
    let product: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = product / squares_x;
    let base = mean_y - slope * mean_x;
    let squares_y: f64 = points.iter().map(|(_, y)| square(y - mean_y)).sum();
    let residuals: f64 = points.iter().map(|(x, y)| square(y - base - slope * x)).sum();
    let explained = if squares_y == 0.0 { 1.0 } else { 1.0 - residuals / squares_y };
    Some(LineFit { base, slope, explained })
}
