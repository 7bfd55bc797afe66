//! Linear regression of cost over size.

/// Cost measured at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopePoint {
    /// Size, in the unit of the series.
    pub size: f64,
    /// Cost, in the unit of the series.
    pub cost: f64,
}

/// Least-squares line through measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopeFit {
    /// Cost at size zero.
    pub intercept: f64,
    /// Cost per unit of size.
    pub slope: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
}

impl SlopeFit {
    /// Fits a line. At least two points must differ in size.
    #[allow(clippy::cast_precision_loss)]
    pub fn from_points(points: &[SlopePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|p| p.cost).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.cost - mean_cost))
            .sum();
        let variance: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        let intercept = mean_cost - slope * mean_size;
        let squares: f64 = points
            .iter()
            .map(|p| (p.cost - intercept - slope * p.size).powi(2))
            .sum();
        Self {
            intercept,
            slope,
            residual: (squares / count).sqrt(),
        }
    }
}

/// Prints the points, the fitted line and its residual.
pub fn print_slope(name: &str, unit: &str, per: &str, points: &[SlopePoint]) {
    let point_texts: Vec<String> = points
        .iter()
        .map(|point| format!("{}: {:.3}", point.size, point.cost))
        .collect();
    let fit = SlopeFit::from_points(points);
    println!("{name}\n  points   {}", point_texts.join("  "));
    println!(
        "  line     {:.4} {unit} + {:.5} {unit} per {per}, residual {:.4}",
        fit.intercept, fit.slope, fit.residual
    );
}
