//! A stand-in of the endpoints of a plain service, as the protocol page describes them.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use crate::http::{self, Message};
use crate::store::Store;
use crate::util::{cannot_run, record, sleep_ms, unix_ms};

/// A run of a request at an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub endpoint: String,
    pub path: String,
}

/// The runs of all endpoints.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// One endpoint.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
}

impl Endpoint {
    /// Starts an endpoint that announces itself in the store. `answer` gives the time that a request
    /// takes, in milliseconds, and the body of its answer.
    pub fn start<Answer>(
        store: &Store,
        service: &'static str,
        id: &str,
        ip: &str,
        zone: &'static str,
        runs: &Runs,
        answer: Answer,
    ) -> Self
    where
        Answer: Fn(&Message) -> (u64, Vec<u8>) + Send + Sync + 'static,
    {
        let listener =
            TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let endpoint = Self {
            id: id.to_owned(),
            address,
        };
        let (serving, runs) = (endpoint.clone(), Arc::clone(runs));
        http::serve(listener, move |request, stream, _| {
            serving.answer(&runs, &answer, request, stream)
        });
        let (beating, store) = (endpoint.clone(), store.clone());
        let born = unix_ms();
        std::thread::spawn(move || {
            for seq in 1_u64.. {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_ms\":0,\"seq\":{seq},\
                     \"born\":{born}}}"
                );
                store.put("keyed.servers", &beating.id, &entry);
                sleep_ms(1_200);
            }
        });
        endpoint
    }

    fn answer(
        &self,
        runs: &Runs,
        answer: &impl Fn(&Message) -> (u64, Vec<u8>),
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let own = |status: &str| {
            (
                format!("HTTP/1.1 {status}"),
                vec![
                    ("X-Request-Id", id.clone()),
                    ("X-Instance-Id", self.id.clone()),
                    ("Keep-Alive", "timeout=20".to_owned()),
                ],
            )
        };
        if request.path() == "/healthz" {
            let (first, headers) = own("200 OK");
            http::write_message(stream, &first, &headers, b"")?;
            return Ok(true);
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let (first, headers) = own("421 Misdirected Request");
            http::write_message(stream, &first, &headers, b"")?;
            return Ok(true);
        }
        runs.lock().unwrap().push(Run {
            request: id.clone(),
            endpoint: self.id.clone(),
            path: request.path().to_owned(),
        });
        let (time, body) = answer(request);
        sleep_ms(time);
        let (first, mut headers) = own("200 OK");
        headers.push(("X-Response-Signature", format!("s.{id}.{}", body.len())));
        if let Err(error) = http::write_message(stream, &first, &headers, &body) {
            record(&format!("{}: answer to {id} not taken: {error}", self.id));
            return Ok(false);
        }
        Ok(true)
    }
}
