//! Least, median and greatest of a few runs.

/// Least, median and greatest; infinite where a run did not end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spread {
    pub(crate) min: f64,
    pub(crate) median: f64,
    pub(crate) max: f64,
}

impl Spread {
    /// Of at least one value.
    pub(crate) fn of(values: impl Iterator<Item = f64>) -> Spread {
        let mut values: Vec<f64> = values.collect();
        values.sort_by(f64::total_cmp);
        Spread {
            min: values[0],
            median: values[values.len() / 2],
            max: values[values.len() - 1],
        }
    }

    /// As [`Spread::of`], `None` counting as longer than any.
    pub(crate) fn of_options(values: impl Iterator<Item = Option<f64>>) -> Spread {
        Spread::of(values.map(|v| v.unwrap_or(f64::INFINITY)))
    }

    /// The three with so many digits after the point.
    pub(crate) fn show(self, digits: usize) -> String {
        let one = |v: f64| match v.is_finite() {
            true => format!("{v:.digits$}"),
            false => "-".to_owned(),
        };
        format!("{}/{}/{}", one(self.min), one(self.median), one(self.max))
    }
}
