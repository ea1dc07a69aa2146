//! Wire types of the interfaces of kelpworks: callers, peer daemons, engines, the object API, the
//! host list and the weight store.
//!
//! The types are generated from `schemas/wire.json` and committed. To support another wire format,
//! an adapter converts its own types to and from these.
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
