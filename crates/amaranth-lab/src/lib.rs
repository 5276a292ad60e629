//! The crate is under construction.
