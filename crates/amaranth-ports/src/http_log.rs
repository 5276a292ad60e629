//! The HTTP client of [`crate::log::LogPort`].

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::{LogOffset, RequestId};
use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::request::Builder;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::errors::PortResult;
use crate::http_client::HttpClient;
use crate::log::{LogPage, LogPort, LogRecord, LogStream};

/// Timeout of an append, and of a read beyond its requested wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The JSON answer to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct AppendedOffset {
    /// The offset of the record.
    pub offset: LogOffset,
}

/// The JSON answer to a read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EncodedPage {
    /// The records, in the order of their offsets.
    pub records: Vec<EncodedRecord>,
    /// The oldest offset that the log still retains.
    pub first_kept: LogOffset,
    /// The offset that the next append will get.
    pub end: LogOffset,
}

/// One record in JSON.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EncodedRecord {
    /// The offset of the record.
    pub offset: LogOffset,
    /// The bytes of the record, in base64.
    #[serde_as(as = "Base64")]
    pub data: Vec<u8>,
}

impl From<EncodedPage> for LogPage {
    fn from(page: EncodedPage) -> Self {
        let decode = |record: EncodedRecord| LogRecord {
            offset: record.offset,
            data: record.data.into(),
        };
        Self {
            records: page.records.into_iter().map(decode).collect(),
            first_kept: page.first_kept,
            end: page.end,
        }
    }
}

impl From<LogPage> for EncodedPage {
    fn from(page: LogPage) -> Self {
        let encode = |record: LogRecord| EncodedRecord {
            offset: record.offset,
            data: record.data.to_vec(),
        };
        Self {
            records: page.records.into_iter().map(encode).collect(),
            first_kept: page.first_kept,
            end: page.end,
        }
    }
}

/// The HTTP client of the log.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: HttpClient,
}

impl HttpLog {
    /// Creates a client of the log at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address),
        }
    }

    /// Returns a builder of a request under an id of its own.
    fn request(&self, method: Method, path: &str) -> Builder {
        let id = RequestId(rand::random());
        self.client.identified_request(id, method, path)
    }
}

#[async_trait]
impl LogPort for HttpLog {
    async fn append(&self, stream: LogStream, record: Bytes) -> PortResult<LogOffset> {
        let path = format!("/streams/{stream}/records");
        let request = self.request(Method::POST, &path);
        let appended: AppendedOffset = self
            .client
            .fetch_json(request, record, ANSWER_TIMEOUT)
            .await?;
        Ok(appended.offset)
    }

    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> PortResult<LogPage> {
        let path = format!(
            "/streams/{stream}/records?from={from}&limit={limit}&wait_ms={}",
            wait.as_millis()
        );
        let request = self.request(Method::GET, &path);
        let page: EncodedPage = self
            .client
            .fetch_json(request, Bytes::new(), wait + ANSWER_TIMEOUT)
            .await?;
        Ok(page.into())
    }
}
