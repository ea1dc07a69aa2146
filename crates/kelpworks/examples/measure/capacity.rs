//! `capacity`: cost of each role of a daemon at several sizes, and how it grows with the size.
//!
//! Each row is a least-squares line through the measured sizes. Processor time is that of threads,
//! read from the scheduler's statistics, so that other work on the machine does not count; memory
//! is the resident set of the process. Fakes, callers and daemon run on separate threads of one
//! process: processor time is that of the daemon alone, but memory includes the fakes' ends of the
//! connections and is an upper bound where the row says so. `docs/CAPACITY.md` takes its slopes
//! from here.

mod clients;
mod cost;
mod path;
mod state;
mod tap;
mod traffic;

use crate::table::Table;

/// A quantity measured at several sizes.
struct Series {
    /// Role of the daemon.
    role: &'static str,
    /// Measured quantity, with its unit.
    quantity: String,
    /// What the size counts.
    size_unit: &'static str,
    /// Size and measured value; at least two different sizes.
    points: Vec<(f64, f64)>,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug)]
struct LinearFit {
    slope: f64,
    intercept: f64,
    /// Largest distance of a point from the line, as a share of the largest absolute value.
    residual: f64,
}

impl Series {
    fn new(role: &'static str, quantity: impl Into<String>, size_unit: &'static str) -> Series {
        Series {
            role,
            quantity: quantity.into(),
            size_unit,
            points: Vec::new(),
        }
    }

    fn add(&mut self, size: f64, value: f64) {
        self.points.push((size, value));
    }

    fn fit(&self) -> LinearFit {
        let n = self.points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| self.points.iter().map(f).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let covariance: f64 = self.points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let variance: f64 = self.points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = y - slope * x;
        let distance = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).abs();
        let max_distance = self.points.iter().map(distance).fold(0.0, f64::max);
        let max_value = self.points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let residual = if max_value > 0.0 {
            max_distance / max_value
        } else {
            0.0
        };
        LinearFit {
            slope,
            intercept,
            residual,
        }
    }

    fn row(&self) -> Vec<String> {
        let fit = self.fit();
        let points = self.points.iter();
        let points: Vec<String> = points
            .map(|p| format!("{:.0}: {}", p.0, number(p.1)))
            .collect();
        vec![
            self.role.to_owned(),
            self.quantity.clone(),
            self.size_unit.to_owned(),
            points.join(", "),
            number(fit.slope),
            number(fit.intercept),
            format!("{:.1}%", 100.0 * fit.residual),
        ]
    }
}

/// Formats a value with a precision that suits its size: whole numbers from 1,000, otherwise one to
/// three decimals, scientific notation below 0.1, and `0` below 1e-9.
fn number(value: f64) -> String {
    match value.abs() {
        v if v >= 1_000.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.1 => format!("{value:.3}"),
        v if v < 1e-9 => "0".to_owned(),
        _ => format!("{value:.2e}"),
    }
}

/// Runs the measurement.
pub(crate) fn run() -> Table {
    // In-memory state is measured first, while the resident set of the process is small.
    let mut series = state::all();
    series.extend(traffic::all());
    match path::all() {
        Ok(more) => series.extend(more),
        Err(e) => eprintln!("the request path was not measured: {e}"),
    }
    Table {
        title: "capacity: cost by size, with a least-squares line; processor time of threads, \
                resident memory; residual as a share of the greatest value"
            .to_owned(),
        head: vec![
            "role",
            "what",
            "size",
            "measured",
            "slope",
            "intercept",
            "residual",
        ],
        rows: series.iter().map(Series::row).collect(),
    }
}
