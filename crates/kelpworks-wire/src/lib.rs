//! Wire types of the borders of kelpworks: callers, engines, the object API,
//! the host list and the weight store.
//!
//! One module, generated from `schemas/wire.json` and committed. Another format
//! on a border is another adapter that turns its own types into these.
//!
//! ```
//! use kelpworks_wire::LayerRange;
//!
//! let range: LayerRange = serde_json::from_str(r#"{"first": 0, "end": 8}"#)?;
//! assert_eq!(range.end, 8);
//! # Ok::<(), serde_json::Error>(())
//! ```

#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
mod types;

pub use types::*;
