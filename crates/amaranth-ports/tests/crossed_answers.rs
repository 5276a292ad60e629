//! Answers that don't belong to the request at whose place they arrive, against a raw TCP server.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, FencingToken, LogOffset, RequestId};
use amaranth_core::request::ServiceRequest;
use amaranth_core::trace::TraceContext;
use amaranth_ports::engine::EnginePort;
use amaranth_ports::http_engine::HttpEngine;
use amaranth_ports::http_log::HttpLog;
use amaranth_ports::http_service::HttpService;
use amaranth_ports::log::{LogPort, LogStream};
use amaranth_ports::service::ServicePort;
use bytes::Bytes;
use insta::assert_snapshot;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which an idle connection is returned to the pool.
const IDLE_PAUSE: Duration = Duration::from_millis(30);

/// How the server answers its requests, which it numbers from 1.
#[derive(Debug, Clone, Copy)]
struct Script {
    status: u16,
    names_request: bool,
    /// Whether each answer is sent once more before the next one of its connection.
    repeats: bool,
    /// The delay of the first answer.
    first_delay: Duration,
}

const SOUND: Script = Script {
    status: 200,
    names_request: true,
    repeats: false,
    first_delay: Duration::ZERO,
};

/// A server that counts its connections and the requests that it has read.
struct RawServer {
    address: SocketAddr,
    connections: Arc<AtomicU32>,
    requests: Arc<AtomicU32>,
}

impl RawServer {
    async fn spawn(script: Script) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("the server binds a port");
        let address = listener.local_addr().expect("the listener has an address");
        let (connections, requests) = (Arc::<AtomicU32>::default(), Arc::<AtomicU32>::default());
        let (opened, counter) = (Arc::clone(&connections), Arc::clone(&requests));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                opened.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, script, Arc::clone(&counter)));
            }
        });
        Self {
            address,
            connections,
            requests,
        }
    }

    fn counts(&self) -> String {
        let connections = self.connections.load(Ordering::SeqCst);
        let requests = self.requests.load(Ordering::SeqCst);
        format!("{requests} requests on {connections} connections")
    }
}

async fn serve(mut stream: TcpStream, script: Script, counter: Arc<AtomicU32>) {
    let mut extra = String::new();
    while let Some(head) = read_request(&mut stream).await {
        let number = counter.fetch_add(1, Ordering::SeqCst) + 1;
        if number == 1 {
            sleep(script.first_delay).await;
        }
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("x-request-id: "));
        let named = id.filter(|_| script.names_request);
        let named = named.map_or(String::new(), |id| format!("x-request-id: {id}\r\n"));
        let body = format!("{{\"offset\":{number}}}");
        let answer = format!(
            "HTTP/1.1 {} -\r\n{named}content-length: {}\r\n\r\n{body}",
            script.status,
            body.len()
        );
        let sent = format!("{extra}{answer}");
        if stream.write_all(sent.as_bytes()).await.is_err() {
            return;
        }
        if script.repeats {
            extra = answer;
        }
    }
}

/// Reads a request whose body has a length.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = String::new();
    loop {
        if let Some((head, body)) = received.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length = length.map_or(0, |length| length.parse().expect("the length is a number"));
            if body.len() >= length {
                return Some(received);
            }
        }
        let mut chunk = [0; 1_024];
        match stream.read(&mut chunk).await {
            Ok(read) if read > 0 => received.push_str(&String::from_utf8_lossy(&chunk[..read])),
            _ => return None,
        }
    }
}

fn request(id: u128) -> ServiceRequest {
    ServiceRequest {
        id: RequestId(id),
        service: "member-desk".parse().expect("the service name is valid"),
        endpoint: "desk-1".parse().expect("the endpoint name is valid"),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        content_type: None,
        body: Bytes::from_static(b"\"tins\""),
        claim: None,
        time_left: TIMEOUT,
        trace: TraceContext {
            trace_id: 1,
            span_id: 1,
            sampled: false,
        },
    }
}

/// Makes two calls to a service and returns how they ended.
async fn call_twice(script: Script, ids: [u128; 2]) -> String {
    let server = RawServer::spawn(script).await;
    let client = HttpService::new(server.address);
    let mut outcomes = Vec::new();
    for id in ids {
        outcomes.push(match client.call(&request(id), TIMEOUT).await {
            Ok(answer) => format!(
                "{} {}",
                answer.status,
                String::from_utf8_lossy(&answer.body)
            ),
            Err(error) if error.may_have_run() => "uncertain".to_owned(),
            Err(error) => error.to_string(),
        });
        sleep(IDLE_PAUSE).await;
    }
    format!("{}; {}", outcomes.join(", "), server.counts())
}

/// Guards against a new connection for each call: answers that name their call prove the connection sound.
#[tokio::test]
async fn a_connection_is_used_again_after_an_answer_that_names_its_call() {
    let outcome = call_twice(SOUND, [1, 2]).await;
    assert_snapshot!(outcome, @r#"200 {"offset":1}, 200 {"offset":2}; 2 requests on 1 connections"#);
}

/// Guards against a caller that gets the answer to another call: an answer is repeated late.
#[tokio::test]
async fn a_repeated_answer_is_not_taken_for_that_of_the_next_call() {
    let script = Script {
        repeats: true,
        ..SOUND
    };
    let outcome = call_twice(script, [1, 2]).await;
    assert_snapshot!(outcome, @r#"200 {"offset":1}, uncertain; 2 requests on 1 connections"#);
}

/// Guards against a refused call that runs: its refusal is repeated at the point of its second answer.
#[tokio::test]
async fn a_call_is_not_sent_again_on_the_connection_of_its_refusal() {
    let script = Script {
        status: 503,
        repeats: true,
        ..SOUND
    };
    let outcome = call_twice(script, [1, 1]).await;
    assert_snapshot!(outcome, @r#"503 {"offset":1}, 503 {"offset":2}; 2 requests on 2 connections"#);
}

/// Guards against crossed answers of peers that name no call: each of their connections carries one.
#[tokio::test]
async fn a_connection_whose_answer_names_no_call_carries_no_other() {
    let script = Script {
        names_request: false,
        repeats: true,
        ..SOUND
    };
    let outcome = call_twice(script, [1, 2]).await;
    assert_snapshot!(outcome, @r#"200 {"offset":1}, 200 {"offset":2}; 2 requests on 2 connections"#);
}

/// Guards against an answer that arrives after its timeout and is taken for that of the next call.
#[tokio::test]
async fn an_answer_after_the_timeout_is_not_taken_for_that_of_the_next_call() {
    let script = Script {
        first_delay: Duration::from_millis(150),
        ..SOUND
    };
    let server = RawServer::spawn(script).await;
    let client = HttpService::new(server.address);
    let first = client.call(&request(1), Duration::from_millis(50)).await;
    assert!(first.is_err_and(|error| error.may_have_run()));
    let second = client.call(&request(2), TIMEOUT).await;
    let second = second.expect("the second call is answered");
    assert_snapshot!(String::from_utf8_lossy(&second.body), @r#"{"offset":2}"#);
}

/// Guards against a claim that is believed to be at the offset of the record before it.
#[tokio::test]
async fn a_repeated_offset_is_not_taken_for_that_of_the_next_append() {
    let server = RawServer::spawn(Script {
        repeats: true,
        ..SOUND
    })
    .await;
    let client = HttpLog::new(server.address);
    let first = client
        .append(LogStream::Claims, Bytes::from_static(b"a"))
        .await;
    assert_eq!(first, Ok(LogOffset(1)));
    sleep(IDLE_PAUSE).await;
    let second = client
        .append(LogStream::Claims, Bytes::from_static(b"b"))
        .await;
    assert!(second.is_err_and(|error| error.may_have_run()));
}

/// Guards against an order that counts as carried out because the answer to another one is repeated.
#[tokio::test]
async fn a_repeated_answer_is_not_taken_for_that_of_the_next_order() {
    let server = RawServer::spawn(Script {
        repeats: true,
        ..SOUND
    })
    .await;
    let client = HttpEngine::new(server.address);
    let adapter: AdapterRef = "kiln@1".parse().expect("the reference is valid");
    let load = || client.load_adapter(&adapter, FencingToken(1), TIMEOUT);
    assert_eq!(load().await, Ok(()));
    sleep(IDLE_PAUSE).await;
    assert!(load().await.is_err_and(|error| error.may_have_run()));
}
