//! The commands of `amaranthctl` against a stand-in of the log and running entries.

mod applying;
mod checking;
mod explaining;
mod fleet;
mod support;
