//! Least-squares fit of a line or parabola over fleet sizes, and how far its forecast is from the measured values.

/// Largest fleet size that is fitted; larger ones are forecast.
pub const FITTED: usize = 1_000;
/// Relative error beyond which a forecast is marked as off.
pub const OFF: f64 = 0.25;
/// The quadratic term is used if the line misses a point by more than the first part of the mean and the term reduces the sum of
/// squares to at most the second part.
const SHOWS: (f64, f64) = (0.03, 0.25);

/// `constant + linear * n + square * n^2`.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    pub terms: [f64; 3],
    /// Measured minus fitted value, by size.
    pub residuals: Vec<(usize, f64)>,
    /// Sizes beyond the fit: size, forecast and measured value.
    pub forecasts: Vec<(usize, f64, f64)>,
}

/// Solves the normal equations for `terms` terms; `None` if the points don't determine them.
fn solve(points: &[(f64, f64)], terms: usize) -> Option<[f64; 3]> {
    if points.len() < terms {
        return None;
    }
    let mut m = [[0.0; 4]; 3];
    for (x, y) in points {
        let powers = [1.0, *x, x * x];
        for row in 0..terms {
            for column in 0..terms {
                m[row][column] += powers[row] * powers[column];
            }
            m[row][3] += powers[row] * y;
        }
    }
    for pivot in 0..terms {
        let best = (pivot..terms).max_by(|a, b| m[*a][pivot].abs().total_cmp(&m[*b][pivot].abs()))?;
        m.swap(pivot, best);
        if m[pivot][pivot].abs() < 1e-12 {
            return None;
        }
        for row in (0..terms).filter(|r| *r != pivot) {
            let part = m[row][pivot] / m[pivot][pivot];
            let from = m[pivot];
            m[row].iter_mut().zip(from).for_each(|(x, y)| *x -= part * y);
        }
    }
    let mut solved = [0.0; 3];
    (0..terms).for_each(|row| solved[row] = m[row][3] / m[row][row]);
    Some(solved)
}

impl Fit {
    /// The value at a size.
    pub fn at(&self, n: usize) -> f64 {
        value(&self.terms, n as f64)
    }

    /// Fits sizes up to `FITTED` and forecasts the others. None: fewer than two sizes to fit.
    pub fn of(points: &[(usize, f64)]) -> Option<Fit> {
        let (small, large): (Vec<_>, Vec<_>) = points.iter().partition(|(n, _)| *n <= FITTED);
        // Sizes in thousands keep the sums within a similar magnitude.
        let scaled: Vec<(f64, f64)> = small.iter().map(|(n, y)| (*n as f64 / 1000.0, *y)).collect();
        let of = |terms| {
            let [a, b, c] = solve(&scaled, terms)?;
            Some([a, b / 1e3, c / 1e6])
        };
        let squares =
            |t: &[f64; 3]| small.iter().map(|(n, y)| (y - value(t, *n as f64)).powi(2)).sum::<f64>();
        let mut terms = of(2)?;
        let mean = small.iter().map(|(_, y)| y.abs()).sum::<f64>() / small.len() as f64;
        let worst = small.iter().map(|(n, y)| (y - value(&terms, *n as f64)).abs()).fold(0.0, f64::max);
        // Any three points lie on a parabola, so four are needed to show one.
        if small.len() > 3 && worst > SHOWS.0 * mean {
            if let Some(bent) = of(3).filter(|t| squares(t) <= SHOWS.1 * squares(&terms)) {
                terms = bent;
            }
        }
        let residuals = small.iter().map(|(n, y)| (*n, y - value(&terms, *n as f64))).collect();
        let forecasts = large.iter().map(|(n, y)| (*n, value(&terms, *n as f64), *y)).collect();
        Some(Fit { terms, residuals, forecasts })
    }
}

fn value(terms: &[f64; 3], n: f64) -> f64 {
    terms[0] + terms[1] * n + terms[2] * n * n
}

/// Relative error of a forecast against the measured value.
pub fn off(forecast: f64, played: f64) -> f64 {
    if played == 0.0 {
        return if forecast.abs() < 1e-9 { 0.0 } else { f64::INFINITY };
    }
    (forecast - played) / played.abs()
}
