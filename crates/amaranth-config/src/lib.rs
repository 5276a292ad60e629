//! Operator configuration: the folder of files, the catalogue they make, and the change record.
//!
//! The crate does no I/O and reads no clock. Operators' files become entries in [`folder`];
//! [`change`] turns the difference between two states into one record of the log;
//! [`history`] rules the records in the order of their offsets, so that every reader arrives
//! at the same [`catalogue::Catalogue`].

pub mod bounded;
pub mod catalogue;
pub mod change;
pub mod deletions;
pub mod duty;
pub mod entries;
pub mod envelope;
pub mod folder;
pub mod history;
pub mod recent;
pub mod shared_map;
pub mod snapshot;
pub mod verdict;
