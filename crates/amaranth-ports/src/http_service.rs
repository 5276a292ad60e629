//! The HTTP client of [`crate::service::ServicePort`].

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::RequestId;
use amaranth_core::request::{ServiceAnswer, ServiceRequest};
use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::header::CONTENT_TYPE;

use crate::errors::{PortError, PortResult};
use crate::http_client::HttpClient;
use crate::service::ServicePort;

/// The header that carries the caller's idempotency key to the service.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP client of one instance of a plain service.
#[derive(Debug, Clone)]
pub struct HttpService {
    client: HttpClient,
}

impl HttpService {
    /// Creates a client of the instance at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address),
        }
    }
}

#[async_trait]
impl ServicePort for HttpService {
    async fn call(&self, request: &ServiceRequest, timeout: Duration) -> PortResult<ServiceAnswer> {
        let method = Method::from_bytes(request.method.as_bytes())
            .map_err(|_| PortError::Refused(format!("{:?} is not a method", request.method)))?;
        let mut builder = self
            .client
            .identified_request(request.id, method, &request.path)
            .header("traceparent", request.trace.to_string());
        if let Some(content_type) = &request.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        if let Some(claim) = &request.claim {
            builder = builder.header(IDEMPOTENCY_KEY, claim.key.as_str());
        }
        let answer = self
            .client
            .fetch(builder, request.body.clone(), timeout)
            .await?;
        let content_type = answer
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        Ok(ServiceAnswer {
            status: answer.status().as_u16(),
            content_type,
            body: answer.into_body(),
        })
    }

    async fn probe(&self) -> bool {
        let id = RequestId(rand::random());
        let request = self.client.identified_request(id, Method::GET, "/healthz");
        let answer = self
            .client
            .fetch(request, Bytes::new(), PROBE_TIMEOUT)
            .await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}
