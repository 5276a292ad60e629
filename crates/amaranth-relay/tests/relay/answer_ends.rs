//! What an entry reads as the end of an endpoint's answer, and wrong answers at each of these places.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_dispatch::routes::RouteKind;
use insta::assert_snapshot;
use rstest::rstest;
use strum::{Display, EnumIter, IntoEnumIterator};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::support::{
    FakeEndpoint, LAST_CHUNK, Reply, TestEntry, chunk, complete_answer, event, header, not_run,
    post, read_request, route, status, stream_head,
};

/// Returns an answer as its caller reads it: its status, its body, and whether its end is marked.
fn as_read(answer: &str) -> String {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return "no answer".to_owned();
    };
    let length = header(head, "content-length");
    let is_complete = match &length {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with(LAST_CHUNK),
    };
    let data = body.lines().filter(|line| line.contains("data: "));
    let text = match length {
        Some(_) => body.to_owned(),
        None => data.collect::<Vec<_>>().join(" "),
    };
    let end = if is_complete { "complete" } else { "cut" };
    format!("{} {text:?} {end}", status(answer))
}

fn head(fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nCall: c1\r\nProof: p\r\n{fields}\r\n")
}

/// Guards against a head that was broken off and is passed on as a whole answer.
#[tokio::test]
async fn a_head_that_was_broken_off_at_any_byte_is_no_answer() {
    let whole = head("Content-Type: text/event-stream\r\nContent-Length: 0\r\n");
    let head_bytes = whole.len();
    for (kind, expected) in [
        (RouteKind::NonIdempotent, "502"),
        (RouteKind::Stream, "502"),
    ] {
        let replies = (0..head_bytes).map(|cut| Reply::WriteAndClose(whole[..cut].to_owned()));
        let endpoint = FakeEndpoint::bind(replies.collect()).await;
        let entry = TestEntry::serving(route(kind, false, 1), &[&endpoint]);
        for cut in 0..head_bytes {
            let answer = entry.call(&post("c1", "")).await;
            assert_eq!(
                status(&answer),
                expected,
                "{kind} after {cut} bytes: {answer}"
            );
        }
    }
}

/// Guards against a body that is passed on as whole although its end is missing.
#[rstest]
#[case::length(&(head("Content-Length: 4\r\n") + "done"), r#"200 "done" complete"#)]
#[case::length_cut(&(head("Content-Length: 4\r\n") + "do"), r#"502 "" complete"#)]
#[case::two_lengths(&(head("Content-Length: 4\r\nContent-Length: 2\r\n") + "done"), r#"502 "" complete"#)]
#[case::chunks(&(head("Transfer-Encoding: chunked\r\n") + &chunk("done") + LAST_CHUNK), r#"200 "done" complete"#)]
#[case::chunks_cut(&(head("Transfer-Encoding: chunked\r\n") + &chunk("done")), r#"502 "" complete"#)]
#[case::chunk_cut(&(head("Transfer-Encoding: chunked\r\n") + "4\r\ndo"), r#"502 "" complete"#)]
#[case::last_chunk_cut(&(head("Transfer-Encoding: chunked\r\n") + &chunk("done") + "0\r\n"), r#"502 "" complete"#)]
#[case::length_beside_chunks(&(head("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "done"), r#"502 "" complete"#)]
#[case::connection(&(head("") + "done"), r#"200 "done" complete"#)]
#[case::interim_only("HTTP/1.1 100 Continue\r\n\r\n", r#"502 "" complete"#)]
#[case::interim(&("HTTP/1.1 103 Early\r\n\r\n".to_owned() + &complete_answer("200 OK", "c1", "done")), r#"200 "done" complete"#)]
#[tokio::test]
async fn a_whole_answer_ends_where_its_framing_says(#[case] reply: &str, #[case] expected: &str) {
    let endpoint = FakeEndpoint::bind(vec![Reply::WriteAndClose(reply.to_owned())]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(as_read(&answer), expected);
}

/// Starts an endpoint that writes to its first connection and resets it.
async fn bind_resetting(reply: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if read_request(&mut stream).await.is_some() {
                let written = stream.write_all(reply.as_bytes()).await;
                written.expect("the reply is written");
                sleep(Duration::from_millis(50)).await;
            }
            let socket = socket2::SockRef::from(&stream);
            socket
                .set_linger(Some(Duration::ZERO))
                .expect("the option is set");
        }
    });
    address
}

/// Guards against an answer without a length that counts as whole although its connection was reset.
#[rstest]
#[case::whole("", "done", r#"502 "" complete"#)]
#[case::stream(
    "Content-Type: text/event-stream\r\n",
    "id: 1\ndata: t1\n\n",
    r#"200 "data: t1" cut"#
)]
#[tokio::test]
async fn an_answer_without_a_length_that_is_reset_is_not_complete(
    #[case] fields: &str,
    #[case] body: &str,
    #[case] expected: &str,
) {
    let address = bind_resetting(head(fields) + body).await;
    let entry = TestEntry::bind();
    entry.configure(1, vec![route(RouteKind::Stream, false, 1)]);
    entry.announce_addresses(&[address]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(as_read(&answer), expected);
}

/// Guards against bytes behind an answer without a body that are taken for the next call's answer.
#[rstest]
#[case::no_content("POST", "204 No Content")]
#[case::head("HEAD", "200 OK")]
#[tokio::test]
async fn an_answer_without_a_body_ends_with_its_head(#[case] method: &str, #[case] first: &str) {
    let bodiless = complete_answer(first, "c1", "");
    let stray =
        complete_answer("200 OK", "c1", "stray").replace("Content-Length: 5", "Content-Length: 0");
    let next = complete_answer("200 OK", "c2", "next");
    let replies = vec![Reply::Write(bodiless + &stray), Reply::Write(next)];
    let endpoint = FakeEndpoint::bind(replies).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let request = post("c1", "").replace("POST", method);
    let answer = entry.call(&request).await;
    let expected = first.split(' ').next().expect("the text has a status");
    assert_eq!(status(&answer), expected, "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
    let answer = entry.call(&post("c2", "")).await;
    assert_eq!(as_read(&answer), r#"200 "next" complete"#);
}

/// Guards against a body that is joined from two runs: its first beginning is discarded.
#[tokio::test]
async fn a_body_that_was_cut_is_read_again_from_its_beginning() {
    let cut = head("Content-Length: 8\r\n") + "old-";
    let replies = vec![
        Reply::WriteAndClose(cut),
        Reply::Write(complete_answer("200 OK", "c1", "new-body")),
    ];
    let endpoint = FakeEndpoint::bind(replies).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 2), &[&endpoint]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(as_read(&answer), r#"200 "new-body" complete"#);
}

/// What an engine answers to a stream that is taken up after its second event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum TakenUp {
    Sound,
    Failure,
    FailureAsStream,
    FailureWithoutLength,
    Refusal,
    NoContent,
    PartialContent,
    EmptyBody,
    PlainText,
    FailureTextAsEvents,
    HeadWithinStream,
    EventsFromTheStart,
    RepeatedEvent,
    EventWithoutId,
    OtherCall,
    Unauthenticated,
    HeadBrokenOff,
    HeadOnly,
    BrokenChunk,
}

impl TakenUp {
    fn reply(self) -> String {
        let failure = "HTTP/1.1 500 Failed\r\nCall: c1\r\nProof: p\r\n";
        let sound = stream_head("c1") + &event(3) + &event(4) + LAST_CHUNK;
        match self {
            Self::Sound => sound,
            Self::Failure => complete_answer("500 Failed", "c1", "data: failure\n\n"),
            Self::FailureAsStream => sound.replace("200 OK", "500 Failed"),
            Self::FailureWithoutLength => format!("{failure}\r\ndata: failure\n\n"),
            Self::Refusal => not_run("c1"),
            Self::NoContent => sound.replace("200 OK", "204 No Content"),
            Self::PartialContent => sound.replace("200 OK", "206 Partial Content"),
            Self::EmptyBody => head("Content-Type: text/event-stream\r\nContent-Length: 0\r\n"),
            Self::PlainText => complete_answer("200 OK", "c1", "data: failure\n\n"),
            Self::FailureTextAsEvents => {
                stream_head("c1") + &chunk("data: failure\n\n") + LAST_CHUNK
            }
            Self::HeadWithinStream => {
                stream_head("c1") + &chunk(&format!("{failure}\r\ndata: failure\n\n")) + LAST_CHUNK
            }
            Self::EventsFromTheStart => {
                let events: String = (1..=4).map(event).collect();
                stream_head("c1") + &events + LAST_CHUNK
            }
            Self::RepeatedEvent => stream_head("c1") + &event(3) + &event(3) + LAST_CHUNK,
            Self::EventWithoutId => {
                stream_head("c1") + &event(3) + &chunk("data: t\n\n") + LAST_CHUNK
            }
            Self::OtherCall => sound.replace("c1", "c2"),
            Self::Unauthenticated => sound.replace("Proof: p\r\n", ""),
            Self::HeadBrokenOff => sound[..40].to_owned(),
            Self::HeadOnly => stream_head("c1"),
            Self::BrokenChunk => stream_head("c1") + &event(3) + "zz\r\n",
        }
    }
}

/// Guards against the text or head of a failure within a stream, and streams that end as if complete.
#[tokio::test]
async fn a_stream_that_is_taken_up_goes_on_with_its_own_events_only() {
    let mut lines = Vec::new();
    for taken_up in TakenUp::iter() {
        let broken = stream_head("c1") + &event(1) + &event(2);
        let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(broken)]).await;
        let second = FakeEndpoint::bind(vec![Reply::WriteAndClose(taken_up.reply())]).await;
        let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&first, &second]);
        let answer = entry.call(&post("c1", "")).await;
        lines.push(format!("{taken_up}: {}", as_read(&answer)));
    }
    assert_snapshot!(lines.join("\n"), @r#"
    sound: 200 "data: t1 data: t2 data: t3 data: t4" complete
    failure: 200 "data: t1 data: t2" cut
    failure-as-stream: 200 "data: t1 data: t2" cut
    failure-without-length: 200 "data: t1 data: t2" cut
    refusal: 200 "data: t1 data: t2" cut
    no-content: 200 "data: t1 data: t2" cut
    partial-content: 200 "data: t1 data: t2" cut
    empty-body: 200 "data: t1 data: t2" cut
    plain-text: 200 "data: t1 data: t2" cut
    failure-text-as-events: 200 "data: t1 data: t2" cut
    head-within-stream: 200 "data: t1 data: t2" cut
    events-from-the-start: 200 "data: t1 data: t2" cut
    repeated-event: 200 "data: t1 data: t2 data: t3" cut
    event-without-id: 200 "data: t1 data: t2 data: t3" cut
    other-call: 200 "data: t1 data: t2" cut
    unauthenticated: 200 "data: t1 data: t2" cut
    head-broken-off: 200 "data: t1 data: t2" cut
    head-only: 200 "data: t1 data: t2" cut
    broken-chunk: 200 "data: t1 data: t2 data: t3" cut
    "#);
}

/// Guards against a caller that takes up its stream and gets events that it has received already.
#[rstest]
#[case::after_the_last_event(TakenUp::Sound, r#"200 "data: t3 data: t4" complete"#)]
#[case::from_the_start(TakenUp::EventsFromTheStart, r#"502 "" complete"#)]
#[case::failure_text(TakenUp::FailureTextAsEvents, r#"502 "" complete"#)]
#[tokio::test]
async fn a_stream_that_its_caller_takes_up_begins_after_the_last_event(
    #[case] taken_up: TakenUp,
    #[case] expected: &str,
) {
    let endpoint = FakeEndpoint::bind(vec![Reply::WriteAndClose(taken_up.reply())]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 1), &[&endpoint]);
    let _tasks = entry.remember_listed_versions();
    let answer = entry.call(&post("c1", "After-Event: 2\r\n")).await;
    assert_eq!(as_read(&answer), expected);
}
