//! A stand-in of the endpoints of a plain service, as the protocol page describes them.

use std::io;
use std::net::{TcpListener, TcpStream};

use crate::http::{self, Message};
use crate::store::Store;
use crate::util::{cannot_run, record, sleep_ms, unix_ms};

/// One endpoint.
#[derive(Clone)]
struct Endpoint {
    id: String,
}

/// Starts an endpoint that announces itself in the store. `answer` takes a place for a request and gives
/// the time that it takes, in milliseconds, and the body of its answer, or nothing if there is no place.
pub fn start<Answer>(
    store: &Store,
    service: &'static str,
    id: &str,
    ip: &str,
    slots: usize,
    answer: Answer,
) where
    Answer: Fn(&Message) -> Option<(u64, Vec<u8>)> + Send + Sync + 'static,
{
    let listener =
        TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = listener.local_addr().unwrap();
    let endpoint = Endpoint { id: id.to_owned() };
    let serving = endpoint.clone();
    http::serve(listener, move |request, stream, _| {
        serving.answer(&answer, request, stream)
    });
    let store = store.clone();
    let born = unix_ms();
    std::thread::spawn(move || {
        for seq in 1_u64.. {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_ms\":0,\"seq\":{seq},\
                 \"born\":{born}}}"
            );
            store.put("keyed.servers", &endpoint.id, &entry);
            sleep_ms(1_200);
        }
    });
}

impl Endpoint {
    fn answer(
        &self,
            answer: &impl Fn(&Message) -> Option<(u64, Vec<u8>)>,
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
        let Some((time, body)) = answer(request) else {
            let (first, mut headers) = own("503 Service Unavailable");
            headers.push(("X-Not-Executed", "1".to_owned()));
            http::write_message(stream, &first, &headers, b"")?;
            return Ok(true);
        };
        record(&format!("{} runs {id}", self.id));
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
