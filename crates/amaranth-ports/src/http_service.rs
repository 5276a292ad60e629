//! The HTTP client of [`crate::service::ServicePort`].
