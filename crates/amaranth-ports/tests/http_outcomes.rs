//! The errors of failed HTTP calls, against a raw TCP server.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use amaranth_core::ids::RequestId;
use amaranth_core::request::ServiceRequest;
use amaranth_core::trace::TraceContext;
use amaranth_ports::PortError;
use amaranth_ports::http_service::HttpService;
use amaranth_ports::service::ServicePort;
use bytes::Bytes;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LONG_TIMEOUT: Duration = Duration::from_secs(30);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// The reaction of the server to a request that it has read.
#[derive(Debug, Clone, Copy)]
enum Reaction {
    Close,
    StaySilent,
    AnswerIncompletely,
    AnswerAndClose,
}

/// A TCP server that counts the requests that it has read.
struct RawServer {
    address: SocketAddr,
    requests: Arc<AtomicU32>,
}

impl RawServer {
    async fn spawn(reaction: Reaction) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("the server binds a port");
        let address = listener.local_addr().expect("the listener has an address");
        let requests = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(react(stream, reaction, Arc::clone(&counter)));
            }
        });
        Self { address, requests }
    }
}

async fn react(mut stream: TcpStream, reaction: Reaction, requests: Arc<AtomicU32>) {
    let mut received = Vec::new();
    while !received.ends_with(b"\"tins\"") {
        let mut chunk = [0; 1024];
        match stream.read(&mut chunk).await {
            Ok(length) if length > 0 => received.extend_from_slice(&chunk[..length]),
            _ => return,
        }
    }
    requests.fetch_add(1, Ordering::SeqCst);
    match reaction {
        Reaction::Close => {}
        Reaction::StaySilent => std::future::pending().await,
        Reaction::AnswerIncompletely => {
            let written = stream.write_all(&ANSWER[..ANSWER.len() - 1]).await;
            written.expect("the incomplete answer is sent");
        }
        Reaction::AnswerAndClose => {
            stream.write_all(ANSWER).await.expect("the answer is sent");
        }
    }
}

fn request() -> ServiceRequest {
    ServiceRequest {
        id: RequestId(1),
        service: "member-desk".parse().expect("the service name is valid"),
        endpoint: "desk-1".parse().expect("the endpoint name is valid"),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        content_type: None,
        body: Bytes::from_static(b"\"tins\""),
        claim: None,
        time_left: LONG_TIMEOUT,
        trace: TraceContext {
            trace_id: 1,
            span_id: 1,
            sampled: false,
        },
    }
}

#[tokio::test]
async fn port_without_a_listener_is_unreachable() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let address = listener.and_then(|listener| listener.local_addr());
    let client = HttpService::new(address.expect("the listener has an address"));
    let failed = client.call(&request(), LONG_TIMEOUT).await;
    assert!(
        matches!(failed, Err(PortError::Unreachable(_))),
        "{failed:?}"
    );
}

#[rstest]
#[case::closed(Reaction::Close, LONG_TIMEOUT)]
#[case::silent(Reaction::StaySilent, SHORT_TIMEOUT)]
#[case::incomplete_answer(Reaction::AnswerIncompletely, LONG_TIMEOUT)]
#[tokio::test]
async fn request_that_arrived_and_was_not_answered_is_uncertain_and_not_retried(
    #[case] reaction: Reaction,
    #[case] timeout: Duration,
) {
    let server = RawServer::spawn(reaction).await;
    let client = HttpService::new(server.address);
    let failed = client.call(&request(), timeout).await;
    assert!(matches!(failed, Err(PortError::Uncertain(_))), "{failed:?}");
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn connection_that_closed_between_calls_is_replaced_without_retrying_a_call() {
    const CALLS: u32 = 50;
    let server = RawServer::spawn(Reaction::AnswerAndClose).await;
    let client = HttpService::new(server.address);
    let mut answered = 0;
    for _ in 0..CALLS {
        // A call may be sent on the closing connection; the call is then uncertain and never sent
        // twice.
        match client.call(&request(), LONG_TIMEOUT).await {
            Ok(answer) => {
                assert_eq!(answer.body.as_ref(), b"ok");
                answered += 1;
            }
            Err(error) => assert!(error.may_have_run(), "{error}"),
        }
    }
    let arrived = server.requests.load(Ordering::SeqCst);
    assert!(
        answered <= arrived && arrived <= CALLS,
        "{answered} {arrived}"
    );
    assert!(answered > 0);
}
