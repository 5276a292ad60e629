//! The HTTP client of [`crate::log::LogPort`].
