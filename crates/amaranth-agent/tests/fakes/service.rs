//! A fake plain service that counts executions per idempotency key.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_core::request::{ServiceAnswer, ServiceRequest};
use amaranth_ports::service::ServicePort;
use amaranth_ports::{PortError, PortResult};
use async_trait::async_trait;
use bytes::Bytes;

/// A plain service in memory.
#[derive(Debug, Default)]
pub struct FakeService {
    executions: Mutex<HashMap<String, u32>>,
    /// Whether calls are executed but their answers are lost.
    pub loses_answers: AtomicBool,
    /// Whether the service can't be reached.
    pub down: AtomicBool,
}

/// Duration of one call.
const CALL_TIME: Duration = Duration::from_millis(50);

impl FakeService {
    /// Returns the number of executions of calls with `key`.
    pub fn executions(&self, key: &str) -> u32 {
        let executions = self.executions.lock().unwrap();
        executions.get(key).copied().unwrap_or(0)
    }
}

#[async_trait]
impl ServicePort for FakeService {
    async fn call(
        &self,
        request: &ServiceRequest,
        _timeout: Duration,
    ) -> PortResult<ServiceAnswer> {
        if self.down.load(Ordering::SeqCst) {
            return Err(PortError::Unreachable("the service is down".to_owned()));
        }
        let key = match &request.claim {
            Some(claim) => claim.key.to_string(),
            None => String::new(),
        };
        *self.executions.lock().unwrap().entry(key).or_default() += 1;
        tokio::time::sleep(CALL_TIME).await;
        if self.loses_answers.load(Ordering::SeqCst) {
            return Err(PortError::Uncertain("the answer was lost".to_owned()));
        }
        Ok(ServiceAnswer {
            status: 200,
            content_type: Some("application/json".to_owned()),
            body: Bytes::from_static(b"{\"booked\":true}"),
        })
    }

    async fn probe(&self) -> bool {
        !self.down.load(Ordering::SeqCst)
    }
}
