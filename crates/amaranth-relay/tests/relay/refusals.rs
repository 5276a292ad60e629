//! Refusals of endpoints: which are believed, and what callers are told. A status that promises that a call
//! did not run must be true.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_dispatch::routes::RouteKind;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::support::{
    FakeEndpoint, LAST_CHUNK, Reply, TestEntry, complete_answer, event, header, not_run, post,
    read_request, route, status, stream_head,
};

/// Time after which an endpoint answers a call.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// An endpoint that refuses some calls, and writes each refusal once more when the next call arrives on its
/// connection.
struct RepeatingEndpoint {
    address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl Drop for RepeatingEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RepeatingEndpoint {
    /// Starts an endpoint that refuses the first `refused` calls.
    async fn bind(refused: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let runs = Arc::new(Mutex::new(Vec::new()));
        let left = Arc::new(Mutex::new(refused));
        let seen = Arc::clone(&runs);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&left), Arc::clone(&seen)));
            }
        });
        Self {
            address,
            runs,
            task,
        }
    }

    /// Returns the ids of the calls that ran.
    fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("no task panicked").clone()
    }
}

async fn serve(mut stream: TcpStream, left: Arc<Mutex<usize>>, runs: Arc<Mutex<Vec<String>>>) {
    let mut repeated: Option<String> = None;
    while let Some(request) = read_request(&mut stream).await {
        if let Some(refusal) = repeated.take()
            && stream.write_all(refusal.as_bytes()).await.is_err()
        {
            return;
        }
        let id = header(&request, "call").expect("the call has an id");
        let is_refused = {
            let mut left = left.lock().expect("no task panicked");
            let is_refused = *left > 0;
            *left = left.saturating_sub(1);
            is_refused
        };
        let answer = if is_refused {
            repeated = Some(not_run(&id));
            not_run(&id)
        } else {
            runs.lock().expect("no task panicked").push(id.clone());
            let body = event(1) + &event(2) + LAST_CHUNK;
            if header(&request, "wants").is_some() {
                stream_head(&id) + &body
            } else {
                complete_answer("200 OK", &id, "ran")
            }
        };
        sleep(ANSWER_TIME).await;
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn promises_not_run(status: &str) -> bool {
    matches!(status, "408" | "421" | "429" | "503")
}

#[rstest]
#[tokio::test]
async fn a_refusal_that_is_repeated_on_a_kept_connection_is_not_the_answer_to_the_next_send(
    #[values(1, 2, 3)] refused: usize,
) {
    let endpoint = RepeatingEndpoint::bind(refused).await;
    let entry = TestEntry::bind();
    entry.configure(1, vec![route(RouteKind::NonIdempotent, false, 1)]);
    entry.announce_addresses(&[endpoint.address]);
    let answer = entry.call(&post("c1", "")).await;
    sleep(Duration::from_millis(100)).await;
    let runs = endpoint.runs();
    assert!(runs.len() <= 1, "ran {} times: {answer}", runs.len());
    assert!(
        runs.is_empty() || !promises_not_run(&status(&answer)),
        "ran and was answered {answer}"
    );
}

/// Spends the retries of an entry, so that a refused call is not sent again.
fn spend_retries(entry: &TestEntry) {
    let service = "s".parse().expect("the name is valid");
    let now = entry.core.now();
    let mut state = entry.core.state();
    while state.retries.allowance(now, &service).acquire() {}
}

/// A caller that uses the id of an earlier call again.
#[rstest]
#[case::plain(RouteKind::NonIdempotent, "")]
#[case::stream(RouteKind::Stream, "Wants: m\r\n")]
#[tokio::test]
async fn a_refusal_that_is_repeated_is_not_the_answer_to_a_later_call_with_the_same_id(
    #[case] kind: RouteKind,
    #[case] extra: &str,
) {
    let endpoint = RepeatingEndpoint::bind(1).await;
    let entry = TestEntry::bind();
    entry.configure(1, vec![route(kind, false, 1)]);
    entry.announce_addresses(&[endpoint.address]);
    spend_retries(&entry);
    let first = entry.call(&post("c1", extra)).await;
    assert_eq!(status(&first), "503", "{first}");
    assert_eq!(endpoint.runs().len(), 0);
    let answer = entry.call(&post("c1", extra)).await;
    sleep(Duration::from_millis(100)).await;
    assert_eq!(endpoint.runs().len(), 1, "{answer}");
    assert!(!promises_not_run(&status(&answer)), "{answer}");
}

/// Heads that state that a call did not run, or have a status that promises it, and don't prove it.
#[rstest]
#[case::without_an_id("HTTP/1.1 503 Busy\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::misdirected_without_an_id("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")]
#[case::failed("HTTP/1.1 500 Oops\r\nCall: c1\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::out_of_time("HTTP/1.1 504 Late\r\nCall: c1\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::authenticated(
    "HTTP/1.1 503 Busy\r\nCall: c1\r\nUntouched: 1\r\nProof: p\r\nContent-Length: 0\r\n\r\n"
)]
#[case::truncated("HTTP/1.1 503 Busy\r\nCall: c1\r\nUntouched: 1\r\nContent-Length: 9\r\n\r\nhal")]
#[case::without_the_statement("HTTP/1.1 503 Busy\r\nCall: c1\r\nContent-Length: 0\r\n\r\n")]
#[case::own_503("HTTP/1.1 503 Busy\r\nCall: c1\r\nProof: p\r\nContent-Length: 4\r\n\r\nbusy")]
#[case::own_429("HTTP/1.1 429 Many\r\nCall: c1\r\nProof: p\r\nContent-Length: 4\r\n\r\nmany")]
#[case::own_408("HTTP/1.1 408 Slow\r\nCall: c1\r\nProof: p\r\nContent-Length: 4\r\n\r\nslow")]
#[case::own_421("HTTP/1.1 421 Else\r\nCall: c1\r\nProof: p\r\nContent-Length: 4\r\n\r\nelse")]
#[tokio::test]
async fn a_call_is_not_refused_on_an_answer_that_does_not_prove_that_it_did_not_run(
    #[case] reply: &str,
    #[values("", "Wants: m\r\n")] extra: &str,
) {
    let kind = if extra.is_empty() {
        RouteKind::NonIdempotent
    } else {
        RouteKind::Stream
    };
    let doubtful = FakeEndpoint::bind(vec![Reply::WriteAndClose(reply.to_owned())]).await;
    let other =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "twice"))]).await;
    let entry = TestEntry::serving(route(kind, false, 1), &[&doubtful, &other]);
    let answer = entry.call(&post("c1", extra)).await;
    assert_eq!(
        doubtful.arrivals().len() + other.arrivals().len(),
        1,
        "{answer}"
    );
    assert!(!promises_not_run(&status(&answer)), "{answer}");
    let is_forwarded = reply.starts_with(&format!("HTTP/1.1 {} ", status(&answer)));
    assert_eq!(
        header(&answer, "proof").is_some(),
        is_forwarded && reply.contains("Proof")
    );
}

/// The first send may have run; the second endpoint refuses with an authenticated answer.
#[tokio::test]
async fn a_refusal_of_a_later_send_is_not_forwarded_for_a_call_that_may_have_run() {
    let lost = FakeEndpoint::bind(vec![Reply::WriteAndClose(String::new())]).await;
    let signed =
        "HTTP/1.1 503 Busy\r\nCall: c1\r\nUntouched: 1\r\nProof: p\r\nContent-Length: 0\r\n\r\n";
    let busy = FakeEndpoint::bind(vec![Reply::Write(signed.to_owned())]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 2), &[&lost, &busy]);
    let answer = entry.call(&post("c1", "")).await;
    assert!(!promises_not_run(&status(&answer)), "{answer}");
}

/// The second engine may be running the stream, so that a third one would be one run too many.
#[tokio::test]
async fn a_resumed_stream_counts_an_engine_whose_refusal_proves_nothing() {
    let broken = stream_head("c1") + &event(1);
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(broken)]).await;
    let unnamed = "HTTP/1.1 503 Busy\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n";
    let doubtful = FakeEndpoint::bind(vec![Reply::Write(unnamed.to_owned())]).await;
    let third = FakeEndpoint::bind(vec![Reply::Write(
        stream_head("c1") + &event(2) + LAST_CHUNK,
    )])
    .await;
    let entry = TestEntry::serving(
        route(RouteKind::Stream, true, 2),
        &[&first, &doubtful, &third],
    );
    let answer = entry.call(&post("c1", "")).await;
    let arrivals = [&first, &doubtful, &third].map(|endpoint| endpoint.arrivals().len());
    assert!(arrivals.iter().sum::<usize>() <= 2, "{arrivals:?} {answer}");
}
