//! The command line of kelpworks.

fn main() {}
