//! The port to plain services, which run beside the engines.

use std::time::Duration;

use amaranth_core::request::{ServiceAnswer, ServiceRequest};
use async_trait::async_trait;

use crate::errors::PortResult;

/// Calls one instance of a plain service.
#[async_trait]
pub trait ServicePort: Send + Sync {
    /// Sends `request` once and returns the whole answer.
    ///
    /// # Errors
    ///
    /// `Uncertain` when the service may have executed the request although its answer was lost.
    async fn call(&self, request: &ServiceRequest, timeout: Duration) -> PortResult<ServiceAnswer>;

    /// Returns whether the instance answers a health probe with success.
    async fn probe(&self) -> bool;
}
