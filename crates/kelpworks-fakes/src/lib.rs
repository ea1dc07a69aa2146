//! Stand-ins of the systems that kelpworks serves. For development only.
