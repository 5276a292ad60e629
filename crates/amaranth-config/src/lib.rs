//! Operator configuration: the folder of TOML files, the catalogue built from it, and the
//! replicated history of changes.
//!
//! The crate does no I/O and reads no clock. [`folder`] parses operators' files into entries;
//! [`change`] encodes the difference between two states as one record of the log; [`history`]
//! applies the records in the order of their offsets, so that every reader arrives at the same
//! [`catalogue::Catalogue`].

pub mod bounded;
pub mod catalogue;
pub mod change;
pub mod entries;
pub mod envelope;
pub mod folder;
pub mod history;
pub mod outcome;
pub mod recent_changes;
pub mod recent_deletions;
pub mod shared_map;
pub mod snapshot;
pub mod snapshot_schedule;
