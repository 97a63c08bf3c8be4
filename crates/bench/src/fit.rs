//! Least-squares fit of a line through measured values.

/// A line fitted through points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The increase of the value for each unit of size.
    pub slope: f64,
    /// The value at size zero.
    pub intercept: f64,
    /// The largest vertical distance of a point from the line, as a fraction of the largest value.
    pub residual: f64,
}

/// Fits a line through `points` of size and value. A single point or equal sizes give a slope of
/// zero.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let square = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    let product = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let spread: f64 = square.sum();
    let slope = if spread > 0.0 {
        product.sum::<f64>() / spread
    } else {
        0.0
    };
    let intercept = mean_y - slope * mean_x;
    let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
    let distance = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).abs());
    let farthest = distance.fold(0.0, f64::max);
    let residual = if largest > 0.0 {
        farthest / largest
    } else {
        0.0
    };
    Fit {
        slope,
        intercept,
        residual,
    }
}
