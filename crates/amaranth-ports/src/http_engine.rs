//! The HTTP client of [`crate::engine::EnginePort`].
