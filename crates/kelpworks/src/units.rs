//! Quantities with units, as operators write them: `"5 ms"`, `"80 GB"`, `"10 Gbit/s"`.

use std::time::Duration;

/// A length of time, written `"250 ms"`, `"3 s"` or `"2 min"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

/// A size in bytes, written `"80 GB"` (powers of ten) or `"80 GiB"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// A rate in bytes a second, written `"10 Gbit/s"` or `"200 MB/s"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u64);
