//! Quantities with units in settings and registers: `"5 ms"`, `"80 GB"`, `"10 Gbit/s"`.
//!
//! A quantity is a whole number, an optional space and a unit. A number without a unit is
//! rejected, because a wrong guess of its unit would be off by a factor of a thousand.
//!
//! ```
//! use kelpworks::units::DurationSetting;
//!
//! let duration: DurationSetting = "250 ms".parse()?;
//! assert_eq!(duration.0.as_millis(), 250);
//! assert!("250".parse::<DurationSetting>().is_err());
//! # Ok::<(), kelpworks::units::Error>(())
//! ```

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::de;
use serde::de::Visitor;
use thiserror::Error;

/// Result of parsing a quantity.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a text is not a quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The text is not a whole number followed by a unit.
    #[error("expected a whole number and a unit {expected}")]
    Form {
        /// Examples of the expected form.
        expected: &'static str,
    },
    /// The unit is unknown or measures another quantity.
    #[error("wrong unit, expected one {expected}")]
    Unit {
        /// Examples of the expected form.
        expected: &'static str,
    },
    /// The value in base units exceeds 64 bits.
    #[error("too large")]
    Overflow,
}

/// A unit: its symbol and its size in base units.
struct Unit {
    symbol: &'static str,
    factor: u64,
}

const fn unit(symbol: &'static str, factor: u64) -> Unit {
    Unit { symbol, factor }
}

/// Units of time, in nanoseconds, in ascending order.
const TIMES: &[Unit] = &[
    unit("ns", 1),
    unit("us", 1_000),
    unit("ms", 1_000_000),
    unit("s", 1_000_000_000),
    unit("min", 60_000_000_000),
    unit("h", 3_600_000_000_000),
];
const TIME_EXPECTED: &str = "such as \"5 ms\", \"3 s\" or \"2 min\"";

/// Units of size, in bytes, in ascending order.
const SIZES: &[Unit] = &[
    unit("B", 1),
    unit("kB", 1_000),
    unit("KiB", 1 << 10),
    unit("MB", 1_000_000),
    unit("MiB", 1 << 20),
    unit("GB", 1_000_000_000),
    unit("GiB", 1 << 30),
    unit("TB", 1_000_000_000_000),
    unit("TiB", 1 << 40),
];
const SIZE_EXPECTED: &str = "such as \"80 GB\" or \"80 GiB\"";

/// Units of rate, in bits per second, in ascending order.
const BIT_RATES: &[Unit] = &[
    unit("bit/s", 1),
    unit("kbit/s", 1_000),
    unit("Mbit/s", 1_000_000),
    unit("Gbit/s", 1_000_000_000),
    unit("Tbit/s", 1_000_000_000_000),
];

/// Units of rate, in bytes per second, in ascending order.
const BYTE_RATES: &[Unit] = &[
    unit("B/s", 1),
    unit("kB/s", 1_000),
    unit("MB/s", 1_000_000),
    unit("GB/s", 1_000_000_000),
    unit("TB/s", 1_000_000_000_000),
];
const RATE_EXPECTED: &str = "such as \"10 Gbit/s\" or \"200 MB/s\"";
const BITS_PER_BYTE: u64 = 8;

/// A duration, written `"250 ms"`, `"3 s"` or `"2 min"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationSetting(pub Duration);

/// A size in bytes, written `"80 GB"` (powers of ten) or `"80 GiB"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// A rate in bytes per second, written `"10 Gbit/s"` or `"200 MB/s"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u64);

/// Splits `"80 GB"` into its number and its unit; the space is optional.
fn split<'a>(text: &'a str, expected: &'static str) -> Result<(u64, &'a str)> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, rest) = text.split_at(digits);
    let symbol = rest.strip_prefix(' ').unwrap_or(rest);
    if number.is_empty() || symbol.is_empty() {
        return Err(Error::Form { expected });
    }
    let number = number.parse().map_err(|_| Error::Overflow)?;
    Ok((number, symbol))
}

/// Returns the size of a unit in base units; `None` when the table lacks it.
fn factor(units: &[Unit], symbol: &str) -> Option<u64> {
    let found = units.iter().find(|u| u.symbol == symbol)?;
    Some(found.factor)
}

/// Writes `value` in the largest unit in which it is a whole number.
fn write_exact(f: &mut fmt::Formatter<'_>, units: &[Unit], value: u64) -> fmt::Result {
    let exact = |u: &&Unit| value.is_multiple_of(u.factor) && value >= u.factor;
    let found = units.iter().rev().find(exact).unwrap_or(&units[0]);
    write!(f, "{} {}", value / found.factor, found.symbol)
}

impl FromStr for DurationSetting {
    type Err = Error;

    fn from_str(text: &str) -> Result<DurationSetting> {
        let expected = TIME_EXPECTED;
        let (number, symbol) = split(text, expected)?;
        let factor = factor(TIMES, symbol).ok_or(Error::Unit { expected })?;
        let nanos = number.checked_mul(factor).ok_or(Error::Overflow)?;
        Ok(DurationSetting(Duration::from_nanos(nanos)))
    }
}

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Size> {
        let expected = SIZE_EXPECTED;
        let (number, symbol) = split(text, expected)?;
        let factor = factor(SIZES, symbol).ok_or(Error::Unit { expected })?;
        let bytes = number.checked_mul(factor).ok_or(Error::Overflow)?;
        Ok(Size(bytes))
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Rate> {
        let expected = RATE_EXPECTED;
        let (number, symbol) = split(text, expected)?;
        if let Some(factor) = factor(BIT_RATES, symbol) {
            let bits = number.checked_mul(factor).ok_or(Error::Overflow)?;
            return Ok(Rate(bits / BITS_PER_BYTE));
        }
        let factor = factor(BYTE_RATES, symbol).ok_or(Error::Unit { expected })?;
        let bytes = number.checked_mul(factor).ok_or(Error::Overflow)?;
        Ok(Rate(bytes))
    }
}

impl fmt::Display for DurationSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nanos = u64::try_from(self.0.as_nanos()).unwrap_or(u64::MAX);
        write_exact(f, TIMES, nanos)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_exact(f, SIZES, self.0)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_exact(f, BYTE_RATES, self.0)
    }
}

/// Deserializes a quantity from a string by its [`FromStr`].
struct QuantityVisitor<T> {
    expected: &'static str,
    parse: fn(&str) -> Result<T>,
}

impl<T> Visitor<'_> for QuantityVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a number with a unit {}", self.expected)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> std::result::Result<T, E> {
        (self.parse)(text).map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for DurationSetting {
    fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<DurationSetting, D::Error> {
        d.deserialize_str(QuantityVisitor {
            expected: TIME_EXPECTED,
            parse: DurationSetting::from_str,
        })
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Size, D::Error> {
        d.deserialize_str(QuantityVisitor {
            expected: SIZE_EXPECTED,
            parse: Size::from_str,
        })
    }
}

impl<'de> Deserialize<'de> for Rate {
    fn deserialize<D: Deserializer<'de>>(d: D) -> std::result::Result<Rate, D::Error> {
        d.deserialize_str(QuantityVisitor {
            expected: RATE_EXPECTED,
            parse: Rate::from_str,
        })
    }
}
