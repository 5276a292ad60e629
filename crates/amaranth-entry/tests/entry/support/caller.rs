//! An HTTP client that acts as a caller of an entry.

use std::net::SocketAddr;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// A caller of one entry.
pub struct EntryCaller {
    client: Client<HttpConnector, Body>,
    address: SocketAddr,
}

/// The status, headers and body of an entry's answer.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerAnswer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    /// Returns the value of a header, or an empty string if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().expect("headers are text"))
    }
}

impl EntryCaller {
    /// Creates a caller of the entry at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
        }
    }

    /// Sends a request and returns the answer as soon as its headers have arrived.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Body>,
    ) -> http::Response<Incoming> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(body.into())
            .expect("the request is well formed");
        self.client
            .request(request)
            .await
            .expect("the entry answers")
    }

    /// Sends a request and returns its whole answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Body>,
    ) -> CallerAnswer {
        let (parts, body) = self.send(method, path, headers, body).await.into_parts();
        CallerAnswer {
            status: parts.status,
            headers: parts.headers,
            body: body
                .collect()
                .await
                .expect("the body is complete")
                .to_bytes(),
        }
    }

    /// Posts JSON text and returns the whole answer.
    pub async fn post(&self, path: &str, body: &str) -> CallerAnswer {
        self.call(Method::POST, path, &[], body.to_owned()).await
    }
}
