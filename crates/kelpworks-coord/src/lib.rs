//! Coordination parts of kelpworks, as state machines without I/O.
