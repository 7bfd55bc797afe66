//! Straight lines through measured points.

/// A measured point: size and cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopePoint {
    /// Size.
    pub size: f64,
    /// Cost.
    pub cost: f64,
}

/// Least-squares line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopeFit {
    /// Cost at size zero.
    pub base: f64,
    /// Cost per unit of size.
    pub slope: f64,
    /// Root of the mean squared distance of the points from the line.
    pub residual: f64,
}

impl SlopeFit {
    /// Fits a line; the points must differ in size.
    #[allow(clippy::cast_precision_loss)]
    pub fn of(points: &[SlopePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|p| p.cost).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|p| (p.size - mean_size) * (p.cost - mean_cost))
            .sum();
        let variance: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        let base = mean_cost - slope * mean_size;
        let squares: f64 = points
            .iter()
            .map(|p| (p.cost - base - slope * p.size).powi(2))
            .sum();
        Self {
            base,
            slope,
            residual: (squares / count).sqrt(),
        }
    }
}

/// Prints points and line.
pub fn print_slope(name: &str, unit: &str, per: &str, points: &[SlopePoint]) {
    let listed: Vec<String> = points
        .iter()
        .map(|point| format!("{}: {:.3}", point.size, point.cost))
        .collect();
    let fit = SlopeFit::of(points);
    println!("{name}\n  points   {}", listed.join("  "));
    println!(
        "  line     {:.4} {unit} + {:.5} {unit} per {per}, residual {:.4}",
        fit.base, fit.slope, fit.residual
    );
}
