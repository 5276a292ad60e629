//! Fakes of the systems around an agent, and an agent built on them.

#![allow(dead_code, reason = "each test file uses only some of the fakes")]

pub mod engine;
pub mod entry;
pub mod fleet;
pub mod log;
pub mod service;
