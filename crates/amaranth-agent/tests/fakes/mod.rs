//! Fakes of everything outside an agent, and an agent built on them.

#![allow(dead_code, reason = "each test file uses a part of the fakes")]

pub mod engine;
pub mod entry;
pub mod fleet;
pub mod log;
pub mod service;
